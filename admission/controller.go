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
	DefaultMaxQueueWait = 800 * time.Millisecond
	DefaultMaxQueue     = 1000
)

const (
	// serviceSmoothing is the weight of a new sample in the moving average of
	// the service time.
	serviceSmoothing = 0.05
	// minRetryAfter is the lower bound of Refusal.RetryAfter.
	minRetryAfter = time.Second
	// underservedFraction is the fraction of its share below which an
	// organisation goes before older requests of others. With 0.5, up to 1.5%
	// of all refusals were of requests that had waited and been overtaken.
	underservedFraction = 0.25
)

// Limit overrides the defaults for one organisation.
type Limit struct {
	// Weight is the organisation's weight in the fair allocation. Default 1.
	Weight float64
	// MaxInFlight limits the requests in flight over all entries. Default 0,
	// which means no limit.
	MaxInFlight int
}

// Config configures a Controller. Zero fields get their defaults.
type Config struct {
	// Entry is the name of this entry in the exchange of reports.
	Entry string
	// Entries is the number of all entries, this one included. Default 1. Each
	// starts with an equal part of an organisation's limit.
	Entries int
	// MaxQueueWait is the longest wait, expected or actual, before a request is
	// refused. Default 800 ms, which leaves the engine 500 ms of the 1.3 s for a
	// first token. Higher values cause fewer refusals but later answers under
	// overload.
	MaxQueueWait time.Duration
	// MaxQueue limits the waiting requests of one organisation. Default 1000.
	MaxQueue int
	// Limits holds the overrides by organisation.
	Limits map[string]Limit
}

// Cause is the reason why a request was refused.
type Cause string

// Causes of a refusal.
const (
	OverShare        Cause = "over-share"         // the organisation's share is in use and the wait too long
	OverLimit        Cause = "over-limit"         // the organisation's own limit is reached
	DeadlineTooShort Cause = "deadline-too-short" // the request cannot finish before its deadline
	NoSlots          Cause = "no-endpoint"        // the pool has no slots
)

// Refusal is the final decision not to admit a request. The caller may retry after
// RetryAfter.
type Refusal struct {
	ID         uint64
	Cause      Cause
	RetryAfter time.Duration
}

// Request is a request for a slot of the pool.
type Request struct {
	ID           uint64
	Organisation string
	Deadline     time.Time
	// Priority orders the requests of one organisation, higher first. It gives
	// no advantage over other organisations.
	Priority int
}

type waitingRequest struct {
	Request
	arrived time.Time
}

type organisation struct {
	inFlight  int
	queue     []waitingRequest
	lastGrant uint64 // sequence number of its last grant; 0 if none
}

// Controller decides on the admission of requests to one pool.
type Controller struct {
	cfg           Config
	slots         int
	organisations map[string]*organisation
	inFlight      int
	waiting       int
	grants        uint64
	peers         map[string]Report
	allowances    map[string]float64 // by organisation, once changed by Rebalance
	meanService   float64            // moving average of the service time in seconds; 0 if unknown
	credits       map[string]credit
	creditsPruned time.Time // when full credits were last dropped
}

// New returns a controller without slots.
func New(cfg Config) *Controller {
	cfg.MaxQueueWait = cmp.Or(cfg.MaxQueueWait, DefaultMaxQueueWait)
	cfg.MaxQueue = cmp.Or(cfg.MaxQueue, DefaultMaxQueue)
	return &Controller{cfg: cfg, organisations: map[string]*organisation{}, peers: map[string]Report{}, allowances: map[string]float64{}, credits: map[string]credit{}}
}

// SetSlots sets the number of the pool's slots over all entries.
func (c *Controller) SetSlots(slots int) { c.slots = slots }

// SetPeerReports sets the latest reports of the other entries, by entry name.
func (c *Controller) SetPeerReports(reports map[string]Report) { c.peers = reports }

// Report returns this entry's usage by organisation. It includes every
// organisation with a limit, also those without requests.
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

// Submit admits a new request, refuses it, or queues it until a later call of
// Dispatch returns it.
func (c *Controller) Submit(r Request, now time.Time) (admitted bool, refused *Refusal) {
	if c.slots == 0 {
		return false, &Refusal{ID: r.ID, Cause: NoSlots, RetryAfter: minRetryAfter}
	}
	if !r.Deadline.After(now) || !c.meetsDeadline(r.Deadline, 0, now) {
		return false, &Refusal{ID: r.ID, Cause: DeadlineTooShort, RetryAfter: minRetryAfter}
	}
	o := c.organisation(r.Organisation)
	c.enqueue(o, waitingRequest{r, now})
	allocation := c.allocate()
	if next, ok := c.next(allocation, now); ok && next.request().ID == r.ID {
		c.takeCredit(r.Organisation, allocation, now)
		c.grant(next)
		return true, nil
	}
	if refused := c.checkWait(o, r, allocation, now); refused != nil {
		c.Cancel(r.ID, r.Organisation)
		return false, refused
	}
	c.takeCredit(r.Organisation, allocation, now)
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

func (c *Controller) enqueue(o *organisation, w waitingRequest) {
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

func (c *Controller) allocate() Allocation {
	return Allocate(c.slots, c.cfg.Entry, c.reports(), c.weight)
}

// slotsInUse returns the number of slots that an organisation uses over all entries.
func (c *Controller) slotsInUse(name string) int {
	n := c.organisations[name].inFlight
	for _, report := range c.peers {
		n += report[name].InFlight
	}
	return n
}

// usableSlots returns the number of slots that this entry may use. Every entry may use
// at least one, so that a new request need not wait for the next exchange of
// reports.
func usableSlots(allocation Allocation) int {
	return max(1, int(math.Floor(allocation.Slots+roundingTolerance)))
}

// next returns the waiting request that gets the next slot: the first of the
// organisation that is next by fair shares, or the one with the earliest latest
// start if requests could otherwise miss theirs. An organisation far below its
// share always goes first. ok is false if no request can get a slot.
func (c *Controller) next(allocation Allocation, now time.Time) (p queueRef, ok bool) {
	name, found := c.nextOrganisation()
	if !found || c.inFlight >= usableSlots(allocation) {
		return queueRef{}, false
	}
	if !c.underserved(name, allocation) {
		if ordered := c.byLatestStart(); c.slack(ordered, allocation, now) < c.minSlack() {
			return ordered[0], true
		}
	}
	return queueRef{organisation: c.organisations[name]}, true
}

// underserved reports whether an organisation uses far fewer slots at this entry than
// the entry's part of its share. The reports of other entries are not considered:
// a report that is 200 ms old includes requests that have ended.
func (c *Controller) underserved(name string, allocation Allocation) bool {
	entries := float64(len(c.peers) + 1)
	return float64(c.organisations[name].inFlight)*entries < underservedFraction*c.share(name, allocation)
}

// nextOrganisation returns the organisation that is next by fair shares: of those that have
// waiting requests and are below their limit, the one that uses the fewest slots
// relative to its weight, and among equals the one served least recently.
// Requests without an organisation belong to the one with the empty name.
func (c *Controller) nextOrganisation() (best string, found bool) {
	lowest, turn := 0.0, uint64(0)
	for _, name := range slices.Sorted(maps.Keys(c.organisations)) {
		o := c.organisations[name]
		if len(o.queue) == 0 || o.inFlight >= c.localLimit(name) {
			continue
		}
		held := float64(c.slotsInUse(name)) / c.weight(name)
		if !found || held < lowest || held == lowest && o.lastGrant < turn {
			best, lowest, turn, found = name, held, o.lastGrant, true
		}
	}
	return best, found
}

// roundingTolerance is added before rounding down, because a sum of parts can be
// slightly less than the integer it should be.
const roundingTolerance = 1e-6

// localLimit returns the number of slots that an organisation may use at this entry
// under its own limit.
func (c *Controller) localLimit(name string) int {
	if c.cfg.Limits[name].MaxInFlight == 0 {
		return math.MaxInt
	}
	return int(math.Floor(c.allowance(name) + roundingTolerance))
}

func (c *Controller) grant(p queueRef) uint64 {
	o, id := p.organisation, p.request().ID
	c.remove(p)
	o.inFlight++
	c.inFlight++
	c.grants++
	o.lastGrant = c.grants
	return id
}

// meetsDeadline reports whether a request that waits this long is expected to finish before
// its deadline.
func (c *Controller) meetsDeadline(deadline time.Time, wait time.Duration, now time.Time) bool {
	service := time.Duration(c.meanService * float64(time.Second))
	return !now.Add(wait + service).After(deadline)
}

// checkWait returns the refusal of a newly queued request whose expected wait is too
// long for MaxQueueWait or its deadline or whose queue exceeds MaxQueue, and nil if
// the request may wait.
func (c *Controller) checkWait(o *organisation, r Request, allocation Allocation, now time.Time) *Refusal {
	index := slices.IndexFunc(o.queue, func(w waitingRequest) bool { return w.ID == r.ID })
	wait := c.expectedWait(r.Organisation, index, allocation)
	withinShare := o.inFlight < c.localLimit(r.Organisation) && c.withinShare(r.Organisation, allocation, now)
	if withinShare {
		wait = min(wait, c.poolWait(c.waiting, allocation))
	}
	refusal := &Refusal{ID: r.ID, Cause: OverShare, RetryAfter: max(minRetryAfter, wait)}
	if o.inFlight >= c.localLimit(r.Organisation) {
		refusal.Cause = OverLimit
	}
	switch {
	case wait > c.cfg.MaxQueueWait || len(o.queue) > c.cfg.MaxQueue:
		return refusal
	case !c.meetsDeadline(r.Deadline, max(wait, c.poolWait(c.waiting, allocation)), now):
		refusal.Cause = DeadlineTooShort
		return refusal
	case c.meanService > 0 && !withinShare && c.poolWait(c.waiting-1, allocation) > overShareWaitLimit(c.latestStart(o.queue[index]).Sub(now)):
		return refusal
	}
	return nil
}

// expectedWait returns the time until the organisation's slots have served the
// requests ahead of a new one, and that one.
func (c *Controller) expectedWait(name string, ahead int, allocation Allocation) time.Duration {
	slots := max(1, min(allocation.ByOrganisation[name], float64(c.localLimit(name))))
	return time.Duration(float64(ahead+1) / slots * float64(c.serviceTime()))
}

// serviceTime returns the mean service time, or half of MaxQueueWait until one is
// known.
func (c *Controller) serviceTime() time.Duration {
	if c.meanService == 0 {
		return c.cfg.MaxQueueWait / 2
	}
	return time.Duration(c.meanService * float64(time.Second))
}

// Cancel removes a waiting request whose caller has gone.
func (c *Controller) Cancel(id uint64, name string) {
	o := c.organisations[name]
	if o == nil {
		return
	}
	before := len(o.queue)
	o.queue = slices.DeleteFunc(o.queue, func(w waitingRequest) bool { return w.ID == id })
	c.waiting -= before - len(o.queue)
	c.forgetIdle(name)
}

// forgetIdle drops an organisation without requests, because names come from
// callers and would accumulate without bound.
func (c *Controller) forgetIdle(name string) {
	if o := c.organisations[name]; o != nil && o.inFlight == 0 && len(o.queue) == 0 {
		delete(c.organisations, name)
	}
}

// Done frees the slot of an admitted request of the named organisation. served is
// its service time, or zero if it is not representative, for example because the
// request was cancelled.
func (c *Controller) Done(name string, served time.Duration) {
	o := c.organisation(name)
	o.inFlight--
	c.inFlight--
	c.forgetIdle(name)
	if served <= 0 {
		return
	}
	if c.meanService == 0 {
		c.meanService = served.Seconds()
		return
	}
	c.meanService += serviceSmoothing * (served.Seconds() - c.meanService)
}

// Dispatch grants free slots to waiting requests and refuses those that would start
// too late. Call it after Done, SetSlots and SetPeerReports, and periodically.
func (c *Controller) Dispatch(now time.Time) (granted []uint64, refused []Refusal) {
	allocation := c.allocate()
	refused = c.expire(allocation, now)
	for c.waiting > 0 {
		next, ok := c.next(allocation, now)
		if !ok {
			break
		}
		granted = append(granted, c.grant(next))
	}
	return granted, append(refused, c.shed(allocation, now)...)
}

// expire refuses waiting requests that cannot finish before their deadline or have
// waited longer than MaxQueueWait, and all of them if the pool has no slots.
func (c *Controller) expire(allocation Allocation, now time.Time) []Refusal {
	var refused []Refusal
	for name, o := range c.organisations {
		kept := o.queue[:0:0]
		for _, w := range o.queue {
			retry := max(minRetryAfter, c.expectedWait(name, len(o.queue), allocation))
			switch {
			case c.slots == 0:
				refused = append(refused, Refusal{w.ID, NoSlots, minRetryAfter})
			case !c.meetsDeadline(w.Deadline, 0, now):
				refused = append(refused, Refusal{w.ID, DeadlineTooShort, retry})
			case now.Sub(w.arrived) > c.cfg.MaxQueueWait:
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
