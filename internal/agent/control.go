package agent

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/confirm"
	"github.com/rhubarbhill/rhubarbhill/internal/transfer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	confirmInterval  = 500 * time.Millisecond
	announceInterval = time.Second
	// minAnnounceInterval is the minimum time between two announcements.
	minAnnounceInterval = 50 * time.Millisecond
	// membersTimeout is the maximum time that a fetch waits for the first
	// member table. Control replicas send the table right after the catalogue.
	// Without it, a fetch downloads chunks from the origin that peers already
	// hold.
	membersTimeout = 2 * time.Second
)

// confirmLoop starts confirmation rounds at intervals and on request. In each
// round, all voters are asked for their revision.
func (a *Agent) confirmLoop(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		a.state.mu.Lock()
		mark := a.state.lease.StartRound(time.Now())
		a.state.mu.Unlock()
		a.control.RequestConfirmation(mark)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.confirmNow:
		}
	}
}

func (a *Agent) receiveConfirm(_ string, r wire.ConfirmReply) {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	before := s.lease.Held(now)
	s.lease.Receive(confirm.Reply{
		Round: r.Mark, Replica: r.Replica, Revision: r.Revision, Unresolved: r.Unresolved,
		Voters: r.Voters, VoterIndex: r.VoterIndex,
	})
	s.term = max(s.term, r.Term)
	if s.lease.Held(now) != before {
		s.notify()
		a.reconciler.trigger()
	}
}

func (a *Agent) sessionOpened() {
	select {
	case a.confirmNow <- struct{}{}:
	default:
	}
	a.state.notify()
}

func (a *Agent) sessionLost(replica string, err error) {
	a.log.WithField("replica", replica).WithError(err).Debug("control_session_lost")
	a.membersMu.Lock()
	a.members.SourceLost(replica, time.Now())
	a.membersMu.Unlock()
}

func (a *Agent) receiveCatalogue(replica string, c wire.Catalogue) {
	next, ok := a.nextCatalogue(c)
	if !ok {
		a.control.Resubscribe(replica)
		return
	}
	if next == nil || !a.state.setCatalogue(*next) {
		return
	}
	a.log.WithField("revision", next.Revision).Info("catalogue_in_force")
	a.state.notify()
	a.reconciler.trigger()
}

// nextCatalogue returns the catalogue that a message leads to, nil if the
// message contains nothing new, and false if it does not fit the agent's
// catalogue.
func (a *Agent) nextCatalogue(c wire.Catalogue) (*release.Catalogue, bool) {
	a.state.mu.Lock()
	current, has := a.state.catalogue, a.state.hasCatalogue
	a.state.mu.Unlock()
	if has && c.Revision <= current.Revision {
		return nil, true
	}
	var next release.Catalogue
	switch {
	case c.Full != nil:
		next = *c.Full
	case c.Delta != nil:
		applied, err := c.Delta.Apply(current)
		if err != nil || !has {
			return nil, false
		}
		next = applied
	default:
		return nil, true
	}
	if next.Revision != c.Revision || next.Digest() != c.Digest {
		a.log.WithFields(log.Fields{"revision": c.Revision, "full": c.Full != nil}).Error("catalogue_digest_mismatch")
		return nil, false
	}
	return &next, true
}

func (a *Agent) receiveMembers(replica string, m wire.Members) {
	a.membersMu.Lock()
	applied := a.members.Apply(replica, m.Update(), time.Now())
	a.peersStale = true
	a.membersMu.Unlock()
	if !applied {
		a.control.Resubscribe(replica)
		return
	}
	a.firstMembers.Do(func() { close(a.membersReceived) })
}

// awaitPeers waits up to membersTimeout for the first member table and passes
// the newest peers to the transfer.
func (a *Agent) awaitPeers(ctx context.Context) {
	timer := time.NewTimer(membersTimeout)
	defer timer.Stop()
	select {
	case <-a.membersReceived:
	case <-timer.C:
		a.log.Warn("no_member_table")
	case <-ctx.Done():
	}
	a.updatePeers()
}

// updatePeers passes the agents that fetch the same weights to the transfer. It
// runs with each announcement and before each fetch, not on each member update:
// that took 3 ms per update with 800 members.
func (a *Agent) updatePeers() {
	if !a.isEngine() {
		return
	}
	a.peersMu.Lock()
	defer a.peersMu.Unlock()
	a.membersMu.Lock()
	expired := a.members.Expire(time.Now())
	if len(expired) == 0 && !a.peersStale {
		a.membersMu.Unlock()
		return
	}
	a.peersStale = false
	var peers []transfer.Peer
	for _, r := range a.members.Live() {
		p := r.Report
		if p.Endpoint != a.cfg.Settings.Endpoint && p.Kind == wire.KindEngine && p.Role == a.cfg.Settings.Role {
			peers = append(peers, transfer.Peer{Endpoint: p.Endpoint, Region: p.Region, Zone: p.Zone, ChunkAddress: p.ChunkAddress})
		}
	}
	a.membersMu.Unlock()
	a.cfg.Transfer.SetPeers(peers)
}

// announceLoop sends an announcement every second and on changes.
func (a *Agent) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a.announce()
		a.updatePeers()
		select {
		case <-ctx.Done():
			return
		case <-time.After(minAnnounceInterval):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.state.changed:
		}
	}
}

func (a *Agent) announce() { a.control.Announce(a.announcement()) }

// announceGone sends the last announcement, which says that the agent has
// stopped.
func (a *Agent) announceGone() {
	a.state.mu.Lock()
	a.gone = true
	a.state.mu.Unlock()
	if a.control.Announce(a.announcement()) > 0 {
		time.Sleep(finalAnnounceDelay)
	}
}

func (a *Agent) announcement() wire.Announce {
	settings := a.cfg.Settings
	var rollouts []wire.RolloutProgress
	if a.isEngine() {
		rollouts = a.reconciler.progress()
	}
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	a.sequence++
	return wire.Announce{
		Endpoint: settings.Endpoint, Incarnation: a.incarnation, Sequence: a.sequence,
		Kind: settings.Kind, Role: settings.Role, Service: settings.Service,
		Zone: settings.Zone, Region: settings.Region,
		GateAddress: settings.AdvertiseGate, ChunkAddress: settings.AdvertisePeer,
		Sets: s.servable(), InFlight: s.gate.InFlight(), Capacity: s.gate.Capacity(),
		Ready: s.ready(), Draining: s.gate.Draining(), Revision: s.catalogue.Revision,
		Confirmed: s.lease.Held(time.Now()), Rollouts: rollouts, Gone: a.gone,
		Crash: a.crashes.recentCrash(time.Now()),
	}
}
