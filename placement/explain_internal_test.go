package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/routing"
)

var explainStart = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

var explainEngine = &routing.Engine{
	Slots: 4, Stride: 8, StepMs: 6, PerRequestMs: 0.4, PerThousandTokensMs: 0.1, PrefillPerSecond: 9000, AttentionMs: 1,
	PrefillChunkTokens: 2048, MeanAnswerTokens: 300, MeanPromptTokens: 900,
}

// dumpPool prints the whole state of a pool, with that of its generator of random numbers.
func dumpPool(p *Pool, source *rand.PCG) string {
	var b strings.Builder
	state, _ := source.MarshalBinary() // never fails
	fmt.Fprintf(&b, "%v %v %v %v %x %v\n", p.cfg.Slots, p.engine, p.sharers, p.noPermits, state, p.pauses)
	fmt.Fprintf(&b, "%+v\n", p.coldPermits)
	for _, id := range slices.Sorted(maps.Keys(p.endpoints)) {
		fmt.Fprintf(&b, "%s %+v\n", id, *p.endpoints[id])
	}
	for _, id := range slices.Sorted(maps.Keys(p.rateLimits)) {
		fmt.Fprintf(&b, "%s %+v\n", id, *p.rateLimits[id])
	}
	return b.String()
}

// dumpBroker prints the whole state of a broker.
func dumpBroker(b *Broker, source *rand.PCG) string {
	var rates []string
	for u, r := range b.arrivals.rates {
		rates = append(rates, fmt.Sprintf("%+v %+v", u, *r))
	}
	slices.Sort(rates)
	return fmt.Sprintf("%s%+v\n%v\n%+v\n%v\n%+v\n%+v\n%+v\n%v", dumpPool(b.pool, source), b.grants, b.lastSeen, b.queue, rates, b.suspects, b.responses, b.peerGroups, b.minVersion) + fmt.Sprint(b.coldPermitsDenied)
}

func drawRequest(t *rapid.T) Request {
	r := Request{
		PromptTokens: rapid.SampledFrom([]int{10, 900, 6000}).Draw(t, "prompt"), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
		MinVersion: uint64(rapid.IntRange(0, 2).Draw(t, "min")), SoftMinVersion: uint64(rapid.IntRange(0, 2).Draw(t, "soft")),
		PreferredVersion: uint64(rapid.IntRange(0, 2).Draw(t, "preferred")), Late: rapid.Bool().Draw(t, "late"),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Regions:  Regions{Bound: rapid.IntRange(0, 3).Draw(t, "bound") == 0, Names: rapid.SampledFrom([][]string{{"r0"}, {"r1", "r2"}, nil}).Draw(t, "regions")},
	}
	if rapid.Bool().Draw(t, "gap") {
		r.GapObjective = 60 * time.Millisecond
	}
	if rapid.IntRange(0, 4).Draw(t, "excludes") == 0 {
		r.Exclude = []string{fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "exclude"))}
	}
	if rapid.IntRange(0, 4).Draw(t, "only") == 0 {
		r.Only = fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "named"))
	}
	if rapid.IntRange(0, 3).Draw(t, "suspect") == 0 {
		r.Suspects, r.Serialized = []uint64{uint64(rapid.IntRange(1, 2).Draw(t, "part"))}, rapid.Bool().Draw(t, "serialized")
	}
	return r
}

func drawSlotRequest(t *rapid.T, sequence uint64, now time.Time) SlotRequest {
	a := SlotRequest{
		SlotRequestID: SlotRequestID{Entry: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "entry"), Sequence: sequence}, Request: drawRequest(t),
		MaxWait:  time.Duration(rapid.SampledFrom([]int{0, 150, 3000}).Draw(t, "wait")) * time.Millisecond,
		TimeLeft: time.Duration(rapid.SampledFrom([]int{0, 1, 500}).Draw(t, "left")) * time.Millisecond,
		Resumed:  rapid.IntRange(0, 4).Draw(t, "resumed") == 0, Redirected: rapid.Bool().Draw(t, "redirected"),
	}
	if rapid.Bool().Draw(t, "bounded") {
		a.Bounds = []WeightsBound{{Version: 2, By: now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "by")) * time.Millisecond)}}
	}
	return a
}

func drawEndpoints(t *rapid.T) []Endpoint {
	var list []Endpoint
	for i := range 5 {
		if rapid.IntRange(0, 5).Draw(t, "absent") == 0 {
			continue
		}
		e := Endpoint{
			ID: fmt.Sprint("e", i), Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, "incarnation")), Zone: []string{"a", "b"}[i%2], Slots: 3,
			Region: fmt.Sprint("r", i%3), WeightsVersion: uint64(rapid.IntRange(0, 2).Draw(t, "version")),
			Draining: rapid.IntRange(0, 6).Draw(t, "draining") == 0,
		}
		e.Evacuated = rapid.IntRange(0, 6).Draw(t, "evacuated") == 0
		e.Leaving = e.Draining && rapid.Bool().Draw(t, "leaving")
		if rapid.IntRange(0, 4).Draw(t, "drains") == 0 {
			e.DrainsIn = 100 * time.Millisecond
		}
		if rapid.IntRange(0, 4).Draw(t, "cold") == 0 {
			e.Cold = Cold{Until: explainStart.Add(20 * time.Second), PerSecond: float64(rapid.IntRange(1, 40).Draw(t, "permits"))}
		}
		list = append(list, e)
	}
	return list
}

// Guards against an explanation that changes what it explains, and against one that differs from
// what the broker then does.
func TestBrokerExplanation(t *testing.T) {
	seen := map[Verdict]int{}
	obstacles := map[Obstacle]int{}
	rapid.Check(t, func(t *rapid.T) {
		source := rand.NewPCG(1, 2)
		b := NewBroker(Config{JitterMs: 40, Rand: rand.New(source)})
		now, sequence := explainStart, uint64(0)
		b.Update(explainEngine, drawEndpoints(t), now)
		b.SetPrimary(rapid.IntRange(0, 3).Draw(t, "not primary") > 0)
		b.SetColdPermits(rapid.IntRange(0, 3).Draw(t, "isolated") > 0)
		granted := func(t *rapid.T) (SlotRequestID, bool) {
			ids := slices.SortedFunc(maps.Keys(b.grants), func(a, b SlotRequestID) int {
				return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Entry, b.Entry))
			})
			if len(ids) == 0 {
				return SlotRequestID{}, false
			}
			return rapid.SampledFrom(ids).Draw(t, "grant"), true
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				sequence++
				a := drawSlotRequest(t, sequence, now)
				before := dumpBroker(b, source)
				var limits []NamedRateLimit
				for range rapid.IntRange(0, 2).Draw(t, "limits") {
					limits = append(limits, NamedRateLimit{
						Endpoint: fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "limited")), Incarnation: 1, PerSecond: float64(rapid.IntRange(1, 9).Draw(t, "per second")), NamedAt: now.Add(-time.Second),
					})
				}
				e := b.Explain(a, limits, now)
				if after := dumpBroker(b, source); after != before {
					t.Fatalf("the explanation changed the state\n%s\n%s", before, after)
				}
				for _, l := range limits {
					b.AddRateLimit(l, now)
				}
				b.RequestSlot(a, now)
				var done SlotResponse
				for _, r := range b.TakeResponses() {
					if r.RequestID == a.SlotRequestID {
						done = r
					}
				}
				seen[done.Verdict]++
				for _, p := range e.Endpoints {
					obstacles[p.Obstacle]++
				}
				if e.Verdict != done.Verdict || e.Choice.ID != done.Choice.ID || e.Choice.TTFT != done.Choice.TTFT || e.Group != done.Group || e.Late != done.Late {
					t.Fatalf("explained %+v, done %+v", e, done)
				}
				if done.SlotInterval > 0 && (e.SlotInterval != done.SlotInterval || e.Ahead != done.Ahead) {
					t.Fatalf("explained %v and %d ahead, told %+v", e.SlotInterval, e.Ahead, done)
				}
				if e.Verdict == Placed && (e.Endpoints[0].ID != done.Choice.ID || e.Endpoints[0].Obstacle != ObstacleNone) {
					t.Fatalf("placed at %s, listed first: %+v", done.Choice.ID, e.Endpoints[0])
				}
			},
			"fill": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "burst") {
					sequence++
					b.RequestSlot(SlotRequest{
						SlotRequestID: SlotRequestID{Entry: "x", Sequence: sequence}, TimeLeft: 400 * time.Millisecond, MaxWait: time.Second,
						Request: Request{PromptTokens: 300, Zone: "a", Priority: rapid.IntRange(0, 2).Draw(t, "filler priority")},
					}, now)
				}
				b.TakeResponses()
			},
			"first": func(t *rapid.T) {
				if id, ok := granted(t); ok {
					b.FirstEvent(id, time.Duration(rapid.IntRange(-50, 600).Draw(t, "lag"))*time.Millisecond, now)
				}
			},
			"end": func(t *rapid.T) {
				if id, ok := granted(t); ok {
					b.End(id, Result(rapid.IntRange(0, int(ErrorStatus)).Draw(t, "result")), now)
				}
			},
			"limit": func(t *rapid.T) {
				if id, ok := granted(t); ok {
					perSecond := float64(rapid.IntRange(0, 5).Draw(t, "rate"))
					b.RecordRateLimit(id, &perSecond, now)
				}
			},
			"pause": func(t *rapid.T) {
				b.pool.Pause(fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "paused")), 2, now.Add(50*time.Millisecond))
			},
			"pace": func(t *rapid.T) {
				b.pool.RecordPace(fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "paced")), rapid.Float64Range(0.5, 6).Draw(t, "pace"), now)
			},
			"summary": func(t *rapid.T) {
				n := rapid.IntRange(0, 3).Draw(t, "free")
				b.RecordSummary("other", Summary{FreeSlots: n, FreeByRegion: map[string]int{"r1": n}}, 2, now)
			},
			"update": func(t *rapid.T) { b.Update(explainEngine, drawEndpoints(t), now) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
				b.Tick(now)
				b.TakeResponses()
			},
		})
	})
	for _, v := range []Verdict{Placed, Full, NoEndpoint, Queued, Redirected, NoAllowedRegion} {
		if seen[v] == 0 {
			t.Errorf("no drawn request was %v", v)
		}
	}
	t.Log(seen, obstacles)
}

// Guards against an order of preference that is not that of Place.
func TestPoolExplanation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := rand.NewPCG(1, 2)
		p := NewPool(Config{JitterMs: 40, Rand: rand.New(source)})
		now := explainStart
		if rapid.Bool().Draw(t, "engines") {
			p.Update(explainEngine, drawEndpoints(t), now)
		} else {
			p.Update(nil, drawEndpoints(t), now)
		}
		p.SetSharers(rapid.IntRange(1, 8).Draw(t, "sharers"))
		for range rapid.IntRange(0, 12).Draw(t, "load") {
			id := fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "at"))
			p.Begin(id, Prefill{PromptTokens: 900, Due: now.Add(300 * time.Millisecond)})
			if rapid.IntRange(0, 5).Draw(t, "limited") == 0 {
				perSecond := 2.0
				p.RecordRateLimit(id, 2, &perSecond, now, now)
			}
		}
		r := drawRequest(t)
		before := dumpPool(p, source)
		list := p.Explain(r, now)
		choice, verdict := p.Preview(r, now)
		if after := dumpPool(p, source); after != before {
			t.Fatalf("the explanation changed the state\n%s\n%s", before, after)
		}
		if _, placed := p.Place(r, now); placed != verdict {
			t.Fatalf("previewed %v, done %v", verdict, placed)
		}
		if len(list) > 0 && (list[0].Obstacle == ObstacleNone) != (verdict == Placed) {
			t.Fatalf("%v with %+v first", verdict, list[0])
		}
		if verdict == Placed && (list[0].ID != choice.ID || list[0].TTFT != choice.TTFT) {
			t.Fatalf("%+v is first, but %+v is placed", list[0], choice)
		}
	})
}

// Guards against obstacles and verdicts without a name, or with that of another.
func TestObstacleNames(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	for o := ObstacleNone; o <= ObstacleSuspectBegins; o++ {
		names[o.String()] = true
	}
	is.Equal(len(names), int(ObstacleSuspectBegins)+1)
	is.Equal(ObstacleNotPrimary.String(), "not-first-broker")
	is.Equal(ObstacleFull.String(), "full")
	is.Equal(NoAllowedRegion.String(), "no-allowed-region")
	is.Equal((ObstacleSuspectBegins + 1).String(), "unknown")
}

// BenchmarkPlace guards the hot path: it must not allocate.
func BenchmarkPlace(b *testing.B) {
	p := NewPool(Config{JitterMs: 40, Rand: rand.New(rand.NewPCG(1, 2))})
	var list []Endpoint
	for i := range 100 {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Incarnation: 1, Zone: "a", Slots: 8, WeightsVersion: 1})
	}
	p.Update(explainEngine, list, explainStart)
	r := Request{PromptTokens: 900, Zone: "a", MinVersion: 1, Priority: 1}
	b.ReportAllocs()
	for b.Loop() {
		p.Place(r, explainStart)
	}
}
