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
	// leaderCheckTimeout limits the check whether a read is current. Without a
	// quorum the request is answered all the same and marked as not current.
	leaderCheckTimeout = 500 * time.Millisecond
	// maxConcurrentProposals limits the proposals in progress; further ones are
	// refused with the status wire.ProposeNotRun.
	maxConcurrentProposals = 4096
	// maxCommandBytes limits the size of a proposal. The ledger discards a
	// recorded answer above ledger.MaxResultBytes, but the log would store it.
	maxCommandBytes = 1 << 20
)

// receive handles a message received on the session port.
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
		handleMessage(d, s, env, func(m wire.Share) { d.receiveShare(s, m) })
	case wire.TypeRoutingRequest:
		handleMessage(d, s, env, func(m wire.RoutingRequest) { d.receiveRoutingRequest(ctx, s, env, m) })
	case wire.TypeWeightsRequest:
		_ = s.Reply(env, d.fleet.Weights(time.Now())) // a failed send ends the session
	case wire.TypePropose:
		handleMessage(d, s, env, func(m wire.Propose) { d.receiveProposal(ctx, s, env, m) })
	default:
		_ = s.Reply(env, wire.Error{Code: "unsupported", Detail: "message kind not served here"})
	}
}

// receiveShare applies the share of another replica and acknowledges the servers in it.
func (d *Daemon) receiveShare(s *transport.Session, m wire.Share) {
	if !d.fleet.ApplyShare(s, m, time.Now()) || m.Servers == nil {
		return
	}
	if err := s.Send(wire.ShareAck{Version: m.Servers.Version}); err != nil {
		s.Close() // the full table of the next session is acknowledged
	}
}

// receiveReply handles a message of another replica on a session that this one has opened.
func (d *Daemon) receiveReply(s *transport.Session, env wire.Envelope) {
	if env.Type == wire.TypeShareAck {
		handleMessage(d, s, env, d.fleet.RecordShareAck)
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

// confirmReply returns this replica's reply to a confirmation request. The
// voters are those of the newest membership that is known to be committed: a
// newer membership that is only in this log may never be committed, and is
// covered by Unresolved.
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

// sentConfirm is what the confirmation replies on a session have already
// included.
type sentConfirm struct {
	membershipIndex uint64 // index of the membership whose addresses were sent
	voterIndex      uint64
}

// sendConfirmReply replies to a confirmation request without the parts that
// were sent on this session before: addresses and voters made up most of the
// bytes of confirmation. If the reply cannot be queued, the next one is full
// again.
func (d *Daemon) sendConfirmReply(s *transport.Session, m wire.ConfirmRequest) {
	v := d.replica.View()
	full := confirmReplyOf(v, m)
	sent := sentConfirm{membershipIndex: v.Raft.Membership.Index, voterIndex: full.VoterIndex}
	if s.Send(shortenReply(full, m.Short, d.sentConfirmTo(s), sent)) != nil {
		d.sentConfirms.Delete(s)
		return
	}
	d.sentConfirms.Store(s, &sent)
}

// sentConfirmTo returns what was sent on a session, or nil.
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

// sessionClosed removes the state that is kept for a session.
func (d *Daemon) sessionClosed(s *transport.Session) {
	d.hub.Unsubscribe(s)
	d.fleet.CloseSession(s)
	d.sentConfirms.Delete(s)
	d.lastAnnounces.Delete(s)
}

// receiveKeepAlive handles a keep-alive, which repeats the last full
// announcement of its session. If that one is missing, the session is closed,
// and the agent sends a full announcement on the next one.
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

// receiveProposal handles a proposal of an entry or agent. Notes are accepted
// only on the operator port.
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
	case d.proposalSlots <- struct{}{}:
	default:
		_ = s.Reply(env, wire.ProposeReply{Status: wire.ProposeNotRun, Detail: "too many proposals in work"})
		return
	}
	go func() {
		defer func() { <-d.proposalSlots }()
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
