package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultQueueWait = 800 * time.Millisecond
	DefaultMaxQueue  = 1000
)

const (
	// serviceSmoothing is the weight of a new sample in the mean service time.
	serviceSmoothing = 0.05
	// minRetryAfter is the shortest time after which a refused caller is told
	// to come back.
	minRetryAfter = time.Second
	// precedence is the part of its share below which an organisation goes
	// before older requests of others. At a half, up to 1.5% of all refusals
	// came after a wait, to requests that had been overtaken.
	precedence = 0.25
)

// Limit overrides the defaults of one organisation.
type Limit struct {
	// Weight is the part in a fair division. Default 1.
	Weight float64
	// MaxInFlight limits requests in progress over all entries. Default 0,
	// which means no limit.
	MaxInFlight int
}

// Config configures a Controller. Zero fields get their defaults.
type Config struct {
	// Entry is the name under which this entry's own report is counted.
	Entry string
	// Entries is the number of all entries, this one included. Default 1. Each
	// begins with an equal part of an organisation's limit.
	Entries int
	// QueueWait is the longest expected wait that is accepted. Default
	// 800 ms, which leaves 500 ms of the 1.3 s for a first token to the engine.
	// Longer gives fewer refusals and later answers under overload.
	QueueWait time.Duration
	// MaxQueue bounds the waiting requests of one organisation. Default 1000.
	MaxQueue int
	// Limits holds overrides by organisation.
	Limits map[string]Limit
}

// Cause says why a request was refused.
type Cause string

// Causes of a refusal.
const (
	OverShare Cause = "over-share" // the organisation's share is in use and its queue too long
	OverLimit Cause = "over-limit" // the organisation's own limit is in use
	Deadline  Cause = "deadline-too-short"
	NoSlots   Cause = "no-endpoint"
)

// Refusal is a final answer. The caller may come back after RetryAfter.
type Refusal struct {
	ID         uint64
	Cause      Cause
	RetryAfter time.Duration
}

// Request asks for a slot.
type Request struct {
	ID           uint64
	Organisation string
	Deadline     time.Time
	// Priority orders the requests of one organisation, higher first. It gives
	// no advantage over other organisations.
	Priority int
}

type waiting struct {
	Request
	since time.Time
}

type organisation struct {
	inFlight int
	queue    []waiting
	turn     uint64 // when it was last given a slot; zero for a new one
}

// Controller admits requests to one pool.
type Controller struct {
	cfg           Config
	slots         int
	organisations map[string]*organisation
	inFlight      int
	waiting       int
	turns         uint64
	peers         map[string]Report
	allowances    map[string]float64 // of organisations with a limit, once moved
	service       float64            // smoothed service time, seconds
	credits       map[string]credit
	creditsPruned time.Time // when full credits were last forgotten
}

// New returns a controller without slots.
func New(cfg Config) *Controller {
	cfg.QueueWait = cmp.Or(cfg.QueueWait, DefaultQueueWait)
	cfg.MaxQueue = cmp.Or(cfg.MaxQueue, DefaultMaxQueue)
	return &Controller{cfg: cfg, organisations: map[string]*organisation{}, peers: map[string]Report{}, allowances: map[string]float64{}, credits: map[string]credit{}}
}

// SetSlots sets the pool's slots, over all entries.
func (c *Controller) SetSlots(slots int) { c.slots = slots }

// SetPeers sets the other entries' latest reports.
func (c *Controller) SetPeers(reports map[string]Report) { c.peers = reports }

// Report is this entry's own usage. It names every organisation with a limit.
func (c *Controller) Report() Report {
	r := Report{}
	for name, o := range c.organisations {
		if o.inFlight > 0 || len(o.queue) > 0 {
			r[name] = c.usage(name)
		}
	}
	for name, limit := range c.cfg.Limits {
		if limit.MaxInFlight > 0 {
			usage := c.usage(name)
			usage.Allowance = c.allowance(name)
			r[name] = usage
		}
	}
	return r
}

func (c *Controller) usage(name string) Usage {
	o := c.organisations[name]
	if o == nil {
		return Usage{}
	}
	return Usage{InFlight: o.inFlight, Waiting: len(o.queue)}
}

func (c *Controller) weight(name string) float64 {
	if w := c.cfg.Limits[name].Weight; w > 0 {
		return w
	}
	return 1
}

// Arrive decides on a new request: admitted now, refused now, or else waiting
// until a later Advance names it.
func (c *Controller) Arrive(r Request, now time.Time) (admitted bool, refused *Refusal) {
	if c.slots == 0 {
		return false, &Refusal{ID: r.ID, Cause: NoSlots, RetryAfter: minRetryAfter}
	}
	if !r.Deadline.After(now) || !c.fits(r.Deadline, 0, now) {
		return false, &Refusal{ID: r.ID, Cause: Deadline, RetryAfter: minRetryAfter}
	}
	o := c.organisation(r.Organisation)
	c.enqueue(o, waiting{r, now})
	division := c.divide()
	if next, ok := c.next(division, now); ok && next.request().ID == r.ID {
		c.takeCredit(r.Organisation, division, now)
		c.grant(next)
		return true, nil
	}
	if refused := c.tooLong(o, r, division, now); refused != nil {
		c.Leave(r.ID, r.Organisation)
		return false, refused
	}
	c.takeCredit(r.Organisation, division, now)
	return false, nil
}

func (c *Controller) organisation(name string) *organisation {
	o := c.organisations[name]
	if o == nil {
		o = &organisation{}
		c.organisations[name] = o
	}
	return o
}

func (c *Controller) enqueue(o *organisation, w waiting) {
	i := len(o.queue)
	for i > 0 && o.queue[i-1].Priority < w.Priority {
		i--
	}
	o.queue = slices.Insert(o.queue, i, w)
	c.waiting++
}

func (c *Controller) reports() map[string]Report {
	all := maps.Clone(c.peers)
	all[c.cfg.Entry] = c.Report()
	return all
}

func (c *Controller) divide() Division {
	return Divide(c.slots, c.cfg.Entry, c.reports(), c.weight)
}

// held is the number of slots that an organisation holds over all entries.
func (c *Controller) held(name string) int {
	n := c.organisations[name].inFlight
	for _, report := range c.peers {
		n += report[name].InFlight
	}
	return n
}

// usable is the number of slots that this entry may use. Every entry may use
// one, so that a new request need not wait for the next exchange of reports.
func usable(division Division) int {
	return max(1, int(math.Floor(division.Slots+roundingSlack)))
}

// next returns the waiting request that the next slot goes to: the first of the
// organisation whose turn it is, or the first of the line when others could
// otherwise miss their latest starts. An organisation that holds less
// than a part of its share is not held back for them. ok is false when there is
// no slot.
func (c *Controller) next(division Division, now time.Time) (p place, ok bool) {
	name, found := c.turn()
	if !found || c.inFlight >= usable(division) {
		return place{}, false
	}
	if !c.precedes(name, division) {
		if line := c.line(); c.slack(line, division, now) < c.guard() {
			return line[0], true
		}
	}
	return place{organisation: c.organisations[name]}, true
}

// precedes reports whether an organisation holds less here than a part of this
// entry's part of its share. Reports of other entries do not count: one that is
// 200 ms old names requests that have ended.
func (c *Controller) precedes(name string, division Division) bool {
	entries := float64(len(c.peers) + 1)
	return float64(c.organisations[name].inFlight)*entries < precedence*c.share(name, division)
}

// turn returns the organisation that is served next by fair shares: of those
// with waiting requests and room below their limit, the one that holds the
// fewest slots for its weight, and among equals the one served longest ago.
// Callers that name no organisation belong to the one with the empty name.
func (c *Controller) turn() (best string, found bool) {
	lowest, turn := 0.0, uint64(0)
	for _, name := range slices.Sorted(maps.Keys(c.organisations)) {
		o := c.organisations[name]
		if len(o.queue) == 0 || o.inFlight >= c.limit(name) {
			continue
		}
		held := float64(c.held(name)) / c.weight(name)
		if !found || held < lowest || held == lowest && o.turn < turn {
			best, lowest, turn, found = name, held, o.turn, true
		}
	}
	return best, found
}

// roundingSlack keeps sums of parts that are whole up to rounding errors whole.
const roundingSlack = 1e-6

// limit is the number of slots that the organisation's own limit leaves to it
// at this entry.
func (c *Controller) limit(name string) int {
	if c.cfg.Limits[name].MaxInFlight == 0 {
		return math.MaxInt
	}
	return int(math.Floor(c.allowance(name) + roundingSlack))
}

func (c *Controller) grant(p place) uint64 {
	o, id := p.organisation, p.request().ID
	c.remove(p)
	o.inFlight++
	c.inFlight++
	c.turns++
	o.turn = c.turns
	return id
}

// fits reports whether a request that waits can still finish in time.
func (c *Controller) fits(deadline time.Time, wait time.Duration, now time.Time) bool {
	service := time.Duration(c.service * float64(time.Second))
	return !now.Add(wait + service).After(deadline)
}

// tooLong returns the refusal of a queued request whose expected wait exceeds
// QueueWait or its deadline.
func (c *Controller) tooLong(o *organisation, r Request, division Division, now time.Time) *Refusal {
	place := slices.IndexFunc(o.queue, func(w waiting) bool { return w.ID == r.ID })
	wait := c.expectedWait(r.Organisation, place, division)
	withinShare := o.inFlight < c.limit(r.Organisation) && c.withinShare(r.Organisation, division, now)
	if withinShare {
		wait = min(wait, c.poolWait(c.waiting, division))
	}
	refusal := &Refusal{ID: r.ID, Cause: OverShare, RetryAfter: max(minRetryAfter, wait)}
	if o.inFlight >= c.limit(r.Organisation) {
		refusal.Cause = OverLimit
	}
	switch {
	case wait > c.cfg.QueueWait || len(o.queue) > c.cfg.MaxQueue:
		return refusal
	case !c.fits(r.Deadline, max(wait, c.poolWait(c.waiting, division)), now):
		refusal.Cause = Deadline
		return refusal
	case c.service > 0 && !withinShare && c.poolWait(c.waiting-1, division) > queueable(c.latestStart(o.queue[place]).Sub(now)):
		return refusal
	}
	return nil
}

// expectedWait is the time until the organisation's slots have served the
// requests ahead. Until a service time is known, one QueueWait is assumed for
// a full round of the slots.
func (c *Controller) expectedWait(name string, ahead int, division Division) time.Duration {
	slots := max(1, min(division.Parts[name], float64(c.limit(name))))
	return time.Duration(float64(ahead+1) / slots * float64(c.serviceTime()))
}

// serviceTime is the mean service time, or an assumption until one is known.
func (c *Controller) serviceTime() time.Duration {
	if c.service == 0 {
		return c.cfg.QueueWait / 2
	}
	return time.Duration(c.service * float64(time.Second))
}

// Leave withdraws a waiting request whose caller has gone.
func (c *Controller) Leave(id uint64, name string) {
	o := c.organisations[name]
	if o == nil {
		return
	}
	before := len(o.queue)
	o.queue = slices.DeleteFunc(o.queue, func(w waiting) bool { return w.ID == id })
	c.waiting -= before - len(o.queue)
	c.forgetIdle(name)
}

// forgetIdle drops an organisation without requests: names come from callers.
func (c *Controller) forgetIdle(name string) {
	if o := c.organisations[name]; o != nil && o.inFlight == 0 && len(o.queue) == 0 {
		delete(c.organisations, name)
	}
}

// Done frees the slot of an admitted request. served is the time it took, zero
// when it says nothing about the pool's speed.
func (c *Controller) Done(name string, served time.Duration) {
	o := c.organisation(name)
	o.inFlight--
	c.inFlight--
	c.forgetIdle(name)
	if served <= 0 {
		return
	}
	if c.service == 0 {
		c.service = served.Seconds()
		return
	}
	c.service += serviceSmoothing * (served.Seconds() - c.service)
}

// Advance grants free slots and refuses the waiting requests that would come
// too late. Call it after Done, SetSlots and SetPeers, and at intervals.
func (c *Controller) Advance(now time.Time) (granted []uint64, refused []Refusal) {
	division := c.divide()
	refused = c.expire(division, now)
	for c.waiting > 0 {
		next, ok := c.next(division, now)
		if !ok {
			break
		}
		granted = append(granted, c.grant(next))
	}
	return granted, append(refused, c.shed(division, now)...)
}

// expire refuses waiting requests that cannot finish in time or have waited
// for QueueWait.
func (c *Controller) expire(division Division, now time.Time) []Refusal {
	var refused []Refusal
	for name, o := range c.organisations {
		kept := o.queue[:0:0]
		for _, w := range o.queue {
			retry := max(minRetryAfter, c.expectedWait(name, len(o.queue), division))
			switch {
			case c.slots == 0:
				refused = append(refused, Refusal{w.ID, NoSlots, minRetryAfter})
			case !c.fits(w.Deadline, 0, now):
				refused = append(refused, Refusal{w.ID, Deadline, retry})
			case now.Sub(w.since) > c.cfg.QueueWait:
				refused = append(refused, Refusal{w.ID, OverShare, retry})
			default:
				kept = append(kept, w)
			}
		}
		c.waiting -= len(o.queue) - len(kept)
		o.queue = kept
		c.forgetIdle(name)
	}
	return refused
}
