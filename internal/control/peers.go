package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/raft"
)

const (
	helloInterval = 500 * time.Millisecond
	// helloFresh is how long a replica counts as present after its last hello.
	helloFresh = 3 * time.Second
)

// peerFrame is the payload of a wire.Raft message: a raft message or a hello.
type peerFrame struct {
	Raft  []byte `cbor:"1,keyasint,omitempty"`
	Hello *hello `cbor:"2,keyasint,omitempty"`
}

// hello introduces a replica. Replicas send it to each other twice a second, so
// that a new cluster can form and a replica that is no member can join.
type hello struct {
	ID      string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Empty is true while the replica has no log.
	Empty bool `cbor:"4,keyasint"`
	// Lost lists the identifiers whose storage this replica knows to be lost, so
	// that a replica that restarted since learns of them.
	Lost []string `cbor:"5,keyasint,omitempty"`
	Zone string   `cbor:"6,keyasint,omitempty"`
}

type peer struct {
	hello
	since time.Time // heard without a hello of another identifier in between
	seen  time.Time
}

// peers keeps a session to every other replica.
type peers struct {
	token   string
	network network.Network
	bytes   *transport.ByteCounts
	log     log.Interface
	self    func() hello
	own     string // own session address
	opened  func() // called when a session to another replica opens

	mu      sync.Mutex
	ctx     context.Context
	wait    sync.WaitGroup
	dialers map[string]*dialer // by address
	byID    map[string]string  // identifier to address
	seen    map[string]peer    // by name, the newest hello
	empty   map[string]bool    // identifiers that had no log when first heard of
	lost    map[string]bool    // identifiers whose storage is lost
}

type dialer struct {
	*transport.Dialer
	cancel context.CancelFunc
}

// Run keeps sessions and sends hellos until ctx ends.
func (p *peers) Run(ctx context.Context, first map[string]string) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	for _, address := range first {
		p.connect(address)
	}
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.wait.Wait()
			return
		case <-ticker.C:
			p.sendHello()
		}
	}
}

func (p *peers) connect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil || p.ctx.Err() != nil || address == p.own || p.dialers[address] != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	d := &dialer{cancel: cancel, Dialer: &transport.Dialer{
		Address: address, Token: p.token, Network: p.network, Bytes: p.bytes,
		Handler: func(context.Context, *transport.Session, wire.Envelope) {},
		OnOpen: func(s *transport.Session) {
			p.greet(s)
			p.opened()
		},
		OnFailure: func(err error) {
			p.log.WithError(err).WithField("peer", address).Debug("peer_unreachable")
		},
	}}
	p.dialers[address] = d
	p.wait.Go(func() { d.Run(ctx) })
}

func (p *peers) greet(s *transport.Session) {
	h := p.self()
	h.Lost = p.Lost()
	if frame, err := wire.Marshal(peerFrame{Hello: &h}); err == nil {
		_ = s.Send(wire.Raft{Message: frame})
	}
}

func (p *peers) sendHello() {
	p.mu.Lock()
	dialers := make([]*dialer, 0, len(p.dialers))
	for _, d := range p.dialers {
		dialers = append(dialers, d)
	}
	p.mu.Unlock()
	for _, d := range dialers {
		if s := d.Session(); s != nil {
			p.greet(s)
		}
	}
}

// Send sends a raft message, or drops it.
func (p *peers) Send(m raft.Message) {
	s := p.Session(m.To)
	if s == nil {
		return
	}
	data, err := raft.EncodeMessage(m)
	if err != nil {
		return
	}
	if frame, err := wire.Marshal(peerFrame{Raft: data}); err == nil {
		_ = s.Send(wire.Raft{Message: frame})
	}
}

// Session returns the open session to a replica, or nil.
func (p *peers) Session(id string) *transport.Session {
	p.mu.Lock()
	d := p.dialers[p.byID[id]]
	p.mu.Unlock()
	if d == nil {
		return nil
	}
	return d.Session()
}

// Sessions lists the open sessions.
func (p *peers) Sessions() []*transport.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*transport.Session
	for _, address := range slices.Sorted(maps.Keys(p.dialers)) {
		if s := p.dialers[address].Session(); s != nil {
			list = append(list, s)
		}
	}
	return list
}

// Zone returns the availability zone of a replica that was heard of, or nothing.
func (p *peers) Zone(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[nameOf(id)].Zone
}

// Learn records the addresses of a membership and connects to them.
func (p *peers) Learn(addresses map[string]string) {
	p.mu.Lock()
	missing := map[string]string{}
	for id, address := range addresses {
		if p.byID[id] != address {
			missing[id] = address
		}
	}
	maps.Copy(p.byID, missing)
	p.mu.Unlock()
	for _, address := range missing {
		p.connect(address)
	}
}

// Heard records a hello. Its address replaces an older one of the same replica.
// A late hello of an identifier that is lost is ignored.
func (p *peers) Heard(h hello, now time.Time) {
	if h.ID == "" || h.Name == "" || h.Address == "" {
		return
	}
	if p.record(h, now) {
		p.connect(h.Address)
	}
}

func (p *peers) record(h hello, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range h.Lost {
		p.lost[id] = true
	}
	if p.lost[h.ID] {
		return false
	}
	if h.Empty {
		p.empty[h.ID] = true
	}
	since := now
	if last := p.seen[h.Name]; last.ID == h.ID {
		since = last.since
	}
	p.seen[h.Name] = peer{hello: h, since: since, seen: now}
	p.byID[h.ID] = h.Address
	return true
}

// FindLost returns the voters that are known to have lost their storage: another
// identifier of the same name was heard of that had no log at first. One that
// had a log proves nothing, since a data folder may have been exchanged. It must
// have been heard of for a while, so that late hellos of an earlier storage,
// which was empty once as well, are not taken for a newer one.
func (p *peers) FindLost(voters []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []string
	for _, id := range voters {
		h, ok := p.seen[nameOf(id)]
		if ok && h.ID != id && p.empty[h.ID] && h.seen.Sub(h.since) >= helloFresh {
			p.lost[id] = true
		}
		if p.lost[id] {
			found = append(found, id)
		}
	}
	return found
}

// Lost lists the identifiers whose storage is known to be lost.
func (p *peers) Lost() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.lost))
}

// Present lists the replicas heard of lately, by name.
func (p *peers) Present(now time.Time) map[string]hello {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := map[string]hello{}
	for name, peer := range p.seen {
		if now.Sub(peer.seen) < helloFresh {
			present[name] = peer.hello
		}
	}
	return present
}
