package swarm

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// SourceKind is the kind of a source.
type SourceKind uint8

// Kinds of source.
const (
	KindPeer SourceKind = iota + 1
	KindStore
	KindOrigin
)

// Source is a peer, the store or the origin. Peer is set for KindPeer only.
type Source struct {
	Kind SourceKind
	Peer string
}

// Fetch is the transfer of one chunk from one source.
type Fetch struct {
	Chunk  int
	Source Source
}

// maxCandidates limits how many chunks are compared to select one. The search
// ends with the first word of the bitmap that reaches the limit.
const maxCandidates = 128

type peerState struct {
	node     Node
	have     Bitmap
	reported bool // has sent a report
	inFlight int
}

type chunkSource struct {
	chunk int
	kind  SourceKind
}

type chunkPause struct {
	count int
	until time.Duration
}

// Scheduler schedules the fetches of the chunks of one manifest by one instance.
// It is not safe for concurrent use.
type Scheduler struct {
	cfg       Config
	keys      []uint64
	penalties *Penalties
	random    *rand.Rand

	topology     topology
	peers        []*peerState
	designated   []int32 // chunks that this instance is to fetch from store or origin, in order
	fetchRegions []uint8 // by chunk: index in topology.regions of the region that fetches it from the origin

	have        Bitmap
	wanted      Bitmap // neither held nor in flight
	missing     int
	holders     []uint8 // by chunk: number of peers that hold it
	chunkPauses map[chunkSource]*chunkPause
	inFlight    map[int]Source

	peerFetches, upstreamFetches int
	upstreamLimit                int
	started                      time.Duration
	designatedFrom               time.Duration // no designated fetches before this time
	lastProgress                 time.Duration // time of the last chunk that was not a fallback fetch
	fallbackChunks               map[int]bool  // chunks of fallback fetches in flight
	fallbackQuota                int           // remaining share of the spare copies, in chunks; negative if unset or exceeded
	lastFallback                 time.Duration // start of the last fallback fetch
}

// New returns a scheduler for chunks with the given keys. Every instance must use
// the same keys, such as prefixes of the chunk digests.
func New(now time.Duration, cfg Config, keys []uint64, penalties *Penalties) *Scheduler {
	cfg.setDefaults()
	seed := hashText(cfg.Self.ID)
	s := &Scheduler{
		cfg: cfg, keys: keys, penalties: penalties,
		random:  rand.New(rand.NewPCG(seed, uint64(len(keys)))),
		have:    NewBitmap(len(keys)),
		wanted:  NewBitmap(len(keys)),
		missing: len(keys), holders: make([]uint8, len(keys)),
		chunkPauses: map[chunkSource]*chunkPause{}, inFlight: map[int]Source{},
		started: now, lastProgress: now, fallbackChunks: map[int]bool{}, fallbackQuota: -1,
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
		s.designatedFrom = now + s.cfg.ReportTimeout
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
	s.setFallbackQuota()
}

// setFallbackQuota limits fallback fetches to this instance's share of the spare
// copies. The share is set when other instances first appear, and is not meant to
// grow when instances fail.
func (s *Scheduler) setFallbackQuota() {
	if s.fallbackQuota >= 0 || len(s.topology.nodes) < 2 {
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
		copies = forced + defaultSpareCopies
	default:
		copies = defaultOriginCopies
	}
	spare := max(0, copies-forced) * float64(len(s.keys))
	s.fallbackQuota = int(spare) / len(s.topology.nodes)
}

// designate assigns each chunk to the instance that fetches it from store or
// origin, and sets the limit for such fetches.
func (s *Scheduler) designate() {
	candidates := s.topology.inRegion(s.cfg.Self.Region)
	if s.cfg.RegionLinks == RegionLinksOnce {
		candidates = s.topology.nodes
		s.fetchRegions = make([]uint8, len(s.keys))
	}
	s.upstreamLimit = s.cfg.UpstreamFetches
	if s.upstreamLimit == 0 {
		share := (upstreamFetchesPerRegion + len(candidates)/2) / len(candidates)
		// Concurrent fetches also end together, and only then can peers get the chunks.
		inFlight := len(s.keys) / len(candidates) / upstreamInFlightDivisor
		s.upstreamLimit = max(1, min(maxUpstreamFetches, share, inFlight))
	}
	s.designated = s.designated[:0]
	for i, k := range assign(candidates, s.keys) {
		node := candidates[k]
		if node.ID == s.cfg.Self.ID {
			s.designated = append(s.designated, int32(i))
		}
		if s.fetchRegions != nil {
			s.fetchRegions[i] = uint8(slices.Index(s.topology.regions, node.Region))
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

// PeerHas records chunks that a peer reports to hold. Reports of instances that
// are not in Peers are ignored.
func (s *Scheduler) PeerHas(_ time.Duration, id string, chunks ...int) {
	p := s.peer(id)
	if p == nil {
		return
	}
	p.reported = true
	for _, i := range chunks {
		if i >= 0 && i < len(s.keys) && s.allowedByRegionRule(p, i) && p.have.Set(i) {
			s.holders[i]++
		}
	}
}

// allowedByRegionRule applies the region-link rule: a chunk is sent to other
// regions only by the region that fetched it from the origin.
func (s *Scheduler) allowedByRegionRule(p *peerState, chunk int) bool {
	if p.node.Region == s.cfg.Self.Region {
		return true
	}
	return s.fetchRegions != nil && s.topology.regions[s.fetchRegions[chunk]] == p.node.Region
}

// PeerLost discards the reports of a peer.
func (s *Scheduler) PeerLost(_ time.Duration, id string) {
	if p := s.peer(id); p != nil {
		s.clearReports(p)
	}
}

func (s *Scheduler) clearReports(p *peerState) {
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

// MarkHeld records a chunk that the instance already has, for example from an older
// version on its disk.
func (s *Scheduler) MarkHeld(now time.Duration, chunk int) {
	if s.have.Set(chunk) {
		s.missing--
		if !s.fallbackChunks[chunk] {
			s.lastProgress = now
		}
	}
	s.wanted.Clear(chunk)
}

// Complete reports whether the instance holds every chunk.
func (s *Scheduler) Complete() bool { return s.missing == 0 }

// Holds reports whether the instance holds the chunk.
func (s *Scheduler) Holds(chunk int) bool { return s.have.Has(chunk) }

// HeldCount returns the number of chunks held.
func (s *Scheduler) HeldCount() int { return len(s.keys) - s.missing }

// Done records that a chunk was fetched and verified.
func (s *Scheduler) Done(now time.Duration, f Fetch) {
	s.penalties.recordSuccess(f.Source)
	s.MarkHeld(now, f.Chunk)
	s.endFetch(f)
}

// Failed records that a fetch did not return a valid chunk. The source is
// avoided for a time that depends on the fault, and at least for retryAfter.
func (s *Scheduler) Failed(now time.Duration, f Fetch, fault Fault, retryAfter time.Duration) {
	s.endFetch(f)
	if !s.have.Has(f.Chunk) {
		s.wanted.Set(f.Chunk)
	}
	s.penalties.recordFault(now, f.Source, fault, retryAfter)
	switch {
	case f.Source.Kind == KindPeer && (fault == FaultCorrupt || fault == FaultMissing || fault == FaultRefused):
		s.discardReport(f)
	case f.Source.Kind != KindPeer && (fault == FaultCorrupt || fault == FaultMissing):
		s.pauseChunk(now, f)
	}
}

// Cancelled records that a fetch was cancelled through no fault of its source.
func (s *Scheduler) Cancelled(f Fetch) {
	s.endFetch(f)
	if !s.have.Has(f.Chunk) {
		s.wanted.Set(f.Chunk)
	}
}

// discardReport discards a peer's report that it holds the chunk of a fetch.
func (s *Scheduler) discardReport(f Fetch) {
	p := s.peer(f.Source.Peer)
	if p != nil && p.have.Has(f.Chunk) {
		p.have.Clear(f.Chunk)
		s.holders[f.Chunk]--
	}
}

// pauseChunk applies the backoff for a chunk that the store or origin did not
// serve correctly.
func (s *Scheduler) pauseChunk(now time.Duration, f Fetch) {
	key := chunkSource{f.Chunk, f.Source.Kind}
	p := s.chunkPauses[key]
	if p == nil {
		p = &chunkPause{}
		s.chunkPauses[key] = p
	}
	p.count++
	p.until = now + chunkBackoff.after(p.count)
}

func (s *Scheduler) endFetch(f Fetch) {
	if s.inFlight[f.Chunk] != f.Source {
		return
	}
	delete(s.inFlight, f.Chunk)
	delete(s.fallbackChunks, f.Chunk)
	if f.Source.Kind != KindPeer {
		s.upstreamFetches--
		return
	}
	s.peerFetches--
	if p := s.peer(f.Source.Peer); p != nil {
		p.inFlight = max(0, p.inFlight-1)
	}
}

func (s *Scheduler) startFetch(chunk int, source Source) Fetch {
	s.wanted.Clear(chunk)
	s.inFlight[chunk] = source
	return Fetch{Chunk: chunk, Source: source}
}

// Next returns the fetches to start. Call it after every event, and every 100 ms
// to handle timeouts.
func (s *Scheduler) Next(now time.Duration) []Fetch {
	if s.Complete() {
		return nil
	}
	fetches := s.nextFromPeers(now, nil)
	if s.allReported(now) && now >= s.designatedFrom {
		fetches = s.nextDesignated(now, fetches)
	}
	return s.nextFallback(now, fetches)
}

func (s *Scheduler) allReported(now time.Duration) bool {
	if now >= s.started+s.cfg.ReportTimeout {
		return true
	}
	return len(s.peers) > 0 && !slices.ContainsFunc(s.peers, func(p *peerState) bool { return !p.reported })
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
			fetches = append(fetches, s.startFetch(chunk, source))
		}
	}
	return fetches
}

// rarest selects, among the wanted chunks that p holds, one with the fewest
// holders among the peers, at random among equals.
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

// nextDesignated fetches this instance's designated chunks from store or origin,
// unless a usable peer holds them.
func (s *Scheduler) nextDesignated(now time.Duration, fetches []Fetch) []Fetch {
	for len(s.designated) > 0 && s.have.Has(int(s.designated[0])) {
		s.designated = s.designated[1:]
	}
	for _, i := range s.designated {
		if s.upstreamFetches >= s.upstreamLimit {
			break
		}
		if chunk := int(i); s.wanted.Has(chunk) && !s.heldByUsablePeer(now, chunk) {
			fetches = s.fetchUpstream(now, chunk, fetches)
		}
	}
	return fetches
}

func (s *Scheduler) heldByUsablePeer(now time.Duration, chunk int) bool {
	return s.holders[chunk] > 0 && slices.ContainsFunc(s.peers, func(p *peerState) bool {
		return s.usableHolder(now, p, chunk)
	})
}

// heldInRegion reports whether a usable peer in this region holds the chunk, so
// that it need not be fetched from another region.
func (s *Scheduler) heldInRegion(now time.Duration, chunk int) bool {
	return s.holders[chunk] > 1 && slices.ContainsFunc(s.peers, func(p *peerState) bool {
		return p.node.Region == s.cfg.Self.Region && s.usableHolder(now, p, chunk)
	})
}

func (s *Scheduler) usableHolder(now time.Duration, p *peerState, chunk int) bool {
	return p.have.Has(chunk) && !s.penalties.Avoided(now, Source{Kind: KindPeer, Peer: p.node.ID})
}

// nextFallback fetches a chunk that another instance is designated for from store
// or origin, one at a time, when no other fetch has succeeded for a stall
// timeout. The peers then get the chunk from this instance, which ends their
// stalls.
func (s *Scheduler) nextFallback(now time.Duration, fetches []Fetch) []Fetch {
	stalls := int((now - s.lastProgress) / s.cfg.StallTimeout)
	if stalls == 0 || s.upstreamFetches > 0 {
		return fetches
	}
	if s.fallbackQuota <= 0 && now < s.lastFallback+s.cfg.StallTimeout {
		return fetches
	}
	allowedRank := 1<<min(stalls, maxDoublings) - 1
	local := s.topology.inRegion(s.cfg.Self.Region)
	for chunk := range s.keys {
		if !s.wanted.Has(chunk) || s.heldByUsablePeer(now, chunk) || s.fallbackRank(local, chunk) > allowedRank {
			continue
		}
		before := len(fetches)
		if fetches = s.fetchUpstream(now, chunk, fetches); len(fetches) > before {
			s.fallbackChunks[chunk] = true
			s.fallbackQuota--
			s.lastFallback = now
			break
		}
	}
	return fetches
}

// fallbackRank returns the number of instances of the region that precede this
// one for a chunk, plus one if another region fetches the chunk from the origin.
func (s *Scheduler) fallbackRank(local []hashedNode, chunk int) int {
	n := rank(local, s.keys[chunk], s.topology.self.hash)
	if s.fetchRegions != nil && s.topology.regions[s.fetchRegions[chunk]] != s.cfg.Self.Region {
		n++
	}
	return n
}

func (s *Scheduler) fetchUpstream(now time.Duration, chunk int, fetches []Fetch) []Fetch {
	kind, ok := s.upstreamKind(now, chunk)
	if !ok {
		return fetches
	}
	s.upstreamFetches++
	return append(fetches, s.startFetch(chunk, Source{Kind: kind}))
}

// upstreamKind selects store or origin for a chunk. It prefers the store, which
// costs no origin bytes.
func (s *Scheduler) upstreamKind(now time.Duration, chunk int) (SourceKind, bool) {
	if s.cfg.HasStore {
		until := s.upstreamPausedUntil(chunk, KindStore)
		if until <= now {
			return KindStore, true
		}
		if s.cfg.Objective == ObjectiveOriginBytes && until <= now+maxStorePause {
			return 0, false
		}
	}
	return KindOrigin, s.upstreamPausedUntil(chunk, KindOrigin) <= now
}

func (s *Scheduler) upstreamPausedUntil(chunk int, kind SourceKind) time.Duration {
	until := s.penalties.Until(Source{Kind: kind})
	if p := s.chunkPauses[chunkSource{chunk, kind}]; p != nil {
		until = max(until, p.until)
	}
	return until
}
