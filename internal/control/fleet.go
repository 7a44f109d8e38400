package control

import (
	"cmp"
	"fmt"
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
	// maxMissedHeartbeats without a check-in take a server out: one may be delayed by
	// seconds, and one is lost when the replica that it went to stops.
	maxMissedHeartbeats = 4
	// minFlushPause bounds how long a change waits to be sent with others.
	minFlushPause = 25 * time.Millisecond
	// flushPauseFactor is the pause between two flushes in times of the last one: a flush goes
	// through the whole fleet, and while all of it starts at once the replicas need the
	// processor for their election. fleetIntervalMost bounds the pause.
	flushPauseFactor        = 10
	maxFlushPause = 400 * time.Millisecond
)

// fleet holds the servers that check in and the processes that follow the fleet's
// state, here and at other replicas. All of it is soft state: it is rebuilt from
// check-ins, sessions and the shares of other replicas after a restart.
type fleet struct {
	log  log.Interface
	view func() *View
	name string // of this replica
	// zone returns the availability zone of a replica, if it is known.
	zone func(id string) string
	// peerSessions returns the open sessions to other replicas.
	peerSessions func() []*transport.Session

	mu    sync.Mutex
	epoch uint64
	localServers *membership.Table[wire.Server] // that check in here
	// remoteServers is what other replicas hold, by their names.
	remoteServers  *membership.View[wire.Server]
	remoteProcesses  map[string]map[string]wire.Process // processes at other replicas, by replica and name
	lostAt    map[string]time.Time               // replicas whose session ended
	shareSources map[*transport.Session]string      // name of the replica behind a session
	// servers is local and others together, as followers are told.
	servers   *membership.Table[wire.Server]
	followers map[*transport.Session]*follower
	sentShares    map[*transport.Session]*sentShare // what other replicas were told
	processLists     map[wire.Role]*processList    // of present processes
	dirty     bool                          // servers and lists must be built again
	weightsSeen   map[weightsKey]time.Time
	wake      chan struct{}
}

// weightsKey is a version of a model's weights.
type weightsKey struct {
	model   string
	version uint64
}

// follower is a process with an open session.
type follower struct {
	process wire.Process
	serversVersion uint64 // version of the table sent; 0 for none
	initialized    bool   // anything at all
	state   sentState
	// peers is the list of processes sent last; nil for none.
	peers *processList
}

// sentState identifies what a follower was told last.
type sentState struct {
	routing    uint64
	replicas   string
	weights    int64
	leaderless bool
}

// processList is the processes of a role at one moment, by name. Followers that
// were told the same share it.
type processList struct{ byName map[string]wire.Process }

// lostReplicaTTL is how long what another replica held counts after its session ended. Its
// servers check in elsewhere within seconds; while the replica is cut off from the
// others they may still reach it.
const lostReplicaTTL = 10 * time.Second

func newFleet(view func() *View, name string, heartbeat time.Duration, logger log.Interface) *fleet {
	epoch := uint64(time.Now().UnixNano())
	table := func() *membership.Table[wire.Server] {
		return membership.New(membership.Config[wire.Server]{
			Epoch: epoch, Expiry: maxMissedHeartbeats * heartbeat, Significant: serverChanged,
		})
	}
	return &fleet{
		log: logger, view: view, name: name, epoch: epoch, zone: func(string) string { return "" },
		peerSessions: func() []*transport.Session { return nil },
		localServers: table(), servers: table(), remoteServers: membership.NewView[wire.Server](membership.ViewConfig{Expiry: lostReplicaTTL}),
		remoteProcesses: map[string]map[string]wire.Process{}, lostAt: map[string]time.Time{}, shareSources: map[*transport.Session]string{},
		followers: map[*transport.Session]*follower{}, sentShares: map[*transport.Session]*sentShare{}, processLists: map[wire.Role]*processList{},
		dirty: true, weightsSeen: map[weightsKey]time.Time{}, wake: make(chan struct{}, 1),
	}
}

// serverChanged tells whether entries need a check-in.
func serverChanged(previous, next membership.Record[wire.Server]) bool {
	a, b := previous.Report, next.Report
	return a.Address != b.Address || a.Service != b.Service || a.Slots != b.Slots || a.Zone != b.Zone || a.Loading != b.Loading || a.Leaving != b.Leaving ||
		!slices.EqualFunc(a.Models, b.Models, func(x, y wire.ServerModel) bool {
			return x.Name == y.Name && slices.Equal(x.Layers, y.Layers)
		})
}

// CheckIn takes in the check-in of a server.
func (f *fleet) CheckIn(s wire.Server, now time.Time) {
	f.mu.Lock()
	before := f.localServers.Version()
	previous, known := f.localServers.Get(s.ID)
	fresh := f.localServers.Apply(s.Record(), now)
	changed := f.localServers.Version() != before
	f.dirty = f.dirty || changed
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
	f.rebuild(now)
	held, known := f.servers.Get(id)
	report := held.Report
	report.ID, report.Gone = id, true
	report.Started = cmp.Or(started, held.Incarnation, uint64(now.UnixMilli()))
	report.Sequence = ^uint64(0)
	f.localServers.Apply(report.Record(), now)
	f.dirty = true
	f.mu.Unlock()
	signal(f.wake)
	f.log.WithFields(log.Fields{"server": id, "started": report.Started, "known": known}).Info("server_departed")
}

// RegisterProcess takes in a process's introduction and tells it the fleet's state.
func (f *fleet) RegisterProcess(s *transport.Session, p wire.Process) {
	f.mu.Lock()
	previous, known := f.followers[s]
	if !known {
		f.followers[s] = &follower{process: p}
	} else {
		previous.process = p
	}
	f.dirty = true
	f.mu.Unlock()
	signal(f.wake)
	f.log.WithFields(log.Fields{
		"process": p.Name, "role": string(p.Role), "ready": p.Ready, "draining": p.Draining, "new_session": !known,
	}).Info("process_introduced")
}

// CloseSession ends a process's presence, or what another replica shared.
func (f *fleet) CloseSession(s *transport.Session) {
	f.mu.Lock()
	follower, known := f.followers[s]
	delete(f.followers, s)
	f.dirty = f.dirty || known
	f.endShare(s, time.Now())
	f.mu.Unlock()
	if known {
		signal(f.wake)
		f.log.WithFields(log.Fields{"process": follower.process.Name, "role": string(follower.process.Role)}).Info("process_lost")
	}
}

// NotifyChanged tells that the replica's view has news for followers.
func (f *fleet) NotifyChanged() { signal(f.wake) }

// rebuild brings the processes and servers that followers are told of up to date. The
// caller holds mu.
func (f *fleet) rebuild(now time.Time) {
	if !f.dirty {
		return
	}
	f.dirty = false
	newestByName := map[string]wire.Process{}
	addIfNewer := func(p wire.Process) {
		if held, ok := newestByName[p.Name]; !ok || p.Revision >= held.Revision {
			p.Peers = false // of no use to others
			newestByName[p.Name] = p
		}
	}
	for _, processes := range f.remoteProcesses {
		for _, p := range processes {
			addIfNewer(p)
		}
	}
	// A process with two sessions, of which one is not yet known to be dead, is there once.
	for _, follower := range f.followers {
		addIfNewer(follower.process)
	}
	lists := map[wire.Role]*processList{}
	engines := map[string]wire.EngineState{} // by address
	for name, p := range newestByName {
		if lists[p.Role] == nil {
			lists[p.Role] = &processList{byName: map[string]wire.Process{}}
		}
		if p.Role == wire.RoleStager {
			engines[p.Address] = p.Engine
		}
		p.Engine, p.Revision = wire.EngineState{}, 0 // change often, and others have no use for them
		lists[p.Role].byName[name] = p
	}
	for role, l := range lists {
		if held := f.processLists[role]; held != nil && maps.Equal(held.byName, l.byName) {
			lists[role] = held // followers were told of it already
		}
	}
	f.processLists = lists
	records := map[string]membership.Record[wire.Server]{}
	for _, r := range slices.Concat(f.remoteServers.All(), f.localServers.All()) {
		held, known := records[r.Endpoint]
		if !known || r.Incarnation > held.Incarnation || r.Incarnation == held.Incarnation && r.Sequence >= held.Sequence {
			records[r.Endpoint] = r
		}
	}
	list := make([]membership.Record[wire.Server], 0, len(records))
	for _, id := range slices.Sorted(maps.Keys(records)) {
		r := records[id]
		r.Report = r.Report.With(engines[r.Report.Address])
		list = append(list, r)
	}
	f.servers.Replace(list, now)
}

// processesOf returns the present processes of a role. The caller holds mu.
func (f *fleet) processesOf(role wire.Role) *processList {
	if l := f.processLists[role]; l != nil {
		return l
	}
	l := &processList{byName: map[string]wire.Process{}}
	f.processLists[role] = l
	return l
}

// addChangesSince adds to a message what changed after an earlier list.
func (l *processList) addChangesSince(before *processList, m *wire.Fleet) {
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
	f.rebuild(time.Now())
	list := f.processesOf(wire.RoleEntry)
	entries := make([]wire.Process, 0, len(list.byName))
	for _, name := range slices.Sorted(maps.Keys(list.byName)) {
		entries = append(entries, list.byName[name])
	}
	return entries
}

// namedWeights lists the named versions with their age.
func (f *fleet) namedWeights(v *View, now time.Time) (list []wire.NamedWeights, sum int64) {
	for _, model := range slices.Sorted(maps.Keys(v.Weights)) {
		for _, named := range v.Weights[model] {
			list = append(list, wire.NamedWeights{
				Model: model, Version: named.Version, AgeMs: f.age(weightsKey{model, named.Version}, named.AtMs, now).Milliseconds(),
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
func (f *fleet) age(key weightsKey, namedAtMs int64, now time.Time) time.Duration {
	at, known := f.weightsSeen[key]
	if !known {
		at = now
		f.weightsSeen[key] = now
	}
	return max(now.Sub(at), now.Sub(time.UnixMilli(namedAtMs)))
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
			f.removeExpired(now)
		case <-f.wake:
		}
		before := time.Now()
		f.flush(before)
		if !pause(done, flushPause(time.Since(before))) {
			return
		}
	}
}

// flushPause is the pause after a flush that took so long.
func flushPause(took time.Duration) time.Duration {
	return min(max(minFlushPause, flushPauseFactor*took), maxFlushPause)
}

// removeExpired drops servers that are silent and what lost replicas held.
func (f *fleet) removeExpired(now time.Time) {
	f.mu.Lock()
	expired := slices.Concat(f.localServers.Expire(now), f.remoteServers.Expire(now))
	f.dirty = f.dirty || len(expired) > 0 || f.removeLostProcesses(now)
	f.mu.Unlock()
	if len(expired) > 0 {
		f.log.WithField("servers", expired).Info("servers_expired")
	}
}

// flush tells every follower and replica what it does not know yet. A failed send ends the
// session: the process then introduces itself again and is told everything.
func (f *fleet) flush(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild(now)
	v := f.view()
	weights, sum := f.namedWeights(v, now)
	replicas := f.memberReplicas(v)
	state := sentState{v.Routing.Version, fmt.Sprint(replicas), sum, v.Raft.Leader == ""}
	frames := map[updateKey][]byte{}
	updates := map[uint64][]byte{}
	for session, follower := range f.followers {
		role := follower.process.Role
		change := updateKey{replicas: !follower.initialized || follower.state.replicas != state.replicas, from: follower.peers}
		if follower.process.Peers {
			change.to = f.processesOf(role)
		}
		stateChanged := !follower.initialized || follower.state != state
		if stateChanged || change.to != change.from && change.to != nil {
			frame, ok := frames[change]
			if !ok {
				frame = encodeFrame(change.message(v, weights, replicas))
				frames[change] = frame
			}
			follower.state, follower.initialized, follower.peers = state, true, change.to
			sendFrame(session, frame)
		}
		if role != wire.RoleEntry || follower.serversVersion == f.servers.Version() && follower.serversVersion != 0 {
			continue
		}
		frame, ok := updates[follower.serversVersion]
		if !ok {
			frame = encodeFrame(wire.ServersFrom(f.servers.Since(f.epoch, follower.serversVersion)))
			updates[follower.serversVersion] = frame
		}
		follower.serversVersion = f.servers.Version()
		sendFrame(session, frame)
	}
	f.sendAllShares()
}

// memberReplicas lists the members in order of address.
func (f *fleet) memberReplicas(v *View) []wire.Replica {
	var list []wire.Replica
	for id, address := range v.Raft.Membership.Addresses {
		list = append(list, wire.Replica{Address: address, Zone: f.zone(id)})
	}
	slices.SortFunc(list, func(a, b wire.Replica) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// updateKey identifies what a follower lacks, so that followers that lack the
// same share a frame.
type updateKey struct {
	replicas bool
	from, to *processList
}

func (c updateKey) message(v *View, weights []wire.NamedWeights, replicas []wire.Replica) wire.Fleet {
	m := wire.Fleet{RoutingVersion: v.Routing.Version, Weights: weights, Leaderless: v.Raft.Leader == ""}
	if c.replicas {
		m.Replicas = replicas
	}
	if c.to != nil {
		c.to.addChangesSince(c.from, &m)
	}
	return m
}
