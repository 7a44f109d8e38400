package placement

import "time"

// An evacuated endpoint is not eligible for any request until its zone is returned to service.
// Its load stays counted, because its running requests finish.

// EvacuatedEndpoints returns the sorted IDs of the evacuated endpoints.
func (p *Pool) EvacuatedEndpoints() []string {
	return p.ids(func(s *endpointState) bool { return s.Evacuated })
}

// OnlyEvacuated reports whether all endpoints that could serve a request, now or after a drain
// to load weights, are evacuated, and there is at least one of them. The request cannot be
// served before the evacuation ends.
func (p *Pool) OnlyEvacuated(r Request) bool {
	found := false
	for _, s := range p.endpoints {
		after := endpointState{Endpoint: s.Endpoint}
		after.Evacuated, after.Draining = false, s.Leaving
		after.WeightsVersion = max(s.WeightsVersion, r.MinVersion, 1)
		switch {
		case !p.eligible(&after, r):
		case !s.Evacuated:
			return false
		default:
			found = true
		}
	}
	return found
}

// refuseEvacuated refuses the waiting requests that only evacuated endpoints could serve. They
// would wait in vain.
func (b *Broker) refuseEvacuated(now time.Time) {
	if len(b.pool.EvacuatedEndpoints()) == 0 {
		return
	}
	b.removeQueued(func(w queuedRequest) bool {
		if !b.pool.OnlyEvacuated(w.Request) {
			return false
		}
		b.refuse(w.SlotRequest, NoEndpoint, b.pool.NextSlot(w.Request, now), 0)
		return true
	})
}
