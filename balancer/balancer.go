package balancer

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultStallAfter    = 2 * time.Second
	DefaultProbeInterval = 2 * time.Second
	DefaultEjectFor      = 5 * time.Second
	DefaultEjectMax      = time.Minute
	DefaultSlowStart     = 10 * time.Second
	DefaultFullFor       = 50 * time.Millisecond
	DefaultEjectedShare  = 0.34
	DefaultFailures      = 3
	DefaultAffinityLoad  = 1.25
	DefaultSpillLoad     = 0.8
)

const (
	// slowStartFloor is the part of its capacity that a returning endpoint
	// starts with.
	slowStartFloor = 0.1
	// doubtPenalty multiplies the expected wait on an endpoint that would be
	// ejected if the cap allowed it.
	doubtPenalty = 20
	// serviceSmoothing is the weight of a new sample in the mean service time.
	serviceSmoothing = 0.1
	// lowPriorityLoad is the load above which an endpoint takes no request of
	// low priority.
	lowPriorityLoad = 0.9
)

// Policy selects how Pick chooses among candidates.
type Policy int

// Policies. All but TwoChoices exist as baselines for measurements.
const (
	TwoChoices Policy = iota
	Random
	RoundRobin
	LeastReported
)

// Config configures a Balancer. Zero fields get their defaults.
type Config struct {
	// Zone is the availability zone of the owner. Endpoints in it come first.
	Zone string
	// StallAfter is the time without progress, with work in flight, after
	// which an endpoint is ejected. Default 2 s. Shorter finds dead endpoints
	// sooner and misjudges long prefills.
	StallAfter time.Duration
	// ProbeInterval is the time without progress after which an endpoint is
	// probed, and the interval between probes of an ejected one. Default 2 s.
	ProbeInterval time.Duration
	// EjectFor is the length of a first ejection, doubled by each further one
	// up to EjectMax. Defaults 5 s and 1 min.
	EjectFor, EjectMax time.Duration
	// SlowStart is the time over which a returned endpoint regains its full
	// weight. Default 10 s.
	SlowStart time.Duration
	// FullFor is how long an endpoint whose gate refused for lack of capacity
	// is passed over. Default 50 ms. Longer saves refusals and wastes slots
	// that become free.
	FullFor time.Duration
	// EjectedShare is the largest share of a pool that may be ejected.
	// Default 0.34; a negative share turns ejection off.
	EjectedShare float64
	// Failures is the number of failed attempts in a row that eject. Default 3.
	Failures int
	// AffinityLoad bounds prefix affinity: the preferred endpoint is used
	// while its load is below this multiple of the pool's mean. Default 1.25.
	AffinityLoad float64
	// SpillLoad is the load of the least loaded endpoint in Zone above which
	// other zones are used too. Default 0.8.
	SpillLoad float64
	// Policy is TwoChoices outside measurements.
	Policy Policy
	// Rand returns a number in [0, n). It is required.
	Rand func(n int) int
}

// Endpoint is what is announced about an endpoint.
type Endpoint struct {
	ID          string
	Incarnation uint64
	Sequence    uint64
	Zone        string
	Capacity    int
	InFlight    int // as reported, late
	Ready       bool
	// Probe is true for endpoints that can run a generation probe.
	Probe bool
	// Serves maps each pool (a model or a service) to the weights set loaded
	// for it, empty for services.
	Serves map[string]string
}

// Request describes what is to be placed.
type Request struct {
	Pool string
	// Set restricts the choice to endpoints with this weights set.
	Set string
	// Affinity, when not zero, is the hash of the prompt's prefix.
	Affinity uint64
	// Exclude lists endpoints that must not be used.
	Exclude map[string]bool
	// Low marks a request of low priority: it leaves the last free slots of
	// each endpoint to others.
	Low bool
}

// Choice is the endpoint for one attempt and the weights set it is pinned to.
type Choice struct {
	ID  string
	Set string
}

// Result says how an attempt ended.
type Result int

// Results of an attempt. Refused and Cancelled say nothing about health.
const (
	Completed Result = iota
	Failed
	Refused
	Cancelled
	// Unreachable means that the connection was refused.
	Unreachable
)

type attempt struct {
	started  time.Time
	progress time.Time
	stream   bool
}

type state struct {
	Endpoint
	others   int // in flight through other entries, from the last report
	reported int // as announced, for the LeastReported baseline
	attempts map[string]*attempt

	lastProgress time.Time
	lastProbe    time.Time
	service      float64 // smoothed service time, seconds
	failures     int
	fullUntil    time.Time

	ejected      bool
	unreachable  bool
	ejectedUntil time.Time
	ejections    int
	doubted      bool
	returned     time.Time
}

// Balancer holds the endpoints of one entry.
type Balancer struct {
	cfg       Config
	endpoints map[string]*state
	order     []string // sorted, so that choices depend on Rand only
	turn      int
}

// New returns a balancer without endpoints.
func New(cfg Config) *Balancer {
	cfg.StallAfter = cmp.Or(cfg.StallAfter, DefaultStallAfter)
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, DefaultProbeInterval)
	cfg.EjectFor = cmp.Or(cfg.EjectFor, DefaultEjectFor)
	cfg.EjectMax = cmp.Or(cfg.EjectMax, DefaultEjectMax)
	cfg.SlowStart = cmp.Or(cfg.SlowStart, DefaultSlowStart)
	cfg.FullFor = cmp.Or(cfg.FullFor, DefaultFullFor)
	cfg.EjectedShare = cmp.Or(cfg.EjectedShare, DefaultEjectedShare)
	cfg.Failures = cmp.Or(cfg.Failures, DefaultFailures)
	cfg.AffinityLoad = cmp.Or(cfg.AffinityLoad, DefaultAffinityLoad)
	cfg.SpillLoad = cmp.Or(cfg.SpillLoad, DefaultSpillLoad)
	return &Balancer{cfg: cfg, endpoints: map[string]*state{}}
}

// Update replaces the endpoint table. Endpoints that are missing from it are
// forgotten; attempts on them may still be reported and are ignored.
func (b *Balancer) Update(table []Endpoint, now time.Time) {
	present := map[string]bool{}
	for _, e := range table {
		present[e.ID] = true
		b.updateOne(e, now)
	}
	maps.DeleteFunc(b.endpoints, func(id string, _ *state) bool { return !present[id] })
	b.order = slices.Sorted(maps.Keys(b.endpoints))
}

func (b *Balancer) updateOne(e Endpoint, now time.Time) {
	s := b.endpoints[e.ID]
	if s == nil || s.Incarnation != e.Incarnation {
		fresh := &state{attempts: map[string]*attempt{}, lastProgress: now}
		if s != nil { // a restarted endpoint begins with a clean record, slowly
			fresh.returned = now
		}
		s = fresh
		b.endpoints[e.ID] = s
	}
	newReport := s.Sequence != e.Sequence || s.Capacity == 0
	s.Endpoint = e
	if newReport {
		s.reported = e.InFlight
		s.others = max(0, e.InFlight-len(s.attempts))
	}
}

// load is the number of requests in flight: our own exactly, others' as last
// reported.
func (s *state) load() int { return len(s.attempts) + s.others }

// ramp is the part of its capacity that the endpoint may use now.
func (s *state) ramp(now time.Time, slowStart time.Duration) float64 {
	if s.returned.IsZero() {
		return 1
	}
	part := float64(now.Sub(s.returned)) / float64(slowStart)
	return min(1, max(slowStartFloor, part))
}

func (s *state) relativeLoad(now time.Time, slowStart time.Duration) float64 {
	return float64(s.load()) / (float64(max(1, s.Capacity)) * s.ramp(now, slowStart))
}

// expectedWait orders candidates: requests ahead per slot, times how long one
// takes here.
func (b *Balancer) expectedWait(s *state, now time.Time) float64 {
	slots := float64(max(1, s.Capacity)) * s.ramp(now, b.cfg.SlowStart)
	wait := float64(s.load()+1) / slots
	if s.service > 0 {
		wait *= s.service
	}
	if s.doubted {
		wait *= doubtPenalty
	}
	return wait
}

// Pick chooses an endpoint. ok is false when no candidate has a free slot.
func (b *Balancer) Pick(r Request, now time.Time) (Choice, bool) {
	candidates := b.candidates(r, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	s := b.choose(r, candidates, now)
	return Choice{ID: s.ID, Set: s.Serves[r.Pool]}, true
}

func (b *Balancer) choose(r Request, candidates []*state, now time.Time) *state {
	switch b.cfg.Policy {
	case Random:
		return candidates[b.cfg.Rand(len(candidates))]
	case RoundRobin:
		b.turn++
		return candidates[b.turn%len(candidates)]
	case LeastReported:
		return slices.MinFunc(candidates, func(x, y *state) int { return x.reported - y.reported })
	}
	candidates = b.preferZone(candidates, now)
	if s := b.byAffinity(r.Affinity, candidates, now); s != nil {
		return s
	}
	first := b.cfg.Rand(len(candidates))
	if len(candidates) == 1 {
		return candidates[first]
	}
	second := b.cfg.Rand(len(candidates) - 1)
	if second >= first {
		second++
	}
	x, y := candidates[first], candidates[second]
	if b.expectedWait(y, now) < b.expectedWait(x, now) {
		return y
	}
	return x
}

func (b *Balancer) candidates(r Request, now time.Time) []*state {
	var list []*state
	for _, id := range b.order {
		s := b.endpoints[id]
		set, serves := s.Serves[r.Pool]
		if !serves || r.Set != "" && set != r.Set || r.Exclude[id] {
			continue
		}
		if !s.Ready || s.ejected || now.Before(s.fullUntil) {
			continue
		}
		if b.cfg.Policy == TwoChoices && !b.hasSlot(s, r, now) {
			continue
		}
		list = append(list, s)
	}
	return list
}

func (b *Balancer) hasSlot(s *state, r Request, now time.Time) bool {
	slots := float64(s.Capacity) * s.ramp(now, b.cfg.SlowStart)
	if r.Low {
		slots *= lowPriorityLoad
	}
	return float64(s.load()) < max(1, slots)
}

// preferZone keeps the endpoints of the own zone while one of them has room.
func (b *Balancer) preferZone(candidates []*state, now time.Time) []*state {
	var local []*state
	room := false
	for _, s := range candidates {
		if s.Zone == b.cfg.Zone {
			local = append(local, s)
			room = room || !s.doubted && s.relativeLoad(now, b.cfg.SlowStart) < b.cfg.SpillLoad
		}
	}
	if room {
		return local
	}
	return candidates
}

// byAffinity returns the endpoint that rendezvous hashing assigns to the
// prefix, unless it is loaded well above the mean.
func (b *Balancer) byAffinity(affinity uint64, candidates []*state, now time.Time) *state {
	if affinity == 0 {
		return nil
	}
	mean := 0.0
	var preferred *state
	highest := uint64(0)
	for _, s := range candidates {
		mean += s.relativeLoad(now, b.cfg.SlowStart)
		if score := mix(affinity, hashText(s.ID)); preferred == nil || score > highest {
			preferred, highest = s, score
		}
	}
	mean /= float64(len(candidates))
	// One request above the bound is allowed: at low load the bound is below
	// a single request.
	bound := mean*b.cfg.AffinityLoad + 1/float64(max(1, preferred.Capacity))
	if preferred.doubted || preferred.relativeLoad(now, b.cfg.SlowStart) > bound {
		return nil
	}
	return preferred
}

// Free returns the free slots and the slots of the endpoints of a pool that
// can be chosen.
func (b *Balancer) Free(pool string, now time.Time) (free, slots int) {
	for _, s := range b.endpoints {
		if _, serves := s.Serves[pool]; !serves || !s.Ready || s.ejected {
			continue
		}
		slots += s.Capacity
		free += max(0, s.Capacity-s.load())
	}
	return free, slots
}

// Started records an attempt. stream says whether its tokens are visible.
func (b *Balancer) Started(id, attemptID string, stream bool, now time.Time) {
	if s := b.endpoints[id]; s != nil {
		s.attempts[attemptID] = &attempt{started: now, progress: now, stream: stream}
	}
}

// Progress records a token or another sign of work on an attempt.
func (b *Balancer) Progress(id, attemptID string, now time.Time) {
	s := b.endpoints[id]
	if s == nil {
		return
	}
	s.lastProgress = now
	if a := s.attempts[attemptID]; a != nil {
		a.progress = now
	}
}

// Finished records the end of an attempt.
func (b *Balancer) Finished(id, attemptID string, result Result, now time.Time) {
	s := b.endpoints[id]
	if s == nil {
		return
	}
	a := s.attempts[attemptID]
	if a == nil {
		return
	}
	delete(s.attempts, attemptID)
	if result != Refused {
		s.fullUntil = time.Time{} // the attempt's slot has come free
	}
	switch result {
	case Completed:
		s.lastProgress = now
		s.failures = 0
		s.doubted = false
		s.learnService(now.Sub(a.started).Seconds())
	case Refused:
		s.fullUntil = now.Add(b.cfg.FullFor)
	case Failed:
		s.failures++
		if s.failures >= b.cfg.Failures {
			b.eject(s, now)
		}
	case Unreachable:
		b.ejectUnreachable(s, now)
	}
}

func (s *state) learnService(seconds float64) {
	if s.service == 0 {
		s.service = seconds
		return
	}
	s.service += serviceSmoothing * (seconds - s.service)
}

func hashText(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// mix combines two hashes and spreads the result over all bits.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Affinity hashes the first bytes of a prompt for Request.Affinity.
func Affinity(prefix []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(prefix)
	return max(1, h.Sum64())
}

// unit maps a hash to [0, 1).
func unit(h uint64) float64 { return float64(h>>11) / math.Exp2(53) }

// Serves reports whether any known endpoint serves the pool, available or not.
func (b *Balancer) Serves(pool string) bool {
	for _, s := range b.endpoints {
		if _, ok := s.Serves[pool]; ok {
			return true
		}
	}
	return false
}

// Slots returns the slots of all endpoints that can be chosen.
func (b *Balancer) Slots() int {
	slots := 0
	for _, s := range b.endpoints {
		if s.Ready && !s.ejected {
			slots += s.Capacity
		}
	}
	return slots
}

// Pools returns the names of all pools, sorted.
func (b *Balancer) Pools() []string {
	pools := map[string]bool{}
	for _, s := range b.endpoints {
		for pool := range s.Serves {
			pools[pool] = true
		}
	}
	return slices.Sorted(maps.Keys(pools))
}
