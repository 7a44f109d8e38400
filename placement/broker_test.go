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

func broker(endpoints ...placement.Endpoint) *placement.Broker {
	b := placement.NewBroker(placement.Config{})
	b.Update(engine, endpoints, start)
	return b
}

func slotRequest(entry string, sequence uint64) placement.SlotRequest {
	return placement.SlotRequest{
		SlotRequestID: placement.SlotRequestID{Entry: entry, Sequence: sequence}, Request: placement.Request{PromptTokens: 900, Zone: "a"}, MaxWait: 200 * time.Millisecond,
	}
}

// verdicts returns the last verdict for each sequence.
func verdicts(answers []placement.SlotResponse) map[uint64]placement.Verdict {
	m := map[uint64]placement.Verdict{}
	for _, a := range answers {
		m[a.RequestID.Sequence] = a.Verdict
	}
	return m
}

// Guards against several entries overfilling an engine before they learn of each
// other's requests. 14 entries ask for 20 slots each at a new engine with 16 slots.
// Without a common count, 168 requests went to such an engine.
func TestBrokerGrantsEachSlotOnce(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	for i := range 14 {
		for k := range 20 {
			b.RequestSlot(slotRequest(fmt.Sprint("entry-", i), uint64(k+1)), start)
		}
	}
	placed := 0
	for _, a := range b.TakeResponses() {
		if a.Verdict == placement.Placed {
			placed++
		}
	}
	is.Equal(placed, 16)
}

// Guards against granting two slots when a response is lost and the entry repeats its
// request.
func TestRepeatedRequestGetsSameSlot(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"), endpoint("f"))
	b.RequestSlot(slotRequest("x", 1), start)
	b.RequestSlot(slotRequest("x", 1), start)
	answers := b.TakeResponses()
	is.Equal(len(answers), 2)
	is.Equal(answers[0].Choice.ID, answers[1].Choice.ID)
	_, granted := b.Counts()
	is.Equal(granted, 1)
}

// Guards against resumed streams, or requests that can still meet their objective,
// waiting behind late ones, and against requests that stay queued past their deadline.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	for i := range 16 {
		b.RequestSlot(slotRequest("x", uint64(i+1)), start)
	}
	late, patient, urgent, begun := slotRequest("x", 101), slotRequest("x", 102), slotRequest("x", 103), slotRequest("x", 104)
	late.Late = true
	patient.MaxWait = 300 * time.Millisecond
	begun.Resumed, begun.MaxWait = true, time.Second
	for _, a := range []placement.SlotRequest{late, patient, urgent, begun} {
		b.RequestSlot(a, start)
	}
	got := verdicts(b.TakeResponses())
	for _, sequence := range []uint64{101, 102, 103, 104} {
		is.Equal(got[sequence], placement.Queued)
	}
	var order []uint64
	for i := range 4 {
		b.End(placement.SlotRequestID{Entry: "x", Sequence: uint64(i + 1)}, placement.Success, start.Add(10*time.Millisecond))
		for _, a := range b.TakeResponses() {
			order = append(order, a.RequestID.Sequence)
		}
	}
	is.Equal(order, []uint64{104, 103, 102}) // late requests may not use the last slots
	b.Tick(start.Add(2 * time.Second))
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{101: placement.Full})
}

// Guards against queueing a request although no slot can become free in time, and
// against refusing one although a slot will.
func TestQueueOnlyIfServedInTime(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	for i := range 16 {
		b.RequestSlot(slotRequest("x", uint64(i+1)), start)
	}
	for i := range 40 {
		b.RequestSlot(slotRequest("y", uint64(i+1)), start)
	}
	waiting := 0
	for _, a := range b.TakeResponses() {
		if a.Verdict == placement.Queued {
			waiting++
		}
	}
	most := int(200/(engine.ServiceMs()/16)) + 1
	is.True(waiting > 0)
	is.True(waiting <= most)
}

// Guards against a new broker that does not know the grants of its predecessor and
// grants slots that are in use.
func TestNewBrokerLearnsFromReports(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	var held []placement.HeldSlot
	for i := range 15 {
		held = append(held, placement.HeldSlot{Sequence: uint64(i + 1), Endpoint: "e", PrefillTokens: 100, InPrefill: i%2 == 0})
	}
	b.Reconcile("x", held, start)
	b.RequestSlot(slotRequest("y", 1), start)
	b.RequestSlot(slotRequest("y", 2), start)
	got := verdicts(b.TakeResponses())
	is.Equal(got[1], placement.Placed)
	is.Equal(got[2], placement.Queued)
	// The end of a request that the other broker granted frees its slot.
	b.End(placement.SlotRequestID{Entry: "x", Sequence: 3}, placement.Success, start)
	is.Equal(verdicts(b.TakeResponses())[2], placement.Placed)
}

// Guards against slots that are never released: after a lost grant, and after an entry
// has stopped. An entry that is silent for less than 3 s keeps its slots.
func TestLostGrantsAndSilentEntries(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	b.RequestSlot(slotRequest("x", 1), start)
	b.Reconcile("x", nil, start.Add(50*time.Millisecond)) // sent before the grant arrived
	_, granted := b.Counts()
	is.Equal(granted, 1)
	b.Reconcile("x", nil, start.Add(time.Second))
	_, granted = b.Counts()
	is.Equal(granted, 0)

	b.RequestSlot(slotRequest("x", 2), start.Add(time.Second))
	b.Tick(start.Add(3500 * time.Millisecond))
	_, granted = b.Counts()
	is.Equal(granted, 1)
	b.Tick(start.Add(4100 * time.Millisecond))
	_, granted = b.Counts()
	is.Equal(granted, 0)
}

// Guards against refusing requests in one group while another has free slots, and
// against redirecting all of them to the same group.
func TestRedirectToGroupWithFreeSlots(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	for i := range 16 {
		b.RequestSlot(slotRequest("x", uint64(i+1)), start)
	}
	b.TakeResponses()
	b.RecordSummary("north", placement.Summary{FreeSlots: 8}, 5, start)
	b.RecordSummary("south", placement.Summary{FreeSlots: 4}, 5, start)
	for i := range 4 {
		b.RequestSlot(slotRequest("y", uint64(i+1)), start)
	}
	groups := map[string]int{}
	for _, a := range b.TakeResponses() {
		if a.Verdict == placement.Redirected {
			groups[a.Group]++
		}
	}
	is.Equal(groups, map[string]int{"north": 2, "south": 1})
	redirected := slotRequest("z", 1)
	redirected.Redirected = true
	b.RecordSummary("north", placement.Summary{FreeSlots: 8}, 5, start)
	b.RequestSlot(redirected, start)
	is.True(verdicts(b.TakeResponses())[1] != placement.Redirected) // redirected once only
	b.RequestSlot(slotRequest("z", 2), start.Add(time.Second))      // the summaries have expired
	is.True(verdicts(b.TakeResponses())[2] != placement.Redirected)
}

// Guards against counts that drift when messages are lost: once every entry has
// reported, the broker counts exactly the slots that entries hold. Without loss, no
// engine ever has more requests than slots.
func TestBrokerCountsMatchEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lossy := rapid.Bool().Draw(t, "lossy")
		b := broker(endpoint("e"), endpoint("f"))
		now := start
		entries := []string{"x", "y", "z"}
		held := map[string]map[uint64]placement.HeldSlot{}
		for _, e := range entries {
			held[e] = map[uint64]placement.HeldSlot{}
		}
		asked := map[placement.SlotRequestID]bool{}
		lost := func() bool { return lossy && rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		deliver := func() {
			for _, a := range b.TakeResponses() {
				if a.Verdict == placement.Placed && asked[a.RequestID] && !lost() {
					held[a.RequestID.Entry][a.RequestID.Sequence] = placement.HeldSlot{Sequence: a.RequestID.Sequence, Endpoint: a.Choice.ID, PrefillTokens: 900, InPrefill: true}
				}
				if a.Verdict != placement.Queued {
					delete(asked, a.RequestID)
				}
			}
		}
		var sequence uint64
		report := func(e string) {
			var list []placement.HeldSlot
			for _, s := range slices.Sorted(mapKeys(held[e])) {
				list = append(list, held[e][s])
			}
			b.Reconcile(e, list, now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				sequence++
				a := slotRequest(rapid.SampledFrom(entries).Draw(t, "entry"), sequence)
				asked[a.SlotRequestID] = true
				if !lost() {
					b.RequestSlot(a, now)
				}
				deliver()
			},
			"event": func(t *rapid.T) {
				e := rapid.SampledFrom(entries).Draw(t, "entry")
				for _, s := range slices.Sorted(mapKeys(held[e])) {
					h := held[e][s]
					id := placement.SlotRequestID{Entry: e, Sequence: s}
					if h.InPrefill && rapid.Bool().Draw(t, "first") {
						h.InPrefill, h.PrefillTokens = false, 0
						held[e][s] = h
						if !lost() {
							b.FirstEvent(id, 0, now)
						}
					} else if rapid.Bool().Draw(t, "end") {
						delete(held[e], s)
						if !lost() {
							b.End(id, placement.Success, now)
						}
					}
				}
				deliver()
			},
			"report": func(t *rapid.T) {
				report(rapid.SampledFrom(entries).Draw(t, "entry"))
				deliver()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				b.Tick(now)
				deliver()
			},
			"": func(t *rapid.T) {
				if lossy {
					return
				}
				per := map[string]int{}
				for _, e := range entries {
					for _, h := range held[e] {
						per[h.Endpoint]++
					}
				}
				for id, n := range per {
					if n > engine.Slots {
						t.Fatalf("endpoint %s has %d requests, want at most %d", id, n, engine.Slots)
					}
				}
			},
		})
		clear(asked) // the callers have left: later grants are not held
		now = now.Add(time.Second)
		for range 2 { // the first reports may grant slots to queued requests
			for _, e := range entries {
				report(e)
			}
			now = now.Add(time.Second)
			b.Tick(now)
			b.TakeResponses()
		}
		want := 0
		for _, e := range entries {
			want += len(held[e])
		}
		for _, e := range entries {
			report(e)
		}
		if waiting, granted := b.Counts(); waiting != 0 || granted != want {
			t.Fatalf("broker counts %d queued and %d granted, want 0 queued and %d granted", waiting, granted, want)
		}
	})
}

func mapKeys[V any](m map[uint64]V) func(yield func(uint64) bool) {
	return func(yield func(uint64) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func fleet(entries int, zones ...string) []placement.Entry {
	var list []placement.Entry
	for i := range entries {
		list = append(list, placement.Entry{Name: fmt.Sprint("entry-", i), Zone: zones[i%len(zones)]})
	}
	return list
}

// Guards against endpoints without a broker, at the fleet sizes of the users and with
// zones that have no entry.
func TestEveryEndpointHasABroker(t *testing.T) {
	is := is.New(t)
	zones := []string{"a", "b", "c", "d", "e"}
	for _, c := range []struct{ entries, endpoints, groups int }{
		{1, 12, 1}, {4, 20, 1}, {14, 76, 1}, {16, 88, 1}, {59, 120, 5}, {59, 204, 5}, {3, 204, 3}, {370, 800, 5},
	} {
		groups, ofZone := placement.Groups(fleet(c.entries, zones...), c.endpoints, zones)
		is.Equal(len(groups), c.groups)
		byName := map[string]placement.Group{}
		for _, g := range groups {
			byName[g.Name] = g
		}
		for _, z := range zones {
			is.True(len(byName[ofZone[z]].Brokers) > 0)
		}
	}
}

// Guards against a joining or leaving entry changing the broker of other groups, or the
// order of the remaining entries in its own group: a new broker knows less of the load.
func TestBrokerOrderStableWhenEntryLeaves(t *testing.T) {
	is := is.New(t)
	zones := []string{"a", "b", "c"}
	entries := fleet(15, zones...)
	before, _ := placement.Groups(entries, 150, zones)
	for left := range entries {
		after, _ := placement.Groups(slices.Delete(slices.Clone(entries), left, left+1), 150, zones)
		for i := range before {
			want := slices.DeleteFunc(slices.Clone(before[i].Brokers), func(name string) bool { return name == entries[left].Name })
			is.Equal(after[i].Brokers, want)
		}
	}
}

// suspectRequest is a slot request that may crash its endpoint.
func suspectRequest(sequence uint64, suspects ...uint64) placement.SlotRequest {
	a := slotRequest("entry", sequence)
	a.Suspects, a.Serialized = suspects, true
	return a
}

// Guards against several requests with the same suspect that crash one endpoint each before
// the first crash is known, and against requests behind them that wait as well.
func TestSuspectsBeginOneAfterAnother(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"), endpoint("f"), endpoint("g"))
	b.RequestSlot(suspectRequest(1, 7), start)
	b.RequestSlot(suspectRequest(2, 6, 7), start)
	b.RequestSlot(suspectRequest(3, 7), start)
	b.RequestSlot(slotRequest("entry", 4), start)
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{1: placement.Placed, 2: placement.Queued, 3: placement.Queued, 4: placement.Placed})
	b.FirstEvent(placement.SlotRequestID{Entry: "entry", Sequence: 1}, 0, start)
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{2: placement.Placed})
	b.Tick(start.Add(200 * time.Millisecond)) // the end of the wait
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{3: placement.Full})
}

// Guards against two different suspects at one endpoint, whose crash would not tell which
// of them is the cause, and against a suspect at a busy endpoint while another one is idle.
func TestSuspectsBeginAtDifferentIdleEndpoints(t *testing.T) {
	is := is.New(t)
	far := endpoint("far")
	far.Zone = "b"
	b := broker(endpoint("busy"), far, endpoint("idle"))
	for sequence := range uint64(2) {
		a := slotRequest("other", sequence+1)
		a.Only = "busy"
		b.RequestSlot(a, start)
	}
	b.TakeResponses()
	for sequence := range uint64(3) {
		b.RequestSlot(suspectRequest(sequence+1, sequence+1), start)
	}
	var endpoints []string
	for _, a := range b.TakeResponses() {
		is.Equal(a.Verdict, placement.Placed)
		endpoints = append(endpoints, a.Choice.ID)
	}
	is.Equal(endpoints, []string{"idle", "far", "busy"})
}

// Guards against refusing a suspect because all endpoints begin others at that moment.
func TestSuspectWaitsForEndpointOfAnother(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"), endpoint("f"))
	for sequence := range uint64(3) {
		b.RequestSlot(suspectRequest(sequence+1, sequence+1), start)
	}
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{1: placement.Placed, 2: placement.Placed, 3: placement.Queued})
	b.End(placement.SlotRequestID{Entry: "entry", Sequence: 2}, placement.Success, start)
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{3: placement.Placed})
}

// Guards against refusing a request that has no suspects while suspects wait although slots
// are free.
func TestWaitingSuspectsDelayNoOthers(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"), endpoint("f"))
	for sequence := range uint64(16) {
		a := slotRequest("other", sequence+1)
		a.Only, a.PromptTokens = "f", 1
		b.RequestSlot(a, start)
		b.FirstEvent(a.SlotRequestID, 0, start)
	}
	for sequence := range uint64(4) {
		b.RequestSlot(suspectRequest(sequence+1, sequence+1), start)
	}
	b.TakeResponses()
	b.RequestSlot(slotRequest("entry", 50), start.Add(10*time.Millisecond))
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{50: placement.Placed})
}

// Guards against suspects that get no slot while others are queued all the time, and remain
// suspect because only a sound run clears them.
func TestSuspectsDoNotStarve(t *testing.T) {
	is := is.New(t)
	e := endpoint("e")
	e.Slots = 1
	b := broker(e)
	now := start
	var running []placement.SlotRequestID
	granted := map[uint64]bool{}
	for i := range uint64(200) { // one request in five is a suspect; one comes every 10 ms, one ends every 20 ms
		a := slotRequest("entry", i+1)
		if i%5 == 0 {
			a = suspectRequest(i+1, i+1)
		}
		b.RequestSlot(a, now)
		now = now.Add(10 * time.Millisecond)
		if i%2 == 1 && len(running) > 0 {
			b.FirstEvent(running[0], 0, now)
			b.End(running[0], placement.Success, now)
			running = running[1:]
		}
		b.Tick(now)
		for _, r := range b.TakeResponses() {
			if r.Verdict == placement.Placed {
				granted[r.RequestID.Sequence] = true
				running = append(running, r.RequestID)
			}
		}
	}
	suspects := 0
	for i := uint64(1); i <= 200; i += 5 {
		if granted[i] {
			suspects++
		}
	}
	t.Logf("%d of 40 suspects and %d of 160 others got a slot", suspects, len(granted)-suspects)
	is.True(suspects >= 10) // half of the share of the others
}

// Guards against refusing sound requests because others with the same part, whose endpoint
// crashed once, begin at the same time.
func TestSuspectAfterSingleCrashIsNotRefused(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	for sequence := range uint64(3) {
		a := suspectRequest(sequence+1, 7)
		a.Serialized = false
		b.RequestSlot(a, start)
	}
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{1: placement.Placed, 2: placement.Queued, 3: placement.Queued})
	b.Tick(start.Add(200 * time.Millisecond)) // the end of the wait
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{2: placement.Placed, 3: placement.Placed})
}

// Guards against a queued request whose slot is granted twice: its entry already holds one, which
// another broker has granted.
func TestHeldRequestIsNotQueued(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	for i := range 16 {
		b.RequestSlot(slotRequest("x", uint64(1+i)), start)
	}
	b.RequestSlot(slotRequest("y", 100), start)
	waiting, _ := b.Counts()
	is.Equal(waiting, 1)
	b.Reconcile("y", []placement.HeldSlot{{Sequence: 100, Endpoint: "e"}}, start.Add(10*time.Millisecond))
	waiting, _ = b.Counts()
	is.Equal(waiting, 0)
	for i := range 16 {
		b.End(placement.SlotRequestID{Entry: "x", Sequence: uint64(1 + i)}, placement.Success, start.Add(20*time.Millisecond))
	}
	b.End(placement.SlotRequestID{Entry: "y", Sequence: 100}, placement.Success, start.Add(20*time.Millisecond))
	is.Equal(b.Summary(start.Add(20*time.Millisecond)).FreeSlots, 16)
}

// Guards against a request that is sent to an engine that has restarted, whose weights nobody knows
// yet, because the response for its earlier process was lost.
func TestRepeatedRequestGetsNoSlotOfRestartedEndpoint(t *testing.T) {
	is := is.New(t)
	restarted, other := endpoint("e"), endpoint("f")
	b := broker(restarted)
	b.RequestSlot(slotRequest("x", 1), start)
	restarted.Incarnation, restarted.WeightsVersion = 2, 0
	b.Update(engine, []placement.Endpoint{restarted, other}, start)
	b.RequestSlot(slotRequest("x", 1), start)
	answers := b.TakeResponses()
	is.Equal(len(answers), 2)
	is.Equal(answers[0].Choice.ID, "e")
	is.Equal(answers[1].Verdict, placement.Placed)
	is.Equal(answers[1].Choice.ID, "f")
	_, granted := b.Counts()
	is.Equal(granted, 1)
}
