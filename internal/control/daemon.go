package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/raft"
	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/routing"
	"github.com/rhubarbhill/rhubarbhill/storage"
)

const (
	shutdownTimeout           = 3 * time.Second
	bootstrapInterval         = 100 * time.Millisecond
	leadershipTransferTimeout = time.Second
)

// Options replaces parts of the daemon in tests and measurements.
type Options struct {
	Network network.Network
	// Storage holds the storage options; New sets Storage.Replica.
	Storage storage.Options
	// TickInterval of the Raft node. With the default of 50 ms a failed leader
	// is replaced within about a second.
	TickInterval time.Duration
	// MaxBatch and SnapshotBytes are passed to ReplicaConfig.
	MaxBatch, SnapshotBytes int
	// ProcessToken and OperatorToken are used instead of the token files.
	ProcessToken, OperatorToken *auth.Token
	ByteCounts                  *transport.ByteCounts
	// Registry and Directory create the handlers of the registry and directory
	// addresses, in the format of the platform.
	Registry, Directory func(*Daemon) http.Handler
	// Decode decodes the source of a routing document. Address answers need it to
	// tell which hosts are bound to regions. Default: none is.
	Decode func(source []byte) (*routing.Document, error)
}

// Daemon is a control replica with its listeners.
type Daemon struct {
	settings      Settings
	opts          Options
	log           log.Interface
	replica       *Replica
	dataDir       *storage.DataDir
	hub           *hub
	fleet         *fleet
	hostRegions   *hostRegions
	peers         *peers
	inForce       *inForceTracker
	policy        repairPolicy
	processToken  auth.Token
	operatorToken auth.Token
	registry      *prometheus.Registry
	metrics       *daemonMetrics
	// callers protects the addresses of servers and of the operator, and directoryCallers that of
	// the directory, whose callers must not use up the places of the others.
	callers, directoryCallers *network.Guard
	proposalSlots             chan struct{}
	sentConfirms              sync.Map // *transport.Session to *sentConfirm
	lastAnnounces             sync.Map // *transport.Session to its last *wire.Announce
	pauses                    pauseDetector
	// knownEvacuations is the highest evacuation revision that an answer of the log contained.
	knownEvacuations atomic.Uint64
	abort            context.CancelFunc // stops at once, without transferring leadership
}

// New opens the data directory and creates the daemon.
func New(s Settings, opts Options, logger log.Interface) (*Daemon, error) {
	d := &Daemon{
		settings: s, opts: opts, log: logger, registry: metrics.NewRegistry(),
		hostRegions:   &hostRegions{log: logger, decode: opts.Decode},
		proposalSlots: make(chan struct{}, maxConcurrentProposals), inForce: newInForce(defaultLease+s.Grace.Std(), time.Now()),
	}
	d.metrics = newDaemonMetrics(d.registry)
	guards := metrics.NewGuards(d.registry, "control", int64(s.Memory), 2)
	d.callers, d.directoryCallers = guards[0], guards[1]
	if err := d.readTokens(); err != nil {
		return nil, err
	}
	if opts.TickInterval == 0 {
		d.opts.TickInterval = defaultTick
	}
	opts.Storage.Replica = s.Replica
	dataDir, state, err := storage.Open(s.DataDir, opts.Storage)
	if err != nil {
		return nil, oops.In("control").Wrap(err)
	}
	if state.TornBytes > 0 {
		logger.WithField("bytes", state.TornBytes).Warn("torn_record_cut_off")
	}
	d.dataDir = dataDir
	if err := d.build(state); err != nil {
		dataDir.Close()
		return nil, oops.In("control").Wrap(err)
	}
	return d, nil
}

// NewWhenWritable is like New, but waits while the disk takes no writes, until ctx ends. A process
// that ended instead would be started again and again while its disk is full.
func NewWhenWritable(ctx context.Context, s Settings, opts Options, logger log.Interface) (*Daemon, error) {
	for waiting := false; ; waiting = true {
		d, err := New(s, opts, logger)
		if !errors.Is(err, storage.ErrRetryable) {
			return d, err
		}
		if !waiting {
			logger.WithError(err).Error("disk_failed")
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(diskRetryInterval):
		}
	}
}

func (d *Daemon) readTokens() error {
	for _, t := range []struct {
		given *auth.Token
		file  string
		to    *auth.Token
	}{
		{d.opts.ProcessToken, d.settings.ProcessTokenFile, &d.processToken},
		{d.opts.OperatorToken, d.settings.OperatorTokenFile, &d.operatorToken},
	} {
		if t.given != nil {
			*t.to = *t.given
			continue
		}
		token, err := auth.ReadToken(t.file)
		if err != nil {
			return err
		}
		*t.to = token
	}
	return nil
}

func (d *Daemon) build(state storage.State) error {
	id := state.Identity.ID()
	d.policy = repairPolicy{
		self: id, voterLossTicks: int(d.settings.VoterLoss.Std() / d.opts.TickInterval),
		targetVoters: d.settings.targetVoters(), maxReplicas: defaultMaxReplicas,
		zoneLosses: d.settings.ZoneLosses, zone: d.zoneOf,
	}
	d.peers = &peers{
		token: d.processToken.Secret(), network: d.opts.Network, byteCounts: d.opts.ByteCounts, log: d.log,
		localHello: d.hello, ownAddress: d.settings.advertised(), onConnect: func() { d.fleet.NotifyChanged() }, onReply: d.receiveReply,
		dialers: map[string]*dialer{}, byID: map[string]string{}, byName: map[string]peer{},
		startedEmpty: map[string]bool{}, lostStorage: map[string]bool{},
	}
	replica, err := NewReplica(ReplicaConfig{
		TickInterval: d.opts.TickInterval, MaxBatch: d.opts.MaxBatch, SnapshotBytes: d.opts.SnapshotBytes, SnapshotEntries: d.settings.SnapshotEvery, Send: d.peers.Send,
		OnPublish: d.onPublish, OnApply: d.onApply, ManageMembership: d.manageMembership, Log: d.log,
	}, raft.Config{}, d.dataDir, state)
	if err != nil {
		return err
	}
	d.replica = replica
	d.hub = newHub(replica.View)
	d.hub.onAnnounce = d.inForce.RecordAnnouncement
	d.fleet = newFleet(replica.View, d.settings.Replica, d.settings.Heartbeat.Std(), d.log)
	d.fleet.peerSessions, d.fleet.alone = d.peers.Sessions, d.peers.Alone
	d.fleet.zone = d.zoneOf
	d.peers.SetSeeds(d.settings.seedAddresses())
	d.peers.SetMembers(replica.View().Raft.Membership.Addresses)
	d.metrics.registerGauges(d.registry, d)
	return nil
}

// zoneOf returns the availability zone of a replica, or "" if it is not known.
func (d *Daemon) zoneOf(replica string) string {
	if replica == d.policy.self {
		return d.settings.Zone
	}
	return d.peers.Zone(replica)
}

// Reload puts the seeds of changed settings in force. All other settings take effect at the
// next start.
func (d *Daemon) Reload(s *Settings) {
	d.peers.SetSeeds(s.seedAddresses())
	d.log.WithField("seeds", s.seedAddresses()).Info("seeds_reloaded")
}

// Registry returns the registry of the daemon's metrics.
func (d *Daemon) Registry() *prometheus.Registry { return d.registry }

// Replica returns the daemon's replica.
func (d *Daemon) Replica() *Replica { return d.replica }

func (d *Daemon) hello() hello {
	v := d.replica.View()
	return hello{
		ID: v.Raft.ID, Name: d.settings.Replica, Address: d.settings.advertised(),
		Empty: len(v.Raft.Membership.Voters) == 0, Zone: d.settings.Zone,
	}
}

// onPublish notifies subscribers of what changed in the view. It runs in the
// replica's loop.
func (d *Daemon) onPublish(old, next *View) {
	if old.Raft.Leader != next.Raft.Leader {
		d.fleet.NotifyChanged()
		d.log.WithFields(log.Fields{"leader": next.Raft.Leader, "term": next.Raft.Term}).Info("leader_changed")
	}
	if old.Raft.Membership.Index != next.Raft.Membership.Index {
		d.peers.SetMembers(next.Raft.Membership.Addresses)
		d.log.WithFields(log.Fields{
			"voters": next.Raft.Membership.Voters, "learners": next.Raft.Membership.Learners,
		}).Info("membership_changed")
	}
	if old.Catalogue.Revision != next.Catalogue.Revision || old.QuarantineVersion != next.QuarantineVersion {
		d.hub.NotifyCatalogueChanged()
	}
	if old.Routing.Version != next.Routing.Version || old.Raft.Membership.Index != next.Raft.Membership.Index ||
		old.Evacuations.Revision != next.Evacuations.Revision || !maps.EqualFunc(old.Weights, next.Weights, slices.Equal) {
		d.fleet.NotifyChanged()
	}
}

// onApply starts to track a newly accepted note, and logs a change of the evacuated zones. It runs in the replica's loop.
func (d *Daemon) onApply(c ledger.Command, r ledger.Result) {
	if e := c.Evacuation; e != nil && r.Status == ledger.StatusAccepted && !r.Repeated {
		d.log.WithFields(log.Fields{"zone": e.Zone, "evacuated": e.Evacuated, "revision": r.Number}).Info("evacuation_changed")
	}
	if c.Note == nil || r.Status != ledger.StatusAccepted || r.Repeated {
		return
	}
	d.inForce.Track(c.Note.Number, time.Now())
	d.log.WithFields(log.Fields{"note": c.Note.Number, "digest": string(c.Note.Digest)}).Info("note_accepted")
}

// manageMembership marks lost voters and, on the leader, proposes the
// membership change that is due. It runs in the replica's loop.
func (d *Daemon) manageMembership(n *raft.Node) {
	d.markLostVoters(n)
	if role, _ := n.Role(); role != raft.Leader {
		return
	}
	change, ok := d.policy.nextChange(n.Status(), d.peers.Present(time.Now()))
	if !ok {
		return
	}
	if _, err := n.ProposeConfChange(change); err != nil {
		d.log.WithError(err).Debug("membership_change_refused")
		return
	}
	d.log.WithFields(log.Fields{"change": change.Kind.String(), "replica": change.ID}).Info("membership_change_proposed")
}

// bootstrap forms a new cluster once all configured voters are present and have
// no log. It returns when this replica has a log.
func (d *Daemon) bootstrap(ctx context.Context) {
	if d.settings.JoinOnly {
		return
	}
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for len(d.replica.View().Raft.Membership.Voters) == 0 {
		members, ok := initialMembership(d.hello(), d.settings.initialVoters(), d.peers.Present(time.Now()))
		if ok {
			d.replica.Bootstrap(bootstrapSnapshot(members))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Run serves until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.dataDir.Close()
	loop, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoop()
	d.abort = stopLoop
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	servers, err := d.listen(loop, &wg)
	if err != nil {
		return err
	}
	failures := make(chan error, len(servers))
	for _, s := range servers {
		wg.Go(func() {
			if err := s.Serve(); err != nil {
				failures <- oops.In("control").Wrap(err)
			}
		})
	}
	wg.Go(func() { d.replica.Run(loop) })
	wg.Go(func() { d.peers.Run(loop) })
	wg.Go(func() { d.hub.Run(ctx.Done()) })
	wg.Go(func() { d.hub.RunPush(ctx.Done()) })
	wg.Go(func() { d.fleet.Run(ctx.Done()) })
	wg.Go(func() { d.bootstrap(ctx) })
	wg.Go(func() { d.pauses.Run(ctx.Done()) })
	d.log.WithField("replica", d.replica.View().Raft.ID).Info("started")
	select {
	case <-ctx.Done():
	case <-loop.Done():
	case err = <-failures:
	}
	cancel()
	d.transferLeadership(loop)
	stopLoop()
	network.ShutdownServers(servers, shutdownTimeout)
	wg.Wait()
	d.log.Info("stopped")
	return err
}

// listen opens the daemon's ports. Requests get the context of the replica's
// loop. Requests on the session port are counted in wg.
func (d *Daemon) listen(loop context.Context, wg *sync.WaitGroup) ([]network.Server, error) {
	session := mux.NewRouter()
	session.Handle(wire.PathSession, trackRequests(wg, &transport.Server{
		Handler: d.receive, Authorize: d.processToken.Allows, OnClose: d.sessionClosed, Bytes: d.opts.ByteCounts,
	}))
	servers, err := network.OpenServers(d.opts.Network,
		network.ServerConfig{Address: d.settings.SessionListen, Handler: session},
		network.ServerConfig{Address: d.settings.OperatorListen, Handler: d.operatorHandler(), Guard: d.callers},
		network.ServerConfig{Address: d.settings.RegistryListen, Handler: handlerOr404(d.opts.Registry, d), Guard: d.callers},
		network.ServerConfig{Address: d.settings.DirectoryListen, Handler: handlerOr404(d.opts.Directory, d), Guard: d.directoryCallers},
		network.ServerConfig{Address: d.settings.AdminListen, Handler: metrics.AdminHandler(d.registry, d.ready)},
		network.ServerConfig{Address: d.settings.MetricsListen, Handler: metrics.AdminHandler(d.registry, d.ready)},
	)
	for _, s := range servers {
		s.BaseContext = func(net.Listener) context.Context { return loop }
	}
	return servers, oops.In("control").Wrap(err)
}

// handlerOr404 returns the handler that build creates, or one that answers 404
// when build is nil.
func handlerOr404(build func(*Daemon) http.Handler, d *Daemon) http.Handler {
	if build == nil {
		return http.NotFoundHandler()
	}
	return build(d)
}

// trackRequests counts running requests in wg, because http.Server.Shutdown
// does not wait for WebSocket sessions.
func trackRequests(wg *sync.WaitGroup, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wg.Add(1)
		defer wg.Done()
		next.ServeHTTP(w, r)
	})
}

// Kill makes Run return at once without transferring leadership. It simulates a
// crash of the process.
func (d *Daemon) Kill() {
	if d.abort != nil {
		d.abort()
	}
}

// transferLeadership transfers leadership to another voter before a planned
// stop.
func (d *Daemon) transferLeadership(loop context.Context) {
	d.replica.enqueueOp(func() { d.replica.node.TransferLeadership() })
	deadline := time.Now().Add(leadershipTransferTimeout)
	for loop.Err() == nil && time.Now().Before(deadline) && d.replica.View().Raft.Role == raft.Leader {
		time.Sleep(bootstrapInterval / 10)
	}
}

// ready returns the reason why this replica is not ready to serve, or nil.
func (d *Daemon) ready() error {
	v := d.replica.View()
	switch {
	case v.DiskError != nil:
		return v.DiskError
	case len(v.Raft.Membership.Voters) == 0:
		return fmt.Errorf("not a member yet: waiting for the voters %v", slices.Sorted(maps.Keys(d.settings.initialVoters())))
	case v.Raft.Leader == "":
		return errors.New("no leader")
	}
	return nil
}

func sortedModels(c release.Catalogue) []string { return slices.Sorted(maps.Keys(c.Models)) }
