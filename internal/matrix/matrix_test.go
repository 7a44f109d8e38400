package matrix

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

var (
	all      = flag.Bool("matrix.all", false, "run every cell, not only the sample that CI runs")
	trace    = flag.Bool("matrix.trace", false, "log the daemons' events of failed cells")
	tableOut = flag.String("matrix.out", "", "file for the results")
	seed     = flag.Uint64("matrix.seed", 1, "seed of load, choices and pairs")
)

// Guards every invariant on each path without a fault: a failure here is not
// one of fault handling.
func TestPathsWithoutFaults(t *testing.T) {
	w := testWeights(t)
	for _, sc := range scenarios {
		t.Run(sc.path, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				for _, failure := range sc.run(t, w, nil, *seed) {
					t.Error(failure)
				}
			})
		})
	}
}

var testWeights = func() func(t *testing.T) weights {
	var once sync.Once
	var w weights
	return func(t *testing.T) weights {
		once.Do(func() {
			dir, err := os.MkdirTemp("", "matrix-weights-")
			if err == nil {
				w, err = writeWeights(dir)
			}
			if err != nil {
				t.Fatal(err)
			}
		})
		return w
	}
}()

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if w := testWeights(nil); w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
	os.Exit(code)
}

// Guards every invariant against each fault at each step.
func TestMatrix(t *testing.T) {
	w := testWeights(t)
	for _, sc := range scenarios {
		for _, at := range sc.steps {
			for _, f := range faults {
				if f.impossible(sc.path) != "" {
					continue
				}
				name := strings.ReplaceAll(fmt.Sprintf("%s/%s/%s", sc.path, at, f.name), " ", "-")
				t.Run(name, func(t *testing.T) {
					if !*all {
						t.Skip("not in the sample")
					}
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						for _, failure := range sc.run(t, w, []injection{{at, f}}, *seed) {
							t.Error(failure)
						}
					})
				})
			}
		}
	}
}
