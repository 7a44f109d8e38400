package tracker

import (
	"math/bits"
	"slices"
	"time"
)

// round is the state of one matching round, updated as fetches are assigned.
type round struct {
	t           *Tracker
	now         time.Time
	idle        []*node // instances with a free upload slot
	outside     []int   // pieces that the region neither has nor is fetching, slow fetches aside
	imports     int     // fetches from the origin in progress that are not slow
	slowImports int     // fetches from the origin in progress that are slow
	crossings   int // fetches from other regions in progress that are not slow
}

func (t *Tracker) round(now time.Time) *round {
	r := &round{t: t, now: now}
	taken := t.taken(now)
	underway := make([]bool, t.cfg.Pieces)
	for _, n := range t.order {
		if !n.holder && now.Sub(n.heard) >= silentAfter {
			for f := range n.fetching { // an unresponsive instance may never finish them
				t.release(n, f)
			}
			continue
		}
		if t.sound(n, now) && t.sends(n, now)+taken[n.address] < t.cfg.Uploads && !t.sendsSlowly(n, now) {
			r.idle = append(r.idle, n)
		}
		for f, o := range n.fetching {
			switch {
			case !t.fromOutside(f):
			case now.Sub(o.at) < t.slow(f):
				underway[f.Piece] = true
				r.count(f)
			case f.From == "":
				r.slowImports++
			}
		}
	}
	for piece := range t.cfg.Pieces {
		if !underway[piece] && !t.has(piece, now) {
			r.outside = append(r.outside, piece)
		}
	}
	return r
}

// fromOutside reports whether the source is the origin or in another region.
func (t *Tracker) fromOutside(f Fetch) bool { return t.nodes[f.From] == nil }

func (r *round) count(f Fetch) {
	if f.From == "" {
		r.imports++
	} else {
		r.crossings++
	}
}

// over reports whether no further fetch can be assigned in this round.
func (r *round) over() bool { return len(r.idle) == 0 && len(r.outside) == 0 }

// took updates the round after a fetch was assigned.
func (r *round) took(f Fetch) {
	if r.t.fromOutside(f) {
		r.count(f)
		r.outside = slices.DeleteFunc(r.outside, func(piece int) bool { return piece == f.Piece })
		return
	}
	r.idle = slices.DeleteFunc(r.idle, func(n *node) bool { return n.address == f.From && r.t.sends(n, r.now) >= r.t.cfg.Uploads })
}

// importsSlowly reports whether an instance has a slow fetch from the origin in
// progress.
func (t *Tracker) importsSlowly(n *node, now time.Time) bool {
	for f, o := range n.fetching {
		if f.From == "" && now.Sub(o.at) >= t.slow(f) {
			return true
		}
	}
	return false
}

// sends counts the uploads that use an instance's link. Slow uploads are left out: their
// bottleneck is elsewhere.
func (t *Tracker) sends(n *node, now time.Time) int {
	count := 0
	for _, at := range n.sending {
		if now.Sub(at) < slowAfter {
			count++
		}
	}
	return count
}

// sendsSlowly reports whether an instance has a slow upload to a receiver that is not
// itself slow.
func (t *Tracker) sendsSlowly(n *node, now time.Time) bool {
	for tr, at := range n.sending {
		if now.Sub(at) >= slowAfter && !now.Before(t.nodes[tr.to].slowUntil) {
			return true
		}
	}
	return false
}

// choose selects the next fetch for an instance. Pieces that the region lacks come
// first, then the rarest piece that an instance with a free upload slot has, where
// fetches in progress count as copies.
func (r *round) choose(n *node) (Fetch, bool) {
	for _, piece := range r.outside {
		if r.now.Before(n.slowUntil) {
			break
		}
		if n.have.Has(piece) || !r.wants(n, piece) {
			continue
		}
		if f, ok := r.remote(n, piece); ok {
			return f, true
		}
		if f, ok := r.origin(n, piece); ok {
			return f, true
		}
	}
	return r.local(n)
}

// local selects the rarest piece that an instance with a free upload slot can send.
// Ties go to the source with the fewest uploads, then to a random one.
func (r *round) local(n *node) (Fetch, bool) {
	var best Fetch
	var source *node
	ties := 0
	for _, h := range r.idle {
		if h == n || r.t.failedFor(h.address, n.address, r.now) {
			continue
		}
		for word, w := range h.have {
			for missing := w &^ n.have[word]; missing != 0; missing &= missing - 1 {
				f := Fetch{Piece: word*64 + bits.TrailingZeros64(missing), From: h.address}
				if _, tried := n.fetching[f]; tried || !r.wants(n, f.Piece) {
					continue
				}
				order := 0
				if source != nil {
					order = r.t.copies[f.Piece] - r.t.copies[best.Piece]
					if order == 0 {
						order = len(h.sending) - len(source.sending)
					}
				}
				switch {
				case source == nil || order < 0:
					best, source, ties = f, h, 1
				case order == 0:
					if ties++; r.t.cfg.Rand.IntN(ties) == 0 {
						best, source = f, h
					}
				}
			}
		}
	}
	return best, source != nil
}

// wants reports whether an instance may start another fetch of a piece: none is in
// progress, or fewer than duplicates and all of them slow.
func (r *round) wants(n *node, piece int) bool {
	fetches := 0
	for f, o := range n.fetching {
		if f.Piece != piece {
			continue
		}
		if fetches++; r.now.Sub(o.at) < r.t.slow(f) {
			return false
		}
	}
	return fetches < duplicates
}

// remote selects a random source in another region.
func (r *round) remote(n *node, piece int) (Fetch, bool) {
	if r.crossings >= r.t.cfg.CrossRegionFetches {
		return Fetch{}, false
	}
	var sources []string
	for _, name := range r.t.cfg.Regions {
		other := r.t.others[name]
		if other == nil || !other.state.Have.Has(piece) {
			continue
		}
		for _, address := range other.state.Holders[piece] {
			f := Fetch{piece, address}
			if _, tried := n.fetching[f]; !tried && !r.t.failedFor(address, n.address, r.now) && !r.t.failing(address, r.now) {
				sources = append(sources, address)
			}
		}
	}
	if len(sources) == 0 {
		return Fetch{}, false
	}
	return Fetch{piece, sources[r.t.cfg.Rand.IntN(len(sources))]}, true
}

// origin decides whether an instance fetches a piece from the origin. Each region
// fetches its own share; a region that has started all of its share takes over pieces
// that others have not started.
func (r *round) origin(n *node, piece int) (Fetch, bool) {
	f := Fetch{Piece: piece}
	if _, tried := n.fetching[f]; tried || r.imports >= r.importLimit() || r.slowImports >= slowImportLimit*r.importLimit() || r.t.importsSlowly(n, r.now) {
		return Fetch{}, false
	}
	if r.t.failing("", r.now) {
		if r.imports > 0 || r.now.Sub(r.t.imported) < originRetry {
			return Fetch{}, false // one attempt at a time shows when the origin recovers
		}
	} else if r.t.failedFor("", n.address, r.now) {
		return Fetch{}, false // only this instance cannot reach the origin
	}
	for name, other := range r.t.others {
		if !r.silent(name) && (other.state.Have.Has(piece) || other.state.FetchingFromOrigin.Has(piece)) {
			return Fetch{}, false // to be fetched from that region
		}
	}
	if r.owner(piece) != r.t.cfg.Region && (r.ownLeft() || !r.mayTakeOver(piece)) {
		return Fetch{}, false
	}
	return f, true
}

// slowImportLimit bounds the slow fetches from the origin, as a multiple of the usual
// number of fetches: when that many are slow, the origin is the bottleneck, and more
// fetches would slow it further.
const slowImportLimit = 2

func (r *round) importLimit() int {
	n := len(r.t.cfg.Regions)
	return max(importsPerRegion, (r.t.cfg.OriginFetches+n-1)/n)
}

// owner returns the region whose share of the origin fetches includes a piece. Pieces
// of a silent region go to the next region.
func (r *round) owner(piece int) string {
	n := len(r.t.cfg.Regions)
	for k := range n {
		if name := r.t.cfg.Regions[(piece+k)%n]; !r.silent(name) {
			return name
		}
	}
	return r.t.cfg.Region
}

// silent reports whether a region has sent no state for regionSilentAfter.
func (r *round) silent(name string) bool {
	if name == r.t.cfg.Region {
		return false
	}
	heard := r.t.started
	if other := r.t.others[name]; other != nil {
		heard = other.heard
	}
	return r.now.Sub(heard) >= regionSilentAfter
}

// ownLeft reports whether the region has pieces of its own share left to start.
func (r *round) ownLeft() bool {
	return slices.ContainsFunc(r.outside, func(piece int) bool { return r.owner(piece) == r.t.cfg.Region })
}

// takeOverAbove is the number of pieces of a share that no other region takes over: the
// owner is about to start them, and the other region would learn of that too late.
const takeOverAbove = 2

// mayTakeOver reports whether the region may fetch a piece of another region's share.
// Only the next region in order may, and it starts with the last pieces, so that the two
// regions reach the same piece as late as possible.
func (r *round) mayTakeOver(piece int) bool {
	n := len(r.t.cfg.Regions)
	if r.t.cfg.Regions[(piece+1)%n] != r.t.cfg.Region {
		return false
	}
	owner := r.owner(piece)
	other := r.t.others[owner]
	left := 0
	for _, p := range r.outside {
		if r.owner(p) != owner || other != nil && (other.state.Have.Has(p) || other.state.FetchingFromOrigin.Has(p)) {
			continue
		}
		if p > piece {
			return false
		}
		left++
	}
	return left > takeOverAbove
}
