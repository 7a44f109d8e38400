package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/internal/explain"
	"github.com/rhubarbhill/rhubarbhill/internal/operator"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/platform"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// explainedDocument has a route to engines and one that is split over plain services.
func explainedDocument() *routing.Document {
	route := func(name string, targets ...routing.Target) routing.Route {
		return routing.Route{
			Name: name, Host: "orders.example", Prefix: "/" + name + "/", Kind: routing.Safe, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond,
			Targets: targets, MaxAttempts: 2,
		}
	}
	return &routing.Document{
		Version: 7,
		Routes: []routing.Route{
			route("quote", routing.Target{Service: "quotes", Weight: 1}),
			route("split", routing.Target{Service: "plain", Weight: 3}, routing.Target{Service: "empty", Weight: 1}),
		},
		Services: []routing.Service{
			{Name: "plain"},
			{Name: "empty"},
			{Name: "quotes", Engine: &routing.Engine{
				Slots: engineSlots, Stride: 5, StepMs: 13.3, PrefillPerSecond: 12700, PrefillChunkTokens: 2048, MeanPromptTokens: 1000, MeanAnswerTokens: 75,
			}},
		},
		Organisations: []routing.Organisation{{Name: "one", Keys: []string{testKey}, Priority: 1, Prioritized: true}},
	}
}

// explainingEntry returns the handler of an entry that uses a slotCoordinator.
func explainingEntry(s *slotCoordinator, plain []placement.Endpoint) *handler {
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	table := routing.Compile(explainedDocument())
	d := newDispatcher(1, 100, s)
	d.update(table, map[string][]placement.Endpoint{"plain": plain}, 1)
	m := newRelayMetrics(prometheus.NewRegistry())
	guard := newCrashGuard(logger, m, func(string, peerMessage) {})
	guard.update(nil, time.Now())
	return &handler{
		protocol: platform.Headers{}, fleet: fixedState{table: table}, dispatcher: d, guard: guard, conns: newConnPool(nil),
		metrics: m, log: logger, zone: "a", softWeightsBound: time.Second, weightsBound: time.Second, maxPause: time.Hour,
	}
}

// activeBroker returns the broker of the only group of engines.
func (n *peerNetwork) activeBroker() string {
	s := n.slots["entry-0"]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeBroker[groupKey{"quotes", ""}]
}

func quoteQuery() explain.Query {
	return explain.Query{Host: "orders.example", Path: "/quote/x", Method: http.MethodPost, Key: testKey, PromptTokens: 500}
}

// state prints what decisions of an entry depend on, and what they change.
func (h *handler) state() string {
	d, s := h.dispatcher, h.dispatcher.slots
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	fmt.Fprintln(&b, len(d.pools), d.retryDetectors, s.sequence, s.held, s.suspendedUntil, len(s.waiters), s.pendingEvents, len(s.explanations.waiting), h.guard.list)
	for name, p := range d.pools {
		fmt.Fprintf(&b, "%s %v %+v %+v %d %v\n", name, p.OwnLoads(), p.Explain(placement.Request{}, now), *p.retryBudget, p.queue.Len(), p.RateLimits())
	}
	for key, broker := range s.brokers {
		waiting, granted := broker.Counts()
		fmt.Fprintf(&b, "%v %d %d %+v\n", key, waiting, granted, broker.Explain(placement.SlotRequest{}, nil, now))
	}
	return b.String()
}

// localCase is a drawn state of an entry that places requests to a plain service by itself.
type localCase struct {
	endpoints []placement.Endpoint
	load      []int // endpoints with a running request each
	pauses    []time.Duration
	queued    int
}

func drawLocalCase(t *rapid.T) localCase {
	c := localCase{
		load:   rapid.SliceOfN(rapid.IntRange(0, 2), 0, 6).Draw(t, "load"),
		pauses: rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 5 * time.Second}), 0, 3).Draw(t, "pauses"),
		queued: rapid.SampledFrom([]int{0, 0, 1, 400}).Draw(t, "queued"),
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "endpoints") {
		c.endpoints = append(c.endpoints, placement.Endpoint{
			ID: fmt.Sprint("e", i), Incarnation: 1, Address: "x", Zone: []string{"a", "b"}[i%2], Slots: 2, Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
			Evacuated: rapid.IntRange(0, 3).Draw(t, "evacuated") == 0,
		})
	}
	return c
}

// entry returns an entry in the state of the case.
func (c localCase) entry() *handler {
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	h := explainingEntry(newSlotCoordinator("entry-0", "a", logger, func(string, peerMessage) {}), c.endpoints)
	p := h.dispatcher.pools["plain"]
	// Jitter decides between endpoints; the explanation states its size.
	p.Pool = placement.NewPool(placement.Config{JitterMs: 0.001})
	p.Update(nil, c.endpoints, time.Now())
	for _, at := range c.load {
		p.Begin(fmt.Sprint("e", at), placement.Prefill{})
	}
	for i, length := range c.pauses {
		p.Pause(fmt.Sprint("e", i), 1, time.Now().Add(length))
	}
	for range c.queued {
		p.queue.Push(0, time.Now().Add(time.Second), make(chan struct{}))
	}
	return h
}

// check returns how an explanation changes the state, or differs from what the entry then does.
func (c localCase) check(ctx context.Context, h *handler) (outcome, problem string) {
	table := h.fleet.Table()
	query := explain.Query{Host: "orders.example", Path: "/split/x", Key: testKey}
	for i := 0; query.ID == "" || table.Route(query.Host, query.Path).Pick(hashFraction(query.ID)) != "plain"; i++ {
		query.ID = fmt.Sprint(i)
	}
	before := h.state()
	answer := h.explain(ctx, query)
	if after := h.state(); after != before {
		return "", fmt.Sprintf("the explanation changed the state\n%s\n%s", before, after)
	}
	if len(answer.Targets) != 1 || answer.Targets[0].Service != "plain" {
		return "", fmt.Sprintf("%+v", answer)
	}
	told := answer.Targets[0]
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	q := &request{ctx: ctx, arrived: time.Now(), service: "plain", route: table.Route(query.Host, query.Path), table: table, priority: answer.Rank}
	choice, refused := h.place(q, 0)
	done := explain.Placed
	switch {
	case time.Since(q.arrived) > 0:
		done = explain.Queued
	case refused != nil:
		done = explain.Refused
	}
	if done != told.Outcome {
		return "", fmt.Sprintf("explained %+v, but it was %s: %+v %+v", told, done, choice, refused)
	}
	if done == explain.Refused {
		extra := refused.retryAfter.Milliseconds() - told.Refusal.RetryAfterMs
		if string(refused.reason) != told.Refusal.Reason || refused.status != told.Refusal.Status || extra < 0 || extra > told.Refusal.JitterMs {
			return "", fmt.Sprintf("explained %+v, refused with %+v", told.Refusal, refused)
		}
	}
	return done, ""
}

// Guards against an explanation of a locally placed request that changes the entry's state, and
// against one that differs from what the entry then does.
func TestEntryExplanationAgreesWithPlacement(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		c := drawLocalCase(rt)
		var outcome, problem string
		synctest.Test(t, func(t *testing.T) { outcome, problem = c.check(t.Context(), c.entry()) })
		if problem != "" {
			rt.Fatal(problem)
		}
		seen[outcome]++
	})
	for _, outcome := range []string{explain.Placed, explain.Queued, explain.Refused} {
		if seen[outcome] == 0 {
			t.Errorf("no drawn request was %s", outcome)
		}
	}
	t.Log(seen)
}

// Guards against an explanation that states the knowledge of an entry where a broker decides, or
// that takes a slot.
func TestBrokerOfOtherEntryExplains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, cancel := newPeerNetwork(t, 3, 2, "a")
		defer cancel()
		broker := n.activeBroker()
		asking := "entry-0"
		if broker == asking {
			asking = "entry-1"
		}
		h := explainingEntry(n.slots[asking], nil)
		for i := range 2 * engineSlots {
			told := h.explain(t.Context(), quoteQuery())
			is.Equal(told.Rank, 10)
			target := told.Targets[0]
			is.Equal(target.Outcome, explain.Placed)
			is.Equal(target.Views[0].By, explain.ByBroker)
			is.Equal(target.Views[0].Name, broker)
			is.Equal(target.Views[0].AgeMs, 2*peerDelay.Milliseconds())
			n.slots[broker].mu.Lock()
			_, granted := n.slots[broker].brokers[groupKey{"quotes", ""}].Counts()
			n.slots[broker].mu.Unlock()
			is.Equal(granted, i) // nothing was granted for the explanation
			p, ok := n.place("entry-2", 0)
			is.True(ok)
			is.Equal(p.choice.ID, target.Endpoint)
		}
		told := h.explain(t.Context(), quoteQuery()).Targets[0]
		is.Equal(told.Outcome, explain.Refused)
		is.Equal(told.Refusal.Reason, string(NoSlot))
		table := h.fleet.Table()
		q := &request{ctx: t.Context(), arrived: time.Now(), service: "quotes", route: table.Route("orders.example", "/quote/x"), table: table, priority: 10}
		q.call.PromptTokens = quoteQuery().PromptTokens
		_, refused := h.place(q, 0)
		is.Equal(refused.reason, NoSlot)
		extra := refused.retryAfter.Milliseconds() - told.Refusal.RetryAfterMs
		is.True(extra > -50 && extra <= told.Refusal.JitterMs) // rates have decayed a little meanwhile
		is.Equal(told.Views[0].Placement.Endpoints[0].NotUsable, "full")
		is.Equal(told.Views[0].Placement.Endpoints[0].Running, engineSlots)
	})
}

// Guards against an explanation that suspends a broker that does not answer, or that conceals that
// it did not.
func TestSilentBrokerIsNamedAndNotSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, cancel := newPeerNetwork(t, 3, 2, "a")
		defer cancel()
		broker := n.activeBroker()
		asking := map[bool]string{true: "entry-1", false: "entry-0"}[broker == "entry-0"]
		h := explainingEntry(n.slots[asking], nil)
		n.mu.Lock()
		n.down[broker] = true
		n.mu.Unlock()
		told := h.explain(t.Context(), quoteQuery()).Targets[0]
		is.True(len(told.Views) >= 2)
		is.Equal(told.Views[0].Name, broker)
		is.True(!told.Views[0].Answered)
		is.True(told.Views[1].Name != broker)
		is.Equal(told.Outcome, explain.Placed) // by the next one
		n.slots[asking].mu.Lock()
		is.Equal(len(n.slots[asking].suspendedUntil), 0)
		n.slots[asking].mu.Unlock()
	})
}

// Guards against an explanation that stops at a redirect.
func TestExplanationFollowsRedirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, cancel := newPeerNetwork(t, 4, 102, "a", "b")
		defer cancel()
		time.Sleep(time.Second) // until the groups have exchanged summaries
		h := explainingEntry(n.slots["entry-0"], nil)
		for range 51 * engineSlots {
			p, ok := n.place("entry-0", 0)
			is.True(ok)
			is.Equal(p.key.group, "a")
		}
		told := h.explain(t.Context(), quoteQuery()).Targets[0]
		is.Equal(told.Views[0].Group, "a")
		is.Equal(told.Views[0].Placement.Verdict, placement.Redirected.String())
		is.Equal(told.Views[1].Group, "b")
		is.Equal(told.Outcome, explain.Placed)
		p, ok := n.place("entry-0", 0)
		is.True(ok)
		is.Equal(p.key.group, "b")
	})
}

// Guards against an explanation that no datagram can carry.
func TestExplanationFitsMessage(t *testing.T) {
	is := is.New(t)
	var list []placement.EndpointExplanation
	for i := range 200 {
		list = append(list, placement.EndpointExplanation{
			Endpoint: placement.Endpoint{ID: strings.Repeat("i", 400) + fmt.Sprint(i), Zone: "a", Region: "r"}, Obstacle: placement.ObstacleFull,
		})
	}
	var p explain.Placement
	setEndpoints(&p, list, time.Now())
	is.Equal(len(p.Endpoints), maxExplained)
	limitSize(&p)
	is.Equal(len(p.Endpoints)+p.Omitted, 200)
	is.True(len(p.Endpoints) > 0)
	data, err := wire.Marshal(peerMessage{From: "x", Explanation: &explanationMessage{Sequence: 1, Placement: p}})
	is.NoErr(err)
	is.True(len(data) < 16<<10)
	var m peerMessage
	is.NoErr(wire.Unmarshal(data, &m))
	is.Equal(m.Explanation.Placement, p)
}

// Guards against an answer with the API key, and against a wrong field that is not named.
func TestExplainOverHTTP(t *testing.T) {
	is := is.New(t)
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	s := newSlotCoordinator("entry-0", "a", logger, func(string, peerMessage) {})
	h := explainingEntry(s, []placement.Endpoint{{ID: "p", Incarnation: 1, Address: "x", Zone: "a", Slots: 2}})
	d := &Daemon{settings: DefaultSettings(), handler: h, guard: h.guard, registry: prometheus.NewRegistry()}
	admin := d.adminHandler()
	post := func(query any) (int, string) {
		body, err := json.Marshal(query)
		is.NoErr(err)
		w := httptest.NewRecorder()
		admin.ServeHTTP(w, httptest.NewRequest(http.MethodPost, explain.PathRequest, bytes.NewReader(body)))
		return w.Code, w.Body.String()
	}
	query := quoteQuery()
	query.Path = "/split/x"
	status, body := post(query)
	is.Equal(status, http.StatusOK)
	is.True(!strings.Contains(body, testKey))
	var answer explain.Request
	is.NoErr(json.Unmarshal([]byte(body), &answer))
	is.Equal(answer.Organisation, "one")
	is.Equal(len(answer.Targets), 2) // the whole split, since the query has no ID
	is.Equal(answer.Targets[0].Share, 0.75)
	is.Equal(answer.Targets[0].Endpoint, "p")
	is.Equal(answer.Targets[1].Refusal.Reason, string(NoEndpoint))

	query.Key = "other"
	_, body = post(query)
	is.NoErr(json.Unmarshal([]byte(body), &answer))
	is.Equal(answer.Refusal, &explain.Refusal{Status: http.StatusUnauthorized, Reason: string(UnknownKey)})

	for field, wrong := range map[string]any{
		"host":          map[string]any{"path": "/x"},
		"path":          map[string]any{"host": "h", "path": "x"},
		"prompt_tokens": map[string]any{"host": "h", "path": "/x", "prompt_tokens": -1},
		"deadline_ms":   map[string]any{"host": "h", "path": "/x", "deadline_ms": -1},
		"colour":        map[string]any{"host": "h", "path": "/x", "colour": 1},
	} {
		status, body := post(wrong)
		is.Equal(status, http.StatusBadRequest)
		is.True(strings.Contains(body, field))
	}
}

// Guards against a command that does not show what the broker knows. docs/OPERATIONS.md shows its
// output (go test -run ExplainCommand -v ./internal/relay).
func TestExplainCommand(t *testing.T) {
	is := is.New(t)
	n, cancel := newPeerNetwork(t, 3, 0, "a")
	defer cancel()
	now := time.Now()
	list := []placement.Endpoint{
		{ID: "engine-0", Incarnation: 1, Address: "x", Zone: "a", Region: "eu", WeightsVersion: 8},
		{ID: "engine-1", Incarnation: 1, Address: "x", Zone: "b", Region: "eu", WeightsVersion: 8},
		{ID: "engine-2", Incarnation: 1, Address: "x", Zone: "b", Region: "eu", WeightsVersion: 7},
		{ID: "engine-3", Incarnation: 1, Address: "x", Zone: "c", Region: "eu", WeightsVersion: 8, Evacuated: true},
		{ID: "engine-4", Incarnation: 1, Address: "x", Zone: "a", Region: "eu", WeightsVersion: 8, Draining: true, Leaving: true},
		{ID: "engine-5", Incarnation: 1, Address: "x", Zone: "b", Region: "eu", WeightsVersion: 8, Cold: placement.Cold{Until: now.Add(time.Minute), PerSecond: 18}},
	}
	var entries []placement.Entry
	for name := range n.slots {
		entries = append(entries, placement.Entry{Name: name, Zone: "a"})
	}
	table := routing.Compile(explainedDocument())
	for _, s := range n.slots {
		s.update(table, map[string][]placement.Endpoint{"quotes": list}, entries, now)
	}
	broker := n.activeBroker()
	asking := map[bool]string{true: "entry-1", false: "entry-0"}[broker == "entry-0"]
	h := explainingEntry(n.slots[asking], nil)
	h.fleet = fixedState{table: table, required: 8}
	d := &Daemon{settings: DefaultSettings(), handler: h, guard: h.guard, registry: prometheus.NewRegistry()}
	d.settings.Instance = asking
	admin := httptest.NewServer(d.adminHandler())
	defer admin.Close()
	run := func() (int, string) {
		var out, errOut bytes.Buffer
		code := operator.Main(t.Context(), []string{
			"explain", "request", "--entry", admin.Listener.Addr().String(), "--host", "orders.example", "--path", "/quote/x", "--key", testKey, "--model", "m",
			"--prompt-tokens", "500", "--deadline", "3s",
		}, &out, &errOut)
		t.Logf("exit code %d\n%s%s", code, &out, &errOut)
		return code, strings.Join(strings.Fields(out.String()), " ")
	}
	for range 3 {
		_, ok := n.place(asking, 0)
		is.True(ok)
	}
	code, out := run()
	is.Equal(code, operator.ExitOK)
	for _, part := range []string{"rank 10", "version 8 required", "broker " + broker + ": placed", "cold, for", "old-weights", "evacuated", "leaving"} {
		if !strings.Contains(out, part) {
			t.Errorf("%q is missing", part)
		}
	}
	for range 5 + engineSlots {
		n.place(asking, 0)
	}
	code, out = run()
	is.Equal(code, operator.ExitWouldRefuse)
	for _, part := range []string{"refused", "no-slot", "full"} {
		if !strings.Contains(out, part) {
			t.Errorf("%q is missing", part)
		}
	}
}

// Guards against an explanation that forgets the permits of plain services with a rate limit, or
// that uses one up.
func TestExplanationOfPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, cancel := newPeerNetwork(t, 3, 0, "a")
		defer cancel()
		list := []placement.Endpoint{{ID: "p", Incarnation: 1, Address: "x", Zone: "a", Slots: 2}}
		table := routing.Compile(explainedDocument())
		for _, s := range n.slots {
			s.update(table, map[string][]placement.Endpoint{"plain": list}, []placement.Entry{{Name: "entry-0", Zone: "a"}, {Name: "entry-1", Zone: "a"}}, time.Now())
		}
		h := explainingEntry(n.slots["entry-2"], list)
		perSecond := 0.5
		h.dispatcher.pools["plain"].RecordRateLimit("p", 1, &perSecond, time.Now(), time.Now())
		query := quoteQuery()
		query.Path = "/split/x"
		told := h.explain(t.Context(), query).Targets[0]
		is.Equal(told.Refusal.Reason, string(RateLimited)) // a limit begins without a permit
		is.Equal(told.Views[0].Placement.Endpoints[0].NotUsable, "rate-limited")
		time.Sleep(3 * time.Second)
		told = h.explain(t.Context(), query).Targets[0]
		is.Equal(told.Refusal.Reason, string(RateLimited)) // it begins for the broker with the first request
		q := &request{ctx: t.Context(), arrived: time.Now(), service: "plain", route: table.Route("orders.example", "/split/x"), table: table}
		_, refused := h.place(q, 0)
		is.Equal(refused.reason, RateLimited)
		time.Sleep(5 * time.Second)
		for range 3 {
			told = h.explain(t.Context(), query).Targets[0]
			is.Equal(told.Outcome, explain.Placed)
			is.Equal(len(told.Views), 2)
			is.Equal(told.Views[1].Permit, "p")
			is.Equal(told.Views[1].By, explain.ByBroker)
		}
		q.arrived = time.Now()
		_, refused = h.place(q, 0)
		is.True(refused == nil)
		told = h.explain(t.Context(), query).Targets[0]
		is.Equal(told.Outcome, explain.Refused)
		is.Equal(told.Refusal.Reason, string(RateLimited))
		is.Equal(told.Views[1].Placement.Verdict, placement.RateLimited.String())
	})
}

// Guards against an explanation that leaves out quarantined parts, or that records a crash or a
// sound request.
func TestExplanationOfQuarantinedPart(t *testing.T) {
	is := is.New(t)
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	h := explainingEntry(newSlotCoordinator("entry-0", "a", logger, func(string, peerMessage) {}), []placement.Endpoint{{ID: "p", Incarnation: 1, Address: "x", Zone: "a", Slots: 2}})
	query := quoteQuery()
	query.Path, query.Parts = "/split/x", []string{"shared", "own"}
	is.Equal(h.explain(t.Context(), query).Targets[0].Outcome, explain.Placed)
	var part string
	for i := range 6 { // crashes of different endpoints under different requests with the part
		q := &request{service: "plain", organisation: "one", body: []byte(fmt.Sprint("body ", i))}
		q.placedAt = time.Now()
		q.call.PromptParts = query.Parts
		q.parts = partIDs(q)
		part = formatPart(q.parts[1])
		h.guard.recordCrash(q, placement.Choice{Endpoint: placement.Endpoint{ID: fmt.Sprint("e", i), Incarnation: 1}}, time.Now())
	}
	before := h.state()
	told := h.explain(t.Context(), query).Targets[0]
	is.Equal(h.state(), before)
	is.Equal(told.Outcome, explain.Refused)
	is.Equal(told.Refusal.Reason, string(Quarantined))
	is.Equal(told.Quarantined, part)
	is.Equal(h.explain(t.Context(), quoteQuery()).Targets[0].Quarantined, "") // without the part
}

// Guards against a local queue that is shown under the rank of the explained request.
func TestExplanationOfLocalQueue(t *testing.T) {
	is := is.New(t)
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	h := explainingEntry(newSlotCoordinator("entry-0", "a", logger, func(string, peerMessage) {}), []placement.Endpoint{{ID: "p", Incarnation: 1, Address: "x", Zone: "a", Slots: 2}})
	p := h.dispatcher.pools["plain"]
	for _, rank := range []int{3, 0, 12, 3} {
		p.queue.Push(rank, time.Now(), make(chan struct{}))
	}
	query := quoteQuery()
	query.Path = "/split/x"
	told := h.explain(t.Context(), query).Targets[0].Views[0].Placement
	is.Equal(told.Queue, []explain.QueuedRank{{Class: "any", Rank: 0, Waiting: 1}, {Class: "any", Rank: 3, Waiting: 2}, {Class: "any", Rank: 12, Waiting: 1}})
	is.Equal(told.Ahead, 3) // the rank of the request is 10
}
