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
	// checkInterval is the time between two looks at the engine, which may have
	// restarted without weights.
	checkInterval = 400 * time.Millisecond
	// loadingInterval is the time between two looks at an engine that loads.
	loadingInterval = 100 * time.Millisecond
	engineTimeout   = 2 * time.Second
	// routingRefresh: a stager needs the engines' description and the origin from
	// the routing document, which change rarely.
	routingRefresh = 5 * time.Second
	// failurePause spreads stagers that try again, so that they do not press the
	// origin together.
	failurePause = 300 * time.Millisecond
	// switchTime is kept of the bound for the last switch: entries send nothing to
	// older weights from 1.2 s before the bound on, so an engine that has not switched
	// by then stands idle.
	switchTime = 1200 * time.Millisecond
	// tellAhead is the time from telling entries of a load to its order: the way over
	// a replica, and what entries have sent meanwhile.
	tellAhead = 60 * time.Millisecond
	// arrivingFor is the pause between two pieces after which a transfer counts as
	// stuck. A piece takes 35 to 150 ms.
	arrivingFor = 500 * time.Millisecond
	// firstVersion is in force before any is named.
	firstVersion = 1
	stopTimeout  = time.Second
)

// Engine is the engine beside the stager, and the origin of weights.
type Engine interface {
	Report(ctx context.Context, address string) (protocol.Report, error)
	Load(ctx context.Context, address, model string, version, expected uint64) error
	Stage(ctx context.Context, address, model string, piece int, data []byte) error
	Staged(ctx context.Context, address, model string, piece int, limit int64) ([]byte, error)
	Pieces(ctx context.Context, origin, model string, version uint64) (protocol.PieceList, error)
	Piece(ctx context.Context, origin, model string, version uint64, piece int, limit int64) ([]byte, error)
}

// Options are what the daemon gets from its surroundings.
type Options struct {
	Token   auth.Token // of the system's processes
	Network network.Network
	Decode  func(source []byte) (*routing.Document, error)
	// Engine calls the engine beside the stager, and the origin.
	Engine Engine
}

// Daemon is a stager.
type Daemon struct {
	settings Settings
	opts     Options
	log      log.Interface
	registry *prometheus.Registry
	fleet    *fleetclient.Client
	store    *store
	peers    *http.Client
	started  time.Time
	loaded   atomic.Uint64 // whole version that the engine holds, as reported last

	mu        sync.Mutex
	fetching  map[uint64]context.CancelFunc // by version
	progress  map[uint64]time.Time          // when the last piece or list of a version came
	transfers map[uint64]*transfer          // by version
	uploads   chan struct{}
	// uploadRate bounds the bytes per second that go to other stagers.
	uploadRate *rate.Limiter
	changed    chan struct{}
	settleWake chan struct{}
	// send passes a message to another stager; a lost one is made up for.
	send func(to string, m peerMessage)
	// processes lists the other stagers.
	processes func() []wire.Process

	trackMu   sync.Mutex
	tracking  map[uint64]*tracking // by version
	trackWake chan struct{}
}

// target is what the engine must hold.
type target struct {
	model   string
	version uint64
	layers  int
	pieces  int
	origin  string
	began   time.Time // when fetching it began
}

// New builds the daemon.
func New(s Settings, opts Options, logger log.Interface) *Daemon {
	d := &Daemon{
		settings: s, opts: opts, log: logger, registry: metrics.NewRegistry(), store: newStore(),
		started: time.Now(), fetching: map[uint64]context.CancelFunc{}, progress: map[uint64]time.Time{}, peers: &http.Client{Transport: network.HTTPTransport(opts.Network)}, changed: make(chan struct{}, 1), settleWake: make(chan struct{}, 1),
		uploads:   make(chan struct{}, uploadsAtOnce),
		transfers: map[uint64]*transfer{}, tracking: map[uint64]*tracking{}, trackWake: make(chan struct{}, 1),
		send:       func(string, peerMessage) {},
		uploadRate: rate.NewLimiter(rate.Limit(uploadShare*float64(s.Link)), uploadPart),
	}
	d.fleet = fleetclient.New(fleetclient.Config{
		Token: opts.Token.Secret(), Seeds: s.SessionAddresses(),
		Network: opts.Network, Log: logger, Decode: opts.Decode, Changed: d.signal, Refresh: routingRefresh,
	}, wire.Process{
		Name: s.Instance, Role: wire.RoleStager, Address: s.Engine, PeerAddress: s.PeerListen,
		Zone: s.Zone, Region: s.Region, Service: s.Service,
	})
	d.processes = d.fleet.Processes
	return d
}

func (d *Daemon) signal() { signal(d.changed) }

// signal wakes a loop that waits on a channel of length 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run brings weights to the engine until ctx ends.
func (d *Daemon) Run(ctx context.Context, reloads <-chan settings.Checker) error {
	servers, err := network.OpenServers(d.opts.Network,
		network.ServerConfig{Address: d.settings.PeerListen, Handler: d.peerHandler(d.opts.Token)},
		network.ServerConfig{Address: d.settings.AdminListen, Handler: metrics.AdminHandler(d.registry, func() error { return nil })},
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
		if address, err := netip.ParseAddrPort(to); err == nil { // addresses were checked by their own processes
			port.Send(address, m)
		}
	}
	wg.Go(func() { port.Receive(ctx, d.receive) })
	wg.Go(func() { d.runTracking(ctx) })
	wg.Go(func() { d.fleet.Reload(ctx, reloads) })
	wg.Go(func() { d.fleet.Run(ctx) })
	wg.Go(func() { d.fetchNamed(ctx) })
	wg.Go(func() { d.settleAll(ctx) })
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

// fetchNamed keeps on fetching the versions that are named. It does not wait for the
// engine, so that a version arrives while another one is loaded.
func (d *Daemon) fetchNamed(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		if t, ok := d.target(); ok {
			d.fetchAll(ctx, &wg, t)
		}
		signal(d.settleWake)
		select {
		case <-ctx.Done():
		case <-d.changed:
		case <-time.After(checkInterval):
		}
	}
}

// settleAll keeps on bringing the engine to the version that is due.
func (d *Daemon) settleAll(ctx context.Context) {
	for ctx.Err() == nil {
		wait := checkInterval
		if t, ok := d.target(); ok {
			until, err := d.settle(ctx, t)
			wait = min(wait, max(0, until))
			if err != nil && ctx.Err() == nil {
				d.log.WithFields(log.Fields{"model": t.model, "version": t.version}).WithError(err).Warn("weights_not_in_place")
				wait = failurePause/2 + rand.N(failurePause)
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-d.settleWake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// fetchAll starts the transfers that are due and ends those that are not.
func (d *Daemon) fetchAll(ctx context.Context, wg *sync.WaitGroup, t target) {
	due := wanted(d.loaded.Load(), d.named(t.model))
	d.mu.Lock()
	defer d.mu.Unlock()
	for version, cancel := range d.fetching {
		if !slices.Contains(due, version) {
			cancel()
		}
	}
	for _, version := range due {
		if c := d.store.get(version); d.fetching[version] != nil || c != nil && c.whole() {
			continue
		}
		fctx, cancel := context.WithCancel(ctx)
		d.fetching[version] = cancel
		next := t
		next.version = version
		wg.Go(func() {
			defer cancel()
			d.fetchUntilWhole(fctx, next)
			d.mu.Lock()
			delete(d.fetching, version)
			d.mu.Unlock()
			d.signal()
		})
	}
}

// progressed records that a piece or the list of a version came.
func (d *Daemon) progressed(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progress[version] = time.Now()
	for v := range d.progress {
		if v+keepCopies <= version {
			delete(d.progress, v)
		}
	}
}

// arriving reports whether pieces of a newer version came lately.
func (d *Daemon) arriving(version uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for v, at := range d.progress {
		if v > version && time.Since(at) < arrivingFor {
			return true
		}
	}
	return false
}

func (d *Daemon) fetchUntilWhole(ctx context.Context, t target) {
	t.began = time.Now()
	for ctx.Err() == nil {
		_, err := d.fetch(ctx, t)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			d.log.WithFields(log.Fields{"model": t.model, "version": t.version}).WithError(err).Info("fetch_failed")
			pause(ctx, retryAfter(err))
		}
	}
}

// retryAfter is the pause before a version is fetched again.
func retryAfter(err error) time.Duration {
	if errors.Is(err, errNotHeld) {
		return listRetry/2 + rand.N(listRetry)
	}
	return failurePause/2 + rand.N(failurePause)
}

// named lists the named versions of a model, oldest first. The first version is in
// force before any is named.
func (d *Daemon) named(model string) []fleetclient.Weights {
	if list := d.fleet.NamedWeights(model); len(list) > 0 {
		return list
	}
	return []fleetclient.Weights{{Version: firstVersion}}
}

// target is what the engine must hold now.
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
	t.version = max(firstVersion, d.fleet.Weights(t.model))
	for i := range table.Document.Services {
		if origin := table.Document.Services[i].Origin; origin != "" {
			t.origin = origin
		}
	}
	return t, true
}

// settle makes the engine hold the version that is due. It returns the time until the
// next look is due.
func (d *Daemon) settle(ctx context.Context, t target) (time.Duration, error) {
	whole := func(version uint64) time.Time {
		if c := d.store.get(version); c != nil {
			return c.wholeSince()
		}
		return time.Time{}
	}
	named := d.named(t.model)
	for _, n := range slices.Backward(named) {
		if !whole(n.Version).IsZero() {
			d.hold(n.Version)
			break
		}
	}
	report, err := d.report(ctx)
	if err != nil {
		return checkInterval, err
	}
	d.loaded.Store(protocol.Complete(report.Layers[t.model], t.layers))
	now := time.Now()
	due, ok := next(d.loaded.Load(), named, whole, d.turn, d.arriving, now)
	until := due.at.Sub(now)
	d.tell(t, report, report.Loading, ok && until <= wire.LeavingFor)
	switch {
	case !ok:
		return checkInterval, nil
	case until > wire.LeavingFor:
		return until - wire.LeavingFor, nil
	case until > 0:
		return until, nil
	}
	t.version = due.version
	if report.Loading {
		return 0, d.await(ctx, t, report)
	}
	return 0, d.load(ctx, t, d.store.get(due.version))
}

// turn is when this stager's engine loads a version.
func (d *Daemon) turn(version uint64, superseded, whole time.Time) time.Time {
	return turn(superseded, whole, max(0, d.settings.WeightsBound.Std()-switchTime), d.share(version))
}

// share is the position of this stager among those of its zone, in [0, 1), which is
// another one for each version. Even steps keep as many engines in service as can be.
func (d *Daemon) share(version uint64) float64 {
	own := weightOf(fmt.Sprint(d.settings.Instance, version))
	before, all := 0, 0
	for _, p := range d.peerProcesses() {
		if p.Zone != d.settings.Zone {
			continue
		}
		all++
		if weightOf(fmt.Sprint(p.Name, version)) < own {
			before++
		}
	}
	return float64(before) / float64(max(1, all))
}

// tell passes on what is known of the engine, so that entries hear of it before
// the engine checks in again.
func (d *Daemon) tell(t target, report protocol.Report, loading, leaving bool) {
	self := d.fleet.Self()
	self.Engine = wire.EngineState{
		Started: report.Started, Loading: loading, Leaving: leaving && !loading, Model: t.model, Layers: t.layers,
		Version: protocol.Complete(report.Layers[t.model], t.layers),
	}
	d.fleet.Introduce(self)
}

// hold tells other stagers that this one has a whole version.
func (d *Daemon) hold(version uint64) {
	self := d.fleet.Self()
	self.Holds = version
	d.fleet.Introduce(self)
}

func (d *Daemon) report(ctx context.Context) (protocol.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return d.opts.Engine.Report(ctx, d.settings.Engine)
}

// load stages what is not staged as it should be, and orders the load right after
// the check: what lies beside an engine may turn bad.
func (d *Daemon) load(ctx context.Context, t target, c *copyOf) error {
	started := time.Now()
	restaged, err := d.stage(ctx, t, c)
	if err != nil {
		return err
	}
	if again, err := d.stage(ctx, t, c); err != nil || again > 0 {
		return errors.Join(err, errDigest)
	}
	report, err := d.report(ctx)
	if err != nil {
		return err
	}
	// Entries hear that the engine takes nothing new before it does so.
	d.tell(t, report, true, false)
	defer func() {
		if after, err := d.report(ctx); err == nil {
			d.tell(t, after, after.Loading, false)
		}
	}()
	if d.loaded.Load() != 0 && !pause(ctx, tellAhead) {
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
	return d.await(ctx, t, report)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// stage reads back every piece beside the engine and replaces those that do not
// match. It returns how many it replaced.
func (d *Daemon) stage(ctx context.Context, t target, c *copyOf) (replaced int, err error) {
	for i := range c.pieces {
		data, err := d.opts.Engine.Staged(ctx, d.settings.Engine, t.model, i, maxPieceBytes)
		if err == nil && c.matches(i, data) {
			continue
		}
		if err := d.opts.Engine.Stage(ctx, d.settings.Engine, t.model, i, c.get(i)); err != nil {
			return replaced, err
		}
		replaced++
	}
	return replaced, nil
}

// await waits until an engine has loaded.
func (d *Daemon) await(ctx context.Context, t target, before protocol.Report) error {
	started := time.Now()
	for pause(ctx, loadingInterval) {
		report, err := d.report(ctx)
		if err != nil {
			return err
		}
		if protocol.Holds(report.Layers[t.model], t.version, t.layers) {
			d.log.WithFields(log.Fields{"model": t.model, "version": t.version, "ms": time.Since(started).Milliseconds()}).Info("weights_in_place")
			return nil
		}
		if !report.Loading || report.Started != before.Started {
			return errors.New("engine ended its load without the weights")
		}
	}
	return errors.Join(errLoading, ctx.Err())
}

var errLoading = errors.New("engine is loading")
