package admission

import "time"

// Sharers counts the processes that share a bound, of which each keeps a part. A list of
// processes that comes from elsewhere may lack some of them: this process may be cut off from
// its source, or the others may be starting again. A part that is too large for a while
// exceeds the bound, one that is too small only leaves some of it unused, so the largest count
// within the Retention applies. The zero value counts one process.
type Sharers struct {
	// Retention is how long a larger count applies. It should exceed the time in which a
	// process that is cut off goes on. A longer one leaves more of the bound unused after
	// processes have left for good.
	Retention time.Duration

	counts []sharerCount // the newest last, each larger than those after it
}

type sharerCount struct {
	count    int
	lastSeen time.Time
}

// Observe records the number of processes on the list now, and returns the number by which to
// divide the bound.
func (s *Sharers) Observe(count int, now time.Time) int {
	count = max(1, count)
	for len(s.counts) > 0 && s.counts[len(s.counts)-1].count <= count {
		s.counts = s.counts[:len(s.counts)-1]
	}
	s.counts = append(s.counts, sharerCount{count, now})
	for now.Sub(s.counts[0].lastSeen) > s.Retention {
		s.counts = s.counts[1:]
	}
	return s.counts[0].count
}
