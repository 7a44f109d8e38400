package controlclient

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	loadPlanInterval = 250 * time.Millisecond
	// loadStallTimeout is the time without a check message after which another
	// replica is asked for loads: two checks are missing.
	loadStallTimeout = 2*wire.LoadCheckInterval + loadPlanInterval
	// stalledReplicaBackoff is how long a replica that stalled is used only if
	// the others have stalled too.
	stalledReplicaBackoff = 30 * time.Second
)

// FollowLoads replaces the list of endpoints whose load is requested. One
// replica sends all loads; the others are also asked for endpoints that this
// replica does not hear from.
func (c *Client) FollowLoads(endpoints []string) {
	c.loads.follow(endpoints)
	c.triggerLoadPlan()
}

func (c *Client) triggerLoadPlan() {
	select {
	case c.loadsChanged <- struct{}{}:
	default:
	}
}

func (c *Client) receiveLoads(address string, m wire.Loads) {
	if c.loads.received(address, m, time.Now()) {
		c.triggerLoadPlan()
	}
	if c.cfg.OnLoads != nil {
		c.cfg.OnLoads(address, m)
	}
}

// loadLoop sends load requests to replicas until ctx ends.
func (c *Client) loadLoop(ctx context.Context) {
	ticker := time.NewTicker(loadPlanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.loadsChanged:
		}
		for address, endpoints := range c.loads.plan(time.Now()) {
			c.requestLoads(address, endpoints)
		}
	}
}

// requestLoads sends a load request to one replica. If that fails, the request
// is planned again.
func (c *Client) requestLoads(address string, endpoints []string) {
	s := c.dialer(address).Session()
	if s != nil && s.Send(wire.FollowLoads{Endpoints: endpoints}) == nil {
		return
	}
	c.loads.requestFailed(address)
}

// loadSources decides which replica is asked for which loads. The primary is
// asked for all of them. It is the connected replica with the lowest rank that
// has not stalled recently. Ranks are random, so that the entries spread over
// the replicas.
type loadSources struct {
	mu      sync.Mutex
	rank    func() uint64
	wanted  []string // sorted
	sources map[string]*loadSource
	primary string
}

type loadSource struct {
	rank       uint64
	open       bool
	requested  []string
	lastCheck  time.Time // time of the last check message, or of the first request
	silent     []string  // endpoints in the last check message
	avoidUntil time.Time
}

func newLoadSources() *loadSources {
	return &loadSources{rank: rand.Uint64, sources: map[string]*loadSource{}}
}

func (l *loadSources) follow(endpoints []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted = slices.Sorted(slices.Values(endpoints))
}

// opened records a new session, on which nothing has been requested yet.
func (l *loadSources) opened(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sources[address]
	if s == nil {
		s = &loadSource{rank: l.rank()}
		l.sources[address] = s
	}
	s.open, s.requested, s.silent = true, nil, nil
}

func (l *loadSources) closed(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.sources[address]; s != nil {
		s.open, s.requested, s.silent = false, nil, nil
	}
}

func (l *loadSources) requestFailed(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.sources[address]; s != nil {
		s.requested = nil
	}
}

// received records a message and reports whether it may change the requests.
func (l *loadSources) received(address string, m wire.Loads, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sources[address]
	if s == nil || !m.Check {
		return false
	}
	changed := !slices.Equal(s.silent, m.Silent)
	s.lastCheck, s.silent = now, m.Silent
	return changed
}

// plan returns the requests that must be sent now, by replica address.
func (l *loadSources) plan(now time.Time) map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.choosePrimary(now)
	requests := map[string][]string{}
	for address, s := range l.sources {
		want := l.endpointsFor(address)
		if !s.open || slices.Equal(want, s.requested) {
			continue
		}
		if len(s.requested) == 0 {
			s.lastCheck, s.silent = now, nil
		}
		s.requested = want
		requests[address] = want
	}
	return requests
}

func (l *loadSources) choosePrimary(now time.Time) {
	if s := l.sources[l.primary]; s != nil && len(s.requested) > 0 && now.Sub(s.lastCheck) > loadStallTimeout {
		s.avoidUntil = now.Add(stalledReplicaBackoff)
	}
	l.primary = ""
	for address, s := range l.sources {
		if s.open && (l.primary == "" || s.preferredTo(l.sources[l.primary], now)) {
			l.primary = address
		}
	}
}

// preferredTo reports whether s is a better primary than other.
func (s *loadSource) preferredTo(other *loadSource, now time.Time) bool {
	a, b := later(s.avoidUntil, now), later(other.avoidUntil, now)
	return cmp.Or(a.Compare(b), cmp.Compare(s.rank, other.rank)) < 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endpointsFor returns the endpoints whose load is requested from a replica.
func (l *loadSources) endpointsFor(address string) []string {
	if address == l.primary {
		return l.wanted
	}
	primary := l.sources[l.primary]
	if primary == nil {
		return nil
	}
	var list []string
	for _, name := range primary.silent {
		if _, wanted := slices.BinarySearch(l.wanted, name); wanted {
			list = append(list, name)
		}
	}
	return list
}
