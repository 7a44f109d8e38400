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

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/internal/entry/entrytest"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
)

func (e *testEntry) order(key, body string, header ...string) answer {
	return e.do(http.MethodPost, "/services/orders/book", body, append([]string{"Idempotency-Key", key, "Rhubarb-Organisation", "org"}, header...)...)
}

// Guards against a non-idempotent call that runs twice or whose result cannot be
// retrieved with the same key, and against refusals with a wrong status or reason.
func TestClaimedCallRunsOnce(t *testing.T) { synctest.Test(t, testClaimedCallRunsOnce) }

func testClaimedCallRunsOnce(t *testing.T) {
	g := serviceGate("s1")
	c := newCluster(t, g)
	e := c.addEntry()
	first := e.order("k1", "two loads")
	c.is.Equal(first.status, http.StatusOK)
	c.is.Equal(first.outcome(), "done")
	again := e.order("k1", "two loads")
	c.is.Equal(again.body, first.body)
	c.is.Equal(again.header.Get(wire.HeaderAttempt), first.header.Get(wire.HeaderAttempt))
	c.is.Equal(g.Executions("k1"), 1)

	c.is.Equal(e.order("k1", "three loads").reason(), "key-conflict")
	missing := e.do(http.MethodPost, "/services/orders/book", "x")
	c.is.Equal(missing.status, http.StatusBadRequest)
	c.is.Equal(missing.reason(), "missing-key")
	// A UUID of version 7 from the year 2020.
	expired := e.order("016f5e66-e800-7000-8000-000000000000", "x")
	c.is.Equal(expired.status, http.StatusGone)
	c.is.Equal(expired.reason(), "key-expired")
	c.is.Equal(expired.outcome(), "not-run")
}

// Guards against a call that runs twice when two entries receive the same key
// concurrently.
func TestSameKeyThroughTwoEntries(t *testing.T) { synctest.Test(t, testSameKeyThroughTwoEntries) }

func testSameKeyThroughTwoEntries(t *testing.T) {
	g := serviceGate("s1")
	g.FirstToken = 50 * time.Millisecond
	c := newCluster(t, g)
	entries := c.addEntries(2)
	for i := range 20 {
		key := fmt.Sprintf("k%d", i)
		answers := make([]answer, 6)
		var wg sync.WaitGroup
		for j := range answers {
			wg.Go(func() { answers[j] = entries[j%2].order(key, "load") })
		}
		wg.Wait()
		c.is.Equal(g.Executions(key), 1)
		for _, a := range answers {
			c.is.Equal(a.outcome(), "done")
			c.is.Equal(a.body, answers[0].body)
		}
	}
}

// Guards against the outcome "unknown" for a call that a restarted gate refused. The
// call was sent once, on its own connection, so the refusal proves that it did not
// run.
func TestRefusalOfRestartedGateIsNotRun(t *testing.T) {
	synctest.Test(t, testRefusalOfRestartedGateIsNotRun)
}

func testRefusalOfRestartedGateIsNotRun(t *testing.T) {
	g := serviceGate("s1")
	var seen atomic.Int32
	g.Fault = func(*http.Request, string) fault {
		if seen.Add(1) == 1 {
			return fault{Kind: entrytest.GateRestarted}
		}
		return fault{}
	}
	c := newCluster(t, g)
	e := c.addEntry()
	refused := e.order("k1", "two loads")
	c.is.Equal(refused.outcome(), "not-run")
	c.is.Equal(refused.reason(), "gate-refused")
	c.is.True(refused.header.Get("Retry-After") != "")
	c.is.Equal(g.Executions("k1"), 0)
	c.eventually("the key is free again", func() bool { return e.order("k1", "two loads").outcome() == "done" })
	c.is.Equal(g.Executions("k1"), 1)
}

// addEntries starts n entries that list each other in their settings.
func (c *cluster) addEntries(n int, change ...func(*Settings)) []*testEntry {
	var entries []*testEntry
	var list []Peer
	listeners := c.listen(n)
	for i, l := range listeners {
		list = append(list, Peer{Name: "entry-" + string(rune('a'+i)), Address: l.Addr().String(), Zone: "z1"})
	}
	for _, l := range listeners {
		entries = append(entries, c.startEntry(l, append(change, func(s *Settings) { s.Entries = list })...))
	}
	return entries
}

// serviceFaults lists the faults of a service call at every step, and no fault.
var serviceFaults = []fault{
	{},
	{Step: entrytest.StepReceived, Kind: entrytest.Kill},
	{Step: entrytest.StepReceived, Kind: entrytest.Stall},
	{Kind: entrytest.Refuse},
	{Step: entrytest.StepStarted, Kind: entrytest.Kill},
	{Step: entrytest.StepStarted, Kind: entrytest.Stall},
	{Step: entrytest.StepLast, Kind: entrytest.Kill},
}

// Guards against the outcome "not run" for a call that ran, and against a second run
// with the same key, under any combination of gate faults and lost replies of
// control.
func TestClaimsUnderFaults(t *testing.T) { synctest.Test(t, testClaimsUnderFaults) }

func testClaimsUnderFaults(t *testing.T) {
	gates := []*entrytest.Gate{serviceGate("s1"), serviceGate("s2")}
	var current, lostReply atomic.Value
	current.Store(fault{})
	lostReply.Store("")
	for _, g := range gates {
		g.Fault = func(*http.Request, string) fault { return current.Load().(fault) }
	}
	c := newCluster(t, gates...)
	var lostReplies atomic.Int32
	c.control.OnPropose = func(cmd ledger.Command) (wire.ProposeReply, bool) {
		kind := lostReply.Load().(string)
		matches := cmd.Claim != nil && strings.HasPrefix(kind, "claim") || cmd.Complete != nil && strings.HasPrefix(kind, "complete")
		if !matches || lostReplies.Add(1) > 1 {
			return wire.ProposeReply{}, false
		}
		if strings.HasSuffix(kind, "answer") {
			c.control.Apply(cmd) // committed, but the reply is "unknown"
		}
		return wire.ProposeReply{Status: wire.ProposeUnknown}, true
	}
	entries := c.addEntries(2, func(s *Settings) {
		s.PlainTimeout, s.QueueWait, s.EjectedShare = Duration(60*time.Millisecond), Duration(60*time.Millisecond), 0.01
	})
	n := 0
	rapid.Check(withoutDeadline{t}, func(rt *rapid.T) {
		n++
		key := fmt.Sprintf("key-%d", n)
		current.Store(rapid.SampledFrom(serviceFaults).Draw(rt, "fault"))
		lostReply.Store(rapid.SampledFrom([]string{"", "claim", "claim-answer", "complete", "complete-answer"}).Draw(rt, "lose"))
		lostReplies.Store(0)
		at := rapid.IntRange(0, 1).Draw(rt, "entry")
		first := entries[at].order(key, "load")
		ran := gates[0].Executions(key) + gates[1].Executions(key)
		switch {
		case first.err != nil:
			rt.Fatal(first.err)
		case ran > 1:
			rt.Fatalf("ran %d times", ran)
		case first.outcome() == "not-run" && ran != 0:
			rt.Fatal("reported as not run, and ran")
		case first.outcome() == "done" && (ran != 1 || !strings.Contains(first.body, `"execution":1`)):
			rt.Fatalf("reported as done with %d runs and %q", ran, first.body)
		}
		current.Store(fault{})
		again := entries[1-at].order(key, "load", "Rhubarb-Deadline-Ms", "2000")
		ran = gates[0].Executions(key) + gates[1].Executions(key)
		switch {
		case ran > 1:
			rt.Fatalf("ran %d times after a repeat", ran)
		case first.outcome() == "done" && again.body != first.body:
			rt.Fatalf("repeat got %q, first %q", again.body, first.body)
		case first.outcome() == "unknown" && again.outcome() == "not-run":
			rt.Fatalf("repeat of an unknown call was not run: %s", again.body)
		}
	})
}

// Guards against callers that wait until their deadline for the result of an entry
// that was lost, and against a second run of its call.
func TestLostEntryLeavesUnknown(t *testing.T) { synctest.Test(t, testLostEntryLeavesUnknown) }

func testLostEntryLeavesUnknown(t *testing.T) {
	g := serviceGate("s1")
	c := newCluster(t, g)
	entries := c.addEntries(2)
	// A claim by an earlier process of the second entry, without a result.
	claim := ledger.Claim{Organisation: "org", Key: "k", Owner: "entry-b.1.1"}
	probe := &call{method: http.MethodPost, pool: servicePrefix + "orders", path: "/book", body: []byte("load")}
	described, refused := newClaim(probe, http.Header{"Idempotency-Key": {"k"}, "Rhubarb-Organisation": {"org"}})
	c.is.True(refused == nil)
	claim.RequestDigest = described.RequestDigest
	c.control.Apply(ledger.Command{Claim: &claim})
	started := time.Now()
	a := entries[0].order("k", "load")
	c.is.Equal(a.outcome(), "unknown")
	c.is.Equal(a.reason(), "owner-lost")
	c.is.True(a.header.Get("Retry-After") != "")
	c.is.True(time.Since(started) < time.Second) // long before the deadline
	c.is.Equal(g.Executions("k"), 0)
}

// Guards against a caller whose deadline passes and that then cannot retrieve the
// result with the same key.
func TestCallOutlivesItsCaller(t *testing.T) { synctest.Test(t, testCallOutlivesItsCaller) }

func testCallOutlivesItsCaller(t *testing.T) {
	g := serviceGate("s1")
	g.FirstToken = 100 * time.Millisecond
	c := newCluster(t, g)
	e := c.addEntry()
	a := e.order("k", "load", "Rhubarb-Deadline-Ms", "50")
	c.is.Equal(a.outcome(), "unknown")
	b := e.order("k", "load")
	c.is.Equal(b.outcome(), "done")
	c.is.Equal(g.Executions("k"), 1)
}

// Guards against calls that run without a committed claim while control has no
// quorum.
func TestNoQuorumMeansNotRun(t *testing.T) { synctest.Test(t, testNoQuorumMeansNotRun) }

func testNoQuorumMeansNotRun(t *testing.T) {
	g := serviceGate("s1")
	c := newCluster(t, g)
	c.control.OnPropose = func(ledger.Command) (wire.ProposeReply, bool) {
		return wire.ProposeReply{Status: wire.ProposeNotRun}, true
	}
	a := c.addEntry().order("k", "load")
	c.is.Equal(a.status, http.StatusServiceUnavailable)
	c.is.Equal(a.reason(), "claims-unavailable")
	c.is.Equal(a.outcome(), "not-run")
	c.is.Equal(g.Executions("k"), 0)
}

// Guards against wrong states of calls looked up by key.
func TestOutcomeByKey(t *testing.T) { synctest.Test(t, testOutcomeByKey) }

func testOutcomeByKey(t *testing.T) {
	g := serviceGate("s1")
	c := newCluster(t, g)
	e := c.addEntry()
	lookup := func(key string) answer {
		return e.do(http.MethodGet, "/v1/outcomes/"+key, "", "Rhubarb-Organisation", "org")
	}
	c.is.Equal(lookup("a/b").status, http.StatusNotFound)
	c.is.Equal(lookup("a/b").outcome(), "") // its claim may not have been committed yet
	e.order("a/b", "load")
	done := lookup("a/b")
	c.is.Equal(done.outcome(), "done")
	c.is.True(strings.Contains(done.body, `"state":"done"`))
	lost := ledger.Claim{Organisation: "org", Key: "lost", Owner: "entry-z.1.1", RequestDigest: "sha256:x"}
	c.control.Apply(ledger.Command{Claim: &lost})
	c.is.Equal(lookup("lost").outcome(), "unknown")
	g.FirstToken = 200 * time.Millisecond
	ended := make(chan answer)
	go func() { ended <- e.order("slow", "load") }()
	c.eventually("the call runs", func() bool { return strings.Contains(lookup("slow").body, `"state":"running"`) })
	c.is.Equal((<-ended).outcome(), "done")
}

// Guards against creation times read from keys that are not version 7 UUIDs.
func TestKeyTime(t *testing.T) {
	is := is.New(t)
	is.Equal(keyTimeMs("018cc251-f400-7abc-8def-0123456789ab"), int64(1704067200000))
	is.Equal(keyTimeMs("018cc251-f400-4abc-8def-0123456789ab"), int64(0))
	is.Equal(keyTimeMs("order-17"), int64(0))
	is.Equal(keyTimeMs("zzzzzzzz-f400-7abc-8def-0123456789ab"), int64(0))
}
