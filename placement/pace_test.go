package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

// predicted returns the modelled time to the first event at the only endpoint of a pool.
func predicted(p *placement.Pool, now time.Time) time.Duration {
	choice, _ := p.Place(placement.Request{PromptTokens: 1000, Zone: "a"}, now)
	return choice.ModelTTFT
}

// Guards against an estimate that one report moves far, that leaves its bounds, or that does not
// return to the usual pace.
func TestPaceEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := pool(endpoint("a"))
		usual, now := predicted(p, start), start
		factor := func() float64 { return float64(predicted(p, now)) / float64(usual) }
		for range rapid.IntRange(0, 50).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			report := rapid.SampledFrom([]float64{-1, 0, 0.001, 0.2, 0.5, 1, 2.5, 8, 50, 101, math.Inf(1), math.NaN()}).Draw(t, "report")
			before := factor()
			p.RecordPace("a", report, now)
			after := factor()
			switch {
			case !(report >= 0.01 && report <= 100):
				if after != before {
					t.Fatalf("report %v changes the estimate from %v to %v", report, before, after)
				}
			case math.Abs(after-before) > 0.3*math.Abs(min(max(report, 0.5), 8)-before)+1e-6:
				t.Fatalf("report %v moves the estimate from %v to %v", report, before, after)
			}
			if after < 0.5-1e-6 || after > 8+1e-6 {
				t.Fatalf("estimate %v is out of bounds", after)
			}
		}
		now = now.Add(20 * time.Second)
		if f := factor(); math.Abs(f-1) > 1e-3 {
			t.Fatalf("estimate %v after 20 s without a report, want 1", f)
		}
	})
}

// Guards against a request that is sent to a slow endpoint although a usual one is free, against
// predictions that leave the pace out, and against a wrong half-life.
func TestPaceInPredictions(t *testing.T) {
	is := is.New(t)
	p := pool(endpoint("a"), endpoint("b"))
	usual := predicted(p, start)
	p.RecordPace("a", 8, start) // the estimate is 3.1
	choice, _ := p.Place(placement.Request{PromptTokens: 1000, Zone: "a"}, start)
	is.Equal(choice.ID, "b")
	slow := placement.Request{PromptTokens: 1000, Zone: "a", Only: "a"}
	choice, _ = p.Place(slow, start)
	is.Equal(math.Round(100*float64(choice.ModelTTFT)/float64(usual)), 310.0)
	choice, _ = p.Place(slow, start.Add(time.Second))
	is.Equal(math.Round(100*float64(choice.ModelTTFT)/float64(usual)), 205.0)

	bounded := slow // it would begin too late on old weights
	bounded.Bounds = []placement.WeightsBound{{Version: 9, By: start.Add(2*usual + 150*time.Millisecond)}}
	_, verdict := p.Place(bounded, start)
	is.Equal(verdict, placement.NoEndpoint)
	bounded.Only = "b"
	_, verdict = p.Place(bounded, start)
	is.Equal(verdict, placement.Placed)

	gap := placement.Request{PromptTokens: 3000, Zone: "a", GapObjective: 400 * time.Millisecond}
	for id, want := range map[string]placement.Verdict{"a": placement.Full, "b": placement.Placed} {
		p.Begin(id, placement.Prefill{PromptTokens: 3000})
		gap.Only = id
		_, verdict = p.Place(gap, start) // it would interrupt streams for too long
		is.Equal(verdict, want)
	}
}

// Guards against slow servers of plain services that are used like the others, also when idle.
func TestPaceOfPlainServices(t *testing.T) {
	is := is.New(t)
	p := placement.NewPool(placement.Config{})
	p.Update(nil, []placement.Endpoint{{ID: "a", Incarnation: 1, Zone: "a"}, {ID: "b", Incarnation: 1, Zone: "a"}}, start)
	is.Equal(predicted(p, start), time.Duration(0)) // unchanged without a report
	p.RecordPace("a", 2.5, start)
	choice, _ := p.Place(placement.Request{Zone: "a"}, start)
	is.Equal(choice.ID, "b")
	p.Begin("b", placement.Prefill{})
	choice, _ = p.Place(placement.Request{Zone: "a"}, start) // 30 ms at "b", 14 ms at "a"
	is.Equal(choice.ID, "a")
}

// Guards against a broker that does not use the pace, or counts it for another endpoint.
func TestBrokerUsesPace(t *testing.T) {
	is := is.New(t)
	b := placement.NewBroker(placement.Config{})
	b.Update(engine, []placement.Endpoint{endpoint("a"), endpoint("b")}, start)
	request := func(sequence uint64) placement.Choice {
		b.RequestSlot(placement.SlotRequest{SlotRequestID: placement.SlotRequestID{Sequence: sequence}, Request: placement.Request{Zone: "a"}}, start)
		return b.TakeResponses()[0].Choice
	}
	is.Equal(request(1).ID, "a")
	b.RecordPace(placement.SlotRequestID{Sequence: 1}, 2.5, start)
	b.RecordPace(placement.SlotRequestID{Sequence: 7}, 8, start) // unknown
	b.End(placement.SlotRequestID{Sequence: 1}, placement.Success, start)
	is.Equal(request(2).ID, "b")
}

// unevenLoad is a discrete-event simulation of engines of which some are slow at any time. Callers
// are refused if no engine can begin in time, and each answer states the pace.
type unevenLoad struct {
	simulation
	slow  map[string]bool
	known bool // the reports are used
}

const (
	unevenEngines = 100
	slowEngines   = 15
	slowPace      = 2.5
	paceInterval  = 600 * time.Millisecond
	objective     = 400 * time.Millisecond
)

func (u *unevenLoad) change() {
	clear(u.slow)
	for _, i := range u.random.Perm(unevenEngines)[:slowEngines] {
		u.slow[fmt.Sprint("e", i)] = true
	}
	u.after(paceInterval, u.change)
}

func (u *unevenLoad) pace(id string) float64 {
	if u.slow[id] {
		return slowPace
	}
	return 1
}

func (u *unevenLoad) run(length time.Duration) (t counts) {
	service := time.Duration(engine.ServiceMs() * float64(time.Millisecond))
	gap := time.Duration(float64(service) / (u.demand * unevenEngines * float64(engine.Slots)))
	request := func() {
		t.asked++
		r := placement.Request{PromptTokens: 977, Zone: "a", GapObjective: objective}
		choice, verdict := u.pool.Place(r, u.now)
		if verdict != placement.Placed || choice.TTFT > objective {
			t.refused++
			return
		}
		arrived, id, pace := u.now, choice.ID, u.pace(choice.ID)
		load := choice.Load
		usualMs := 0.5*engine.DecodePassMs(load.Running) + engine.PrefillMs(load.PrefillTokens) + engine.PrefillMs(977) + engine.DecodePassMs(load.Running+1)
		first := time.Duration(pace * usualMs * float64(time.Millisecond))
		u.pool.Begin(id, r.Prefill())
		u.after(first, func() {
			u.pool.FirstEvent(id, r.Prefill())
			u.pool.RecordLag(id, first-choice.ModelTTFT, u.now)
			if u.known {
				u.pool.RecordPace(id, u.pace(id), u.now)
			}
			if u.now.Sub(arrived) <= objective {
				t.onTime++
			} else {
				t.late++
			}
		})
		u.after(time.Duration(pace*float64(service)), func() { u.pool.End(id, 1, placement.PrefillState{}, placement.Success, u.now) })
	}
	end := u.now.Add(length)
	var arrive func()
	arrive = func() {
		request()
		u.after(time.Duration(u.random.ExpFloat64()*float64(gap)), arrive)
	}
	u.change()
	arrive()
	for u.now.Before(end) {
		next := heap.Pop(&u.events).(event)
		u.now = next.at
		next.do()
	}
	return t
}

func simulateUneven(known bool, demand float64, seed uint64) counts {
	var endpoints []placement.Endpoint
	for i := range unevenEngines {
		endpoints = append(endpoints, endpoint(fmt.Sprint("e", i)))
	}
	u := &unevenLoad{slow: map[string]bool{}, known: known, simulation: simulation{
		pool: pool(endpoints...), demand: demand, random: rand.New(rand.NewPCG(seed, 4)), now: start,
	}}
	return u.run(20 * time.Second)
}

// Guards against an estimate of the pace that makes more answers late than none. 15 of 100 engines
// take 2.5 times the usual time, and others do every 600 ms.
func TestUnevenServers(t *testing.T) {
	for _, demand := range []float64{0.5, 0.7, 0.85} {
		var with, without counts
		for seed := range uint64(2) {
			for known, total := range map[bool]*counts{true: &with, false: &without} {
				c := simulateUneven(known, demand, seed)
				total.asked, total.onTime, total.late, total.refused = total.asked+c.asked, total.onTime+c.onTime, total.late+c.late, total.refused+c.refused
			}
		}
		t.Logf("demand %.2f: with %+v, without %+v", demand, with, without)
		if with.onTime < without.onTime || with.late > without.late/2 || with.refused > without.refused {
			t.Errorf("demand %.2f: with the pace %+v, want more answers on time, half as many late and no more refused than without it: %+v", demand, with, without)
		}
	}
}
