package controlclient

import (
	"context"
	"errors"
	"maps"
	"slices"
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

const (
	proposeRetryInterval = 50 * time.Millisecond
	// maxReplicas bounds the addresses learned from replicas.
	maxReplicas = 16
)

// Config configures a Client.
type Config struct {
	Name  string // instance or endpoint name, for the replicas' logs
	Token string // bearer token of the system's processes
	// Replicas are the session addresses (IP and port) of control replicas.
	// Further ones are learned from what replicas answer.
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
	// OnLoads receives the loads asked for with FollowLoads.
	OnLoads func(replica string, m wire.Loads)
	// OnOpen and OnLost, when set, are told of sessions.
	OnOpen func(replica string, s *transport.Session)
	OnLost func(replica string, err error)
	Bytes  *transport.ByteCounts
	// Network opens the connections; nil uses the operating system's.
	Network network.Network
}

// Client holds the sessions. Run starts it.
type Client struct {
	cfg Config

	mu      sync.Mutex
	leader  string
	dialers map[string]*transport.Dialer
	order   []string                // addresses in the order they became known
	run     func(*transport.Dialer) // set while Run runs

	sessions     sessionStates
	announcing   sync.Mutex // keeps announcements in order
	loads        *loadSources
	loadsChanged chan struct{}
}

// New returns a client that has not started.
func New(cfg Config) *Client {
	c := &Client{
		cfg: cfg, dialers: map[string]*transport.Dialer{},
		loads: newLoadSources(), loadsChanged: make(chan struct{}, 1),
	}
	c.learn(cfg.Replicas...)
	return c
}

// learn adds replicas that are not known yet.
func (c *Client) learn(addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		if _, known := c.dialers[address]; known || address == "" || len(c.dialers) >= maxReplicas {
			continue
		}
		d := c.newDialer(address)
		c.dialers[address] = d
		c.order = append(c.order, address)
		if c.run != nil {
			c.run(d)
		}
	}
}

// dialer returns the dialer of a known replica, or nil.
func (c *Client) dialer(address string) *transport.Dialer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialers[address]
}

func (c *Client) all() []*transport.Dialer {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*transport.Dialer, 0, len(c.order))
	for _, address := range c.order {
		list = append(list, c.dialers[address])
	}
	return list
}

func (c *Client) byAddress() map[string]*transport.Dialer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.dialers)
}

func (c *Client) newDialer(address string) *transport.Dialer {
	return &transport.Dialer{
		Address: address,
		Token:   c.cfg.Token,
		Bytes:   c.cfg.Bytes,
		Network: c.cfg.Network,
		Handler: func(_ context.Context, s *transport.Session, env wire.Envelope) { c.receive(address, s, env) },
		OnOpen:  func(s *transport.Session) { c.opened(address, s) },
		OnFailure: func(err error) {
			c.loads.lost(address)
			c.planLoads()
			if c.cfg.OnLost != nil {
				c.cfg.OnLost(address, err)
			}
		},
	}
}

// Run keeps all sessions open until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	start := func(d *transport.Dialer) { wg.Go(func() { d.Run(ctx) }) }
	c.mu.Lock()
	c.run = start
	for _, address := range c.order {
		start(c.dialers[address])
	}
	c.mu.Unlock()
	if c.cfg.OnLoads != nil {
		wg.Go(func() { c.loadLoop(ctx) })
	}
	<-ctx.Done()
	c.mu.Lock()
	c.run = nil
	c.mu.Unlock()
	wg.Wait()
}

func (c *Client) opened(address string, s *transport.Session) {
	c.sessions.opened(address, s)
	subscribe := wire.Subscribe{Name: c.cfg.Name, Members: c.cfg.Members, Peers: c.cfg.Peers}
	if c.cfg.Revision != nil {
		subscribe.Revision = c.cfg.Revision()
	}
	_ = s.Send(subscribe)
	c.loads.opened(address)
	c.planLoads()
	if c.cfg.OnOpen != nil {
		c.cfg.OnOpen(address, s)
	}
}

func (c *Client) receive(address string, s *transport.Session, env wire.Envelope) {
	switch env.Type {
	case wire.TypeCatalogue:
		deliver(env, address, c.cfg.OnCatalogue)
	case wire.TypeMembers:
		deliver(env, address, c.cfg.OnMembers)
	case wire.TypeLoads:
		deliver(env, address, c.receivedLoads)
	case wire.TypeConfirmReply:
		deliver(env, address, func(address string, r wire.ConfirmReply) { c.confirmed(address, s, r) })
	}
}

// confirmed learns the replicas that an answer names: voters change over the
// life of an agent.
func (c *Client) confirmed(address string, s *transport.Session, r wire.ConfirmReply) {
	if !c.sessions.expand(address, s, &r) {
		return
	}
	c.learn(slices.Sorted(maps.Values(r.Addresses))...)
	if c.cfg.OnConfirm != nil {
		c.cfg.OnConfirm(address, r)
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
	for _, d := range c.all() {
		if s := d.Session(); s != nil && s.Send(msg) == nil {
			sent++
		}
	}
	return sent
}

// Resubscribe asks one replica for the full catalogue and member table, after
// a delta that does not fit.
func (c *Client) Resubscribe(replica string) {
	d := c.dialer(replica)
	if d == nil {
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
				c.learn(reply.Leader)
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
	d := c.dialer(address)
	if d == nil {
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
	case errors.Is(err, transport.ErrSendQueueFull):
		return notRun, nil
	default:
		return reply, oops.In("controlclient").Wrapf(ErrUnknown, "replica %s: %v", address, err)
	}
}

// candidates lists the replicas, the last known leader first.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	order := make([]string, 0, len(c.order))
	if _, ok := c.dialers[c.leader]; ok {
		order = append(order, c.leader)
	}
	for _, address := range c.order {
		if address != c.leader {
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
