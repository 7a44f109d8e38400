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
	DefaultStallAfter          = 2 * time.Second
	DefaultProbeInterval       = 2 * time.Second
	DefaultBaseEjectionTime    = 5 * time.Second
	DefaultMaxEjectionTime     = time.Minute
	DefaultSlowStart           = 10 * time.Second
	DefaultFullBackoff         = 50 * time.Millisecond
	DefaultMaxEjectedShare     = 0.34
	DefaultConsecutiveFailures = 3
	DefaultAffinityLoadFactor  = 1.25
	DefaultSpillLoad           = 0.8
)

const (
	// slowStartFloor is the fraction of its capacity that an endpoint may use
	// when its slow start begins.
	slowStartFloor = 0.1
	// degradedPenalty multiplies the expected wait on an endpoint that only the cap
	// on ejections keeps in use.
	degradedPenalty = 20
	// serviceSmoothing is the weight of a new sample in the moving average of
	// the service time.
	serviceSmoothing = 0.1
	// lowPriorityLoad is the relative load at which an endpoint stops taking
	// low-priority requests.
	lowPriorityLoad = 0.9
)

// Policy is the algorithm by which Pick chooses among candidates.
type Policy int

// Policies. All but TwoChoices are baselines for benchmarks.
const (
	TwoChoices Policy = iota // the lower expected wait of two random candidates
	Random
	RoundRobin
	LeastReported // the lowest announced number of requests in flight
)

// Config configures a Balancer. Zero fields get their defaults.
type Config struct {
	// Zone is the availability zone of this entry. Its endpoints are preferred.
	Zone string
	// StallAfter is how long an endpoint with work in flight may make no
	// progress before it is ejected. Default 2 s. Lower values detect dead
	// endpoints sooner but mistake long prefills for stalls.
	StallAfter time.Duration
	// ProbeInterval is the time without progress after which an endpoint is
	// probed, and the interval between probes of an ejected endpoint. Default
	// 2 s.
	ProbeInterval time.Duration
	// BaseEjectionTime is the duration of the first ejection. It doubles with each
	// further ejection, up to MaxEjectionTime. Defaults 5 s and 1 min.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// SlowStart is the time over which a restored or restarted endpoint regains
	// its full capacity. Default 10 s.
	SlowStart time.Duration
	// FullBackoff is how long an endpoint is skipped after its gate refused an
	// attempt for lack of capacity. Default 50 ms. Higher values cause fewer
	// refusals but leave slots that become free unused.
	FullBackoff time.Duration
	// MaxEjectedShare is the largest share of a pool that may be ejected at once.
	// Default 0.34; a negative share disables ejection, except of unreachable
	// endpoints.
	MaxEjectedShare float64
	// ConsecutiveFailures is the number of consecutive failed attempts that eject an
	// endpoint. Default 3.
	ConsecutiveFailures int
	// AffinityLoadFactor bounds prefix affinity: the endpoint preferred for a prefix
	// is used while its relative load is at most this multiple of the
	// candidates' mean, plus one request. Default 1.25.
	AffinityLoadFactor float64
	// SpillLoad is the relative load that every endpoint of Zone must reach
	// before other zones are used. Default 0.8.
	SpillLoad float64
	// Policy is TwoChoices except in benchmarks.
	Policy Policy
	// Rand returns a random number in [0, n). It is required.
	Rand func(n int) int
}

// Endpoint is the announced state of an endpoint.
type Endpoint struct {
	ID          string
	Incarnation uint64
	Sequence    uint64
	Zone        string
	Capacity    int
	InFlight    int // over all entries, as last reported
	Ready       bool
	// Probeable reports whether the endpoint can run a generation probe.
	Probeable bool
	// Serves maps each pool (a model or a service) to the ID of the weights set
	// loaded for it, which is empty for services.
	Serves map[string]string
}

// Request describes a request for which Pick selects an endpoint.
type Request struct {
	Pool string
	// WeightsSet, when not empty, restricts the choice to endpoints with this weights
	// set.
	WeightsSet string
	// PrefixHash, when not zero, is the hash of the prompt's prefix.
	PrefixHash uint64
	// Exclude lists endpoints that must not be used.
	Exclude map[string]bool
	// LowPriority requests do not use the last free slots of an endpoint.
	LowPriority bool
}

// Choice is the endpoint selected for an attempt and the weights set that the
// attempt is pinned to.
type Choice struct {
	ID         string
	WeightsSet string
}

// Result is how an attempt or a probe ended.
type Result int

// Results of an attempt. Refused and Cancelled are no evidence about health.
const (
	Completed Result = iota
	Failed
	Refused // by the endpoint's gate
	Cancelled
	// Unreachable means that the connection was refused.
	Unreachable
)

type attempt struct {
	started  time.Time
	progress time.Time
	stream   bool
}

type endpointState struct {
	Endpoint
	otherInFlight    int // in flight from other entries, estimated from the last report
	reportedInFlight int // in flight as last reported, for LeastReported
	attempts         map[string]*attempt

	lastProgress time.Time
	lastProbe    time.Time
	meanService  float64 // moving average of the service time in seconds; 0 if unknown
	failures     int
	fullUntil    time.Time

	ejected      bool
	unreachable  bool
	ejectedUntil time.Time
	ejections    int
	degraded     bool
	restoredAt   time.Time
}

// Balancer tracks the load and health of an entry's endpoints and selects among
// them.
type Balancer struct {
	cfg             Config
	endpoints       map[string]*endpointState
	sortedIDs       []string // sorted endpoint IDs, so that choices depend on Rand only
	roundRobinIndex int
}

// New returns a balancer without endpoints.
func New(cfg Config) *Balancer {
	cfg.StallAfter = cmp.Or(cfg.StallAfter, DefaultStallAfter)
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, DefaultProbeInterval)
	cfg.BaseEjectionTime = cmp.Or(cfg.BaseEjectionTime, DefaultBaseEjectionTime)
	cfg.MaxEjectionTime = cmp.Or(cfg.MaxEjectionTime, DefaultMaxEjectionTime)
	cfg.SlowStart = cmp.Or(cfg.SlowStart, DefaultSlowStart)
	cfg.FullBackoff = cmp.Or(cfg.FullBackoff, DefaultFullBackoff)
	cfg.MaxEjectedShare = cmp.Or(cfg.MaxEjectedShare, DefaultMaxEjectedShare)
	cfg.ConsecutiveFailures = cmp.Or(cfg.ConsecutiveFailures, DefaultConsecutiveFailures)
	cfg.AffinityLoadFactor = cmp.Or(cfg.AffinityLoadFactor, DefaultAffinityLoadFactor)
	cfg.SpillLoad = cmp.Or(cfg.SpillLoad, DefaultSpillLoad)
	return &Balancer{cfg: cfg, endpoints: map[string]*endpointState{}}
}

// Update replaces the endpoint table. Endpoints missing from it are dropped;
// later calls about attempts on them are ignored.
func (b *Balancer) Update(table []Endpoint, now time.Time) {
	present := map[string]bool{}
	for _, e := range table {
		present[e.ID] = true
		b.updateEndpoint(e, now)
	}
	maps.DeleteFunc(b.endpoints, func(id string, _ *endpointState) bool { return !present[id] })
	b.sortedIDs = slices.Sorted(maps.Keys(b.endpoints))
}

func (b *Balancer) updateEndpoint(e Endpoint, now time.Time) {
	s := b.endpoints[e.ID]
	if s == nil || s.Incarnation != e.Incarnation {
		fresh := &endpointState{attempts: map[string]*attempt{}, lastProgress: now}
		if s != nil { // restarted: its history is dropped and it slow-starts
			fresh.restoredAt = now
		}
		s = fresh
		b.endpoints[e.ID] = s
	}
	newReport := s.Sequence != e.Sequence || s.Capacity == 0
	s.Endpoint = e
	if newReport {
		s.reportedInFlight = e.InFlight
		s.otherInFlight = max(0, e.InFlight-len(s.attempts))
	}
}

// load is the number of requests in flight: this entry's counted exactly, those
// of other entries estimated from the last report.
func (s *endpointState) load() int { return len(s.attempts) + s.otherInFlight }

// slowStartFactor returns the fraction of its capacity that the endpoint may use at this
// point of its slow start.
func (s *endpointState) slowStartFactor(now time.Time, slowStart time.Duration) float64 {
	if s.restoredAt.IsZero() {
		return 1
	}
	part := float64(now.Sub(s.restoredAt)) / float64(slowStart)
	return min(1, max(slowStartFloor, part))
}

func (s *endpointState) relativeLoad(now time.Time, slowStart time.Duration) float64 {
	return float64(s.load()) / (float64(max(1, s.Capacity)) * s.slowStartFactor(now, slowStart))
}

// expectedWait returns the cost by which two candidates are compared: the
// requests per slot, this one included, times the endpoint's mean service time.
func (b *Balancer) expectedWait(s *endpointState, now time.Time) float64 {
	slots := float64(max(1, s.Capacity)) * s.slowStartFactor(now, b.cfg.SlowStart)
	wait := float64(s.load()+1) / slots
	if s.meanService > 0 {
		wait *= s.meanService
	}
	if s.degraded {
		wait *= degradedPenalty
	}
	return wait
}

// Pick selects an endpoint. It returns false if no candidate has a free slot.
func (b *Balancer) Pick(r Request, now time.Time) (Choice, bool) {
	candidates := b.candidates(r, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	s := b.choose(r, candidates, now)
	return Choice{ID: s.ID, WeightsSet: s.Serves[r.Pool]}, true
}

func (b *Balancer) choose(r Request, candidates []*endpointState, now time.Time) *endpointState {
	switch b.cfg.Policy {
	case Random:
		return candidates[b.cfg.Rand(len(candidates))]
	case RoundRobin:
		b.roundRobinIndex++
		return candidates[b.roundRobinIndex%len(candidates)]
	case LeastReported:
		return slices.MinFunc(candidates, func(x, y *endpointState) int { return x.reportedInFlight - y.reportedInFlight })
	}
	candidates = b.preferZone(candidates, now)
	if s := b.byAffinity(r.PrefixHash, candidates, now); s != nil {
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

func (b *Balancer) candidates(r Request, now time.Time) []*endpointState {
	var list []*endpointState
	for _, id := range b.sortedIDs {
		s := b.endpoints[id]
		set, serves := s.Serves[r.Pool]
		if !serves || r.WeightsSet != "" && set != r.WeightsSet || r.Exclude[id] {
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

func (b *Balancer) hasSlot(s *endpointState, r Request, now time.Time) bool {
	slots := float64(s.Capacity) * s.slowStartFactor(now, b.cfg.SlowStart)
	if r.LowPriority {
		slots *= lowPriorityLoad
	}
	return float64(s.load()) < max(1, slots)
}

// preferZone returns only the candidates of the local zone while a healthy one
// of them is loaded below Config.SpillLoad, and all candidates otherwise.
func (b *Balancer) preferZone(candidates []*endpointState, now time.Time) []*endpointState {
	var local []*endpointState
	hasRoom := false
	for _, s := range candidates {
		if s.Zone == b.cfg.Zone {
			local = append(local, s)
			hasRoom = hasRoom || !s.degraded && s.relativeLoad(now, b.cfg.SlowStart) < b.cfg.SpillLoad
		}
	}
	if hasRoom {
		return local
	}
	return candidates
}

// byAffinity returns the endpoint that rendezvous hashing assigns to the
// prefix. It returns nil without a prefix, and if that endpoint is loaded above
// the bound of Config.AffinityLoadFactor or only the cap on ejections keeps it in
// use.
func (b *Balancer) byAffinity(affinity uint64, candidates []*endpointState, now time.Time) *endpointState {
	if affinity == 0 {
		return nil
	}
	mean := 0.0
	var preferred *endpointState
	highest := uint64(0)
	for _, s := range candidates {
		mean += s.relativeLoad(now, b.cfg.SlowStart)
		if score := mix(affinity, hashString(s.ID)); preferred == nil || score > highest {
			preferred, highest = s, score
		}
	}
	mean /= float64(len(candidates))
	// One request more is allowed, because at low load the multiple of the mean
	// is less than a single request.
	bound := mean*b.cfg.AffinityLoadFactor + 1/float64(max(1, preferred.Capacity))
	if preferred.degraded || preferred.relativeLoad(now, b.cfg.SlowStart) > bound {
		return nil
	}
	return preferred
}

// PoolSlots returns the number of free slots and of all slots of a pool, over its
// endpoints that are ready and not ejected.
func (b *Balancer) PoolSlots(pool string, now time.Time) (free, slots int) {
	for _, s := range b.endpoints {
		if _, serves := s.Serves[pool]; !serves || !s.Ready || s.ejected {
			continue
		}
		slots += s.Capacity
		free += max(0, s.Capacity-s.load())
	}
	return free, slots
}

// Started records the start of an attempt. Only streaming attempts, whose tokens
// are reported with Progress, are checked for stalls.
func (b *Balancer) Started(id, attemptID string, stream bool, now time.Time) {
	if s := b.endpoints[id]; s != nil {
		s.attempts[attemptID] = &attempt{started: now, progress: now, stream: stream}
	}
}

// Progress records a token or other progress of an attempt.
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
		s.fullUntil = time.Time{} // the attempt freed its slot
	}
	switch result {
	case Completed:
		s.lastProgress = now
		s.failures = 0
		s.degraded = false
		s.recordServiceTime(now.Sub(a.started).Seconds())
	case Refused:
		s.fullUntil = now.Add(b.cfg.FullBackoff)
	case Failed:
		s.failures++
		if s.failures >= b.cfg.ConsecutiveFailures {
			b.eject(s, now)
		}
	case Unreachable:
		b.ejectUnreachable(s, now)
	}
}

func (s *endpointState) recordServiceTime(seconds float64) {
	if s.meanService == 0 {
		s.meanService = seconds
		return
	}
	s.meanService += serviceSmoothing * (seconds - s.meanService)
}

func hashString(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// mix combines two hashes and applies the finalizer of SplitMix64, so that
// every input bit affects the whole result.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// HashPrefix hashes the first bytes of a prompt for Request.PrefixHash. The result
// is never zero.
func HashPrefix(prefix []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(prefix)
	return max(1, h.Sum64())
}

// unitInterval maps a hash to [0, 1).
func unitInterval(h uint64) float64 { return float64(h>>11) / math.Exp2(53) }

// Serves reports whether any known endpoint serves the pool, selectable or not.
func (b *Balancer) Serves(pool string) bool {
	for _, s := range b.endpoints {
		if _, ok := s.Serves[pool]; ok {
			return true
		}
	}
	return false
}

// Slots returns the number of slots of all endpoints that are ready and not
// ejected.
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
