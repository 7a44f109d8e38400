package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/membership"
)

const (
	// maxMissedHeartbeats is the number of heartbeat intervals without a
	// check-in after which a server is removed. One check-in may be delayed by
	// seconds, and one is lost when the replica that it was sent to stops.
	maxMissedHeartbeats = 4
	// minFlushPause is the shortest pause between two flushes, in which changes
	// are collected and sent together.
	minFlushPause = 25 * time.Millisecond
	// flushPauseFactor is the pause after a flush as a multiple of the flush's
	// duration. A flush iterates over the whole fleet, and while all processes
	// start at once the replicas need the CPU for their election. maxFlushPause
	// limits the pause.
	flushPauseFactor = 10
	maxFlushPause    = 400 * time.Millisecond
)

// fleet holds the servers that check in and the processes that follow the fleet
// state, at this replica and at the others. All of it is soft state: after a
// restart it is rebuilt from check-ins, sessions and the shares of other
// replicas.
type fleet struct {
	log  log.Interface
	view func() *View
	name string // of this replica
	// zone returns the availability zone of a replica, or "" if it is not
	// known.
	zone func(id string) string
	// peerSessions returns the open sessions to other replicas.
	peerSessions func() []*transport.Session
	// alone reports whether this replica knows of no other.
	alone func() bool

	mu           sync.Mutex
	epoch        uint64
	localServers *membership.Table[wire.Server] // servers that check in here
	// remoteServers holds the servers that check in at other replicas, by
	// replica name.
	remoteServers   *membership.View[wire.Server]
	remoteProcesses map[string]map[string]wire.Process // processes at other replicas, by replica and name
	lostAt          map[string]time.Time               // when the session of a replica ended
	shareSources    map[*transport.Session]string      // name of the replica that shares over a session
	// servers merges localServers and remoteServers; it is the table sent to
	// followers.
	servers    *membership.Table[wire.Server]
	followers  map[*transport.Session]*follower
	sentShares map[*transport.Session]*sentShare // what was sent to each replica
	// sharedVersion is the newest version of localServers that another replica has
	// acknowledged. sharedChanged is closed when it changes.
	sharedVersion uint64
	sharedChanged chan struct{}
	processLists  map[wire.Role]*processList // present processes by role
	dirty         bool                       // servers and processLists must be rebuilt
	weightsSeen   map[weightsKey]time.Time
	engines       map[string]wire.EngineState // last reported by a stager, by server address
	wake          chan struct{}
}

// weightsKey identifies a version of a model's weights.
type weightsKey struct {
	model   string
	version uint64
}

// follower is a process with an open session.
type follower struct {
	process        wire.Process
	serversVersion uint64 // version of the servers table sent; 0 for none
	initialized    bool   // whether anything was sent
	sent           sentState
	// peers is the process list sent last; nil for none.
	peers *processList
}

// sentState identifies the state that was sent to a follower last.
type sentState struct {
	routing           uint64
	replicas          string
	weightsVersionSum int64
	leaderless        bool
	evacuation        uint64
}

// processList is an immutable list of the processes of a role, by name.
// Followers that were sent the same list share it.
type processList struct{ byName map[string]wire.Process }

// lostReplicaTTL is how long the servers of another replica are kept after its
// session ended. They check in at another replica within seconds; while the
// replica is cut off from the others they may still reach it.
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
		peerSessions: func() []*transport.Session { return nil }, alone: func() bool { return true },
		localServers: table(), servers: table(), remoteServers: membership.NewView[wire.Server](membership.ViewConfig{Expiry: lostReplicaTTL}),
		remoteProcesses: map[string]map[string]wire.Process{}, lostAt: map[string]time.Time{}, shareSources: map[*transport.Session]string{},
		followers: map[*transport.Session]*follower{}, sentShares: map[*transport.Session]*sentShare{}, processLists: map[wire.Role]*processList{},
		dirty: true, weightsSeen: map[weightsKey]time.Time{}, engines: map[string]wire.EngineState{}, sharedChanged: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// serverChanged reports whether a check-in has changes that entries need.
func serverChanged(previous, next membership.Record[wire.Server]) bool {
	a, b := previous.Report, next.Report
	return a.Address != b.Address || a.Service != b.Service || a.Slots != b.Slots || a.Zone != b.Zone || a.Loading != b.Loading || a.LoadPending != b.LoadPending || a.Loads != b.Loads || coldChanged(a, b) ||
		!slices.EqualFunc(a.Models, b.Models, func(x, y wire.ServerModel) bool {
			return x.Name == y.Name && slices.Equal(x.Layers, y.Layers)
		})
}

// coldTolerance is by how much the end of the time for which a server reports to be cold may move
// without being passed on: check-ins are delayed by different times.
const coldTolerance = 500 * time.Millisecond

// coldChanged reports whether the time for which a server remains cold has changed by more than
// what has passed. A countdown is not passed on.
func coldChanged(a, b wire.Server) bool {
	switch {
	case (a.ColdMs == 0) != (b.ColdMs == 0):
		return true
	case b.ColdMs == 0:
		return false
	case a.ColdUntil.IsZero() || b.ColdUntil.IsZero():
		return b.ColdMs >= a.ColdMs
	}
	return b.ColdUntil.Sub(a.ColdUntil).Abs() > coldTolerance
}

// CheckIn records a check-in of a server. It refuses one that states another service or
// address than the same incarnation did before, here or at another replica: a server cannot
// change them without a restart, so it comes from another writer.
func (f *fleet) CheckIn(s wire.Server, now time.Time) error {
	if s.ColdMs > 0 {
		s.ColdUntil = now.Add(time.Duration(s.ColdMs) * time.Millisecond)
	}
	f.mu.Lock()
	local, _ := f.localServers.Get(s.ID)
	remote, _ := f.remoteServers.Get(s.ID)
	if contradicts(s, local.Report) || contradicts(s, remote.Report) {
		f.mu.Unlock()
		f.log.WithFields(log.Fields{
			"server": s.ID, "started": s.Started, "service": s.Service, "address": s.Address,
		}).Warn("check_in_contradicts")
		return oops.In("control").With("server", s.ID).Wrap(ErrContradictory)
	}
	before := f.localServers.Version()
	previous, known := f.localServers.Get(s.ID)
	fresh := f.localServers.Apply(s.Record(), now)
	changed := f.localServers.Version() != before
	f.dirty = f.dirty || changed
	f.mu.Unlock()
	if !fresh {
		f.log.WithFields(log.Fields{"server": s.ID, "started": s.Started, "sequence": s.Sequence}).Debug("check_in_late")
		return nil
	}
	if !changed {
		return nil
	}
	signal(f.wake)
	f.log.WithFields(log.Fields{
		"server": s.ID, "service": s.Service, "address": s.Address, "draining": s.Draining, "known": known,
		"started": s.Started, "sequence": s.Sequence, "was_draining": previous.Draining,
	}).Info("server_changed")
	return nil
}

// contradicts reports whether a check-in and a held one of the same incarnation differ in what
// a process cannot change. Without a start time, incarnations cannot be told apart.
func contradicts(s, held wire.Server) bool {
	return s.Started != 0 && s.Started == held.Started && (s.Service != held.Service || s.Address != held.Address)
}

// Depart records that a server deregisters. If started is 0, it applies to the
// known incarnation of the server, or, if there is none, to every incarnation
// that started before now.
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

// RegisterProcess records the introduction of a process and schedules sending
// it the fleet state.
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

// CloseSession removes the process of a session, or ends what another replica
// shared over it.
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

// NotifyChanged schedules a flush after a change of the replica's view.
func (f *fleet) NotifyChanged() { signal(f.wake) }

// rebuild brings the process lists and the server table that followers are sent
// up to date. The caller holds mu.
func (f *fleet) rebuild(now time.Time) {
	if !f.dirty {
		return
	}
	f.dirty = false
	newestByName := map[string]wire.Process{}
	addIfNewer := func(p wire.Process) {
		if held, ok := newestByName[p.Name]; !ok || p.Revision >= held.Revision {
			p.Peers = false // others do not need it
			newestByName[p.Name] = p
		}
	}
	for _, processes := range f.remoteProcesses {
		for _, p := range processes {
			addIfNewer(p)
		}
	}
	// A process with two sessions, one of which is not yet detected as dead, is
	// listed once.
	for _, follower := range f.followers {
		addIfNewer(follower.process)
	}
	lists := map[wire.Role]*processList{}
	inTouch := map[string]bool{} // addresses of engines whose stager is present
	for name, p := range newestByName {
		if lists[p.Role] == nil {
			lists[p.Role] = &processList{byName: map[string]wire.Process{}}
		}
		if p.Role == wire.RoleStager {
			inTouch[p.Address] = f.recordEngine(p.Address, p.Engine)
		}
		p.Engine, p.Revision = wire.EngineState{}, 0 // change often, and others do not need them
		lists[p.Role].byName[name] = p
	}
	for role, l := range lists {
		if held := f.processLists[role]; held != nil && maps.Equal(held.byName, l.byName) {
			lists[role] = held // unchanged: followers have this list already
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
	used := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(records)) {
		r := records[id]
		address := r.Report.Address
		used[address] = true
		if inTouch[address] {
			r.Report = r.Report.WithEngineState(f.engines[address])
		} else {
			r.Report = r.Report.WithoutStager(f.engines[address])
		}
		list = append(list, r)
	}
	maps.DeleteFunc(f.engines, func(address string, _ wire.EngineState) bool { return !used[address] && !inTouch[address] })
	f.servers.Replace(list, now)
}

// recordEngine records what a stager reports of its engine and reports whether it knows the
// engine's state. What was verified once in an incarnation of the engine stays verified: a
// stager that has restarted does not know what it verified before. The caller holds mu.
func (f *fleet) recordEngine(address string, e wire.EngineState) bool {
	held := f.engines[address]
	if e.Started == 0 || e.Started < held.Started {
		return false
	}
	if e.Started == held.Started {
		e.Verified = max(e.Verified, held.Verified)
	}
	f.engines[address] = e
	return true
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

// addChangesSince adds the changes since an earlier list to a message.
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

// Entries returns the present entries, sorted by name.
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

// namedWeights returns the named versions with their ages, and the sum of the newest
// version numbers, which changes with every new version.
func (f *fleet) namedWeights(v *View, now time.Time) (list []wire.NamedWeights, versionSum int64) {
	for _, model := range slices.Sorted(maps.Keys(v.Weights)) {
		var named []wire.NamedWeights
		for _, w := range v.Weights[model] {
			n := wire.NamedWeights{Model: model, Version: w.Version, AgeMs: f.age(weightsKey{model, w.Version}, w.AtMs, now).Milliseconds()}
			if n.AgeMs >= wire.WeightsRetention.Milliseconds() && len(named) > 0 {
				n.AgeMs = max(n.AgeMs, named[0].AgeMs)
				named = named[:0]
			}
			named = append(named, n)
		}
		if len(named) > 0 {
			versionSum += int64(named[len(named)-1].Version)
		}
		list = append(list, named...)
	}
	return list, versionSum
}

// age returns the time since a version was named: measured with this replica's
// monotonic clock since it learned of the version, or with the wall clock,
// which also counts across a restart but may be off by seconds. The longer one
// is used: no request may start on old weights because a replica has forgotten
// how long it has known the new ones.
func (f *fleet) age(key weightsKey, namedAtMs int64, now time.Time) time.Duration {
	at, known := f.weightsSeen[key]
	if !known {
		at = now
		f.weightsSeen[key] = now
	}
	return max(now.Sub(at), now.Sub(time.UnixMilli(namedAtMs)))
}

// Run sends changes to followers and replicas until done is closed.
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

// flushPause returns the pause after a flush of the given duration.
func flushPause(took time.Duration) time.Duration {
	return min(max(minFlushPause, flushPauseFactor*took), maxFlushPause)
}

// removeExpired removes servers that stopped checking in and the state of lost
// replicas.
func (f *fleet) removeExpired(now time.Time) {
	f.mu.Lock()
	expired := slices.Concat(f.localServers.Expire(now), f.remoteServers.Expire(now))
	f.dirty = f.dirty || len(expired) > 0 || f.removeLostProcesses(now)
	f.mu.Unlock()
	if len(expired) > 0 {
		f.log.WithField("servers", expired).Info("servers_expired")
	}
}

// flush sends every follower and replica the changes that it does not have yet.
// A failed send closes the session; the process then introduces itself again
// and is sent the full state.
func (f *fleet) flush(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild(now)
	v := f.view()
	weights, sum := f.namedWeights(v, now)
	replicas := f.memberReplicas(v)
	state := sentState{v.Routing.Version, fmt.Sprint(replicas), sum, v.Raft.Leader == "", v.Evacuations.Revision}
	frames := map[updateKey][]byte{}
	updates := map[uint64][]byte{}
	for session, follower := range f.followers {
		role := follower.process.Role
		change := updateKey{replicas: !follower.initialized || follower.sent.replicas != state.replicas, from: follower.peers}
		if follower.process.Peers {
			change.to = f.processesOf(role)
		}
		stateChanged := !follower.initialized || follower.sent != state
		if stateChanged || change.to != change.from && change.to != nil {
			frame, ok := frames[change]
			if !ok {
				frame = encodeFrame(change.message(v, weights, replicas))
				frames[change] = frame
			}
			follower.sent, follower.initialized, follower.peers = state, true, change.to
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

// memberReplicas returns the members of the cluster, sorted by address.
func (f *fleet) memberReplicas(v *View) []wire.Replica {
	var list []wire.Replica
	for id, address := range v.Raft.Membership.Addresses {
		list = append(list, wire.Replica{Address: address, Zone: f.zone(id)})
	}
	slices.SortFunc(list, func(a, b wire.Replica) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// updateKey identifies the update that a follower needs, so that the update is
// encoded once for all followers that need the same.
type updateKey struct {
	replicas bool
	from, to *processList
}

func (c updateKey) message(v *View, weights []wire.NamedWeights, replicas []wire.Replica) wire.Fleet {
	m := wire.Fleet{
		RoutingVersion: v.Routing.Version, Weights: weights, Leaderless: v.Raft.Leader == "",
		Evacuated: v.Evacuations.Evacuated(), EvacuationRevision: v.Evacuations.Revision,
	}
	if c.replicas {
		m.Replicas = replicas
	}
	if c.to != nil {
		c.to.addChangesSince(c.from, &m)
	}
	return m
}
