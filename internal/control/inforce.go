package control

import (
	"slices"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// maxTrackedRevisions is the number of most recent revisions in the report.
const maxTrackedRevisions = 64

// RevisionStatus tells whether an accepted note is in force: no endpoint can
// act on an older revision any more.
type RevisionStatus struct {
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
	// InForceAfterMs is the time from the commit until the revision was in
	// force, as observed by this replica.
	InForceAfterMs int64 `json:"in_force_after_ms,omitempty"`
	// WaitingFor lists the endpoints that have not acknowledged the revision
	// and may still hold a lease on an older one.
	WaitingFor []string `json:"waiting_for,omitempty"`
	// LeaseExpired lists the endpoints that have not acknowledged the revision
	// and whose lease has expired: they refuse new work.
	LeaseExpired []string `json:"lease_expired,omitempty"`
}

// inForceTracker tracks when the most recent revisions come into force. A lease
// on an older revision was requested before the newer one was committed, so it
// has expired once the lease duration plus grace have passed since the commit.
//
// A replica that has just started knows no endpoints. It reports no revision as
// in force until the endpoints have had time to announce themselves.
type inForceTracker struct {
	mu        sync.Mutex
	lease     time.Duration // lease duration plus grace
	started   time.Time
	endpoints map[string]endpointAck
	tracked   []*trackedRevision // in order
}

type endpointAck struct {
	revision  uint64
	lastHeard time.Time
}

type trackedRevision struct {
	revision     uint64
	committed    time.Time
	waiting      int // known endpoints below the revision; not updated once in force
	inForce      bool
	inForceAfter time.Duration
}

// announceWindow is the time within which every endpoint that holds a lease has
// announced itself to a replica that started: one reconnect and one
// announcement interval.
const announceWindow = 2 * time.Second

// silentEndpointTTL is how long a silent endpoint is still reported after its
// lease has expired.
const silentEndpointTTL = time.Minute

func newInForce(lease time.Duration, now time.Time) *inForceTracker {
	return &inForceTracker{lease: lease, started: now, endpoints: map[string]endpointAck{}}
}

// Track starts to track a committed revision.
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

// RecordAnnouncement records the revision that an endpoint acts on. An endpoint
// without a lease refuses work, so its announcement acknowledges nothing.
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

// adjustWaiting adds change to the number of endpoints that revisions wait for:
// with above, for the revisions above to; otherwise for those after from up to
// and including to.
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

// markInForce marks the revisions that are in force: every endpoint has
// acknowledged them, or all leases on older ones have expired.
func (f *inForceTracker) markInForce(now time.Time) {
	allAnnounced := now.Sub(f.started) >= announceWindow
	for _, t := range f.tracked {
		if age := now.Sub(t.committed); !t.inForce && ((allAnnounced && t.waiting == 0) || age >= f.lease) {
			t.inForce, t.inForceAfter = true, age
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

// Report returns the status of the tracked revisions, newest first.
func (f *inForceTracker) Report(now time.Time) []RevisionStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeSilent(now)
	f.markInForce(now)
	var report []RevisionStatus
	for _, t := range slices.Backward(f.tracked) {
		s := RevisionStatus{Revision: t.revision, InForce: t.inForce, InForceAfterMs: t.inForceAfter.Milliseconds()}
		s.WaitingFor, s.LeaseExpired = f.pendingEndpoints(t, now)
		if t.inForce {
			s.WaitingFor = nil
		}
		report = append(report, s)
	}
	return report
}
