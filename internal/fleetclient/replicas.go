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
	// follows is the number of replicas that a process follows. Each knows the whole
	// fleet; the others bridge the loss of the first. With five replicas, of which two
	// may be cut off from the rest, three always include one that is not.
	follows = 3
	// maxKnown bounds the addresses of replicas that are remembered: at most 9 instances
	// are set aside for control, and some are replaced.
	maxKnown = 24
	// dialTime is how long a replica counts as sound that has just been dialled, and the
	// time between two replicas that are dialled in place of others. After the start of
	// all machines at once, the sessions of all processes to all replicas would keep
	// these from electing a leader: 4.6 s were seen.
	dialTime = 400 * time.Millisecond
	// leaderlessFor is how long a replica may know no leader before another is followed
	// in its place: longer than an election takes.
	leaderlessFor = 1500 * time.Millisecond
	// surplusFor is how long a session is kept that is no longer needed, so that a
	// replica that comes and goes does not make processes change to and fro.
	surplusFor = 3 * time.Second
	// forgetAfter is how long an address is remembered that no replica names any more.
	forgetAfter = 15 * time.Second
	// peerSources is the number of followed replicas that are asked for the processes of
	// the same role: each knows them all, and the second bridges the loss of the first.
	peerSources = 2
)

// known is an address of a replica that was heard of.
type known struct {
	zone  string
	named time.Time // by settings or a replica, last
}

// replica is a replica that is followed.
type replica struct {
	*transport.Dialer
	cancel  context.CancelFunc
	dialled time.Time
	open    bool
	// leaderless is when the replica said that it knows no leader: it may be cut off.
	// The zero time while it knows one.
	leaderless time.Time
	peers      bool           // asked for the processes of the same role
	surplus    time.Time      // since when it is not needed; zero while it is
	names      []wire.Replica // that it named last
}

// candidate is a replica that may be followed.
type candidate struct {
	address string
	sound   bool
}

// choose returns the replicas to follow, given all of them in order of preference: the
// first ones, and for each of these that is not sound a further one.
func choose(candidates []candidate, count int) []string {
	var list []string
	sound := 0
	for _, c := range candidates {
		if sound >= count {
			break
		}
		list = append(list, c.address)
		if c.sound {
			sound++
		}
	}
	return list
}

// preference orders the known replicas: those of the own availability zone first, since
// bytes between zones cost money, then in an order that differs between processes.
func (c *Client) preference() []string {
	order := slices.Sorted(maps.Keys(c.known))
	rank := func(address string) int {
		if c.known[address].zone == c.self.Zone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(affinity(c.self.Name, b), affinity(c.self.Name, a)))
	})
	return order
}

func affinity(name, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + address)) // never fails
	// Short inputs differ in the low bits: mix them into the high ones.
	mixed := h.Sum64()
	mixed ^= mixed >> 32
	return mixed * 0x9e3779b97f4a7c15
}

// follow dials the replicas that are to be followed and leaves those that are not. The
// caller holds mu.
func (c *Client) follow(now time.Time) {
	var candidates []candidate
	for _, address := range c.preference() {
		r := c.followed[address]
		sound := r == nil || now.Sub(r.dialled) < dialTime || r.open && (r.leaderless.IsZero() || now.Sub(r.leaderless) < leaderlessFor)
		candidates = append(candidates, candidate{address, sound})
	}
	chosen := choose(candidates, follows)
	for i, address := range chosen {
		if c.followed[address] != nil {
			c.followed[address].surplus = time.Time{}
			continue
		}
		if i >= follows {
			if now.Sub(c.replaced) < c.replaceEvery(chosen) {
				continue
			}
			c.replaced = now
		}
		r := &replica{Dialer: c.dialer(address), dialled: now}
		c.followed[address] = r
		if c.start != nil {
			c.start(r)
		}
	}
	for address, r := range c.followed {
		switch {
		case slices.Contains(chosen, address):
		case r.surplus.IsZero():
			r.surplus = now
		case now.Sub(r.surplus) >= surplusFor:
			c.leave(address, r)
		}
	}
}

// replaceEvery is the time between two replicas that are dialled in place of others.
// Where those that are chosen can be reached but know no leader, it is likely that there
// is none. The caller holds mu.
func (c *Client) replaceEvery(chosen []string) time.Duration {
	for _, address := range chosen {
		if r := c.followed[address]; r != nil && !r.open {
			return dialTime
		}
	}
	return leaderlessFor
}

// leave ends the session to a replica. The caller holds mu.
func (c *Client) leave(address string, r *replica) {
	if r.cancel != nil {
		r.cancel()
	}
	delete(c.followed, address)
	delete(c.processes, address)
	c.view.SourceLost(address, time.Now())
	c.replacePeerSource()
	c.cfg.Log.WithField("replica", address).Info("replica_left")
}

// Learn adds control replicas by their addresses.
func (c *Client) Learn(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		c.learn(wire.Replica{Address: address}, time.Now())
	}
	c.follow(time.Now())
}

// learn adds a control replica. The caller holds mu.
func (c *Client) learn(r wire.Replica, now time.Time) {
	held, ok := c.known[r.Address]
	if !ok && len(c.known) >= maxKnown {
		return
	}
	c.known[r.Address] = known{zone: cmp.Or(r.Zone, held.zone), named: now}
}

// forget drops addresses that no replica names any more. The caller holds mu.
func (c *Client) forget(now time.Time) {
	for _, r := range c.followed {
		for _, named := range r.names {
			if r.open {
				c.learn(named, now)
			}
		}
	}
	for address, k := range c.known {
		if r := c.followed[address]; now.Sub(k.named) < forgetAfter || slices.Contains(c.cfg.Seeds, address) || r != nil && r.open {
			continue
		}
		delete(c.known, address)
		if r := c.followed[address]; r != nil {
			c.leave(address, r)
		}
		c.cfg.Log.WithField("replica", address).Info("replica_forgotten")
	}
}

// Reload takes over the addresses of control replicas from changed settings until
// ctx ends. The rest of the settings counts at the next start.
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
			c.Learn(s.SessionAddresses())
			c.cfg.Log.WithField("seeds", s.SessionAddresses()).Info("settings_reloaded")
		}
	}
}

func (c *Client) dialer(address string) *transport.Dialer {
	return &transport.Dialer{
		Address: address, Token: c.cfg.Token, Network: c.cfg.Network,
		Handler:   func(_ context.Context, _ *transport.Session, env wire.Envelope) { c.receive(address, env) },
		OnOpen:    func(s *transport.Session) { c.opened(address, s) },
		OnFailure: func(err error) { c.lost(address, err) },
	}
}

func (c *Client) opened(address string, s *transport.Session) {
	c.mu.Lock()
	r := c.followed[address]
	if r != nil {
		r.open, r.peers, r.leaderless = true, c.peerSources() < peerSources, time.Time{}
	}
	self := c.introduction(r)
	c.mu.Unlock()
	if err := s.Send(self); err != nil {
		c.cfg.Log.WithError(err).WithField("replica", address).Warn("introduction_failed")
	}
	c.cfg.Log.WithField("replica", address).Info("replica_connected")
}

func (c *Client) lost(address string, err error) {
	c.mu.Lock()
	r := c.followed[address]
	was := r != nil && r.open
	if r != nil {
		r.open, r.peers, r.leaderless = false, false, time.Time{}
	}
	delete(c.processes, address)
	c.view.SourceLost(address, time.Now())
	c.replacePeerSource()
	c.follow(time.Now())
	c.mu.Unlock()
	if was {
		c.cfg.Log.WithError(err).WithField("replica", address).Warn("replica_lost")
		c.changed()
	}
}

// noteLeader takes in whether a replica knows a leader. The caller holds mu.
func (c *Client) noteLeader(address string, leaderless bool) {
	r := c.followed[address]
	if r == nil || r.leaderless.IsZero() != leaderless {
		return
	}
	r.leaderless = time.Time{}
	if leaderless {
		r.leaderless = time.Now()
	}
	c.cfg.Log.WithFields(log.Fields{"replica": address, "leaderless": leaderless}).Info("replica_leader")
	c.follow(time.Now())
}

// peerSources counts the replicas that are asked for processes. The caller holds mu.
func (c *Client) peerSources() int {
	n := 0
	for _, r := range c.followed {
		if r.open && r.peers {
			n++
		}
	}
	return n
}

// replacePeerSource asks another replica for the processes of the same role when
// one that was asked is lost. The caller holds mu.
func (c *Client) replacePeerSource() {
	for _, address := range slices.Sorted(maps.Keys(c.followed)) {
		r := c.followed[address]
		if c.peerSources() >= peerSources {
			return
		}
		if s := r.Session(); s != nil && r.open && !r.peers {
			r.peers = true
			if err := s.Send(c.introduction(r)); err != nil {
				s.Close() // the next session introduces the process again
			}
		}
	}
}

// introduction is what a replica is told of this process. The caller holds mu.
func (c *Client) introduction(r *replica) wire.Process {
	self := c.self
	self.Peers = r != nil && r.peers
	return self
}

// sessions lists the open sessions, those to be preferred first. The caller holds mu.
func (c *Client) sessions() []*transport.Session {
	var list []*transport.Session
	for _, address := range c.preference() {
		if r := c.followed[address]; r != nil {
			if s := r.Session(); s != nil {
				list = append(list, s)
			}
		}
	}
	return list
}
