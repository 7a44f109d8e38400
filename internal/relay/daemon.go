package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/datagram"
	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

const (
	// callerIdle keeps idle connections of callers. It is longer than any limit
	// that a routing document is expected to state, so that no request crosses a
	// close.
	callerIdle        = 3 * time.Minute
	callerHeader      = 10 * time.Second
	callerHeaderBytes = 64 << 10
	refreshInterval   = 250 * time.Millisecond
	// routingRefresh is the least time between two fetches of the routing document. One
	// of 1,200 routes takes 10 ms of the processor, and must be in force within 2 s.
	routingRefresh = 500 * time.Millisecond
	stopMargin     = 600 * time.Millisecond
	// acceptWithOthers is the time for which most callers keep addresses, and some
	// more for their questions.
	acceptWithOthers = 1300 * time.Millisecond
	// acceptAlone leaves a stream of usual length the time to end within the grace
	// period.
	acceptAlone = 2800 * time.Millisecond
	drainPoll   = 50 * time.Millisecond
	// timelyMargin and weightsMargin are kept from the time after which no request
	// may begin on older weights. A request may wait until it is given up as silent,
	// and one whose bytes are held up on a narrow link begins even later: 0.8 s later
	// was seen. Where first events come as predicted, a request is sent for as long as
	// its own is predicted in time, see placement.Bound, and at most until
	// weightsMargin. With 0.6 s a request began too late at an engine whose link had
	// become narrow since its last first event.
	timelyMargin  = streamSilence + 1400*time.Millisecond
	weightsMargin = 1200 * time.Millisecond
	// beginMargin before that time, a request that has not begun on older weights is
	// given up: the close takes up to one pass of the engine to have an effect.
	beginMargin         = 350 * time.Millisecond
	weightsBoundMinimum = time.Second
)

// Options are what the daemon gets from its surroundings.
type Options struct {
	Token    auth.Token // of the system's processes
	Network  network.Network
	Protocol protocol.Caller
	Decode   func(source []byte) (*routing.Document, error)
	// Ready builds what is served on the ready address.
	Ready func(ready func() error) http.Handler
}

// Daemon is a relay with its ports.
type Daemon struct {
	settings Settings
	opts     Options
	log      log.Interface
	registry *prometheus.Registry
	fleet    *fleetclient.Client
	handler  *handler
	changed  chan struct{}
	slots    *slots
	peers    atomic.Pointer[entryPort]
	draining atomic.Bool
	wasReady bool
}

// New builds the daemon.
func New(s Settings, opts Options, logger log.Interface) *Daemon {
	d := &Daemon{
		settings: s, opts: opts, log: logger, registry: metrics.NewRegistry(), changed: make(chan struct{}, 1),
	}
	d.fleet = fleetclient.New(fleetclient.Config{
		Token: opts.Token.Secret(), Seeds: s.SessionAddresses(),
		Network: opts.Network, Log: logger, Confirmed: true, Decode: opts.Decode, Changed: d.signal, Refresh: routingRefresh,
	}, d.self(false))
	d.slots = newSlots(s.Instance, s.Zone, logger, d.sendPeer)
	d.handler = &handler{
		protocol: opts.Protocol, fleet: d.fleet, dispatch: newDispatcher(s.RetryRatio, s.RetrySlack, d.slots),
		conns: newConnPool(opts.Network), metrics: newRelayMetrics(d.registry), log: logger, zone: s.Zone,
		timelyBound:  max(weightsBoundMinimum, s.WeightsBound.Std()-timelyMargin),
		weightsBound: max(weightsBoundMinimum, s.WeightsBound.Std()-weightsMargin),
		beginBound:   max(weightsBoundMinimum, s.WeightsBound.Std()-beginMargin),
	}
	return d
}

// Registry returns the daemon's metrics.
func (d *Daemon) Registry() *prometheus.Registry { return d.registry }

func (d *Daemon) self(ready bool) wire.Process {
	return wire.Process{
		Name: d.settings.Instance, Role: wire.RoleEntry, Address: d.settings.advertised(), PeerAddress: d.settings.PeerListen,
		Zone: d.settings.Zone, Region: d.settings.Region, Ready: ready, Draining: d.draining.Load(),
	}
}

// sendPeer sends a message to another entry, if the port is open.
func (d *Daemon) sendPeer(to string, m peerMessage) {
	if p := d.peers.Load(); p != nil {
		p.send(to, m)
	}
}

func (d *Daemon) signal() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

var (
	errDraining  = errors.New("draining")
	errNoRouting = errors.New("no routing document yet")
)

// ready returns why no new caller should come, or nil.
func (d *Daemon) ready() error {
	switch {
	case d.draining.Load():
		return errDraining
	case d.fleet.Table() == nil:
		return errNoRouting
	}
	return nil
}

// Run serves until ctx ends, and then until requests in progress are done or the
// grace period is over.
func (d *Daemon) Run(ctx context.Context, reloads <-chan settings.Checker) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	servers, err := network.OpenServers(d.opts.Network,
		network.ServerConfig{Address: d.settings.Listen, Handler: d.handler},
		network.ServerConfig{Address: d.settings.ReadyListen, Handler: d.opts.Ready(d.ready)},
		network.ServerConfig{Address: d.settings.AdminListen, Handler: metrics.AdminHandler(d.registry, d.ready)},
		network.ServerConfig{Address: d.settings.MetricsListen, Handler: metrics.AdminHandler(d.registry, d.ready)},
	)
	if err != nil {
		return oops.In("relay").Wrap(err)
	}
	callers := servers[0]
	callers.ReadHeaderTimeout, callers.IdleTimeout, callers.MaxHeaderBytes = callerHeader, callerIdle, callerHeaderBytes
	callers.BaseContext = func(net.Listener) context.Context { return background }
	var wg sync.WaitGroup
	failures := make(chan error, len(servers))
	for _, s := range servers {
		wg.Go(func() {
			if err := s.Serve(); err != nil {
				failures <- oops.In("relay").Wrap(err)
			}
		})
	}
	wg.Go(func() { d.fleet.Reload(ctx, reloads) })
	wg.Go(func() { d.fleet.Run(background) })
	wg.Go(func() { d.follow(background) })
	wg.Go(func() { d.exchange(background) })
	d.log.Info("started")
	select {
	case <-ctx.Done():
		d.drain(callers)
	case err = <-failures:
	}
	stopBackground()
	for _, s := range servers {
		_ = s.Close() // what is left is cut off: the grace period is over
	}
	wg.Wait()
	d.log.Info("stopped")
	return err
}

// drain sends new callers elsewhere, serves those that come all the same for as
// long as they may hold the address, and then finishes what is in progress.
func (d *Daemon) drain(callers network.Server) {
	end := time.Now().Add(d.settings.Grace.Std() - stopMargin)
	d.draining.Store(true)
	d.fleet.Introduce(d.self(d.fleet.Table() != nil))
	d.log.Info("draining")
	callers.SetKeepAlivesEnabled(false)
	for begun := time.Now(); time.Since(begun) < d.acceptFor(); {
		time.Sleep(drainPoll)
	}
	d.fleet.Introduce(d.self(false))
	d.log.Info("no_more_callers")
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		d.log.WithError(err).Warn("requests_cut_by_stop")
	}
}

// acceptFor is how long callers are taken after a stop signal: while they may
// hold the address, and longer while no other entry takes any.
func (d *Daemon) acceptFor() time.Duration {
	for _, p := range d.fleet.Processes() {
		if p.Name != d.settings.Instance && p.Ready && !p.Draining {
			return min(acceptWithOthers, d.settings.Grace.Std()/4)
		}
	}
	return min(acceptAlone, d.settings.Grace.Std()/3)
}

// follow brings the pools in line with the fleet's state.
func (d *Daemon) follow(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.changed:
		case <-ticker.C:
		}
		d.refresh()
	}
}

func (d *Daemon) refresh() {
	table := d.fleet.Table()
	if table == nil {
		return
	}
	endpoints := map[string][]placement.Endpoint{}
	keep := map[string]bool{}
	for _, s := range d.fleet.ServerList() {
		e := endpointOf(s, table.Service(s.Service))
		endpoints[s.Service] = append(endpoints[s.Service], e)
		keep[connKey(e)] = true
	}
	processes := d.fleet.Processes()
	if p := d.peers.Load(); p != nil {
		p.learn(processes)
	}
	entries := d.entries(processes)
	d.slots.update(table, endpoints, entries, time.Now())
	d.handler.dispatch.update(table, endpoints, len(entries))
	d.handler.conns.prune(keep)
	ready := d.ready() == nil
	if ready != d.wasReady {
		d.wasReady = ready
		d.log.WithField("ready", ready).Info("readiness_changed")
	}
	if !d.draining.Load() {
		d.fleet.Introduce(d.self(ready))
	}
}

// entries lists the entries that take callers. Where there are none, this one places
// its requests alone.
func (d *Daemon) entries(processes []wire.Process) []placement.Entry {
	var list []placement.Entry
	for _, p := range processes {
		if p.Ready && !p.Draining && p.Name != d.settings.Instance {
			list = append(list, placement.Entry{Name: p.Name, Zone: p.Zone})
		}
	}
	if d.ready() == nil || len(list) == 0 {
		list = append(list, placement.Entry{Name: d.settings.Instance, Zone: d.settings.Zone})
	}
	return list
}

// exchange carries messages between this entry and others.
func (d *Daemon) exchange(ctx context.Context) {
	port, err := datagram.Open[peerMessage](d.settings.PeerListen, d.log)
	if err != nil {
		d.log.WithError(err).Error("peer_listen_failed") // requests are placed by what this entry knows itself
	} else {
		defer context.AfterFunc(ctx, port.Close)()
		p := &entryPort{port: port, log: d.log, self: d.settings.Instance}
		p.learn(d.fleet.Processes())
		d.peers.Store(p)
		go port.Receive(ctx, func(m peerMessage) {
			if m.From != "" {
				d.slots.receive(m)
			}
		})
	}
	d.slots.run(ctx)
}

// endpointOf is a server as the pools see it.
func endpointOf(s wire.Server, service *routing.Service) placement.Endpoint {
	e := placement.Endpoint{
		ID: s.ID, Incarnation: s.Started, Address: s.Address, Zone: s.Zone, Slots: s.Slots, Draining: s.Draining || s.Loading,
	}
	if s.Leaving {
		e.DrainsIn = wire.LeavingFor
	}
	if service == nil || service.Engine == nil {
		return e
	}
	for _, m := range s.Models {
		if v := protocol.Complete(m.Layers, service.Engine.Layers); v > e.WeightsVersion {
			e.WeightsVersion = v
		}
	}
	return e
}
