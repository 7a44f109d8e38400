package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

// coldRule is the rule of a service whose cold endpoints get 18 x 1.5 + 5 requests in any second.
var coldRule = placement.ColdRule{Start: 10 * time.Second, PerSecond: 32}

// worstSecond is the period in which the requests that arrive within one second may have been
// granted: a permit may be used up to PermitTTL after its grant, and requests take up to 100 ms to
// the endpoint.
const worstSecond = time.Second + placement.PermitTTL + 100*time.Millisecond

func track(t *placement.ColdTracker, list []placement.Endpoint, now time.Time) []placement.ColdChange {
	return t.Update(func(string) placement.ColdRule { return coldRule }, map[string][]placement.Endpoint{"quotes": list}, now)
}

func startedAt(at time.Time) uint64 { return uint64(at.UnixMilli()) }

// mostWithin returns the largest number of times within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// primaries are the states of three brokers that follow each other: whether each takes itself for
// the first one. Up to two do so at the same time.
var primaries = [][]bool{
	{true, false, false}, {true, true, false}, {false, true, false}, {false, true, true}, {false, false, true}, {true, false, true},
}

// Guards against more requests at a cold endpoint than it tolerates in any second, for drawn
// sequences of requests, cold times, lists and changes of the first broker, while up to two brokers
// take themselves for the first one.
func TestColdEndpointIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{1, 2, 5, 8}).Draw(t, "bound")
		var brokers []*placement.Broker
		for range 3 {
			brokers = append(brokers, placement.NewBroker(placement.Config{}))
		}
		now, primary := start, rapid.IntRange(0, len(primaries)-1).Draw(t, "first broker")
		until := start.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "cold")) * time.Second)
		update := func() {
			list := []placement.Endpoint{{ID: "a", Incarnation: 1, Slots: 1000, WeightsVersion: 1, Cold: placement.Cold{Until: until, PerSecond: perSecond}}}
			if rapid.IntRange(0, 9).Draw(t, "unlisted") == 0 {
				list = nil
			}
			for i, b := range brokers {
				b.SetPrimary(primaries[primary][i])
				b.Update(engine, list, now)
			}
		}
		update()
		var granted []time.Time // while cold
		sequence := uint64(0)
		request := func(b *placement.Broker) bool {
			sequence++
			id := placement.SlotRequestID{Entry: "entry", Sequence: sequence}
			b.RequestSlot(placement.SlotRequest{SlotRequestID: id, Request: placement.Request{Only: "a"}, Redirected: true}, now)
			placed := b.TakeResponses()[0].Verdict == placement.Placed
			b.End(id, placement.Success, now)
			if placed && now.Before(until) {
				granted = append(granted, now)
			}
			return placed && now.Before(until)
		}
		for range rapid.IntRange(4, 12).Draw(t, "phases") {
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				until = now.Add(time.Duration(rapid.IntRange(-1000, 9000).Draw(t, "cold")) * time.Millisecond)
			case 1, 2:
				primary = (primary + 1) % len(primaries)
			}
			update()
			interval := time.Duration(rapid.IntRange(1, 60).Draw(t, "interval")) * time.Millisecond
			for end := now.Add(time.Duration(rapid.SampledFrom([]int{50, 300, 1500, 3000}).Draw(t, "phase")) * time.Millisecond); now.Before(end); now = now.Add(interval) {
				for _, b := range brokers { // all that they grant
					for request(b) {
					}
				}
			}
		}
		if n := mostWithin(granted, worstSecond); float64(n) > perSecond {
			t.Fatalf("%d requests within a second, want at most %v", n, perSecond)
		}
	})
}

// Guards against an endpoint that becomes cold while it is used: what was granted before counts.
func TestGrantsBeforeColdCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := placement.NewBroker(placement.Config{})
		now := start
		list := []placement.Endpoint{{ID: "a", Incarnation: 1, Slots: 1000, WeightsVersion: 1, Cold: placement.Cold{PerSecond: 32}}}
		b.Update(engine, list, now)
		now = now.Add(2 * time.Second)
		warm := rapid.IntRange(1, 30).Draw(t, "requests while warm")
		var granted []time.Time
		for i := range warm + 400 {
			if i == warm {
				list[0].Cold.Until = now.Add(time.Minute)
				b.Update(engine, list, now)
			}
			now = now.Add(5 * time.Millisecond)
			b.RequestSlot(placement.SlotRequest{SlotRequestID: placement.SlotRequestID{Sequence: uint64(i) + 1}, Redirected: true}, now)
			if b.TakeResponses()[0].Verdict == placement.Placed {
				granted = append(granted, now)
			}
		}
		if n, want := mostWithin(granted, worstSecond), max(warm, 16); n > want {
			t.Fatalf("%d requests within a second, want at most %d", n, want)
		}
	})
}

// Guards against a cold endpoint that is taken for a warm one, by a process that was running
// before or has just started, and against the opposite for a fleet that was there before.
func TestColdAfterStart(t *testing.T) {
	now := start
	long := placement.Endpoint{ID: "long", Incarnation: startedAt(now.Add(-time.Hour))}
	young := placement.Endpoint{ID: "young", Incarnation: startedAt(now.Add(-4 * time.Second))}
	cases := map[string]struct {
		lists [][]placement.Endpoint // one each 3 s
		cold  time.Duration          // from the last list, of its last endpoint
	}{
		"present from the beginning":               {[][]placement.Endpoint{{long}}, 0},
		"start not stated":                         {[][]placement.Endpoint{{{ID: "a"}}}, 0},
		"started shortly before this process":      {[][]placement.Endpoint{{young}}, 9 * time.Second},
		"clock ahead":                              {[][]placement.Endpoint{{{ID: "a", Incarnation: startedAt(now.Add(time.Hour))}}}, 13 * time.Second},
		"started during traffic":                   {[][]placement.Endpoint{{long}, {long, {ID: "a", Incarnation: startedAt(now)}}}, 10 * time.Second},
		"started during traffic, clock behind":     {[][]placement.Endpoint{{long}, {long, {ID: "a", Incarnation: 1}}}, 10 * time.Second},
		"restarted":                                {[][]placement.Endpoint{{long}, {{ID: "long", Incarnation: startedAt(now)}}}, 10 * time.Second},
		"unlisted for a while":                     {[][]placement.Endpoint{{long}, {}, {long}}, 0},
		"reports it":                               {[][]placement.Endpoint{{long}, {{ID: "long", Incarnation: long.Incarnation, ColdFor: 5 * time.Second, Report: 2}}}, 5 * time.Second},
		"reported it, counted from the report":     {[][]placement.Endpoint{{long}, {{ID: "long", Incarnation: long.Incarnation, ColdFor: 5 * time.Second, Report: 2}}, {{ID: "long", Incarnation: long.Incarnation, ColdFor: 5 * time.Second, Report: 2}}}, 2 * time.Second},
		"reports it again":                         {[][]placement.Endpoint{{{ID: "a", ColdFor: 5 * time.Second, Report: 2}}, {{ID: "a", ColdFor: 5 * time.Second, Report: 3}}}, 5 * time.Second},
		"reports that it is warm":                  {[][]placement.Endpoint{{{ID: "a", ColdFor: 5 * time.Second, Report: 2}}, {{ID: "a", Report: 3}}}, 0},
		"zone evacuated":                           {[][]placement.Endpoint{{long}, {{ID: "long", Incarnation: long.Incarnation, Evacuated: true}}}, 0},
		"evacuation ended":                         {[][]placement.Endpoint{{{ID: "long", Incarnation: long.Incarnation, Evacuated: true}}, {long}}, 10 * time.Second},
		"evacuation ended while it was unlisted":   {[][]placement.Endpoint{{{ID: "long", Incarnation: long.Incarnation, Evacuated: true}}, {}, {long}}, 10 * time.Second},
		"evacuation ended before, counted from it": {[][]placement.Endpoint{{{ID: "long", Incarnation: long.Incarnation, Evacuated: true}}, {long}, {long}}, 7 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var tracker placement.ColdTracker
			at := now
			for i, list := range c.lists {
				at = now.Add(time.Duration(i) * 3 * time.Second)
				track(&tracker, list, at)
			}
			last := c.lists[len(c.lists)-1]
			cold := max(0, last[len(last)-1].Cold.Until.Sub(at))
			if cold.Round(10*time.Millisecond) != c.cold {
				t.Errorf("cold for %v, want %v", cold, c.cold)
			}
		})
	}
}

// Guards against a fleet that is limited after its start, because it started shortly before traffic.
func TestFleetStartIsNotCold(t *testing.T) {
	is := is.New(t)
	tracker := placement.ColdTracker{SawFirstRouting: true}
	list := []placement.Endpoint{{ID: "a", Incarnation: startedAt(start.Add(-time.Second))}, {ID: "b", Incarnation: startedAt(start), ColdFor: time.Second}}
	is.Equal(track(&tracker, list, start), []placement.ColdChange{{Service: "quotes", Endpoint: "b", Cold: true, For: time.Second}})
	list = append(list, placement.Endpoint{ID: "c", Incarnation: startedAt(start.Add(4 * time.Second))})
	is.Equal(track(&tracker, list, start.Add(5*time.Second))[1], placement.ColdChange{Service: "quotes", Endpoint: "c", Cold: true, For: 10 * time.Second})
}

// Guards against changes that are told more than once, or of services without cold endpoints.
func TestColdChangesAreToldOnce(t *testing.T) {
	is := is.New(t)
	var tracker placement.ColdTracker
	list := []placement.Endpoint{{ID: "a", ColdFor: time.Second, Report: 1}}
	is.Equal(track(&tracker, list, start), []placement.ColdChange{{Service: "quotes", Endpoint: "a", Cold: true, For: time.Second}})
	is.Equal(len(track(&tracker, list, start.Add(time.Millisecond))), 0)
	is.Equal(track(&tracker, list, start.Add(time.Second)), []placement.ColdChange{{Service: "quotes", Endpoint: "a"}})
	var other placement.ColdTracker
	never := func(string) placement.ColdRule { return placement.ColdRule{Start: time.Minute} }
	is.Equal(len(other.Update(never, map[string][]placement.Endpoint{"quotes": list}, start)), 0)
	is.Equal(list[0].Cold.PerSecond, 0.0)
}

func zoneOfCold(n int, until time.Time, perSecond float64) []placement.Endpoint {
	var list []placement.Endpoint
	for i := range n {
		list = append(list, placement.Endpoint{
			ID: fmt.Sprint("e", i), Incarnation: 1, Slots: 16, WeightsVersion: 1, Cold: placement.Cold{Until: until, PerSecond: perSecond},
		})
	}
	return list
}

// Guards against requests that wait in vain when a whole zone returns: the room of its cold
// endpoints grows evenly, and what exceeds it is refused at once and told when to return.
func TestReturnOfAZone(t *testing.T) {
	is := is.New(t)
	const engines = 17
	b := placement.NewBroker(placement.Config{})
	now := start
	list := zoneOfCold(engines, time.Time{}, 32)
	for i := range list {
		list[i].Evacuated = true
	}
	b.Update(engine, list, now)
	now = now.Add(5 * time.Second)
	list = zoneOfCold(engines, now.Add(10*time.Second), 32)
	b.Update(engine, list, now)
	is.True(b.Summary(now).FreeSlots <= engines) // not all their slots
	var placed []int                             // in milliseconds
	asked, refused, longestWait := map[placement.SlotRequestID]time.Time{}, 0, time.Duration(0)
	var running []placement.SlotRequestID
	for ms := range 5000 {
		now = now.Add(time.Millisecond)
		id := placement.SlotRequestID{Entry: "entry", Sequence: uint64(ms) + 1}
		b.RequestSlot(placement.SlotRequest{SlotRequestID: id, MaxWait: 150 * time.Millisecond, Redirected: true}, now)
		asked[id] = now
		b.Tick(now)
		for _, r := range b.TakeResponses() {
			switch r.Verdict {
			case placement.Placed:
				placed = append(placed, ms)
				running = append(running, r.RequestID)
				longestWait = max(longestWait, now.Sub(asked[r.RequestID]))
			case placement.Queued:
			default:
				refused++
				is.True(now.Sub(asked[r.RequestID]) <= 150*time.Millisecond)
				is.True(r.SlotInterval > 0 && r.SlotInterval < time.Second)
			}
		}
		if len(running) > 100 {
			b.End(running[0], placement.Success, now)
			running = running[1:]
		}
	}
	for from := 0; from < 5000; from += 100 { // a ramp: no more than two permits of each engine at once
		n := 0
		for _, ms := range placed {
			if ms >= from && ms < from+100 {
				n++
			}
		}
		is.True(n <= 2*engines)
	}
	perSecond := float64(len(placed)) / 5
	t.Logf("%.0f of 1000 requests per second placed, %d refused, longest wait %v", perSecond, refused, longestWait)
	is.True(perSecond > 0.9*engines*12.4 && perSecond < 1.1*engines*12.4)
	is.True(refused > 3000)
}

// Guards against cold endpoints that other groups take for free, and against those of a service
// that states no rate.
func TestColdSlotsAreNotOffered(t *testing.T) {
	is := is.New(t)
	b := placement.NewBroker(placement.Config{})
	b.Update(engine, zoneOfCold(3, start.Add(time.Minute), 32), start)
	is.Equal(b.Summary(start).FreeSlots, 0) // another broker may have granted permits until now
	is.Equal(b.Summary(start.Add(2*time.Second)).FreeSlots, 3)
	b.SetColdPermits(false)
	b.Update(engine, zoneOfCold(3, start.Add(time.Minute), 32), start.Add(3*time.Second))
	is.Equal(b.Summary(start.Add(6*time.Second)).FreeSlots, 0)
	b.RequestSlot(placement.SlotRequest{MaxWait: 150 * time.Millisecond, Redirected: true}, start.Add(6*time.Second))
	is.Equal(b.TakeResponses()[0].Verdict, placement.RateLimited)
	other := placement.NewBroker(placement.Config{})
	other.Update(engine, zoneOfCold(3, start.Add(time.Minute), 0), start)
	is.Equal(other.Summary(start).FreeSlots, 48)
}

// Guards against a cold endpoint that gets more requests than the rate that it names, or the
// other way round, and against a named rate that ends with the cold time.
func TestStricterLimitCounts(t *testing.T) {
	is := is.New(t)
	count := func(named float64, perSecond float64) int {
		p := placement.NewPool(placement.Config{})
		p.Update(engine, zoneOfCold(1, start.Add(time.Minute), perSecond), start)
		p.RecordRateLimit("e0", 1, rate(named), start, start)
		n := 0
		for ms := range 10_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if _, verdict := p.Place(placement.Request{}, now); verdict == placement.Placed {
				p.TakePermit("e0", now)
				n++
			}
		}
		return n
	}
	is.Equal(count(2, 32), 19) // a named limit begins with a pause
	is.True(count(100, 32) <= 125 && count(100, 32) >= 120)
	p := placement.NewPool(placement.Config{})
	p.Update(engine, zoneOfCold(1, start.Add(time.Second), 32), start)
	is.Equal(len(p.RateLimits()), 0) // nothing that other processes need
	is.Equal(p.ColdEndpoints(), []string{"e0"})
	p.RecordRateLimit("e0", 1, rate(2), start, start)
	p.Update(engine, zoneOfCold(1, start.Add(time.Second), 32), start.Add(time.Second))
	is.Equal(len(p.ColdEndpoints()), 0)
	is.Equal(p.RateLimited(), []string{"e0"})
}

// Guards against an endpoint whose answers state that it is cold and that is used as before.
func TestAnswersStateCold(t *testing.T) {
	is := is.New(t)
	b := placement.NewBroker(placement.Config{})
	b.Update(engine, zoneOfCold(1, time.Time{}, 32), start)
	now := start.Add(2 * time.Second)
	id := placement.SlotRequestID{Entry: "entry", Sequence: 1}
	b.RequestSlot(placement.SlotRequest{SlotRequestID: id}, now)
	is.True(!b.TakeResponses()[0].Choice.RateLimited)
	b.RecordCold(id, 3*time.Second, now)
	is.Equal(b.Summary(now).FreeSlots, 0)
	b.Update(engine, zoneOfCold(1, time.Time{}, 32), now.Add(2*time.Second))
	is.Equal(b.Summary(now.Add(2*time.Second)).FreeSlots, 1)
	b.Update(engine, zoneOfCold(1, time.Time{}, 32), now.Add(4*time.Second))
	is.Equal(b.Summary(now.Add(4*time.Second)).FreeSlots, 15)
}

// Guards against a permit that looks new to an entry although its request waited in the queue, or
// was repeated because the grant was lost.
func TestGrantsTellTheWait(t *testing.T) {
	is := is.New(t)
	b := placement.NewBroker(placement.Config{})
	b.Update(engine, zoneOfCold(1, start.Add(time.Minute), 32), start)
	r := placement.SlotRequest{SlotRequestID: placement.SlotRequestID{Entry: "entry", Sequence: 1}, MaxWait: 2 * time.Second}
	b.RequestSlot(r, start)
	is.Equal(b.TakeResponses()[0].Verdict, placement.Queued)
	b.Tick(start.Add(1500 * time.Millisecond))
	is.Equal(b.TakeResponses()[0].Waited, 1500*time.Millisecond)
	b.RequestSlot(r, start.Add(1900*time.Millisecond))
	again := b.TakeResponses()[0]
	is.Equal(again.Verdict, placement.Placed)
	is.Equal(again.Waited, 1500*time.Millisecond)
}

// Guards against a broker that waits once more when it becomes the first one that accepts callers,
// although no other one could grant permits meanwhile: after a restart of all entries, cold
// endpoints would get no requests for a second longer.
func TestColdAuthorityCountsFromTheListOfEntries(t *testing.T) {
	is := is.New(t)
	b := placement.NewBroker(placement.Config{})
	b.SetPrimary(true)
	b.SetColdAuthority(start.Add(-time.Second))
	b.Update(engine, zoneOfCold(3, start.Add(time.Minute), 32), start)
	is.Equal(b.Summary(start.Add(200*time.Millisecond)).FreeSlots, 0) // others may have granted until a second ago
	is.Equal(b.Summary(start.Add(300*time.Millisecond)).FreeSlots, 3)
}

// Guards against several entries that grant permits of cold endpoints one after another as they
// become ready: the first one of all that are listed does, ready or not.
func TestColdAuthorityIsTheFirstOfAllEntries(t *testing.T) {
	is := is.New(t)
	var all []placement.Entry
	for _, name := range []string{"p", "q", "r", "s", "t"} {
		all = append(all, placement.Entry{Name: name, Zone: "a"})
	}
	first := placement.ColdAuthorities(all)
	is.Equal(len(first), 2) // of all entries, and of their zone
	groups, _ := placement.Groups(all, 10, []string{"a"})
	is.Equal(first[""], groups[0].Brokers[0])
	groups, _ = placement.Groups(append(all, placement.Entry{Name: "u", Zone: "b"}), 1000, []string{"a", "b"})
	first = placement.ColdAuthorities(append(all, placement.Entry{Name: "u", Zone: "b"}))
	for _, g := range groups {
		is.Equal(first[g.Name], g.Brokers[0])
	}
}
