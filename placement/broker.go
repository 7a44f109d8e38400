package placement

import (
	"math"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/routing"
)

// SlotRequestID identifies one attempt of an entry to send a request.
type SlotRequestID struct {
	Entry string
	// Sequence increases with each attempt of the entry, also across its restarts.
	Sequence uint64
}

// SlotRequest is a request of an entry for a slot.
type SlotRequest struct {
	SlotRequestID
	Request
	// MaxWait is the longest time that the request may be queued.
	MaxWait time.Duration
	// TimeLeft is the time until the next event misses its latency objective; zero means
	// no objective.
	TimeLeft time.Duration
	// Resumed marks an interrupted stream that resumes. It has the highest priority.
	Resumed bool
	// Redirected is true if the broker of another group redirected the entry here.
	Redirected bool

	receivedAt time.Time // when the broker received it first
}

// SlotResponse is the response of a broker to a request for a slot.
type SlotResponse struct {
	RequestID SlotRequestID
	Verdict   Verdict
	Choice    Choice
	// Group is the group to ask next after a redirect.
	Group string
	// SlotInterval is the predicted time between two slots that become free, and Ahead
	// the number of requests queued ahead. Both are set for refusals.
	SlotInterval time.Duration
	Ahead        int
	// Waited is how long the broker had the request before it granted the slot.
	Waited time.Duration
	// Late reports that the request can no longer meet its latency objective.
	Late bool
}

// HeldSlot is a slot in use, as the entry that holds it reports it.
type HeldSlot struct {
	Sequence      uint64
	Endpoint      string
	PrefillTokens int  // prompt tokens; zero after the first event
	InPrefill     bool // no first event yet
}

// Summary is what the broker of a group reports to the brokers of other groups.
type Summary struct {
	FreeSlots int // free slots of healthy endpoints
	// FreeByRegion are those in regions that are known. It tells which requests that are bound
	// to regions may be redirected to the group.
	FreeByRegion map[string]int
}

const (
	// reportGrace is how long a new grant may be missing from the reports of its entry.
	// The entry may have sent the report before the grant arrived.
	reportGrace = 200 * time.Millisecond
	// entryTimeout is the time without a message after which the slots of an entry are
	// released. It is longer than most streams last, since a process that was frozen
	// resumes with its streams.
	entryTimeout = 3 * time.Second
	// summaryTTL is how long the summary of another group is used.
	summaryTTL = 500 * time.Millisecond
	// lateMaxWait is the queueing time of a request that misses its objective in any
	// case and so loses nothing by waiting. Callers abandon a stream without events
	// after 2 s or more.
	lateMaxWait = 1200 * time.Millisecond
	// maxWaitingSuspects limits the requests that may crash their endpoints and wait: each
	// event of the group looks at all of them.
	maxWaitingSuspects = 64
	// maxFailedTries limits how many queued requests that may use the same endpoints may fail
	// to be placed in one pass over the queue. More than one is tried because the prompt of the
	// first may be too long for the endpoint with the free slot.
	maxFailedTries = 8
	// maxFailedTriesByRegions limits the same for all queued requests that are bound to the same
	// regions. A try takes about 4 us with 100 endpoints, and a pass follows each event.
	maxFailedTriesByRegions = 4 * maxFailedTries
)

// Broker places the requests of several entries on the endpoints of one group. It
// counts every slot of the group and keeps one queue for all entries. Without a broker,
// each entry would see a small part of the load and learn of the rest late: it would
// either leave slots unused or overfill an engine together with other entries.
//
// A wrong count only costs time, because endpoints refuse requests that exceed their
// slots. Brokers therefore need no consensus, and a new broker rebuilds its count from
// the reports of the entries.
//
// Like a Pool, it never reads the clock and is not safe for concurrent use.
type Broker struct {
	pool       *Pool
	grants     map[SlotRequestID]grant
	held       map[int]int          // number of grants by priority
	lastSeen   map[string]time.Time // time of the last message, by entry
	queue      requestQueue
	arrivals   arrivals
	suspects   []queuedRequest // requests that may crash their endpoints and wait, in order of arrival
	responses  []SlotResponse  // not yet returned to the caller
	peerGroups map[string]peerGroup
	minVersion uint64 // highest minimum version of the weights in any request so far
	// coldPermitsDenied is true while permits of cold endpoints are left to other brokers.
	coldPermitsDenied bool
	// coldAuthoritySince is described at SetColdAuthority.
	coldAuthoritySince time.Time
}

type grant struct {
	endpoint    string
	incarnation uint64
	prefill     Prefill
	inPrefill   bool // no first event yet
	priority    int
	suspects    []uint64
	grantedAt   time.Time
	waited      time.Duration // from the arrival of the request to the grant
	// sentAfter is a time before the request was sent; zero if unknown.
	sentAfter time.Time
}

type peerGroup struct {
	freeSlots    int
	freeByRegion map[string]int
	receivedAt   time.Time
}

// NewBroker returns a broker without endpoints.
func NewBroker(cfg Config) *Broker {
	cfg.JitterMs = 0 // a broker places all requests on its endpoints, so choices need no spread
	return &Broker{
		pool: NewPool(cfg), grants: map[SlotRequestID]grant{}, held: map[int]int{}, lastSeen: map[string]time.Time{},
		peerGroups: map[string]peerGroup{},
	}
}

// TakeResponses returns the responses since the last call.
func (b *Broker) TakeResponses() []SlotResponse {
	responses := b.responses
	b.responses = nil
	return responses
}

// Update replaces the endpoints of the group and the description of their engines.
func (b *Broker) Update(engine *routing.Engine, endpoints []Endpoint, now time.Time) {
	b.updateColdPermits(now)
	b.pool.Update(engine, endpoints, now)
	b.refuseEvacuated(now)
	b.serveQueue(now)
}

// RequestSlot handles a request for a slot. A repeated request gets the slot that it was
// granted before, unless the endpoint has restarted since, or stays queued.
func (b *Broker) RequestSlot(a SlotRequest, now time.Time) {
	b.lastSeen[a.Entry] = now
	b.minVersion = max(b.minVersion, a.MinVersion)
	if g, ok := b.grants[a.SlotRequestID]; ok {
		s := b.pool.endpoints[g.endpoint]
		if s == nil {
			return
		}
		if s.Incarnation == g.incarnation {
			b.respond(SlotResponse{RequestID: a.SlotRequestID, Verdict: Placed, Choice: b.pool.choice(s, a.PromptTokens, now), Waited: g.waited})
			return
		}
		b.release(a.SlotRequestID, Neutral, now)
	}
	queued := func(w queuedRequest) bool { return w.SlotRequestID == a.SlotRequestID }
	if slices.ContainsFunc(b.queue.waiting, queued) || slices.ContainsFunc(b.suspects, queued) {
		b.respond(SlotResponse{RequestID: a.SlotRequestID, Verdict: Queued, Late: a.Late})
		return
	}
	a = a.received(now)
	b.arrivals.record(a.urgency(), now)
	b.place(a, now)
}

// received returns the request as the broker handles it.
func (a SlotRequest) received(now time.Time) SlotRequest {
	a.receivedAt = now
	a.Late = !a.Resumed && a.Late
	if a.TimeLeft > 0 && !a.Late {
		a.Due = now.Add(a.TimeLeft)
	}
	return a
}

// place grants a slot, or else redirects the request to another group, queues it or
// refuses it.
func (b *Broker) place(a SlotRequest, now time.Time) {
	d := b.decide(a, now)
	switch d.verdict {
	case Placed:
		b.grant(d.request, d.choice, now)
	case Redirected:
		o := b.peerGroups[d.group]
		o.take(d.request.Regions)
		b.peerGroups[d.group] = o
		b.respond(SlotResponse{RequestID: a.SlotRequestID, Verdict: Redirected, Group: d.group, Late: d.request.Late})
	case Queued:
		w := queuedRequest{d.request, d.deadline}
		if d.apart {
			b.suspects = append(b.suspects, w)
		} else {
			b.queue.insert(w)
		}
		b.respond(SlotResponse{RequestID: a.SlotRequestID, Verdict: Queued, Late: d.request.Late})
		if !d.apart {
			b.refuseDisplaced(d.request, now)
		}
	default:
		b.refuse(d.request, d.verdict, d.interval, d.ahead)
	}
}

// decision is what becomes of a new request for a slot.
type decision struct {
	request SlotRequest // it may have been found to be late
	// verdict is Placed, Redirected, Queued, or why the request is refused.
	verdict Verdict
	choice  Choice // if it is placed
	group   string // to which it is redirected
	// deadline is the end of its wait if it is queued.
	deadline time.Time
	// apart is true if it waits apart from the queue, because it may crash its endpoint.
	apart bool
	// interval is the predicted time between two slots that become free, and ahead the number of
	// requests queued ahead, if the request is queued or refused.
	interval time.Duration
	ahead    int
	// held is why a request waits although an endpoint can take it.
	held Hold
}

// decide returns what becomes of a new request for a slot. It changes no state.
func (b *Broker) decide(a SlotRequest, now time.Time) decision {
	if len(a.Suspects) > 0 {
		return b.decideSuspect(a, now)
	}
	choice, verdict := b.pool.Place(a.Request, now)
	onTime := a.Late || a.Resumed || a.TimeLeft <= 0 || choice.TTFT <= a.TimeLeft
	mustQueue := verdict == Placed && b.mustQueue(a, choice, now)
	if verdict == Placed && onTime && !mustQueue {
		return decision{request: a, verdict: Placed, choice: choice}
	}
	if group, ok := b.redirectGroup(a, now); ok {
		return decision{request: a, verdict: Redirected, group: group}
	}
	if verdict == Placed && !onTime && !mustQueue {
		// It would miss its objective at every endpoint, so it only gets a slot that
		// late requests may use.
		a.Late, a.Due = true, time.Time{}
		if choice, verdict = b.pool.Place(a.Request, now); verdict == Placed && !b.mustQueue(a, choice, now) {
			return decision{request: a, verdict: Placed, choice: choice}
		}
	}
	d := decision{request: a}
	if verdict == Placed {
		verdict, d.held = Full, HoldQueue // requests queued before it come first
	}
	maxWait := a.longestWait()
	d.interval, d.deadline = b.slotInterval(a, now), now.Add(maxWait)
	d.ahead = b.queue.ahead(queuedRequest{a, d.deadline})
	d.verdict = Queued
	if verdict == NoEndpoint || d.interval*time.Duration(d.ahead+1) > maxWait {
		d.refuse(b.pool, verdict)
	}
	return d
}

// refuse decides that the request is refused.
func (d *decision) refuse(p *Pool, v Verdict) {
	if d.verdict = p.RefusalVerdict(d.request.Request, v); d.verdict == NoAllowedRegion {
		d.interval, d.ahead = noEndpointPause, 0 // no queue of others delays it
	}
}

// longestWait returns how long the request may be queued.
func (a SlotRequest) longestWait() time.Duration {
	if a.Late {
		return max(a.MaxWait, lateMaxWait)
	}
	return a.MaxWait
}

// placeRequest selects an endpoint. Two requests that may crash their endpoints begin at
// different ones, so that a crash tells which of them is the cause.
func (b *Broker) placeRequest(r Request, now time.Time) (Choice, Verdict) {
	if len(r.Suspects) == 0 {
		return b.pool.Place(r, now)
	}
	apart := r
	apart.Exclude = slices.Concat(r.Exclude, b.suspectsBeginAt())
	choice, verdict := b.pool.Place(apart, now)
	if verdict == NoEndpoint {
		if _, other := b.pool.Place(r, now); other != NoEndpoint {
			verdict = Full // until another suspect has begun
		}
	}
	return choice, verdict
}

// suspectsBeginAt lists the endpoints at which a request that may crash them has not begun yet.
func (b *Broker) suspectsBeginAt() []string {
	var list []string
	for _, g := range b.grants {
		if g.inPrefill && len(g.suspects) > 0 {
			list = append(list, g.endpoint)
		}
	}
	return list
}

// suspectBegins reports whether a request with one of the suspects of r was granted a slot
// and has not begun yet.
func (b *Broker) suspectBegins(r Request) bool {
	if len(r.Suspects) == 0 {
		return false
	}
	for _, g := range b.grants {
		if g.inPrefill && slices.ContainsFunc(g.suspects, func(id uint64) bool { return slices.Contains(r.Suspects, id) }) {
			return true
		}
	}
	return false
}

// decideSuspect grants a slot to a request that may crash its endpoint. Otherwise the request
// waits apart from the queue, so that it delays no other request, or is refused if it may
// not wait or no endpoint is suitable.
func (b *Broker) decideSuspect(a SlotRequest, now time.Time) decision {
	maxWait := a.longestWait()
	d := decision{request: a, verdict: Queued, apart: true, deadline: now.Add(maxWait)}
	verdict := Full
	switch {
	case b.suspectBegins(a.Request):
		d.held = HoldSuspect
	case !b.precedesQueue(queuedRequest{a, d.deadline}):
		d.held = HoldQueue
	default:
		if d.choice, verdict = b.placeRequest(a.Request, now); verdict == Placed {
			d.verdict = Placed
			return d
		}
	}
	d.interval, d.ahead = b.pool.NextSlot(a.Request, now), b.queue.len()
	if verdict == NoEndpoint || maxWait <= 0 || len(b.suspects) >= maxWaitingSuspects {
		d.refuse(b.pool, verdict)
	}
	return d
}

// precedesQueue reports whether a waiting suspect comes before all queued requests.
func (b *Broker) precedesQueue(w queuedRequest) bool {
	return b.queue.len() == 0 || compareQueued(w, b.queue.waiting[0]) < 0
}

// placeSuspects places the waiting requests that may crash their endpoints and whose turn it
// is. At the end of their wait, it refuses them or lets them begin with others.
func (b *Broker) placeSuspects(now time.Time) {
	waiting := b.suspects
	b.suspects = nil
	for _, w := range waiting {
		ends := !now.Before(w.deadline)
		alone := !b.suspectBegins(w.Request)
		if (alone || ends && !w.Serialized) && b.precedesQueue(w) {
			place := b.placeRequest
			if ends && !w.Serialized {
				place = b.pool.Place
			}
			if choice, verdict := place(w.Request, now); verdict == Placed {
				b.grant(w.SlotRequest, choice, now)
				continue
			}
		}
		if ends || b.pool.NoneAllowed(w.Request) {
			b.refuse(w.SlotRequest, b.pool.RefusalVerdict(w.Request, Full), b.pool.NextSlot(w.Request, now), b.queue.len())
			continue
		}
		b.suspects = append(b.suspects, w)
	}
}

func (b *Broker) respond(a SlotResponse) { b.responses = append(b.responses, a) }

func (b *Broker) grant(a SlotRequest, c Choice, now time.Time) {
	work := a.PrefillAt(c, now)
	b.pool.Begin(c.ID, work)
	b.pool.TakePermit(c.ID, now)
	b.addGrant(a.SlotRequestID, grant{
		endpoint: c.ID, incarnation: c.Incarnation, prefill: work, inPrefill: true, priority: a.Priority, suspects: a.Suspects, grantedAt: now, waited: now.Sub(a.receivedAt), sentAfter: now,
	})
	b.respond(SlotResponse{RequestID: a.SlotRequestID, Verdict: Placed, Choice: c, Waited: now.Sub(a.receivedAt), Late: a.Late})
}

// addGrant records a grant of a request that has none.
func (b *Broker) addGrant(id SlotRequestID, g grant) {
	b.grants[id] = g
	b.held[g.priority]++
}

func (b *Broker) removeGrant(id SlotRequestID, g grant) {
	delete(b.grants, id)
	if b.held[g.priority]--; b.held[g.priority] == 0 {
		delete(b.held, g.priority)
	}
}

func (b *Broker) refuse(a SlotRequest, v Verdict, interval time.Duration, ahead int) {
	if v = b.pool.RefusalVerdict(a.Request, v); v == NoAllowedRegion {
		interval, ahead = noEndpointPause, 0 // no queue of others delays it
	}
	b.respond(SlotResponse{RequestID: a.SlotRequestID, Verdict: v, SlotInterval: interval, Ahead: ahead, Late: a.Late})
}

// serveQueue grants free slots to queued requests and refuses those whose deadline has
// passed.
func (b *Broker) serveQueue(now time.Time) {
	if len(b.suspects) > 0 && b.queue.len() > 0 {
		b.placeSuspects(now) // those that come before the queue
	}
	b.serveMinimumShares(now)
	waiting := b.queue.waiting
	remaining := waiting[:0]
	failed := newFailedTries()
	free := b.queue.len() > 0 && b.pool.hasFreeSlot(now)
	for _, w := range waiting {
		if usable := w.usableKey(); !failed.exhausted(usable) {
			if free {
				if choice, verdict := b.pool.Place(w.Request, now); verdict == Placed {
					b.grant(w.SlotRequest, choice, now)
					free = b.pool.hasFreeSlot(now)
					continue
				}
			}
			if b.pool.NoneAllowed(w.Request) { // the last endpoint there has left
				b.refuse(w.SlotRequest, NoAllowedRegion, noEndpointPause, 0)
				continue
			}
			failed.record(usable)
		}
		if !now.Before(w.deadline) {
			b.refuse(w.SlotRequest, Full, b.slotInterval(w.SlotRequest, now), len(remaining))
			continue
		}
		remaining = append(remaining, w)
	}
	clear(waiting[len(remaining):])
	b.queue.waiting = remaining
	if len(b.suspects) > 0 && b.queue.len() == 0 {
		b.placeSuspects(now)
	}
}

// redirectGroup returns the group with the most free slots for a request that this group
// cannot take. A request is redirected only once.
func (b *Broker) redirectGroup(a SlotRequest, now time.Time) (string, bool) {
	if a.Redirected {
		return "", false
	}
	best, freeSlots := "", 0
	for name, o := range b.peerGroups {
		free := o.freeFor(a.Regions)
		if now.Sub(o.receivedAt) < summaryTTL && (free > freeSlots || free == freeSlots && freeSlots > 0 && name < best) {
			best, freeSlots = name, free
		}
	}
	if freeSlots == 0 {
		return "", false
	}
	return best, true
}

// FirstEvent counts the prefill of a granted request as done. Late is by how much the
// event arrived later than modelled.
func (b *Broker) FirstEvent(id SlotRequestID, late time.Duration, now time.Time) {
	b.lastSeen[id.Entry] = now
	g, ok := b.grants[id]
	if !ok || !g.inPrefill {
		return
	}
	g.inPrefill = false
	b.grants[id] = g
	b.pool.FirstEvent(g.endpoint, g.prefill)
	b.pool.RecordLag(g.endpoint, late, now)
	b.serveQueue(now)
}

// RecordRateLimit records the request rate that the endpoint of a granted request names
// in its answer, nil for none. It returns the endpoint and whether its limit changed.
func (b *Broker) RecordRateLimit(id SlotRequestID, perSecond *float64, now time.Time) (endpoint string, changed bool) {
	b.lastSeen[id.Entry] = now
	g, ok := b.grants[id]
	if !ok {
		return "", false
	}
	changed = b.pool.RecordRateLimit(g.endpoint, g.incarnation, perSecond, g.sentAfter, now)
	if changed {
		b.serveQueue(now)
	}
	return g.endpoint, changed
}

// AddRateLimit records what an entry knows of the limit of an endpoint and reports whether
// the limit changed. A new broker learns the limits from the entries.
func (b *Broker) AddRateLimit(n NamedRateLimit, now time.Time) bool {
	return b.pool.AddRateLimit(n, now)
}

// SetPrimary sets whether this broker is the first of its group. Only that one grants
// slots of endpoints with a rate limit: while entries cannot reach each other, several
// brokers of a group would each grant the whole rate. Default true.
func (b *Broker) SetPrimary(primary bool) { b.pool.noPermits = !primary }

// RateLimits lists the limits of the endpoints, and those that have ended recently,
// sorted by ID.
func (b *Broker) RateLimits() []NamedRateLimit { return b.pool.RateLimits() }

// End releases the slot of a request, or removes the request from the queue. It returns
// the endpoint and how long that is ejected for the result.
func (b *Broker) End(id SlotRequestID, result Result, now time.Time) (endpoint string, ejected time.Duration) {
	b.lastSeen[id.Entry] = now
	b.removeQueued(func(w queuedRequest) bool { return w.SlotRequestID == id })
	endpoint = b.grants[id].endpoint
	ejected = b.release(id, result, now)
	b.serveQueue(now)
	return endpoint, ejected
}

func (b *Broker) removeQueued(remove func(queuedRequest) bool) {
	b.queue.remove(remove)
	b.suspects = slices.DeleteFunc(b.suspects, remove)
}

func (b *Broker) release(id SlotRequestID, result Result, now time.Time) time.Duration {
	g, ok := b.grants[id]
	if !ok {
		return 0
	}
	b.removeGrant(id, g)
	return b.pool.End(g.endpoint, g.incarnation, PrefillState{InPrefill: g.inPrefill, Prefill: g.prefill}, result, now)
}

// Reconcile reconciles the count with the complete list of slots that an entry holds in
// the group. It corrects the effects of lost messages and tells a new broker what its
// predecessor granted.
func (b *Broker) Reconcile(entry string, held []HeldSlot, now time.Time) {
	b.ReconcileRange(entry, held, 0, math.MaxUint64, now)
}

// ReconcileRange is like Reconcile for the slots with sequences from first to last, for an entry
// that holds more than fit into a message.
func (b *Broker) ReconcileRange(entry string, held []HeldSlot, first, last uint64, now time.Time) {
	b.lastSeen[entry] = now
	listed := make(map[uint64]bool, len(held))
	for _, h := range held {
		listed[h.Sequence] = true
		id := SlotRequestID{entry, h.Sequence}
		g, known := b.grants[id]
		if known && g.endpoint != h.Endpoint { // another broker granted a slot too
			b.release(id, Neutral, now)
			known = false
		}
		s := b.pool.endpoints[h.Endpoint]
		switch {
		case !known && s != nil:
			b.removeQueued(func(w queuedRequest) bool { return w.SlotRequestID == id }) // another broker has granted it a slot
			work := Prefill{PromptTokens: h.PrefillTokens}
			b.addGrant(id, grant{endpoint: h.Endpoint, incarnation: s.Incarnation, prefill: work, inPrefill: h.InPrefill, grantedAt: now})
			b.pool.Begin(h.Endpoint, work)
			if !h.InPrefill {
				b.pool.FirstEvent(h.Endpoint, work)
			}
		case known && g.inPrefill && !h.InPrefill:
			g.inPrefill = false
			b.grants[id] = g
			b.pool.FirstEvent(g.endpoint, g.prefill)
		}
	}
	for id, g := range b.grants {
		if id.Entry == entry && id.Sequence >= first && id.Sequence <= last && !listed[id.Sequence] && now.Sub(g.grantedAt) > reportGrace {
			b.release(id, Neutral, now)
		}
	}
	b.serveQueue(now)
}

// Tick refuses queued requests whose deadline has passed and releases the slots of
// entries that have sent no message for too long.
func (b *Broker) Tick(now time.Time) {
	for entry, heard := range b.lastSeen {
		if now.Sub(heard) < entryTimeout {
			continue
		}
		delete(b.lastSeen, entry)
		for id := range b.grants {
			if id.Entry == entry {
				b.release(id, Neutral, now)
			}
		}
		b.removeQueued(func(w queuedRequest) bool { return w.Entry == entry })
	}
	b.serveQueue(now)
}

// Summary returns the summary for the brokers of other groups. It offers no free slots
// while requests are queued.
func (b *Broker) Summary(now time.Time) Summary {
	var s Summary
	if b.queue.len() == 0 {
		r := Request{MinVersion: b.minVersion}
		s.FreeSlots, s.FreeByRegion = b.pool.freeSlots(r, now), b.pool.freeByRegion(r, now)
	}
	return s
}

// RecordSummary records the summary of another group's broker. Each of the other groups
// uses an equal share of the free slots, since all of them receive the same summary;
// groups is the number of all groups.
func (b *Broker) RecordSummary(group string, s Summary, groups int, now time.Time) {
	share := peerGroup{freeSlots: s.FreeSlots / max(1, groups-1), freeByRegion: map[string]int{}, receivedAt: now}
	for region, free := range s.FreeByRegion {
		share.freeByRegion[region] = free / max(1, groups-1)
	}
	b.peerGroups[group] = share
}

// Counts returns the number of queued requests and of granted slots.
func (b *Broker) Counts() (waiting, granted int) {
	return b.queue.len() + len(b.suspects), len(b.grants)
}
