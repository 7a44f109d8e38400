package swarm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against transfers that do not slow down under pressure because the
// limit is far above their actual rate, so that quotes are late, and against a
// rate that does not recover.
func TestPaceYieldsAndRecovers(t *testing.T) {
	is := is.New(t)
	p := NewRateController(1000e6, 2e6)
	moved, now := int64(0), time.Duration(0)
	tick := func(pressure, actual float64) float64 {
		now += time.Second
		moved += int64(actual)
		return p.Adjust(now, pressure, moved)
	}
	is.Equal(tick(0, 90e6), 1000e6)
	is.Equal(tick(1, 90e6), 45e6)  // half of the actual rate
	is.True(tick(0.2, 1e6) > 40e6) // drops from the peak, not from the current rate
	for range 60 {
		tick(1, p.rate)
	}
	is.Equal(p.rate, 2e6) // the floor
	is.Equal(tick(1, 0), 2e6)
	is.Equal(tick(0, 2e6), 3e6)
	for range 60 {
		tick(0, p.rate)
	}
	is.Equal(p.rate, 1000e6)
}
