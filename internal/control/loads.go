package control

import (
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/membership"
)

const (
	// loadReportSteps is the resolution of reported load: a change of at most a
	// quarter of the capacity is not sent.
	loadReportSteps = 4
	// silenceThreshold is the time without an announcement after which
	// followers are told to ask another replica for the endpoint. Endpoints
	// announce themselves every second.
	silenceThreshold = 1250 * time.Millisecond
)

// loads sends the load of endpoints to the sessions that follow them. When each
// change went to every entry, an entry received 160 KB/s at 800 endpoints and
// 370 entries.
type loads struct {
	followed  map[*transport.Session][]string
	followers map[string]map[*transport.Session]struct{} // by endpoint
	lastSent  map[string]int                             // by endpoint
	unsent    map[string]struct{}                        // endpoints with a change of load to send
}

func newLoads() loads {
	return loads{
		followed:  map[*transport.Session][]string{},
		followers: map[string]map[*transport.Session]struct{}{},
		lastSent:  map[string]int{},
		unsent:    map[string]struct{}{},
	}
}

// follow replaces the endpoints that a session follows.
func (l *loads) follow(s *transport.Session, endpoints []string) {
	for _, name := range l.followed[s] {
		delete(l.followers[name], s)
		if len(l.followers[name]) == 0 {
			delete(l.followers, name)
		}
	}
	delete(l.followed, s)
	if len(endpoints) == 0 {
		return
	}
	l.followed[s] = slices.Clone(endpoints)
	for _, name := range endpoints {
		if l.followers[name] == nil {
			l.followers[name] = map[*transport.Session]struct{}{}
		}
		l.followers[name][s] = struct{}{}
	}
}

// recordAnnouncement records an announcement and reports whether its load must
// be sent to followers. It need not be if the announcement goes to all entries,
// because the load is part of it.
func (l *loads) recordAnnouncement(a wire.Announce, sentToAll bool) bool {
	switch {
	case a.Gone:
		l.removeEndpoints([]string{a.Endpoint})
		return false
	case sentToAll:
		l.lastSent[a.Endpoint] = a.InFlight
		delete(l.unsent, a.Endpoint)
		return false
	case abs(a.InFlight-l.lastSent[a.Endpoint])*loadReportSteps <= max(a.Capacity, 1):
		return false
	}
	l.lastSent[a.Endpoint] = a.InFlight
	l.unsent[a.Endpoint] = struct{}{}
	return true
}

func abs(v int) int { return max(v, -v) }

// removeEndpoints removes endpoints that left.
func (l *loads) removeEndpoints(endpoints []string) {
	for _, name := range endpoints {
		delete(l.lastSent, name)
		delete(l.unsent, name)
	}
}

// current returns the current load of the given endpoints, without those that
// are not known.
func (l *loads) current(endpoints []string, table *membership.Table[wire.Announce]) []wire.Load {
	var list []wire.Load
	for _, name := range endpoints {
		if r, ok := table.Get(name); ok {
			list = append(list, loadOf(r))
		}
	}
	return list
}

func loadOf(r membership.Record[wire.Announce]) wire.Load {
	return wire.Load{
		Endpoint: r.Endpoint, Incarnation: r.Incarnation, Sequence: r.Sequence, InFlight: r.Report.InFlight,
	}
}

// flush sends the unsent changes to the sessions that follow the endpoints.
func (l *loads) flush(table *membership.Table[wire.Announce]) {
	batches := map[*transport.Session][]wire.Load{}
	for name := range l.unsent {
		r, ok := table.Get(name)
		if !ok {
			continue
		}
		for s := range l.followers[name] {
			batches[s] = append(batches[s], loadOf(r))
		}
	}
	clear(l.unsent)
	for s, batch := range batches {
		sendLoads(s, wire.Loads{Changed: batch})
	}
}

// sendChecks sends each follower the list of its endpoints that are silent.
func (l *loads) sendChecks(table *membership.Table[wire.Announce], now time.Time) {
	silent := map[*transport.Session][]string{}
	for name, sessions := range l.followers {
		if lastSeen, ok := table.LastSeen(name); ok && now.Sub(lastSeen) < silenceThreshold {
			continue
		}
		for s := range sessions {
			silent[s] = append(silent[s], name)
		}
	}
	for s := range l.followed {
		slices.Sort(silent[s])
		sendLoads(s, wire.Loads{Check: true, Silent: silent[s]})
	}
}

// sendLoads sends a message. On failure it closes the session, and the follower
// asks again on a new one.
func sendLoads(s *transport.Session, m wire.Loads) {
	if s.Send(m) != nil {
		s.Close()
	}
}
