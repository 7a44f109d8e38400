package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

// Guards against preferring an endpoint that is slow, or behind a link with low
// bandwidth, over one that responds as modelled, and against never trying it again.
func TestLaggingEndpointIsAvoidedTemporarily(t *testing.T) {
	is := is.New(t)
	p := pool(endpoint("lagging"), endpoint("sound"))
	p.RecordLag("lagging", time.Second, start)
	p.Begin("sound", placement.Prefill{PromptTokens: 1500}) // 80 ms of prefill
	choice, _ := p.Place(placement.Request{PromptTokens: 900, Zone: "a"}, start)
	is.Equal(choice.ID, "sound")
	is.Equal(choice.TTFT, choice.ModelTTFT)
	choice, _ = p.Place(placement.Request{PromptTokens: 900, Zone: "a"}, start.Add(4*time.Second))
	is.Equal(choice.ID, "lagging")
}

// Guards against a request that is sent to older weights shortly before the bound, is
// delayed by the network and begins after it (by 0.4 s in one run). Only engines whose
// latest first event was on time and recent get such a request.
func TestOlderWeightsOnlyWithoutRecentLag(t *testing.T) {
	old, current := endpoint("old"), endpoint("current")
	current.WeightsVersion, current.Draining = 2, true
	r := placement.Request{PromptTokens: 900, Zone: "a", SoftMinVersion: 2}
	for _, c := range []struct {
		name string
		late []time.Duration
		at   time.Duration
		want placement.Verdict
	}{
		{"nothing is known", nil, 0, placement.NoEndpoint},
		{"timely", []time.Duration{0}, 500 * time.Millisecond, placement.Placed},
		{"timely a while ago", []time.Duration{0}, 1500 * time.Millisecond, placement.NoEndpoint},
		{"late since", []time.Duration{0, 800 * time.Millisecond}, 0, placement.NoEndpoint},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := pool(old, current)
			for _, late := range c.late {
				p.RecordLag("old", late, start)
			}
			_, verdict := p.Place(r, start.Add(c.at))
			is.Equal(verdict, c.want)
		})
	}
	is := is.New(t)
	current.Draining = false
	p := pool(old, current)
	choice, _ := p.Place(r, start)
	is.Equal(choice.ID, "current")
}

// Guards against requests that are sent to older weights shortly before the bound at an endpoint
// that has stopped: the last first event was on time, and those expected since have not come.
func TestOlderWeightsNotWhereFirstEventsAreOverdue(t *testing.T) {
	old, current := endpoint("old"), endpoint("current")
	current.WeightsVersion, current.Draining = 2, true
	soon := slotRequest("x", 9)
	soon.SoftMinVersion = 2
	for _, c := range []struct {
		name string
		end  func(b *placement.Broker, now time.Time) // of the request that is overdue
		at   time.Duration
		want placement.Verdict
	}{
		{"pending and not overdue", nil, 300 * time.Millisecond, placement.Placed},
		{"overdue", nil, 600 * time.Millisecond, placement.NoEndpoint},
		{"begun meanwhile", func(b *placement.Broker, now time.Time) { b.FirstEvent(slotRequest("x", 2).SlotRequestID, 0, now) }, 600 * time.Millisecond, placement.Placed},
		{"ended meanwhile", func(b *placement.Broker, now time.Time) {
			b.End(slotRequest("x", 2).SlotRequestID, placement.Neutral, now)
		}, 600 * time.Millisecond, placement.Placed},
		{"only the entry of the overdue one is silent", func(b *placement.Broker, now time.Time) {
			b.RequestSlot(slotRequest("y", 1), now)
			b.FirstEvent(slotRequest("y", 1).SlotRequestID, 0, now)
		}, 600 * time.Millisecond, placement.Placed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := broker(old, current)
			b.RequestSlot(slotRequest("x", 1), start)
			b.FirstEvent(slotRequest("x", 1).SlotRequestID, 0, start)
			b.RequestSlot(slotRequest("x", 2), start)
			if c.end != nil {
				c.end(b, start.Add(500*time.Millisecond))
			}
			b.RequestSlot(soon, start.Add(c.at))
			is.Equal(verdicts(b.TakeResponses())[9], c.want)
		})
	}
}

// Guards against requests that are granted older weights shortly before the bound at an endpoint
// without a recent first event, because they were queued before.
func TestSoftBoundAppliesToQueuedRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		soft time.Duration // when older weights are used only where first events are timely
		want placement.Verdict
	}{
		{"after the grant", 700 * time.Millisecond, placement.Placed},
		{"while it is queued", 300 * time.Millisecond, placement.Queued},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := broker(endpoint("old"))
			for i := range 16 {
				b.RequestSlot(slotRequest("x", uint64(i+1)), start)
			}
			a := slotRequest("x", 99)
			a.Resumed, a.MaxWait = true, 1200*time.Millisecond
			a.SoftBounds = []placement.WeightsBound{{Version: 2, By: start.Add(c.soft)}}
			b.RequestSlot(a, start)
			is.Equal(verdicts(b.TakeResponses())[99], placement.Queued)
			b.End(slotRequest("x", 1).SlotRequestID, placement.Neutral, start.Add(600*time.Millisecond))
			got, answered := verdicts(b.TakeResponses())[99]
			is.Equal(answered, c.want == placement.Placed)
			if answered {
				is.Equal(got, c.want)
			}
		})
	}
}
