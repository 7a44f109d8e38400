package stager

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
	"golang.org/x/time/rate"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/datagram"
	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

const (
	// checkInterval is the time between two polls of the engine, which may have restarted
	// without weights.
	checkInterval = 400 * time.Millisecond
	// loadingInterval is the time between two polls of an engine that is loading.
	loadingInterval = 100 * time.Millisecond
	engineTimeout   = 2 * time.Second
	// routingRefresh is the minimum time between two fetches of the routing document. A
	// stager only uses its engine descriptions and its origin, which change rarely.
	routingRefresh = 5 * time.Second
	// retryPause is the mean pause before a retry. It is randomised, so that stagers do
	// not all retry at the origin at the same time.
	retryPause = 300 * time.Millisecond
	// switchMargin is how long before the weights bound the last engine must switch.
	// Entries stop sending requests to older weights 1.2 s before the bound, so an engine
	// that has not switched by then is idle.
	switchMargin = 1200 * time.Millisecond
	// announceLead is the time between announcing a load to entries and ordering it. It
	// covers the delivery through a replica and the requests that entries send meanwhile.
	announceLead = 60 * time.Millisecond
	// arrivalTimeout is the time without a new piece after which a transfer counts as
	// stalled. A piece takes 35 to 150 ms.
	arrivalTimeout = 500 * time.Millisecond
	stopTimeout    = time.Second
)

// Engine calls the engine beside the stager, and the origin of weights.
type Engine interface {
	// Report returns the state of the engine.
	Report(ctx context.Context, address string) (protocol.Report, error)
	// Load orders the engine to load the staged pieces as a version. The engine refuses
	// unless expected is the number of orders that it has accepted.
	Load(ctx context.Context, address, model string, version, expected uint64) error
	// Unload orders the engine to give up a version, so that no further request begins on it.
	// Requests in progress end. The engine refuses as for Load.
	Unload(ctx context.Context, address, model string, version, expected uint64) error
	// Stage writes a piece to the engine's staging area, and Staged reads it back.
	Stage(ctx context.Context, address, model string, piece int, data []byte) error
	Staged(ctx context.Context, address, model string, piece int, limit int64) ([]byte, error)
	// Pieces returns the list of a version's pieces from the origin, and Piece one of them.
	Pieces(ctx context.Context, origin, model string, version uint64) (protocol.PieceList, error)
	Piece(ctx context.Context, origin, model string, version uint64, piece int, limit int64) ([]byte, error)
}

// Options are the dependencies of a Daemon.
type Options struct {
	Token   auth.Token // shared by the system's processes
	Network network.Network
	Decode  func(source []byte) (*routing.Document, error)
	Engine  Engine
}

// Daemon brings the named weights versions to one engine, and exchanges their pieces with
// other stagers.
type Daemon struct {
	settings Settings
	opts     Options
	log      log.Interface
	registry *prometheus.Registry
	fleet    *fleetclient.Client
	store    *store
	peers    *http.Client
	started  time.Time
	loaded   atomic.Uint64 // complete version that the engine last reported; zero for none
	// replacement is an older version to fetch, with which weights that cannot be verified are
	// replaced; zero for none.
	replacement atomic.Uint64
	// verified and rejected are the loads that could and could not be verified. Only the
	// reconcile loop uses them.
	verified, rejected verifiedLoads
	writes             stagingWrites // likewise
	unloaded           verifiedLoads // the last order to give up weights, likewise

	lastReport atomic.Pointer[engineState]

	mu           sync.Mutex
	fetching     map[uint64]context.CancelFunc // by version
	lastProgress map[uint64]time.Time          // when a piece or the list last arrived, by version
	transfers    map[uint64]*transfer          // by version
	uploads      chan struct{}                 // semaphore of maxUploads
	// uploadRate limits the bytes per second sent to other stagers.
	uploadRate    *rate.Limiter
	changed       chan struct{}
	reconcileWake chan struct{}
	// send sends a datagram to another stager. Loss is tolerated, since messages are
	// repeated.
	send func(to string, m peerMessage)
	// processes lists the stagers known to the control replicas.
	processes func() []wire.Process
	// named lists the named versions of a model, oldest first.
	named func(model string) []fleetclient.NamedVersion

	trackMu   sync.Mutex
	tracking  map[uint64]*tracking // by version
	trackWake chan struct{}
}

// target is a weights version of a model, and where to fetch it.
type target struct {
	model      string
	version    uint64
	layers     int
	pieces     int
	origin     string
	fetchStart time.Time // when the first attempt to fetch the version started
}

// New returns a Daemon. Run starts it.
func New(s Settings, opts Options, logger log.Interface) *Daemon {
	d := &Daemon{
		settings: s, opts: opts, log: logger, registry: metrics.NewRegistry(), store: newStore(),
		started: time.Now(), fetching: map[uint64]context.CancelFunc{}, lastProgress: map[uint64]time.Time{}, peers: &http.Client{Transport: network.HTTPTransport(opts.Network)}, changed: make(chan struct{}, 1), reconcileWake: make(chan struct{}, 1),
		uploads:   make(chan struct{}, maxUploads),
		transfers: map[uint64]*transfer{}, tracking: map[uint64]*tracking{}, trackWake: make(chan struct{}, 1),
		send:       func(string, peerMessage) {},
		uploadRate: rate.NewLimiter(rate.Limit(uploadShare*float64(s.Link)), uploadWriteSize),
	}
	d.fleet = fleetclient.New(fleetclient.Config{
		Token: opts.Token.Secret(), Seeds: s.SessionAddresses(),
		Network: opts.Network, Log: logger, Decode: opts.Decode, OnChange: d.signal, MinFetchInterval: routingRefresh,
	}, wire.Process{
		Name: s.Instance, Role: wire.RoleStager, Address: s.Engine, PeerAddress: s.PeerListen,
		Zone: s.Zone, Region: s.Region, Service: s.Service,
	})
	d.processes = d.fleet.Processes
	d.named = d.fleet.NamedWeights
	return d
}

func (d *Daemon) signal() { signal(d.changed) }

// signal wakes a loop that waits on a channel of capacity 1. It does not block.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run serves other stagers and keeps the engine on the named version until ctx ends or a
// server fails.
func (d *Daemon) Run(ctx context.Context, reloads <-chan settings.Checker) error {
	servers, err := network.OpenServers(d.opts.Network,
		network.ServerConfig{Address: d.settings.PeerListen, Handler: d.peerHandler(d.opts.Token)},
		network.ServerConfig{Address: d.settings.AdminListen, Handler: d.adminHandler()},
		network.ServerConfig{Address: d.settings.MetricsListen, Handler: metrics.AdminHandler(d.registry, func() error { return nil })},
	)
	if err != nil {
		return oops.In("stager").Wrap(err)
	}
	var wg sync.WaitGroup
	failures := make(chan error, len(servers))
	for _, s := range servers {
		wg.Go(func() {
			if err := s.Serve(); err != nil {
				failures <- oops.In("stager").Wrap(err)
			}
		})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	port, err := datagram.Open[peerMessage](d.settings.PeerListen, d.log)
	if err != nil {
		network.ShutdownServers(servers, stopTimeout)
		return oops.In("stager").Wrap(err)
	}
	defer context.AfterFunc(ctx, port.Close)()
	d.send = func(to string, m peerMessage) {
		if address, err := netip.ParseAddrPort(to); err == nil { // each process validates its own address
			port.Send(address, m)
		}
	}
	wg.Go(func() { port.Receive(ctx, d.receive) })
	wg.Go(func() { d.runTracking(ctx) })
	wg.Go(func() { d.fleet.Reload(ctx, reloads) })
	wg.Go(func() { d.fleet.Run(ctx) })
	wg.Go(func() { d.fetchLoop(ctx) })
	wg.Go(func() { d.reconcileLoop(ctx) })
	d.log.Info("started")
	select {
	case <-ctx.Done():
	case err = <-failures:
	}
	cancel()
	network.ShutdownServers(servers, stopTimeout)
	wg.Wait()
	d.log.Info("stopped")
	return err
}

// fetchLoop fetches the named versions. It runs independently of the engine, so that a
// version can be fetched while another one is loading.
func (d *Daemon) fetchLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		if t, ok := d.target(); ok {
			d.updateFetches(ctx, &wg, t)
		}
		signal(d.reconcileWake)
		select {
		case <-ctx.Done():
		case <-d.changed:
		case <-time.After(checkInterval):
		}
	}
}

// reconcileLoop repeatedly calls reconcile until ctx ends.
func (d *Daemon) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := checkInterval
		if t, ok := d.target(); ok {
			until, err := d.reconcile(ctx, t)
			wait = min(wait, max(0, until))
			if err != nil && ctx.Err() == nil {
				d.log.WithFields(log.Fields{"model": t.model, "version": t.version}).WithError(err).Warn("weights_not_in_place")
				wait = retryPause/2 + rand.N(retryPause)
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-d.reconcileWake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// updateFetches starts fetching the versions that are needed and cancels the fetches of
// those that no longer are.
func (d *Daemon) updateFetches(ctx context.Context, wg *sync.WaitGroup, t target) {
	due := versionsToFetch(d.loaded.Load(), d.namedVersions(t.model))
	if older := d.replacement.Load(); older != 0 && !slices.Contains(due, older) {
		due = append(due, older)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for version, cancel := range d.fetching {
		if !slices.Contains(due, version) {
			cancel()
		}
	}
	for _, version := range due {
		if c := d.store.get(version); d.fetching[version] != nil || c != nil && c.complete() {
			continue
		}
		fctx, cancel := context.WithCancel(ctx)
		d.fetching[version] = cancel
		next := t
		next.version = version
		wg.Go(func() {
			defer cancel()
			d.fetchUntilComplete(fctx, next)
			d.mu.Lock()
			delete(d.fetching, version)
			d.mu.Unlock()
			d.signal()
		})
	}
}

// recordProgress records that a piece or the list of a version has arrived.
func (d *Daemon) recordProgress(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastProgress[version] = time.Now()
	for v := range d.lastProgress {
		if v+maxCopies <= version {
			delete(d.lastProgress, v)
		}
	}
}

// newerArriving reports whether a piece or the list of a newer version has arrived within
// arrivalTimeout.
func (d *Daemon) newerArriving(version uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for v, at := range d.lastProgress {
		if v > version && time.Since(at) < arrivalTimeout {
			return true
		}
	}
	return false
}

// fetchUntilComplete retries fetching a version until it is complete or ctx ends.
func (d *Daemon) fetchUntilComplete(ctx context.Context, t target) {
	t.fetchStart = time.Now()
	for ctx.Err() == nil {
		_, err := d.fetch(ctx, t)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			d.log.WithFields(log.Fields{"model": t.model, "version": t.version}).WithError(err).Info("fetch_failed")
			sleep(ctx, retryAfter(err))
		}
	}
}

// retryAfter returns the randomised pause before the next attempt to fetch a version.
func retryAfter(err error) time.Duration {
	if errors.Is(err, errNotHeld) {
		return listRetry/2 + rand.N(listRetry)
	}
	return retryPause/2 + rand.N(retryPause)
}

// namedVersions returns the named versions of a model, oldest first; firstVersion if none
// has been named.
func (d *Daemon) namedVersions(model string) []fleetclient.NamedVersion {
	if list := d.named(model); len(list) > 0 {
		return list
	}
	return []fleetclient.NamedVersion{{Version: protocol.FirstVersion}}
}

// target returns the newest named version of the engine's model. It returns false until
// the routing document describes the engine.
func (d *Daemon) target() (target, bool) {
	table := d.fleet.Table()
	if table == nil {
		return target{}, false
	}
	service := table.Service(d.settings.Service)
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
		return target{}, false
	}
	e := service.Engine
	t := target{model: e.Models[0], layers: e.Layers, pieces: e.WeightChunks}
	t.version = max(protocol.FirstVersion, d.fleet.NewestWeights(t.model))
	for i := range table.Document.Services {
		if origin := table.Document.Services[i].Origin; origin != "" {
			t.origin = origin
		}
	}
	return t, true
}

// reconcile polls the engine, announces its state and loads the next version if it is due.
// It returns the time until the next call is due.
func (d *Daemon) reconcile(ctx context.Context, t target) (time.Duration, error) {
	named := d.namedVersions(t.model)
	for _, n := range slices.Backward(named) {
		if !d.completedAt(n.Version).IsZero() {
			d.announceVersion(n.Version)
			break
		}
	}
	report, err := d.observe(ctx)
	if err != nil {
		return checkInterval, err
	}
	d.loaded.Store(protocol.NewestCompleteVersion(report.Layers[t.model], t.layers))
	now := time.Now()
	state := engineState{loading: report.Loading, layers: t.layers, trusted: d.trusts(report), at: now}
	state.unloading = report.Loading && d.unloaded == verifiedLoads{report.Started, report.Orders}
	d.lastReport.Store(&state)
	next := d.decide(named, state, now)
	until := next.due.at.Sub(now)
	d.announceEngine(t, report, report.Loading, next.planned && until <= wire.LoadNotice)
	if state.trusted {
		d.replacement.Store(0)
	}
	switch next.step {
	case stepUnload:
		return checkInterval, d.unload(ctx, t, report, now.Sub(fleetclient.SupersededAt(named, d.loaded.Load())))
	case stepAwaitUnload:
		return loadingInterval, nil
	case stepVerify:
		wait, err := d.verifyLoaded(ctx, t, report)
		return next.limitWait(wait, now), err
	case stepNone:
		return next.limitWait(checkInterval, now), nil
	case stepWait:
		if until > wire.LoadNotice {
			until -= wire.LoadNotice
		}
		return next.limitWait(until, now), nil
	}
	t.version = next.due.version
	if next.step == stepAwaitLoad {
		return 0, d.awaitLoad(ctx, t, report)
	}
	return 0, d.load(ctx, t, d.store.get(next.due.version))
}

// completedAt returns when the copy of a version was completed, or the zero time.
func (d *Daemon) completedAt(version uint64) time.Time {
	if c := d.store.get(version); c != nil {
		return c.completedAt()
	}
	return time.Time{}
}

// loadTime returns when this stager's engine is to load a version.
func (d *Daemon) loadTime(version uint64, superseded, completed time.Time) time.Time {
	return loadTime(superseded, completed, max(0, d.settings.WeightsBound.Std()-switchMargin), d.loadOffset(version))
}

// loadOffset returns the position of this stager among those of its zone, in [0, 1). The
// order differs for each version. The positions are evenly spaced, which keeps as many
// engines in service as possible.
func (d *Daemon) loadOffset(version uint64) float64 {
	own := hashName(fmt.Sprint(d.settings.Instance, version))
	smaller, total := 0, 0
	for _, p := range d.peerProcesses() {
		if p.Zone != d.settings.Zone {
			continue
		}
		total++
		if hashName(fmt.Sprint(p.Name, version)) < own {
			smaller++
		}
	}
	return float64(smaller) / float64(max(1, total))
}

// announceEngine announces the state of the engine, so that entries learn of it before the
// next check-in of the engine.
func (d *Daemon) announceEngine(t target, report protocol.Report, loading, loadPending bool) {
	self := d.fleet.Self()
	self.Engine = wire.EngineState{
		Started: report.Started, Loading: loading, LoadPending: loadPending && !loading, Model: t.model, Layers: t.layers,
		Version: protocol.NewestCompleteVersion(report.Layers[t.model], t.layers),
		Orders:  report.Orders, Verified: d.verified.ordersOf(report.Started),
	}
	d.fleet.Announce(self)
}

// announceVersion announces to other stagers that this one has a complete version.
func (d *Daemon) announceVersion(version uint64) {
	self := d.fleet.Self()
	self.WeightsVersion = version
	d.fleet.Announce(self)
}

func (d *Daemon) report(ctx context.Context) (protocol.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return d.opts.Engine.Report(ctx, d.settings.Engine)
}

// load stages the missing or corrupted pieces and orders the load. The engine takes the staged
// pieces as they are when it accepts the order, and they may get corrupted at any time before,
// in particular while this process stands still. They are therefore verified after the order,
// and the weights are not announced as verified before that.
func (d *Daemon) load(ctx context.Context, t target, c *versionCopy) error {
	started := time.Now()
	restaged, err := d.stage(ctx, t, c)
	if err != nil {
		return err
	}
	if restaged > 0 {
		if again, err := d.stage(ctx, t, c); err != nil || again > 0 {
			return errors.Join(err, errDigest)
		}
	}
	report, err := d.observe(ctx)
	if err != nil {
		return err
	}
	// Announce the load first, so that entries stop sending requests before the engine stops
	// taking them.
	d.announceEngine(t, report, true, false)
	defer func() {
		if after, err := d.report(ctx); err == nil {
			d.announceEngine(t, after, after.Loading, false)
		}
	}()
	if d.loaded.Load() != 0 && !sleep(ctx, announceLead) {
		return ctx.Err()
	}
	octx, cancel := context.WithTimeout(ctx, engineTimeout)
	err = d.opts.Engine.Load(octx, d.settings.Engine, t.model, t.version, report.Orders)
	cancel()
	d.log.WithFields(log.Fields{
		"model": t.model, "version": t.version, "restaged": restaged, "orders": report.Orders,
		"running": report.Running, "ms": time.Since(started).Milliseconds(), "error": errorText(err),
	}).Info("load_ordered")
	if err != nil {
		return err
	}
	err = d.verifyStaged(ctx, t, c, verifiedLoads{report.Started, report.Orders + 1})
	return errors.Join(err, d.awaitLoad(ctx, t, report))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// stage reads back every staged piece and replaces those that do not match their digest.
// It returns how many it replaced.
func (d *Daemon) stage(ctx context.Context, t target, c *versionCopy) (replaced int, err error) {
	for i := range c.pieces {
		data, err := d.readStaged(ctx, t.model, i)
		if err == nil && c.matches(i, data) {
			continue
		}
		if err := d.writeStaged(ctx, t.model, i, c.get(i)); err != nil {
			return replaced, err
		}
		replaced++
	}
	return replaced, nil
}

// readStaged reads a piece back from the engine's staging area.
func (d *Daemon) readStaged(ctx context.Context, model string, piece int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return d.opts.Engine.Staged(ctx, d.settings.Engine, model, piece, maxPieceBytes)
}

// writeStaged writes a piece to the engine's staging area.
func (d *Daemon) writeStaged(ctx context.Context, model string, piece int, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	d.writes.pending = true
	return d.opts.Engine.Stage(ctx, d.settings.Engine, model, piece, data)
}

// awaitLoad waits until the engine holds the version. It fails if the engine stops loading
// or restarts before that.
func (d *Daemon) awaitLoad(ctx context.Context, t target, before protocol.Report) error {
	started := time.Now()
	for sleep(ctx, loadingInterval) {
		report, err := d.report(ctx)
		if err != nil {
			return err
		}
		if protocol.HasAllLayers(report.Layers[t.model], t.version, t.layers) {
			d.log.WithFields(log.Fields{"model": t.model, "version": t.version, "ms": time.Since(started).Milliseconds()}).Info("weights_in_place")
			return nil
		}
		if !report.Loading || report.Started != before.Started {
			return errors.New("engine stopped loading or restarted before the version was in place")
		}
	}
	return errors.Join(errLoading, ctx.Err())
}

var errLoading = errors.New("engine is still loading")
