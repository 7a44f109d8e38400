package matrix

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbhill/rhubarbhill/internal/agent"
	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/control"
	"github.com/rhubarbhill/rhubarbhill/internal/entry"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/network/memnet"
	"github.com/rhubarbhill/rhubarbhill/internal/standin"
	"github.com/rhubarbhill/rhubarbhill/internal/transfer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Size of the deployment under test.
const (
	controls = 4
	entries  = 2
	engines  = 3

	originAddress  = "10.6.0.0:80"
	serviceAddress = "10.5.0.0:80"
	// restartDelay is how long the platform takes to restart a crashed process.
	restartDelay = time.Second
)

var (
	processToken  = auth.NewToken("process-token-for-tests")
	operatorToken = auth.NewToken("operator-token-for-tests")
	callerToken   = auth.NewToken("caller-token-for-tests")
	regions       = []string{"north", "north", "south", "west"}
)

func sessionAddress(i int) string  { return fmt.Sprintf("10.1.0.%d:1", i) }
func operatorAddress(i int) string { return fmt.Sprintf("10.1.0.%d:2", i) }
func entryAddress(i int) string    { return fmt.Sprintf("10.2.0.%d:80", i) }
func gateAddress(i int) string     { return fmt.Sprintf("10.3.0.%d:1", i) }
func peerAddress(i int) string     { return fmt.Sprintf("10.3.0.%d:2", i) }
func engineAddress(i int) string   { return fmt.Sprintf("10.4.0.%d:80", i) }

// process is a daemon or a simulated service. It can be stopped and started again.
type process struct {
	name string
	run  func(ctx context.Context, host network.Network, logger log.Interface) error

	cancel context.CancelFunc
	done   chan struct{}
}

// engineRequest records a request that a gate sent to its engine.
type engineRequest struct {
	at     time.Time
	engine string
	body   string
}

// fromCaller reports whether the request is a caller's quote and not the agent's own
// generation probe, which a gate may send without a lease.
func (s engineRequest) fromCaller() bool { return strings.Contains(s.body, "request-id=") }

// system is a complete deployment on an in-memory network.
type system struct {
	t       *testing.T
	net     *memnet.Network
	dir     string
	weights weights
	rules   []*rule // one per injection

	mu             sync.Mutex
	processes      map[string]*process
	engineRequests []engineRequest
	service        *standin.Service
	origin         *standin.Objects
	failures       []string
	closing        bool
	armed          bool
	events         []event
	submissions    []submission
	plannedStops   []plannedStop
	background     sync.WaitGroup // restarts, ends of faults and submissions
}

func newSystem(t *testing.T, w weights) *system {
	s := &system{t: t, net: memnet.New(), dir: t.TempDir(), weights: w, processes: map[string]*process{}}
	s.net.Tap(s.observeWrite)
	var err error
	s.service, err = standin.NewService(standin.ServiceConfig{Name: "dispatch"})
	if err != nil {
		t.Fatal(err)
	}
	s.origin = standin.NewObjects(standin.ObjectsConfig{Dir: w.dir})
	s.addProcess("origin", serve(originAddress, s.origin.Handler()))
	s.addProcess("service", serve(serviceAddress, s.service.Handler()))
	for i := range controls {
		s.addProcess(fmt.Sprintf("control-%d", i), s.controlProcess(i))
	}
	for i := range entries {
		s.addProcess(fmt.Sprintf("entry-%d", i), s.entryProcess(i))
	}
	for i := range engines {
		s.addProcess(fmt.Sprintf("engine-%d", i), s.engineProcess(i))
		s.addProcess(fmt.Sprintf("agent-%d", i), s.agentProcess(i))
	}
	s.addProcess("agent-service", s.serviceAgentProcess())
	return s
}

func (s *system) addProcess(name string, run func(context.Context, network.Network, log.Interface) error) {
	s.processes[name] = &process{name: name, run: run}
}

// hostNames returns all hosts, including the caller and the operator.
func (s *system) hostNames() []string {
	names := []string{"caller", "operator"}
	for name := range s.processes {
		names = append(names, name)
	}
	return names
}

func (s *system) startAll() {
	for name := range s.processes {
		s.start(name)
	}
}

// start starts a process unless it is running.
func (s *system) start(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	if s.closing || p.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel, p.done = cancel, make(chan struct{})
	s.events = append(s.events, event{time.Now(), name, processStarted, nil})
	host := s.net.Host(name)
	logger := (&log.Logger{Handler: eventHandler{s, name}, Level: log.DebugLevel}).WithField("process", name)
	go func() {
		defer close(p.done)
		if err := p.run(ctx, host, logger); err != nil && ctx.Err() == nil && !host.Stopped() {
			s.fail("%s exited with an error: %v", name, err)
		}
	}()
}

// stop asks a process to stop and waits until it has exited.
func (s *system) stop(name string) {
	s.mu.Lock()
	p := s.processes[name]
	cancel, done := p.cancel, p.done
	s.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	<-done
	s.mu.Lock()
	p.cancel = nil
	s.mu.Unlock()
	s.net.Stop(name)
}

// kill ends a process as a crash does: it is disconnected from the network first, so
// nothing that it does while it shuts down is visible to others.
func (s *system) kill(name string) {
	s.net.Stop(name)
	s.stop(name)
}

// crash kills a process from one of its own goroutines and restarts it after
// restartDelay, as the platform does.
func (s *system) crash(name string) {
	s.net.Stop(name)
	s.recordEvent(name, engineCrashed, nil)
	s.background.Go(func() {
		s.stop(name)
		time.Sleep(restartDelay)
		s.start(name)
	})
}

// close waits for pending restarts and kills all processes.
func (s *system) close() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.background.Wait()
	var wg sync.WaitGroup
	for name := range s.processes {
		wg.Go(func() { s.kill(name) })
	}
	wg.Wait()
}

// fail records a failure of the run.
func (s *system) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

func serve(address string, handler http.Handler) func(context.Context, network.Network, log.Interface) error {
	return func(ctx context.Context, host network.Network, _ log.Interface) error {
		listener, err := host.Listen(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		_ = server.Serve(listener)
		return nil
	}
}

func (s *system) controlProcess(i int) func(context.Context, network.Network, log.Interface) error {
	voters := map[string]string{}
	for k := range controls {
		voters[fmt.Sprintf("control-%d", k)] = sessionAddress(k)
	}
	return func(ctx context.Context, host network.Network, logger log.Interface) error {
		settings := control.DefaultSettings()
		settings.Replica, settings.Voters = fmt.Sprintf("control-%d", i), voters
		settings.SessionListen, settings.OperatorListen = sessionAddress(i), operatorAddress(i)
		settings.DataDir = filepath.Join(s.dir, settings.Replica)
		if err := os.MkdirAll(settings.DataDir, 0o755); err != nil {
			return err
		}
		d, err := control.New(settings, control.Options{
			Network: host, ProcessToken: &processToken, OperatorToken: &operatorToken,
		}, logger)
		if err != nil {
			return err
		}
		return d.Run(ctx)
	}
}

func sessionAddresses() []string {
	var all []string
	for i := range controls {
		all = append(all, sessionAddress(i))
	}
	return all
}

func (s *system) entryProcess(i int) func(context.Context, network.Network, log.Interface) error {
	return func(ctx context.Context, host network.Network, logger log.Interface) error {
		settings := entry.DefaultSettings()
		settings.Instance, settings.Zone = fmt.Sprintf("entry-%d", i), regions[i]
		settings.Listen, settings.Advertise = entryAddress(i), entryAddress(i)
		settings.Controls = sessionAddresses()
		settings.AddressTTL = entry.Duration(2 * time.Second)
		for k := range entries {
			settings.Entries = append(settings.Entries, entry.Peer{Name: fmt.Sprintf("entry-%d", k), Address: entryAddress(k), Zone: regions[k]})
		}
		e := entry.New(entry.Options{
			Settings: settings, ProcessToken: processToken, CallerToken: callerToken,
			Log: logger, Registry: prometheus.NewRegistry(), Network: host,
		})
		return e.Run(ctx)
	}
}

func agentSettings(i int) agent.Settings {
	settings := agent.DefaultSettings()
	settings.Instance = fmt.Sprintf("instance-%d", i)
	settings.Endpoint = fmt.Sprintf("endpoint-%d", i)
	settings.Zone, settings.Region = regions[i%len(regions)], regions[i%len(regions)]
	settings.GateListen, settings.AdvertiseGate = gateAddress(i), gateAddress(i)
	settings.Controls = sessionAddresses()
	settings.Capacity = 8
	return settings
}

func (s *system) agentProcess(i int) func(context.Context, network.Network, log.Interface) error {
	return func(ctx context.Context, host network.Network, logger log.Interface) error {
		settings := agentSettings(i)
		settings.Kind, settings.Role = wire.KindEngine, "quote"
		settings.PeerListen, settings.AdvertisePeer = peerAddress(i), peerAddress(i)
		settings.Backend = "http://" + engineAddress(i)
		settings.CacheDir = filepath.Join(s.dir, fmt.Sprintf("cache-%d", i))
		settings.Origin = "http://" + originAddress
		t, err := transfer.New(transfer.Config{
			CacheDir: settings.CacheDir, OriginURL: settings.Origin, Endpoint: settings.Endpoint,
			Region: settings.Region, Zone: settings.Zone, Network: host, Token: processToken, Log: logger,
		})
		if err != nil {
			return err
		}
		defer t.Close()
		a := agent.New(agent.Config{
			Settings: settings, Token: processToken, Transfer: t, Log: logger,
			Registry: prometheus.NewRegistry(), Network: host,
		})
		return a.Run(ctx)
	}
}

func (s *system) serviceAgentProcess() func(context.Context, network.Network, log.Interface) error {
	return func(ctx context.Context, host network.Network, logger log.Interface) error {
		settings := agentSettings(engines)
		settings.Kind, settings.Service = wire.KindService, "dispatch"
		settings.Backend = "http://" + serviceAddress
		a := agent.New(agent.Config{
			Settings: settings, Token: processToken, Log: logger, Registry: prometheus.NewRegistry(), Network: host,
		})
		return a.Run(ctx)
	}
}

func (s *system) engineProcess(i int) func(context.Context, network.Network, log.Interface) error {
	name := fmt.Sprintf("engine-%d", i)
	return func(ctx context.Context, host network.Network, logger log.Interface) error {
		cfg := standin.DefaultEngineConfig()
		cfg.CheckFence = i%2 == 0 // the others ignore fencing tokens
		var once sync.Once        // two requests may crash one process at the same time
		cfg.Exit = func() { once.Do(func() { s.crash(name) }) }
		cfg.Faults.CrashMarker = crashMarker
		handler := s.observeStarts(name, standin.NewEngine(cfg).Handler())
		return serve(engineAddress(i), handler)(ctx, host, logger)
	}
}

// processStarted is the event that the test records for each start of a process.
const processStarted = "process_started"

// engineCrashed is the event that the test records for each engine crashed by a
// request.
const engineCrashed = "engine_crashed"

const crashMarker = "crash-the-engine"

// observeStarts reports a step whenever an engine starts to run a request.
func (s *system) observeStarts(engine string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && strings.HasSuffix(r.URL.Path, "/chat/completions") {
			s.reached(stepStarted, engine)
		}
		next.ServeHTTP(w, r)
	})
}
