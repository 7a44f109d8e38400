package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// servicePrefix keeps pools of services apart from pools of models.
const servicePrefix = "service/"

// fleet makes a balancer safe for concurrent use and remembers what lies
// outside its model: gate addresses and how to cancel attempts.
type fleet struct {
	mu       sync.Mutex
	balancer *balancer.Balancer
	gates    map[string]wire.Announce
	running  map[string]*runningAttempt
}

type runningAttempt struct {
	endpoint string
	cancel   context.CancelCauseFunc
}

func newFleet(cfg balancer.Config) *fleet {
	if cfg.Rand == nil {
		cfg.Rand = rand.IntN
	}
	return &fleet{
		balancer: balancer.New(cfg),
		gates:    map[string]wire.Announce{},
		running:  map[string]*runningAttempt{},
	}
}

func toEndpoint(a wire.Announce) balancer.Endpoint {
	e := balancer.Endpoint{
		ID: a.Endpoint, Incarnation: a.Incarnation, Sequence: a.Sequence, Zone: a.Zone,
		Capacity: max(1, a.Capacity), InFlight: a.InFlight,
		Ready:  a.Ready && a.Confirmed && !a.Draining,
		Probe:  a.Kind == wire.KindEngine,
		Serves: map[string]string{},
	}
	if a.Kind == wire.KindService {
		e.Serves[servicePrefix+a.Service] = ""
	}
	for _, set := range a.Sets {
		e.Serves[set.Model] = set.SetID
	}
	return e
}

func (f *fleet) update(table map[string]wire.Announce, now time.Time) {
	list := make([]balancer.Endpoint, 0, len(table))
	for _, a := range table {
		list = append(list, toEndpoint(a))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gates = table
	f.balancer.Update(list, now)
}

// start picks an endpoint and records the attempt on it in one step, so that
// concurrent requests see each other.
func (f *fleet) start(r balancer.Request, attempt string, stream bool, cancel context.CancelCauseFunc, now time.Time) (balancer.Choice, string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	choice, ok := f.balancer.Pick(r, now)
	if !ok {
		return choice, "", false
	}
	f.balancer.Started(choice.ID, attempt, stream, now)
	f.running[attempt] = &runningAttempt{endpoint: choice.ID, cancel: cancel}
	return choice, f.gates[choice.ID].GateAddress, true
}

func (f *fleet) progress(endpoint, attempt string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.Progress(endpoint, attempt, now)
}

func (f *fleet) finish(endpoint, attempt string, result balancer.Result, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, attempt)
	f.balancer.Finished(endpoint, attempt, result, now)
}

func (f *fleet) free(pool string, now time.Time) (free, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Free(pool, now)
}

// serves reports whether any endpoint of the table serves the pool, ready or not.
func (f *fleet) serves(pool string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Serves(pool)
}

// check ejects endpoints without progress and ends the attempts that stall.
func (f *fleet) check(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.Tick(now)
	var stalled []*runningAttempt
	for id, a := range f.running {
		if f.balancer.Stalled(a.endpoint, id, now) {
			stalled = append(stalled, a)
		}
	}
	ejected := f.balancer.Check(now)
	for _, a := range stalled {
		a.cancel(errStalled)
	}
	return ejected
}
