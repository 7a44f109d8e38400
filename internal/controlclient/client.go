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

// ErrNotCommitted means that a command was not committed and will not be.
var ErrNotCommitted = errors.New("command was not committed")

// ErrOutcomeUnknown means that it is unknown whether a command was committed.
var ErrOutcomeUnknown = errors.New("not known whether the command was committed")

const (
	proposeRetryInterval = 50 * time.Millisecond
	// maxReplicas limits the number of known replicas, including those learned
	// from other replicas.
	maxReplicas = 16
)

// Config configures a Client.
type Config struct {
	Name  string // name of the instance or endpoint, for the logs of the replicas
	Token string // bearer token of the processes
	// Replicas lists session addresses (IP and port) of control replicas.
	// Further replicas are learned from confirmations and from replies to
	// proposals.
	Replicas []string
	// Members subscribes to member updates in addition to the catalogue.
	Members bool
	// PeersOnly, with Members, omits changes of load and readiness.
	PeersOnly bool
	// Revision returns the catalogue revision that the caller holds, for a new
	// subscription.
	Revision func() uint64
	// OnCatalogue, OnMembers and OnConfirm are called with messages of
	// replicas. Calls for different replicas are concurrent.
	OnCatalogue func(replica string, c wire.Catalogue)
	OnMembers   func(replica string, m wire.Members)
	OnConfirm   func(replica string, r wire.ConfirmReply)
	// OnLoads is called with the loads that FollowLoads asks for.
	OnLoads func(replica string, m wire.Loads)
	// OnConnect and OnDisconnect, if set, are called when a session opens, and
	// when one ends or cannot be opened.
	OnConnect    func(replica string, s *transport.Session)
	OnDisconnect func(replica string, err error)
	ByteCounts   *transport.ByteCounts
	// Network opens the connections. Default: the network of the operating
	// system.
	Network network.Network
}

// Client manages the sessions. Run starts it.
type Client struct {
	cfg Config

	mu          sync.Mutex
	leader      string
	dialers     map[string]*transport.Dialer
	order       []string                // addresses in the order in which they were learned
	startDialer func(*transport.Dialer) // set while Run is running

	sessions     sessionStates
	announceMu   sync.Mutex // orders announcements
	loads        *loadSources
	loadsChanged chan struct{}
}

// New returns a client. Call Run to start it.
func New(cfg Config) *Client {
	c := &Client{
		cfg: cfg, dialers: map[string]*transport.Dialer{},
		loads: newLoadSources(), loadsChanged: make(chan struct{}, 1),
	}
	c.addReplicas(cfg.Replicas...)
	return c
}

// addReplicas adds the replicas that are not known yet.
func (c *Client) addReplicas(addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		if _, known := c.dialers[address]; known || address == "" || len(c.dialers) >= maxReplicas {
			continue
		}
		d := c.newDialer(address)
		c.dialers[address] = d
		c.order = append(c.order, address)
		if c.startDialer != nil {
			c.startDialer(d)
		}
	}
}

// dialer returns the dialer of a replica, or nil if it is not known.
func (c *Client) dialer(address string) *transport.Dialer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialers[address]
}

func (c *Client) allDialers() []*transport.Dialer {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*transport.Dialer, 0, len(c.order))
	for _, address := range c.order {
		list = append(list, c.dialers[address])
	}
	return list
}

func (c *Client) dialersByAddress() map[string]*transport.Dialer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.dialers)
}

func (c *Client) newDialer(address string) *transport.Dialer {
	return &transport.Dialer{
		Address: address,
		Token:   c.cfg.Token,
		Bytes:   c.cfg.ByteCounts,
		Network: c.cfg.Network,
		Handler: func(_ context.Context, s *transport.Session, env wire.Envelope) { c.receive(address, s, env) },
		OnOpen:  func(s *transport.Session) { c.opened(address, s) },
		OnFailure: func(err error) {
			c.loads.closed(address)
			c.triggerLoadPlan()
			if c.cfg.OnDisconnect != nil {
				c.cfg.OnDisconnect(address, err)
			}
		},
	}
}

// Run keeps all sessions open until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	start := func(d *transport.Dialer) { wg.Go(func() { d.Run(ctx) }) }
	c.mu.Lock()
	c.startDialer = start
	for _, address := range c.order {
		start(c.dialers[address])
	}
	c.mu.Unlock()
	if c.cfg.OnLoads != nil {
		wg.Go(func() { c.loadLoop(ctx) })
	}
	<-ctx.Done()
	c.mu.Lock()
	c.startDialer = nil
	c.mu.Unlock()
	wg.Wait()
}

func (c *Client) opened(address string, s *transport.Session) {
	c.sessions.opened(address, s)
	subscribe := wire.Subscribe{Name: c.cfg.Name, Members: c.cfg.Members, Peers: c.cfg.PeersOnly}
	if c.cfg.Revision != nil {
		subscribe.Revision = c.cfg.Revision()
	}
	_ = s.Send(subscribe)
	c.loads.opened(address)
	c.triggerLoadPlan()
	if c.cfg.OnConnect != nil {
		c.cfg.OnConnect(address, s)
	}
}

func (c *Client) receive(address string, s *transport.Session, env wire.Envelope) {
	switch env.Type {
	case wire.TypeCatalogue:
		deliver(env, address, c.cfg.OnCatalogue)
	case wire.TypeMembers:
		deliver(env, address, c.cfg.OnMembers)
	case wire.TypeLoads:
		deliver(env, address, c.receiveLoads)
	case wire.TypeConfirmReply:
		deliver(env, address, func(address string, r wire.ConfirmReply) { c.receiveConfirmReply(address, s, r) })
	}
}

// receiveConfirmReply adds the replicas that a reply lists, because voters
// change during the lifetime of an agent.
func (c *Client) receiveConfirmReply(address string, s *transport.Session, r wire.ConfirmReply) {
	if !c.sessions.expand(address, s, &r) {
		return
	}
	c.addReplicas(slices.Sorted(maps.Values(r.Addresses))...)
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

// Broadcast sends msg on every open session and returns the number of sessions
// that it was queued on.
func (c *Client) Broadcast(msg wire.Message) int {
	sent := 0
	for _, d := range c.allDialers() {
		if s := d.Session(); s != nil && s.Send(msg) == nil {
			sent++
		}
	}
	return sent
}

// Resubscribe requests the full catalogue and member table from one replica,
// after a delta that could not be applied.
func (c *Client) Resubscribe(replica string) {
	d := c.dialer(replica)
	if d == nil {
		return
	}
	if s := d.Session(); s != nil {
		_ = s.Send(wire.Subscribe{Name: c.cfg.Name, Members: c.cfg.Members, Peers: c.cfg.PeersOnly})
	}
}

// Propose asks the leader to commit a command and returns its result. The error
// wraps ErrNotCommitted or ErrOutcomeUnknown. A reply wire.ProposeNotRun is
// retried on other replicas until ctx ends; a command with an unknown outcome
// is never retried.
func (c *Client) Propose(ctx context.Context, cmd ledger.Command) (ledger.Result, error) {
	data, err := wire.Marshal(cmd)
	if err != nil {
		return ledger.Result{}, errors.Join(ErrNotCommitted, err)
	}
	for {
		for _, address := range c.candidates() {
			reply, err := c.proposeTo(ctx, address, data)
			if err != nil {
				return ledger.Result{}, err
			}
			if reply.Leader != "" {
				c.addReplicas(reply.Leader)
				c.setLeader(reply.Leader)
			}
			switch reply.Status {
			case wire.ProposeCommitted:
				c.setLeader(address)
				return decodeResult(reply.Result)
			case wire.ProposeUnknown:
				return ledger.Result{}, oops.In("controlclient").Wrapf(ErrOutcomeUnknown, "%s", reply.Detail)
			}
		}
		select {
		case <-ctx.Done():
			return ledger.Result{}, oops.In("controlclient").Wrapf(ErrNotCommitted, "no leader reached")
		case <-time.After(proposeRetryInterval):
		}
	}
}

func decodeResult(data []byte) (ledger.Result, error) {
	var result ledger.Result
	if err := wire.Unmarshal(data, &result); err != nil {
		return result, errors.Join(ErrOutcomeUnknown, err)
	}
	return result, nil
}

// proposeTo sends the command to one replica. Without an open session the
// status is wire.ProposeNotRun, since nothing was sent.
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
		return reply, oops.In("controlclient").Wrapf(ErrOutcomeUnknown, "replica %s: %v", address, err)
	}
}

// candidates returns the addresses of the replicas, the last known leader
// first.
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
