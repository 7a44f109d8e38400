package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

func bound(names ...string) placement.Regions { return placement.Regions{Bound: true, Names: names} }

func endpointIn(id, region string) placement.Endpoint {
	e := endpoint(id)
	e.Region = region
	return e
}

func boundRequest(entry string, sequence uint64, regions placement.Regions) placement.SlotRequest {
	a := slotRequest(entry, sequence)
	a.Regions = regions
	return a
}

// Guards against taking the empty intersection for no restriction, and an unknown region for one
// that is allowed.
func TestRegions(t *testing.T) {
	is := is.New(t)
	var all placement.Regions
	is.True(all.Allow("r1") && all.Allow(""))
	is.True(bound("r1").Allow("r1"))
	is.True(!bound("r1").Allow("r2") && !bound("r1").Allow("") && !bound("").Allow("") && !bound().Allow("r1"))
	is.Equal(all.Intersect(bound("r1")), bound("r1"))
	is.Equal(bound("r1").Intersect(all), bound("r1"))
	is.Equal(bound("r1", "r2").Intersect(bound("r2", "r3")), bound("r2"))
	is.Equal(bound("r1").Intersect(bound("r2")), bound())
	is.True(bound("r1").Disjoint(bound("r2")))
	is.True(!bound("r1").Disjoint(all) && !all.Disjoint(bound("r1")) && !bound("r1", "r2").Disjoint(bound("r2")))
}

// Guards against queueing a request that no endpoint may serve until the end of its wait, and
// against a refusal that does not say why.
func TestBrokerRefusesWithoutAllowedRegionAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		regions placement.Regions
		want    placement.Verdict
	}{
		"no endpoint there":  {bound("r3"), placement.NoAllowedRegion},
		"empty intersection": {bound(), placement.NoAllowedRegion},
		"unknown region":     {bound(""), placement.NoAllowedRegion},
		"allowed":            {bound("r2"), placement.Placed},
		"not bound":          {placement.Regions{}, placement.Placed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := broker(endpointIn("e", "r1"), endpointIn("f", "r2"), endpointIn("g", ""))
			b.RequestSlot(boundRequest("x", 1, c.regions), start)
			is.Equal(verdicts(b.TakeResponses())[1], c.want)
		})
	}
}

// Guards against the reason for a missing region where the endpoints of the region are only in
// use, or were tried before.
func TestOtherRefusalsOfBoundRequests(t *testing.T) {
	is := is.New(t)
	b := broker(endpointIn("e", "r1"), endpointIn("f", "r2"))
	tried := boundRequest("x", 1, bound("r1"))
	tried.Exclude = []string{"e"}
	b.RequestSlot(tried, start)
	is.Equal(verdicts(b.TakeResponses())[1], placement.NoEndpoint)
}

// Guards against requests that wait for a full region and keep others from free slots elsewhere.
func TestFullRegionDelaysNoOther(t *testing.T) {
	is := is.New(t)
	b := broker(endpointIn("e", "r1"), endpointIn("f", "r2"))
	sequence := uint64(0)
	request := func(regions placement.Regions) placement.Verdict {
		sequence++
		a := boundRequest("x", sequence, regions)
		a.MaxWait = 5 * time.Second
		b.RequestSlot(a, start)
		return verdicts(b.TakeResponses())[sequence]
	}
	for range 16 {
		is.Equal(request(bound("r1")), placement.Placed)
	}
	for range 10 {
		is.Equal(request(bound("r1")), placement.Queued)
	}
	for range 16 {
		is.Equal(request(bound("r2")), placement.Placed) // overtakes, since it takes no slot of theirs
	}
	is.Equal(request(bound("r2")), placement.Queued)
	waiting := sequence
	b.End(placement.SlotRequestID{Entry: "x", Sequence: 27}, placement.Success, start) // the first one in r2
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{waiting: placement.Placed})
}

// Guards against a redirect, of which a request has only one, to a group without free slots in an
// allowed region.
func TestRedirectOnlyToAllowedRegions(t *testing.T) {
	is := is.New(t)
	b := broker(endpointIn("e", "r1"))
	b.RecordSummary("roomy", placement.Summary{FreeSlots: 50, FreeByRegion: map[string]int{"r1": 50}}, 3, start)
	b.RecordSummary("small", placement.Summary{FreeSlots: 4, FreeByRegion: map[string]int{"r2": 4}}, 3, start)
	b.RecordSummary("old", placement.Summary{FreeSlots: 90}, 3, start) // of an older version
	want := []placement.Verdict{placement.Redirected, placement.Redirected, placement.NoAllowedRegion}
	for i, verdict := range want { // two of the four slots are for this group
		b.RequestSlot(boundRequest("x", uint64(i+1), bound("r2")), start)
		answers := b.TakeResponses()
		is.Equal(answers[0].Verdict, verdict)
		if verdict == placement.Redirected {
			is.Equal(answers[0].Group, "small")
		}
	}
	is.Equal(b.Summary(start).FreeByRegion, map[string]int{"r1": 16})
}

// Guards against any placement outside the allowed regions, whatever queues, restarts, priorities
// and suspects do.
func TestPlacementStaysInAllowedRegions(t *testing.T) {
	regions := []string{"", "r1", "r2", "r3"}
	rapid.Check(t, func(t *rapid.T) {
		b, pool := placement.NewBroker(placement.Config{}), placement.NewPool(placement.Config{})
		now := start
		requests := map[placement.SlotRequestID]placement.SlotRequest{}
		var held []placement.SlotRequestID
		drawRegions := func(t *rapid.T) placement.Regions {
			return placement.Regions{
				Bound: rapid.Bool().Draw(t, "bound"),
				Names: rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, 3, rapid.ID[string]).Draw(t, "names"),
			}
		}
		check := func(t *rapid.T) {
			for _, a := range b.TakeResponses() {
				if a.Verdict != placement.Placed {
					continue
				}
				held = append(held, a.RequestID)
				if r := requests[a.RequestID].Regions; !r.Allow(a.Choice.Region) {
					t.Fatalf("%v was placed in %q", r, a.Choice.Region)
				}
			}
		}
		update := func(t *rapid.T) {
			var list []placement.Endpoint
			for i := range 6 {
				if rapid.Bool().Draw(t, "present") {
					e := endpointIn(fmt.Sprint("e", i), regions[i%len(regions)])
					e.Slots, e.Draining = 2, rapid.IntRange(0, 4).Draw(t, "draining") == 0
					e.Incarnation = uint64(rapid.IntRange(1, 2).Draw(t, "incarnation"))
					list = append(list, e)
				}
			}
			b.Update(engine, list, now)
			pool.Update(engine, list, now)
		}
		update(t)
		t.Repeat(map[string]func(*rapid.T){
			"": check,
			"request": func(t *rapid.T) {
				a := boundRequest("x", uint64(len(requests)+1), drawRegions(t))
				a.Priority, a.Late, a.Resumed = rapid.IntRange(0, 2).Draw(t, "priority"), rapid.Bool().Draw(t, "late"), rapid.Bool().Draw(t, "resumed")
				a.Serialized = rapid.Bool().Draw(t, "serialized")
				a.MaxWait = time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
				if rapid.IntRange(0, 3).Draw(t, "suspect") == 0 {
					a.Suspects = []uint64{uint64(rapid.IntRange(1, 2).Draw(t, "part"))}
				}
				if rapid.IntRange(0, 3).Draw(t, "permit") == 0 {
					a.Only = fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "only"))
				}
				requests[a.SlotRequestID] = a
				b.RequestSlot(a, now)
				if c, v := pool.Place(a.Request, now); v == placement.Placed && !a.Regions.Allow(c.Region) {
					t.Fatalf("the pool places %v in %q", a.Regions, c.Region)
				}
			},
			"end": func(t *rapid.T) {
				if len(held) > 0 {
					id := held[0]
					held = held[1:]
					b.End(id, rapid.SampledFrom([]placement.Result{placement.Success, placement.Neutral, placement.Refused}).Draw(t, "result"), now)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				b.Tick(now)
			},
			"update": update,
		})
	})
}

// Guards against a queued request that waits on after the last endpoint in its regions has left.
func TestQueuedRequestIsRefusedWhenItsRegionIsGone(t *testing.T) {
	for name, suspects := range map[string][]uint64{"queued": nil, "suspect": {1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := broker(endpointIn("e", "r1"), endpointIn("f", "r2"))
			for i := range 17 {
				a := boundRequest("x", uint64(i+1), bound("r1"))
				if i == 16 {
					a.Suspects, a.MaxWait = suspects, time.Second
				}
				b.RequestSlot(a, start)
			}
			is.Equal(verdicts(b.TakeResponses())[17], placement.Queued)
			b.Update(engine, []placement.Endpoint{endpointIn("f", "r2")}, start)
			is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{17: placement.NoAllowedRegion})
		})
	}
}
