package control

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/membership"
)

const (
	// serverIntervals without a check-in take a server out: one may be delayed by
	// seconds, and one is lost when the replica that it went to stops.
	serverIntervals = 4
	// fleetInterval bounds how long a change waits to be sent with others.
	fleetInterval = 25 * time.Millisecond
)

// fleet holds the servers that check in and the processes that follow the
// fleet's state. Both are soft state: they are rebuilt from check-ins and
// sessions after a restart.
type fleet struct {
	log  log.Interface
	view func() *View

	mu        sync.Mutex
	epoch     uint64
	servers   *membership.Table[wire.Server]
	followers map[*transport.Session]*follower
	learned   map[namedKey]time.Time
	wake      chan struct{}
}

// namedKey is a version of a model's weights.
type namedKey struct {
	model   string
	version uint64
}

// follower is a process with an open session.
type follower struct {
	process wire.Process
	servers uint64 // version of the table sent; 0 for none
	told    bool   // anything at all
	state   sentState
	// peers is the list of processes sent last; nil for none.
	peers *processList
}

// sentState identifies what a follower was told last.
type sentState struct {
	routing    uint64
	membership uint64
	weights    int64
}

// processList is the processes of a role at one moment, by name. Followers that
// were told the same share it.
type processList struct{ byName map[string]wire.Process }

func newFleet(view func() *View, heartbeat time.Duration, logger log.Interface) *fleet {
	epoch := uint64(time.Now().UnixNano())
	return &fleet{
		log: logger, view: view, epoch: epoch,
		servers: membership.New(membership.Config[wire.Server]{
			Epoch: epoch, Expiry: serverIntervals * heartbeat, Significant: serverChanged,
		}),
		followers: map[*transport.Session]*follower{},
		learned:   map[namedKey]time.Time{}, wake: make(chan struct{}, 1),
	}
}

// serverChanged tells whether entries need a check-in.
func serverChanged(previous, next membership.Record[wire.Server]) bool {
	a, b := previous.Report, next.Report
	return a.Address != b.Address || a.Service != b.Service || a.Slots != b.Slots || a.Zone != b.Zone || a.Loading != b.Loading ||
		!slices.EqualFunc(a.Models, b.Models, func(x, y wire.ServerModel) bool {
			return x.Name == y.Name && slices.Equal(x.Layers, y.Layers)
		})
}

// CheckIn takes in the check-in of a server.
func (f *fleet) CheckIn(s wire.Server, now time.Time) {
	f.mu.Lock()
	before := f.servers.Version()
	previous, known := f.servers.Get(s.ID)
	s = s.With(f.engineAt(s.Address))
	fresh := f.servers.Apply(s.Record(), now)
	changed := f.servers.Version() != before
	f.mu.Unlock()
	if !fresh {
		f.log.WithFields(log.Fields{"server": s.ID, "started": s.Started, "sequence": s.Sequence}).Debug("check_in_late")
		return
	}
	if !changed {
		return
	}
	signal(f.wake)
	f.log.WithFields(log.Fields{
		"server": s.ID, "service": s.Service, "address": s.Address, "draining": s.Draining, "known": known,
		"started": s.Started, "sequence": s.Sequence, "was_draining": previous.Draining,
	}).Info("server_changed")
}

// Depart takes in the last call of a server. Without its start the call counts
// for every incarnation that started before now.
func (f *fleet) Depart(id string, started uint64, now time.Time) {
	f.mu.Lock()
	held, known := f.servers.Get(id)
	gone := held.Report
	gone.ID, gone.Gone = id, true
	gone.Started = cmp.Or(started, held.Incarnation, uint64(now.UnixMilli()))
	gone.Sequence = ^uint64(0)
	f.servers.Apply(gone.Record(), now)
	f.mu.Unlock()
	signal(f.wake)
	f.log.WithFields(log.Fields{"server": id, "started": gone.Started, "known": known}).Info("server_departed")
}

// Introduced takes in a process's introduction and tells it the fleet's state.
func (f *fleet) Introduced(s *transport.Session, p wire.Process) {
	f.mu.Lock()
	previous, known := f.followers[s]
	if !known {
		f.followers[s] = &follower{process: p}
	} else {
		previous.process = p
	}
	if p.Role == wire.RoleStager {
		f.amend(p)
	}
	f.mu.Unlock()
	signal(f.wake)
	f.log.WithFields(log.Fields{
		"process": p.Name, "role": string(p.Role), "ready": p.Ready, "draining": p.Draining, "new_session": !known,
	}).Info("process_introduced")
}

// amend applies what a stager knows to the server beside it. The caller holds mu.
func (f *fleet) amend(p wire.Process) {
	for _, r := range f.servers.Live() {
		if r.Report.Address == p.Address {
			f.servers.Amend(r.Endpoint, func(s wire.Server) wire.Server { return s.With(p.Engine) })
		}
	}
}

// engineAt is what a stager knows of the server at an address. The caller holds mu.
func (f *fleet) engineAt(address string) wire.EngineState {
	for _, follower := range f.followers {
		if p := follower.process; p.Role == wire.RoleStager && p.Address == address {
			return p.Engine
		}
	}
	return wire.EngineState{}
}

// Forget ends a process's presence.
func (f *fleet) Forget(s *transport.Session) {
	f.mu.Lock()
	follower, known := f.followers[s]
	delete(f.followers, s)
	f.mu.Unlock()
	if known {
		signal(f.wake)
		f.log.WithFields(log.Fields{"process": follower.process.Name, "role": string(follower.process.Role)}).Info("process_lost")
	}
}

// Changed tells that the replica's view has news for followers.
func (f *fleet) Changed() { signal(f.wake) }

// processes returns the present processes of a role. A process with two sessions,
// of which one is not yet known to be dead, is there once.
func (f *fleet) processes(role wire.Role) *processList {
	list := &processList{byName: map[string]wire.Process{}}
	for _, follower := range f.followers {
		if p := follower.process; p.Role == role {
			p.Peers, p.Engine = false, wire.EngineState{} // of no use to others, and changes often
			list.byName[p.Name] = p
		}
	}
	return list
}

// since adds to a message what changed after an earlier list.
func (l *processList) since(before *processList, m *wire.Fleet) {
	m.Whole = before == nil
	for _, name := range slices.Sorted(maps.Keys(l.byName)) {
		if before == nil || before.byName[name] != l.byName[name] {
			m.Processes = append(m.Processes, l.byName[name])
		}
	}
	if before == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(before.byName)) {
		if _, present := l.byName[name]; !present {
			m.Left = append(m.Left, name)
		}
	}
}

// Entries lists the present entries.
func (f *fleet) Entries() []wire.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.processes(wire.RoleEntry)
	entries := make([]wire.Process, 0, len(list.byName))
	for _, name := range slices.Sorted(maps.Keys(list.byName)) {
		entries = append(entries, list.byName[name])
	}
	return entries
}

// weights lists the named versions with their age.
func (f *fleet) weights(v *View, now time.Time) (list []wire.NamedWeights, sum int64) {
	for _, model := range slices.Sorted(maps.Keys(v.Weights)) {
		for _, named := range v.Weights[model] {
			list = append(list, wire.NamedWeights{
				Model: model, Version: named.Version, AgeMs: f.age(namedKey{model, named.Version}, named.AtMs, now).Milliseconds(),
			})
			sum += int64(named.Version)
		}
	}
	return list, sum
}

// age is the time since a version was named: by this replica's steady clock since
// it learned of it, or by the time of day, which also counts across a restart and
// may be off by seconds. The longer one is taken: a request must not begin on old
// weights because a replica has forgotten how long it knows the new ones.
func (f *fleet) age(key namedKey, namedMs int64, now time.Time) time.Duration {
	at, known := f.learned[key]
	if !known {
		at = now
		f.learned[key] = now
	}
	return max(now.Sub(at), now.Sub(time.UnixMilli(namedMs)))
}

// Run sends changes until done closes.
func (f *fleet) Run(done <-chan struct{}) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-expire.C:
			f.mu.Lock()
			expired := f.servers.Expire(now)
			f.mu.Unlock()
			if len(expired) == 0 {
				continue
			}
			f.log.WithField("servers", expired).Info("servers_expired")
		case <-f.wake:
		}
		f.flush(time.Now())
		if !pause(done, fleetInterval) {
			return
		}
	}
}

// flush tells every follower what it does not know yet. A failed send ends the
// session: the process then introduces itself again and is told everything.
func (f *fleet) flush(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view()
	weights, sum := f.weights(v, now)
	state := sentState{v.Routing.Version, v.Raft.Membership.Index, sum}
	lists := map[wire.Role]*processList{}
	frames := map[fleetChange][]byte{}
	updates := map[uint64][]byte{}
	for session, follower := range f.followers {
		role := follower.process.Role
		if lists[role] == nil {
			lists[role] = f.processes(role)
		}
		change := fleetChange{replicas: !follower.told || follower.state.membership != state.membership, from: follower.peers}
		if follower.process.Peers {
			change.to = lists[role]
		}
		news := !follower.told || follower.state != state
		if news || change.to != nil && (change.from == nil || !maps.Equal(change.from.byName, change.to.byName)) {
			frame, ok := frames[change]
			if !ok {
				frame = encoded(change.message(v, weights))
				frames[change] = frame
			}
			follower.state, follower.told, follower.peers = state, true, change.to
			sendFrame(session, frame)
		}
		if role != wire.RoleEntry || follower.servers == f.servers.Version() && follower.servers != 0 {
			continue
		}
		frame, ok := updates[follower.servers]
		if !ok {
			frame = encoded(wire.ServersFrom(f.servers.Since(f.epoch, follower.servers)))
			updates[follower.servers] = frame
		}
		follower.servers = f.servers.Version()
		sendFrame(session, frame)
	}
}

// fleetChange identifies what a follower lacks, so that followers that lack the
// same share a frame.
type fleetChange struct {
	replicas bool
	from, to *processList
}

func (c fleetChange) message(v *View, weights []wire.NamedWeights) wire.Fleet {
	m := wire.Fleet{RoutingVersion: v.Routing.Version, Weights: weights}
	if c.replicas {
		m.Replicas = v.Raft.Membership.Addresses
	}
	if c.to != nil {
		c.to.since(c.from, &m)
	}
	return m
}
