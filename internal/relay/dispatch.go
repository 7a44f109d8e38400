package relay

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/admission"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

const (
	// maxWaitShare is the share of the latency objective of a route that a request may
	// wait for a slot. A longer wait makes more answers late than it saves from
	// refusal.
	maxWaitShare = 0.3
	// retryBudgetShare keeps the entries together within the retry budget, because they
	// learn of a change in their number with a delay.
	retryBudgetShare = 0.75
	// sharerRetention is how long an entry counts others among which the burst of the retry
	// budget is divided after they were last listed. An entry that is cut off from all
	// control replicas knows no others, and sends to endpoints for 10 s.
	sharerRetention = time.Minute
	// retryAfterJitter spreads the retries of refused callers.
	retryAfterJitter = time.Second
	// minRetryAfter lets a burst pass. A request that is retried is late in any case,
	// so a longer delay costs nothing. Callers wait for at most a third of their
	// remaining time, which is 2 s at most.
	minRetryAfter = 800 * time.Millisecond
	// resumedMaxWait is how long an interrupted stream may wait for another endpoint.
	// Callers abandon a stream after 2 s or more without events.
	resumedMaxWait = 1200 * time.Millisecond
	// localJitterMs spreads the choices of entries that place requests without a
	// broker.
	localJitterMs = 60
	// permitJitter spreads the requests of entries for permits of an endpoint with a rate
	// limit. A higher value leaves permits unused if few entries want them.
	permitJitter = 250 * time.Millisecond
)

// dispatcher holds the pools of all services and the requests that wait for a slot. It
// adds locking and waiting to package placement.
type dispatcher struct {
	ratio, slack float64
	slots        *slotCoordinator

	// mu must not be held during calls of slots, which calls this dispatcher as its
	// rateLimitStore while it holds its own lock.
	mu      sync.Mutex
	pools   map[string]*poolState
	sharers admission.Sharers // of the retry budget
	divisor int               // of the burst of the retry budget
	// retryDetectors distinguish the retries of callers from first attempts, by route.
	retryDetectors map[string]*admission.RetryDetector
	// coldRefused is called, with mu held, when a broker refuses a permit while endpoints of a
	// service are cold.
	coldRefused func(service string)
}

type poolState struct {
	*placement.Pool
	queue       placement.WaitQueue[chan struct{}]
	waiting     waitingRegions
	woken       wokenRequests
	retryBudget *admission.RetryBudget
}

func newDispatcher(ratio, slack float64, s *slotCoordinator) *dispatcher {
	d := &dispatcher{slots: s, ratio: ratio * retryBudgetShare, slack: slack * retryBudgetShare, pools: map[string]*poolState{}, sharers: admission.Sharers{Retention: sharerRetention}, divisor: 1, retryDetectors: map[string]*admission.RetryDetector{}, coldRefused: func(string) {}}
	s.setRateLimitStore(d)
	return d
}

// rateLimits implements rateLimitStore.
func (d *dispatcher) rateLimits(service string) []placement.NamedRateLimit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).RateLimits()
}

// addRateLimit implements rateLimitStore.
func (d *dispatcher) addRateLimit(service string, n placement.NamedRateLimit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool(service).AddRateLimit(n, time.Now())
}

// pool returns the pool of a service and creates it if needed. The caller holds mu.
func (d *dispatcher) pool(service string) *poolState {
	p := d.pools[service]
	if p == nil {
		p = d.newPool()
		d.pools[service] = p
	}
	return p
}

func (d *dispatcher) newPool() *poolState {
	return &poolState{Pool: placement.NewPool(placement.Config{JitterMs: localJitterMs}), waiting: waitingRegions{}, woken: wokenRequests{}, retryBudget: &admission.RetryBudget{Ratio: d.ratio, Burst: d.retryBurst()}}
}

// retryBurst returns the burst of the retry budget of each service at this entry. The caller
// holds mu.
func (d *dispatcher) retryBurst() float64 { return d.slack / float64(d.divisor) }

// shareRetries divides the burst of the retry budget among the listed entries, which include
// those that start or stop. It returns the part of this entry and the number of parts.
func (d *dispatcher) shareRetries(listed int) (burst float64, sharers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.divisor = d.sharers.Observe(listed, time.Now())
	for _, p := range d.pools {
		p.retryBudget.Burst = d.retryBurst()
	}
	return d.retryBurst(), d.divisor
}

// update replaces the endpoints of every service.
func (d *dispatcher) update(table *routing.Table, endpoints map[string][]placement.Endpoint, entries int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range endpoints {
		if table.Service(name) != nil { // pools are kept, and a check-in may state any name
			d.pool(name)
		}
	}
	for name, p := range d.pools {
		var engine *routing.Engine
		if s := table.Service(name); s != nil {
			engine = s.Engine
		}
		p.SetSharers(entries)
		p.Update(engine, endpoints[name], time.Now())
		d.wakeEvacuated(p)
		d.wakeNext(p)
	}
}

// depositRetry credits the retry budget of a service for a new request and returns the
// tokens added.
func (d *dispatcher) depositRetry(service string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).retryBudget.Deposit()
}

// timeSpent returns how long the caller of a request spent on earlier attempts.
func (d *dispatcher) timeSpent(q *request) time.Duration {
	if q.route.Kind != routing.Stream {
		return 0 // the request delays no events of other streams
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.retryDetectors[q.route.Name]
	if a == nil {
		a = &admission.RetryDetector{MinRetryDelay: minRetryAfter}
		d.retryDetectors[q.route.Name] = a
	}
	return a.Observe(q.call.Timeout)
}

// withdrawRetry takes one retry from the budget of a service and reports whether there
// was one.
func (d *dispatcher) withdrawRetry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).retryBudget.TryWithdraw(time.Now())
}

// returnRetry adds a retry that was withdrawn and not sent to the budget of a service again.
func (d *dispatcher) returnRetry(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool(service).retryBudget.Return()
}

// place selects an endpoint and counts the request as running there. Slots of engines
// are granted by brokers. For plain services, and if no broker answers, this entry
// selects the endpoint from its local state. An endpoint with a rate limit is used only
// with the permission of a broker, because the limit applies to all entries together.
func (d *dispatcher) place(q *request, r placement.Request) (placement.Choice, *refusal) {
	if refused := d.refuseOutsideRegions(q.service, r); refused != nil {
		return placement.Choice{}, refused
	}
	if refused := d.refuseEvacuated(q, r); refused != nil {
		return placement.Choice{}, refused
	}
	if refused := d.awaitPauses(q, r); refused != nil {
		return placement.Choice{}, refused
	}
	if d.slots.brokered(q.service) {
		if choice, refused, ok := d.placeByBroker(q, r); ok {
			return choice, refused
		}
		if r.Serialized {
			return placement.Choice{}, suspectRefusal()
		}
		r.Exclude = slices.Concat(r.Exclude, d.rateLimited(q.service)) // no broker responds, so none grants a permit
	}
	return d.placeLocally(q, r)
}

// suspectRefusal refuses a request that may only run alone. Without a broker, several entries would
// send the same suspect.
func suspectRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: CrashSuspect, retryAfter: minRetryAfter}
}

// endedWaiting refuses a request whose caller has left, or whose deadline has passed, while it
// waited for a slot.
func endedWaiting() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: NoSlot, retryAfter: minRetryAfter}
}

// awaitPauses waits while all endpoints for a request want none. It refuses the request if
// the first pause ends later than the request may wait.
func (d *dispatcher) awaitPauses(q *request, r placement.Request) *refusal {
	for {
		now := time.Now()
		d.mu.Lock()
		left, refused := d.pool(q.service).pauseLeft(r, q.maxWait(now), now)
		d.mu.Unlock()
		if refused != nil || left == 0 {
			return refused.spread()
		}
		if !sleep(q.ctx, left) {
			return endedWaiting()
		}
	}
}

// pauseLeft returns how long all endpoints for a request want none, or zero. It refuses the request,
// without jitter, if that is longer than it may wait.
func (p *poolState) pauseLeft(r placement.Request, maxWait time.Duration, now time.Time) (time.Duration, *refusal) {
	until, all := p.AllPaused(r, now)
	if !all {
		return 0, nil
	}
	left := until.Sub(now)
	if left > maxWait {
		return left, &refusal{status: http.StatusServiceUnavailable, reason: EndpointsPaused, retryAfter: pauseRetryAfter(left)}
	}
	return left, nil
}

// prefill returns the prefill work of the request.
func (q *request) prefill() placement.Prefill {
	return placement.Prefill{PromptTokens: q.call.PromptTokens, Priority: q.priority}
}

// maxWait returns how long a request may wait for a slot. A request whose endpoint
// failed has lost its slot and may wait the full time again.
func (q *request) maxWait(now time.Time) time.Duration {
	maxWait := time.Duration(maxWaitShare * float64(q.route.Objective))
	switch {
	case q.resumed:
		return resumedMaxWait
	case q.sends+q.notRun > 0:
		return maxWait
	}
	return q.arrived.Add(maxWait).Sub(now)
}

// placeByBroker requests a slot from a broker. The result ok is false if no broker
// answered.
func (d *dispatcher) placeByBroker(q *request, r placement.Request) (choice placement.Choice, refused *refusal, ok bool) {
	d.mu.Lock()
	a := d.pool(q.service).slotRequest(q, r, time.Now())
	d.mu.Unlock()
	p, ok := d.slots.requestSlot(q.ctx, q.service, r.Zone, a)
	q.record.broker, q.record.slotRequests = p.broker, q.record.slotRequests+p.requests
	if q.ctx.Err() != nil {
		if ok && p.response.Verdict == placement.Placed {
			d.slots.end(p.sequence, placement.Neutral)
		}
		return choice, endedWaiting(), true
	}
	if !ok {
		return choice, nil, false
	}
	q.late = q.late || p.response.Late
	if p.response.Verdict != placement.Placed {
		q.record.slotInterval, q.record.ahead = p.response.SlotInterval, p.response.Ahead
		d.mu.Lock()
		d.countColdRefusal(q.service, p.response.Verdict)
		refused = d.pool(q.service).brokerRefusal(r, p.response, time.Now()).spread()
		d.mu.Unlock()
		return choice, refused, true
	}
	q.slot = p.sequence
	d.mu.Lock()
	d.pool(q.service).Begin(p.choice.ID, r.Prefill())
	d.mu.Unlock()
	q.inPrefill = true
	return p.choice, nil, true
}

// slotRequest returns the request for a slot that is sent to brokers.
func (p *poolState) slotRequest(q *request, r placement.Request, now time.Time) placement.SlotRequest {
	a := placement.SlotRequest{Request: r, Resumed: q.resumed, MaxWait: q.maxWait(now)}
	switch {
	case q.resumed && q.route.GapObjective > 0:
		a.TimeLeft = max(time.Millisecond, q.record.lastEvent.Add(q.route.GapObjective).Sub(now))
	case !q.resumed && q.route.Objective > 0:
		a.TimeLeft = max(time.Millisecond, q.arrived.Add(q.route.Objective-q.spent).Sub(now))
	}
	paused, ejected, leaving, evacuated := p.PausedEndpoints(now), p.Ejected(now), p.Leaving(), p.EvacuatedEndpoints()
	a.Exclude = slices.Concat(r.Exclude, paused[:min(len(paused), maxPausedExcluded)], ejected[:min(len(ejected), maxExcluded)], leaving[:min(len(leaving), maxExcluded)], evacuated[:min(len(evacuated), maxEvacuatedExcluded)])
	return a
}

// brokerRefusal returns the refusal, without jitter, of a request to which a broker grants no slot.
func (p *poolState) brokerRefusal(r placement.Request, response placement.SlotResponse, now time.Time) *refusal {
	refused := placementRefusal(response.Verdict, afterPauses(p, r.Regions, retryAfter(response), now))
	if refused.reason == NoSlot && len(r.Suspects) > 0 {
		refused.reason = CrashSuspect
	}
	return refused
}

// localStep is what an entry does with a request that it places by itself.
type localStep uint8

const (
	stepSend   localStep = iota
	stepPermit           // ask a broker for a permit first
	stepQueue
	stepRefuse
)

// localDecision is a localStep with its reason.
type localDecision struct {
	step    localStep
	choice  placement.Choice
	verdict placement.Verdict
	refused *refusal // without jitter, for stepRefuse
}

// decide returns what to do with a request that may wait for maxWait. It changes no state but that
// of place, which is Place or Preview of the pool. A request is woken if it has waited and a slot
// became free.
func (p *poolState) decide(r placement.Request, woken bool, maxWait time.Duration, place func(placement.Request, time.Time) (placement.Choice, placement.Verdict), now time.Time) localDecision {
	choice, verdict := place(r, now)
	d := localDecision{step: stepQueue, choice: choice, verdict: verdict}
	switch {
	case verdict == placement.Placed && choice.RateLimited:
		d.step = stepPermit
	case verdict == placement.Placed && (woken || p.mayStart(r, choice)):
		d.step = stepSend
	case verdict == placement.NoEndpoint || !p.queue.ServedWithin(r.Priority, maxWait, p.NextSlot(r, now)):
		d.step, d.verdict = stepRefuse, p.RefusalVerdict(r, verdict)
		d.refused = placementRefusal(d.verdict, p.localRetryAfter(r, now))
	}
	return d
}

// placeLocally selects an endpoint from the local state of this entry. If all slots are
// in use, the request is queued if a slot is expected soon enough. This includes
// requests whose endpoint failed: if an endpoint crashes under load, the slots of the
// others are in use.
func (d *dispatcher) placeLocally(q *request, r placement.Request) (placement.Choice, *refusal) {
	deadline := time.Now()
	if !q.sought { // it would hold up requests that can use a free slot, and is tried again
		deadline = deadline.Add(q.maxWait(deadline))
	}
	var ready chan struct{}
	for {
		now := time.Now()
		d.mu.Lock()
		p := d.pool(q.service)
		delete(p.woken, ready)
		decided := p.decide(r, ready != nil, deadline.Sub(now), p.Place, now)
		choice := decided.choice
		switch decided.step {
		case stepPermit:
			d.mu.Unlock()
			if d.takePermit(q, r, &choice) {
				return choice, nil
			}
			if q.ctx.Err() != nil {
				return choice, endedWaiting()
			}
			continue
		case stepSend:
			p.Begin(choice.ID, r.PrefillAt(choice, now))
			q.inPrefill = true
			if ready != nil {
				d.wakeNext(p) // more than one slot may be free
			}
			d.mu.Unlock()
			return choice, nil
		case stepRefuse:
			d.mu.Unlock()
			return choice, decided.refused.spread()
		}
		ready = make(chan struct{})
		p.queue.Push(r.Priority, deadline, ready)
		p.waiting.add(ready, r.Regions)
		d.mu.Unlock()
		timer := time.NewTimer(deadline.Sub(now))
		select {
		case <-ready:
		case <-timer.C:
		case <-q.ctx.Done():
		}
		timer.Stop()
		d.dequeue(q.service, ready)
		if q.ctx.Err() != nil {
			d.passTurn(q.service, ready)
			return choice, endedWaiting()
		}
	}
}

// takePermit requests a slot of an endpoint with a rate limit from the broker that counts
// the requests of all entries, and counts the request as running there. If the broker
// refuses or does not respond, the endpoint is not selected for a while.
func (d *dispatcher) takePermit(q *request, r placement.Request, c *placement.Choice) bool {
	p, ok := d.slots.requestSlot(q.ctx, q.service, c.Zone, permitRequest(r, *c))
	q.record.broker, q.record.slotRequests = p.broker, q.record.slotRequests+p.requests
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pool(q.service)
	switch {
	case ok && p.response.Verdict == placement.Placed:
		q.slot, q.inPrefill, c.PermitUntil = p.sequence, true, p.choice.PermitUntil
		pool.Begin(c.ID, r.PrefillAt(*c, now))
		return true
	case ok:
		d.countColdRefusal(q.service, p.response.Verdict)
		pool.DeferPermits(c.ID, now.Add(permitDelay(p.response.SlotInterval)))
	default:
		pool.DeferPermits(c.ID, now.Add(brokerSuspension))
	}
	return false
}

// permitRequest returns the request for a permit for an endpoint.
func permitRequest(r placement.Request, c placement.Choice) placement.SlotRequest {
	return placement.SlotRequest{
		Request: placement.Request{PromptTokens: r.PromptTokens, Zone: r.Zone, Only: c.ID, Priority: r.Priority, Regions: r.Regions}, Redirected: true,
	}
}

func placementRefusal(v placement.Verdict, delay time.Duration) *refusal {
	reason := NoSlot
	switch v {
	case placement.NoEndpoint:
		reason = NoEndpoint
	case placement.Displaced:
		reason = Displaced
	case placement.RateLimited:
		reason = RateLimited
	case placement.NoAllowedRegion:
		reason = NoAllowedRegion
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: delay}
}

// dequeue removes a request from the queue if it is still there.
func (d *dispatcher) dequeue(service string, ready chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(service)
	p.queue.Remove(ready)
	delete(p.waiting, ready)
}

// passTurn lets the next request in the queue try if one was woken whose caller has left.
func (d *dispatcher) passTurn(service string, ready chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(service)
	if _, ok := p.woken[ready]; ok {
		delete(p.woken, ready)
		d.wakeNext(p)
	}
}

// mayStart reports whether a new request may use a free slot: no request as urgent that could use
// it was woken and has not tried yet, and none is queued unless the endpoint is idle. The caller
// holds mu.
func (p *poolState) mayStart(r placement.Request, c placement.Choice) bool {
	for _, w := range p.woken {
		if w.priority <= r.Priority && w.regions.Allow(c.Region) {
			return false
		}
	}
	return c.Load.Running == 0 || p.queue.Ahead(r.Priority) == 0 || !p.waiting.mayUse(p.queue.Len(), c.Region)
}

// wokenRequests are the requests that were taken from the queue to try again and have not tried
// yet.
type wokenRequests map[chan struct{}]wokenRequest

type wokenRequest struct {
	priority int
	regions  placement.Regions
}

// wakeNext lets the first request in the queue try again, and the next ones if some are bound to
// regions. The caller holds mu.
func (d *dispatcher) wakeNext(p *poolState) {
	n := 1
	if len(p.waiting) > 0 {
		n = maxWoken
	}
	for range n {
		ready, priority, ok := p.queue.Pop()
		if !ok {
			return
		}
		p.woken[ready] = wokenRequest{priority, p.waiting[ready]}
		delete(p.waiting, ready)
		close(ready)
	}
}

// localRetryAfter returns the retry delay, without jitter, for a request that was refused from
// local state.
func (p *poolState) localRetryAfter(r placement.Request, now time.Time) time.Duration {
	return afterPauses(p, r.Regions, retryAfter(placement.SlotResponse{SlotInterval: p.NextSlot(r, now), Ahead: p.queue.Ahead(r.Priority)}), now)
}

// retryAfter returns the retry delay for a refused request: the predicted time until
// enough slots have become free for the requests queued ahead. Jitter is added to it, see
// refusal.spread.
func retryAfter(a placement.SlotResponse) time.Duration {
	due := a.SlotInterval * time.Duration(a.Ahead+1)
	return minRetryAfter + due
}

// pauseRetryAfter returns the retry delay, without jitter, for a request that no endpoint wants for
// a while.
func pauseRetryAfter(left time.Duration) time.Duration {
	return max(minRetryAfter, left)
}

// afterPauses returns the retry delay for a refused request, which does not end while all
// endpoints of a pool in the allowed regions want no requests.
func afterPauses(p *poolState, allowed placement.Regions, delay time.Duration, now time.Time) time.Duration {
	if until, all := p.AllPaused(placement.Request{Regions: allowed}, now); all {
		return max(delay, pauseRetryAfter(until.Sub(now)))
	}
	return delay
}

// retryAfter returns the retry delay for a request that endpoints refused.
func (d *dispatcher) retryAfter(q *request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(q.service).localRetryAfter(placement.Request{Regions: q.regions}, time.Now()) + rand.N(retryAfterJitter)
}

// firstEvent counts the prefill of a request as done. The lag is by how much its first
// event arrived later than modelled.
func (d *dispatcher) firstEvent(q *request, id string, lag time.Duration) {
	d.slots.firstEvent(q.slot, lag)
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(q.service)
	p.FirstEvent(id, q.prefill())
	p.RecordLag(id, lag, time.Now())
	d.wakeNext(p)
}

// recordSilence records that an endpoint is silent, while it keeps its request, and returns how
// long this entry ejects it.
func (d *dispatcher) recordSilence(service string, c placement.Choice) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).RecordSilence(c.ID, c.Incarnation, time.Now())
}

// endSilence records that an endpoint has gone on after a silence.
func (d *dispatcher) endSilence(service string, c placement.Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(service)
	p.EndSilence(c.ID, c.Incarnation)
	d.wakeNext(p)
}

// end counts an attempt as ended and returns how long this entry ejects the endpoint
// for its result.
func (d *dispatcher) end(q *request, c placement.Choice, r placement.Result) time.Duration {
	d.slots.end(q.slot, r)
	prefill := placement.PrefillState{InPrefill: q.inPrefill, Prefill: q.prefill()}
	q.slot, q.inPrefill = 0, false
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(q.service)
	ejected := p.End(c.ID, c.Incarnation, prefill, r, time.Now())
	d.wakeNext(p)
	return ejected
}

// hasLeft reports whether an endpoint has announced that it stops, or has restarted since it was
// selected.
func (d *dispatcher) hasLeft(service string, c placement.Choice) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).HasLeft(c.ID, c.Incarnation)
}

// pause keeps an endpoint from being selected for the length of the pause that it stated.
func (d *dispatcher) pause(service string, c placement.Choice, length time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool(service).Pause(c.ID, c.Incarnation, time.Now().Add(length))
}

// paused reports whether an endpoint wants no requests now.
func (d *dispatcher) paused(service string, c placement.Choice) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).Paused(c.ID, c.Incarnation, time.Now())
}

// leaves reports whether an endpoint has announced that it stops, or is no longer listed.
func (d *dispatcher) leaves(service string, c placement.Choice) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).Leaves(c.ID, c.Incarnation)
}

// recordRateLimit records the request rate that an endpoint named in an answer, nil for
// none, and reports whether its limit changed.
func (d *dispatcher) recordRateLimit(q *request, c placement.Choice, perSecond *float64) bool {
	d.slots.recordAnswer(q.slot, perSecond, q.record.coldFor)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(q.service).RecordRateLimit(c.ID, c.Incarnation, perSecond, q.placedAt, time.Now())
}

// recordLoad records the load that an endpoint reported with an answer.
func (d *dispatcher) recordLoad(q *request, id string, l protocol.Load) {
	d.slots.recordPace(q.slot, l.Pace)
	d.mu.Lock()
	defer d.mu.Unlock()
	p, now := d.pool(q.service), time.Now()
	p.RecordLoad(id, l.Running, l.Waiting, now)
	p.RecordPace(id, l.Pace, now)
}
