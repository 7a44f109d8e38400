package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Endpoint describes an endpoint, without its load.
type Endpoint struct {
	ID          string
	Incarnation uint64 // changes when the endpoint restarts
	Address     string
	Zone        string
	Slots       int
	Draining    bool // takes no requests now
	Leaving     bool // has announced that it stops; it is Draining as well
	// WeightsVersion is the newest version of the weights that the endpoint holds
	// completely. It is zero for plain services and while the endpoint has no complete
	// version.
	WeightsVersion uint64
	// DrainsIn is the time until the endpoint starts to drain to load other weights,
	// counted from the first Update that states it; zero if no drain is planned.
	DrainsIn time.Duration
	// Region is the region of the zone; empty if it is unknown.
	Region string
	// Evacuated is true while the zone is evacuated: the endpoint must get no requests.
	Evacuated bool
	// ColdFor is the time for which the endpoint reports that it remains cold, counted from
	// the first Update that states it; zero if it reports none.
	ColdFor time.Duration
	// Report is the sequence number of the check-in that states ColdFor.
	Report uint64
	// Cold is set by a ColdTracker.
	Cold Cold
}

// Load is the load of one endpoint.
type Load struct {
	Running int
	// PrefillTokens is the total of prompt tokens of the requests without a first event.
	PrefillTokens int

	pace float64 // estimate; 0 in counts that no prediction uses
}

// Request describes a request to place.
type Request struct {
	PromptTokens int // prompt length in tokens
	// AnswerTokens is the expected length of the answer in tokens; zero means the mean of
	// the service.
	AnswerTokens int
	Zone         string
	// MinVersion excludes endpoints with older weights; zero excludes none.
	MinVersion uint64
	// SoftMinVersion excludes endpoints with older weights than this version, unless
	// their latest first event was recent and arrived as predicted; zero excludes none.
	// It applies shortly before older weights are excluded: a request that is delayed by
	// the network would begin on them too late.
	SoftMinVersion uint64
	// SoftBounds are the times from which on SoftMinVersion applies to further versions: a request
	// may wait in a queue until then.
	SoftBounds []WeightsBound
	// Bounds exclude endpoints with older weights on which the request is not predicted
	// to begin in time.
	Bounds []WeightsBound
	// PreferredVersion is the preferred version of the weights; zero means no preference.
	PreferredVersion uint64
	// GapObjective is the latency objective between two events of the stream; zero means
	// none.
	GapObjective time.Duration
	// Due is the time by which the first event must arrive to meet the latency
	// objective; zero means none.
	Due time.Time
	// Late marks a request that can no longer meet its latency objective, such as a
	// retry after a refusal.
	Late bool
	// Exclude lists endpoints that the request was already sent to.
	Exclude []string
	// Suspects identifies what the request has in common with requests whose endpoint
	// crashed. It prefers an endpoint with few requests, which a crash would end.
	Suspects []uint64
	// Serialized is true if requests with the same suspect must not begin at the same time.
	// Otherwise they only do so if none has begun by the end of their wait.
	Serialized bool
	// Only is the ID of the only endpoint to consider; empty means all.
	Only string
	// Regions are the regions in which the request may be served.
	Regions Regions
	// Priority is the rank of the request, 0 the highest.
	Priority int
}

// WeightsBound is the time by which a request must have begun if it runs on weights older
// than Version.
type WeightsBound struct {
	Version uint64
	By      time.Time
}

// Prefill is the prefill work of a request at an endpoint.
type Prefill struct {
	PromptTokens int // prompt length in tokens
	// Due is the time by which the first event must arrive to meet the latency
	// objective; zero means none.
	Due time.Time
	// Priority is the rank of the request, 0 the highest.
	Priority int
	// ExpectedBy is when the first event is predicted to arrive; zero if it is unknown.
	ExpectedBy time.Time
}

// Prefill returns the prefill work of the request.
func (r Request) Prefill() Prefill {
	return Prefill{PromptTokens: r.PromptTokens, Due: r.Due, Priority: r.Priority}
}

// PrefillAt returns the prefill work of the request at the endpoint that is selected for it now.
func (r Request) PrefillAt(c Choice, now time.Time) Prefill {
	w := r.Prefill()
	w.ExpectedBy = now.Add(c.TTFT)
	return w
}

// Config configures a Pool. The zero value of a field takes its default.
type Config struct {
	// Slots is the number of slots of an endpoint if neither it nor its engine states
	// one. Default 8.
	Slots int
	// CrossZoneMs is added to the predicted time to first token of an endpoint in another
	// zone: links between regions have little bandwidth, and traffic on them is billed.
	// A higher value saves traffic at the expense of the time to first token. Default
	// 50, a tenth of the usual latency objective.
	CrossZoneMs float64
	// JitterMs is the upper limit of a random addition to each predicted time. It
	// spreads requests over equally loaded endpoints when several pools see the same
	// loads and choose at the same time. Default 0, for a pool that is the only one to
	// place requests.
	JitterMs float64
	Rand     *rand.Rand
}

const (
	defaultSlots       = 8
	defaultCrossZoneMs = 50
	// plainServiceMs is a nominal service time for requests to plain services; it only
	// serves to rank endpoints.
	plainServiceMs = 30
	// reportTTL is how long a load reported by an endpoint with an answer is used. A
	// pass of an engine takes up to about this long.
	reportTTL = 300 * time.Millisecond
)

// Pool tracks the endpoints of one service and the load that was placed on them.
type Pool struct {
	cfg       Config
	engine    *routing.Engine
	sharers   int // number of pools that place requests on the same endpoints, including this one
	endpoints map[string]*endpointState
	// rateLimits holds the limits that endpoints have named, by ID.
	rateLimits map[string]*rateLimit
	noPermits  bool // endpoints with a rate limit may not be used
	coldPermits
	// pauses holds the pauses that endpoints have stated, by ID.
	pauses map[string]pause
}

type endpointState struct {
	Endpoint
	placed     Load
	inPrefill  []Prefill // prefill of own requests without a first event
	reported   Load
	reportedAt time.Time
	health     health
	lag        lag
	pace       pace
	drainsAt   time.Time // when it is expected to drain; zero if no drain is planned
	coldState
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.CrossZoneMs == 0 {
		cfg.CrossZoneMs = defaultCrossZoneMs
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Pool{cfg: cfg, sharers: 1, endpoints: map[string]*endpointState{}, rateLimits: map[string]*rateLimit{}, pauses: map[string]pause{}}
}

// Update replaces the endpoints and the description of their engines, which is nil
// for plain services. A new incarnation of an endpoint starts without load and health
// history.
func (p *Pool) Update(engine *routing.Engine, endpoints []Endpoint, now time.Time) {
	p.engine = engine
	kept := map[string]bool{}
	for _, e := range endpoints {
		kept[e.ID] = true
		s := p.endpoints[e.ID]
		if s == nil || s.Incarnation != e.Incarnation {
			s = &endpointState{}
			p.endpoints[e.ID] = s
		}
		switch {
		case e.DrainsIn == 0:
			s.drainsAt = time.Time{}
		case s.DrainsIn == 0:
			s.drainsAt = now.Add(e.DrainsIn)
		}
		s.unused = s.ID == "" || s.Evacuated && !e.Evacuated
		s.Endpoint = e
	}
	for id := range p.endpoints {
		if !kept[id] {
			delete(p.endpoints, id)
		}
	}
	p.forgetRateLimits(now)
	p.limitCold(now)
	p.forgetPauses(now)
}

// SetSharers sets the number of pools that place requests on the same endpoints without
// coordination. With more than one, each pool limits its requests in prefill at an
// endpoint.
func (p *Pool) SetSharers(sharers int) { p.sharers = max(1, sharers) }

// OwnLoads returns the nonzero loads that were placed through this pool, by endpoint.
func (p *Pool) OwnLoads() map[string]Load {
	own := map[string]Load{}
	for id, s := range p.endpoints {
		if s.placed != (Load{}) {
			own[id] = s.placed
		}
	}
	return own
}

// Choice is the endpoint selected for a request.
type Choice struct {
	Endpoint
	// TTFT is the predicted time to the first event, including the lag recently
	// observed at the endpoint; ModelTTFT excludes the lag.
	TTFT, ModelTTFT time.Duration
	Load            Load // of the endpoint, from all entries
	// RateLimited reports that the endpoint limits the requests of all entries together.
	RateLimited bool
	// PermitUntil is when the permit for the request expires; zero if it needs none.
	PermitUntil time.Time
}

// Verdict is the result of an attempt to place a request.
type Verdict uint8

// Verdicts of Pool.Place and of a Broker.
const (
	Placed Verdict = iota
	// Full means that no suitable endpoint can take the request now.
	Full
	// NoEndpoint means that no endpoint is suitable.
	NoEndpoint
	// Queued means that the broker has queued the request.
	Queued
	// Redirected means that the request should go to the broker of a group with free
	// slots.
	Redirected
	// RateLimited means that endpoints have room, but a request would exceed the rate
	// that they accept.
	RateLimited
	// Displaced means that more urgent requests were queued before a queued one, so that it
	// gets no slot in time.
	Displaced
	// NoAllowedRegion means that no endpoint is in a region in which the request may be served.
	NoAllowedRegion
)

// Place selects the endpoint with the earliest predicted first event, after penalties for
// the zone and the version of the weights, among those that can take the request now. It
// does not count the request; see Begin.
func (p *Pool) Place(r Request, now time.Time) (Choice, Verdict) {
	return p.selectEndpoint(&r, p.cfg.JitterMs, now)
}

// selectEndpoint implements Place with the given jitter.
func (p *Pool) selectEndpoint(r *Request, jitterMs float64, now time.Time) (Choice, Verdict) {
	verdict, rateLimited := NoEndpoint, false
	var best *endpointState
	bestScore := math.Inf(1)
	for _, s := range p.endpoints {
		switch p.obstacle(s, r, now).verdict() {
		case NoEndpoint:
			continue
		case Full:
			verdict = min(verdict, Full)
			continue
		case RateLimited:
			rateLimited = true
			continue
		}
		score := p.predict(s, r, now).scoreMs()
		if jitterMs > 0 {
			score += p.cfg.Rand.Float64() * jitterMs
		}
		if score < bestScore || score == bestScore && s.ID < best.ID {
			best, bestScore, verdict = s, score, Placed
		}
	}
	if best == nil {
		if verdict == NoEndpoint && rateLimited {
			verdict = RateLimited
		}
		return Choice{}, verdict
	}
	return p.choice(best, r.PromptTokens, now), Placed
}

// choice returns the Choice of an endpoint for a request with the given prompt length.
func (p *Pool) choice(s *endpointState, prompt int, now time.Time) Choice {
	load := p.load(s, now)
	modelledMs := p.ttftMs(load, prompt)
	return Choice{
		Endpoint: s.Endpoint, Load: load, RateLimited: p.rateLimits[s.ID].limited(),
		TTFT: milliseconds(modelledMs + s.lag.ms(now)), ModelTTFT: milliseconds(modelledMs),
	}
}

// freeSlots returns the number of free slots at suitable endpoints. An endpoint with a
// rate limit has at most one.
func (p *Pool) freeSlots(r Request, now time.Time) int {
	n := 0
	for _, s := range p.endpoints {
		n += p.freeSlotsAt(s, r, now)
	}
	return n
}

// hasFreeSlot reports whether an endpoint has a free slot. Otherwise no request can be placed, and
// this takes a fraction of the time of the failed tries of a long queue.
func (p *Pool) hasFreeSlot(now time.Time) bool {
	for _, s := range p.endpoints {
		if p.freeSlotsAt(s, Request{}, now) > 0 {
			return true
		}
	}
	return false
}

// freeSlotsAt returns the number of free slots at an endpoint, 0 if it is not suitable.
func (p *Pool) freeSlotsAt(s *endpointState, r Request, now time.Time) int {
	if !p.suitable(s, r, now) || p.rateLimited(s, now) {
		return 0
	}
	free := max(0, p.usableSlots(s, &r)-p.load(s, now).Running)
	if p.rateLimits[s.ID].limited() {
		free = min(free, 1)
	}
	return free
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// otherVersionPenaltyMs is added to the predicted time of an endpoint without the
// preferred weights, so that a stream resumes on the weights it began with if any
// endpoint has them.
const otherVersionPenaltyMs = 10_000

// suspectRunningMs is added to the predicted time of an endpoint for each running request
// if the new one may crash it. It outweighs the zone, but not the version of the weights.
const suspectRunningMs = 100

// suitable reports whether an endpoint may serve a request, regardless of its load.
func (p *Pool) suitable(s *endpointState, r Request, now time.Time) bool {
	return p.unsuitable(s, &r, now) == ObstacleNone
}

// eligible reports whether an endpoint could serve a request, regardless of its load, health
// and pauses.
func (p *Pool) eligible(s *endpointState, r Request) bool {
	return p.ineligible(s, &r) == ObstacleNone
}

// usableSlots returns the number of an endpoint's slots that a request may use. Under
// overload the last slots are reserved for requests that can still meet their
// objective; late requests only use the rest.
func (p *Pool) usableSlots(s *endpointState, r *Request) int {
	slots := p.slots(s)
	if r.Late {
		return int(lateSlotShare * float64(slots))
	}
	return slots
}

// interruptsStreams reports whether the prefill of a request would interrupt the streams
// of an engine for longer than their objective allows: a pass prefills all pending
// prompts before its decode steps.
func (p *Pool) interruptsStreams(load Load, r *Request) bool {
	if p.engine == nil || r.GapObjective == 0 || load.PrefillTokens == 0 {
		return false // a single prompt is always accepted
	}
	tokens := load.PrefillTokens + r.PromptTokens
	if perPass := p.engine.PrefillChunkTokens * max(1, p.engine.Stride); perPass > 0 {
		tokens = min(tokens, perPass)
	}
	pause := load.slowed(p.engine.DecodePassMs(load.Running+1) + p.engine.PrefillMs(tokens))
	return pause > float64(r.GapObjective)/float64(time.Millisecond)
}

const (
	// A request is sent to older weights only if boundFactor times the predicted time to
	// the first event, plus boundSlack, is left before the bound: a pass may prefill
	// more prompts than this pool counts.
	boundFactor = 1.5
	boundSlack  = 150 * time.Millisecond
)

// beginsInTime reports whether a request is predicted to begin before every bound that
// applies to the weights of an endpoint.
func (p *Pool) beginsInTime(s *endpointState, load Load, r *Request, now time.Time) bool {
	if p.engine == nil {
		return true
	}
	for _, b := range r.Bounds {
		if s.WeightsVersion >= b.Version {
			continue
		}
		firstMs := p.ttftMs(load, r.PromptTokens) + s.lag.ms(now)
		if now.Add(milliseconds(boundFactor*firstMs) + boundSlack).After(b.By) {
			return false
		}
	}
	return true
}

// delaysPending reports whether a request would make pending requests of the same or a higher
// priority at an engine miss their objective. A pass prefills all pending prompts before it
// decodes, so all their first events arrive at its end.
func (p *Pool) delaysPending(s *endpointState, load Load, r *Request, now time.Time) bool {
	if p.engine == nil || len(s.inPrefill) == 0 {
		return false
	}
	end := now.Add(milliseconds(p.passEndMs(load, r.PromptTokens)))
	return slices.ContainsFunc(s.inPrefill, func(w Prefill) bool { return w.Priority <= r.Priority && w.Due.After(now) && end.After(w.Due) })
}

const (
	// drainSlack is how long after the start of a drain an answer may end: other
	// requests of the endpoint take as long, and expected lengths are rough.
	drainSlack = 300 * time.Millisecond
	// drainGrace is how long after its planned time a drain that has not started is
	// still expected. After that its stager has probably stopped.
	drainGrace = time.Second
)

// endsAfterDrain reports whether an answer is expected to end after the start of the
// drain of its endpoint, which would then accept no requests while it waits for this one.
func (p *Pool) endsAfterDrain(s *endpointState, load Load, r *Request, now time.Time) bool {
	if p.engine == nil || s.drainsAt.IsZero() || now.After(s.drainsAt.Add(drainGrace)) {
		return false
	}
	answer := r.AnswerTokens
	if answer == 0 {
		answer = p.engine.MeanAnswerTokens
	}
	passes := float64(answer) / float64(max(1, p.engine.Stride))
	lastsMs := p.ttftMs(load, r.PromptTokens) + load.slowed(passes*p.engine.DecodePassMs(load.Running+1))
	return now.Add(milliseconds(lastsMs)).After(s.drainsAt.Add(drainSlack))
}

// maxInPrefill limits the requests of this pool without a first event at an engine that
// other pools use too. Without a limit all pools would fill an engine that has just
// started.
func (p *Pool) maxInPrefill(s *endpointState) int {
	if p.engine == nil || p.sharers == 1 {
		return math.MaxInt
	}
	return 1 + (p.slots(s)+p.sharers-1)/p.sharers
}

// lateSlotShare is the share of slots that late requests may use. It is below the load at
// which new requests find every slot in use, and far above the usual load.
const lateSlotShare = 0.7

func (p *Pool) slots(s *endpointState) int {
	switch {
	case s.Slots > 0:
		return s.Slots
	case p.engine != nil && p.engine.Slots > 0:
		return p.engine.Slots
	}
	return p.cfg.Slots
}

// load returns the load of an endpoint. A recent report of the endpoint counts if it is
// higher than the own count: other pools may have placed requests there.
func (p *Pool) load(s *endpointState, now time.Time) Load {
	load := s.placed
	if now.Sub(s.reportedAt) < reportTTL {
		load.Running = max(load.Running, s.reported.Running)
	}
	load.pace = s.pace.factor(now)
	return load
}

// ttftMs predicts the time to the first event of a request, without lag.
func (p *Pool) ttftMs(load Load, prompt int) float64 {
	e := p.engine
	if e == nil {
		return load.plainTTFTMs()
	}
	return p.passEndMs(load, prompt)
}

// passEndMs predicts the time to the end of the pass that prefills a prompt and all
// pending ones: half of the pass in progress on average, the prefill of the prompts and
// the decode steps of the pass.
func (p *Pool) passEndMs(load Load, prompt int) float64 {
	const meanRemainder = 0.5
	e := p.engine
	return load.slowed(meanRemainder*e.DecodePassMs(load.Running) + e.PrefillMs(load.PrefillTokens) + e.PrefillMs(prompt) + e.DecodePassMs(load.Running+1))
}

// Begin counts a request as running at an endpoint, with its prefill pending.
func (p *Pool) Begin(id string, w Prefill) {
	if s := p.endpoints[id]; s != nil {
		s.placed.Running++
		s.placed.PrefillTokens += w.PromptTokens
		s.inPrefill = append(s.inPrefill, w)
	}
}

// FirstEvent counts the prefill of a request as done.
func (p *Pool) FirstEvent(id string, w Prefill) {
	if s := p.endpoints[id]; s != nil {
		s.prefillDone(w)
	}
}

// prefillDone removes the prefill of one request from the pending ones. If it does not state when
// its first event was expected, it is the oldest one of its kind.
func (s *endpointState) prefillDone(w Prefill) {
	s.placed.PrefillTokens = max(0, s.placed.PrefillTokens-w.PromptTokens)
	i := slices.IndexFunc(s.inPrefill, func(p Prefill) bool {
		if w.ExpectedBy.IsZero() {
			p.ExpectedBy = time.Time{}
		}
		return p == w
	})
	if i >= 0 {
		s.inPrefill = slices.Delete(s.inPrefill, i, i+1)
	}
}

// timely reports whether the last first event was recent and on time, and no other one that was
// expected since is overdue.
func (s *endpointState) timely(now time.Time) bool {
	return s.lag.timely(now) && !slices.ContainsFunc(s.inPrefill, func(w Prefill) bool {
		return w.ExpectedBy.After(s.lag.timelyAt) && now.Sub(w.ExpectedBy) > timelyMaxLag
	})
}

// RecordLag records by how much a first event arrived later than modelled.
func (p *Pool) RecordLag(id string, late time.Duration, now time.Time) {
	if s := p.endpoints[id]; s != nil {
		s.lag.observe(late, now)
	}
}

// PrefillState is the prefill of a request at its end.
type PrefillState struct {
	InPrefill bool // no event arrived, so the prefill still counts as pending
	Prefill
}

// End counts a request as ended and records its result for the health of the endpoint.
// It ignores requests of an earlier incarnation. It returns how long the endpoint is
// ejected for the result.
func (p *Pool) End(id string, started uint64, left PrefillState, result Result, now time.Time) (ejected time.Duration) {
	s := p.endpoints[id]
	if s == nil || s.Incarnation != started {
		return 0
	}
	s.placed.Running = max(0, s.placed.Running-1)
	if left.InPrefill {
		s.prefillDone(left.Prefill)
	}
	if result == TimedOut {
		s.lag.observe(timeoutLag, now)
	}
	return s.health.observe(result, now)
}

// RecordSilence records that an endpoint sends nothing for a request that it keeps, and returns
// how long the endpoint is ejected for it.
func (p *Pool) RecordSilence(id string, started uint64, now time.Time) (ejected time.Duration) {
	s := p.endpoints[id]
	if s == nil || s.Incarnation != started {
		return 0
	}
	s.lag.observe(timeoutLag, now)
	return s.health.observeSilence(now)
}

// EndSilence records that an endpoint has gone on after a silence, which ends its ejection.
func (p *Pool) EndSilence(id string, started uint64) {
	if s := p.endpoints[id]; s != nil && s.Incarnation == started {
		s.health.endSilence()
	}
}

// RecordLoad records the load that an endpoint reported with an answer.
func (p *Pool) RecordLoad(id string, running, waiting int, now time.Time) {
	if s := p.endpoints[id]; s != nil {
		s.reported, s.reportedAt = Load{Running: running + waiting}, now
	}
}

// Leaves reports whether an incarnation of an endpoint drains or is no longer listed. It is
// false if a newer incarnation is listed.
func (p *Pool) Leaves(id string, incarnation uint64) bool {
	s := p.endpoints[id]
	return s == nil || s.Incarnation == incarnation && s.Draining
}

// HasLeft reports whether an incarnation of an endpoint has announced that it stops, or was
// replaced by a later one. An endpoint that is not listed may be one that others learned of
// earlier.
func (p *Pool) HasLeft(id string, incarnation uint64) bool {
	s := p.endpoints[id]
	return s != nil && (s.Incarnation > incarnation || s.Incarnation == incarnation && s.Leaving)
}

// Leaving returns the sorted IDs of the endpoints that have announced that they stop.
func (p *Pool) Leaving() []string {
	return p.ids(func(s *endpointState) bool { return s.Leaving })
}

// Ejected returns the sorted IDs of the endpoints that are ejected for failures.
func (p *Pool) Ejected(now time.Time) []string {
	return p.ids(func(s *endpointState) bool { return now.Before(s.health.pausedUntil) && s.health.probation })
}

// ids returns the sorted IDs of the endpoints that match.
func (p *Pool) ids(match func(s *endpointState) bool) []string {
	var list []string
	for id, s := range p.endpoints {
		if match(s) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Count returns the number of all endpoints and of those suitable for a request.
func (p *Pool) Count(r Request, now time.Time) (all, suitable int) {
	for _, s := range p.endpoints {
		if p.suitable(s, r, now) {
			suitable++
		}
	}
	return len(p.endpoints), suitable
}
