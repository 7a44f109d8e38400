package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
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
	// callerHeaderTimeout and maxCallerHeaderBytes bound the limits of the routing document.
	callerHeaderTimeout  = 10 * time.Second
	maxCallerHeaderBytes = 64 << 10
	refreshInterval      = 250 * time.Millisecond
	// minRoutingInterval is the minimum time between two fetches of the routing
	// document. A document with 1,200 routes takes 10 ms of CPU time and must be in
	// force within 2 s.
	minRoutingInterval = 500 * time.Millisecond
	// softWeightsMargin and weightsMargin are subtracted from the time after which no
	// request may begin on older weights. A request may wait for its first event for
	// streamSilence and longer, until it is cancelled beginMargin before that time, and
	// one that is delayed by a slow link begins up to 0.8 s later still (observed). If
	// first events arrive as predicted, a request is sent as long as it is predicted to
	// begin in time (see placement.WeightsBound), and at most until weightsMargin. With a
	// weightsMargin of 0.6 s, a request began too late at an engine whose link had become
	// slow since its last first event.
	softWeightsMargin = streamSilence + 1400*time.Millisecond
	weightsMargin     = 1200 * time.Millisecond
	// beginMargin is how long before that time a request that has not begun on older
	// weights is cancelled. Closing the connection takes effect after up to one pass of
	// the engine.
	beginMargin     = 350 * time.Millisecond
	minWeightsBound = time.Second
)

// Options are the dependencies of a Daemon.
type Options struct {
	Token    auth.Token // shared by the processes of the system
	Network  network.Network
	Protocol protocol.HeaderCodec
	Decode   func(source []byte) (*routing.Document, error)
	// ReadyHandler returns the handler of the readiness port. The ready function
	// returns why the daemon is not ready, or nil.
	ReadyHandler func(ready func() error) http.Handler
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
	slots    *slotCoordinator
	guard    *crashGuard
	callers  *network.Guard
	peers    atomic.Pointer[peerPort]
	draining atomic.Bool
	wasReady bool
	// retrySharers is the number of entries that share the retry budget, as last logged.
	retrySharers int
	cold         placement.ColdTracker
}

// New returns a Daemon that is not running yet.
func New(s Settings, opts Options, logger log.Interface) *Daemon {
	d := &Daemon{
		settings: s, opts: opts, log: logger, registry: metrics.NewRegistry(), changed: make(chan struct{}, 1),
	}
	d.fleet = fleetclient.New(fleetclient.Config{
		Token: opts.Token.Secret(), Seeds: s.SessionAddresses(),
		Network: opts.Network, Log: logger, ConfirmFirst: true, Decode: opts.Decode, OnChange: d.signal, MinFetchInterval: minRoutingInterval,
	}, d.process(false))
	d.slots = newSlotCoordinator(s.Instance, s.Zone, logger, d.sendPeer)
	m := newRelayMetrics(d.registry)
	d.callers = metrics.NewGuard(d.registry, subsystem, int64(s.Memory))
	d.guard = newCrashGuard(logger, m, d.sendPeer)
	d.handler = &handler{
		protocol: opts.Protocol, fleet: d.fleet, dispatcher: newDispatcher(s.RetryRatio, s.RetrySlack, d.slots), guard: d.guard,
		conns: newConnPool(opts.Network), budget: d.callers.Budget(), metrics: m, log: logger, zone: s.Zone, regions: knownRegions(s.Zones),
		softWeightsBound: max(minWeightsBound, s.WeightsBound.Std()-softWeightsMargin),
		weightsBound:     max(minWeightsBound, s.WeightsBound.Std()-weightsMargin),
		maxPause:         s.MaxPause.Std(),
		beginBound:       max(minWeightsBound, s.WeightsBound.Std()-beginMargin),
	}
	d.handler.dispatcher.countCold(m)
	d.handler.start.began = time.Now()
	return d
}

// Registry returns the registry with the metrics of the daemon.
func (d *Daemon) Registry() *prometheus.Registry { return d.registry }

// process returns the description of this process for the control replicas.
func (d *Daemon) process(ready bool) wire.Process {
	return wire.Process{
		Name: d.settings.Instance, Role: wire.RoleEntry, Address: d.settings.advertised(), PeerAddress: d.settings.PeerListen,
		Zone: d.settings.Zone, Region: d.settings.Region, Ready: ready, Draining: d.draining.Load(),
	}
}

// sendPeer sends a message to another entry if the peer port is open.
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
	errNotSynced = errors.New("waiting for the quarantined parts that other entries know of")
)

// ready returns why the relay should get no new callers, or nil.
func (d *Daemon) ready() error {
	switch {
	case d.draining.Load():
		return errDraining
	case d.fleet.Table() == nil:
		return errNoRouting
	case !d.fleet.EvacuationsKnown():
		return errNoEvacuations
	case !d.guard.ready(time.Now()):
		return errNotSynced
	}
	return nil
}

// port is a server of the daemon.
type port interface {
	Serve() error
	Close() error
}

// Run serves until ctx ends or a port fails, then drains: it returns when the requests in
// progress are done or the grace period is over.
func (d *Daemon) Run(ctx context.Context, reloads <-chan settings.Checker) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	servers, err := network.OpenServers(d.opts.Network,
		network.ServerConfig{Address: d.settings.Listen, Handler: d.handler, Guard: d.callers},
		network.ServerConfig{Address: d.settings.ReadyListen, Handler: d.opts.ReadyHandler(d.ready), Guard: d.callers},
		network.ServerConfig{Address: d.settings.AdminListen, Handler: d.adminHandler()},
		network.ServerConfig{Address: d.settings.MetricsListen, Handler: metrics.AdminHandler(d.registry, d.ready)},
	)
	if err != nil {
		return oops.In("relay").Wrap(err)
	}
	server := servers[0]
	server.ReadHeaderTimeout, server.MaxHeaderBytes = callerHeaderTimeout, maxCallerHeaderBytes
	serving, cut := context.WithCancelCause(background)
	defer cut(nil)
	server.BaseContext = func(net.Listener) context.Context { return serving }
	callers := server.Drainable()
	ports := []port{callers}
	for _, s := range servers[1:] {
		ports = append(ports, s)
	}
	var wg sync.WaitGroup
	failures := make(chan error, len(ports))
	for _, s := range ports {
		wg.Go(func() {
			if err := s.Serve(); err != nil {
				d.log.WithError(err).Error("port_failed")
				failures <- oops.In("relay").Wrap(err)
			}
		})
	}
	wg.Go(func() { d.fleet.Reload(background, reloads) })
	wg.Go(func() { d.fleet.Run(background) })
	wg.Go(func() { d.refreshLoop(background) })
	wg.Go(func() { d.reportDelays(background) })
	wg.Go(func() { d.runPeers(background) })
	wg.Go(func() { d.guard.run(background) })
	d.log.Info("started")
	select {
	case <-ctx.Done():
	case err = <-failures: // the other ports still work
	}
	d.drain(callers, cut)
	stopBackground()
	for _, s := range ports {
		_ = s.Close() // the grace period is over
	}
	wg.Wait()
	d.log.Info("stopped")
	return err
}

// refreshLoop updates the pools and the peers when the state of the fleet changes, and
// at intervals.
func (d *Daemon) refreshLoop(ctx context.Context) {
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

// minReportedDelay is the shortest delay that is reported. Shorter ones of a busy machine change
// nothing that a request could notice.
const minReportedDelay = 500 * time.Millisecond

// reportDelays logs when this process did not run for a while: its endpoints then seem silent,
// and its deadlines have passed at once.
func (d *Daemon) reportDelays(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if delay := now.Sub(last) - refreshInterval; delay >= minReportedDelay {
			d.handler.metrics.delays.Inc()
			d.handler.metrics.delaySeconds.Add(delay.Seconds())
			d.log.WithField("ms", delay.Milliseconds()).Warn("process_delayed")
		}
		last = now
	}
}

func (d *Daemon) refresh() {
	processes := d.fleet.Processes()
	if p := d.peers.Load(); p != nil {
		p.setAddresses(processes)
	}
	others := d.otherEntries(processes)
	d.guard.update(others, time.Now())
	d.handler.start.otherReady.Store(d.otherReady(processes))
	d.slots.updateColdAuthority(d.listedEntries(processes), d.fleet.Isolated(), time.Now())
	table := d.fleet.Table()
	if table == nil {
		return
	}
	limits := table.Document.Limits
	d.callers.SetLimits(network.CallerLimits{HeadBytes: limits.HeaderBytes, HeadTime: limits.HeaderTimeout, IdleTime: limits.IdleTimeout})
	endpoints := map[string][]placement.Endpoint{}
	keep := map[string]bool{}
	for _, s := range d.fleet.ServerList() {
		e := d.endpoint(s, table.Service(s.Service))
		e.Evacuated = d.fleet.IsEvacuated(e.Zone)
		endpoints[s.Service] = append(endpoints[s.Service], e)
		keep[connKey(e)] = !e.Evacuated
	}
	entries := d.entries(processes)
	if d.fleet.EvacuationsKnown() { // before that, all zones count as evacuated, and their return would be a cold start
		d.updateCold(table, endpoints, time.Now())
	}
	d.slots.update(table, endpoints, entries, time.Now())
	d.handler.dispatcher.update(table, endpoints, len(entries))
	d.handler.metrics.setCold(d.handler.dispatcher.coldEndpoints())
	d.handler.metrics.evacuatedZones.Set(float64(len(d.fleet.Evacuated())))
	d.shareRetries(len(others) + 1)
	d.handler.conns.prune(keep)
	ready := d.ready() == nil
	if ready != d.wasReady {
		d.wasReady = ready
		d.log.WithField("ready", ready).Info("readiness_changed")
	}
	if !d.draining.Load() {
		d.fleet.Announce(d.process(ready))
	}
}

// shareRetries divides the retry budget among the listed entries and logs a change of this
// entry's part.
func (d *Daemon) shareRetries(listed int) {
	burst, sharers := d.handler.dispatcher.shareRetries(listed)
	if d.retrySharers != sharers {
		d.log.WithFields(log.Fields{"sharers": sharers, "before": d.retrySharers, "burst": burst}).Info("retry_share_changed")
	}
	d.retrySharers = sharers
	m := d.handler.metrics
	m.retryBurst.Set(burst)
	m.retrySharers.Set(float64(sharers))
}

// otherEntries lists the names of all other entries.
func (d *Daemon) otherEntries(processes []wire.Process) []string {
	var names []string
	for _, p := range processes {
		if p.Name != d.settings.Instance {
			names = append(names, p.Name)
		}
	}
	return names
}

// otherReady reports whether another entry accepts callers.
func (d *Daemon) otherReady(processes []wire.Process) bool {
	return slices.ContainsFunc(processes, func(p wire.Process) bool {
		return p.Ready && !p.Draining && p.Name != d.settings.Instance
	})
}

// listedEntries lists this entry and the others that do not stop.
func (d *Daemon) listedEntries(processes []wire.Process) []placement.Entry {
	list := []placement.Entry{{Name: d.settings.Instance, Zone: d.settings.Zone}}
	for _, p := range processes {
		if !p.Draining && p.Name != d.settings.Instance {
			list = append(list, placement.Entry{Name: p.Name, Zone: p.Zone})
		}
	}
	return list
}

// entries lists the entries that accept callers. If there is none, this entry is the
// only one listed and places its requests by itself.
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

// runPeers opens the peer port and coordinates slots with other entries until ctx ends.
func (d *Daemon) runPeers(ctx context.Context) {
	port, err := datagram.Open[peerMessage](d.settings.PeerListen, d.log)
	if err != nil {
		d.log.WithError(err).Error("peer_listen_failed") // requests are placed with local state only
	} else {
		defer context.AfterFunc(ctx, port.Close)()
		p := &peerPort{port: port, log: d.log, self: d.settings.Instance}
		p.setAddresses(d.fleet.Processes())
		d.peers.Store(p)
		go port.Receive(ctx, func(m peerMessage) {
			switch {
			case m.From == "":
			case d.guard.receive(m, time.Now()):
				d.signal() // this entry may be ready now
			default:
				d.slots.receive(m)
			}
		})
	}
	d.slots.run(ctx)
}

// endpointOf converts a server to an endpoint for placement.
func endpointOf(s wire.Server, service *routing.Service) placement.Endpoint {
	e := placement.Endpoint{
		ID: s.ID, Incarnation: s.Started, Address: s.Address, Zone: s.Zone, Slots: s.Slots, Draining: s.Draining || s.Loading, Leaving: s.Draining,
		ColdFor: time.Duration(s.ColdMs) * time.Millisecond, Report: s.Sequence,
	}
	if s.LoadPending {
		e.DrainsIn = wire.LoadNotice
	}
	if service == nil || service.Engine == nil {
		return e
	}
	e.Draining = e.Draining || !s.TrustedWeights()
	for _, m := range s.Models {
		if v := protocol.NewestCompleteVersion(m.Layers, service.Engine.Layers); v > e.WeightsVersion {
			e.WeightsVersion = v
		}
	}
	return e
}
