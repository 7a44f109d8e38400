package controlclient

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
)

// ErrNotRun means that a command was not and will not be committed.
var ErrNotRun = errors.New("command was not committed")

// ErrUnknown means that it is not known whether a command was committed.
var ErrUnknown = errors.New("not known whether the command was committed")

const proposeRetryInterval = 50 * time.Millisecond

// Config configures a Client.
type Config struct {
	Name  string // instance or endpoint name, for the replicas' logs
	Token string // bearer token of the system's processes
	// Replicas are the session addresses (IP and port) of control replicas.
	Replicas []string
	// Members asks for member updates as well as the catalogue.
	Members bool
	// Peers, with Members, leaves out changes of load and readiness.
	Peers bool
	// Revision returns the catalogue revision held, for a new subscription.
	Revision func() uint64
	// OnCatalogue, OnMembers and OnConfirm receive what replicas send. Calls
	// from different replicas are concurrent.
	OnCatalogue func(replica string, c wire.Catalogue)
	OnMembers   func(replica string, m wire.Members)
	OnConfirm   func(replica string, r wire.ConfirmReply)
	// OnOpen and OnLost, when set, are told of sessions.
	OnOpen func(replica string, s *transport.Session)
	OnLost func(replica string, err error)
	Bytes  *transport.ByteCounts
	// Network opens the connections; nil uses the operating system's.
	Network network.Network
}

// Client holds the sessions. Run starts it.
type Client struct {
	cfg     Config
	dialers map[string]*transport.Dialer

	mu     sync.Mutex
	leader string
}

// New returns a client that has not started.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, dialers: map[string]*transport.Dialer{}}
	for _, address := range cfg.Replicas {
		c.dialers[address] = c.newDialer(address)
	}
	return c
}

func (c *Client) newDialer(address string) *transport.Dialer {
	return &transport.Dialer{
		Address: address,
		Token:   c.cfg.Token,
		Bytes:   c.cfg.Bytes,
		Network: c.cfg.Network,
		Handler: func(_ context.Context, _ *transport.Session, env wire.Envelope) { c.receive(address, env) },
		Opened:  func(s *transport.Session) { c.opened(address, s) },
		Failed: func(err error) {
			if c.cfg.OnLost != nil {
				c.cfg.OnLost(address, err)
			}
		},
	}
}

// Run keeps all sessions open until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, d := range c.dialers {
		wg.Go(func() { d.Run(ctx) })
	}
	wg.Wait()
}

func (c *Client) opened(address string, s *transport.Session) {
	subscribe := wire.Subscribe{Name: c.cfg.Name, Members: c.cfg.Members, Peers: c.cfg.Peers}
	if c.cfg.Revision != nil {
		subscribe.Revision = c.cfg.Revision()
	}
	_ = s.Send(subscribe)
	if c.cfg.OnOpen != nil {
		c.cfg.OnOpen(address, s)
	}
}

func (c *Client) receive(address string, env wire.Envelope) {
	switch env.Type {
	case wire.TypeCatalogue:
		deliver(env, address, c.cfg.OnCatalogue)
	case wire.TypeMembers:
		deliver(env, address, c.cfg.OnMembers)
	case wire.TypeConfirmReply:
		deliver(env, address, c.cfg.OnConfirm)
	}
}

func deliver[M wire.Message](env wire.Envelope, address string, to func(string, M)) {
	var msg M
	if to != nil && env.Into(&msg) == nil {
		to(address, msg)
	}
}

// Broadcast sends msg to every replica with an open session and returns how
// many it was queued for.
func (c *Client) Broadcast(msg wire.Message) int {
	sent := 0
	for _, d := range c.dialers {
		if s := d.Session(); s != nil && s.Send(msg) == nil {
			sent++
		}
	}
	return sent
}

// Resubscribe asks one replica for the full catalogue and member table, after
// a delta that does not fit.
func (c *Client) Resubscribe(replica string) {
	d, ok := c.dialers[replica]
	if !ok {
		return
	}
	if s := d.Session(); s != nil {
		_ = s.Send(wire.Subscribe{Name: c.cfg.Name, Members: c.cfg.Members, Peers: c.cfg.Peers})
	}
}

// Propose asks the leader to commit a command and returns its result. The
// error is ErrNotRun or ErrUnknown, possibly wrapped. A reply "not run" is
// retried on other replicas until ctx ends; "unknown" never is.
func (c *Client) Propose(ctx context.Context, cmd ledger.Command) (ledger.Result, error) {
	data, err := wire.Marshal(cmd)
	if err != nil {
		return ledger.Result{}, errors.Join(ErrNotRun, err)
	}
	for {
		for _, address := range c.candidates() {
			reply, err := c.proposeTo(ctx, address, data)
			if err != nil {
				return ledger.Result{}, err
			}
			if reply.Leader != "" {
				c.setLeader(reply.Leader)
			}
			switch reply.Status {
			case wire.ProposeCommitted:
				c.setLeader(address)
				return decodeResult(reply.Result)
			case wire.ProposeUnknown:
				return ledger.Result{}, oops.In("controlclient").Wrapf(ErrUnknown, "%s", reply.Detail)
			}
		}
		select {
		case <-ctx.Done():
			return ledger.Result{}, oops.In("controlclient").Wrapf(ErrNotRun, "no leader reached")
		case <-time.After(proposeRetryInterval):
		}
	}
}

func decodeResult(data []byte) (ledger.Result, error) {
	var result ledger.Result
	if err := wire.Unmarshal(data, &result); err != nil {
		return result, errors.Join(ErrUnknown, err)
	}
	return result, nil
}

// proposeTo sends the command to one replica. A session that is not open gives
// "not run": nothing was sent.
func (c *Client) proposeTo(ctx context.Context, address string, data []byte) (wire.ProposeReply, error) {
	notRun := wire.ProposeReply{Status: wire.ProposeNotRun}
	d, ok := c.dialers[address]
	if !ok {
		return notRun, nil
	}
	s := d.Session()
	if s == nil {
		return notRun, nil
	}
	var reply wire.ProposeReply
	err := s.Request(ctx, wire.Propose{Command: data}, &reply)
	switch {
	case err == nil:
		return reply, nil
	case errors.Is(err, transport.ErrBackpressure):
		return notRun, nil
	default:
		return reply, oops.In("controlclient").Wrapf(ErrUnknown, "replica %s: %v", address, err)
	}
}

// candidates lists the replicas, the last known leader first.
func (c *Client) candidates() []string {
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	order := make([]string, 0, len(c.dialers))
	if _, ok := c.dialers[leader]; ok {
		order = append(order, leader)
	}
	for _, address := range c.cfg.Replicas {
		if address != leader {
			order = append(order, address)
		}
	}
	return order
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	c.leader = address
	c.mu.Unlock()
}
