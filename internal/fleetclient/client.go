// Package fleetclient follows the state of the fleet for entries and stagers: the
// accepted routing document, named weights, servers, and processes of the same
// role. It keeps sessions to a few control replicas, so that one that is cut off
// or stopped costs nothing, and what a replica has to tell does not grow with the
// number of replicas.
package fleetclient

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/membership"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

const (
	// requestTimeout bounds a question to a replica.
	requestTimeout = time.Second
	// tickInterval is the time between two looks at what is due: a routing document that
	// could not be had, a replica to follow.
	tickInterval = 250 * time.Millisecond
	// serverRetention is how long a server that no replica holds any more is listed. It
	// bridges a restart of all replicas, after which a server checks in within
	// about two intervals.
	serverRetention = 10 * time.Second
	// departureRetention is how long a departure is remembered, longer than a delayed
	// check-in takes.
	departureRetention = time.Minute
	defaultRefresh     = 150 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	Token   string // of the system's processes
	Seeds   []string
	Network network.Network
	Log     log.Interface
	// ConfirmFirst makes the first routing document one that a quorum confirms: a
	// restarted process must not go back behind what it has acted on.
	ConfirmFirst bool
	// MinFetchInterval is the least time between two fetches of the routing document. Longer
	// saves bytes when documents come in quick succession and delays when they
	// take effect. Default 150 ms.
	MinFetchInterval time.Duration
	// Decode reads the source of a routing document.
	Decode func(source []byte) (*routing.Document, error)
	// Servers asks for the servers.
	Servers bool
	// OnChange, when set, is called after each change of the state.
	OnChange func()
}

// NamedVersion is a named version and when it was learned, at the latest.
type NamedVersion struct {
	Version uint64
	Since   time.Time
}

// Client follows the state. Run starts it.
type Client struct {
	cfg Config

	mu               sync.Mutex
	self             wire.Process
	knownReplicas    map[string]knownReplica // replicas by address
	followed         map[string]*replica     // by address
	lastReplacement  time.Time               // when a replica was dialled in place of another
	start            func(r *replica)
	table            *routing.Table
	announcedVersion uint64 // highest version announced
	fetching         bool
	lastFetch        time.Time
	weights          map[string][]NamedVersion               // by model, oldest version first
	processes        map[string]map[string]wire.Process // by replica and name
	serverView       *membership.View[wire.Server]
	seenServers      map[string]seenServer // servers listed now or lately, by identifier
	departed         map[string]departure  // servers that left by themselves
	wake             chan struct{}         // a newer routing document was announced
}

// seenServer is a server with the time at which a replica last held it.
type seenServer struct {
	server   wire.Server
	lastSeen time.Time
}

type departure struct {
	started uint64
	at      time.Time
}

// New returns a client that introduces itself as self.
func New(cfg Config, self wire.Process) *Client {
	cfg.MinFetchInterval = cmp.Or(cfg.MinFetchInterval, defaultRefresh)
	c := &Client{
		cfg: cfg, self: self, knownReplicas: map[string]knownReplica{}, followed: map[string]*replica{}, weights: map[string][]NamedVersion{},
		processes: map[string]map[string]wire.Process{}, wake: make(chan struct{}, 1),
		serverView:  membership.NewView[wire.Server](membership.ViewConfig{}),
		seenServers: map[string]seenServer{}, departed: map[string]departure{},
	}
	c.self.Revision = uint64(time.Now().UnixNano())
	c.AddReplicas(cfg.Seeds)
	return c
}

// Run follows the state until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	c.mu.Lock()
	c.start = func(r *replica) {
		rctx, cancel := context.WithCancel(ctx)
		r.cancel = cancel
		wg.Go(func() { r.Run(rctx) })
	}
	for _, r := range c.followed {
		r.dialledAt = time.Now()
		c.start(r)
	}
	c.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-c.wake:
			c.fetchRouting(ctx, &wg)
		case now := <-ticker.C:
			c.tick(ctx, now, &wg)
		}
	}
}

func (c *Client) tick(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	c.mu.Lock()
	expired := c.serverView.Expire(now)
	c.expireReplicas(now)
	c.updateFollowed(now)
	c.mu.Unlock()
	if len(expired) > 0 {
		c.cfg.Log.WithField("servers", expired).Info("servers_unlisted")
		c.notifyChange()
	}
	c.fetchRouting(ctx, wg)
}

func (c *Client) notifyChange() {
	if c.cfg.OnChange != nil {
		c.cfg.OnChange()
	}
}

// Announce replaces what the replicas are told of this process.
func (c *Client) Announce(self wire.Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	self.Revision = c.self.Revision
	if c.self == self {
		return
	}
	self.Revision++
	c.self = self
	for _, r := range c.followed {
		s := r.Session()
		if s == nil || !r.open {
			continue // introduced when the session opens
		}
		if err := s.Send(c.announcement(r)); err != nil {
			s.Close() // the next session introduces the process again
		}
	}
}

// Self returns what the replicas are told of this process.
func (c *Client) Self() wire.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

func (c *Client) receive(address string, env wire.Envelope) {
	switch env.Type {
	case wire.TypeFleet:
		var m wire.Fleet
		if err := env.Into(&m); err != nil {
			c.cfg.Log.WithError(err).WithField("replica", address).Warn("message_malformed")
			return
		}
		c.receiveFleet(address, m)
	case wire.TypeServers:
		var m wire.Servers
		if err := env.Into(&m); err != nil {
			c.cfg.Log.WithError(err).WithField("replica", address).Warn("message_malformed")
			return
		}
		c.receiveServers(address, m)
	}
}

func (c *Client) receiveFleet(address string, m wire.Fleet) {
	now := time.Now()
	c.mu.Lock()
	for _, r := range m.Replicas {
		c.addReplica(r, now)
	}
	if r := c.followed[address]; r != nil && len(m.Replicas) > 0 {
		r.listed = m.Replicas
	}
	c.recordLeaderless(address, m.Leaderless)
	if m.RoutingVersion > c.announcedVersion {
		c.announcedVersion = m.RoutingVersion
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	c.updateProcesses(address, m)
	for _, w := range m.Weights {
		c.recordWeights(w, now.Add(-time.Duration(w.AgeMs)*time.Millisecond), address)
	}
	c.mu.Unlock()
	c.notifyChange()
}

func (c *Client) receiveServers(address string, m wire.Servers) {
	now := time.Now()
	c.mu.Lock()
	fits := c.serverView.Apply(address, m.Update(), now)
	for _, s := range m.Updated {
		if s.Gone && fits {
			c.departed[s.ID] = departure{s.Started, now}
		}
	}
	var session *transport.Session
	if r := c.followed[address]; r != nil && !fits {
		session = r.Session()
	}
	c.mu.Unlock()
	if session != nil {
		session.Close() // the next session starts with the whole table
	}
	c.notifyChange()
}

// fetchRouting asks for the routing document when a newer one was accepted.
func (c *Client) fetchRouting(ctx context.Context, wg *sync.WaitGroup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := uint64(0)
	if c.table != nil {
		held = c.table.Document.Version
	}
	first := c.table == nil && c.cfg.ConfirmFirst
	if c.fetching || c.announcedVersion <= held || time.Since(c.lastFetch) < c.cfg.MinFetchInterval {
		return
	}
	sessions := c.sessions()
	if len(sessions) == 0 {
		return
	}
	c.fetching, c.lastFetch = true, time.Now()
	wg.Go(func() {
		err := c.fetchRoutingFrom(ctx, sessions, held, first)
		if err != nil {
			c.cfg.Log.WithError(err).WithField("held", held).Warn("routing_fetch_failed")
		}
		c.mu.Lock()
		c.fetching = false
		c.mu.Unlock()
		c.notifyChange()
	})
}

var errNotNewer = errors.New("no replica has a newer document")

func (c *Client) fetchRoutingFrom(ctx context.Context, sessions []*transport.Session, held uint64, confirm bool) error {
	last := errNotNewer
	for _, s := range sessions {
		var reply wire.Routing
		rctx, cancel := context.WithTimeout(ctx, requestTimeout)
		err := s.Request(rctx, wire.RoutingRequest{Confirm: confirm}, &reply)
		cancel()
		if err != nil {
			last = err
			continue
		}
		if reply.Version <= held {
			continue
		}
		if err := c.applyRouting(reply, s.Peer()); err != nil {
			last = err
			continue
		}
		return nil
	}
	return last
}

func (c *Client) applyRouting(reply wire.Routing, from string) error {
	source, err := routing.Decompress(reply.Document)
	if err != nil {
		return err
	}
	document, err := c.cfg.Decode(source)
	if err != nil {
		return err
	}
	table := routing.Compile(document)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && c.table.Document.Version >= document.Version {
		return nil
	}
	c.table = table
	c.cfg.Log.WithFields(log.Fields{"version": document.Version, "routes": len(document.Routes), "replica": from}).Info("routing_in_force")
	return nil
}

// Table returns the routing table in force, or nil.
func (c *Client) Table() *routing.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}
