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

	"github.com/rhubarbhill/rhubarbhill/internal/agent/agenttest"
	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
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
	goleak.VerifyTestMain(m)
}

const (
	testToken   = "0123456789abcdef0123"
	gateAddress = "10.0.1.1:80"
	engineHost  = "engine"
	agentHost   = "agent"
)

// fakeTransfer completes each fetch immediately or, if release is set, when
// release is closed.
type fakeTransfer struct {
	mu      sync.Mutex
	release chan struct{}
	fetched []string
	peers   []transfer.Peer
	// peersAtFetch holds the peers known when each fetch started.
	peersAtFetch [][]transfer.Peer
	pressure     float64
}

func (f *fakeTransfer) Progress() []wire.RolloutProgress { return nil }
func (f *fakeTransfer) PeerHandler() http.Handler        { return http.NotFoundHandler() }
func (f *fakeTransfer) Cancel(string)                    {}
func (f *fakeTransfer) Prune([]string) error             { return nil }
func (f *fakeTransfer) SetPressure(x float64)            { f.mu.Lock(); f.pressure = x; f.mu.Unlock() }

func (f *fakeTransfer) SetPeers(peers []transfer.Peer) { f.mu.Lock(); f.peers = peers; f.mu.Unlock() }

func (f *fakeTransfer) peersAtFetches() [][]transfer.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.peersAtFetch)
}

func (f *fakeTransfer) setRelease(released chan struct{}) {
	f.mu.Lock()
	f.release = released
	f.mu.Unlock()
}

func (f *fakeTransfer) fetches() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.fetched) }

func (f *fakeTransfer) Fetch(ctx context.Context, set release.WeightsSet) (string, error) {
	f.mu.Lock()
	released := f.release
	f.peersAtFetch = append(f.peersAtFetch, f.peers)
	f.mu.Unlock()
	if released != nil {
		select {
		case <-released:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetched = append(f.fetched, set.ID())
	return "/cache/" + set.ID(), nil
}

// harness runs an agent with four fake voters and a fake engine on an in-memory
// network.
type harness struct {
	t        *testing.T
	net      *memnet.Network
	controls []*agenttest.Control
	engine   *agenttest.Engine
	transfer *fakeTransfer
	servers  []*http.Server
	token    auth.Token
	settings Settings

	// wrapNetwork, when set, wraps the agent's network.
	wrapNetwork func(network.Network) network.Network

	agent    *Agent
	stopRun  context.CancelFunc
	stopped  chan error
	attempts uint64
}

// runHarness runs test in a synctest bubble with an agent that serves revision
// 1. prepare runs before the agent starts.
func runHarness(t *testing.T, prepare func(r *harness), test func(r *harness)) {
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
		r := newHarness(t, token)
		if prepare != nil {
			prepare(r)
		}
		r.start()
		defer r.cleanUp()
		time.Sleep(3 * time.Second)
		test(r)
	})
}

// cleanUp heals the network and stops everything, also after a test failure.
func (r *harness) cleanUp() {
	hosts := []string{"c0", "c1", "c2", "c3", engineHost, agentHost, "entry"}
	for _, h := range hosts {
		r.net.SetIsolated(h, hosts, false)
	}
	if r.agent != nil {
		r.engine.Change(func(e *agenttest.Engine) { e.OnChat, e.OnProbe, e.OnOrder = nil, nil, nil })
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

func newHarness(t *testing.T, token auth.Token) *harness {
	r := &harness{t: t, net: memnet.New(), token: token, engine: &agenttest.Engine{Started: 1, EnforcesFencing: true}, transfer: &fakeTransfer{}}
	names := []string{"c0", "c1", "c2", "c3"}
	s := DefaultSettings()
	s.Instance, s.Zone, s.Region = "i1", "z1", "r1"
	s.Endpoint, s.Kind, s.Role, s.Capacity = "engine-1", wire.KindEngine, "quote", 4
	s.GateListen, s.AdvertiseGate = gateAddress, gateAddress
	s.PeerListen, s.AdvertisePeer = "10.0.1.1:81", "10.0.1.1:81"
	s.Backend = "http://10.0.1.2:80"
	for i, name := range names {
		c := &agenttest.Control{
			Name: name, Revision: 1, Voters: names, VoterIndex: 1, Catalogue: testCatalogue(1, "1"),
			Members: &wire.Members{Epoch: 1, Version: 1},
		}
		address := fmt.Sprintf("10.0.0.%d:80", i)
		r.controls = append(r.controls, c)
		s.Controls = append(s.Controls, address)
		r.serve(name, address, &transport.Server{Handler: c.Handle, Authorize: token.Allows})
	}
	r.settings = s
	r.serve(engineHost, "10.0.1.2:80", r.engine)
	return r
}

func (r *harness) serve(host, address string, handler http.Handler) *http.Server {
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
	set, _ := testCatalogue(1, version).WeightsSet("m")
	return set.ID()
}

// setCatalogue sets the catalogue of all voters and sends it to their
// subscribers.
func (r *harness) setCatalogue(c release.Catalogue) {
	for _, v := range r.controls {
		v.Change(func(v *agenttest.Control) { v.Revision, v.Catalogue = c.Revision, c })
		v.Send(agenttest.FullCatalogue(c))
	}
}

func (r *harness) changeControls(change func(c *agenttest.Control)) {
	for _, c := range r.controls {
		c.Change(change)
	}
}

func (r *harness) start() {
	if r.settings.ProbeInterval == 0 {
		r.settings.ProbeInterval = settings.Duration(time.Hour)
	}
	var view network.Network = r.net.Host(agentHost)
	if r.wrapNetwork != nil {
		view = r.wrapNetwork(view)
	}
	r.agent = New(Config{
		Settings: r.settings, Token: r.token, Transfer: r.transfer, Registry: prometheus.NewRegistry(),
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Network: view,
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	r.stopRun, r.stopped = cancel, stopped
	a := r.agent
	go func() { stopped <- a.Run(ctx) }()
}

func (r *harness) stop() {
	r.stopRun()
	if err := <-r.stopped; err != nil {
		r.t.Errorf("stop: %v", err)
	}
	r.agent = nil
}

// kill stops the agent like a killed process: its connections break and it
// announces nothing. The result of Run is ignored, because it depends on what
// fails first.
func (r *harness) kill() {
	r.net.Stop(agentHost)
	r.stopRun()
	<-r.stopped
	r.agent = nil
}

// answer is an attempt's answer as received by an entry.
type answer struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error // of reading the body
}

func (a answer) complete() bool {
	return a.status == http.StatusOK && a.err == nil && strings.HasSuffix(a.body, "data: [DONE]\n\n")
}

func (r *harness) nextID() string {
	r.attempts++
	return outcome.AttemptID{Entry: "entry", Start: 1, Counter: r.attempts}.String()
}

// send sends a streamed attempt pinned to a set.
func (r *harness) send(set string, headers ...string) answer {
	return r.sendID(r.nextID(), set, headers...)
}

func (r *harness) sendID(id, set string, headers ...string) answer {
	h := http.Header{wire.HeaderAttempt: {id}, wire.HeaderWeightsSet: {set}}
	for i := 0; i+1 < len(headers); i += 2 {
		h.Set(headers[i], headers[i+1])
	}
	return r.do(http.MethodPost, wire.PathGateForward+engine.PathChat, `{"model":"m","stream":true}`, h)
}

// sendUnstreamed sends an unstreamed attempt pinned to a set.
func (r *harness) sendUnstreamed(id, set string) answer {
	h := http.Header{wire.HeaderAttempt: {id}, wire.HeaderWeightsSet: {set}}
	return r.do(http.MethodPost, wire.PathGateForward+engine.PathChat, `{"model":"m"}`, h)
}

func (r *harness) do(method, path, body string, h http.Header) answer {
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

// attemptState sends a lookup, fence or cancel request for an attempt and
// returns the attempt's state.
func (r *harness) attemptState(method, id string, incarnation uint64) string {
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

// lastAnnouncement returns the last announcement that the first voter received.
func (r *harness) lastAnnouncement() wire.Announce {
	announced := r.controls[0].Announced()
	if len(announced) == 0 {
		return wire.Announce{}
	}
	return announced[len(announced)-1]
}

func (r *harness) proposals() []ledger.Command {
	var all []ledger.Command
	for _, c := range r.controls {
		all = append(all, c.Proposed()...)
	}
	return all
}
