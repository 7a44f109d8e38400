package control

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/raft"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

var (
	// ErrNotAccepted means that a command was not accepted and will not be.
	ErrNotAccepted = errors.New("not accepted")
	// ErrOutcomeUnknown means that it is unknown whether a command was
	// accepted.
	ErrOutcomeUnknown = errors.New("not known whether it was accepted; send it again")
	// ErrNotCurrent means that this replica cannot confirm which state is the
	// newest.
	ErrNotCurrent = errors.New("the newest state cannot be confirmed")
	// ErrNotShared means that no other replica has confirmed in time that it knows of a
	// departure.
	ErrNotShared = errors.New("no other replica knows of the departure yet")
	// ErrContradictory means that a check-in states another service or address than
	// the same incarnation of the server did before.
	ErrContradictory = errors.New("the same start of this server has another service or address")
)

const (
	// commitTimeout limits how long an operator's request waits for a quorum.
	// Operators try another replica after one second without an answer.
	commitTimeout = 900 * time.Millisecond
	// commitRetryInterval is the pause between two attempts while there is no
	// leader.
	commitRetryInterval = 30 * time.Millisecond
)

// ReplaceRouting commits a valid routing document, unless a document of the
// same or a higher version is already accepted.
func (d *Daemon) ReplaceRouting(ctx context.Context, doc *routing.Document) error {
	compressed, err := routing.Compress(doc.Source)
	if err != nil {
		return oops.In("control").Wrap(err)
	}
	result, err := d.commit(ctx, ledger.Command{Routing: &ledger.SetRouting{Version: doc.Version, Document: compressed}})
	d.log.WithFields(log.Fields{
		"version": doc.Version, "routes": len(doc.Routes), "bytes": len(doc.Source), "repeated": result.Repeated, "error": errorText(err),
	}).Info("routing_submitted")
	return err
}

// NameWeights sets the version of a model's weights that must be in place.
func (d *Daemon) NameWeights(ctx context.Context, model string, version uint64) error {
	result, err := d.commit(ctx, ledger.Command{Weights: &ledger.SetWeightsVersion{Model: model, Version: version}})
	d.log.WithFields(log.Fields{
		"model": model, "version": version, "repeated": result.Repeated, "error": errorText(err),
	}).Info("weights_named")
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// commit has a command committed by this replica or by the leader that it
// knows, and retries while there is no leader.
func (d *Daemon) commit(ctx context.Context, c ledger.Command) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	data, err := wire.Marshal(c)
	if err != nil {
		return ledger.Result{}, oops.In("control").Wrap(err)
	}
	for {
		reply := d.proposeToLeader(ctx, c, data)
		switch reply.Status {
		case wire.ProposeCommitted:
			var result ledger.Result
			if err := wire.Unmarshal(reply.Result, &result); err != nil {
				return result, errors.Join(ErrOutcomeUnknown, err)
			}
			if result.Status != ledger.StatusAccepted {
				return result, oops.In("control").Wrapf(ErrNotAccepted, "%s", result.Reason)
			}
			return result, nil
		case wire.ProposeUnknown:
			return ledger.Result{}, oops.In("control").Wrapf(ErrOutcomeUnknown, "%s", reply.Detail)
		}
		if !pause(ctx.Done(), commitRetryInterval) {
			return ledger.Result{}, oops.In("control").Wrapf(ErrNotAccepted, "no leader reached: %s", reply.Detail)
		}
	}
}

func (d *Daemon) proposeToLeader(ctx context.Context, c ledger.Command, data []byte) wire.ProposeReply {
	session := d.leaderSession()
	if session == nil {
		return d.proposeReply(d.replica.Propose(ctx, c))
	}
	var reply wire.ProposeReply
	if err := session.Request(ctx, wire.Propose{Command: data}, &reply); err != nil {
		return wire.ProposeReply{Status: wire.ProposeUnknown, Detail: err.Error()}
	}
	return reply
}

// leaderSession returns the session to the leader, or nil if this replica is
// the leader or has no session to one.
func (d *Daemon) leaderSession() *transport.Session {
	v := d.replica.View()
	if v.Raft.Role == raft.Leader || v.Raft.Leader == "" {
		return nil
	}
	return d.peers.Session(v.Raft.Leader)
}

// CurrentRouting returns the newest accepted document, confirmed by a quorum.
func (d *Daemon) CurrentRouting(ctx context.Context) (*routing.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := d.currentRouting(ctx)
	if err != nil {
		d.log.WithError(err).Info("routing_read_refused")
		return nil, err
	}
	source, err := routing.Decompress(reply.Document)
	if err != nil {
		return nil, oops.In("control").Wrap(err)
	}
	return &routing.Document{Version: reply.Version, Source: source}, nil
}

func (d *Daemon) currentRouting(ctx context.Context) (wire.Routing, error) {
	var reply wire.Routing
	if session := d.leaderSession(); session != nil {
		if err := session.Request(ctx, wire.RoutingRequest{Confirm: true}, &reply); err != nil {
			return reply, oops.In("control").Wrapf(ErrNotCurrent, "%s", err.Error())
		}
	} else if !d.replica.LinearizableRead(ctx, func(l *ledger.Ledger) { reply = routingOf(l.Routing()) }) {
		return reply, oops.In("control").Wrapf(ErrNotCurrent, "no quorum confirms this replica")
	}
	if reply.Version == 0 {
		return reply, oops.In("control").Wrapf(ErrNotCurrent, "no routing document was accepted yet")
	}
	return reply, nil
}

func routingOf(r ledger.SetRouting) wire.Routing {
	return wire.Routing{Version: r.Version, Document: r.Document}
}

// receiveRoutingRequest answers a replica, entry or stager. A confirmed answer
// comes from the leader, which has to ask a quorum, so it is given in another
// goroutine that does not block reads of the session.
func (d *Daemon) receiveRoutingRequest(ctx context.Context, s *transport.Session, env wire.Envelope, m wire.RoutingRequest) {
	if !m.Confirm {
		_ = s.Reply(env, routingOf(d.replica.View().Routing)) // a failed send ends the session
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		reply, err := d.currentRouting(ctx)
		if err != nil {
			_ = s.Reply(env, wire.Error{Code: "not-current", Detail: err.Error()}) // a failed send ends the session
			return
		}
		_ = s.Reply(env, reply)
	}()
}

// CheckIn records a check-in of a server, or returns ErrContradictory.
func (d *Daemon) CheckIn(s wire.Server) error { return d.fleet.CheckIn(s, time.Now()) }

// Depart records that a server deregisters.
func (d *Daemon) Depart(id string, started uint64) { d.fleet.Depart(id, started, time.Now()) }

// AwaitShared waits until another replica holds what this one knows of a server, or returns
// ErrNotShared.
func (d *Daemon) AwaitShared(ctx context.Context, id string) error {
	return d.fleet.AwaitShared(ctx, id)
}
