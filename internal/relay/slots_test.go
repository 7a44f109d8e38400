package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// peerNetwork connects several entries that exchange messages, encoded as on the wire,
// in virtual time.
type peerNetwork struct {
	t     *testing.T
	ctx   context.Context // ends with the test
	mu    sync.Mutex
	slots map[string]*slotCoordinator
	// guards receive the messages that are not for slots.
	guards map[string]*crashGuard
	down   map[string]bool // entries that send and receive nothing
	loss   float64
	rand   *rand.Rand
	sent   map[string]int
}

const (
	peerDelay   = 3 * time.Millisecond
	engineSlots = 4
)

func newPeerNetwork(t *testing.T, entries, engines int, zones ...string) (*peerNetwork, context.CancelFunc) {
	n := &peerNetwork{t: t, slots: map[string]*slotCoordinator{}, guards: map[string]*crashGuard{}, down: map[string]bool{}, rand: rand.New(rand.NewPCG(1, 2)), sent: map[string]int{}}
	ctx, cancel := context.WithCancel(t.Context())
	n.ctx = ctx
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	for i := range entries {
		name := fmt.Sprint("entry-", i)
		n.slots[name] = newSlotCoordinator(name, zones[i%len(zones)], logger, func(to string, m peerMessage) { n.send(name, to, m) })
	}
	n.update(engines, zones)
	for _, s := range n.slots {
		go s.run(ctx)
	}
	return n, cancel
}

func (n *peerNetwork) update(engines int, zones []string) {
	table := routing.Compile(&routing.Document{Services: []routing.Service{{Name: "quotes", Engine: &routing.Engine{
		Slots: engineSlots, Stride: 5, StepMs: 13.3, PrefillPerSecond: 12700, PrefillChunkTokens: 2048, MeanPromptTokens: 1000, MeanAnswerTokens: 75,
	}}}})
	var list []placement.Endpoint
	for i := range engines {
		list = append(list, placement.Endpoint{ID: fmt.Sprint("engine-", i), Incarnation: 1, Address: "x", Zone: zones[i%len(zones)], WeightsVersion: 1})
	}
	var entries []placement.Entry
	for i := range len(n.slots) {
		entries = append(entries, placement.Entry{Name: fmt.Sprint("entry-", i), Zone: zones[i%len(zones)]})
	}
	for _, s := range n.slots {
		s.update(table, map[string][]placement.Endpoint{"quotes": list}, entries, time.Now())
	}
}

func (n *peerNetwork) send(from, to string, m peerMessage) {
	m.From = from
	data, err := wire.Marshal(m)
	if err != nil {
		n.t.Error(err)
		return
	}
	n.mu.Lock()
	lost := n.down[from] || n.down[to] || n.rand.Float64() < n.loss
	n.sent[to]++
	s, g := n.slots[to], n.guards[to]
	n.mu.Unlock()
	if lost || s == nil {
		return
	}
	time.AfterFunc(peerDelay, func() {
		var m peerMessage
		if err := wire.Unmarshal(data, &m); err != nil {
			n.t.Error(err)
			return
		}
		if g == nil || !g.receive(m, time.Now()) {
			s.receive(m)
		}
	})
}

func (n *peerNetwork) place(entry string, maxWait time.Duration) (slotResult, bool) {
	a := placement.SlotRequest{Request: placement.Request{PromptTokens: 500, Zone: "a"}, MaxWait: maxWait}
	return n.slots[entry].requestSlot(n.t.Context(), "quotes", n.slots[entry].zone, a)
}

// Guards against entries that together send an engine more requests than it has slots,
// although each knows only its own, and against slots that stay unused.
func TestEntriesShareSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, cancel := newPeerNetwork(t, 6, 3, "a")
		defer cancel()
		got := map[string]int{}
		for i := range 18 {
			if p, ok := n.place(fmt.Sprint("entry-", i%6), 0); ok && p.response.Verdict == placement.Placed {
				got[p.choice.ID]++
			}
		}
		is.Equal(got, map[string]int{"engine-0": engineSlots, "engine-1": engineSlots, "engine-2": engineSlots})
	})
}

// Guards against slots that a broker takes for free, because an entry holds more than a report lists.
func TestReportsListAllHeldSlots(t *testing.T) {
	for _, holder := range []string{"entry-0", "entry-1"} { // one of them is the broker
		t.Run(holder, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const engines = 3 * maxHeldReported / engineSlots
				n, cancel := newPeerNetwork(t, 2, engines, "a")
				defer cancel()
				var held []slotResult
				for range engines * engineSlots {
					p, ok := n.place(holder, 0)
					is.True(ok && p.response.Verdict == placement.Placed)
					n.slots[holder].firstEvent(p.sequence, 0)
					held = append(held, p)
				}
				for range 4 {
					time.Sleep(reportInterval)
					p, ok := n.place("entry-0", 0)
					is.True(!ok || p.response.Verdict != placement.Placed) // all slots are in use
				}
				n.slots[holder].forgetHeld(held[700].sequence) // the message of its end is lost
				time.Sleep(2 * reportInterval)
				p, ok := n.place("entry-0", 0)
				is.True(ok && p.response.Verdict == placement.Placed)
			})
		})
	}
}

// Guards against a queued request that waits for its full time although a slot becomes
// free at another entry.
func TestQueuedRequestGetsNextSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, cancel := newPeerNetwork(t, 3, 1, "a")
		defer cancel()
		var held []slotResult
		for range engineSlots {
			p, ok := n.place("entry-0", 0)
			is.True(ok)
			held = append(held, p)
		}
		time.AfterFunc(100*time.Millisecond, func() { n.slots["entry-0"].end(held[0].sequence, placement.Success) })
		before := time.Now()
		p, ok := n.place("entry-1", time.Second)
		is.True(ok)
		is.Equal(p.response.Verdict, placement.Placed)
		is.True(time.Since(before) < 100*time.Millisecond+eventFlushInterval+3*peerDelay)
	})
}

// Guards against requests that fail or hang while the broker does not respond. The next
// entry takes over with the slots that the others report, and no slot is granted twice.
func TestUnresponsiveBrokerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, cancel := newPeerNetwork(t, 5, 1, "a")
		defer cancel()
		first := n.slots["entry-0"].activeBroker[groupKey{"quotes", ""}]
		requester := "entry-0"
		if first == requester {
			requester = "entry-1"
		}
		for range engineSlots - 1 {
			_, ok := n.place(requester, 0)
			is.True(ok)
		}
		time.Sleep(2 * reportInterval)
		n.mu.Lock()
		n.down[first] = true
		n.mu.Unlock()
		before := time.Now()
		p, ok := n.place(requester, 0)
		is.True(ok)
		is.Equal(p.response.Verdict, placement.Placed)
		is.True(p.broker != first)
		is.True(time.Since(before) <= triesPerBroker*slotRequestTimeout+2*peerDelay)
		p, ok = n.place(requester, 0)
		is.True(ok)
		is.Equal(p.response.Verdict, placement.Full)
		is.Equal(p.requests, 1) // the unresponsive broker is suspended
	})
}

// Guards against slot requests that hang if no broker can be reached.
func TestNoBrokerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, cancel := newPeerNetwork(t, 5, 1, "a")
		defer cancel()
		n.loss = 1
		requester := "entry-0"
		if n.slots[requester].activeBroker[groupKey{"quotes", ""}] == requester {
			requester = "entry-1"
		}
		before := time.Now()
		_, ok := n.place(requester, 0)
		is.True(!ok || time.Since(before) <= maxBrokersTried*triesPerBroker*slotRequestTimeout)
		is.True(time.Since(before) <= maxBrokersTried*triesPerBroker*slotRequestTimeout)
	})
}

// Guards against refusals by a full group while another group has free slots.
func TestFullGroupRedirects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// Too many engines for one broker: they are divided into two groups.
		n, cancel := newPeerNetwork(t, 6, 120, "a", "b")
		defer cancel()
		time.Sleep(2 * summaryInterval)
		zones := map[string]int{}
		for range 60*engineSlots + 8 {
			p, ok := n.place("entry-0", 0)
			is.True(ok)
			if p.response.Verdict == placement.Placed {
				zones[p.choice.Zone]++
			}
		}
		is.Equal(zones, map[string]int{"a": 60 * engineSlots, "b": 8})
	})
}

// Guards against slots that leak when messages are lost. With 10% of messages lost, all
// slots are free again once the requests have ended and reports have arrived.
func TestLostMessagesLeakNoSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, cancel := newPeerNetwork(t, 4, 4, "a")
		defer cancel()
		n.loss = 0.1
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				s := n.slots[fmt.Sprint("entry-", i%4)]
				p, ok := n.place(fmt.Sprint("entry-", i%4), 200*time.Millisecond)
				if !ok || p.response.Verdict != placement.Placed {
					return
				}
				time.Sleep(100 * time.Millisecond)
				s.firstEvent(p.sequence, 0)
				time.Sleep(300 * time.Millisecond)
				s.end(p.sequence, placement.Success)
			})
		}
		wg.Wait()
		// A broker that was asked only while the first did not respond gets no reports and
		// releases its grants after 3 s.
		time.Sleep(4 * time.Second)
		for name, s := range n.slots {
			s.mu.Lock()
			for key, b := range s.brokers {
				waiting, granted := b.Counts()
				if waiting+granted > 0 {
					t.Errorf("%s, group %q: %d waiting, %d granted", name, key.group, waiting, granted)
				}
			}
			is.Equal(len(s.held), 0)
			is.Equal(len(s.waiters), 0)
			s.mu.Unlock()
		}
	})
}

// Guards against passing over a broker that responds, because a queued request waits for
// longer than a broker without a response may take.
func TestLongWaitDoesNotSuspendBroker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, cancel := newPeerNetwork(t, 3, 2, "a")
		defer cancel()
		place := func(entry string) slotResult {
			p, ok := n.slots[entry].requestSlot(t.Context(), "quotes", "a", placement.SlotRequest{
				Request: placement.Request{PromptTokens: 500, Zone: "a", Suspects: []uint64{7}}, MaxWait: 1200 * time.Millisecond, Resumed: true,
			})
			is.True(ok)
			return p
		}
		first := place("entry-0")
		time.AfterFunc(600*time.Millisecond, func() { n.slots["entry-0"].firstEvent(first.sequence, 0) })
		before := time.Now()
		second := place("entry-1")
		is.Equal(second.broker, first.broker)
		is.True(time.Since(before) >= 600*time.Millisecond) // after the first has begun
	})
}

// forgetHeld makes an entry hold a slot no more without telling the broker.
func (s *slotCoordinator) forgetHeld(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, sequence)
}
