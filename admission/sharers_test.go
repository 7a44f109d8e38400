package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a bound that is divided by fewer processes than share it, and against one
// that stays divided by processes that have left for good.
func TestSharersKeepTheLargestRecentCount(t *testing.T) {
	is := is.New(t)
	s := Sharers{Retention: 10 * time.Second}
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	is.Equal(s.Observe(0, at(0)), 1)
	is.Equal(s.Observe(4, at(1)), 4)
	is.Equal(s.Observe(4, at(5)), 4)
	is.Equal(s.Observe(1, at(6)), 4) // the list is lost
	is.Equal(s.Observe(3, at(14)), 4)
	is.Equal(s.Observe(2, at(15)), 4)
	is.Equal(s.Observe(2, at(16)), 3) // the fourth was last listed 11 s ago
	is.Equal(s.Observe(2, at(25)), 2)
	is.Equal(s.Observe(5, at(26)), 5)
	for i := range 1000 {
		s.Observe(i%6, at(26).Add(time.Duration(i)*time.Millisecond))
	}
	is.True(len(s.counts) <= 5)
}
