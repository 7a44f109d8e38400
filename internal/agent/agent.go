package agent

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/controlclient"
	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/membership"
)

const (
	shutdownTimeout = 2 * time.Second
	// goneFlush lets the last announcement leave before the sessions close.
	goneFlush = 200 * time.Millisecond
)

// Config configures an Agent.
type Config struct {
	Settings Settings
	Token    auth.Token // of the system's processes
	Weights  Weights    // nil for plain services
	Log      log.Interface
	Registry *prometheus.Registry
	// Network is for listeners and connections; nil uses the system's.
	Network network.Network
}

// Agent is the daemon beside one engine or plain service.
type Agent struct {
	cfg         Config
	log         log.Interface
	incarnation uint64
	state       *state
	metrics     *agentMetrics
	backend     *http.Client
	engine      *engine.Client
	control     *controlclient.Client
	bytes       transport.ByteCounts
	crashes     *crashes
	orders      *orders

	membersMu sync.Mutex
	members   *membership.View[wire.Announce]
	// membersChanged is set until the transfer knows the peers.
	membersChanged bool
	membersHeard   chan struct{} // closed with the first member table
	hearMembers    sync.Once
	peersMu        sync.Mutex // keeps the lists given to the transfer in order

	pollEngine chan struct{} // asks for a report of the engine
	askVoters  chan struct{} // asks for a round of confirmation
	gone       bool          // set before the last announcement
	sequence   uint64        // of announcements
}

// New returns an agent that has not started.
func New(cfg Config) *Agent {
	started := time.Now()
	a := &Agent{
		cfg: cfg, log: cfg.Log, incarnation: uint64(started.UnixNano()),
		state:      newState(cfg.Settings, started),
		backend:    newBackendClient(cfg.Settings.Kind, cfg.Network),
		engine:     engine.New(cfg.Settings.Backend, cfg.Network),
		members:    membership.NewView[wire.Announce](membership.ViewConfig{}),
		pollEngine: make(chan struct{}, 1),
		askVoters:  make(chan struct{}, 1),

		membersHeard: make(chan struct{}),
	}
	a.metrics = newMetrics(cfg.Registry, a.state, &a.bytes, cfg.Weights)
	a.crashes = newCrashes(a)
	a.orders = newOrders(a, started)
	a.control = controlclient.New(controlclient.Config{
		Name: cfg.Settings.Endpoint, Token: cfg.Token.Secret(), Replicas: cfg.Settings.Controls,
		Members: a.isEngine(), Peers: true, Revision: a.state.revision, Bytes: &a.bytes, Network: cfg.Network,
		OnCatalogue: a.receiveCatalogue, OnMembers: a.receiveMembers, OnConfirm: a.receiveConfirm,
		OnOpen: func(string, *transport.Session) { a.sessionOpened() },
		OnLost: a.sessionLost,
	})
	return a
}

func (a *Agent) isEngine() bool { return a.cfg.Settings.Kind == wire.KindEngine }

// Run serves until ctx ends, then drains: new work is refused within 3 s and
// work in progress finishes, however long it takes.
func (a *Agent) Run(ctx context.Context) error {
	servers, err := a.listen()
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, len(servers))
	var wg sync.WaitGroup
	for _, v := range servers {
		wg.Go(func() {
			if err := v.Serve(); err != nil {
				failed <- oops.In("agent").Wrap(err)
			}
		})
	}
	for _, loop := range []func(context.Context){
		a.control.Run, a.confirmLoop, a.announceLoop, a.engineLoop, a.progressLoop, a.orders.run,
	} {
		wg.Go(func() { loop(work) })
	}
	select {
	case <-ctx.Done():
		a.drain()
	case err = <-failed:
	}
	a.announceGone()
	stop()
	a.crashes.close()
	a.close(servers)
	wg.Wait()
	return err
}

func (a *Agent) listen() ([]network.Server, error) {
	s := a.cfg.Settings
	ports := []network.ServerConfig{{Address: s.GateListen, Handler: a.cfg.Token.Require(http.HandlerFunc(a.serveGate))}}
	if a.isEngine() {
		ports = append(ports, network.ServerConfig{Address: s.PeerListen, Handler: a.cfg.Weights.PeerHandler()})
	}
	admin := metrics.AdminHandler(a.cfg.Registry, a.readyError)
	ports = append(ports, network.ServerConfig{Address: s.AdminListen, Handler: admin}, network.ServerConfig{Address: s.MetricsListen, Handler: admin})
	servers, err := network.OpenServers(a.cfg.Network, ports...)
	return servers, oops.In("agent").Wrap(err)
}

// serveGate routes by prefix: a caller's path may hold anything.
func (a *Agent) serveGate(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, wire.PathGateForward+"/"):
		a.forward(w, r)
	case strings.HasPrefix(r.URL.Path, wire.PathGateAttempts):
		a.serveAttempt(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (a *Agent) readyError() error {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if c := a.state.conditions(time.Now()); c.Refusal != "" {
		return errors.New(string(c.Refusal))
	}
	return nil
}

// drain announces draining and waits until nothing runs.
func (a *Agent) drain() {
	a.state.mu.Lock()
	a.state.gate.Drain(time.Now())
	a.state.mu.Unlock()
	a.state.notify()
	a.log.Info("draining")
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !a.drained() {
		<-ticker.C
	}
	a.log.Info("drained")
}

const drainPoll = 50 * time.Millisecond

func (a *Agent) drained() bool {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return a.state.gate.Drained(time.Now())
}

func (a *Agent) close(servers []network.Server) {
	network.ShutdownServers(servers, shutdownTimeout)
	a.backend.CloseIdleConnections()
	a.engine.Close()
}
