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
	// helloTTL is how long a replica counts as present after its last hello.
	helloTTL = 3 * time.Second
)

// peerFrame is the payload of a wire.Raft message: a Raft message or a hello.
type peerFrame struct {
	Raft  []byte `cbor:"1,keyasint,omitempty"`
	Hello *hello `cbor:"2,keyasint,omitempty"`
}

// hello introduces a replica. Replicas send it to each other twice a second, so
// that a new cluster can bootstrap and a replica that is not a member can join.
type hello struct {
	ID      string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Empty is true while the replica has no log.
	Empty bool `cbor:"4,keyasint"`
	// Lost lists the IDs of replicas whose storage is known to be lost, so that
	// a replica that has restarted since learns of them.
	Lost []string `cbor:"5,keyasint,omitempty"`
	Zone string   `cbor:"6,keyasint,omitempty"`
}

type peer struct {
	hello
	firstSeen time.Time // since when all hellos of this name had the same ID
	lastSeen  time.Time
}

// peers keeps a session to every other replica.
type peers struct {
	token      string
	network    network.Network
	byteCounts *transport.ByteCounts
	log        log.Interface
	localHello func() hello
	ownAddress string // session address of this replica
	onConnect  func() // called when a session to another replica is established

	mu           sync.Mutex
	ctx          context.Context
	dialersDone  sync.WaitGroup
	dialers      map[string]*dialer // by address
	byID         map[string]string  // replica ID to address
	byName       map[string]peer    // newest hello by replica name
	startedEmpty map[string]bool    // IDs whose hello has said that they have no log
	lostStorage  map[string]bool    // IDs whose storage is lost
}

type dialer struct {
	*transport.Dialer
	cancel context.CancelFunc
}

// Run keeps the sessions open and sends hellos until ctx ends.
func (p *peers) Run(ctx context.Context, initialVoters map[string]string) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	for _, address := range initialVoters {
		p.connect(address)
	}
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.dialersDone.Wait()
			return
		case <-ticker.C:
			p.broadcastHello()
		}
	}
}

func (p *peers) connect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil || p.ctx.Err() != nil || address == p.ownAddress || p.dialers[address] != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	d := &dialer{cancel: cancel, Dialer: &transport.Dialer{
		Address: address, Token: p.token, Network: p.network, Bytes: p.byteCounts,
		Handler: func(context.Context, *transport.Session, wire.Envelope) {},
		OnOpen: func(s *transport.Session) {
			p.sendHello(s)
			p.onConnect()
		},
		OnFailure: func(err error) {
			p.log.WithError(err).WithField("peer", address).Debug("peer_unreachable")
		},
	}}
	p.dialers[address] = d
	p.dialersDone.Go(func() { d.Run(ctx) })
}

func (p *peers) sendHello(s *transport.Session) {
	h := p.localHello()
	h.Lost = p.LostStorage()
	if frame, err := wire.Marshal(peerFrame{Hello: &h}); err == nil {
		_ = s.Send(wire.Raft{Message: frame})
	}
}

func (p *peers) broadcastHello() {
	p.mu.Lock()
	dialers := make([]*dialer, 0, len(p.dialers))
	for _, d := range p.dialers {
		dialers = append(dialers, d)
	}
	p.mu.Unlock()
	for _, d := range dialers {
		if s := d.Session(); s != nil {
			p.sendHello(s)
		}
	}
}

// Send sends a Raft message. It drops the message if there is no session or its
// queue is full.
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

// Sessions returns the open sessions, sorted by address.
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

// Zone returns the availability zone of a replica, or "" if no hello of it was
// received.
func (p *peers) Zone(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[replicaName(id)].Zone
}

// AddAddresses records the addresses of a membership and connects to the new
// ones.
func (p *peers) AddAddresses(addresses map[string]string) {
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

// RecordHello records a hello. Its address replaces the known address of the
// replica. A late hello of a replica whose storage is lost is ignored.
func (p *peers) RecordHello(h hello, now time.Time) {
	if h.ID == "" || h.Name == "" || h.Address == "" {
		return
	}
	if p.storeHello(h, now) {
		p.connect(h.Address)
	}
}

func (p *peers) storeHello(h hello, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range h.Lost {
		p.lostStorage[id] = true
	}
	if p.lostStorage[h.ID] {
		return false
	}
	if h.Empty {
		p.startedEmpty[h.ID] = true
	}
	since := now
	if last := p.byName[h.Name]; last.ID == h.ID {
		since = last.firstSeen
	}
	p.byName[h.Name] = peer{hello: h, firstSeen: since, lastSeen: now}
	p.byID[h.ID] = h.Address
	return true
}

// FindLostStorage returns the voters that are known to have lost their storage:
// a replica with the same name and another ID has sent hellos, and had no log
// at first. A replica that had a log proves nothing, since its data directory
// may have been exchanged. The new ID must have been seen for at least
// helloTTL, so that late hellos of an earlier storage, which was empty once as
// well, are not mistaken for a newer one.
func (p *peers) FindLostStorage(voters []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []string
	for _, id := range voters {
		h, ok := p.byName[replicaName(id)]
		if ok && h.ID != id && p.startedEmpty[h.ID] && h.lastSeen.Sub(h.firstSeen) >= helloTTL {
			p.lostStorage[id] = true
		}
		if p.lostStorage[id] {
			found = append(found, id)
		}
	}
	return found
}

// LostStorage returns the IDs of replicas whose storage is known to be lost.
func (p *peers) LostStorage() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.lostStorage))
}

// Present returns the replicas that sent a hello within helloTTL, by name.
func (p *peers) Present(now time.Time) map[string]hello {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := map[string]hello{}
	for name, peer := range p.byName {
		if now.Sub(peer.lastSeen) < helloTTL {
			present[name] = peer.hello
		}
	}
	return present
}
