package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

// fullBroker returns a broker with 1,000 grants on 100 engines of 10 slots, and 50 queued
// requests of three priorities.
func fullBroker() *placement.Broker {
	const engines, slots, waiting = 100, 10, 50
	var endpoints []placement.Endpoint
	for i := range engines {
		e := endpoint(fmt.Sprintf("e%d", i))
		e.Slots = slots
		endpoints = append(endpoints, e)
	}
	b := broker(endpoints...)
	for i := range engines * slots {
		a := slotRequest("x", uint64(i+1))
		a.TimeLeft, a.Priority = time.Hour, i%3
		b.RequestSlot(a, start)
	}
	for i := range waiting {
		a := slotRequest("x", uint64(10_000+i))
		a.MaxWait, a.Priority = time.Hour, 1+i%3
		b.RequestSlot(a, start)
	}
	b.TakeResponses()
	return b
}

// BenchmarkFullBroker measures one request at a full group and the events of another one: a
// request that is queued before less urgent ones, its end, and a first event.
func BenchmarkFullBroker(b *testing.B) {
	full := fullBroker()
	waiting, granted := full.Counts()
	next := uint64(100_000)
	for b.Loop() {
		next++
		a := slotRequest("x", next)
		a.MaxWait = time.Minute
		full.RequestSlot(a, start)
		full.End(a.SlotRequestID, placement.Neutral, start)
		full.Tick(start)
		full.TakeResponses()
	}
	b.ReportMetric(float64(waiting), "queued")
	b.ReportMetric(float64(granted), "granted")
}
