package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// servicePrefix separates the names of service pools from those of model pools.
const servicePrefix = "service/"

// fleet makes a balancer safe for concurrent use and adds the state that the
// balancer does not hold: gate addresses and the cancel functions of attempts.
type fleet struct {
	mu              sync.Mutex
	balancer        *balancer.Balancer
	announcements   map[string]wire.Announce
	running         map[string]*runningAttempt
	subsetEndpoints []balancer.Endpoint  // the subset in use, as in the endpoint table
	loads           map[string]wire.Load // newest load of each endpoint in the subset
	outsideSlots    map[string]int       // slots of endpoints outside the subset, by pool
	subsetRule      subsetRule
}

type runningAttempt struct {
	endpoint string
	// fingerprint is empty for requests that run exclusively.
	fingerprint string
	cancel      context.CancelCauseFunc
}

func newFleet(cfg balancer.Config, subset subsetRule) *fleet {
	if cfg.Rand == nil {
		cfg.Rand = rand.IntN
	}
	return &fleet{
		balancer:      balancer.New(cfg),
		announcements: map[string]wire.Announce{},
		loads:         map[string]wire.Load{},
		running:       map[string]*runningAttempt{},
		subsetRule:    subset,
	}
}

func toEndpoint(a wire.Announce) balancer.Endpoint {
	e := balancer.Endpoint{
		ID: a.Endpoint, Incarnation: a.Incarnation, Sequence: a.Sequence, Zone: a.Zone,
		Capacity: max(1, a.Capacity), InFlight: a.InFlight,
		Ready:     a.Ready && a.Confirmed && !a.Draining,
		Probeable: a.Kind == wire.KindEngine,
		Serves:    map[string]string{},
	}
	if a.Kind == wire.KindService {
		e.Serves[servicePrefix+a.Service] = ""
	}
	for _, set := range a.Sets {
		e.Serves[set.Model] = set.SetID
	}
	return e
}

// update applies the endpoint table and returns the endpoints in the subset.
func (f *fleet) update(table map[string]wire.Announce, now time.Time) []string {
	list := make([]balancer.Endpoint, 0, len(table))
	for _, a := range table {
		list = append(list, toEndpoint(a))
	}
	list, outside := f.subsetRule.apply(list)
	names := make([]string, 0, len(list))
	for _, e := range list {
		names = append(names, e.ID)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcements, f.outsideSlots, f.subsetEndpoints = table, outside, list
	f.updateBalancer(now)
	return names
}

// startAttempt picks an endpoint and records the attempt on it atomically, so
// that concurrent picks take each other into account.
func (f *fleet) startAttempt(r balancer.Request, attempt string, stream bool, running *runningAttempt, now time.Time) (balancer.Choice, gateAddress, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	choice, ok := f.balancer.Pick(r, now)
	if !ok {
		return choice, gateAddress{}, false
	}
	f.balancer.Started(choice.ID, attempt, stream, now)
	running.endpoint = choice.ID
	f.running[attempt] = running
	return choice, f.gate(choice.ID), true
}

// cancelCopies cancels the attempts of a request that has become a suspect, except
// one that runs exclusively.
func (f *fleet) cancelCopies(fingerprint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.running {
		if a.fingerprint == fingerprint {
			a.cancel(errSuspect)
		}
	}
}

// gate returns the gate address of an endpoint. The caller holds mu.
func (f *fleet) gate(id string) gateAddress {
	a := f.announcements[id]
	return gateAddress{address: a.GateAddress, incarnation: a.Incarnation}
}

func (f *fleet) recordProgress(endpoint, attempt string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.Progress(endpoint, attempt, now)
}

func (f *fleet) finishAttempt(endpoint, attempt string, result balancer.Result, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, attempt)
	f.balancer.Finished(endpoint, attempt, result, now)
}

// poolSlots returns the slots of a pool over the whole fleet: all slots of ready
// endpoints outside this entry's subset, and the available slots inside it.
func (f *fleet) poolSlots(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, slots := f.balancer.PoolSlots(pool, time.Now())
	return slots + f.outsideSlots[pool]
}

// serves reports whether any endpoint in the table serves the pool, whether or not
// it is ready.
func (f *fleet) serves(pool string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Serves(pool)
}

// hasWeightsSet reports whether any endpoint not in avoid has loaded the weights set.
func (f *fleet) hasWeightsSet(pool, set string, avoid []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, a := range f.announcements {
		if slices.Contains(avoid, id) {
			continue
		}
		for _, s := range a.Sets {
			if s.Model == pool && s.SetID == set {
				return true
			}
		}
	}
	return false
}

// dueProbes returns the endpoints to probe, each with a model that it serves.
func (f *fleet) dueProbes(now time.Time) []probeTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []probeTarget
	for _, id := range f.balancer.DueProbes(now) {
		if sets := f.announcements[id].Sets; len(sets) > 0 {
			targets = append(targets, probeTarget{id: id, gate: f.gate(id), model: sets[0].Model, set: sets[0].SetID})
		}
	}
	return targets
}

func (f *fleet) recordProbe(id string, result balancer.Result, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.Probed(id, result, now)
}

// ejectStalled ejects endpoints without progress, cancels stalled attempts and
// returns the ejected endpoints. It also restores endpoints whose ejection expired.
func (f *fleet) ejectStalled(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.RestoreExpired(now)
	var stalled []*runningAttempt
	for id, a := range f.running {
		if f.balancer.Stalled(a.endpoint, id, now) {
			stalled = append(stalled, a)
		}
	}
	ejected := f.balancer.EjectStalled(now)
	for _, a := range stalled {
		a.cancel(errStalled)
	}
	return ejected
}

// totalSlots returns the number of slots of all endpoints in the subset.
func (f *fleet) totalSlots() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Slots()
}

// pools returns the names of all pools.
func (f *fleet) pools() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Pools()
}
