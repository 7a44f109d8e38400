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
	// maxWaitShare is the share of a route's objective that a request may wait for a
	// slot. Longer makes more answers late than it saves from refusal.
	maxWaitShare = 0.3
	// retryBudgetShare keeps the entries together below the retry budget: what they
	// know of each other's number lags.
	retryBudgetShare = 0.75
	// retryAfterJitter spreads the return of refused callers over so much time.
	retryAfterJitter = time.Second
	// minRetryAfter lets a burst pass. A request that comes back is late in any
	// case, so it loses nothing by coming later; callers wait up to a third of the
	// time that they have left, which is 2 s at most.
	minRetryAfter = 800 * time.Millisecond
	// resumedMaxWait is how long an interrupted stream waits for another endpoint. Its
	// caller gives it up after a silence of 2 s or more.
	resumedMaxWait = 1200 * time.Millisecond
	// localJitterMs spreads the choices of entries that place requests without a broker.
	localJitterMs = 60
)

// dispatcher holds the pools of all services and the requests that wait for a
// slot. It adds a lock and waiting to package placement.
type dispatcher struct {
	ratio, slack float64
	slots        *slotCoordinator

	mu      sync.Mutex
	pools   map[string]*poolState
	entries int // that share the retry budget
	// retryDetectors tell later retryDetectors of callers from first ones, by route.
	retryDetectors map[string]*admission.RetryDetector
}

type poolState struct {
	*placement.Pool
	queue       placement.WaitQueue[chan struct{}]
	retryBudget *admission.RetryBudget
}

func newDispatcher(ratio, slack float64, s *slotCoordinator) *dispatcher {
	return &dispatcher{slots: s, ratio: ratio * retryBudgetShare, slack: slack * retryBudgetShare, pools: map[string]*poolState{}, entries: 1, retryDetectors: map[string]*admission.RetryDetector{}}
}

// pool returns a service's pool. The caller holds mu.
func (d *dispatcher) pool(service string) *poolState {
	p := d.pools[service]
	if p == nil {
		p = &poolState{Pool: placement.NewPool(placement.Config{JitterMs: localJitterMs}), retryBudget: admission.NewRetryBudget(d.ratio)}
		d.setRetryBurst(p)
		d.pools[service] = p
	}
	return p
}

// setRetryBurst divides the burst of retries among the entries.
func (d *dispatcher) setRetryBurst(p *poolState) {
	p.retryBudget.Burst = d.slack / float64(max(1, d.entries))
	p.retryBudget.PerSecond = 0
}

// update replaces the endpoints of every service.
func (d *dispatcher) update(table *routing.Table, endpoints map[string][]placement.Endpoint, entries int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = entries
	for name := range endpoints {
		d.pool(name)
	}
	for name, p := range d.pools {
		var engine *routing.Engine
		if s := table.Service(name); s != nil {
			engine = s.Engine
		}
		p.SetSharers(entries)
		p.Update(engine, endpoints[name], time.Now())
		d.setRetryBurst(p)
		d.wakeNext(p)
	}
}

// depositRetry counts a request of a service.
func (d *dispatcher) depositRetry(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool(service).retryBudget.Deposit()
}

// timeSpent is how long a request's caller has tried before.
func (d *dispatcher) timeSpent(q *request) time.Duration {
	if q.route.Kind != routing.Stream {
		return 0 // no event of others can be late
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.retryDetectors[q.route.Name]
	if a == nil {
		a = &admission.RetryDetector{MinRetryDelay: minRetryAfter}
		d.retryDetectors[q.route.Name] = a
	}
	return a.Observe(q.call.Patience)
}

// withdrawRetry spends one more send of a request, if the budget has one.
func (d *dispatcher) withdrawRetry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).retryBudget.TryWithdraw(time.Now())
}

// place finds an endpoint and counts the request as running there. Engines are
// placed by their brokers. Where none answers, and for plain services, this entry
// decides by what it knows itself.
func (d *dispatcher) place(q *request, r placement.Request) (placement.Choice, *refusal) {
	if d.slots.brokered(q.service) {
		if choice, refused, ok := d.placeByBroker(q, r); ok {
			return choice, refused
		}
	}
	return d.placeLocally(q, r)
}

// prefill is what the request brings to an endpoint.
func (q *request) prefill() placement.Prefill {
	return placement.Prefill{PromptTokens: q.call.PromptTokens}
}

// maxWait is how long a request may wait for a slot. One that was placed before
// has lost its slot with its endpoint, and waits anew.
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

// placeByBroker gets a place from a broker. Ok is false when none answered.
func (d *dispatcher) placeByBroker(q *request, r placement.Request) (choice placement.Choice, refused *refusal, ok bool) {
	now := time.Now()
	a := placement.SlotRequest{Request: r, Resumed: q.resumed, MaxWait: q.maxWait(now)}
	switch {
	case q.resumed && q.route.GapObjective > 0:
		a.TimeLeft = max(time.Millisecond, q.record.lastEvent.Add(q.route.GapObjective).Sub(now))
	case !q.resumed && q.route.Objective > 0:
		a.TimeLeft = max(time.Millisecond, q.arrived.Add(q.route.Objective-q.spent).Sub(now))
	}
	d.mu.Lock()
	ejected := d.pool(q.service).Ejected(now)
	d.mu.Unlock()
	a.Exclude = slices.Concat(r.Exclude, ejected[:min(len(ejected), maxExcluded)])
	p, ok := d.slots.requestSlot(q.ctx, q.service, a)
	q.record.broker, q.record.slotRequests = p.broker, q.record.slotRequests+p.requests
	if q.ctx.Err() != nil {
		return choice, &refusal{status: http.StatusServiceUnavailable, reason: NoSlot, retryAfter: minRetryAfter}, true
	}
	if !ok {
		return choice, nil, false
	}
	q.late = q.late || p.response.Late
	if p.response.Verdict != placement.Placed {
		q.record.slotInterval, q.record.ahead = p.response.SlotInterval, p.response.Ahead
		return choice, placementRefusal(p.response.Verdict, retryAfter(p.response)), true
	}
	q.slot = p.sequence
	d.mu.Lock()
	d.pool(q.service).Begin(p.choice.ID, r.Prefill())
	d.mu.Unlock()
	q.inPrefill = true
	return p.choice, nil, true
}

// placeLocally finds an endpoint by what this entry knows itself. A request that finds
// every slot in use waits in line if a slot is due soon enough, also when an
// endpoint failed it before: the slots of the others are in use when one crashes
// under load.
func (d *dispatcher) placeLocally(q *request, r placement.Request) (placement.Choice, *refusal) {
	deadline := time.Now().Add(q.maxWait(time.Now()))
	var turn chan struct{}
	for {
		now := time.Now()
		d.mu.Lock()
		p := d.pool(q.service)
		choice, verdict := p.Place(r, now)
		if verdict == placement.Placed && (turn != nil || p.queue.Len() == 0 || choice.Load.Running == 0) {
			p.Begin(choice.ID, r.Prefill())
			q.inPrefill = true
			if turn != nil {
				d.wakeNext(p) // more than one slot may have become free
			}
			d.mu.Unlock()
			return choice, nil
		}
		if verdict == placement.NoEndpoint || !p.queue.ServedWithin(deadline.Sub(now), p.NextSlot(r, now)) {
			pause := d.localRetryAfter(p, r, now)
			d.mu.Unlock()
			return choice, placementRefusal(verdict, pause)
		}
		turn = make(chan struct{})
		p.queue.Push(deadline, turn)
		d.mu.Unlock()
		timer := time.NewTimer(deadline.Sub(now))
		select {
		case <-turn:
		case <-timer.C:
		case <-q.ctx.Done():
		}
		timer.Stop()
		d.dequeue(q.service, turn)
		if q.ctx.Err() != nil {
			return choice, &refusal{status: http.StatusServiceUnavailable, reason: NoSlot, retryAfter: minRetryAfter}
		}
	}
}

func placementRefusal(v placement.Verdict, pause time.Duration) *refusal {
	reason := NoSlot
	if v == placement.NoEndpoint {
		reason = NoEndpoint
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: pause}
}

// dequeue takes a request out of the line, if it is still there.
func (d *dispatcher) dequeue(service string, turn chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool(service).queue.Remove(turn)
}

// wakeNext gives the first in line another try. The caller holds mu.
func (d *dispatcher) wakeNext(p *poolState) {
	if turn, ok := p.queue.Pop(); ok {
		close(turn)
	}
}

// localRetryAfter is when a request that was refused here should come back.
func (d *dispatcher) localRetryAfter(p *poolState, r placement.Request, now time.Time) time.Duration {
	return retryAfter(placement.SlotResponse{SlotInterval: p.NextSlot(r, now), Ahead: p.queue.Len()})
}

// retryAfter is when a refused request should come back: when the slots that are
// due cover those that wait, spread so that callers do not return together.
func retryAfter(a placement.SlotResponse) time.Duration {
	due := a.SlotInterval * time.Duration(a.Ahead+1)
	return minRetryAfter + due + rand.N(retryAfterJitter)
}

// retryAfter is when a request that endpoints refused should come back.
func (d *dispatcher) retryAfter(q *request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.localRetryAfter(d.pool(q.service), placement.Request{}, time.Now())
}

// firstEvent counts a request's prompt as read, and its first event as so much
// later than modelled.
func (d *dispatcher) firstEvent(q *request, id string, lag time.Duration) {
	d.slots.firstEvent(q.slot, lag)
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(q.service)
	p.FirstEvent(id, q.prefill())
	p.RecordLag(id, lag, time.Now())
	d.wakeNext(p)
}

// end counts a send as ended and returns how long this entry leaves the endpoint out
// for it.
func (d *dispatcher) end(q *request, c placement.Choice, r placement.Result) time.Duration {
	d.slots.end(q.slot, r)
	left := placement.PrefillState{InPrefill: q.inPrefill, Prefill: q.prefill()}
	q.slot, q.inPrefill = 0, false
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(q.service)
	ejected := p.End(c.ID, c.Incarnation, left, r, time.Now())
	d.wakeNext(p)
	return ejected
}

func (d *dispatcher) recordLoad(service, id string, l protocol.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool(service).RecordLoad(id, l.Running, l.Waiting, time.Now())
}
