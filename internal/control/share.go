package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Replicas share with each other the servers that check in and the processes
// that follow them. A process therefore needs sessions to only a few replicas,
// and a server to one. The shared data grows with the changes of the fleet
// times the number of replicas, of which there are at most nine.

// sentShare is what was last sent to another replica over a session.
type sentShare struct {
	servers   uint64 // version of localServers
	processes map[string]wire.Process
}

// sendAllShares sends every other replica the local changes. The caller holds
// mu.
func (f *fleet) sendAllShares() {
	open := f.peerSessions()
	present := f.localProcesses()
	for _, s := range open {
		f.sendShare(s, present)
	}
	maps.DeleteFunc(f.sentShares, func(s *transport.Session, _ *sentShare) bool { return !slices.Contains(open, s) })
}

// localProcesses returns the processes that follow this replica, by name. The
// caller holds mu.
func (f *fleet) localProcesses() map[string]wire.Process {
	present := make(map[string]wire.Process, len(f.followers))
	for _, follower := range f.followers {
		p := follower.process
		if other, ok := present[p.Name]; !ok || p.Revision >= other.Revision {
			p.Peers = false
			present[p.Name] = p
		}
	}
	return present
}

// sendShare sends another replica the local changes that it does not have yet.
// The caller holds mu.
func (f *fleet) sendShare(s *transport.Session, present map[string]wire.Process) {
	held := f.sentShares[s]
	m := wire.Share{From: f.name, Whole: held == nil}
	if held == nil {
		held = &sentShare{processes: map[string]wire.Process{}}
		f.sentShares[s] = held
	}
	if held.servers != f.localServers.Version() || m.Whole {
		servers := wire.ServersFrom(f.localServers.Since(f.epoch, held.servers))
		m.Servers = &servers
	}
	for name, p := range present {
		if held.processes[name] != p {
			m.Processes = append(m.Processes, p)
		}
	}
	for name := range held.processes {
		if _, ok := present[name]; !ok {
			m.Left = append(m.Left, name)
		}
	}
	if m.Servers == nil && !m.Whole && len(m.Processes) == 0 && len(m.Left) == 0 {
		return
	}
	held.servers, held.processes = f.localServers.Version(), present
	sendFrame(s, encodeFrame(m))
}

// ApplyShare applies a share received from another replica and reports whether it could be
// applied.
func (f *fleet) ApplyShare(s *transport.Session, m wire.Share, now time.Time) bool {
	if m.From == "" || m.From == f.name {
		return false
	}
	f.mu.Lock()
	known := f.shareSources[s] != ""
	f.shareSources[s] = m.From
	delete(f.lostAt, m.From)
	applied := m.Servers == nil || f.remoteServers.Apply(m.From, m.Servers.Update(), now)
	if applied && m.Servers != nil {
		f.adoptDepartures(m.Servers.Updated, now)
	}
	if m.Whole || f.remoteProcesses[m.From] == nil {
		f.remoteProcesses[m.From] = map[string]wire.Process{}
	}
	for _, p := range m.Processes {
		f.remoteProcesses[m.From][p.Name] = p
	}
	for _, name := range m.Left {
		delete(f.remoteProcesses[m.From], name)
	}
	f.dirty = true
	f.mu.Unlock()
	signal(f.wake)
	if !known {
		f.log.WithFields(log.Fields{"replica": m.From, "processes": len(m.Processes)}).Info("replica_shares")
	}
	if !applied {
		s.Close() // the next session starts with the full table
	}
	return applied
}

// adoptDepartures makes the departures that another replica shares this replica's own, which
// it shares in turn. They then reach every replica that has a path to one that knows them, also
// if the replica at which a server deregistered has failed since. The caller holds mu.
func (f *fleet) adoptDepartures(servers []wire.Server, now time.Time) {
	for _, s := range servers {
		if s.Gone {
			f.localServers.Apply(s.Record(), now)
		}
	}
}

// sharedTimeout limits the wait until another replica holds a departure. A server calls another
// replica after a second without an answer.
const sharedTimeout = 700 * time.Millisecond

// AwaitShared waits until another replica holds what this replica knows of a server. The
// acknowledgement of a departure promises that no entry uses the server any more after the drain
// bound, also if this replica stops in the next moment. Without other replicas there is nobody
// to wait for.
func (f *fleet) AwaitShared(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, sharedTimeout)
	defer cancel()
	for {
		f.mu.Lock()
		shared := f.sharedVersion >= f.localServers.ChangedAt(id) || f.alone()
		changed := f.sharedChanged
		f.mu.Unlock()
		if shared {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			f.log.WithField("server", id).Warn("departure_not_shared")
			return oops.In("control").With("server", id).Wrap(ErrNotShared)
		}
	}
}

// RecordShareAck records that another replica holds a version of localServers.
func (f *fleet) RecordShareAck(m wire.ShareAck) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Version > f.sharedVersion && m.Version <= f.localServers.Version() {
		f.sharedVersion = m.Version
		close(f.sharedChanged)
		f.sharedChanged = make(chan struct{})
	}
}

// endShare handles the end of a session over which another replica shared. Its
// state is kept until lostReplicaTTL or lostProcessTTL has passed. The caller
// holds mu.
func (f *fleet) endShare(s *transport.Session, now time.Time) {
	name, ok := f.shareSources[s]
	delete(f.shareSources, s)
	if !ok || slices.Contains(slices.Collect(maps.Values(f.shareSources)), name) {
		return // it has a newer session
	}
	f.lostAt[name] = now
	f.remoteServers.SourceLost(name, now)
	f.log.WithField("replica", name).Warn("replica_share_lost")
}

// removeLostProcesses removes the processes of replicas whose session ended
// more than lostProcessTTL ago, and reports whether any replica was removed.
// The caller holds mu.
func (f *fleet) removeLostProcesses(now time.Time) bool {
	dropped := false
	for name, at := range f.lostAt {
		if now.Sub(at) >= lostProcessTTL {
			delete(f.lostAt, name)
			delete(f.remoteProcesses, name)
			dropped = true
		}
	}
	return dropped
}

// lostProcessTTL is how long the processes of a replica are kept after its
// session ended. They switch to another replica as soon as they detect the
// loss, which takes about 3 s.
const lostProcessTTL = 4 * time.Second
