package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

// simulation is a discrete-event simulation of overload: one entry, several engines, and
// callers that retry once after a refusal. Each stream holds its slot for the mean
// service time.
type simulation struct {
	pool     *placement.Pool
	markLate bool // mark retries as late
	engines  int
	demand   float64 // as a multiple of the capacity
	random   *rand.Rand
	events   eventQueue
	now      time.Time
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, k int) bool { return q[i].at.Before(q[k].at) }
func (q eventQueue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (p *simulation) after(d time.Duration, do func()) { heap.Push(&p.events, event{p.now.Add(d), do}) }

type counts struct{ asked, onTime, late, refused int }

func (p *simulation) run(length time.Duration) counts {
	var t counts
	service := time.Duration(engine.ServiceMs() * float64(time.Millisecond))
	gap := time.Duration(float64(service) / (p.demand * float64(p.engines*engine.Slots)))
	var request func(retry bool)
	request = func(retry bool) {
		choice, verdict := p.pool.Place(placement.Request{PromptTokens: 977, Zone: "a", Late: retry && p.markLate}, p.now)
		if verdict != placement.Placed {
			if retry {
				t.refused++
				return
			}
			p.after(800*time.Millisecond+time.Duration(p.random.Int64N(int64(time.Second))), func() { request(true) })
			return
		}
		if retry {
			t.late++
		} else {
			t.onTime++
		}
		p.pool.Begin(choice.ID, placement.Prefill{PromptTokens: 977})
		p.after(choice.TTFT, func() { p.pool.FirstEvent(choice.ID, placement.Prefill{PromptTokens: 977}) })
		p.after(service, func() { p.pool.End(choice.ID, 1, placement.PrefillState{}, placement.Success, p.now) })
	}
	end := p.now.Add(length)
	var arrive func()
	arrive = func() {
		if p.now.After(end) {
			return
		}
		t.asked++
		request(false)
		p.after(time.Duration(p.random.ExpFloat64()*float64(gap)), arrive)
	}
	arrive()
	for p.events.Len() > 0 {
		next := heap.Pop(&p.events).(event)
		p.now = next.at
		next.do()
	}
	return t
}

func simulateOverload(markLate bool, demand float64) counts {
	var endpoints []placement.Endpoint
	const engines = 12
	for i := range engines {
		endpoints = append(endpoints, endpoint(string(rune('a'+i))))
	}
	p := &simulation{
		pool: pool(endpoints...), markLate: markLate, engines: engines, demand: demand,
		random: rand.New(rand.NewPCG(3, 4)), now: start,
	}
	return p.run(60 * time.Second)
}

// Guards against spending capacity on late requests while new ones are refused. The load
// is 1.3 and 2 times the capacity for a minute; at least 0.9 of the capacity must go to
// requests that meet their objective.
func TestOverloadPrefersNewRequests(t *testing.T) {
	for _, demand := range []float64{1.3, 2} {
		got, unmarked := simulateOverload(true, demand), simulateOverload(false, demand)
		share := float64(got.onTime) * demand / float64(got.asked)
		t.Logf("demand %.1f: on time %d, late %d, refused %d of %d; with retries not marked late: on time %d, late %d",
			demand, got.onTime, got.late, got.refused, got.asked, unmarked.onTime, unmarked.late)
		if share < 0.9 {
			t.Errorf("demand %.1f: %.2f of the capacity served requests on time, want at least 0.90", demand, share)
		}
		if got.onTime <= unmarked.onTime {
			t.Errorf("demand %.1f: %d requests on time with retries marked late, want more than the %d without", demand, got.onTime, unmarked.onTime)
		}
	}
}

// Guards against refusing retries below capacity.
func TestRetriesServedBelowCapacity(t *testing.T) {
	got := simulateOverload(true, 0.6)
	if got.refused > 0 {
		t.Errorf("refused %d of %d requests at 0.6 of the capacity, want 0", got.refused, got.asked)
	}
}
