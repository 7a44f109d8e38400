package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/network/memnet"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/transfer"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/outcome"
	"github.com/rhubarbhill/rhubarbhill/release"
)

func TestMain(m *testing.M) {
	if path := os.Getenv(costSettings); path != "" {
		runForCost(path)
		return
	}
	goleak.VerifyTestMain(m)
}

const (
	testToken   = "0123456789abcdef0123"
	gateAddress = "10.0.1.1:80"
	engineHost  = "engine"
	agentHost   = "agent"
)

// fakeControl is a voter that answers what the test sets.
type fakeControl struct {
	mu         sync.Mutex
	name       string
	revision   uint64
	unresolved bool
	voters     []string
	voterIndex uint64
	catalogue  release.Catalogue
	sessions   map[*transport.Session]bool
	announced  []wire.Announce
	proposed   []ledger.Command
}

func (c *fakeControl) handle(_ context.Context, s *transport.Session, env wire.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch env.Type {
	case wire.TypeSubscribe:
		c.sessions[s] = true
		_ = s.Send(full(c.catalogue))
	case wire.TypeAnnounce:
		var a wire.Announce
		if env.Into(&a) == nil {
			c.announced = append(c.announced, a)
		}
	case wire.TypeConfirmRequest:
		var r wire.ConfirmRequest
		_ = env.Into(&r)
		_ = s.Send(wire.ConfirmReply{
			Mark: r.Mark, Replica: c.name, Revision: c.revision, Unresolved: c.unresolved,
			Voters: c.voters, VoterIndex: c.voterIndex, Term: 3,
		})
	case wire.TypePropose:
		var p wire.Propose
		var cmd ledger.Command
		_ = env.Into(&p)
		_ = wire.Unmarshal(p.Command, &cmd)
		c.proposed = append(c.proposed, cmd)
		result, _ := wire.Marshal(ledger.Result{Status: ledger.StatusAccepted})
		_ = s.Reply(env, wire.ProposeReply{Status: wire.ProposeCommitted, Result: result})
	}
}

func full(c release.Catalogue) wire.Catalogue {
	return wire.Catalogue{Revision: c.Revision, Digest: c.Digest(), Full: &c}
}

// fakeEngine is an engine whose faults are functions.
type fakeEngine struct {
	mu      sync.Mutex
	sets    []wire.LoadedSet
	fence   uint64
	started int64
	checks  bool // refuses old fencing tokens
	orders  []engine.Order
	chats   int
	probes  int
	// order, chat and probe, when set, replace the normal behaviour.
	order func(o engine.Order) (status int)
	chat  func(w http.ResponseWriter, r *http.Request, setID string)
	probe func(r *http.Request)
	// reportDelay delays set reports.
	reportDelay time.Duration
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/engine/sets":
		e.mu.Lock()
		delay := e.reportDelay
		e.mu.Unlock()
		time.Sleep(delay)
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(engine.Sets{Fence: e.fence, Sets: e.sets, Started: e.started})
	case "/engine/orders":
		var o engine.Order
		_ = json.NewDecoder(r.Body).Decode(&o)
		w.WriteHeader(e.obey(o))
	case engine.PathChat:
		e.serveChat(w, r)
	}
}

func (e *fakeEngine) obey(o engine.Order) int {
	e.mu.Lock()
	e.orders = append(e.orders, o)
	hook := e.order
	e.mu.Unlock()
	if hook != nil {
		if status := hook(o); status != 0 {
			return status
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && o.Fence < e.fence {
		return http.StatusConflict
	}
	e.fence = max(e.fence, o.Fence)
	e.sets = slices.DeleteFunc(e.sets, func(l wire.LoadedSet) bool { return l.Model == o.Set.Model })
	if o.Action == engine.ActionLoad {
		e.sets = append(e.sets, wire.LoadedSet{Model: o.Set.Model, Version: o.Set.Version, SetID: o.Set.SetID})
	}
	return http.StatusOK
}

// change sets faults while the engine serves.
func (e *fakeEngine) change(f func(e *fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

// ordered returns the orders received so far.
func (e *fakeEngine) ordered() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *fakeEngine) served() (chats, probes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.chats, e.probes
}

func (e *fakeEngine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var request struct {
		Model     string `json:"model"`
		MaxTokens int    `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &request)
	e.mu.Lock()
	i := slices.IndexFunc(e.sets, func(l wire.LoadedSet) bool { return l.Model == request.Model })
	if i < 0 {
		e.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	setID, hook, probe := e.sets[i].SetID, e.chat, e.probe
	isProbe := request.MaxTokens == 1
	if isProbe {
		e.probes++
	} else {
		e.chats++
	}
	e.mu.Unlock()
	if isProbe {
		if probe != nil {
			probe(r)
		}
		_, _ = io.WriteString(w, "{}")
		return
	}
	if hook != nil {
		hook(w, r, setID)
		return
	}
	tokens(w, setID, 0, 3)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// tokens streams part of an answer.
func tokens(w http.ResponseWriter, setID string, from, to int) {
	w.Header().Set(engine.HeaderWeightsSet, setID)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < to; i++ {
		event(w, "answer", setID, i)
	}
}

func event(w http.ResponseWriter, id, setID string, token int) {
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"system_fingerprint\":%q,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, setID, token)
	_ = http.NewResponseController(w).Flush()
}

// fakeWeights has every set at once, or when released.
type fakeWeights struct {
	mu       sync.Mutex
	hold     chan struct{}
	fetched  []string
	pressure float64
}

func (f *fakeWeights) SetPeers([]transfer.Peer)         {}
func (f *fakeWeights) Progress() []wire.RolloutProgress { return nil }
func (f *fakeWeights) PeerHandler() http.Handler        { return http.NotFoundHandler() }
func (f *fakeWeights) Cancel(string)                    {}
func (f *fakeWeights) Prune([]string) error             { return nil }
func (f *fakeWeights) SetPressure(x float64)            { f.mu.Lock(); f.pressure = x; f.mu.Unlock() }

func (f *fakeWeights) setHold(hold chan struct{}) { f.mu.Lock(); f.hold = hold; f.mu.Unlock() }
func (f *fakeWeights) fetches() int               { f.mu.Lock(); defer f.mu.Unlock(); return len(f.fetched) }

func (f *fakeWeights) Fetch(ctx context.Context, set release.WeightsSet) (string, error) {
	f.mu.Lock()
	hold := f.hold
	f.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetched = append(f.fetched, set.ID())
	return "/cache/" + set.ID(), nil
}

// rig is an agent between four fake voters and a fake engine, in memory.
type rig struct {
	t        *testing.T
	net      *memnet.Network
	controls []*fakeControl
	engine   *fakeEngine
	weights  *fakeWeights
	servers  []*http.Server
	token    auth.Token
	settings Settings

	agent   *Agent
	stopRun context.CancelFunc
	stopped chan error
	counter uint64
}

// run runs test under virtual time with an agent that serves revision 1.
func run(t *testing.T, prepare func(r *rig), test func(r *rig)) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte(testToken), 0o600); err != nil {
		t.Fatal(err)
	}
	token, err := auth.ReadToken(path)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, token)
		if prepare != nil {
			prepare(r)
		}
		r.start()
		defer r.end()
		time.Sleep(3 * time.Second)
		test(r)
	})
}

// end stops everything, also after a failure.
func (r *rig) end() {
	hosts := []string{"c0", "c1", "c2", "c3", engineHost, agentHost, "entry"}
	for _, h := range hosts {
		r.net.Isolate(h, hosts, false)
	}
	if r.agent != nil {
		r.engine.change(func(e *fakeEngine) { e.chat, e.probe, e.order = nil, nil, nil })
		r.stop()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	for _, h := range hosts {
		r.net.Stop(h)
	}
	time.Sleep(10 * time.Second)
}

func newRig(t *testing.T, token auth.Token) *rig {
	r := &rig{t: t, net: memnet.New(), token: token, engine: &fakeEngine{started: 1, checks: true}, weights: &fakeWeights{}}
	names := []string{"c0", "c1", "c2", "c3"}
	s := DefaultSettings()
	s.Instance, s.Zone, s.Region = "i1", "z1", "r1"
	s.Endpoint, s.Kind, s.Role, s.Capacity = "engine-1", wire.KindEngine, "quote", 4
	s.GateListen, s.AdvertiseGate = gateAddress, gateAddress
	s.PeerListen, s.AdvertisePeer = "10.0.1.1:81", "10.0.1.1:81"
	s.Backend = "http://10.0.1.2:80"
	for i, name := range names {
		c := &fakeControl{
			name: name, revision: 1, voters: names, voterIndex: 1,
			catalogue: testCatalogue(1, "1"), sessions: map[*transport.Session]bool{},
		}
		address := fmt.Sprintf("10.0.0.%d:80", i)
		r.controls = append(r.controls, c)
		s.Controls = append(s.Controls, address)
		r.serve(name, address, &transport.Server{Handler: c.handle, Authorize: token.Allows})
	}
	r.settings = s
	r.serve(engineHost, "10.0.1.2:80", r.engine)
	return r
}

func (r *rig) serve(host, address string, handler http.Handler) *http.Server {
	listener, err := r.net.Host(host).Listen(address)
	if err != nil {
		r.t.Fatal(err)
	}
	s := &http.Server{Handler: handler}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(listener) }()
	return s
}

func testCatalogue(revision uint64, version string) release.Catalogue {
	c := release.NewCatalogue()
	c.Revision = revision
	if version != "" {
		c.Models["m"] = release.Model{Name: "m", Version: version, Manifest: release.DigestOf([]byte(version)), Role: "quote"}
	}
	return c
}

func setID(version string) string {
	set, _ := testCatalogue(1, version).Set("m")
	return set.ID()
}

// accept puts a catalogue in force on all voters.
func (r *rig) accept(c release.Catalogue) {
	for _, v := range r.controls {
		v.mu.Lock()
		v.revision, v.catalogue = c.Revision, c
		for s := range v.sessions {
			_ = s.Send(full(c))
		}
		v.mu.Unlock()
	}
}

func (r *rig) each(change func(c *fakeControl)) {
	for _, c := range r.controls {
		c.mu.Lock()
		change(c)
		c.mu.Unlock()
	}
}

func (r *rig) start() {
	if r.settings.ProbeInterval == 0 {
		r.settings.ProbeInterval = settings.Duration(time.Hour)
	}
	r.agent = New(Config{
		Settings: r.settings, Token: r.token, Weights: r.weights, Registry: prometheus.NewRegistry(),
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Network: r.net.Host(agentHost),
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	r.stopRun, r.stopped = cancel, stopped
	a := r.agent
	go func() { stopped <- a.Run(ctx) }()
}

func (r *rig) stop() {
	r.stopRun()
	if err := <-r.stopped; err != nil {
		r.t.Errorf("stop: %v", err)
	}
	r.agent = nil
}

// answer is what an entry sees of an attempt.
type answer struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error // of reading the body
}

func (a answer) whole() bool {
	return a.status == http.StatusOK && a.err == nil && strings.HasSuffix(a.body, "data: [DONE]\n\n")
}

func (r *rig) nextID() string {
	r.counter++
	return outcome.AttemptID{Entry: "entry", Start: 1, Counter: r.counter}.String()
}

// ask sends one attempt pinned to a set.
func (r *rig) ask(set string, headers ...string) answer {
	return r.askID(r.nextID(), set, headers...)
}

func (r *rig) askID(id, set string, headers ...string) answer {
	h := http.Header{wire.HeaderAttempt: {id}, wire.HeaderWeightsSet: {set}}
	for i := 0; i+1 < len(headers); i += 2 {
		h.Set(headers[i], headers[i+1])
	}
	return r.do(http.MethodPost, wire.PathGateForward+engine.PathChat, `{"model":"m","stream":true}`, h)
}

func (r *rig) do(method, path, body string, h http.Header) answer {
	client := &http.Client{Transport: &http.Transport{DialContext: r.net.Host("entry").DialContext, DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+gateAddress+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	request.Header = h
	h.Set("Authorization", "Bearer "+testToken)
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get(wire.HeaderOutcome), response.Header.Get(wire.HeaderReason), string(data), err}
}

// state asks the gate about an attempt.
func (r *rig) attemptState(method, id string, incarnation uint64) string {
	h := http.Header{}
	if incarnation != 0 {
		h.Set(wire.HeaderGateIncarnation, fmt.Sprint(incarnation))
	}
	var reply attemptReply
	if err := json.Unmarshal([]byte(r.do(method, wire.PathGateAttempts+id, "", h).body), &reply); err != nil {
		r.t.Fatal(err)
	}
	return string(reply.State)
}

// last returns the last announcement that a voter received.
func (r *rig) last() wire.Announce {
	c := r.controls[0]
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.announced) == 0 {
		return wire.Announce{}
	}
	return c.announced[len(c.announced)-1]
}

func (r *rig) proposals() []ledger.Command {
	var all []ledger.Command
	r.each(func(c *fakeControl) { all = append(all, c.proposed...) })
	return all
}
