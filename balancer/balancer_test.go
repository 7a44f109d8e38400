package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

const pool = "m"

func fleet(n int, change ...func(i int, e *Endpoint)) []Endpoint {
	var table []Endpoint
	for i := range n {
		e := Endpoint{ID: fmt.Sprintf("e%02d", i), Zone: "z1", Capacity: 4, Ready: true, Probeable: true, Serves: map[string]string{pool: "set"}}
		for _, f := range change {
			f(i, &e)
		}
		table = append(table, e)
	}
	return table
}

func newBalancer(cfg Config, table []Endpoint) *Balancer {
	cfg.Zone = "z1"
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 2)).IntN
	}
	b := New(cfg)
	b.Update(table, epoch)
	return b
}

// Guards against stale reports that make Pick exceed an endpoint's capacity, and
// against picks that violate the request's constraints, over random sequences of
// events.
func TestPickNeverOverfills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := fleet(4, func(i int, e *Endpoint) {
			if i == 3 {
				e.Serves = map[string]string{pool: "other"}
			}
		})
		b := newBalancer(Config{Rand: func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "rand") }}, table)
		now, id := epoch, 0
		running := map[string]string{}
		count := map[string]int{}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				r := Request{Pool: pool, WeightsSet: rapid.SampledFrom([]string{"", "set"}).Draw(t, "set"), PrefixHash: uint64(rapid.IntRange(0, 3).Draw(t, "affinity"))}
				if rapid.Bool().Draw(t, "exclude") {
					r.Exclude = map[string]bool{"e00": true}
				}
				c, ok := b.Pick(r, now)
				if !ok {
					return
				}
				if r.Exclude[c.ID] || r.WeightsSet != "" && c.WeightsSet != r.WeightsSet || b.Ejected(c.ID) {
					t.Fatalf("Pick returned %v, which is excluded, ejected or of another weights set, for request %v", c, r)
				}
				id++
				b.Started(c.ID, fmt.Sprint(id), true, now)
				running[fmt.Sprint(id)] = c.ID
				if count[c.ID]++; count[c.ID] > 4 {
					t.Fatalf("%d requests in flight on %s, capacity 4", count[c.ID], c.ID)
				}
			},
			"finish": func(t *rapid.T) {
				for a, e := range running {
					b.Finished(e, a, rapid.SampledFrom([]Result{Completed, Failed, Refused, Cancelled, Unreachable}).Draw(t, "result"), now)
					delete(running, a)
					count[e]--
					break
				}
			},
			"report": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "i")
				table[i].Sequence++
				table[i].InFlight = rapid.IntRange(0, 4).Draw(t, "reported") // stale, so any number
				b.Update(table, now)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				b.EjectStalled(now)
				for _, e := range b.DueProbes(now) {
					b.Probed(e, rapid.SampledFrom([]Result{Completed, Failed, Refused}).Draw(t, "probe"), now)
				}
			},
			"": func(t *rapid.T) {
				ejected := 0
				for _, s := range b.endpoints {
					if s.ejected && !s.unreachable {
						ejected++
					}
				}
				if float64(ejected) > DefaultMaxEjectedShare*4 {
					t.Fatalf("%d of 4 endpoints ejected, want a share of at most %v", ejected, DefaultMaxEjectedShare)
				}
			},
		})
	})
}

// Guards against a stalled endpoint that is not ejected, and against a restored
// endpoint that gets its full share of requests without a slow start.
func TestStalledEndpointIsEjectedAndSlowStarts(t *testing.T) {
	is := is.New(t)
	b := newBalancer(Config{}, fleet(4, func(_ int, e *Endpoint) { e.Capacity = 20 }))
	b.Started("e00", "a", true, epoch)
	b.Started("e01", "b", true, epoch)
	now := epoch.Add(DefaultStallAfter)
	b.Progress("e01", "b", now)
	is.True(b.Stalled("e00", "a", now))
	is.True(!b.Stalled("e01", "b", now))
	is.Equal(b.EjectStalled(now), []string{"e00"})
	b.Probed("e00", Completed, now.Add(time.Second))
	is.True(b.Ejected("e00")) // the ejection time is not over
	now = now.Add(DefaultBaseEjectionTime)
	b.Probed("e00", Completed, now)
	is.True(!b.Ejected("e00"))
	s := b.endpoints["e00"]
	is.True(s.slowStartFactor(now, DefaultSlowStart) <= slowStartFloor)
	is.Equal(s.slowStartFactor(now.Add(DefaultSlowStart), DefaultSlowStart), 1.0)
	slow := 0
	for range 100 {
		if c, _ := b.Pick(Request{Pool: pool}, now); c.ID == "e00" {
			slow++
		}
	}
	is.True(slow < 10)
}

// Guards against a stalled stream that goes unnoticed because its endpoint still
// makes progress on other streams.
func TestStreamStallsWhileOthersProgress(t *testing.T) {
	is := is.New(t)
	b := newBalancer(Config{}, fleet(1))
	b.Started("e00", "a", true, epoch)
	b.Started("e00", "b", true, epoch)
	b.Progress("e00", "a", epoch.Add(time.Second))
	now := epoch.Add(4 * time.Second)
	b.Progress("e00", "b", now)
	is.True(b.Stalled("e00", "a", now)) // its own tokens stopped
	is.True(!b.Stalled("e00", "b", now))
}

// Guards against cross-zone traffic while the local zone has capacity, and against
// traffic that stays in the local zone when it is full.
func TestZoneFirstThenSpill(t *testing.T) {
	is := is.New(t)
	b := newBalancer(Config{}, fleet(4, func(i int, e *Endpoint) {
		if i >= 2 {
			e.Zone = "z2"
		}
	}))
	zones := map[string]int{}
	for i := range 16 {
		c, ok := b.Pick(Request{Pool: pool}, epoch)
		is.True(ok)
		zones[b.endpoints[c.ID].Zone]++
		if i == 5 {
			is.Equal(zones["z2"], 0)
		}
		b.Started(c.ID, fmt.Sprint(i), true, epoch)
	}
	is.Equal(zones, map[string]int{"z1": 8, "z2": 8})
}

// Guards against prefix affinity that overloads the preferred endpoint.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	is := is.New(t)
	b := newBalancer(Config{}, fleet(4, func(_ int, e *Endpoint) { e.Capacity = 100 }))
	affinity := HashPrefix([]byte("system prompt"))
	first, _ := b.Pick(Request{Pool: pool, PrefixHash: affinity}, epoch)
	load := map[string]int{}
	for i := range 200 {
		c, _ := b.Pick(Request{Pool: pool, PrefixHash: affinity}, epoch)
		if i < 2 {
			is.Equal(c.ID, first.ID)
		}
		b.Started(c.ID, fmt.Sprint(i), true, epoch)
		load[c.ID]++
	}
	is.True(load[first.ID] >= 50)
	is.True(float64(load[first.ID]) <= 50*DefaultAffinityLoadFactor+2)
}

// Guards against low-priority requests that use an endpoint's last slots.
func TestLowPriorityLeavesRoom(t *testing.T) {
	is := is.New(t)
	b := newBalancer(Config{}, fleet(1, func(_ int, e *Endpoint) { e.Capacity = 10 }))
	for i := range 9 {
		b.Started("e00", fmt.Sprint(i), true, epoch)
	}
	_, low := b.Pick(Request{Pool: pool, LowPriority: true}, epoch)
	_, normal := b.Pick(Request{Pool: pool}, epoch)
	is.True(!low)
	is.True(normal)
}

func members(n, zones int, prefix string) []Member {
	var list []Member
	for i := range n {
		list = append(list, Member{Name: fmt.Sprintf("%s%03d", prefix, i), Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return list
}

// Guards against endpoints that far fewer or far more entries use than the mean,
// at the design scale: 370 entries, 800 endpoints, 6 zones.
func TestSubsetsAreEven(t *testing.T) {
	is := is.New(t)
	entries, endpoints := members(370, 6, "entry"), members(800, 6, "endpoint")
	const size = 32
	uses := map[string]int{}
	for _, self := range entries {
		subset := Subset(self, entries, endpoints, size)
		is.Equal(len(subset), size)
		is.Equal(len(slices.Compact(slices.Sorted(slices.Values(subset)))), size)
		local := 0
		for _, name := range subset {
			uses[name]++
			if endpoints[slices.IndexFunc(endpoints, func(m Member) bool { return m.Name == name })].Zone == self.Zone {
				local++
			}
		}
		is.Equal(local, size*3/4)
	}
	lowest, highest := 1<<30, 0
	for _, e := range endpoints {
		lowest, highest = min(lowest, uses[e.Name]), max(highest, uses[e.Name])
	}
	mean := float64(len(entries)*size) / float64(len(endpoints))
	t.Logf("entries per endpoint: lowest %d, mean %.1f, highest %d", lowest, mean, highest)
	is.True(float64(lowest) >= 0.75*mean)
	is.True(float64(highest) <= 1.25*mean)
}

// Guards against the removal of one endpoint changing most of each entry's subset.
func TestSubsetChangesLittle(t *testing.T) {
	is := is.New(t)
	entries, endpoints := members(370, 6, "entry"), members(800, 6, "endpoint")
	moved := 0
	for _, self := range entries {
		before := Subset(self, entries, endpoints, 32)
		after := Subset(self, entries, endpoints[1:], 32)
		for _, name := range before {
			if !slices.Contains(after, name) {
				moved++
			}
		}
	}
	t.Logf("%.2f of 32 endpoints replaced per entry", float64(moved)/370)
	is.True(float64(moved)/370 <= 2)
}
