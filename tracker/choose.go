package tracker

import (
	"math/bits"
	"slices"
	"time"
)

// round is the state of one matching round, updated as fetches are assigned.
type round struct {
	t                  *Tracker
	now                time.Time
	uploaders          []*node // instances with a free upload slot
	missing            []int   // pieces that the region neither has nor is fetching, slow fetches aside
	originFetches      int     // fetches from the origin in progress that are not slow
	slowOriginFetches  int     // fetches from the origin in progress that are slow
	crossRegionFetches int     // fetches from other regions in progress that are not slow
}

func (t *Tracker) newRound(now time.Time) *round {
	r := &round{t: t, now: now}
	crossRegion := t.crossRegionUploads(now)
	inProgress := make([]bool, t.cfg.Pieces)
	for _, n := range t.sortedNodes {
		if !n.complete && now.Sub(n.lastHeard) >= instanceTimeout {
			for f := range n.fetching { // an unresponsive instance may never finish them
				t.endFetch(n, f)
			}
			continue
		}
		if t.usable(n, now) && t.activeUploads(n, now)+crossRegion[n.address] < t.cfg.Uploads && !t.hasSlowUpload(n, now) {
			r.uploaders = append(r.uploaders, n)
		}
		for f, o := range n.fetching {
			switch {
			case !t.external(f):
			case now.Sub(o.at) < t.slowThreshold(f):
				inProgress[f.Piece] = true
				r.countExternal(f)
			case f.From == "":
				r.slowOriginFetches++
			}
		}
	}
	for piece := range t.cfg.Pieces {
		if !inProgress[piece] && !t.available(piece, now) {
			r.missing = append(r.missing, piece)
		}
	}
	return r
}

// external reports whether the source of a fetch is the origin or an instance of another
// region.
func (t *Tracker) external(f Fetch) bool { return t.nodes[f.From] == nil }

// countExternal counts a fetch from the origin or another region.
func (r *round) countExternal(f Fetch) {
	if f.From == "" {
		r.originFetches++
	} else {
		r.crossRegionFetches++
	}
}

// exhausted reports whether no further fetch can be assigned in this round.
func (r *round) exhausted() bool { return len(r.uploaders) == 0 && len(r.missing) == 0 }

// recordFetch updates the round after a fetch was assigned.
func (r *round) recordFetch(f Fetch) {
	if r.t.external(f) {
		r.countExternal(f)
		r.missing = slices.DeleteFunc(r.missing, func(piece int) bool { return piece == f.Piece })
		return
	}
	r.uploaders = slices.DeleteFunc(r.uploaders, func(n *node) bool { return n.address == f.From && r.t.activeUploads(n, r.now) >= r.t.cfg.Uploads })
}

// hasSlowOriginFetch reports whether an instance has a slow fetch from the origin in
// progress.
func (t *Tracker) hasSlowOriginFetch(n *node, now time.Time) bool {
	for f, o := range n.fetching {
		if f.From == "" && now.Sub(o.at) >= t.slowThreshold(f) {
			return true
		}
	}
	return false
}

// activeUploads counts the uploads that use an instance's link. Slow uploads are left
// out: their bottleneck is elsewhere.
func (t *Tracker) activeUploads(n *node, now time.Time) int {
	count := 0
	for _, at := range n.uploads {
		if now.Sub(at) < slowAfter {
			count++
		}
	}
	return count
}

// hasSlowUpload reports whether an instance has a slow upload to a receiver that is not
// itself slow.
func (t *Tracker) hasSlowUpload(n *node, now time.Time) bool {
	for tr, at := range n.uploads {
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
	for _, piece := range r.missing {
		if r.now.Before(n.slowUntil) {
			break
		}
		if n.have.Has(piece) || !r.mayFetch(n, piece) {
			continue
		}
		if f, ok := r.chooseRemote(n, piece); ok {
			return f, true
		}
		if f, ok := r.chooseOrigin(n, piece); ok {
			return f, true
		}
	}
	return r.chooseLocal(n)
}

// chooseLocal selects the rarest piece that an instance with a free upload slot can send.
// Ties go to the source with the fewest uploads, then to a random one.
func (r *round) chooseLocal(n *node) (Fetch, bool) {
	var best Fetch
	var source *node
	ties := 0
	for _, h := range r.uploaders {
		if h == n || r.t.recentlyFailed(h.address, n.address, r.now) {
			continue
		}
		for word, w := range h.have {
			for missing := w &^ n.have[word]; missing != 0; missing &= missing - 1 {
				f := Fetch{Piece: word*64 + bits.TrailingZeros64(missing), From: h.address}
				if _, tried := n.fetching[f]; tried || !r.mayFetch(n, f.Piece) {
					continue
				}
				order := 0
				if source != nil {
					order = r.t.copies[f.Piece] - r.t.copies[best.Piece]
					if order == 0 {
						order = len(h.uploads) - len(source.uploads)
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

// mayFetch reports whether an instance may start another fetch of a piece: none is in
// progress, or fewer than maxFetchesPerPiece and all of them slow.
func (r *round) mayFetch(n *node, piece int) bool {
	fetches := 0
	for f, o := range n.fetching {
		if f.Piece != piece {
			continue
		}
		if fetches++; r.now.Sub(o.at) < r.t.slowThreshold(f) {
			return false
		}
	}
	return fetches < maxFetchesPerPiece
}

// chooseRemote selects a random source in another region.
func (r *round) chooseRemote(n *node, piece int) (Fetch, bool) {
	if r.crossRegionFetches >= r.t.cfg.CrossRegionFetches {
		return Fetch{}, false
	}
	var sources []string
	for _, name := range r.t.cfg.Regions {
		other := r.t.otherRegions[name]
		if other == nil || !other.state.Have.Has(piece) {
			continue
		}
		for _, address := range other.state.Holders[piece] {
			f := Fetch{piece, address}
			if _, tried := n.fetching[f]; !tried && !r.t.recentlyFailed(address, n.address, r.now) && !r.t.failing(address, r.now) {
				sources = append(sources, address)
			}
		}
	}
	if len(sources) == 0 {
		return Fetch{}, false
	}
	return Fetch{piece, sources[r.t.cfg.Rand.IntN(len(sources))]}, true
}

// chooseOrigin decides whether an instance fetches a piece from the origin. Each
// region fetches its own share; a region that has started all of its share takes over
// pieces that others have not started.
func (r *round) chooseOrigin(n *node, piece int) (Fetch, bool) {
	f := Fetch{Piece: piece}
	if _, tried := n.fetching[f]; tried || r.originFetches >= r.originFetchLimit() || r.slowOriginFetches >= slowOriginFetchFactor*r.originFetchLimit() || r.t.hasSlowOriginFetch(n, r.now) {
		return Fetch{}, false
	}
	if r.t.failing("", r.now) {
		if r.originFetches > 0 || r.now.Sub(r.t.lastOriginFetch) < originRetry {
			return Fetch{}, false // one attempt at a time shows when the origin recovers
		}
	} else if r.t.recentlyFailed("", n.address, r.now) {
		return Fetch{}, false // only this instance cannot reach the origin
	}
	for name, other := range r.t.otherRegions {
		if !r.regionSilent(name) && (other.state.Have.Has(piece) || other.state.FetchingFromOrigin.Has(piece)) {
			return Fetch{}, false // to be fetched from that region
		}
	}
	if r.owner(piece) != r.t.cfg.Region && (r.ownShareLeft() || !r.mayTakeOver(piece)) {
		return Fetch{}, false
	}
	return f, true
}

// slowOriginFetchFactor bounds the slow fetches from the origin, as a multiple of the usual
// number of fetches: when that many are slow, the origin is the bottleneck, and more
// fetches would slow it further.
const slowOriginFetchFactor = 2

func (r *round) originFetchLimit() int {
	n := len(r.t.cfg.Regions)
	return max(originFetchesPerRegion, (r.t.cfg.OriginFetches+n-1)/n)
}

// owner returns the region whose share of the origin fetches includes a piece. Pieces
// of a silent region go to the next region.
func (r *round) owner(piece int) string {
	n := len(r.t.cfg.Regions)
	for k := range n {
		if name := r.t.cfg.Regions[(piece+k)%n]; !r.regionSilent(name) {
			return name
		}
	}
	return r.t.cfg.Region
}

// regionSilent reports whether a region has sent no state for regionTimeout.
func (r *round) regionSilent(name string) bool {
	if name == r.t.cfg.Region {
		return false
	}
	lastHeard := r.t.started
	if other := r.t.otherRegions[name]; other != nil {
		lastHeard = other.lastHeard
	}
	return r.now.Sub(lastHeard) >= regionTimeout
}

// ownShareLeft reports whether the region has pieces of its own share left to start.
func (r *round) ownShareLeft() bool {
	return slices.ContainsFunc(r.missing, func(piece int) bool { return r.owner(piece) == r.t.cfg.Region })
}

// reservedPieces is the number of pieces of a share that no other region takes over: the
// owner is about to start them, and the other region would learn of that too late.
const reservedPieces = 2

// mayTakeOver reports whether the region may fetch a piece of another region's share.
// Only the next region in order may, and it starts with the last pieces, so that the two
// regions reach the same piece as late as possible.
func (r *round) mayTakeOver(piece int) bool {
	n := len(r.t.cfg.Regions)
	if r.t.cfg.Regions[(piece+1)%n] != r.t.cfg.Region {
		return false
	}
	owner := r.owner(piece)
	other := r.t.otherRegions[owner]
	left := 0
	for _, p := range r.missing {
		if r.owner(p) != owner || other != nil && (other.state.Have.Has(p) || other.state.FetchingFromOrigin.Has(p)) {
			continue
		}
		if p > piece {
			return false
		}
		left++
	}
	return left > reservedPieces
}
