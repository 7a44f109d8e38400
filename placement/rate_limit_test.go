package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

func rate(perSecond float64) *float64 { return &perSecond }

// limitedPool returns a pool with one endpoint that has a rate limit.
func limitedPool(perSecond float64, now time.Time) *placement.Pool {
	p := placement.NewPool(placement.Config{})
	p.Update(nil, []placement.Endpoint{{ID: "a", Incarnation: 1, Slots: 1000}}, now)
	p.RecordRateLimit("a", 1, rate(perSecond), now, now)
	return p
}

// namedRate returns the rate of endpoint "a", or -1 for none.
func namedRate(p *placement.Pool) float64 {
	for _, l := range p.RateLimits() {
		if !l.Ended() {
			return l.PerSecond
		}
	}
	return -1
}

// Guards against bursts that exceed the limit over a longer time, at any rate and in any
// order of requests.
func TestRateLimitBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 50).Draw(t, "rate")
		now := time.Now()
		p := limitedPool(perSecond, now)
		var sent []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			if _, verdict := p.Place(placement.Request{}, now); verdict == placement.Placed {
				p.TakePermit("a", now)
				sent = append(sent, now)
			}
		}
		const window = 4 * time.Second
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(first) < window {
					n++
				}
			}
			if allowed := int(1.5*perSecond*window.Seconds()) + 5; n > allowed {
				t.Fatalf("%d requests within %v at a limit of %v, allowed %d", n, window, perSecond, allowed)
			}
		}
	})
}

// Guards against an answer that was delayed and ends or raises a limit named after it.
func TestDelayedAnswerDoesNotEndRateLimit(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	p := limitedPool(2, at(10))
	is.True(!p.RecordRateLimit("a", 1, nil, at(9), at(11))) // sent before the limit was named
	is.True(!p.RecordRateLimit("a", 1, rate(5), at(9), at(11)))
	is.True(p.RecordRateLimit("a", 1, rate(1), at(9), at(12))) // a lower rate applies at once
	is.Equal(namedRate(p), 1.0)
	is.True(p.RecordRateLimit("a", 1, nil, at(13), at(14)))
	is.Equal(namedRate(p), -1.0)
	is.True(!p.AddRateLimit(placement.NamedRateLimit{Endpoint: "a", Incarnation: 1, PerSecond: 1, NamedAt: at(12)}, at(15)))
	is.Equal(namedRate(p), -1.0) // another process knows only of the limit that has ended
}

// Guards against a broker in reserve that learns of limits but not of their end, and
// imposes them again when it takes over.
func TestEndOfRateLimitReachesOtherBrokers(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	entry, reserve := limitedPool(1, at(10)), limitedPool(1, at(10))
	is.True(entry.RecordRateLimit("a", 1, nil, at(12), at(13)))
	for _, l := range entry.RateLimits() {
		is.True(l.Ended())
		is.True(reserve.AddRateLimit(l, at(14)))
	}
	is.Equal(namedRate(reserve), -1.0)
	is.True(reserve.AddRateLimit(placement.NamedRateLimit{Endpoint: "a", Incarnation: 1, PerSecond: 1, NamedAt: at(13)}, at(14))) // it may be newer
	entry.Update(nil, []placement.Endpoint{{ID: "a", Incarnation: 1}}, at(80))
	is.Equal(len(entry.RateLimits()), 0)
}

// Guards against a limit that is kept up by reports that pass between processes: each
// message makes the time of its naming look later.
func TestReportsDoNotRenewRateLimit(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	p := limitedPool(1, start)
	is.True(!p.AddRateLimit(placement.NamedRateLimit{Endpoint: "a", Incarnation: 1, PerSecond: 1, NamedAt: start.Add(time.Minute)}, start.Add(time.Minute)))
	is.True(p.RecordRateLimit("a", 1, nil, start.Add(time.Second), start.Add(2*time.Second)))
}

// Guards against a limit that is forgotten while its endpoint is not listed for a while,
// and against one that outlives the endpoint's restart.
func TestRateLimitIsBoundToTheIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := limitedPool(1, now)
	p.Update(nil, nil, now.Add(time.Second))
	is.Equal(namedRate(p), -1.0)
	p.Update(nil, []placement.Endpoint{{ID: "a", Incarnation: 1}}, now.Add(20*time.Second))
	is.Equal(namedRate(p), 1.0)
	p.Update(nil, []placement.Endpoint{{ID: "a", Incarnation: 2}}, now.Add(30*time.Second))
	is.Equal(namedRate(p), -1.0)
	is.True(!p.AddRateLimit(placement.NamedRateLimit{Endpoint: "a", Incarnation: 1, PerSecond: 1, NamedAt: now.Add(31 * time.Second)}, now.Add(31*time.Second)))
}

// Guards against a request that a broker grants at another endpoint than the one that it
// asks for, and against a refusal that hides when the next request may be sent.
func TestBrokerGrantsPermitsOfOneEndpoint(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := placement.NewBroker(placement.Config{})
	b.Update(nil, []placement.Endpoint{{ID: "a", Incarnation: 1, Slots: 8}, {ID: "b", Incarnation: 1, Slots: 8}}, now)
	is.True(b.AddRateLimit(placement.NamedRateLimit{Endpoint: "a", Incarnation: 1, PerSecond: 0.5, NamedAt: now}, now))
	request := func(sequence uint64, at time.Time) placement.SlotResponse {
		b.RequestSlot(placement.SlotRequest{
			SlotRequestID: placement.SlotRequestID{Entry: "entry-1", Sequence: sequence},
			Request:       placement.Request{Only: "a"}, Redirected: true,
		}, at)
		return b.TakeResponses()[0]
	}
	first := request(1, now)
	is.Equal(first.Verdict, placement.RateLimited)
	is.Equal(first.SlotInterval, 2*time.Second)
	second := request(2, now.Add(2*time.Second))
	is.Equal(second.Verdict, placement.Placed)
	is.Equal(second.Choice.ID, "a")
	is.True(second.Choice.RateLimited)
	is.Equal(request(3, now.Add(3*time.Second)).Verdict, placement.RateLimited)
}

// Guards against requests that are queued or redirected for slots of endpoints that may
// not take them.
func TestRateLimitedSlotsAreNotOffered(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := placement.NewBroker(placement.Config{})
	var endpoints []placement.Endpoint
	for i := range 2 {
		endpoints = append(endpoints, placement.Endpoint{ID: fmt.Sprint(i), Incarnation: 1, Slots: 8})
	}
	b.Update(nil, endpoints, now)
	is.Equal(b.Summary(now).FreeSlots, 16)
	b.AddRateLimit(placement.NamedRateLimit{Endpoint: "0", Incarnation: 1, PerSecond: 1, NamedAt: now}, now)
	is.Equal(b.Summary(now).FreeSlots, 8)
	is.Equal(b.Summary(now.Add(time.Second)).FreeSlots, 9)
	b.AddRateLimit(placement.NamedRateLimit{Endpoint: "1", Incarnation: 1, PerSecond: 1, NamedAt: now}, now)
	b.RequestSlot(placement.SlotRequest{MaxWait: 400 * time.Millisecond}, now)
	is.Equal(b.TakeResponses()[0].Verdict, placement.RateLimited)
	b.RequestSlot(placement.SlotRequest{MaxWait: 2 * time.Second}, now)
	is.Equal(b.TakeResponses()[0].Verdict, placement.Queued)
	b.Tick(now.Add(time.Second))
	is.Equal(b.TakeResponses()[0].Verdict, placement.Placed)
}
