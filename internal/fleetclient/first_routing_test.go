package fleetclient

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that has restarted and takes the routing document in force for the
// first one, because replicas have restarted as well or know no leader.
func TestFirstRouting(t *testing.T) {
	type report struct {
		after      time.Duration
		version    uint64
		leaderless bool
	}
	for name, c := range map[string]struct {
		reports []report
		want    bool
	}{
		"no report":               {nil, false},
		"none yet":                {[]report{{0, 0, false}, {time.Minute, 0, false}}, false},
		"first document":          {[]report{{0, 0, false}, {3 * time.Second, 7, false}}, true},
		"restart of this process": {[]report{{0, 7, false}, {3 * time.Second, 8, false}}, false},
		"replica starts later":    {[]report{{0, 7, false}, {time.Second, 0, false}, {5 * time.Second, 7, false}}, false},
		"restart of all":          {[]report{{0, 0, false}, {time.Second, 7, false}, {5 * time.Second, 8, false}}, false},
		"no leader":               {[]report{{0, 0, true}, {3 * time.Second, 7, false}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var f firstRouting
			start := time.Now()
			for _, r := range c.reports {
				f.observe(r.version, r.leaderless, start.Add(r.after))
			}
			is.New(t).Equal(f.seen, c.want)
		})
	}
}
