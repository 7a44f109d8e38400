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

// Options are what an entry needs besides its settings.
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
	// Network, when set, replaces the operating system's.
	Network network.Network
	// Policy replaces the choice of endpoints, for measurements.
	Policy balancer.Policy
}

// Entry is the caller-facing daemon.
type Entry struct {
	settings     Settings
	processToken auth.Token
	callers      callerTokens
	log          log.Interface
	registry     *prometheus.Registry
	metrics      *entryMetrics

	directory *directory
	fleet     *fleet
	peers     *peers
	admitter  *admitter
	gateQueue *gateQueue
	suspects  *suspects
	flights   *flights
	attempts  *outcome.IDGenerator
	client    *http.Client // for gates and other entries
	// onceClient is for calls that must not be sent twice.
	onceClient *http.Client
	control    proposer
	// controlClient keeps the sessions behind control.
	controlClient *controlclient.Client
	network       network.Network
	// refreshing keeps an older endpoint table from replacing a newer one.
	refreshing sync.Mutex

	listener net.Listener
	active   atomic.Int64
	stopping atomic.Bool
	// closed is set when a stopping entry takes no new work any more.
	closed atomic.Bool

	background     context.Context
	stopBackground context.CancelFunc
	tasks          sync.WaitGroup
}

// New returns an entry that is not connected yet.
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
		peers:      newPeers(s, now),
		suspects:   newSuspects(),
		gateQueue:  newGateQueue(),
		flights:    newFlights(),
		attempts:   outcome.NewIDGenerator(s.Instance, uint64(now.UnixNano())),
		client:     newGateClient(o.Network, true),
		onceClient: newGateClient(o.Network, false),
		network:    network.Or(o.Network),
		listener:   o.Listener,
		background: background, stopBackground: stop,
	}
	e.admitter = newAdmitter(s, e.fleet, e.peers)
	client := e.newControlClient()
	e.control = client
	e.controlClient = client
	return e
}

// inBackground runs a task that a planned stop waits for.
func (e *Entry) inBackground(task func(ctx context.Context)) {
	e.tasks.Go(func() { task(e.background) })
}

// Handler serves callers and other entries.
func (e *Entry) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	others := router.PathPrefix("/entry").Subrouter()
	others.Use(e.processToken.Require)
	others.HandleFunc(strings.TrimPrefix(pathUsage, "/entry"), e.serveUsage).Methods(http.MethodGet)
	others.HandleFunc(strings.TrimPrefix(pathOwners, "/entry")+"{id}", e.serveOwner).Methods(http.MethodGet)
	others.HandleFunc(strings.TrimPrefix(pathLosses, "/entry"), e.serveLoss).Methods(http.MethodPost)
	others.HandleFunc(strings.TrimPrefix(pathReservations, "/entry"), e.serveReservation).Methods(http.MethodPost)
	callers := router.NewRoute().Subrouter()
	callers.Use(e.requireCaller, e.count)
	callers.HandleFunc("/v1/addresses", e.serveAddresses).Methods(http.MethodGet)
	callers.HandleFunc("/v1/models", e.serveModels).Methods(http.MethodGet)
	callers.HandleFunc("/v1/outcomes/{key:.+}", e.serveOutcome).Methods(http.MethodGet)
	work := callers.NewRoute().Subrouter()
	work.Use(e.refuseWhenClosed)
	work.HandleFunc(pathChat, e.serveChat).Methods(http.MethodPost)
	work.HandleFunc(pathServices+"{service}", e.serveService)
	work.HandleFunc(pathServices+"{service}/{path:.*}", e.serveService)
	return router
}

func (e *Entry) refuseWhenClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.closed.Load() {
			e.refuse(w, refusal(http.StatusServiceUnavailable, outcome.Stopping,
				"this entry is stopping; ask another one for addresses").withRetryAfter(time.Second))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// count keeps the number of requests in progress, for draining.
func (e *Entry) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.active.Add(1)
		e.metrics.inFlight.Inc()
		defer func() {
			e.metrics.inFlight.Dec()
			e.active.Add(-1)
		}()
		next.ServeHTTP(w, r)
	})
}

// modelAnswer is one model in the answer to GET /v1/models.
type modelAnswer struct {
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
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	admin, err := e.startAdmin()
	if err != nil {
		_ = listener.Close()
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { e.controlClient.Run(e.background) })
	wg.Go(func() { e.healthLoop(e.background) })
	wg.Go(func() { e.exchangeLoop(e.background) })
	failed := make(chan error, 1)
	wg.Go(func() { failed <- server.Serve(listener) })
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
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return oops.In("entry").Wrap(err)
}

func (e *Entry) listen() (net.Listener, error) {
	if e.listener != nil {
		return e.listener, nil
	}
	listener, err := e.network.Listen(e.settings.Listen)
	return listener, oops.In("entry").Wrap(err)
}

// drain leaves the address answers at once and serves until every answer that
// names this entry has expired: other entries leave it out after peerExpiry at
// the latest, and their answers live for the TTL. Then it refuses new work,
// which no caller should send any more, and finishes what is in progress.
func (e *Entry) drain(server *http.Server) {
	e.stopping.Store(true)
	server.SetKeepAlivesEnabled(false)
	e.log.Info("draining")
	notice := time.Duration(e.settings.AddressTTL)
	if len(e.peers.others()) > 0 {
		notice += peerExpiry
	}
	time.Sleep(notice)
	e.closed.Store(true)
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

// ready says why the entry cannot serve yet.
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
			e.suspects.setControl(replica, c.Quarantined)
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
				e.suspectAnnounced(a)
			}
			e.refreshFleet(time.Now())
		},
		OnLoads: func(_ string, m wire.Loads) { e.fleet.applyLoads(m.Changed, time.Now()) },
		OnDisconnect: func(replica string, err error) {
			e.directory.replicaLost(replica, time.Now())
			e.suspects.forget(replica)
			e.log.WithField("replica", replica).WithError(err).Debug("control_session_lost")
		},
	})
	return client
}

// healthLoop judges endpoints by progress until ctx ends.
func (e *Entry) healthLoop(ctx context.Context) {
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
			for _, id := range e.fleet.check(now) {
				e.log.WithField("endpoint", id).Warn("endpoint_ejected")
			}
			probes.run(ctx, e.fleet.due(now))
			e.admitter.tick(now)
			e.suspects.expire(now)
		}
	}
}
