package swarm

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind tells sources apart.
type Kind uint8

// Kinds of source.
const (
	KindPeer Kind = iota + 1
	KindStore
	KindOrigin
)

// Source is where a chunk comes from. Peer is set for KindPeer.
type Source struct {
	Kind Kind
	Peer string
}

// Fetch is one chunk to get from one source.
type Fetch struct {
	Chunk  int
	Source Source
}

// maxCandidates bounds the chunks compared for one choice.
const maxCandidates = 128

type peerState struct {
	node     Node
	have     Bitmap
	heard    bool
	inFlight int
}

type chunkSource struct {
	chunk int
	kind  Kind
}

type chunkPause struct {
	count int
	until time.Duration
}

// Scheduler plans the fetches of one manifest by one instance. It is not safe
// for concurrent use.
type Scheduler struct {
	cfg       Config
	keys      []uint64
	penalties *Penalties
	random    *rand.Rand

	topology   topology
	peers      []*peerState
	designated []int32 // own chunks to take from outside, in order
	homes      []uint8 // index in topology.regions of the region that takes a chunk from the origin

	have     Bitmap
	wanted   Bitmap // neither held nor in flight
	missing  int
	holders  []uint8 // neighbours that hold a chunk
	pauses   map[chunkSource]*chunkPause
	inFlight map[int]Source

	peerFetches, outsideFetches int
	outsideLimit                int
	started                     time.Duration
	settled                     time.Duration // no designated fetch before
	progressed                  time.Duration // last chunk other than by fallback
	fallback                    map[int]bool  // chunks in flight by fallback
	fallbackLeft                int           // share of the spare copies
	fallbackAt                  time.Duration // last start
}

// New returns a scheduler for chunks with the given keys, the same on every
// instance (such as a prefix of the chunk's digest).
func New(now time.Duration, cfg Config, keys []uint64, penalties *Penalties) *Scheduler {
	cfg.setDefaults()
	seed := hashText(cfg.Self.ID)
	s := &Scheduler{
		cfg: cfg, keys: keys, penalties: penalties,
		random:  rand.New(rand.NewPCG(seed, uint64(len(keys)))),
		have:    NewBitmap(len(keys)),
		wanted:  NewBitmap(len(keys)),
		missing: len(keys), holders: make([]uint8, len(keys)),
		pauses: map[chunkSource]*chunkPause{}, inFlight: map[int]Source{},
		started: now, progressed: now, fallback: map[int]bool{}, fallbackLeft: -1,
	}
	for i := range keys {
		s.wanted.Set(i)
	}
	s.SetNodes(now, nil)
	return s
}

// SetNodes replaces the list of live instances. Self may be absent from it.
func (s *Scheduler) SetNodes(now time.Duration, nodes []Node) {
	next := newTopology(s.cfg.Self, nodes)
	if slices.Equal(next.nodes, s.topology.nodes) {
		return
	}
	s.topology = next
	if now > s.started {
		s.settled = now + s.cfg.HearTimeout
	}
	neighbours := s.topology.neighbours(s.cfg.MaxPeers, s.cfg.RegionLinks)
	for _, p := range slices.Clone(s.peers) {
		if !slices.Contains(neighbours, p.node) {
			s.dropPeer(p.node.ID)
		}
	}
	for _, n := range neighbours {
		if s.peer(n.ID) == nil {
			s.peers = append(s.peers, &peerState{node: n, have: NewBitmap(len(s.keys))})
		}
	}
	s.designate()
	s.setShare()
}

// setShare limits fallback to this instance's share of the spare copies. It
// is set once there are other instances, and not raised when instances die.
func (s *Scheduler) setShare() {
	if s.fallbackLeft >= 0 || len(s.topology.nodes) < 2 {
		return
	}
	forced := 1.0
	if s.cfg.RegionLinks == RegionLinksNever {
		forced = float64(len(s.topology.regions))
	}
	copies := s.cfg.OriginCopies
	switch {
	case copies > 0:
	case s.cfg.Objective == ObjectiveOriginBytes:
		copies = forced + spareCopiesBytes
	default:
		copies = originCopiesTime
	}
	spare := max(0, copies-forced) * float64(len(s.keys))
	s.fallbackLeft = int(spare) / len(s.topology.nodes)
}

// designate chooses, for each chunk, the instance that takes it from outside.
func (s *Scheduler) designate() {
	candidates := s.topology.inRegion(s.cfg.Self.Region)
	if s.cfg.RegionLinks == RegionLinksOnce {
		candidates = s.topology.nodes
		s.homes = make([]uint8, len(s.keys))
	}
	s.outsideLimit = s.cfg.OutsideFetches
	if s.outsideLimit == 0 {
		share := (outsideFetchesRegion + len(candidates)/2) / len(candidates)
		// Chunks in flight together also end together, and then have to spread.
		inFlight := len(s.keys) / len(candidates) / outsideInFlightParts
		s.outsideLimit = max(1, min(maxOutsideFetches, share, inFlight))
	}
	s.designated = s.designated[:0]
	for i, k := range assign(candidates, s.keys) {
		node := candidates[k]
		if node.ID == s.cfg.Self.ID {
			s.designated = append(s.designated, int32(i))
		}
		if s.homes != nil {
			s.homes[i] = uint8(slices.Index(s.topology.regions, node.Region))
		}
	}
}

func (s *Scheduler) peer(id string) *peerState {
	for _, p := range s.peers {
		if p.node.ID == id {
			return p
		}
	}
	return nil
}

// Peers returns the instances to exchange state with, at most MaxPeers.
func (s *Scheduler) Peers() []Node {
	list := make([]Node, len(s.peers))
	for i, p := range s.peers {
		list[i] = p.node
	}
	return list
}

// PeerHas records chunks that a peer reports to hold. Reports of instances
// that are not among Peers are ignored.
func (s *Scheduler) PeerHas(_ time.Duration, id string, chunks ...int) {
	p := s.peer(id)
	if p == nil {
		return
	}
	p.heard = true
	for _, i := range chunks {
		if i >= 0 && i < len(s.keys) && s.usable(p, i) && p.have.Set(i) {
			s.holders[i]++
		}
	}
}

// usable applies the region-link rule: a chunk crosses a link only out of the
// region that took it from the origin.
func (s *Scheduler) usable(p *peerState, chunk int) bool {
	if p.node.Region == s.cfg.Self.Region {
		return true
	}
	return s.homes != nil && s.topology.regions[s.homes[chunk]] == p.node.Region
}

// PeerLost forgets what a peer reported.
func (s *Scheduler) PeerLost(_ time.Duration, id string) {
	if p := s.peer(id); p != nil {
		s.forget(p)
	}
}

func (s *Scheduler) forget(p *peerState) {
	for i := range s.keys {
		if p.have.Has(i) {
			s.holders[i]--
		}
	}
	clear(p.have)
}

func (s *Scheduler) dropPeer(id string) {
	s.PeerLost(0, id)
	s.peers = slices.DeleteFunc(s.peers, func(p *peerState) bool { return p.node.ID == id })
}

// Hold records a chunk that the instance holds from elsewhere, such as an
// older version on its disk.
func (s *Scheduler) Hold(now time.Duration, chunk int) {
	if s.have.Set(chunk) {
		s.missing--
		if !s.fallback[chunk] {
			s.progressed = now
		}
	}
	s.wanted.Clear(chunk)
}

// Complete reports whether every chunk is held.
func (s *Scheduler) Complete() bool { return s.missing == 0 }

// Holds reports whether the chunk is held.
func (s *Scheduler) Holds(chunk int) bool { return s.have.Has(chunk) }

// Held returns the number of chunks held.
func (s *Scheduler) Held() int { return len(s.keys) - s.missing }

// Done records that a fetched chunk was verified.
func (s *Scheduler) Done(now time.Duration, f Fetch) {
	s.penalties.success(f.Source)
	s.Hold(now, f.Chunk)
	s.ended(f)
}

// Failed records that a fetch gave no verified chunk. The source is avoided
// for a time that depends on the fault, and at least for retryAfter.
func (s *Scheduler) Failed(now time.Duration, f Fetch, fault Fault, retryAfter time.Duration) {
	s.ended(f)
	if !s.have.Has(f.Chunk) {
		s.wanted.Set(f.Chunk)
	}
	s.penalties.fault(now, f.Source, fault, retryAfter)
	switch {
	case f.Source.Kind == KindPeer && (fault == FaultCorrupt || fault == FaultMissing || fault == FaultRefused):
		s.disbelieve(f)
	case f.Source.Kind != KindPeer && (fault == FaultCorrupt || fault == FaultMissing):
		s.pauseChunk(now, f)
	}
}

// Cancelled records that a fetch was given up without fault of its source.
func (s *Scheduler) Cancelled(f Fetch) {
	s.ended(f)
	if !s.have.Has(f.Chunk) {
		s.wanted.Set(f.Chunk)
	}
}

func (s *Scheduler) disbelieve(f Fetch) {
	p := s.peer(f.Source.Peer)
	if p != nil && p.have.Has(f.Chunk) {
		p.have.Clear(f.Chunk)
		s.holders[f.Chunk]--
	}
}

func (s *Scheduler) pauseChunk(now time.Duration, f Fetch) {
	key := chunkSource{f.Chunk, f.Source.Kind}
	p := s.pauses[key]
	if p == nil {
		p = &chunkPause{}
		s.pauses[key] = p
	}
	p.count++
	p.until = now + chunkBackoff.after(p.count)
}

func (s *Scheduler) ended(f Fetch) {
	if s.inFlight[f.Chunk] != f.Source {
		return
	}
	delete(s.inFlight, f.Chunk)
	delete(s.fallback, f.Chunk)
	if f.Source.Kind != KindPeer {
		s.outsideFetches--
		return
	}
	s.peerFetches--
	if p := s.peer(f.Source.Peer); p != nil {
		p.inFlight = max(0, p.inFlight-1)
	}
}

func (s *Scheduler) start(chunk int, source Source) Fetch {
	s.wanted.Clear(chunk)
	s.inFlight[chunk] = source
	return Fetch{Chunk: chunk, Source: source}
}

// Next returns the fetches to start. Call it after every event, and every
// 100 ms for the timeouts.
func (s *Scheduler) Next(now time.Duration) []Fetch {
	if s.Complete() {
		return nil
	}
	fetches := s.nextFromPeers(now, nil)
	if s.heardAll(now) && now >= s.settled {
		fetches = s.nextDesignated(now, fetches)
	}
	return s.nextFallback(now, fetches)
}

func (s *Scheduler) heardAll(now time.Duration) bool {
	if now >= s.started+s.cfg.HearTimeout {
		return true
	}
	return len(s.peers) > 0 && !slices.ContainsFunc(s.peers, func(p *peerState) bool { return !p.heard })
}

func (s *Scheduler) nextFromPeers(now time.Duration, fetches []Fetch) []Fetch {
	if s.peerFetches >= s.cfg.PeerFetches {
		return fetches
	}
	order := s.random.Perm(len(s.peers))
	for load := 0; load < s.cfg.FetchesPerPeer; load++ {
		for _, i := range order {
			p := s.peers[i]
			source := Source{Kind: KindPeer, Peer: p.node.ID}
			if s.peerFetches >= s.cfg.PeerFetches || p.inFlight != load || s.penalties.Avoided(now, source) {
				continue
			}
			chunk, ok := s.rarest(now, p)
			if !ok {
				continue
			}
			p.inFlight++
			s.peerFetches++
			fetches = append(fetches, s.start(chunk, source))
		}
	}
	return fetches
}

// rarest chooses among chunks that p holds one with the fewest holders among
// the neighbours, at random among equals.
func (s *Scheduler) rarest(now time.Duration, p *peerState) (chunk int, ok bool) {
	words := len(s.wanted)
	offset := s.random.IntN(words)
	remote := p.node.Region != s.cfg.Self.Region
	seen, best, ties := 0, uint8(0), 0
	for w := range words {
		w = (w + offset) % words
		for word := s.wanted[w] & p.have[w]; word != 0; word &= word - 1 {
			i := w*wordBits + bits.TrailingZeros64(word)
			if remote && s.heldInRegion(now, i) {
				continue
			}
			seen++
			switch n := s.holders[i]; {
			case !ok || n < best:
				chunk, best, ties, ok = i, n, 1, true
			case n == best:
				if ties++; s.random.IntN(ties) == 0 {
					chunk = i
				}
			}
		}
		if seen >= maxCandidates {
			break
		}
	}
	return chunk, ok
}

// nextDesignated takes own chunks from outside, unless a neighbour has them.
func (s *Scheduler) nextDesignated(now time.Duration, fetches []Fetch) []Fetch {
	for len(s.designated) > 0 && s.have.Has(int(s.designated[0])) {
		s.designated = s.designated[1:]
	}
	for _, i := range s.designated {
		if s.outsideFetches >= s.outsideLimit {
			break
		}
		if chunk := int(i); s.wanted.Has(chunk) && !s.heldByUsablePeer(now, chunk) {
			fetches = s.fetchOutside(now, chunk, fetches)
		}
	}
	return fetches
}

func (s *Scheduler) heldByUsablePeer(now time.Duration, chunk int) bool {
	return s.holders[chunk] > 0 && slices.ContainsFunc(s.peers, func(p *peerState) bool {
		return s.usableHolder(now, p, chunk)
	})
}

// heldInRegion reports whether a region link need not be used for the chunk.
func (s *Scheduler) heldInRegion(now time.Duration, chunk int) bool {
	return s.holders[chunk] > 1 && slices.ContainsFunc(s.peers, func(p *peerState) bool {
		return p.node.Region == s.cfg.Self.Region && s.usableHolder(now, p, chunk)
	})
}

func (s *Scheduler) usableHolder(now time.Duration, p *peerState, chunk int) bool {
	return p.have.Has(chunk) && !s.penalties.Avoided(now, Source{Kind: KindPeer, Peer: p.node.ID})
}

// nextFallback takes a chunk of another instance from outside, one at a time,
// when no other source has given anything for a stall timeout. A chunk that it
// brings reaches the neighbours and ends their own stalls.
func (s *Scheduler) nextFallback(now time.Duration, fetches []Fetch) []Fetch {
	stalls := int((now - s.progressed) / s.cfg.StallTimeout)
	if stalls == 0 || s.outsideFetches > 0 {
		return fetches
	}
	if s.fallbackLeft <= 0 && now < s.fallbackAt+s.cfg.StallTimeout {
		return fetches
	}
	allowedRank := 1<<min(stalls, maxDoublings) - 1
	local := s.topology.inRegion(s.cfg.Self.Region)
	for chunk := range s.keys {
		if !s.wanted.Has(chunk) || s.heldByUsablePeer(now, chunk) || s.fallbackRank(local, chunk) > allowedRank {
			continue
		}
		before := len(fetches)
		if fetches = s.fetchOutside(now, chunk, fetches); len(fetches) > before {
			s.fallback[chunk] = true
			s.fallbackLeft--
			s.fallbackAt = now
			break
		}
	}
	return fetches
}

// fallbackRank is the number of instances of the region that come before this
// one for a chunk, and one more outside the chunk's home region.
func (s *Scheduler) fallbackRank(local []hashedNode, chunk int) int {
	n := rank(local, s.keys[chunk], s.topology.self.hash)
	if s.homes != nil && s.topology.regions[s.homes[chunk]] != s.cfg.Self.Region {
		n++
	}
	return n
}

func (s *Scheduler) fetchOutside(now time.Duration, chunk int, fetches []Fetch) []Fetch {
	kind, ok := s.outsideKind(now, chunk)
	if !ok {
		return fetches
	}
	s.outsideFetches++
	return append(fetches, s.start(chunk, Source{Kind: kind}))
}

// outsideKind prefers the store, whose bytes do not leave the origin.
func (s *Scheduler) outsideKind(now time.Duration, chunk int) (Kind, bool) {
	if s.cfg.HasStore {
		until := s.outsideUntil(chunk, KindStore)
		if until <= now {
			return KindStore, true
		}
		if s.cfg.Objective == ObjectiveOriginBytes && until <= now+storeWait {
			return 0, false
		}
	}
	return KindOrigin, s.outsideUntil(chunk, KindOrigin) <= now
}

func (s *Scheduler) outsideUntil(chunk int, kind Kind) time.Duration {
	until := s.penalties.Until(Source{Kind: kind})
	if p := s.pauses[chunkSource{chunk, kind}]; p != nil {
		until = max(until, p.until)
	}
	return until
}
