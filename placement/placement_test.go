package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// engine has the figures of the users' engine specification.
var engine = &routing.Engine{
	Slots: 16, Stride: 5, StepMs: 8.87, PerRequestMs: 0.0388, PerThousandTokensMs: 0.0227, PrefillPerSecond: 19100,
	AttentionMs: 1.47, PrefillChunkTokens: 2048, MeanPromptTokens: 977, MeanAnswerTokens: 94,
}

var start = time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)

func pool(endpoints ...placement.Endpoint) *placement.Pool {
	p := placement.NewPool(placement.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	p.Update(engine, endpoints, start)
	return p
}

func prefillPending(prompt int) placement.PrefillState {
	return placement.PrefillState{InPrefill: true, Prefill: placement.Prefill{PromptTokens: prompt}}
}

func endpoint(id string) placement.Endpoint {
	return placement.Endpoint{ID: id, Incarnation: 1, Address: id, Zone: "a", WeightsVersion: 1}
}

// Guards against placing a request behind a long pending prompt while another endpoint
// with as many requests has finished its prefill.
func TestPendingPrefillCounts(t *testing.T) {
	is := is.New(t)
	p := pool(endpoint("reading"), endpoint("writing"))
	p.Begin("reading", placement.Prefill{PromptTokens: 4000})
	p.Begin("writing", placement.Prefill{PromptTokens: 4000})
	p.FirstEvent("writing", placement.Prefill{PromptTokens: 4000})
	for range 20 {
		choice, verdict := p.Place(placement.Request{PromptTokens: 100, Zone: "a"}, start)
		is.Equal(verdict, placement.Placed)
		is.Equal(choice.ID, "writing")
	}
}

// Guards against placing a request on an unsuitable endpoint: one that drains, has
// incomplete or older weights, or already got the request.
func TestUnsuitableEndpoints(t *testing.T) {
	draining, empty, old, tried, good := endpoint("draining"), endpoint("empty"), endpoint("old"), endpoint("tried"), endpoint("good")
	draining.Draining, empty.WeightsVersion, good.WeightsVersion, tried.WeightsVersion = true, 0, 2, 2
	is := is.New(t)
	p := pool(draining, empty, old, tried, good)
	r := placement.Request{Zone: "a", MinVersion: 2, Exclude: []string{"tried"}}
	choice, verdict := p.Place(r, start)
	is.Equal(verdict, placement.Placed)
	is.Equal(choice.ID, "good")
	p.Update(engine, []placement.Endpoint{draining, empty, old, tried}, start)
	_, verdict = p.Place(r, start)
	is.Equal(verdict, placement.NoEndpoint)
}

// Guards against exceeding the slots of an endpoint that also gets requests from unknown
// pools, which only the endpoint reports.
func TestReportedRequestsTakeSlots(t *testing.T) {
	is := is.New(t)
	p := pool(endpoint("a"))
	p.RecordLoad("a", 10, 6, start)
	_, verdict := p.Place(placement.Request{Zone: "a"}, start)
	is.Equal(verdict, placement.Full)
	_, verdict = p.Place(placement.Request{Zone: "a"}, start.Add(2*time.Second)) // the report is too old
	is.Equal(verdict, placement.Placed)
}

// Guards against using an endpoint that keeps failing: it is ejected, returns with one
// request at a time, and counts as healthy after a success.
func TestEjection(t *testing.T) {
	is := is.New(t)
	p := pool(endpoint("a"))
	now := start
	place := func() placement.Verdict {
		_, verdict := p.Place(placement.Request{Zone: "a"}, now)
		return verdict
	}
	p.Begin("a", placement.Prefill{PromptTokens: 0})
	first := p.End("a", 1, prefillPending(0), placement.ConnectFailed, now)
	is.True(first > 0)
	is.Equal(place(), placement.NoEndpoint)
	now = now.Add(first)
	is.Equal(place(), placement.Placed)
	p.Begin("a", placement.Prefill{PromptTokens: 0})
	is.Equal(place(), placement.NoEndpoint) // one at a time
	second := p.End("a", 1, prefillPending(0), placement.TimedOut, now)
	is.True(second > first)
	now = now.Add(second)
	p.Begin("a", placement.Prefill{PromptTokens: 0})
	p.End("a", 1, prefillPending(0), placement.Success, now)
	p.Begin("a", placement.Prefill{PromptTokens: 0})
	is.Equal(place(), placement.Placed)
}

// Guards against a grey failure: an endpoint that fails 40% of its requests while its
// health check passes must get less than a quarter of its share.
func TestGreyFailure(t *testing.T) {
	is := is.New(t)
	const endpoints = 12
	var list []placement.Endpoint
	for i := range endpoints {
		list = append(list, endpoint(fmt.Sprint("e", i)))
	}
	p := pool(list...)
	random := rand.New(rand.NewPCG(9, 9))
	now := start
	grey, asked := 0, 0
	for range 12000 { // 60 s at 200 requests a second
		now = now.Add(5 * time.Millisecond)
		choice, verdict := p.Place(placement.Request{PromptTokens: 900, Zone: "a"}, now)
		is.Equal(verdict, placement.Placed)
		asked++
		p.Begin(choice.ID, placement.Prefill{PromptTokens: 900})
		result := placement.Success
		if choice.ID == "e0" {
			grey++
			if random.Float64() < 0.4 {
				result = placement.TimedOut
			}
		}
		p.End(choice.ID, 1, prefillPending(900), result, now)
	}
	t.Logf("%d of %d requests went to the failing endpoint", grey, asked)
	is.True(grey*endpoints*4 < asked)
}

// Guards against using an endpoint whose streams all broke at the same moment, and
// against treating single broken answers as a crash.
func TestCrashUnderLoadEjects(t *testing.T) {
	is := is.New(t)
	p := pool(endpoint("a"))
	for range 3 {
		p.Begin("a", placement.Prefill{PromptTokens: 0})
	}
	is.Equal(p.End("a", 1, prefillPending(0), placement.Broken, start), time.Duration(0))
	is.True(p.End("a", 1, prefillPending(0), placement.Broken, start.Add(10*time.Millisecond)) > 0)
	_, verdict := p.Place(placement.Request{Zone: "a"}, start.Add(20*time.Millisecond))
	is.Equal(verdict, placement.NoEndpoint)

	p = pool(endpoint("a"))
	for i := range 20 {
		p.Begin("a", placement.Prefill{PromptTokens: 0})
		result := placement.Success
		if i%5 == 0 {
			result = placement.Broken
		}
		is.Equal(p.End("a", 1, prefillPending(0), result, start.Add(time.Duration(i)*time.Second)), time.Duration(0))
	}
}

// Guards against ejecting endpoints of a service for occasional error statuses: one in
// six is normal for one of the users' request kinds.
func TestOccasionalErrorsDoNotEject(t *testing.T) {
	is := is.New(t)
	p := pool(endpoint("a"))
	for i := range 600 {
		result := placement.Success
		if i%6 == 0 {
			result = placement.ErrorStatus
		}
		p.Begin("a", placement.Prefill{PromptTokens: 0})
		is.Equal(p.End("a", 1, prefillPending(0), result, start), time.Duration(0))
	}
}

// Guards against carrying load and health history over to a new incarnation.
func TestNewIncarnationHasNoHistory(t *testing.T) {
	is := is.New(t)
	p := pool(endpoint("a"))
	p.Begin("a", placement.Prefill{PromptTokens: 500})
	p.End("a", 1, prefillPending(500), placement.ConnectFailed, start)
	next := endpoint("a")
	next.Incarnation = 2
	p.Update(engine, []placement.Endpoint{next}, start)
	_, verdict := p.Place(placement.Request{Zone: "a"}, start)
	is.Equal(verdict, placement.Placed)
	p.Begin("a", placement.Prefill{PromptTokens: 10})
	is.Equal(p.End("a", 1, prefillPending(10), placement.ConnectFailed, start), time.Duration(0)) // a request of the old incarnation
	is.Equal(p.OwnLoads()["a"].Running, 1)
}

// Guards against loads that drift: for any order of events, all loads are zero once
// every request has ended.
func TestLoadsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := pool(endpoint("a"), endpoint("b"))
		type running struct {
			id     string
			prompt int
			first  bool
		}
		var open []running
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "begin") || len(open) == 0 {
				choice, verdict := p.Place(placement.Request{PromptTokens: 10, Zone: "a"}, start)
				if verdict != placement.Placed {
					continue
				}
				prompt := rapid.IntRange(0, 4000).Draw(t, "prompt")
				p.Begin(choice.ID, placement.Prefill{PromptTokens: prompt})
				open = append(open, running{id: choice.ID, prompt: prompt})
				continue
			}
			last := open[len(open)-1]
			open = open[:len(open)-1]
			if rapid.Bool().Draw(t, "first") {
				p.FirstEvent(last.id, placement.Prefill{PromptTokens: last.prompt})
				last.first = true
			}
			p.End(last.id, 1, placement.PrefillState{InPrefill: !last.first, Prefill: placement.Prefill{PromptTokens: last.prompt}}, placement.Success, start)
		}
		for _, r := range open {
			p.End(r.id, 1, prefillPending(r.prompt), placement.Neutral, start)
		}
		if left := p.OwnLoads(); len(left) != 0 {
			t.Fatalf("loads after all requests ended: %v, want none", left)
		}
	})
}

// Guards against queueing a request beyond its deadline, or behind one with a later
// deadline.
func TestWaitQueue(t *testing.T) {
	is := is.New(t)
	var l placement.WaitQueue[int]
	l.Push(0, start.Add(3*time.Second), 3)
	l.Push(0, start.Add(time.Second), 1)
	l.Push(0, start.Add(2*time.Second), 2)
	l.Push(0, start.Add(4*time.Second), 4)
	l.Remove(2)
	is.Equal(l.Len(), 3)
	is.True(l.ServedWithin(0, 400*time.Millisecond, 100*time.Millisecond))
	is.True(!l.ServedWithin(0, 399*time.Millisecond, 100*time.Millisecond))
	for _, want := range []int{1, 3, 4} {
		got, _, ok := l.Pop()
		is.True(ok)
		is.Equal(got, want)
	}
	_, _, ok := l.Pop()
	is.True(!ok)
}

// Guards against all entries overfilling the one engine with free slots while no broker
// responds: 14 entries, 45 engines of 12 slots, all but one reported full. The requests
// for that engine must fit in its slots and its queue of 32; without a limit, 168
// requests went there.
func TestEntriesDoNotOverfillNewEngine(t *testing.T) {
	const entries, engines, slots, queue = 14, 45, 12, 32
	var endpoints []placement.Endpoint
	for i := range engines {
		e := endpoint(fmt.Sprint("e", i))
		e.Slots = slots
		endpoints = append(endpoints, e)
	}
	placed := 0
	for i := range entries {
		p := placement.NewPool(placement.Config{Rand: rand.New(rand.NewPCG(uint64(i), 7))})
		p.Update(engine, endpoints, start)
		p.SetSharers(entries)
		for i := range engines - 1 {
			p.RecordLoad(fmt.Sprint("e", i+1), slots, 0, start)
		}
		for range 20 {
			choice, verdict := p.Place(placement.Request{PromptTokens: 977, Zone: "a"}, start)
			if verdict == placement.Placed {
				p.Begin(choice.ID, placement.Prefill{PromptTokens: 977})
				placed++
			}
		}
	}
	if placed < slots || placed > slots+queue {
		t.Errorf("engine got %d requests, want %d to %d", placed, slots, slots+queue)
	}
}

// Guards against prefills that interrupt the streams of an engine for longer than their
// objective: 400 ms is the prefill of about 6,300 tokens and one pass.
func TestPrefillBoundedByGapObjective(t *testing.T) {
	is := is.New(t)
	p := pool(endpoint("a"))
	r := placement.Request{PromptTokens: 3000, Zone: "a", GapObjective: 400 * time.Millisecond}
	for range 2 {
		_, verdict := p.Place(r, start)
		is.Equal(verdict, placement.Placed)
		p.Begin("a", placement.Prefill{PromptTokens: r.PromptTokens})
	}
	_, verdict := p.Place(r, start)
	is.Equal(verdict, placement.Full)
	p.FirstEvent("a", placement.Prefill{PromptTokens: r.PromptTokens})
	p.FirstEvent("a", placement.Prefill{PromptTokens: r.PromptTokens})
	_, verdict = p.Place(r, start)
	is.Equal(verdict, placement.Placed)
}

// Guards against prompts that make others miss their objective: a new engine gets several
// at once, prefills all of them in one pass and sends all first events at its end. With
// 13 requests and an objective of 500 ms, half of them were late.
func TestPrefillDoesNotDelayPendingRequests(t *testing.T) {
	is := is.New(t)
	p := pool(endpoint("a"))
	r := placement.Request{PromptTokens: 977, Zone: "a", Due: start.Add(500 * time.Millisecond)}
	placed := 0
	for {
		choice, verdict := p.Place(r, start)
		if verdict != placement.Placed {
			break
		}
		placed++
		p.Begin(choice.ID, r.Prefill())
	}
	pass := engine.DecodePassMs(0)/2 + engine.DecodePassMs(placed)
	is.True(pass+engine.PrefillMs(placed*r.PromptTokens) <= 500)
	is.True(placed >= 5)
	// Pending requests that are already late do not block new ones.
	p = pool(endpoint("a"))
	for range 3 {
		p.Begin("a", placement.Prefill{PromptTokens: 3000, Due: start.Add(-time.Second)})
	}
	_, verdict := p.Place(r, start)
	is.Equal(verdict, placement.Placed)
}

// Guards against requests that begin on older weights after the bound: shortly before
// it, an engine only gets a request that is predicted to begin well ahead of it.
func TestRequestsBeginBeforeWeightsBound(t *testing.T) {
	is := is.New(t)
	old, current := endpoint("old"), endpoint("current")
	current.WeightsVersion = 2
	p := pool(old, current)
	for range engine.Slots {
		p.Begin("current", placement.Prefill{})
		p.FirstEvent("current", placement.Prefill{})
	}
	place := func(left time.Duration) placement.Verdict {
		_, verdict := p.Place(placement.Request{PromptTokens: 977, Zone: "a", Bounds: []placement.WeightsBound{{Version: 2, By: start.Add(left)}}}, start)
		return verdict
	}
	is.Equal(place(time.Second), placement.Placed)
	is.Equal(place(250*time.Millisecond), placement.Full) // must wait for an endpoint with current weights
	p.Begin("old", placement.Prefill{PromptTokens: 10000})
	is.Equal(place(time.Second), placement.Full)
}

// Guards against placing long answers on an endpoint that is about to drain and load
// weights: it would accept no requests until they end. Short answers may use it until
// then.
func TestOnlyShortAnswersBeforeDrain(t *testing.T) {
	is := is.New(t)
	p := placement.NewPool(placement.Config{})
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	soonDraining := placement.Endpoint{ID: "leaving", Incarnation: 1, Slots: 8, WeightsVersion: 1, DrainsIn: 1200 * time.Millisecond}
	engine := &routing.Engine{Slots: 8, StepMs: 10, PrefillPerSecond: 10_000, MeanPromptTokens: 100, MeanAnswerTokens: 100, Stride: 4}
	update := func(at time.Time) { p.Update(engine, []placement.Endpoint{soonDraining}, at) }
	place := func(answer int, at time.Time) placement.Verdict {
		_, verdict := p.Place(placement.Request{PromptTokens: 100, AnswerTokens: answer}, at)
		return verdict
	}
	update(now)
	is.Equal(place(50, now), placement.Placed) // about 0.5 s
	is.Equal(place(0, now), placement.Placed)  // of the usual length, about 1 s
	is.Equal(place(300, now), placement.Full)
	later := now.Add(900 * time.Millisecond)
	update(later) // a repeated DrainsIn does not postpone the drain
	is.Equal(place(50, later), placement.Placed)
	is.Equal(place(100, later), placement.Full)
	// A stager that has stopped must not leave its engine idle.
	is.Equal(place(300, now.Add(3*time.Second)), placement.Placed)
	soonDraining.DrainsIn = 0
	update(later)
	is.Equal(place(300, later), placement.Placed)
}
