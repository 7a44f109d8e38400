package relay

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

const (
	crashingPart = "deadly"
	// reactionTime is how long after maxCrashes crashes no more than maxCrashRequests
	// requests with the crashing part may reach endpoints.
	reactionTime     = 3 * time.Second
	maxCrashes       = 5
	maxCrashRequests = 3
	restartTime      = 3 * time.Second
)

// connect accepts a connection, unless the endpoint is down.
func (e *limitedEndpoint) connect(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.conns[conn] = true
	}
	return !e.down
}

func (e *limitedEndpoint) disconnect(conn net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, conn)
	_ = conn.Close()
}

// crash closes all connections and refuses new ones for restartTime.
func (e *limitedEndpoint) crash(restarted func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	for conn := range e.conns {
		_ = conn.Close()
	}
	time.AfterFunc(restartTime, func() {
		e.mu.Lock()
		e.down = false
		e.mu.Unlock()
		restarted()
	})
}

// crashes crashes the endpoints that begin to answer a request with the crashing part.
type crashes struct {
	fleet *entryFleet

	mu       sync.Mutex
	times    []time.Time // of crashes
	arrivals []time.Time // of requests with the part
}

// newCrashes lets requests crash all endpoints of a fleet.
func newCrashes(f *entryFleet) *crashes {
	c := &crashes{fleet: f}
	for _, e := range f.endpoints {
		e.crashes = c
	}
	return c
}

// observe reports whether a request crashes its endpoint.
func (c *crashes) observe(r *http.Request, e *limitedEndpoint) bool {
	if c == nil || !strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashingPart) {
		return false
	}
	c.mu.Lock()
	c.arrivals = append(c.arrivals, time.Now())
	c.times = append(c.times, time.Now())
	c.mu.Unlock()
	e.crash(func() { c.fleet.restarted(e) })
	return true
}

// restarted lists an endpoint with a new incarnation.
func (f *entryFleet) restarted(e *limitedEndpoint) {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	listed := map[string][]placement.Endpoint{}
	for service, list := range f.listed {
		for _, known := range list {
			if f.endpoints[known.ID] == e {
				known.Incarnation++
			}
			listed[service] = append(listed[service], known)
		}
	}
	f.listed = listed
	f.update()
}

// late returns how many requests with the crashing part reached endpoints after the
// reaction time.
func (c *crashes) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) < maxCrashes {
		return 0
	}
	from := c.times[maxCrashes-1].Add(reactionTime)
	return len(slices.DeleteFunc(slices.Clone(c.arrivals), func(at time.Time) bool { return !at.After(from) }))
}

// crashLoad sends prompts to the entries in turn, of which one in every crashing ones has
// the crashing part. Callers try again once after a failure. It returns the share of the
// sound requests that were served at their first attempt.
func (f *entryFleet) crashLoad(perSecond, every int, length time.Duration) float64 {
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, sound := 0, 0
	interval := time.Second / time.Duration(perSecond)
	for i := range int(length / interval) {
		middle, crashing := fmt.Sprintf("session-%d:300", i%200), every > 0 && i%every == 0
		if crashing {
			middle = crashingPart + ":300"
		}
		prompt := fmt.Sprintf("first-%d:40,%s,own-%d-%d:200", i%5, middle, time.Now().UnixNano(), i)
		wg.Go(func() {
			status := f.prompt(i%len(f.handlers), prompt)
			if status != http.StatusOK {
				time.Sleep(time.Second)
				f.prompt((i+1)%len(f.handlers), prompt)
			}
			mu.Lock()
			defer mu.Unlock()
			if !crashing {
				sound++
				if status == http.StatusOK {
					served++
				}
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return float64(served) / float64(sound)
}

// prompt sends one prompt to an engine and returns the status of the answer, or 0 if it
// broke off.
func (f *entryFleet) prompt(entry int, parts string) (status int) {
	return f.promptTo(entry, "/stream/quote", parts)
}

func (f *entryFleet) promptTo(entry int, path, parts string) (status int) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("order"))
	r.Host = "orders.example"
	for name, value := range map[string]string{
		"X-Request-Id": fmt.Sprint("request-", parts, "-", time.Now().UnixNano()), "X-Deadline-Ms": "2500", "Authorization": "Bearer " + testKey, "X-Token-Count": "540,60",
		"X-Prompt-Prefix": parts,
	} {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			status = 0
		}
	}()
	f.handlers[entry].ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reasons[Reason(strings.TrimSpace(w.Body.String()))]++
	}
	return w.Code
}

// Guards against requests with one part in their prompts that crash engine after engine,
// and against refusing sound requests that share their other parts.
func TestCrashingPartIsKeptFromEngines(t *testing.T) {
	for _, c := range []struct{ entries, engines, perSecond, every int }{
		{1, 12, 60, 20},
		{4, 12, 60, 20},
		{4, 12, 60, 4},
		{30, 40, 200, 20},
	} {
		t.Run(fmt.Sprintf("%d entries/%d engines/one in %d", c.entries, c.engines, c.every), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stop := newEntryFleet(t, c.entries, c.engines)
				defer stop()
				crashes := newCrashes(f)
				before := f.crashLoad(c.perSecond, 0, 5*time.Second)
				f.crashLoad(c.perSecond, c.every, 2*reactionTime)
				after := f.crashLoad(c.perSecond, c.every, 12*time.Second)
				t.Logf("%d crashes; sound requests served: %.3f before, %.3f after", len(crashes.times), before, after)
				if late := crashes.late(); late > maxCrashRequests {
					t.Errorf("%d requests reached engines more than %v after the fifth crash, allowed %d", late, reactionTime, maxCrashRequests)
				}
				if after < before/2 {
					t.Errorf("%.3f of the sound requests are served at the first attempt, %.3f before the crashes", after, before)
				}
			})
		})
	}
}

// Guards against a request that crashes each endpoint that runs it and comes again, through
// any entry.
func TestRepeatedCrashingRequestIsRefused(t *testing.T) {
	testServices(t, func(t *testing.T, path, service string) {
		is := is.New(t)
		f, stop := newEntryFleet(t, 4, 12)
		defer stop()
		crashes := newCrashes(f)
		for i := range 40 {
			if f.promptTo(i%4, path, crashingPart+":1,own:1") == http.StatusOK {
				t.Fatal("an endpoint answered the request")
			}
			time.Sleep(500 * time.Millisecond)
		}
		is.True(len(crashes.times) <= maxCrashRequests)
		is.Equal(f.promptTo(0, path, "other:1,own:2"), http.StatusOK)
	})
}

// Guards against refusing requests that share parts with those whose endpoints crashed
// without their fault.
func TestCrashesWithoutCauseQuarantineNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newEntryFleet(t, 4, 12)
		defer stop()
		newCrashes(f)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for i := 0; sleep(ctx, 4*time.Second); i++ {
				e := f.endpoints[fmt.Sprint(engineService, "-", i*5%12)]
				e.crash(func() { f.restarted(e) })
			}
		}()
		f.crashLoad(60, 0, 2*time.Minute)
		cancel()
		is.Equal(f.reasons[CrashSuspect]+f.reasons[Quarantined], 0)
		time.Sleep(restartTime)
		is.Equal(f.crashLoad(60, 0, 5*time.Second), 1.0) // all sessions
	})
}

// Guards against an entry that has just started, or has missed reports, and sends requests
// with a part that the others have quarantined.
func TestEntriesExchangeQuarantinedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newEntryFleet(t, 4, 12)
		defer stop()
		f.setDown("entry-3")
		crashes := newCrashes(f)
		for i := range 6 {
			f.prompt(i%3, fmt.Sprintf("first:1,%s:1,own-%d:1", crashingPart, i))
			time.Sleep(time.Second)
		}
		before := len(crashes.times)
		f.peerNetwork.mu.Lock()
		f.down = map[string]bool{}
		started := newCrashGuard(f.handlers[3].log, f.handlers[3].metrics, func(to string, m peerMessage) { f.peerNetwork.send("entry-3", to, m) })
		f.guards["entry-3"] = started
		f.peerNetwork.mu.Unlock()
		is.True(!started.ready(time.Now()))
		started.update([]string{"entry-0", "entry-1", "entry-2"}, time.Now())
		is.True(!started.ready(time.Now()))
		time.Sleep(2*peerDelay + time.Millisecond)
		is.True(started.ready(time.Now()))
		f.handlers[3].guard = started
		is.Equal(f.prompt(3, "first:1,"+crashingPart+":1,own:1"), http.StatusServiceUnavailable)
		is.Equal(len(crashes.times), before)
		part := started.records(time.Now())[0].Part
		is.True(started.lift(part, time.Now()))
		time.Sleep(2 * peerDelay)
		for _, h := range f.handlers {
			is.Equal(h.guard.check(&request{parts: []quarantine.PartID{part}, organisation: "one"}, time.Now()), quarantine.PartVerdict{})
		}
		is.Equal(f.prompt(1, "first:1,own:1"), http.StatusOK) // was in the same crashes
	})
}

// Guards against a quarantine of the parts that all requests of a caller have, after all
// engines have failed together.
func TestPowerLossQuarantinesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newEntryFleet(t, 4, 12)
		defer stop()
		newCrashes(f)
		f.crashLoad(60, 0, 3*time.Second)
		for range 3 {
			time.AfterFunc(2100*time.Millisecond, func() {
				for _, e := range f.endpoints {
					e.crash(func() { f.restarted(e) })
				}
			})
			f.crashLoad(60, 0, 8*time.Second)
		}
		is.Equal(f.crashLoad(60, 0, 5*time.Second), 1.0)
	})
}

// Guards against an entry that goes on to refuse a part after it has missed the report of
// the sound request that cleared it.
func TestEntryThatMissedSoundReportRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newEntryFleet(t, 4, 4)
		defer stop()
		q := &request{call: protocol.Call{PromptParts: []string{"first-0", "own"}}, service: engineService, organisation: "one"}
		q.parts = partIDs(q)[1:]
		for i := range 3 {
			q.placedAt = time.Now()
			time.Sleep(100 * time.Millisecond)
			f.handlers[0].guard.recordCrash(q, placement.Choice{Endpoint: placement.Endpoint{ID: fmt.Sprint("x-", i)}}, time.Now())
			time.Sleep(2 * peerDelay)
		}
		is.True(f.handlers[3].guard.check(q, time.Now()).Quarantined)
		f.setDown("entry-3")
		f.handlers[0].guard.recordSound(q, time.Now(), time.Now())
		time.Sleep(2 * peerDelay)
		f.peerNetwork.mu.Lock()
		clear(f.down)
		f.peerNetwork.mu.Unlock()
		f.crashLoad(60, 0, 10*time.Second) // the entry sends its records to one of the others each second
		is.Equal(f.prompt(3, "first-0:1,session-1:1,own:1"), http.StatusOK)
	})
}

// Guards against a part that stays unknown because it is sound at another service, or
// because it is far behind in a long prompt.
func TestCrashingPartIsFound(t *testing.T) {
	for _, before := range []int{0, 100, 400} {
		t.Run(fmt.Sprint(before, " parts before it"), func(t *testing.T) { testCrashingPartIsFound(t, before) })
	}
}

func testCrashingPartIsFound(t *testing.T, before int) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newEntryFleet(t, 4, 12)
		defer stop()
		crashes := newCrashes(f)
		for id, e := range f.endpoints {
			if strings.HasPrefix(id, plainService) {
				e.crashes = nil
			}
		}
		for i := range 30 {
			var prompt strings.Builder
			for k := range before {
				fmt.Fprintf(&prompt, "p-%d-%d:1,", i, k)
			}
			f.prompt(i%4, fmt.Sprintf("%s%s:1,own-%d:1", prompt.String(), crashingPart, i))
			time.Sleep(300 * time.Millisecond)
			f.promptTo(i%4, "/safe/x", fmt.Sprintf("first:1,%s:1,own-p-%d:1", crashingPart, i))
			time.Sleep(300 * time.Millisecond)
		}
		if late := crashes.late(); late > maxCrashRequests {
			t.Errorf("%d requests reached engines more than %v after the fifth crash, allowed %d", late, reactionTime, maxCrashRequests)
		}
	})
}

// Guards against a datagram with numbers out of range that ends the process, or makes a part
// suspect for good.
func TestOddCrashMessagesLeaveGuardUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newEntryFleet(t, 2, 2)
		defer stop()
		g := f.handlers[0].guard
		for _, n := range []int64{math.MinInt64, -1, math.MaxInt64} {
			g.receive(peerMessage{From: "entry-1", Crash: &crashMessage{AgeMs: n, PlacedAgeMs: n, Parts: []uint64{1}}}, time.Now())
			g.receive(peerMessage{From: "entry-1", Sound: &soundMessage{AgeMs: n, Parts: []uint64{2}}}, time.Now())
			g.receive(peerMessage{From: "entry-1", Suspects: &suspectsMessage{Records: []partRecordMessage{
				{Part: 3, Renewals: int(n), Crashes: []partCrashMessage{{AgeMs: n, PlacedAgeMs: n}}}, {Part: 4},
			}}}, time.Now())
		}
		time.Sleep(time.Hour)
		is.Equal(g.check(&request{parts: []quarantine.PartID{1, 2, 3, 4}}, time.Now()), quarantine.PartVerdict{})
	})
}

// Guards against entries that start together and wait for the records of each other in vain,
// while no entry takes requests.
func TestEntriesThatStartTogetherDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newEntryFleet(t, 4, 1)
		defer stop()
		for _, h := range f.handlers {
			h.guard.mu.Lock()
			timeout := h.guard.syncedBy
			h.guard.mu.Unlock()
			is.New(t).True(time.Now().Before(timeout))
			is.New(t).True(h.guard.ready(time.Now()))
			h.guard.update([]string{"entry-1", "entry-4"}, time.Now()) // another one starts
			is.New(t).True(h.guard.ready(time.Now()))
		}
	})
}
