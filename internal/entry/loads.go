package entry

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// refreshFleet updates the fleet from the endpoint table and subscribes to the
// loads of the endpoints in this entry's subset.
func (e *Entry) refreshFleet(now time.Time) {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	used := e.fleet.update(e.directory.endpoints(), now)
	e.controlClient.FollowLoads(used)
}

// applyLoads applies load reports. They are stored apart from the endpoint table,
// because a newer load must not hide a change that another replica reports in an
// announcement with a lower sequence number.
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

// updateBalancer passes the endpoints of the subset to the balancer, each with its
// newest load, and drops the loads of other endpoints. The caller holds mu.
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
