package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/admission"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

// admitter holds one admission controller per pool, makes them safe for
// concurrent use and blocks requests until they are granted a slot or refused.
type admitter struct {
	cfg   admission.Config
	fleet *fleet
	peers *peers

	mu          sync.Mutex
	pools       map[string]*admission.Controller
	waiting     map[uint64]chan *admission.Refusal
	lastID      uint64
	retryBudget *admission.RetryBudget
}

func newAdmitter(s Settings, f *fleet, p *peers) *admitter {
	limits := map[string]admission.Limit{}
	for name, o := range s.Organisations {
		limits[name] = admission.Limit{Weight: o.Weight, MaxInFlight: o.MaxInFlight}
	}
	return &admitter{
		cfg:   admission.Config{Entry: s.Instance, Entries: p.count(), MaxQueueWait: time.Duration(s.QueueWait), Limits: limits},
		fleet: f, peers: p,
		pools:       map[string]*admission.Controller{},
		waiting:     map[uint64]chan *admission.Refusal{},
		retryBudget: admission.NewRetryBudget(s.RetryRatio),
	}
}

// slot is permission to run one request in a pool.
type slot struct {
	admitter     *admitter
	pool         string
	organisation string
	started      time.Time
	once         sync.Once
}

// release returns the slot. Only the duration of a completed request counts
// towards the pool's estimated service time.
func (s *slot) release(completed bool) {
	s.once.Do(func() {
		now := time.Now()
		duration := time.Duration(0)
		if completed {
			duration = now.Sub(s.started)
		}
		a := s.admitter
		a.mu.Lock()
		defer a.mu.Unlock()
		a.pools[s.pool].Done(s.organisation, duration)
		a.dispatch(s.pool, now)
	})
}

// acquire waits for a slot. It returns an error when the request is refused or
// its context ends first.
func (a *admitter) acquire(ctx context.Context, c *call) (*slot, *apiError) {
	now := time.Now()
	priority, _ := strconv.Atoi(c.priority)
	a.mu.Lock()
	a.retryBudget.Deposit()
	a.lastID++
	r := admission.Request{ID: a.lastID, Organisation: c.organisation, Deadline: c.deadline, Priority: priority}
	pool := a.controller(c.pool, now)
	admitted, refused := pool.Submit(r, now)
	var decision chan *admission.Refusal
	if !admitted && refused == nil {
		decision = make(chan *admission.Refusal, 1)
		a.waiting[r.ID] = decision
		a.dispatch(c.pool, now) // submitting may have displaced a waiting request
	}
	a.mu.Unlock()
	if decision != nil {
		select {
		case refused = <-decision:
		case <-ctx.Done():
			return nil, a.cancelWait(r, c)
		}
	}
	if refused != nil {
		return nil, refusalError(*refused, c)
	}
	return &slot{admitter: a, pool: c.pool, organisation: c.organisation, started: time.Now()}, nil
}

// cancelWait removes a waiting request whose context ended. A slot granted in the
// meantime goes to the next waiting request.
func (a *admitter) cancelWait(r admission.Request, c *call) *apiError {
	a.mu.Lock()
	defer a.mu.Unlock()
	if decided, waits := a.waiting[r.ID]; waits {
		delete(a.waiting, r.ID)
		_ = decided
		a.pools[c.pool].Cancel(r.ID, r.Organisation)
	} else {
		a.pools[c.pool].Done(r.Organisation, 0)
		a.dispatch(c.pool, time.Now())
	}
	return refusal(http.StatusServiceUnavailable, outcome.CallerGone, "the caller closed the connection or its deadline passed")
}

// controller returns the controller of a pool, created on first use, with its
// slot count updated. The caller holds mu.
func (a *admitter) controller(name string, now time.Time) *admission.Controller {
	p := a.pools[name]
	if p == nil {
		p = admission.New(a.cfg)
		p.SetPeerReports(a.peers.demandReports(name, now))
		a.pools[name] = p
	}
	p.SetSlots(a.peers.sampledSlots(a.fleet.poolSlots(name)))
	return p
}

// dispatch delivers the controller's decisions to waiting requests. The caller
// holds mu.
func (a *admitter) dispatch(name string, now time.Time) {
	granted, refused := a.pools[name].Dispatch(now)
	for _, id := range granted {
		a.notify(id, nil)
	}
	for _, r := range refused {
		a.notify(r.ID, &r)
	}
}

func (a *admitter) notify(id uint64, refused *admission.Refusal) {
	if decided, waits := a.waiting[id]; waits {
		delete(a.waiting, id)
		decided <- refused
	}
}

// tick updates slot counts and peer reports, and refuses requests that have
// waited too long.
func (a *admitter) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.pools {
		p.SetSlots(a.peers.sampledSlots(a.fleet.poolSlots(name)))
		p.SetPeerReports(a.peers.demandReports(name, now))
		a.dispatch(name, now)
	}
}

// rebalance redistributes the organisations' limits between entries after a
// complete round of reports.
func (a *admitter) rebalance(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range a.fleet.pools() {
		p := a.controller(name, now)
		p.SetPeerReports(a.peers.demandReports(name, now))
		p.Rebalance(a.cfg.Entries)
	}
}

// demand returns this entry's demand in each pool.
func (a *admitter) demand() map[string]admission.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	pools := map[string]admission.Report{}
	for name, p := range a.pools {
		if report := p.Report(); len(report) > 0 {
			pools[name] = report
		}
	}
	return pools
}

// takeRetry takes a retry from the budget, if one is left.
func (a *admitter) takeRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryBudget.TryWithdraw(time.Now())
}

func refusalError(r admission.Refusal, c *call) *apiError {
	reason := outcome.Reason(r.Cause)
	status, message := http.StatusServiceUnavailable, ""
	switch r.Cause {
	case admission.OverShare:
		status = http.StatusTooManyRequests
		message = "the organisation's fair share of this pool is in use and the wait would be too long"
	case admission.OverLimit:
		status = http.StatusTooManyRequests
		message = "the organisation's limit of requests in progress is reached"
	case admission.DeadlineTooShort:
		message = "the request cannot finish before its deadline"
	case admission.NoSlots:
		message = "no endpoint of this pool is available"
	}
	return refusal(status, reason, message).withRetryAfter(r.RetryAfter)
}
