package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

var (
	// errZoneEvacuated means that the request was not sent because the zone of the endpoint is
	// evacuated, or it is not known whether it is. A broker that does not know of the
	// evacuation grants the slots of such endpoints.
	errZoneEvacuated = errors.New("zone of the endpoint is evacuated")
	// errNoEvacuations means that no control replica with a leader has sent the set of
	// evacuated zones yet.
	errNoEvacuations = errors.New("evacuated zones are not known yet")
)

// refuseEvacuated refuses a request at once if only evacuated endpoints could serve it.
func (d *dispatcher) refuseEvacuated(q *request, r placement.Request) *refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(q.service).evacuationRefusal(r, time.Now()).spread()
}

// evacuationRefusal refuses a request, without jitter, if only evacuated endpoints could serve it.
func (p *poolState) evacuationRefusal(r placement.Request, now time.Time) *refusal {
	if !p.OnlyEvacuated(r) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: NoEndpoint, retryAfter: p.localRetryAfter(r, now)}
}

// wakeEvacuated lets all queued requests try again if every endpoint is evacuated, so that they
// are refused at once. The caller holds mu.
func (d *dispatcher) wakeEvacuated(p *poolState) {
	if !p.OnlyEvacuated(placement.Request{}) {
		return
	}
	for p.queue.Len() > 0 {
		d.wakeNext(p)
	}
}
