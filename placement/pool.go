package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Endpoint is what is known of an endpoint apart from its load.
type Endpoint struct {
	ID       string
	Started  uint64 // incarnation
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// Version is the newest version of the weights that it holds in whole; zero
	// for none, and for plain services.
	Version uint64
	// Home is true at the entry that is the endpoint's home, see Homes.
	Home bool
}

// Load is work of one endpoint.
type Load struct {
	Running int
	// Unread is the number of prompt tokens of requests without a first event.
	Unread int
}

// Request is a request to place.
type Request struct {
	Prompt int // tokens
	Zone   string
	// Version excludes endpoints with older weights; zero excludes none.
	Version uint64
	// Timely excludes endpoints with older weights than this version, unless their
	// first events came as predicted just now; zero excludes none. It is for the
	// time shortly before older weights are excluded: a request that is delayed on
	// the way begins too late.
	Timely uint64
	// Exact prefers endpoints with this version of the weights; zero has no
	// preference.
	Exact uint64
	// Gap is the longest pause between two events of a stream that is on time; zero
	// states none.
	Gap time.Duration
	// Late marks a request that cannot be on time any more, as one that comes back
	// after a refusal.
	Late bool
	// Exclude names endpoints that the request was sent to before.
	Exclude []string
}

// Config configures a Pool. The zero value of a field takes its default.
type Config struct {
	// Slots of an endpoint that does not state them. Default 8.
	Slots int
	// RemoteMs is added to the predicted time of an endpoint in another zone: the
	// links between regions are narrow, and traffic on them costs the users money.
	// More saves bytes and costs time to the first token. Default 50, a tenth of
	// the users' objectives.
	RemoteMs float64
	// SharedMs is added to the predicted time of an engine that is another entry's
	// home, since that entry's newest requests are not known yet. More keeps entries
	// apart and leaves idle engines to others. Default 60, about the time in which
	// an engine reads one usual prompt.
	SharedMs float64
	// JitterMs spreads choices between endpoints that look alike, since other
	// entries see the same loads and choose at the same moment. Default 20.
	JitterMs float64
	// PeerExpiry is how long what another entry said of its work counts. Default
	// 1 s, several times the interval at which entries tell each other.
	PeerExpiry time.Duration
	Rand       *rand.Rand
}

const (
	defaultSlots      = 8
	defaultRemoteMs   = 50
	defaultSharedMs   = 60
	defaultJitterMs   = 20
	defaultPeerExpiry = time.Second
	// plainMs is the work of a request at a plain service, for their order only.
	plainMs = 30
	// reportedFor is how long a load that an endpoint reported with an answer
	// counts. Passes of an engine take up to about this long.
	reportedFor = 300 * time.Millisecond
)

// Pool is the endpoints of one service as one entry sees them.
type Pool struct {
	cfg       Config
	engine    *routing.Engine
	entries   int  // that share the endpoints
	homes     bool // some endpoint has this entry as its home
	endpoints map[string]*state
	peers     map[string]peerLoads
}

type peerLoads struct {
	loads map[string]Load
	at    time.Time
}

type state struct {
	Endpoint
	own      Load
	usable   time.Time // since when it holds whole weights and takes requests
	waiting  int       // own requests without a first event
	reported Load
	heard    time.Time
	health   health
	lag      lag
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.RemoteMs == 0 {
		cfg.RemoteMs = defaultRemoteMs
	}
	if cfg.SharedMs == 0 {
		cfg.SharedMs = defaultSharedMs
	}
	if cfg.JitterMs == 0 {
		cfg.JitterMs = defaultJitterMs
	}
	if cfg.PeerExpiry == 0 {
		cfg.PeerExpiry = defaultPeerExpiry
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Pool{cfg: cfg, endpoints: map[string]*state{}, peers: map[string]peerLoads{}}
}

// Update replaces the endpoints, the description of their engines, which is nil
// for plain services, and the number of entries that share them. A new incarnation
// of an endpoint starts without history.
func (p *Pool) Update(engine *routing.Engine, endpoints []Endpoint, entries int, now time.Time) {
	p.engine, p.entries, p.homes = engine, max(1, entries), false
	kept := map[string]bool{}
	for _, e := range endpoints {
		kept[e.ID] = true
		p.homes = p.homes || e.Home
		held := p.endpoints[e.ID]
		if held == nil || held.Started != e.Started {
			held = &state{usable: now}
			p.endpoints[e.ID] = held
		} else if (held.Draining || held.Version == 0) && !e.Draining && e.Version != 0 {
			held.usable = now
		}
		held.Endpoint = e
	}
	for id := range p.endpoints {
		if !kept[id] {
			delete(p.endpoints, id)
		}
	}
}

// PeerLoads takes in the work that another entry has at the endpoints.
func (p *Pool) PeerLoads(peer string, loads map[string]Load, now time.Time) {
	p.peers[peer] = peerLoads{loads, now}
}

// OwnLoads returns the work of this entry by endpoint, where there is any.
func (p *Pool) OwnLoads() map[string]Load {
	own := map[string]Load{}
	for id, s := range p.endpoints {
		if s.own != (Load{}) {
			own[id] = s.own
		}
	}
	return own
}

// Choice is the endpoint for a request.
type Choice struct {
	Endpoint
	// FirstToken is the predicted time to the first event, with the lag that was
	// seen at the endpoint lately; Modelled is without it.
	FirstToken, Modelled time.Duration
	Load                 Load // of the endpoint, from all entries
}

// Verdict says why a request was not placed.
type Verdict uint8

// Verdicts of Place.
const (
	Placed Verdict = iota
	// Full means that every suitable endpoint has all slots in use.
	Full
	// None means that no endpoint is suitable at all.
	None
)

// Place chooses the endpoint with the earliest predicted first event among those
// with a free slot.
func (p *Pool) Place(r Request, now time.Time) (Choice, Verdict) {
	verdict := None
	var best Choice
	bestScore := math.Inf(1)
	for _, s := range p.endpoints {
		if !p.suitable(s, r, now) {
			continue
		}
		load := p.load(s, now)
		if load.Running >= p.open(s, r)-p.reserve(s, r) || s.waiting >= p.mayWait(s) || p.stalls(load, r) {
			verdict = min(verdict, Full)
			continue
		}
		modelledMs := p.firstTokenMs(load, r.Prompt)
		firstMs := modelledMs + s.lag.ms(now)
		score := firstMs
		if !p.home(s) {
			score += p.cfg.SharedMs + p.cfg.Rand.Float64()*p.cfg.JitterMs
		}
		if s.Zone != r.Zone {
			score += p.cfg.RemoteMs
		}
		if r.Exact != 0 && s.Version != r.Exact {
			score += otherVersionMs
		}
		if score < bestScore {
			bestScore, verdict = score, Placed
			best = Choice{Endpoint: s.Endpoint, FirstToken: milliseconds(firstMs), Modelled: milliseconds(modelledMs), Load: load}
		}
	}
	return best, verdict
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// otherVersionMs makes a stream continue on the weights that it began with where
// any endpoint has them.
const otherVersionMs = 10_000

func (p *Pool) suitable(s *state, r Request, now time.Time) bool {
	if s.Draining || p.engine != nil && s.Version == 0 || s.Version < r.Version {
		return false
	}
	if s.Version < r.Timely && !s.lag.timely(now) {
		return false
	}
	for _, id := range r.Exclude {
		if id == s.ID {
			return false
		}
	}
	if p.homes && p.engine != nil && !s.Home && now.Sub(s.usable) < homeOnly {
		return false
	}
	return s.health.admits(s.own.Running, now)
}

// homeOnly is how long an engine that has just become usable takes requests from
// its home alone. Without it each entry fills the engine before it hears of the
// others: two or three intervals of their reports.
const homeOnly = 300 * time.Millisecond

// open is the number of an endpoint's slots that a request may fill. Under
// overload the last ones go to requests that can still be on time: one that is
// late already is served from what they leave.
func (p *Pool) open(s *state, r Request) int {
	slots := p.slots(s)
	if r.Late {
		return int(lateShare * float64(slots))
	}
	return slots
}

// home reports whether an endpoint's work is known exactly: this entry is its
// home.
func (p *Pool) home(s *state) bool { return p.homes && s.Home }

// stalls reports whether a request's prompt would keep the streams of an engine
// silent for longer than allowed: a pass reads what waits before its steps.
func (p *Pool) stalls(load Load, r Request) bool {
	if p.engine == nil || r.Gap == 0 || load.Unread == 0 {
		return false // a prompt alone goes anywhere
	}
	unread := load.Unread + r.Prompt
	if perPass := p.engine.ChunkTokens * max(1, p.engine.Stride); perPass > 0 {
		unread = min(unread, perPass)
	}
	pause := p.engine.PassMs(load.Running+1) + p.engine.ReadMs(unread)
	return pause > float64(r.Gap)/float64(time.Millisecond)
}

// reserve is the number of slots of an endpoint that are left to its home, or to
// the entries of its zone: what they sent to it is known later than what this
// entry sent, and the later the more entries there are.
func (p *Pool) reserve(s *state, r Request) int {
	share := 1 + p.entries/entriesPerReserve
	switch {
	case p.entries == 1:
		return 0
	case !p.homes || p.engine == nil:
		if s.Zone == r.Zone {
			return 0
		}
	case s.Home:
		return 0
	case s.Zone != r.Zone:
		return farReserves * share // entries of other zones are told of loads later
	}
	return share
}

// farReserves is how many times as many slots are left in another zone: loads are
// told to entries there a third as often.
const farReserves = 2

// entriesPerReserve entries send about one request more to an endpoint before they
// hear of each other.
const entriesPerReserve = 8

// mayWait bounds the requests of one entry that wait for their first event at an
// engine. Entries hear of each other's requests only after a while: where every
// other engine is full, all of them would fill the one that has just come.
func (p *Pool) mayWait(s *state) int {
	if p.engine == nil {
		return math.MaxInt
	}
	switch {
	case p.home(s):
		return p.slots(s)
	case p.homes:
		return 1
	}
	return 1 + (p.slots(s)+p.entries-1)/p.entries
}

// lateShare is below the load at which fresh requests find every slot in use, and
// far above a usual one.
const lateShare = 0.7

func (p *Pool) slots(s *state) int {
	switch {
	case s.Slots > 0:
		return s.Slots
	case p.engine != nil && p.engine.Slots > 0:
		return p.engine.Slots
	}
	return p.cfg.Slots
}

// load is the work of an endpoint from all entries. What the endpoint itself
// reported counts where it is more: some work may be of an entry that is not
// heard of.
func (p *Pool) load(s *state, now time.Time) Load {
	load := s.own
	for _, peer := range p.peers {
		if now.Sub(peer.at) < p.cfg.PeerExpiry {
			load.Running += peer.loads[s.ID].Running
			load.Unread += peer.loads[s.ID].Unread
		}
	}
	if now.Sub(s.heard) < reportedFor {
		load.Running = max(load.Running, s.reported.Running)
	}
	return load
}

// firstTokenMs predicts the time to the first event on an engine: half of the
// pass in progress, the prompts that wait, the own prompt, and the steps of the
// pass that reads it.
func (p *Pool) firstTokenMs(load Load, prompt int) float64 {
	e := p.engine
	if e == nil {
		return plainMs * float64(load.Running)
	}
	const half = 0.5
	return half*e.PassMs(load.Running) + e.ReadMs(load.Unread) + e.ReadMs(prompt) + e.PassMs(load.Running+1)
}

// Begin counts a request as running at an endpoint.
func (p *Pool) Begin(id string, prompt int) {
	if s := p.endpoints[id]; s != nil {
		s.own.Running++
		s.own.Unread += prompt
		s.waiting++
	}
}

// FirstEvent counts a request's prompt as read.
func (p *Pool) FirstEvent(id string, prompt int) {
	if s := p.endpoints[id]; s != nil {
		s.own.Unread = max(0, s.own.Unread-prompt)
		s.waiting = max(0, s.waiting-1)
	}
}

// Observed takes in how much later than modelled a request's first event came.
func (p *Pool) Observed(id string, late time.Duration, now time.Time) {
	if s := p.endpoints[id]; s != nil {
		s.lag.observe(late, now)
	}
}

// Unstarted is what a request leaves behind that ends without a first event.
type Unstarted struct {
	Waiting bool // no event came
	Prompt  int  // tokens that count as unread
}

// End counts a request as ended, with what it says about the endpoint.
func (p *Pool) End(id string, started uint64, left Unstarted, result Result, now time.Time) (ejected time.Duration) {
	s := p.endpoints[id]
	if s == nil || s.Started != started {
		return 0
	}
	s.own.Running = max(0, s.own.Running-1)
	if left.Waiting {
		s.own.Unread = max(0, s.own.Unread-left.Prompt)
		s.waiting = max(0, s.waiting-1)
	}
	if result == Silent {
		s.lag.observe(silentLag, now)
	}
	return s.health.observe(result, now)
}

// Reported takes in the load that an endpoint told with an answer.
func (p *Pool) Reported(id string, running, waiting int, now time.Time) {
	if s := p.endpoints[id]; s != nil {
		s.reported, s.heard = Load{Running: running + waiting}, now
	}
}

// Count returns the endpoints, and those that are suitable for a request.
func (p *Pool) Count(r Request, now time.Time) (all, suitable int) {
	for _, s := range p.endpoints {
		if p.suitable(s, r, now) {
			suitable++
		}
	}
	return len(p.endpoints), suitable
}

// NextSlot predicts when the next slot of a suitable endpoint becomes free, from
// the usual length of an answer and the streams in progress.
func (p *Pool) NextSlot(r Request, now time.Time) time.Duration {
	_, suitable := p.Count(r, now)
	if suitable == 0 {
		return recoveryPause
	}
	slots, serviceMs := p.cfg.Slots, float64(plainMs)
	if e := p.engine; e != nil {
		slots = e.Slots
		serviceMs = e.ServiceMs()
	}
	return time.Duration(serviceMs / float64(max(1, slots*suitable)) * float64(time.Millisecond))
}

// recoveryPause is the time to come back after a refusal for want of any
// endpoint: about the time in which a server checks in again.
const recoveryPause = time.Second
