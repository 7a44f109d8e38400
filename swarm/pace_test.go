package swarm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against transfers that keep their rate while quotes are late, because
// the limit is far above what they move, and against a rate that stays low.
func TestPaceYieldsAndRecovers(t *testing.T) {
	is := is.New(t)
	p := NewPace(1000e6, 2e6)
	moved, now := int64(0), time.Duration(0)
	tick := func(pressure, actual float64) float64 {
		now += time.Second
		moved += int64(actual)
		return p.Adjust(now, pressure, moved)
	}
	is.Equal(tick(0, 90e6), 1000e6)
	is.Equal(tick(1, 90e6), 45e6)  // half of what was moved
	is.True(tick(0.2, 1e6) > 40e6) // an instance that waits is not stopped
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
