package control

import (
	"slices"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// maxTrackedRevisions is how many of the last revisions are reported on.
const maxTrackedRevisions = 64

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

// inForceTracker follows the last revisions. A lease on an older revision was asked
// for before the newer one was committed, so it has run out once lease plus
// grace have passed since.
//
// A replica that has just started knows no endpoints. It reports nothing as in
// force before they had time to announce themselves.
type inForceTracker struct {
	mu      sync.Mutex
	lease   time.Duration // lease plus grace
	started time.Time
	endpoints   map[string]endpointAck
	tracked []*trackedRevision // in order
}

type endpointAck struct {
	revision uint64
	lastHeard    time.Time
}

type trackedRevision struct {
	revision  uint64
	committed time.Time
	waiting   int // known endpoints below the revision, while not done
	inForce      bool
	after     time.Duration
}

// announceWindow is the time within which every endpoint that holds a lease has
// announced itself to a replica that started: one redial and one interval.
const announceWindow = 2 * time.Second

// silentEndpointTTL is how long a silent endpoint is reported after its lease ran out.
const silentEndpointTTL = time.Minute

func newInForce(lease time.Duration, now time.Time) *inForceTracker {
	return &inForceTracker{lease: lease, started: now, endpoints: map[string]endpointAck{}}
}

// Track starts to follow a revision.
func (f *inForceTracker) Track(revision uint64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &trackedRevision{revision: revision, committed: now}
	for _, a := range f.endpoints {
		if a.revision < revision {
			t.waiting++
		}
	}
	f.tracked = append(f.tracked, t)
	if len(f.tracked) > maxTrackedRevisions {
		f.tracked = f.tracked[1:]
	}
	f.markInForce(now)
}

// RecordAnnouncement takes in the revision that an endpoint acts on. An endpoint without
// its lease refuses work, so its announcement does not acknowledge anything.
func (f *inForceTracker) RecordAnnouncement(a wire.Announce, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	held, known := f.endpoints[a.Endpoint]
	if a.Gone {
		if known {
			f.removeEndpoint(a.Endpoint, held)
			f.markInForce(now)
		}
		return
	}
	next := endpointAck{revision: held.revision, lastHeard: now}
	if a.Confirmed {
		next.revision = max(held.revision, a.Revision)
	}
	f.endpoints[a.Endpoint] = next
	if !known {
		f.adjustWaiting(0, next.revision, 1, true)
		return
	}
	if next.revision > held.revision {
		f.adjustWaiting(held.revision, next.revision, -1, false)
		f.markInForce(now)
	}
}

// adjustWaiting changes how many endpoints are waited for: with above, for revisions
// above to, otherwise for those after from up to to.
func (f *inForceTracker) adjustWaiting(from, to uint64, change int, above bool) {
	for _, t := range f.tracked {
		if !t.inForce && ((above && t.revision > to) || (!above && t.revision > from && t.revision <= to)) {
			t.waiting += change
		}
	}
}

func (f *inForceTracker) removeEndpoint(endpoint string, held endpointAck) {
	delete(f.endpoints, endpoint)
	f.adjustWaiting(0, held.revision, -1, true)
}

// markInForce marks revisions as in force.
func (f *inForceTracker) markInForce(now time.Time) {
	allAnnounced := now.Sub(f.started) >= announceWindow
	for _, t := range f.tracked {
		if age := now.Sub(t.committed); !t.inForce && ((allAnnounced && t.waiting == 0) || age >= f.lease) {
			t.inForce, t.after = true, age
		}
	}
}

func (f *inForceTracker) removeSilent(now time.Time) {
	for endpoint, a := range f.endpoints {
		if now.Sub(a.lastHeard) > f.lease+silentEndpointTTL {
			f.removeEndpoint(endpoint, a)
		}
	}
}

func (f *inForceTracker) pendingEndpoints(t *trackedRevision, now time.Time) (waiting, expired []string) {
	leasesExpired := now.Sub(t.committed) >= f.lease
	for endpoint, a := range f.endpoints {
		switch {
		case a.revision >= t.revision:
		case leasesExpired:
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
func (f *inForceTracker) Report(now time.Time) []RevisionStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeSilent(now)
	f.markInForce(now)
	var report []RevisionStatus
	for _, t := range slices.Backward(f.tracked) {
		s := RevisionStatus{Revision: t.revision, InForce: t.inForce, InForceAfterMs: t.after.Milliseconds()}
		s.WaitingFor, s.LeaseExpired = f.pendingEndpoints(t, now)
		if t.inForce {
			s.WaitingFor = nil
		}
		report = append(report, s)
	}
	return report
}
