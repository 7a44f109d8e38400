package tracker

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// Config configures a Tracker. The zero value of a field takes its default.
type Config struct {
	Pieces int
	// Region is the tracker's own region. Regions lists all regions with instances,
	// including Region.
	Region  string
	Regions []string
	// Uploads bounds the concurrent uploads of an instance. One leaves its link idle
	// between two pieces; many delay each other. Default 3.
	Uploads int
	// OriginFetches bounds the concurrent fetches of all regions together from the origin.
	// More keep the origin's link busy when one stalls, but delay the first piece.
	// Default 5, and at least 1 per region.
	OriginFetches int
	// CrossRegionFetches bounds a region's concurrent fetches from other regions. Default 8.
	CrossRegionFetches int
	Rand               *rand.Rand
}

const (
	defaultUploads            = 3
	defaultOriginFetches      = 5
	originFetchesPerRegion    = 1
	defaultCrossRegionFetches = 8

	// avoidFor is the time for which a source is avoided after a failed fetch.
	avoidFor = 2 * time.Second
	// slowAfter is the age from which a transfer counts as slow: its source is assigned
	// no more uploads, and the piece may be fetched from a second source. A transfer
	// takes 35 ms over an idle link and about 200 ms over a shared one.
	slowAfter = 450 * time.Millisecond
	// originSlowAfter is the threshold for fetches from the origin, whose link they all
	// share, until the first one completes. From then on it is originSlowFactor times
	// their average duration, but at least originSlowMin.
	originSlowAfter  = 600 * time.Millisecond
	originSlowFactor = 3
	originSlowMin    = 250 * time.Millisecond
	// originAverageWeight is the weight of the newest sample in the moving average of the
	// duration of origin fetches, which covers about the last five.
	originAverageWeight = 0.2
	// replyTimeout is the time after which an unacknowledged reply counts as lost.
	replyTimeout = 150 * time.Millisecond
	// instanceTimeout is the time without a request after which an incomplete instance
	// counts as gone. Incomplete instances send about three requests a second or more.
	instanceTimeout = 500 * time.Millisecond
	// regionTimeout is the time without state from a region after which other
	// regions fetch its share from the origin.
	regionTimeout = 500 * time.Millisecond
	// originRetry is the time between attempts to reach an origin that failed for
	// several instances.
	originRetry = 100 * time.Millisecond
	// minFailureReporters is the number of instances whose fetches from a source must fail
	// before all instances avoid it.
	minFailureReporters = 2
	// slowReceiverFetches is the number of slow fetches and sources with failed fetches at
	// which the receiver itself is the likely cause. It then counts as slow for
	// slowReceiverFor.
	slowReceiverFetches = 3
	slowReceiverFor     = 2 * time.Second
	// maxFetchesPerPiece bounds the concurrent fetches of one piece by one instance.
	maxFetchesPerPiece = 2
)

// Fetch is the transfer of one piece from one source.
type Fetch struct {
	Piece int
	// From is the address of the source instance, or empty for the origin.
	From string
}

// Request is an instance's request for fetches. Instances send one after each change of
// state. It carries the full state, so that a tracker that has just started needs no
// earlier requests.
type Request struct {
	Address   string // where peers reach the instance
	Have      swarm.Bitmap
	Fetching  []Fetch
	FreeSlots int // further fetches that the instance can start
	Failed    []Fetch
	// LastReply is the number of the last reply received from this tracker.
	LastReply uint64
}

// Reply assigns fetches to an instance. Each request gets a reply, which may be empty;
// more replies follow when there are fetches to assign.
type Reply struct {
	Address string
	Number  uint64 // increases with each reply to the instance
	Fetches []Fetch
}

// RegionState is the state of a region as its tracker reports it to another region.
type RegionState struct {
	Have               swarm.Bitmap // pieces that some instance can send
	FetchingFromOrigin swarm.Bitmap // pieces being fetched from the origin
	// Holders lists addresses of instances that have a piece, for the pieces that the
	// other region lacks.
	Holders map[int][]string
	// FetchesBySource counts this region's fetches in progress from instances of other
	// regions, by the address of the source.
	FetchesBySource map[string]int
}

// Tracker schedules the transfer of one version to the instances of one region.
type Tracker struct {
	cfg             Config
	started         time.Time
	nodes           map[string]*node
	sortedNodes     []*node // by address
	copies          []int   // by piece: instances that have it plus fetches in progress
	otherRegions    map[string]*region
	failures        map[string]map[string]time.Time // by source and reporting instance
	lastOriginFetch time.Time                       // when the last fetch from the origin was assigned
	originFetchTime time.Duration                   // average duration of fetches from the origin; zero before the first
	replies         []Reply
}

type node struct {
	address    string
	have       swarm.Bitmap
	pieceCount int
	lastHeard  time.Time
	complete   bool // has every piece and need not send requests any more
	freeSlots  int
	fetching   map[Fetch]assignment
	replies    uint64
	uploads    map[upload]time.Time
	// slowUntil is the time until which the instance counts as a slow receiver.
	slowUntil time.Time
}

// assignment is a fetch that was assigned to an instance and has not ended.
// reply is the number of the reply that assigned it.
type assignment struct {
	at    time.Time
	reply uint64
}

// upload identifies the upload of a piece to an instance.
type upload struct {
	to    string
	piece int
}

type region struct {
	state     RegionState
	lastHeard time.Time
}

// New returns a tracker without instances.
func New(cfg Config, now time.Time) *Tracker {
	cfg.Uploads = cmp.Or(cfg.Uploads, defaultUploads)
	cfg.CrossRegionFetches = cmp.Or(cfg.CrossRegionFetches, defaultCrossRegionFetches)
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	cfg.OriginFetches = cmp.Or(cfg.OriginFetches, defaultOriginFetches)
	t := &Tracker{
		cfg: cfg, started: now, nodes: map[string]*node{}, otherRegions: map[string]*region{}, failures: map[string]map[string]time.Time{},
		copies: make([]int, cfg.Pieces),
	}
	t.SetRegions(cfg.Regions)
	return t
}

// SetRegions replaces the list of regions with instances. The tracker's own region is
// added if it is missing.
func (t *Tracker) SetRegions(regions []string) {
	if !slices.Contains(regions, t.cfg.Region) {
		regions = append(slices.Clone(regions), t.cfg.Region)
	}
	t.cfg.Regions = slices.Sorted(slices.Values(regions))
}

// TakeReplies returns the replies to send and removes them from the queue.
func (t *Tracker) TakeReplies() []Reply {
	replies := t.replies
	t.replies = nil
	return replies
}

func (t *Tracker) node(address string) *node {
	n := t.nodes[address]
	if n == nil {
		n = &node{
			address: address, have: swarm.NewBitmap(t.cfg.Pieces), fetching: map[Fetch]assignment{}, uploads: map[upload]time.Time{},
		}
		t.nodes[address] = n
		at, _ := slices.BinarySearchFunc(t.sortedNodes, address, func(n *node, address string) int { return cmp.Compare(n.address, address) })
		t.sortedNodes = slices.Insert(t.sortedNodes, at, n)
	}
	return n
}

// SetHolders records instances of the region that are known to have every piece, though
// they sent no request to this tracker.
func (t *Tracker) SetHolders(addresses []string, now time.Time) {
	for _, address := range addresses {
		n := t.node(address)
		n.lastHeard = now
		for i := range t.cfg.Pieces {
			t.setPiece(n, i, true)
		}
		n.pieceCount, n.complete = t.cfg.Pieces, true
	}
	t.match(now)
}

// HandleRequest updates the state of an instance and assigns fetches. TakeReplies
// returns the reply, and later replies as more fetches are assigned to the instance.
func (t *Tracker) HandleRequest(a Request, now time.Time) {
	n := t.node(a.Address)
	n.lastHeard, n.freeSlots = now, a.FreeSlots
	for i := range t.cfg.Pieces {
		t.setPiece(n, i, i/64 < len(a.Have) && a.Have.Has(i)) // a restarted instance may have lost pieces
	}
	n.pieceCount = n.have.Count()
	n.complete = n.pieceCount == t.cfg.Pieces
	for _, f := range a.Failed {
		t.recordFailure(f.From, a.Address, now)
	}
	for f, o := range n.fetching {
		switch {
		case n.have.Has(f.Piece):
			t.endFetch(n, f)
			if f.From == "" {
				t.recordOriginFetch(now.Sub(o.at))
			}
		case slices.Contains(a.Fetching, f):
		case o.reply <= a.LastReply || now.Sub(o.at) >= replyTimeout:
			t.endFetch(n, f)
		default:
			n.freeSlots-- // the reply may still be in flight
		}
	}
	for _, f := range a.Fetching {
		if _, known := n.fetching[f]; !known {
			t.startFetch(n, f, now) // assigned by another tracker
		}
	}
	t.detectSlowReceiver(n, now)
	t.match(now)
	if !slices.ContainsFunc(t.replies, func(r Reply) bool { return r.Address == a.Address }) {
		t.queueReply(n, nil)
	}
}

func (t *Tracker) queueReply(n *node, fetches []Fetch) {
	n.replies++
	t.replies = append(t.replies, Reply{Address: n.address, Number: n.replies, Fetches: fetches})
}

// recordOriginFetch updates the average duration after a completed fetch from the origin.
func (t *Tracker) recordOriginFetch(took time.Duration) {
	delete(t.failures, "") // the origin is reachable again
	if t.originFetchTime == 0 {
		t.originFetchTime = took
		return
	}
	t.originFetchTime += time.Duration(originAverageWeight * float64(took-t.originFetchTime))
}

// slowThreshold returns the age from which a fetch counts as slow.
func (t *Tracker) slowThreshold(f Fetch) time.Duration {
	switch {
	case f.From != "":
		return slowAfter
	case t.originFetchTime == 0:
		return originSlowAfter
	}
	return max(originSlowMin, originSlowFactor*t.originFetchTime)
}

// setPiece records whether an instance has a piece.
func (t *Tracker) setPiece(n *node, piece int, has bool) {
	switch {
	case has && n.have.Set(piece):
		t.copies[piece]++
	case !has && n.have.Has(piece):
		n.have.Clear(piece)
		t.copies[piece]--
	}
}

func (t *Tracker) recordFailure(source, reporter string, now time.Time) {
	if t.failures[source] == nil {
		t.failures[source] = map[string]time.Time{}
	}
	t.failures[source][reporter] = now
}

// recentlyFailed reports whether a fetch by this instance from a source failed within
// avoidFor.
func (t *Tracker) recentlyFailed(source, reporter string, now time.Time) bool {
	at, ok := t.failures[source][reporter]
	return ok && now.Sub(at) < avoidFor
}

// failing reports whether fetches of several instances from a source failed within
// avoidFor. A single reporter may itself be the cause, and so may one that reports many
// sources and counts as a slow receiver.
func (t *Tracker) failing(source string, now time.Time) bool {
	if len(t.failures) == 0 {
		return false
	}
	n := 0
	for reporter, at := range t.failures[source] {
		if node := t.nodes[reporter]; now.Sub(at) < avoidFor && (node == nil || !now.Before(node.slowUntil)) {
			n++
		}
	}
	return n >= minFailureReporters
}

// detectSlowReceiver marks an instance as a slow receiver if its fetches from several
// sources are slow or failed. It then gets one piece at a time, and only from instances
// of its region.
func (t *Tracker) detectSlowReceiver(n *node, now time.Time) {
	slowOrFailed := 0
	for f, o := range n.fetching {
		if now.Sub(o.at) >= t.slowThreshold(f) {
			slowOrFailed++
		}
	}
	for _, reporters := range t.failures {
		if at, ok := reporters[n.address]; ok && now.Sub(at) < avoidFor {
			slowOrFailed++
		}
	}
	if slowOrFailed >= slowReceiverFetches {
		n.slowUntil = now.Add(slowReceiverFor)
	}
}

func (t *Tracker) startFetch(n *node, f Fetch, now time.Time) {
	n.fetching[f] = assignment{now, n.replies + 1}
	t.copies[f.Piece]++
	if f.From == "" {
		t.lastOriginFetch = now
	}
	if source := t.nodes[f.From]; source != nil {
		source.uploads[upload{n.address, f.Piece}] = now
	}
}

func (t *Tracker) endFetch(n *node, f Fetch) {
	delete(n.fetching, f)
	t.copies[f.Piece]--
	if source := t.nodes[f.From]; source != nil {
		delete(source.uploads, upload{n.address, f.Piece})
	}
}

// UpdateRegion records the state of another region.
func (t *Tracker) UpdateRegion(name string, s RegionState, now time.Time) {
	known := t.otherRegions[name]
	if known == nil {
		known = &region{}
		t.otherRegions[name] = known
	}
	// A state names holders of some pieces only; keep the known holders of the others.
	if known.state.Holders != nil {
		merged := maps.Clone(known.state.Holders)
		maps.Copy(merged, s.Holders)
		s.Holders = merged
	}
	known.state, known.lastHeard = s, now
	t.match(now)
}

// State returns the state of the region to send to another one that lacks the given
// pieces.
func (t *Tracker) State(lacks swarm.Bitmap, now time.Time) RegionState {
	s := RegionState{
		Have: swarm.NewBitmap(t.cfg.Pieces), FetchingFromOrigin: swarm.NewBitmap(t.cfg.Pieces), Holders: map[int][]string{}, FetchesBySource: map[string]int{},
	}
	taken := t.crossRegionUploads(now)
	for i := range t.cfg.Pieces {
		if t.available(i, now) {
			s.Have.Set(i)
		}
		if i/64 >= len(lacks) || !lacks.Has(i) {
			continue
		}
		holders := t.holders(i, now)
		slices.SortStableFunc(holders, func(a, b *node) int {
			return cmp.Compare(len(a.uploads)+taken[a.address], len(b.uploads)+taken[b.address])
		})
		for _, n := range holders[:min(maxReportedHolders, len(holders))] {
			s.Holders[i] = append(s.Holders[i], n.address)
		}
	}
	for _, n := range t.nodes {
		for f, o := range n.fetching {
			switch {
			case now.Sub(o.at) >= t.slowThreshold(f) || t.nodes[f.From] != nil:
			case f.From == "":
				s.FetchingFromOrigin.Set(f.Piece)
			default:
				s.FetchesBySource[f.From]++
			}
		}
	}
	return s
}

// crossRegionUploads counts the uploads of this region's instances to other regions, by
// instance address.
func (t *Tracker) crossRegionUploads(now time.Time) map[string]int {
	taken := map[string]int{}
	for _, other := range t.otherRegions {
		if now.Sub(other.lastHeard) >= regionTimeout {
			continue
		}
		for address, n := range other.state.FetchesBySource {
			taken[address] += n
		}
	}
	return taken
}

// available reports whether some usable instance of the region has a piece.
func (t *Tracker) available(piece int, now time.Time) bool {
	return slices.ContainsFunc(t.sortedNodes, func(n *node) bool { return n.have.Has(piece) && t.usable(n, now) })
}

// maxReportedHolders bounds the holders of a piece that are reported to another region.
const maxReportedHolders = 2

// MissingPieces returns the pieces that no usable instance of the region has.
func (t *Tracker) MissingPieces(now time.Time) swarm.Bitmap {
	lacks := swarm.NewBitmap(t.cfg.Pieces)
	for i := range t.cfg.Pieces {
		if !t.available(i, now) {
			lacks.Set(i)
		}
	}
	return lacks
}

// holders returns the usable instances of the region that have a piece.
func (t *Tracker) holders(piece int, now time.Time) []*node {
	var list []*node
	for _, n := range t.sortedNodes {
		if n.have.Has(piece) && t.usable(n, now) {
			list = append(list, n)
		}
	}
	return list
}

// usable reports whether an instance can be used as a source: it is responsive or
// complete, and fetches from it are not failing.
func (t *Tracker) usable(n *node, now time.Time) bool {
	return (n.complete || now.Sub(n.lastHeard) < instanceTimeout) && !t.failing(n.address, now)
}

// Tick assigns fetches again after time has passed, since transfers become slow and
// instances or regions time out.
func (t *Tracker) Tick(now time.Time) { t.match(now) }

// match assigns fetches to the instances with free slots. Those with the fewest pieces
// come first, because the slowest instance determines when the version is complete.
func (t *Tracker) match(now time.Time) {
	var requesters []*node
	for _, n := range t.sortedNodes {
		if n.freeSlots > 0 && !n.complete && now.Sub(n.lastHeard) < instanceTimeout {
			requesters = append(requesters, n)
		}
	}
	if len(requesters) == 0 {
		return
	}
	r := t.newRound(now)
	slices.SortStableFunc(requesters, func(a, b *node) int { return cmp.Compare(a.pieceCount, b.pieceCount) })
	for _, n := range requesters {
		var fetches []Fetch
		for t.mayStart(n, now) && !r.exhausted() {
			f, ok := r.choose(n)
			if !ok {
				break
			}
			t.startFetch(n, f, now)
			r.recordFetch(f)
			n.freeSlots--
			fetches = append(fetches, f)
		}
		if len(fetches) > 0 {
			t.queueReply(n, fetches)
		}
	}
}

// mayStart reports whether an instance may start another fetch. A slow receiver gets one
// at a time.
func (t *Tracker) mayStart(n *node, now time.Time) bool {
	return n.freeSlots > 0 && (!now.Before(n.slowUntil) || len(n.fetching) == 0)
}

// InstanceCounts returns the number of known instances and of those that have every piece.
func (t *Tracker) InstanceCounts() (known, complete int) {
	for _, n := range t.nodes {
		known++
		if n.complete {
			complete++
		}
	}
	return known, complete
}
