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
	// relayInterval is the time between two hellos that list the addresses of other
	// replicas. In every hello they would make up most of the bytes between replicas.
	relayInterval = 4 * helloInterval
	// maxRelayed limits the addresses taken from one hello.
	maxRelayed = 64
	// unusedDialerTTL is how long a replica is dialled that is neither a member nor a
	// seed and does not answer. One that returns later introduces itself again.
	unusedDialerTTL = time.Minute
)

// peerFrame is the payload of a wire.Raft message: a Raft message or a hello.
type peerFrame struct {
	Raft  []byte `cbor:"1,keyasint,omitempty"`
	Hello *hello `cbor:"2,keyasint,omitempty"`
}

// hello introduces a replica. Replicas send it to each other twice a second, so
// that a new cluster can bootstrap and a replica that is not a member can join. A
// replica knows only its seeds at first, none of which may be the leader or even a
// member. Hellos therefore relay the addresses of other replicas, so that all
// replicas with a path of seeds between them connect to each other.
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
	// Replicas lists the session addresses of the members and of the replicas that
	// sent a hello recently. It is not in every hello.
	Replicas []string `cbor:"7,keyasint,omitempty"`
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
	// onReply handles what another replica sends on a session that this one has opened.
	onReply func(s *transport.Session, env wire.Envelope)

	mu           sync.Mutex
	ctx          context.Context
	dialersDone  sync.WaitGroup
	seeds        []string           // session addresses from the settings
	members      []string           // session addresses of the members
	dialers      map[string]*dialer // by address
	byID         map[string]string  // replica ID to address
	byName       map[string]peer    // newest hello by replica name
	startedEmpty map[string]bool    // IDs whose hello has said that they have no log
	lostStorage  map[string]bool    // IDs whose storage is lost
}

type dialer struct {
	*transport.Dialer
	cancel   context.CancelFunc
	lastUsed time.Time // when it last had a session or its address was in the settings or a membership
}

// Run keeps the sessions open and sends hellos until ctx ends. It dials the seeds and the
// members of the log that the replica has stored: after a restart, the seeds may be gone.
func (p *peers) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	addresses := slices.Concat(p.seeds, p.members)
	p.mu.Unlock()
	for _, address := range addresses {
		p.connect(address)
	}
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	relayed := time.Now()
	for {
		select {
		case <-ctx.Done():
			p.dialersDone.Wait()
			return
		case now := <-ticker.C:
			relay := now.Sub(relayed) >= relayInterval
			if relay {
				relayed = now
				p.removeUnusedDialers(now)
			}
			p.broadcastHello(relay)
		}
	}
}

// SetSeeds replaces the session addresses from the settings and connects to the new ones.
func (p *peers) SetSeeds(addresses []string) {
	p.mu.Lock()
	p.seeds = addresses
	p.mu.Unlock()
	for _, address := range addresses {
		p.connect(address)
	}
}

// removeUnusedDialers stops dialling replicas that were removed or never answered.
func (p *peers) removeUnusedDialers(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, d := range p.dialers {
		if d.Session() != nil || slices.Contains(p.seeds, address) || slices.Contains(p.members, address) {
			d.lastUsed = now
		}
		if now.Sub(d.lastUsed) >= unusedDialerTTL {
			d.cancel()
			delete(p.dialers, address)
		}
	}
}

// connect starts dialling an address and reports whether it was not dialled before.
func (p *peers) connect(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil || p.ctx.Err() != nil || address == p.ownAddress || p.dialers[address] != nil {
		return false
	}
	ctx, cancel := context.WithCancel(p.ctx)
	d := &dialer{cancel: cancel, lastUsed: time.Now(), Dialer: &transport.Dialer{
		Address: address, Token: p.token, Network: p.network, Bytes: p.byteCounts,
		Handler: func(_ context.Context, s *transport.Session, env wire.Envelope) { p.onReply(s, env) },
		OnOpen: func(s *transport.Session) {
			p.sendHello(s, p.replicas(time.Now()))
			p.onConnect()
		},
		OnFailure: func(err error) {
			p.log.WithError(err).WithField("peer", address).Debug("peer_unreachable")
		},
	}}
	p.dialers[address] = d
	p.dialersDone.Go(func() { d.Run(ctx) })
	return true
}

// replicas returns the session addresses of the members and of the present replicas.
func (p *peers) replicas(now time.Time) []string {
	addresses := []string{}
	for _, h := range p.Present(now) {
		addresses = append(addresses, h.Address)
	}
	p.mu.Lock()
	addresses = append(addresses, p.members...)
	p.mu.Unlock()
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (p *peers) sendHello(s *transport.Session, replicas []string) {
	h := p.localHello()
	h.Lost, h.Replicas = p.LostStorage(), replicas
	if frame, err := wire.Marshal(peerFrame{Hello: &h}); err == nil {
		_ = s.Send(wire.Raft{Message: frame})
	}
}

func (p *peers) broadcastHello(relay bool) {
	var replicas []string
	if relay {
		replicas = p.replicas(time.Now())
	}
	p.mu.Lock()
	dialers := make([]*dialer, 0, len(p.dialers))
	for _, d := range p.dialers {
		dialers = append(dialers, d)
	}
	p.mu.Unlock()
	for _, d := range dialers {
		if s := d.Session(); s != nil {
			p.sendHello(s, replicas)
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

// Alone reports whether no other replica is known, present or not.
func (p *peers) Alone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.dialers) == 0
}

// Zone returns the availability zone of a replica, or "" if no hello of it was
// received.
func (p *peers) Zone(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[replicaName(id)].Zone
}

// SetMembers records the addresses of a membership, by replica ID, and connects to the
// new ones.
func (p *peers) SetMembers(addresses map[string]string) {
	p.mu.Lock()
	p.members = slices.Sorted(maps.Values(addresses))
	maps.Copy(p.byID, addresses)
	p.mu.Unlock()
	for _, address := range addresses {
		p.connect(address)
	}
}

// RecordHello records a hello and connects to the replicas that it lists. Its address
// replaces the known address of the replica. A late hello of a replica whose storage is
// lost is ignored.
func (p *peers) RecordHello(h hello, now time.Time) {
	if h.ID == "" || h.Name == "" || h.Address == "" {
		return
	}
	relayed := h.Replicas[:min(len(h.Replicas), maxRelayed)]
	h.Replicas = nil
	if !p.storeHello(h, now) {
		return
	}
	if p.connect(h.Address) {
		p.log.WithFields(log.Fields{"replica": h.ID, "peer": h.Address, "source": "hello"}).Info("replica_discovered")
	}
	for _, address := range relayed {
		if address != "" && p.connect(address) {
			p.log.WithFields(log.Fields{"peer": address, "from": h.ID, "source": "relayed"}).Info("replica_discovered")
		}
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
