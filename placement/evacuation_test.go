package placement_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

func inZone(id, zone string, evacuated bool) placement.Endpoint {
	e := endpoint(id)
	e.Zone, e.Evacuated = zone, evacuated
	return e
}

// Guards against placing a request on an evacuated endpoint, in whichever way it is asked for,
// and against losing the load of one whose running requests finish.
func TestEvacuatedEndpointsGetNothing(t *testing.T) {
	is := is.New(t)
	p := pool(inZone("e", "a", false), inZone("f", "b", false))
	p.Begin("e", placement.Prefill{PromptTokens: 100})
	before := p.OwnLoads()
	p.Update(engine, []placement.Endpoint{inZone("e", "a", true), inZone("f", "b", false)}, start)
	is.Equal(p.OwnLoads(), before)
	is.Equal(p.EvacuatedEndpoints(), []string{"e"})
	for _, r := range []placement.Request{{Zone: "a"}, {Zone: "a", Late: true}, {Zone: "a", Suspects: []uint64{1}}} {
		choice, verdict := p.Place(r, start)
		is.Equal(verdict, placement.Placed)
		is.Equal(choice.ID, "f")
	}
	_, verdict := p.Place(placement.Request{Only: "e"}, start)
	is.Equal(verdict, placement.NoEndpoint)
	_, suitable := p.Count(placement.Request{}, start)
	is.Equal(suitable, 1)
	p.Update(engine, []placement.Endpoint{inZone("e", "a", false), inZone("f", "b", true)}, start)
	is.Equal(p.OwnLoads(), before)
	choice, _ := p.Place(placement.Request{Zone: "b"}, start)
	is.Equal(choice.ID, "e") // returned to service
}

// Guards against refusing a request as evacuated that can wait for an endpoint of another zone,
// and against one that waits in vain.
func TestOnlyEvacuated(t *testing.T) {
	draining, leaving, empty := inZone("f", "b", false), inZone("f", "b", false), inZone("f", "b", false)
	draining.Draining, leaving.Draining, leaving.Leaving, empty.WeightsVersion = true, true, true, 0
	for name, c := range map[string]struct {
		endpoints []placement.Endpoint
		request   placement.Request
		want      bool
	}{
		"no endpoint":                     {nil, placement.Request{}, false},
		"all evacuated":                   {[]placement.Endpoint{inZone("e", "a", true)}, placement.Request{}, true},
		"another zone":                    {[]placement.Endpoint{inZone("e", "a", true), inZone("f", "b", false)}, placement.Request{}, false},
		"the other loads weights":         {[]placement.Endpoint{inZone("e", "a", true), draining}, placement.Request{}, false},
		"the other has no weights":        {[]placement.Endpoint{inZone("e", "a", true), empty}, placement.Request{}, false},
		"the other stops":                 {[]placement.Endpoint{inZone("e", "a", true), leaving}, placement.Request{}, true},
		"the other was tried":             {[]placement.Endpoint{inZone("e", "a", true), inZone("f", "b", false)}, placement.Request{Exclude: []string{"f"}}, true},
		"newer weights arrive elsewhere":  {[]placement.Endpoint{inZone("e", "a", true), inZone("f", "b", false)}, placement.Request{MinVersion: 2}, false},
		"nothing left, nothing evacuated": {[]placement.Endpoint{inZone("f", "b", false)}, placement.Request{Exclude: []string{"f"}}, false},
	} {
		if got := pool(c.endpoints...).OnlyEvacuated(c.request); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against requests that wait at a broker until their time is over although the zones of
// all endpoints were evacuated, and against refusing those that another zone can serve.
func TestQueuedRequestsOfEvacuatedZones(t *testing.T) {
	is := is.New(t)
	fill := func(endpoints ...placement.Endpoint) *placement.Broker {
		b := broker(endpoints...)
		for i := range 16 * len(endpoints) {
			b.RequestSlot(slotRequest("x", uint64(i+1)), start)
		}
		b.RequestSlot(slotRequest("x", 100), start)
		suspect := slotRequest("x", 101)
		suspect.Suspects = []uint64{7}
		b.RequestSlot(suspect, start)
		is.Equal(verdicts(b.TakeResponses())[100], placement.Queued)
		return b
	}
	b := fill(inZone("e", "a", false))
	b.Update(engine, []placement.Endpoint{inZone("e", "a", true)}, start.Add(time.Millisecond))
	refused := b.TakeResponses()
	is.Equal(verdicts(refused)[100], placement.NoEndpoint)
	is.Equal(verdicts(refused)[101], placement.NoEndpoint)
	is.True(refused[0].SlotInterval > 0)
	waiting, granted := b.Counts()
	is.Equal(waiting, 0)
	is.Equal(granted, 16) // running requests finish

	b = fill(inZone("e", "a", false), inZone("f", "b", false))
	b.Update(engine, []placement.Endpoint{inZone("e", "a", true), inZone("f", "b", false)}, start.Add(time.Millisecond))
	is.Equal(len(b.TakeResponses()), 0)
	for i := range 32 {
		b.End(placement.SlotRequestID{Entry: "x", Sequence: uint64(i + 1)}, placement.Success, start.Add(2*time.Millisecond))
	}
	for _, a := range b.TakeResponses() {
		is.Equal(a.Choice.ID, "f")
	}
}

// Guards against a grant of an evacuated endpoint, and against a wrong count of slots, after any
// sequence of evacuations, returns to service, requests and ends.
func TestBrokerGrantsNoEvacuatedEndpoint(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zones := []string{"a", "b", "c"}
		evacuated := map[string]bool{}
		list := func() []placement.Endpoint {
			var l []placement.Endpoint
			for i := range 6 {
				zone := zones[i%len(zones)]
				l = append(l, inZone(fmt.Sprint("e", i), zone, evacuated[zone]))
			}
			return l
		}
		b := broker(list()...)
		now := start
		held := map[uint64]string{}
		var sequence uint64
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				zone := rapid.SampledFrom(zones).Draw(rt, "zone")
				evacuated[zone] = !evacuated[zone]
				b.Update(engine, list(), now)
			case 1:
				if len(held) > 0 {
					id := slices.Min(slices.Collect(maps.Keys(held)))
					delete(held, id)
					b.End(placement.SlotRequestID{Entry: "x", Sequence: id}, placement.Success, now)
				}
			case 2:
				b.Tick(now)
			default:
				for range rapid.IntRange(1, 30).Draw(rt, "requests") {
					sequence++
					b.RequestSlot(slotRequest("x", sequence), now)
				}
			}
			for _, a := range b.TakeResponses() {
				switch a.Verdict {
				case placement.Placed:
					if evacuated[a.Choice.Zone] {
						rt.Fatalf("granted a slot of zone %s, which is evacuated", a.Choice.Zone)
					}
					held[a.RequestID.Sequence] = a.Choice.ID
				case placement.Queued:
					if evacuated["a"] && evacuated["b"] && evacuated["c"] {
						rt.Fatal("queued although all zones are evacuated")
					}
				}
			}
			waiting, granted := b.Counts()
			if granted != len(held) {
				rt.Fatalf("%d slots are counted, %d are held", granted, len(held))
			}
			if waiting > 0 && evacuated["a"] && evacuated["b"] && evacuated["c"] {
				rt.Fatal("requests wait although all zones are evacuated")
			}
		}
	})
}
