package relay

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// otherReadyRetryAfter is the retry delay of an entry that has not started completely while
	// another one accepts callers. Callers choose an entry at random for each attempt.
	otherReadyRetryAfter = 500 * time.Millisecond
	// fleetStartTime is how long after its start an entry is expected to send requests to
	// endpoints if all entries have just started: the control replicas then start as well, elect
	// a leader and learn of the endpoints from their check-ins.
	fleetStartTime = 2500 * time.Millisecond
	// fleetStartJitter spreads the callers who come back after such a start.
	fleetStartJitter = 500 * time.Millisecond
)

// startPhase tells callers of an entry that has not started completely when to come back. It
// answers the load after a loss of all power: callers who come back before any entry can serve
// them are refused a second time.
type startPhase struct {
	began time.Time // of this process
	// otherReady is true while another entry is known to accept callers.
	otherReady atomic.Bool
}

// retryAfter returns the retry delay for a request that arrived during the start.
func (s *startPhase) retryAfter(now time.Time) time.Duration {
	if s.otherReady.Load() {
		return otherReadyRetryAfter
	}
	return max(otherReadyRetryAfter, s.began.Add(fleetStartTime).Sub(now)) + rand.N(fleetStartJitter)
}
