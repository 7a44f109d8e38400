package entry

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// refreshFleet passes the endpoint table on and follows the load of the
// endpoints that this entry uses.
func (e *Entry) refreshFleet(now time.Time) {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	used := e.fleet.update(e.directory.endpoints(), now)
	e.controlClient.FollowLoads(used)
}

// applyLoads takes in loads. They are kept apart from the endpoint table: a load
// must not hide a change that another replica reports with an older
// announcement.
func (f *fleet) applyLoads(list []wire.Load, now time.Time) {
	if len(list) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range list {
		if isNewerLoad(l, f.loads[l.Endpoint]) {
			f.loads[l.Endpoint] = l
		}
	}
	f.updateBalancer(now)
}

func isNewerLoad(l, known wire.Load) bool {
	if l.Incarnation != known.Incarnation {
		return l.Incarnation > known.Incarnation
	}
	return l.Sequence > known.Sequence
}

// updateBalancer hands the balancer the endpoints used with their newest load. The
// caller holds mu.
func (f *fleet) updateBalancer(now time.Time) {
	list := make([]balancer.Endpoint, len(f.subsetEndpoints))
	loads := make(map[string]wire.Load, len(f.subsetEndpoints))
	for i, e := range f.subsetEndpoints {
		list[i] = e
		l, ok := f.loads[e.ID]
		if !ok {
			continue
		}
		loads[e.ID] = l
		if l.Incarnation == e.Incarnation && l.Sequence > e.Sequence {
			list[i].InFlight, list[i].Sequence = l.InFlight, l.Sequence
		}
	}
	f.loads = loads
	f.balancer.Update(list, now)
}
