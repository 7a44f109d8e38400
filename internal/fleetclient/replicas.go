package fleetclient

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	// followCount is the number of replicas that a process follows. Each one reports the
	// whole fleet; the others are for redundancy. With five replicas, of which two may be
	// partitioned from the rest, any three include one that is not.
	followCount = 3
	// maxKnownReplicas limits the known replica addresses: at most 9 instances are
	// reserved for control, and some of them get replaced.
	maxKnownReplicas = 24
	// dialGrace is how long a newly dialled replica counts as healthy, and the minimum
	// time between dialling two additional replicas. Without it, when all machines start
	// at the same time, every process opens sessions to every replica, which delayed the
	// election of a leader by up to 4.6 s.
	dialGrace = 400 * time.Millisecond
	// leaderlessTimeout is how long a replica may know no leader before an additional one
	// is followed. It is longer than an election takes.
	leaderlessTimeout = 1500 * time.Millisecond
	// surplusTimeout is how long a session that is no longer needed is kept, so that an
	// intermittently reachable replica does not make processes switch back and forth.
	surplusTimeout = 3 * time.Second
	// replicaExpiry is how long an address is kept after a replica last listed it.
	replicaExpiry = 15 * time.Second
	// peerSourceCount is the number of followed replicas that are asked for the processes
	// of the same role. Each one knows all of them; the second is for redundancy.
	peerSourceCount = 2
)

// knownReplica is a replica whose address comes from the settings or another replica.
type knownReplica struct {
	zone       string
	lastListed time.Time // last time that the settings or a replica listed it
}

// replica is a control replica that this process follows.
type replica struct {
	*transport.Dialer
	cancel    context.CancelFunc
	dialledAt time.Time
	open      bool
	// leaderlessSince is when the replica reported that it knows no leader, in which case
	// it may be partitioned. It is zero while the replica knows one.
	leaderlessSince time.Time
	peerSource      bool           // is asked for the processes of the same role
	surplusSince    time.Time      // when it was no longer needed; zero while it is needed
	listed          []wire.Replica // that it listed last
}

// candidate is a replica that may be followed.
type candidate struct {
	address string
	healthy bool
}

// selectReplicas returns the replicas to follow, given all of them in order of preference:
// the shortest prefix that contains count healthy ones, or all of them.
func selectReplicas(candidates []candidate, count int) []string {
	var list []string
	healthyCount := 0
	for _, c := range candidates {
		if healthyCount >= count {
			break
		}
		list = append(list, c.address)
		if c.healthy {
			healthyCount++
		}
	}
	return list
}

// preferenceOrder returns the addresses of the known replicas. Those of this process's
// availability zone come first, since traffic between zones is billed; within each group,
// rendezvous hashing spreads the processes over the replicas.
func (c *Client) preferenceOrder() []string {
	order := slices.Sorted(maps.Keys(c.knownReplicas))
	rank := func(address string) int {
		if c.knownReplicas[address].zone == c.self.Zone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(rendezvousHash(c.self.Name, b), rendezvousHash(c.self.Name, a)))
	})
	return order
}

// rendezvousHash returns the weight of a replica's address for a process.
func rendezvousHash(name, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + address)) // never fails
	// FNV-1a hashes of short inputs differ mostly in the low bits: mix them into the
	// high bits, which decide the order.
	mixed := h.Sum64()
	mixed ^= mixed >> 32
	return mixed * 0x9e3779b97f4a7c15
}

// updateFollowed dials the selected replicas and ends the sessions to those that have not
// been needed for surplusTimeout. The caller holds mu.
func (c *Client) updateFollowed(now time.Time) {
	var candidates []candidate
	for _, address := range c.preferenceOrder() {
		r := c.followed[address]
		healthy := r == nil || now.Sub(r.dialledAt) < dialGrace || r.open && (r.leaderlessSince.IsZero() || now.Sub(r.leaderlessSince) < leaderlessTimeout)
		candidates = append(candidates, candidate{address, healthy})
	}
	chosen := selectReplicas(candidates, followCount)
	for i, address := range chosen {
		if c.followed[address] != nil {
			c.followed[address].surplusSince = time.Time{}
			continue
		}
		if i >= followCount {
			if now.Sub(c.lastReplacement) < c.replacementInterval(chosen) {
				continue
			}
			c.lastReplacement = now
		}
		r := &replica{Dialer: c.dialer(address), dialledAt: now}
		c.followed[address] = r
		if c.start != nil {
			c.start(r)
		}
	}
	for address, r := range c.followed {
		switch {
		case slices.Contains(chosen, address):
		case r.surplusSince.IsZero():
			r.surplusSince = now
		case now.Sub(r.surplusSince) >= surplusTimeout:
			c.unfollow(address, r)
		}
	}
}

// replacementInterval is the minimum time between dialling two additional replicas. It is
// longer if all chosen replicas are connected: those that are unhealthy then know no
// leader, so there probably is none. The caller holds mu.
func (c *Client) replacementInterval(chosen []string) time.Duration {
	for _, address := range chosen {
		if r := c.followed[address]; r != nil && !r.open {
			return dialGrace
		}
	}
	return leaderlessTimeout
}

// unfollow ends the session to a replica and drops what it reported. The caller holds mu.
func (c *Client) unfollow(address string, r *replica) {
	if r.cancel != nil {
		r.cancel()
	}
	delete(c.followed, address)
	c.dropProcesses(address, time.Now())
	c.serverView.SourceLost(address, time.Now())
	c.replacePeerSource()
	c.cfg.Log.WithField("replica", address).Info("replica_left")
}

// AddReplicas adds control replicas by their session addresses.
func (c *Client) AddReplicas(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		c.addReplica(wire.Replica{Address: address}, time.Now())
	}
	c.updateFollowed(time.Now())
}

// addReplica adds a control replica, or updates when it was last listed. The caller holds
// mu.
func (c *Client) addReplica(r wire.Replica, now time.Time) {
	held, ok := c.knownReplicas[r.Address]
	if !ok && len(c.knownReplicas) >= maxKnownReplicas {
		return
	}
	c.knownReplicas[r.Address] = knownReplica{zone: cmp.Or(r.Zone, held.zone), lastListed: now}
}

// expireReplicas drops addresses that no connected replica has listed for replicaExpiry,
// except seeds and connected replicas. The caller holds mu.
func (c *Client) expireReplicas(now time.Time) {
	for _, r := range c.followed {
		for _, named := range r.listed {
			if r.open {
				c.addReplica(named, now)
			}
		}
	}
	for address, k := range c.knownReplicas {
		if r := c.followed[address]; now.Sub(k.lastListed) < replicaExpiry || slices.Contains(c.cfg.Seeds, address) || r != nil && r.open {
			continue
		}
		delete(c.knownReplicas, address)
		if r := c.followed[address]; r != nil {
			c.unfollow(address, r)
		}
		c.cfg.Log.WithField("replica", address).Info("replica_forgotten")
	}
}

// Reload adds the control replicas of reloaded settings until ctx ends. Other changes of
// the settings take effect at the next start.
func (c *Client) Reload(ctx context.Context, reloads <-chan settings.Checker) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-reloads:
			s, ok := next.(interface{ SessionAddresses() []string })
			if !ok {
				continue
			}
			c.AddReplicas(s.SessionAddresses())
			c.cfg.Log.WithField("seeds", s.SessionAddresses()).Info("settings_reloaded")
		}
	}
}

func (c *Client) dialer(address string) *transport.Dialer {
	return &transport.Dialer{
		Address: address, Token: c.cfg.Token, Network: c.cfg.Network,
		Handler:   func(_ context.Context, _ *transport.Session, env wire.Envelope) { c.receive(address, env) },
		OnOpen:    func(s *transport.Session) { c.sessionOpened(address, s) },
		OnFailure: func(err error) { c.sessionLost(address, err) },
	}
}

// sessionOpened announces this process to a replica when its session opens.
func (c *Client) sessionOpened(address string, s *transport.Session) {
	c.mu.Lock()
	r := c.followed[address]
	if r != nil {
		r.open, r.peerSource, r.leaderlessSince = true, c.peerSources() < peerSourceCount, time.Time{}
	}
	self := c.announcement(r)
	c.mu.Unlock()
	if err := s.Send(self); err != nil {
		c.cfg.Log.WithError(err).WithField("replica", address).Warn("introduction_failed")
	}
	c.cfg.Log.WithField("replica", address).Info("replica_connected")
}

// sessionLost drops what a replica reported, and follows another one if necessary.
func (c *Client) sessionLost(address string, err error) {
	c.mu.Lock()
	r := c.followed[address]
	wasOpen := r != nil && r.open
	if r != nil {
		r.open, r.peerSource, r.leaderlessSince = false, false, time.Time{}
	}
	c.dropProcesses(address, time.Now())
	c.serverView.SourceLost(address, time.Now())
	c.replacePeerSource()
	c.updateFollowed(time.Now())
	c.mu.Unlock()
	if wasOpen {
		c.cfg.Log.WithError(err).WithField("replica", address).Warn("replica_lost")
		c.notifyChange()
	}
}

// recordLeaderless records whether a replica knows a leader. The caller holds mu.
func (c *Client) recordLeaderless(address string, leaderless bool) {
	r := c.followed[address]
	if r == nil || r.leaderlessSince.IsZero() != leaderless {
		return
	}
	r.leaderlessSince = time.Time{}
	if leaderless {
		r.leaderlessSince = time.Now()
	}
	c.cfg.Log.WithFields(log.Fields{"replica": address, "leaderless": leaderless}).Info("replica_leader")
	c.updateFollowed(time.Now())
}

// Isolated reports whether this process has no session to a control replica that knows a
// leader. Its lists may be out of date then.
func (c *Client) Isolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.followed {
		if r.open && r.leaderlessSince.IsZero() {
			return false
		}
	}
	return true
}

// peerSources counts the replicas that are asked for processes. The caller holds mu.
func (c *Client) peerSources() int {
	n := 0
	for _, r := range c.followed {
		if r.open && r.peerSource {
			n++
		}
	}
	return n
}

// replacePeerSource asks further replicas for the processes of the same role until
// peerSourceCount are asked, after one of them was lost. The caller holds mu.
func (c *Client) replacePeerSource() {
	for _, address := range slices.Sorted(maps.Keys(c.followed)) {
		r := c.followed[address]
		if c.peerSources() >= peerSourceCount {
			return
		}
		if s := r.Session(); s != nil && r.open && !r.peerSource {
			r.peerSource = true
			if err := s.Send(c.announcement(r)); err != nil {
				s.Close() // the next session repeats the announcement
			}
		}
	}
}

// announcement returns the message that announces this process to a replica. The caller
// holds mu.
func (c *Client) announcement(r *replica) wire.Process {
	self := c.self
	self.Peers = r != nil && r.peerSource
	return self
}

// sessions returns the open sessions in order of preference. The caller holds mu.
func (c *Client) sessions() []*transport.Session {
	var list []*transport.Session
	for _, address := range c.preferenceOrder() {
		if r := c.followed[address]; r != nil {
			if s := r.Session(); s != nil {
				list = append(list, s)
			}
		}
	}
	return list
}
