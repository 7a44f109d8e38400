package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/controlclient"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

const (
	healthInterval    = 100 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// proposer commits commands in the replicated log.
type proposer interface {
	Propose(ctx context.Context, cmd ledger.Command) (ledger.Result, error)
}

// Options configures New.
type Options struct {
	Settings     Settings
	ProcessToken auth.Token
	CallerToken  auth.Token
	// OrganisationTokens are the tokens of organisations that have their own.
	OrganisationTokens map[string]auth.Token
	Log                log.Interface
	Registry           *prometheus.Registry
	// Listener, when set, is used in place of Settings.Listen.
	Listener net.Listener
	// Network, when set, replaces the operating system's network.
	Network network.Network
	// Policy, when set, replaces the endpoint selection policy, for measurements.
	Policy balancer.Policy
}

// Entry is the caller-facing daemon. It serves callers and other entries.
type Entry struct {
	settings     Settings
	processToken auth.Token
	callers      callerTokens
	log          log.Interface
	registry     *prometheus.Registry
	metrics      *entryMetrics

	directory     *directory
	fleet         *fleet
	peers         *peers
	admitter      *admitter
	gateQueue     *gateQueue
	suspects      *suspects
	inFlightCalls *inFlightCalls
	attempts      *outcome.IDGenerator
	client        *http.Client // for gates and other entries
	// onceClient sends calls that must not be sent twice.
	onceClient *http.Client
	control    proposer
	// controlClient maintains the sessions that control proposes through.
	controlClient *controlclient.Client
	network       network.Network
	guard         *network.Guard // of the listener for callers
	// refreshMu serialises refreshFleet, so that an older endpoint table does not
	// replace a newer one.
	refreshMu sync.Mutex

	listener net.Listener
	inFlight atomic.Int64
	stopping atomic.Bool
	// rejectsNew is set when a stopping entry no longer accepts new work.
	rejectsNew atomic.Bool

	background     context.Context
	stopBackground context.CancelFunc
	tasks          sync.WaitGroup
}

// New returns an entry. It connects and listens only once Run is called.
func New(o Options) *Entry {
	now := time.Now()
	s := o.Settings
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	background, stop := context.WithCancel(context.Background())
	e := &Entry{
		settings: s, processToken: o.ProcessToken, callers: callerTokens{o.CallerToken, o.OrganisationTokens}, log: o.Log,
		registry:  o.Registry,
		metrics:   newMetrics(o.Registry),
		directory: newDirectory(),
		fleet: newFleet(balancer.Config{
			Zone: s.Zone, StallAfter: time.Duration(s.StallTimeout), Policy: o.Policy,
			ProbeInterval: time.Duration(s.ProbeInterval), MaxEjectedShare: s.EjectedShare,
		}, newSubsetRule(s)),
		peers:         newPeers(s, now),
		suspects:      newSuspects(),
		gateQueue:     newGateQueue(),
		inFlightCalls: newInFlightCalls(),
		attempts:      outcome.NewIDGenerator(s.Instance, uint64(now.UnixNano())),
		client:        newGateClient(o.Network, true),
		onceClient:    newGateClient(o.Network, false),
		network:       network.OrSystem(o.Network),
		listener:      o.Listener,
		background:    background, stopBackground: stop,
	}
	e.guard = metrics.NewGuard(e.registry, "entry", int64(s.Memory))
	e.guard.SetLimits(network.CallerLimits{IdleTime: idleTimeout})
	e.admitter = newAdmitter(s, e.fleet, e.peers)
	client := e.newControlClient()
	e.control = client
	e.controlClient = client
	return e
}

// runInBackground runs a task in a goroutine that a graceful stop waits for.
func (e *Entry) runInBackground(task func(ctx context.Context)) {
	e.tasks.Go(func() { task(e.background) })
}

// Handler returns the handler for requests of callers and other entries.
func (e *Entry) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	peerRoutes := router.PathPrefix("/entry").Subrouter()
	peerRoutes.Use(e.processToken.Require)
	peerRoutes.HandleFunc(strings.TrimPrefix(pathUsage, "/entry"), e.serveUsage).Methods(http.MethodGet)
	peerRoutes.HandleFunc(strings.TrimPrefix(pathAttempts, "/entry")+"{id}", e.serveAttempt).Methods(http.MethodGet)
	peerRoutes.HandleFunc(strings.TrimPrefix(pathLosses, "/entry"), e.serveLoss).Methods(http.MethodPost)
	peerRoutes.HandleFunc(strings.TrimPrefix(pathReservations, "/entry"), e.serveReservation).Methods(http.MethodPost)
	callerRoutes := router.NewRoute().Subrouter()
	callerRoutes.Use(e.requireCaller, e.trackInFlight)
	callerRoutes.HandleFunc("/v1/addresses", e.serveAddresses).Methods(http.MethodGet)
	callerRoutes.HandleFunc("/v1/models", e.serveModels).Methods(http.MethodGet)
	callerRoutes.HandleFunc("/v1/outcomes/{key:.+}", e.serveOutcome).Methods(http.MethodGet)
	workRoutes := callerRoutes.NewRoute().Subrouter()
	workRoutes.Use(e.rejectWhenStopping)
	workRoutes.HandleFunc(pathChat, e.serveChat).Methods(http.MethodPost)
	workRoutes.HandleFunc(pathServices+"{service}", e.serveService)
	workRoutes.HandleFunc(pathServices+"{service}/{path:.*}", e.serveService)
	return router
}

func (e *Entry) rejectWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.rejectsNew.Load() {
			e.refuse(w, refusal(http.StatusServiceUnavailable, outcome.Stopping,
				"this entry is stopping; ask another one for addresses").withRetryAfter(time.Second))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// trackInFlight counts the requests in flight, for load reports and metrics.
func (e *Entry) trackInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		e.metrics.inFlight.Inc()
		defer func() {
			e.metrics.inFlight.Dec()
			e.inFlight.Add(-1)
		}()
		next.ServeHTTP(w, r)
	})
}

// modelObject is one model in the response to GET /v1/models.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request) {
	catalogue, known := e.directory.current()
	if !known {
		e.refuse(w, refusal(http.StatusServiceUnavailable, outcome.NoCatalogue,
			"this entry has not yet received the catalogue from control").withRetryAfter(time.Second))
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": listModels(catalogue)})
}

// Run serves until ctx ends, then drains.
func (e *Entry) Run(ctx context.Context) error {
	defer e.stopBackground()
	listener, err := e.listen()
	if err != nil {
		return err
	}
	callers := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	server := network.NewDrainServer(callers, e.guard.Protect(callers, listener))
	admin, err := e.startAdmin()
	if err != nil {
		_ = listener.Close()
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { e.controlClient.Run(e.background) })
	wg.Go(func() { e.checkHealth(e.background) })
	wg.Go(func() { e.exchangeUsage(e.background) })
	failed := make(chan error, 1)
	wg.Go(func() { failed <- server.Serve() })
	e.log.WithField("listen", listener.Addr().String()).Info("started")
	select {
	case <-ctx.Done():
		e.drain(server)
	case err = <-failed:
	}
	e.stopBackground()
	_ = server.Close()
	_ = admin.Close()
	wg.Wait()
	e.client.CloseIdleConnections()
	e.log.Info("stopped")
	return oops.In("entry").Wrap(err)
}

func (e *Entry) listen() (net.Listener, error) {
	if e.listener != nil {
		return e.listener, nil
	}
	listener, err := e.network.Listen(e.settings.Listen)
	return listener, oops.In("entry").Wrap(err)
}

// drain removes this entry from address lists at once and serves until every list
// that contains it has expired: other entries stop listing it after peerExpiry at
// the latest, and their lists are valid for the TTL. Then it rejects new work,
// which no caller should still send, and finishes the requests in flight.
func (e *Entry) drain(server *network.DrainServer) {
	e.stopping.Store(true)
	server.StartDrain()
	e.log.Info("draining")
	drainDelay := time.Duration(e.settings.AddressTTL)
	if len(e.peers.exchangeTargets()) > 0 {
		drainDelay += peerExpiry
	}
	time.Sleep(drainDelay)
	e.rejectsNew.Store(true)
	_ = server.Shutdown(context.Background())
	e.tasks.Wait()
}

func (e *Entry) startAdmin() (*http.Server, error) {
	server := &http.Server{
		Handler:           metrics.AdminHandler(e.registry, e.ready),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	for _, address := range []string{e.settings.AdminListen, e.settings.MetricsListen} {
		if address == "" {
			continue
		}
		listener, err := e.network.Listen(address)
		if err != nil {
			_ = server.Close()
			return nil, oops.In("entry").Wrap(err)
		}
		go func() { _ = server.Serve(listener) }()
	}
	return server, nil
}

// ready returns the reason why the entry cannot serve, or nil.
func (e *Entry) ready() error {
	if e.stopping.Load() {
		return errors.New("draining")
	}
	if _, known := e.directory.current(); !known {
		return errors.New("no catalogue received from control")
	}
	return nil
}

func (e *Entry) newControlClient() *controlclient.Client {
	var client *controlclient.Client
	client = controlclient.New(controlclient.Config{
		Name: e.settings.Instance, Token: e.processToken.Secret(), Replicas: e.settings.Controls,
		Members: true, Revision: e.directory.revision, Network: e.network,
		OnCatalogue: func(replica string, c wire.Catalogue) {
			if !e.directory.applyCatalogue(c) {
				client.Resubscribe(replica)
				return
			}
			e.suspects.setControlRecords(replica, c.Quarantined)
			for _, q := range c.Quarantined {
				e.fleet.cancelCopies(q.Fingerprint)
			}
		},
		OnMembers: func(replica string, m wire.Members) {
			if !e.directory.applyMembers(replica, m, time.Now()) {
				client.Resubscribe(replica)
				return
			}
			for _, a := range m.Updated {
				e.applyAnnouncedCrash(a)
			}
			e.refreshFleet(time.Now())
		},
		OnLoads: func(_ string, m wire.Loads) { e.fleet.applyLoads(m.Changed, time.Now()) },
		OnDisconnect: func(replica string, err error) {
			e.directory.replicaLost(replica, time.Now())
			e.suspects.removeReplica(replica)
			e.log.WithField("replica", replica).WithError(err).Debug("control_session_lost")
		},
	})
	return client
}

// checkHealth periodically ejects endpoints without progress, sends due probes
// and expires old state until ctx ends.
func (e *Entry) checkHealth(ctx context.Context) {
	probes := newProber(e)
	defer probes.wg.Wait()
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if e.directory.expire(now) {
				e.refreshFleet(now)
			}
			for _, id := range e.fleet.ejectStalled(now) {
				e.log.WithField("endpoint", id).Warn("endpoint_ejected")
			}
			probes.run(ctx, e.fleet.dueProbes(now))
			e.admitter.tick(now)
			e.suspects.expire(now)
		}
	}
}
