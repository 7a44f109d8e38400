package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers who are told to come back before any entry can serve them, after all
// entries have lost power, and against a long wait while another entry serves callers.
func TestRetryAfterDuringStart(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	s := startPhase{began: began}
	for _, c := range []struct{ after, least time.Duration }{
		{0, fleetStartTime}, {time.Second, fleetStartTime - time.Second}, {fleetStartTime, otherReadyRetryAfter}, {time.Minute, otherReadyRetryAfter},
	} {
		got := s.retryAfter(began.Add(c.after))
		is.True(got >= c.least && got < c.least+fleetStartJitter)
	}
	s.otherReady.Store(true)
	is.Equal(s.retryAfter(began), otherReadyRetryAfter)
}
