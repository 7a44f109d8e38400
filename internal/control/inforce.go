package control

import (
	"slices"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// revisionsTracked is how many of the last revisions are reported on.
const revisionsTracked = 64

// RevisionStatus says whether an accepted note is in force.
type RevisionStatus struct {
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
	// InForceAfterMs is the time from commit to being in force, as seen by this
	// replica.
	InForceAfterMs int64 `json:"in_force_after_ms,omitempty"`
	// WaitingFor lists endpoints that neither acknowledged the revision nor
	// have certainly lost the lease on an older one.
	WaitingFor []string `json:"waiting_for,omitempty"`
	// LeaseExpired lists endpoints that did not acknowledge it and whose lease
	// has run out: they refuse new work.
	LeaseExpired []string `json:"lease_expired,omitempty"`
}

// inForce follows the last revisions. A lease on an older revision was asked
// for before the newer one was committed, so it has run out once lease plus
// grace have passed since.
//
// A replica that has just started knows no endpoints. It reports nothing as in
// force before they had time to announce themselves.
type inForce struct {
	mu      sync.Mutex
	lease   time.Duration // lease plus grace
	started time.Time
	known   map[string]acknowledged
	tracked []*trackedRevision // in order
}

type acknowledged struct {
	revision uint64
	heard    time.Time
}

type trackedRevision struct {
	revision  uint64
	committed time.Time
	waiting   int // known endpoints below the revision, while not done
	done      bool
	after     time.Duration
}

// announceTime is the time within which every endpoint that holds a lease has
// announced itself to a replica that started: one redial and one interval.
const announceTime = 2 * time.Second

// knownFor is how long a silent endpoint is reported after its lease ran out.
const knownFor = time.Minute

func newInForce(lease time.Duration, now time.Time) *inForce {
	return &inForce{lease: lease, started: now, known: map[string]acknowledged{}}
}

// Track starts to follow a revision.
func (f *inForce) Track(revision uint64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &trackedRevision{revision: revision, committed: now}
	for _, a := range f.known {
		if a.revision < revision {
			t.waiting++
		}
	}
	f.tracked = append(f.tracked, t)
	if len(f.tracked) > revisionsTracked {
		f.tracked = f.tracked[1:]
	}
	f.settle(now)
}

// RecordAnnouncement takes in the revision that an endpoint acts on. An endpoint without
// its lease refuses work, so its announcement does not acknowledge anything.
func (f *inForce) RecordAnnouncement(a wire.Announce, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	held, known := f.known[a.Endpoint]
	if a.Gone {
		if known {
			f.forget(a.Endpoint, held)
			f.settle(now)
		}
		return
	}
	next := acknowledged{revision: held.revision, heard: now}
	if a.Confirmed {
		next.revision = max(held.revision, a.Revision)
	}
	f.known[a.Endpoint] = next
	if !known {
		f.count(0, next.revision, 1, true)
		return
	}
	if next.revision > held.revision {
		f.count(held.revision, next.revision, -1, false)
		f.settle(now)
	}
}

// count changes how many endpoints are waited for: with above, for revisions
// above to, otherwise for those after from up to to.
func (f *inForce) count(from, to uint64, change int, above bool) {
	for _, t := range f.tracked {
		if !t.done && ((above && t.revision > to) || (!above && t.revision > from && t.revision <= to)) {
			t.waiting += change
		}
	}
}

func (f *inForce) forget(endpoint string, held acknowledged) {
	delete(f.known, endpoint)
	f.count(0, held.revision, -1, true)
}

// settle marks revisions as in force.
func (f *inForce) settle(now time.Time) {
	heard := now.Sub(f.started) >= announceTime
	for _, t := range f.tracked {
		if age := now.Sub(t.committed); !t.done && ((heard && t.waiting == 0) || age >= f.lease) {
			t.done, t.after = true, age
		}
	}
}

func (f *inForce) expire(now time.Time) {
	for endpoint, a := range f.known {
		if now.Sub(a.heard) > f.lease+knownFor {
			f.forget(endpoint, a)
		}
	}
}

func (f *inForce) split(t *trackedRevision, now time.Time) (waiting, expired []string) {
	over := now.Sub(t.committed) >= f.lease
	for endpoint, a := range f.known {
		switch {
		case a.revision >= t.revision:
		case over:
			expired = append(expired, endpoint)
		default:
			waiting = append(waiting, endpoint)
		}
	}
	slices.Sort(waiting)
	slices.Sort(expired)
	return waiting, expired
}

// Report describes the tracked revisions, the newest first.
func (f *inForce) Report(now time.Time) []RevisionStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(now)
	f.settle(now)
	var report []RevisionStatus
	for _, t := range slices.Backward(f.tracked) {
		s := RevisionStatus{Revision: t.revision, InForce: t.done, InForceAfterMs: t.after.Milliseconds()}
		s.WaitingFor, s.LeaseExpired = f.split(t, now)
		if t.done {
			s.WaitingFor = nil
		}
		report = append(report, s)
	}
	return report
}
