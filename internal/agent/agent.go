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
	// finalAnnounceDelay leaves time to send the last announcement before the
	// sessions close.
	finalAnnounceDelay = 200 * time.Millisecond
)

// Config configures an Agent.
type Config struct {
	Settings Settings
	Token    auth.Token      // shared by all processes of the system
	Transfer WeightsTransfer // nil for plain services
	Log      log.Interface
	Registry *prometheus.Registry
	// Network opens listeners and connections. Nil uses the system's network.
	Network network.Network
}

// Agent is the daemon that runs next to one engine or plain service.
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
	crashes     *crashReporter
	reconciler  *reconciler

	membersMu sync.Mutex
	members   *membership.View[wire.Announce]
	// peersStale is set while the transfer does not have the newest peers.
	peersStale      bool
	membersReceived chan struct{} // closed when the first member table arrives
	firstMembers    sync.Once
	peersMu         sync.Mutex // keeps the calls of SetPeers in order

	pollNow    chan struct{} // requests a poll of the backend
	confirmNow chan struct{} // requests a confirmation round
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
		pollNow:    make(chan struct{}, 1),
		confirmNow: make(chan struct{}, 1),

		membersReceived: make(chan struct{}),
	}
	a.metrics = newMetrics(cfg.Registry, a.state, &a.bytes, cfg.Transfer)
	a.crashes = newCrashReporter(a)
	a.reconciler = newReconciler(a, started)
	a.control = controlclient.New(controlclient.Config{
		Name: cfg.Settings.Endpoint, Token: cfg.Token.Secret(), Replicas: cfg.Settings.Controls,
		Members: a.isEngine(), PeersOnly: true, Revision: a.state.revision, ByteCounts: &a.bytes, Network: cfg.Network,
		OnCatalogue: a.receiveCatalogue, OnMembers: a.receiveMembers, OnConfirm: a.receiveConfirm,
		OnConnect:    func(string, *transport.Session) { a.sessionOpened() },
		OnDisconnect: a.sessionLost,
	})
	return a
}

func (a *Agent) isEngine() bool { return a.cfg.Settings.Kind == wire.KindEngine }

// Run serves until ctx is done, then drains: new attempts are refused within 3
// s, and running attempts finish without a time limit.
func (a *Agent) Run(ctx context.Context) error {
	servers, err := a.listen()
	if err != nil {
		return err
	}
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, len(servers))
	var wg sync.WaitGroup
	for _, server := range servers {
		wg.Go(func() {
			if err := server.Serve(); err != nil {
				failed <- oops.In("agent").Wrap(err)
			}
		})
	}
	for _, loop := range []func(context.Context){
		a.control.Run, a.confirmLoop, a.announceLoop, a.pollLoop, a.progressLoop, a.reconciler.run,
	} {
		wg.Go(func() { loop(loopCtx) })
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
		ports = append(ports, network.ServerConfig{Address: s.PeerListen, Handler: a.cfg.Transfer.PeerHandler()})
	}
	admin := metrics.AdminHandler(a.cfg.Registry, a.readyError)
	ports = append(ports, network.ServerConfig{Address: s.AdminListen, Handler: admin}, network.ServerConfig{Address: s.MetricsListen, Handler: admin})
	servers, err := network.OpenServers(a.cfg.Network, ports...)
	return servers, oops.In("agent").Wrap(err)
}

// serveGate routes by prefix instead of using http.ServeMux, because the rest of
// the path comes from the caller and must be forwarded unchanged.
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

// drain announces that the endpoint is draining and waits until no attempt is
// running.
func (a *Agent) drain() {
	a.state.mu.Lock()
	a.state.gate.Drain(time.Now())
	a.state.mu.Unlock()
	a.state.notify()
	a.log.Info("draining")
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !a.drained() {
		<-ticker.C
	}
	a.log.Info("drained")
}

const drainPollInterval = 50 * time.Millisecond

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
