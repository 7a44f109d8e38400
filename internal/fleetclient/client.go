// Package fleetclient tracks the state of the fleet for entries and stagers: the
// accepted routing document, the named weights versions, the servers, and the
// processes of the same role. It keeps sessions to a few control replicas: enough to
// tolerate a replica that is partitioned or stopped, and few enough that the load of
// a replica does not grow with the number of replicas.
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
	// requestTimeout bounds a request to a replica.
	requestTimeout = time.Second
	// tickInterval is the period of recurring work: retrying a failed fetch of the
	// routing document, choosing replicas to follow and expiring servers.
	tickInterval = 250 * time.Millisecond
	// serverRetention is how long a server stays listed after the last replica stopped
	// reporting it. It covers a restart of all replicas, after which a server checks in
	// within about two intervals.
	serverRetention = 10 * time.Second
	// processRetention is how long a process stays listed after the last session to a
	// replica that listed it has ended. It covers the dialling of another replica and its
	// first list, and is as long as replicas keep the processes of a lost replica.
	processRetention = 4 * time.Second
	// departureRetention is how long a departure is remembered. It exceeds the delay of
	// a late check-in, which would otherwise list the server again.
	departureRetention      = time.Minute
	defaultMinFetchInterval = 150 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	Token   string   // shared by the system's processes
	Seeds   []string // session addresses of control replicas
	Network network.Network
	Log     log.Interface
	// ConfirmFirst requires a quorum to confirm the first routing document, so that a
	// restarted process never uses a document older than one it has already acted on.
	ConfirmFirst bool
	// MinFetchInterval is the minimum time between two fetches of the routing document.
	// A longer interval saves traffic when documents change in quick succession, but
	// delays when they take effect. Default 150 ms.
	MinFetchInterval time.Duration
	// Decode parses the decompressed source of a routing document.
	Decode func(source []byte) (*routing.Document, error)
	// Servers is not used.
	Servers bool
	// Suspended returns how long the machine was suspended in total. Default: by the clocks of
	// the operating system.
	Suspended func() time.Duration
	// OnChange, if set, is called after each change of the state.
	OnChange func()
}

// NamedVersion is a weights version that the control replicas have named. Since is the
// earliest time at which any replica is known to have learned of it.
type NamedVersion struct {
	Version uint64
	Since   time.Time
}

// Client tracks the state of the fleet through sessions to control replicas, which Run
// opens.
type Client struct {
	cfg Config

	mu               sync.Mutex
	self             wire.Process
	knownReplicas    map[string]knownReplica // by address
	followed         map[string]*replica     // by address
	lastReplacement  time.Time               // when an additional replica was last dialled
	start            func(r *replica)
	table            *routing.Table
	announcedVersion uint64 // newest routing version that a replica announced
	fetching         bool
	lastFetch        time.Time
	weights          map[string][]NamedVersion          // by model, oldest version first
	processes        map[string]map[string]wire.Process // by replica and name
	unlisted         map[string]unlistedProcess         // by name; those in processes take precedence
	serverView       *membership.View[wire.Server]
	seenServers      map[string]seenServer // servers reported now or recently, by identifier
	departed         map[string]departure  // servers that deregistered, by identifier
	wake             chan struct{}         // signals a newer routing version or weights
	suspended        time.Duration         // total that the ages account for
	ages             agesRequest
	evacuations      evacuations
	firstRouting     firstRouting
}

// seenServer is a server and when a replica last reported it.
type seenServer struct {
	server   wire.Server
	lastSeen time.Time
}

// departure records that a server deregistered. A server that started later under the
// same identifier is listed again.
type departure struct {
	started uint64 // start time of the server that left
	at      time.Time
}

// New returns a client that announces itself as self. Its revision starts at the current
// time, so that it increases across restarts.
func New(cfg Config, self wire.Process) *Client {
	cfg.MinFetchInterval = cmp.Or(cfg.MinFetchInterval, defaultMinFetchInterval)
	if cfg.Suspended == nil {
		cfg.Suspended = timeSuspended
	}
	c := &Client{
		cfg: cfg, self: self, knownReplicas: map[string]knownReplica{}, followed: map[string]*replica{}, weights: map[string][]NamedVersion{},
		processes: map[string]map[string]wire.Process{}, unlisted: map[string]unlistedProcess{}, wake: make(chan struct{}, 1),
		serverView:  membership.NewView[wire.Server](membership.ViewConfig{}),
		seenServers: map[string]seenServer{}, departed: map[string]departure{},
	}
	c.suspended = cfg.Suspended()
	c.self.Revision = uint64(time.Now().UnixNano())
	c.AddReplicas(cfg.Seeds)
	return c
}

// Run keeps the sessions open and the state current until ctx ends.
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
			c.requestAges(ctx, &wg)
		case now := <-ticker.C:
			c.tick(ctx, now, &wg)
		}
	}
}

func (c *Client) tick(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	c.mu.Lock()
	c.correctAges()
	expired := c.serverView.Expire(now)
	c.expireReplicas(now)
	c.updateFollowed(now)
	c.mu.Unlock()
	if len(expired) > 0 {
		c.cfg.Log.WithField("servers", expired).Info("servers_unlisted")
		c.notifyChange()
	}
	c.fetchRouting(ctx, wg)
	c.requestAges(ctx, wg)
}

func (c *Client) notifyChange() {
	if c.cfg.OnChange != nil {
		c.cfg.OnChange()
	}
}

// Announce replaces what this process reports about itself and sends it to the
// connected replicas. It does nothing if nothing but the revision differs.
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
			continue // announced when the session opens
		}
		if err := s.Send(c.announcement(r)); err != nil {
			s.Close() // the next session repeats the announcement
		}
	}
}

// Self returns what this process reports about itself.
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
	c.correctAges() // before versions are added that were named after a suspension
	for _, r := range m.Replicas {
		c.addReplica(r, now)
	}
	if r := c.followed[address]; r != nil && len(m.Replicas) > 0 {
		r.listed = m.Replicas
	}
	c.recordLeaderless(address, m.Leaderless)
	c.firstRouting.observe(m.RoutingVersion, m.Leaderless, now)
	if m.RoutingVersion > c.announcedVersion {
		c.announcedVersion = m.RoutingVersion
		c.signalWake()
	}
	c.recordEvacuations(m, address)
	c.updateProcesses(address, m)
	for _, w := range m.Weights {
		if c.recordWeights(w, now.Add(-time.Duration(w.AgeMs)*time.Millisecond), address) {
			c.ages.due = true
			c.signalWake()
		}
	}
	c.mu.Unlock()
	c.notifyChange()
}

// signalWake wakes Run. It does not block.
func (c *Client) signalWake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Client) receiveServers(address string, m wire.Servers) {
	now := time.Now()
	c.mu.Lock()
	applied := c.serverView.Apply(address, m.Update(), now)
	for _, s := range m.Updated {
		if s.Gone && applied {
			c.departed[s.ID] = departure{max(s.Started, c.departed[s.ID].started), now}
		}
	}
	var session *transport.Session
	if r := c.followed[address]; r != nil && !applied {
		session = r.Session()
	}
	c.mu.Unlock()
	if session != nil {
		session.Close() // the next session starts with the full table
	}
	c.notifyChange()
}

// fetchRouting starts fetching the routing document if a replica has announced a newer
// version.
func (c *Client) fetchRouting(ctx context.Context, wg *sync.WaitGroup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := uint64(0)
	if c.table != nil {
		held = c.table.Document.Version
	}
	confirm := c.table == nil && c.cfg.ConfirmFirst
	if c.fetching || c.announcedVersion <= held || time.Since(c.lastFetch) < c.cfg.MinFetchInterval {
		return
	}
	sessions := c.sessions()
	if len(sessions) == 0 {
		return
	}
	c.fetching, c.lastFetch = true, time.Now()
	wg.Go(func() {
		err := c.fetchRoutingFrom(ctx, sessions, held, confirm)
		if err != nil {
			c.cfg.Log.WithError(err).WithField("held", held).Warn("routing_fetch_failed")
		}
		c.mu.Lock()
		c.fetching = false
		c.mu.Unlock()
		c.notifyChange()
	})
}

var errNotNewer = errors.New("no replica has a newer routing document")

// fetchRoutingFrom requests the routing document from one replica after another until one
// returns a newer version.
func (c *Client) fetchRoutingFrom(ctx context.Context, sessions []*transport.Session, held uint64, confirm bool) error {
	lastErr := errNotNewer
	for _, s := range sessions {
		var reply wire.Routing
		rctx, cancel := context.WithTimeout(ctx, requestTimeout)
		err := s.Request(rctx, wire.RoutingRequest{Confirm: confirm}, &reply)
		cancel()
		if err != nil {
			lastErr = err
			continue
		}
		if reply.Version <= held {
			continue
		}
		if err := c.applyRouting(reply, s.Peer()); err != nil {
			lastErr = err
			continue
		}
		return nil
	}
	return lastErr
}

// applyRouting decodes a routing document and puts it in force, unless the one in force is
// at least as new.
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
