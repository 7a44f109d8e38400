package relay

import (
	"hash/fnv"
	"io"
	"sync"
	"time"
)

const (
	// refusedFor is how long a refused request is remembered. Callers wait 6 s for
	// an answer and come back within a third of that.
	refusedFor = 6 * time.Second
	// refusedPerReport bounds the refusals that one report tells other entries of;
	// the rest goes with the next.
	refusedPerReport = 128
	refusedMaximum   = 1 << 16
)

// fingerprint identifies what a caller asks for: it is the same when the caller
// sends a request again, at any entry.
type fingerprint uint64

func (q *request) fingerprint() fingerprint {
	h := fnv.New64a()
	for _, part := range []string{q.method, q.target, q.call.Key, q.call.Prompt} {
		_, _ = io.WriteString(h, part) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	return fingerprint(h.Sum64())
}

// refusedSet remembers requests that were refused here or at another entry, so
// that one that comes back is known to be late.
type refusedSet struct {
	mu    sync.Mutex
	known map[fingerprint]time.Time
	fresh []fingerprint // to tell other entries
}

func newRefusedSet() *refusedSet { return &refusedSet{known: map[fingerprint]time.Time{}} }

// add records a refusal of this entry.
func (s *refusedSet) add(f fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keep(f, now) {
		s.fresh = append(s.fresh, f)
	}
}

// learn records refusals of another entry.
func (s *refusedSet) learn(list []fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range list {
		s.keep(f, now)
	}
}

// keep records a refusal. The caller holds mu.
func (s *refusedSet) keep(f fingerprint, now time.Time) bool {
	if len(s.known) >= refusedMaximum {
		return false
	}
	s.known[f] = now
	return true
}

// has reports whether a request was refused lately.
func (s *refusedSet) has(f fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.known[f]
	return ok && now.Sub(at) < refusedFor
}

// report takes the refusals that other entries have not been told of.
func (s *refusedSet) report() []fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.fresh), refusedPerReport)
	list := s.fresh[:n:n]
	s.fresh = s.fresh[n:]
	return list
}

// expire forgets what was refused long ago.
func (s *refusedSet) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, at := range s.known {
		if now.Sub(at) >= refusedFor {
			delete(s.known, f)
		}
	}
}
