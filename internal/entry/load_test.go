package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/entry/entrytest"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

// Guards against a small organisation that is starved, and against refusals that
// take long or have no Retry-After, while a large organisation sends 3 times the
// capacity.
func TestBurstLeavesSmallOrganisationItsShare(t *testing.T) {
	synctest.Test(t, testBurstLeavesSmallOrganisationItsShare)
}

func testBurstLeavesSmallOrganisationItsShare(t *testing.T) {
	gates := []*entrytest.Gate{engineGate("g1"), engineGate("g2")}
	for _, g := range gates {
		g.Capacity, g.Tokens, g.PerToken = 4, 10, 5*time.Millisecond // 50 ms per response
	}
	c := newCluster(t, gates...)
	entries := c.addEntries(2, func(s *Settings) { s.QueueWait = Duration(150 * time.Millisecond) })
	const slots = 8
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var large, refused, late atomic.Int32
	for i := range 3 * slots {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				started := time.Now()
				a := entries[i%2].chat(true, fmt.Sprint("large", i, n), wire.HeaderOrganisation, "large")
				if a.done {
					large.Add(1)
					continue
				}
				refused.Add(1)
				if time.Since(started) > 400*time.Millisecond || a.header.Get("Retry-After") == "" {
					late.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	const small = 20
	done := 0
	for i := range small {
		if entries[i%2].chat(true, fmt.Sprint("small", i), wire.HeaderOrganisation, "small").done {
			done++
		}
	}
	close(stop)
	wg.Wait()
	t.Logf("small %d of %d, large %d, refused %d", done, small, large.Load(), refused.Load())
	c.is.Equal(done, small)
	c.is.True(large.Load() > 0)
	c.is.Equal(late.Load(), int32(0))
	for _, g := range gates {
		_, _, peak, _ := g.AttemptCounts()
		c.is.True(peak <= g.Capacity)
	}
}

// Guards against a limit on requests in flight that each entry applies on its own
// instead of sharing it.
func TestLimitHoldsOverEntries(t *testing.T) { synctest.Test(t, testLimitHoldsOverEntries) }

func testLimitHoldsOverEntries(t *testing.T) {
	g := engineGate("g1")
	g.Capacity, g.Tokens, g.PerToken = 64, 40, 5*time.Millisecond
	c := newCluster(t, g)
	entries := c.addEntries(4, func(s *Settings) {
		s.Organisations = map[string]OrganisationSettings{"org": {MaxInFlight: 6}}
	})
	// Concurrently, before the entries have exchanged their demand.
	var wg sync.WaitGroup
	for i := range 48 {
		wg.Go(func() { entries[i%4].chat(true, fmt.Sprint(i), wire.HeaderOrganisation, "org") })
	}
	wg.Wait()
	_, _, peak, _ := g.AttemptCounts()
	t.Logf("peak %d", peak)
	c.is.True(peak <= 6)
	c.is.True(peak >= 4) // the limit is used
}

// Guards against a crashing request that crashes more than two endpoints while its
// caller resends it through every entry, with and without a list from control.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Run("listed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { testCrashingRequest(t, true) })
	})
	t.Run("control silent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { testCrashingRequest(t, false) })
	})
}

func testCrashingRequest(t *testing.T, lists bool) {
	var gates []*entrytest.Gate
	for i := range 5 {
		gates = append(gates, engineGate(fmt.Sprintf("g%d", i)))
	}
	var lost atomic.Int32
	var control *entrytest.Control
	var mu sync.Mutex
	crashed := []string{}
	fingerprint := quarantine.Fingerprint(pathChat, []byte(chatText(true, "poison")))
	for _, g := range gates {
		g.Fault = func(r *http.Request, body string) fault {
			if !strings.Contains(body, "poison") {
				return fault{}
			}
			if lost.Add(1) <= 2 && r.Header.Get(wire.HeaderFingerprint) != fingerprint {
				t.Error("another fingerprint")
			}
			mu.Lock()
			crashed = append(crashed, g.ID)
			listed := wire.QuarantinedRequest{
				Fingerprint: fingerprint, Until: time.Now().Add(time.Hour).UnixMilli(), Crashed: crashed, Quarantined: len(crashed) > 1,
			}
			mu.Unlock()
			if lists {
				control.SetCatalogue(testCatalogue(), listed) // as control does after an agent's report
			}
			return fault{Step: entrytest.StepStarted, Kind: entrytest.Kill}
		}
	}
	c := newCluster(t, gates...)
	control = c.control
	entries := c.addEntries(2)
	c.eventually("entries know each other", func() bool {
		return entries[0].peers.allReportedSince(time.Now().Add(-peerExpiry)) && entries[1].peers.allReportedSince(time.Now().Add(-peerExpiry))
	})
	for i := range 20 {
		a := entries[i%2].chat(i%3 != 0, "poison", wire.HeaderOrganisation, fmt.Sprint(i))
		c.is.True(a.outcome() != "done")
		if i > 0 {
			c.is.Equal(a.reason(), "quarantined")
			c.is.Equal(a.status, http.StatusUnprocessableEntity)
			c.is.True(strings.Contains(a.body, "until"))
			c.is.True(a.header.Get("Retry-After") != "")
		}
	}
	c.is.Equal(lost.Load(), int32(2))
	c.is.True(entries[0].chat(true, "neighbour").done)
}

// Guards against a harmless request that remains a suspect because it ran on an
// endpoint when another request crashed it.
func TestNeighbourIsCleared(t *testing.T) { synctest.Test(t, testNeighbourIsCleared) }

func testNeighbourIsCleared(t *testing.T) {
	g := engineGate("g1")
	other := engineGate("g2")
	c := newCluster(t, g, other)
	fingerprint := quarantine.Fingerprint(pathChat, []byte(chatText(true, "neighbour")))
	e := c.addEntry()
	c.control.SetCatalogue(testCatalogue(), wire.QuarantinedRequest{
		Fingerprint: fingerprint, Until: time.Now().Add(time.Hour).UnixMilli(), Crashed: []string{"g1"},
	})
	c.eventually("entry knows the suspect", func() bool {
		e.suspects.mu.Lock()
		defer e.suspects.mu.Unlock()
		return e.suspects.list.Check(fingerprint, time.Now()).Exclusive
	})
	c.is.True(e.chat(true, "neighbour").done)
	_, exclusive, _, _ := other.AttemptCounts()
	c.is.Equal(exclusive, 1)
	c.eventually("control receives the clearance", func() bool {
		for _, cmd := range c.control.Commands() {
			if cmd.Clear != nil && cmd.Clear.Fingerprint == fingerprint {
				return true
			}
		}
		return false
	})
	c.is.True(e.chat(true, "neighbour").done)
	_, exclusive, _, _ = other.AttemptCounts()
	c.is.Equal(exclusive, 1)
}

// Guards against an unreported crash of an endpoint that is lost together with its
// agent.
func TestLostInstanceIsReported(t *testing.T) { synctest.Test(t, testLostInstanceIsReported) }

func testLostInstanceIsReported(t *testing.T) {
	g := engineGate("g1")
	c := newCluster(t, g)
	g.Fault = func(_ *http.Request, body string) fault {
		if isProbe(body) {
			return fault{}
		}
		go g.Close()
		time.Sleep(20 * time.Millisecond)
		return fault{Step: entrytest.StepStarted, Kind: entrytest.Kill}
	}
	a := c.addEntry().chat(true, "hello")
	c.is.Equal(a.outcome(), "unknown")
	c.eventually("the loss is reported", func() bool {
		for _, cmd := range c.control.Commands() {
			if cmd.Crash != nil && cmd.Crash.Endpoint == "g1" {
				return len(cmd.Crash.Fingerprints) == 1
			}
		}
		return false
	})
}

// Guards against a graceful stop that interrupts streams, leaves the address in
// address lists, or rejects callers whose address list is still valid.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	synctest.Test(t, testPlannedStopInterruptsNothing)
}

func testPlannedStopInterruptsNothing(t *testing.T) {
	g := engineGate("g1")
	g.Capacity, g.Tokens, g.PerToken = 64, 100, 20*time.Millisecond // 2 s, longer than the drain delay
	c := newCluster(t, g)
	entries := c.addEntries(2)
	draining, remaining := entries[0], entries[1]
	addresses := func(e *testEntry) string { return e.do(http.MethodGet, "/v1/addresses?zone=z1", "").body }
	c.eventually("both are listed", func() bool {
		return strings.Contains(addresses(remaining), `"entry-a"`) && strings.Contains(addresses(draining), `"entry-b"`)
	})
	long := make(chan answer, 1)
	go func() { long <- draining.chat(true, "long") }()
	c.eventually("the stream began", func() bool { n, _, _, _ := g.AttemptCounts(); return n > 0 })
	stopped := make(chan struct{})
	go func() { draining.stop(); close(stopped) }()
	c.eventually("stopping", func() bool { return draining.stopping.Load() })
	c.is.True(!strings.Contains(addresses(draining), `"entry-a"`)) // at once
	c.is.True(draining.chat(true, "during notice").done)
	c.eventually("the other entry no longer lists it", func() bool { return !strings.Contains(addresses(remaining), `"entry-a"`) })
	a := <-long
	c.is.True(a.done)
	c.is.Equal(a.text, entrytest.AnswerText(100))
	<-stopped
	c.is.True(draining.chat(true, "after").err != nil)
}

// Guards against address lists that do not rank the caller's zone first.
func TestAddressesRankZoneFirst(t *testing.T) { synctest.Test(t, testAddressesRankZoneFirst) }

func testAddressesRankZoneFirst(t *testing.T) {
	c := newCluster(t, engineGate("g1"))
	list := []Peer{{Name: "entry-x", Address: "127.0.0.1:1", Zone: "z2"}, {Name: "entry-y", Address: "127.0.0.1:2", Zone: "z3"}}
	e := c.addEntry(func(s *Settings) {
		s.Entries = append(list, Peer{Name: s.Instance, Address: s.Advertise, Zone: s.Zone})
	})
	for _, p := range list {
		e.peers.recordUsage(p.Name, usage{Name: p.Name}, time.Now())
	}
	for _, zone := range []string{"z1", "z2", "z3"} {
		a := e.do(http.MethodGet, "/v1/addresses?zone="+zone, "")
		first, _, _ := strings.Cut(strings.TrimPrefix(a.body, `{"addresses":[{`), "}")
		c.is.True(strings.Contains(first, `"zone":"`+zone+`"`))
		c.is.True(strings.Contains(a.body, `"ttl_seconds":0.1`))
	}
}
