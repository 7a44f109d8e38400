package matrix

import (
	"testing"
	"testing/synctest"
)

// Guards every invariant on each path without a fault: a failure here is not
// one of fault handling.
func TestPathsWithoutFaults(t *testing.T) {
	w, err := writeWeights(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, sc := range scenarios {
		t.Run(sc.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, failure := range sc.run(t, w, nil, 1) {
					t.Error(failure)
				}
			})
		})
	}
}
