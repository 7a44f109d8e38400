package relay

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/datagram"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Tests of odd entries that other writers leave among those of the servers.

// Guards against an entry that ends when a routing document states a number of layers that
// no engine has.
func TestOddLayerCountOfDocument(t *testing.T) {
	s := wire.Server{ID: "i-1", Service: "quotes", Models: []wire.ServerModel{{Name: "m", Layers: []protocol.ServedLayers{{From: 0, To: 16, Version: 1}}}}}
	for _, layers := range []int{-1, 0, 1 << 62} {
		is := is.New(t)
		e := endpointOf(s, &routing.Service{Name: "quotes", Engine: &routing.Engine{Layers: layers}})
		is.Equal(e.WeightsVersion, uint64(0))
	}
}

// Guards against memory that grows with each service name that an odd check-in states.
func TestUnknownServicesTakeNoMemory(t *testing.T) {
	is := is.New(t)
	good := newServer(t, ok)
	h, url := newEntry(t, good)
	table := h.fleet.Table()
	for i := range 100 {
		endpoints := map[string][]placement.Endpoint{
			"dispatch":              {{ID: "i-0", Incarnation: 1, Address: good.listener.Addr().String(), Zone: "near", Slots: 4}},
			fmt.Sprint("odd-", i):   {{ID: "i-1", Incarnation: 1, Address: "10.0.0.1:1", Slots: 4}},
			fmt.Sprint("odd-\n", i): {{ID: "i-2", Incarnation: 1, Address: "10.0.0.2:1", Slots: 4}},
		}
		h.dispatcher.update(table, endpoints, 1)
		h.dispatcher.slots.update(table, endpoints, []placement.Entry{{Name: "entry-1", Zone: "near"}}, time.Now())
	}
	is.Equal(len(h.dispatcher.pools), 1)
	is.Equal(len(h.dispatcher.slots.services), 1)
	response, _, err := send(t, url, "/safe/a", http.MethodGet, "", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// Guards against a broker whose memory grows with each priority that odd datagrams state, and
// against refusing the lowest priority of a routing document.
func TestPrioritiesOfSlotRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	lowest := (&routing.Route{Priority: 1000}).Rank(&routing.Organisation{Priority: 1000})
	for priority, valid := range map[int]bool{-1: false, 0: true, lowest: true, lowest + 1: false} {
		m := peerMessage{SlotRequest: &slotRequestMessage{Sequence: 1, Priority: priority}}
		is.Equal(m.valid(), valid)
	}
}

// Guards against an odd datagram after which a broker prefers or avoids an endpoint, refuses
// requests of other entries or ends.
func TestOddDatagramsLeaveBrokerUsable(t *testing.T) {
	const most, least = 1<<63 - 1, -1 << 63
	rate := func(n float64) *float64 { return &n }
	engine := endpointHash("engine-0")
	for name, m := range map[string]peerMessage{
		"prefill below 0": {HeldSlots: &heldSlotsMessage{Sequences: []uint64{1}, Endpoints: []uint32{engine}, PrefillTokens: []int32{-1 << 31}}},
		"prompt below 0":  {SlotRequest: &slotRequestMessage{Sequence: 1, PromptTokens: least}},
		"highest prompt":  {SlotRequest: &slotRequestMessage{Sequence: 1, PromptTokens: most, MaxWaitMs: most}},
		"longest wait":    {SlotRequest: &slotRequestMessage{Sequence: 1, Only: 1, MaxWaitMs: most / 1_000_000, Resumed: true}},
		"wait overflows":  {SlotRequest: &slotRequestMessage{Sequence: 1, Only: 1, MaxWaitMs: most, TimeLeftMs: least, GapObjectiveMs: most}},
		"highest version": {SlotRequest: &slotRequestMessage{Sequence: 1, MinVersion: ^uint64(0), Bounds: []weightsBoundMessage{{Version: ^uint64(0), LeftMs: least}}}},
		"result unknown":  {Events: []eventMessage{{Sequence: 1, Ended: true, Result: 255}}},
		"late overflows":  {Events: []eventMessage{{Sequence: 1, LateMs: most}}},
		"pace below 0":    {Events: []eventMessage{{Sequence: 1, Pace: -1 << 62}}},
		"highest pace":    {Events: []eventMessage{{Sequence: 1, Pace: 1 << 62}}},
		"cold overflows":  {Events: []eventMessage{{Sequence: 1, Answered: true, ColdMs: most}}},
		"cold below 0":    {Events: []eventMessage{{Sequence: 1, Answered: true, ColdMs: least}}},
		"wait too long":   {SlotResponse: &slotResponseMessage{Sequence: 1, Verdict: placement.Placed, Endpoint: "a", RateLimited: true, WaitedMs: most}},
		"rate below 0":    {Events: []eventMessage{{Sequence: 1, Answered: true, RateLimit: rate(-1)}}},
		"rate not a number": {Events: []eventMessage{
			{Sequence: 1, Answered: true, RateLimit: rate(math.NaN())},
		}, RateLimits: []rateLimitMessage{{Endpoint: engine, Incarnation: 1, PerSecond: math.NaN(), AgeMs: least}}},
		"free slots below 0": {Group: "far", Summary: &summaryMessage{FreeSlots: least, Groups: least}},
		"verdict unknown":    {SlotResponse: &slotResponseMessage{Sequence: 1, Verdict: 255, TTFTMs: most, Ahead: least}},
		"lists differ":       {HeldSlots: &heldSlotsMessage{Sequences: []uint64{1, 2}, Endpoints: []uint32{engine}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, cancel := newPeerNetwork(t, 2, 2, "near")
				defer cancel()
				m.Service = "quotes"
				for range 10 {
					for broker, s := range n.slots {
						// The sender is an entry that the broker hears from all the time.
						m.From = map[string]string{"entry-0": "entry-1", "entry-1": "entry-0"}[broker]
						s.receive(m)
					}
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(lateSlotWait)
				// All slots are granted, and evenly.
				granted := map[string]int{}
				for range 2 * engineSlots {
					p, ok := n.place("entry-1", 10*time.Millisecond)
					is.True(ok)
					is.Equal(p.response.Verdict, placement.Placed)
					granted[p.choice.ID]++
					n.slots["entry-1"].firstEvent(p.sequence, 0)
					time.Sleep(20 * time.Millisecond)
				}
				is.Equal(granted, map[string]int{"engine-0": engineSlots, "engine-1": engineSlots})
			})
		})
	}
}

// lateSlotWait is longer than a slot request may be queued and a slot may be missing from
// reports.
const lateSlotWait = 2 * time.Second

// Guards against a number of prompt tokens below 0 in a datagram: it makes an engine look
// idle, so that the broker sends all requests there until its slots are full.
func TestPrefillBelowZeroAttractsNoRequests(t *testing.T) {
	for name, m := range map[string]peerMessage{
		"held slot": {HeldSlots: &heldSlotsMessage{Sequences: []uint64{1}, Endpoints: []uint32{endpointHash("engine-0")}, PrefillTokens: []int32{-1 << 31}}},
		"request":   {SlotRequest: &slotRequestMessage{Sequence: 1, PromptTokens: -1 << 40, Only: endpointHash("engine-0")}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, cancel := newPeerNetwork(t, 2, 2, "near")
				defer cancel()
				m.Service = "quotes"
				for _, s := range n.slots {
					m.From = "entry-9"
					s.receive(m)
				}
				granted := map[string]int{}
				for range engineSlots - 1 { // as many as fit beside the odd one
					p, ok := n.place("entry-1", 10*time.Millisecond)
					is.True(ok)
					granted[p.choice.ID]++
				}
				is.True(granted["engine-1"] > 0)
			})
		})
	}
}

// Guards against a rate limit that a datagram dates to the future: no answer of the endpoint
// would be newer, so the limit would never end.
func TestRateLimitIsNotNamedInFuture(t *testing.T) {
	endpointIDs := map[uint32]string{endpointHash("i-1"): "i-1"}
	now := time.Now()
	for _, c := range []struct {
		perSecond float64
		ageMs     int64
		ok        bool
	}{
		{1, 0, true},
		{math.Inf(1), 20, true},
		{0, 60000, true},
		{1, -1000, true},
		{1, -1 << 63, true},
		{1, 1<<63 - 1, false},
		{1, 1 << 62, false},
		{-1, 0, false},
		{math.NaN(), 0, false},
		{math.Inf(-1), 0, false},
	} {
		is := is.New(t)
		n, ok := rateLimitMessage{Endpoint: endpointHash("i-1"), PerSecond: c.perSecond, AgeMs: c.ageMs}.namedRateLimit(endpointIDs, now)
		is.Equal(ok, c.ok)
		is.True(!ok || !n.NamedAt.After(now))
	}
}

// Guards against a datagram of a length or depth that ends the receiver, or after which it
// reads no more.
func TestMalformedDatagramsAreSkipped(t *testing.T) {
	is := is.New(t)
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	port, err := datagram.Open[peerMessage]("127.0.0.1:0", logger)
	is.NoErr(err)
	received := make(chan peerMessage, 1)
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { port.Receive(ctx, func(m peerMessage) { received <- m }) })
	defer wait.Wait()
	defer port.Close()
	defer cancel()
	conn, err := net.Dial("udp", port.Address().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	for _, data := range [][]byte{
		{}, {0xff}, []byte("{}"), bytes.Repeat([]byte{0x81}, 16<<10), bytes.Repeat([]byte{0xa1, 0x01}, 8<<10), // nested arrays and maps
		{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},                         // an array of 2^64-1 elements
		{0xa1, 0x01, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},             // a name of 2^63-1 bytes
		{0xa2, 0x01, 0x61, 'x', 0x01, 0x61, 'y'},                                       // a key twice
		{0xa1, 0x01, 0x61, 0xff},                                                       // not UTF-8
		{0xa1, 0x04, 0xa1, 0x02, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},       // cut short
		{0xa1, 0x04, 0xa1, 0x02, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // 2^64-1 prompt tokens
		{0xa1, 0x04, 0xa1, 0x02, 0xf9, 0x3c, 0x00},                                     // tokens as a float
	} {
		_, err := conn.Write(data)
		is.NoErr(err)
	}
	data, err := wire.Marshal(peerMessage{From: "entry-1", Service: "quotes"})
	is.NoErr(err)
	_, err = conn.Write(data)
	is.NoErr(err)
	select {
	case m := <-received:
		is.Equal(m.From, "entry-1")
	case <-time.After(10 * time.Second):
		t.Fatal("no datagram is received after malformed ones")
	}
}
