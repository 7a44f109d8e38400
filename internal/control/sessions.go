package control

import (
	"context"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/raft"
)

const (
	proposeTimeout = 5 * time.Second
	// leaderCheckTimeout bounds the check of a read's currency; without a quorum the
	// answer is given all the same, marked as not current.
	leaderCheckTimeout = 500 * time.Millisecond
	// maxConcurrentProposals bounds proposals in work; more are refused as not run.
	maxConcurrentProposals = 4096
	// maxCommandBytes bounds one proposal. The ledger drops a recorded answer
	// above ledger.MaxResultBytes, but the log would hold it.
	maxCommandBytes = 1 << 20
)

// receive handles one message of the session port.
func (d *Daemon) receive(ctx context.Context, s *transport.Session, env wire.Envelope) {
	switch env.Type {
	case wire.TypeRaft:
		handleMessage(d, s, env, func(m wire.Raft) { d.receiveRaft(m) })
	case wire.TypeConfirmRequest:
		handleMessage(d, s, env, func(m wire.ConfirmRequest) { d.sendConfirmReply(s, m) })
	case wire.TypeAnnounce:
		handleMessage(d, s, env, func(m wire.Announce) {
			d.lastAnnounces.Store(s, &m)
			d.hub.RecordAnnouncement(m, time.Now())
			if env.ID != 0 {
				_ = s.Reply(env, wire.AnnounceReply{Revision: d.replica.View().Catalogue.Revision})
			}
		})
	case wire.TypeKeepAlive:
		handleMessage(d, s, env, func(m wire.KeepAlive) { d.receiveKeepAlive(s, m) })
	case wire.TypeSubscribe:
		handleMessage(d, s, env, func(m wire.Subscribe) { d.hub.Subscribe(s, m) })
	case wire.TypeFollowLoads:
		handleMessage(d, s, env, func(m wire.FollowLoads) { d.hub.FollowLoads(s, m.Endpoints) })
	case wire.TypeProcess:
		handleMessage(d, s, env, func(m wire.Process) { d.fleet.RegisterProcess(s, m) })
	case wire.TypeShare:
		handleMessage(d, s, env, func(m wire.Share) { d.fleet.ApplyShare(s, m, time.Now()) })
	case wire.TypeRoutingRequest:
		handleMessage(d, s, env, func(m wire.RoutingRequest) { d.receiveRoutingRequest(ctx, s, env, m) })
	case wire.TypePropose:
		handleMessage(d, s, env, func(m wire.Propose) { d.receiveProposal(ctx, s, env, m) })
	default:
		_ = s.Reply(env, wire.Error{Code: "unsupported", Detail: "message kind not served here"})
	}
}

func handleMessage[M wire.Message](d *Daemon, s *transport.Session, env wire.Envelope, f func(M)) {
	var m M
	if err := env.Into(&m); err != nil {
		d.metrics.malformed.Inc()
		if env.ID != 0 {
			_ = s.Reply(env, wire.Error{Code: "malformed", Detail: err.Error()})
		}
		return
	}
	f(m)
}

func (d *Daemon) receiveRaft(m wire.Raft) {
	var frame peerFrame
	if wire.Unmarshal(m.Message, &frame) != nil {
		d.metrics.malformed.Inc()
		return
	}
	if frame.Hello != nil {
		d.peers.RecordHello(*frame.Hello, time.Now())
	}
	if frame.Raft == nil {
		return
	}
	message, err := raft.DecodeMessage(frame.Raft)
	if err != nil {
		d.metrics.malformed.Inc()
		return
	}
	d.replica.Step(message)
}

// confirmReply is this replica's answer by the confirmation rule. The voters
// are the newest ones known to be committed: a membership that is only in this
// log may never be, and is covered by Unresolved.
func (d *Daemon) confirmReply(m wire.ConfirmRequest) wire.ConfirmReply {
	return confirmReplyOf(d.replica.View(), m)
}

func confirmReplyOf(v *View, m wire.ConfirmRequest) wire.ConfirmReply {
	return wire.ConfirmReply{
		Mark: m.Mark, Replica: v.Raft.ID, Revision: v.Catalogue.Revision, Unresolved: v.Unresolved,
		Voters: v.Raft.CommittedMembership.Voters, VoterIndex: v.Raft.CommittedMembership.Index,
		Addresses: v.Raft.Membership.Addresses, Term: v.Raft.Term, KeepAlives: true,
	}
}

// sentConfirm is what a session's confirmation replies have said already.
type sentConfirm struct {
	membershipIndex uint64 // index of the membership whose addresses it has
	voterIndex uint64
}

// sendConfirmReply leaves out what the session has: addresses and voters made up
// most of the bytes of confirmation. A reply that could not be queued told
// nothing.
func (d *Daemon) sendConfirmReply(s *transport.Session, m wire.ConfirmRequest) {
	v := d.replica.View()
	full := confirmReplyOf(v, m)
	now := sentConfirm{membershipIndex: v.Raft.Membership.Index, voterIndex: full.VoterIndex}
	if s.Send(shortenReply(full, m.Short, d.sentConfirmTo(s), now)) != nil {
		d.sentConfirms.Delete(s)
		return
	}
	d.sentConfirms.Store(s, &now)
}

// sentConfirmTo returns what a session was told, or nil.
func (d *Daemon) sentConfirmTo(s *transport.Session) *sentConfirm {
	if t, ok := d.sentConfirms.Load(s); ok {
		return t.(*sentConfirm)
	}
	return nil
}

func shortenReply(r wire.ConfirmReply, short bool, before *sentConfirm, now sentConfirm) wire.ConfirmReply {
	if before == nil {
		return r
	}
	if before.membershipIndex == now.membershipIndex {
		r.Addresses = nil
	}
	if short && before.voterIndex == now.voterIndex {
		r.Short, r.Replica, r.Voters, r.KeepAlives = true, "", nil, false
	}
	return r
}

// sessionClosed forgets what is kept for a session.
func (d *Daemon) sessionClosed(s *transport.Session) {
	d.hub.Unsubscribe(s)
	d.fleet.CloseSession(s)
	d.sentConfirms.Delete(s)
	d.lastAnnounces.Delete(s)
}

// receiveKeepAlive takes in an announcement that repeats the last whole one of
// its session. Without that one the session ends: on the next one the agent
// announces itself whole.
func (d *Daemon) receiveKeepAlive(s *transport.Session, m wire.KeepAlive) {
	last, ok := d.lastAnnounces.Load(s)
	if !ok || last.(*wire.Announce).Sequence != m.Base {
		d.metrics.malformed.Inc()
		s.Close()
		return
	}
	a := *last.(*wire.Announce)
	a.Sequence, a.InFlight = m.Sequence, m.InFlight
	d.hub.RecordAnnouncement(a, time.Now())
}

// receiveProposal answers a proposal of an entry or agent. Notes come only over
// the operator port.
func (d *Daemon) receiveProposal(ctx context.Context, s *transport.Session, env wire.Envelope, m wire.Propose) {
	c, err := ledger.Decode(m.Command)
	switch {
	case err != nil:
		_ = s.Reply(env, wire.ProposeReply{Status: wire.ProposeNotRun, Detail: err.Error()})
		return
	case len(m.Command) > maxCommandBytes:
		_ = s.Reply(env, wire.ProposeReply{Status: wire.ProposeNotRun, Detail: "command is too long"})
		return
	case c.Note != nil:
		_ = s.Reply(env, wire.ProposeReply{Status: wire.ProposeNotRun, Detail: "notes are submitted on the operator port"})
		return
	}
	select {
	case d.proposals <- struct{}{}:
	default:
		_ = s.Reply(env, wire.ProposeReply{Status: wire.ProposeNotRun, Detail: "too many proposals in work"})
		return
	}
	go func() {
		defer func() { <-d.proposals }()
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		_ = s.Reply(env, d.proposeReply(d.replica.Propose(ctx, c)))
	}()
}

func (d *Daemon) proposeReply(a ProposeResult) wire.ProposeReply {
	d.metrics.proposals.WithLabelValues(a.Status).Inc()
	reply := wire.ProposeReply{Status: a.Status, Detail: a.Detail}
	if a.Status == wire.ProposeCommitted {
		data, err := wire.Marshal(a.Result)
		if err != nil {
			return wire.ProposeReply{Status: wire.ProposeUnknown, Detail: err.Error()}
		}
		reply.Result = data
		return reply
	}
	v := d.replica.View()
	reply.Leader = v.Raft.Membership.Addresses[v.Raft.Leader]
	return reply
}
