package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

// play is a discrete-event simulation of overload: one entry, several engines, and
// callers that retry once after a refusal. Each stream holds its slot for the mean
// service time.
type play struct {
	pool    *placement.Pool
	late    bool // mark retries as late
	engines int
	demand  float64 // as a multiple of the capacity
	random  *rand.Rand
	events  queue
	now     time.Time
}

type happening struct {
	at time.Time
	do func()
}

type queue []happening

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, k int) bool { return q[i].at.Before(q[k].at) }
func (q queue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(happening)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (p *play) after(d time.Duration, do func()) { heap.Push(&p.events, happening{p.now.Add(d), do}) }

type tally struct{ asked, onTime, late, refused int }

func (p *play) run(length time.Duration) tally {
	var t tally
	service := time.Duration(engine.ServiceMs() * float64(time.Millisecond))
	gap := time.Duration(float64(service) / (p.demand * float64(p.engines*engine.Slots)))
	var ask func(again bool)
	ask = func(again bool) {
		choice, verdict := p.pool.Place(placement.Request{PromptTokens: 977, Zone: "a", Late: again && p.late}, p.now)
		if verdict != placement.Placed {
			if again {
				t.refused++
				return
			}
			p.after(800*time.Millisecond+time.Duration(p.random.Int64N(int64(time.Second))), func() { ask(true) })
			return
		}
		if again {
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
		ask(false)
		p.after(time.Duration(p.random.ExpFloat64()*float64(gap)), arrive)
	}
	arrive()
	for p.events.Len() > 0 {
		next := heap.Pop(&p.events).(happening)
		p.now = next.at
		next.do()
	}
	return t
}

func overload(late bool, demand float64) tally {
	var endpoints []placement.Endpoint
	const engines = 12
	for i := range engines {
		endpoints = append(endpoints, endpoint(string(rune('a'+i))))
	}
	p := &play{
		pool: pool(endpoints...), late: late, engines: engines, demand: demand,
		random: rand.New(rand.NewPCG(3, 4)), now: start,
	}
	return p.run(60 * time.Second)
}

// Guards against spending capacity on late requests while new ones are refused. The load
// is 1.3 and 2 times the capacity for a minute; at least 0.9 of the capacity must go to
// requests that meet their objective.
func TestOverloadServesFreshRequests(t *testing.T) {
	for _, demand := range []float64{1.3, 2} {
		got, before := overload(true, demand), overload(false, demand)
		share := float64(got.onTime) * demand / float64(got.asked)
		t.Logf("demand %.1f: on time %d, late %d, refused %d of %d; with retries not marked late: on time %d, late %d",
			demand, got.onTime, got.late, got.refused, got.asked, before.onTime, before.late)
		if share < 0.9 {
			t.Errorf("demand %.1f: %.2f of the capacity served requests on time, want at least 0.90", demand, share)
		}
		if got.onTime <= before.onTime {
			t.Errorf("demand %.1f: %d requests on time with retries marked late, want more than the %d without", demand, got.onTime, before.onTime)
		}
	}
}

// Guards against refusing retries below capacity.
func TestCallersWhoComeBackAreServedBelowCapacity(t *testing.T) {
	got := overload(true, 0.6)
	if got.refused > 0 {
		t.Errorf("refused %d of %d requests at 0.6 of the capacity, want 0", got.refused, got.asked)
	}
}
