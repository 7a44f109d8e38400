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
	"github.com/rhubarbhill/rhubarbhill/storage"
)

const (
	shutdownTimeout   = 3 * time.Second
	bootstrapInterval = 100 * time.Millisecond
	transferTimeout   = time.Second
)

// Options replace parts of the daemon, for tests and measurements.
type Options struct {
	Network network.Network
	// Storage options; Replica is filled in.
	Storage storage.Options
	// Tick of the raft node. Default 50 ms: a lost leader is replaced within
	// about a second.
	Tick time.Duration
	// TurnLimit and SnapshotBytes are those of ReplicaConfig.
	TurnLimit, SnapshotBytes int
	// ProcessToken and OperatorToken replace the token files.
	ProcessToken, OperatorToken *auth.Token
	Bytes                       *transport.ByteCounts
	// Registry and Directory build what is served on the registry and directory
	// addresses, in the format of the platform.
	Registry, Directory func(*Daemon) http.Handler
}

// Daemon is a control replica with its ports.
type Daemon struct {
	settings      Settings
	opts          Options
	log           log.Interface
	replica       *Replica
	folder        *storage.DataDir
	hub           *hub
	fleet         *fleet
	peers         *peers
	inForce       *inForce
	policy        repairPolicy
	processToken  auth.Token
	operatorToken auth.Token
	registry      *prometheus.Registry
	metrics       *daemonMetrics
	proposals     chan struct{}
	told          sync.Map           // session to *told
	announced     sync.Map           // session to *wire.Announce, the last whole one
	halt          context.CancelFunc // stops at once, without handing over
}

// New opens the data folder and builds the daemon.
func New(s Settings, opts Options, logger log.Interface) (*Daemon, error) {
	d := &Daemon{
		settings: s, opts: opts, log: logger, registry: metrics.NewRegistry(),
		proposals: make(chan struct{}, maxProposals), inForce: newInForce(defaultLease+s.Grace.Std(), time.Now()),
	}
	d.metrics = newDaemonMetrics(d.registry)
	if err := d.readTokens(); err != nil {
		return nil, err
	}
	if opts.Tick == 0 {
		d.opts.Tick = defaultTick
	}
	opts.Storage.Replica = s.Replica
	folder, state, err := storage.Open(s.DataDir, opts.Storage)
	if err != nil {
		return nil, oops.In("control").Wrap(err)
	}
	if state.TornBytes > 0 {
		logger.WithField("bytes", state.TornBytes).Warn("torn_record_cut_off")
	}
	d.folder = folder
	if err := d.build(state); err != nil {
		folder.Close()
		return nil, oops.In("control").Wrap(err)
	}
	return d, nil
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
		self: id, lossTicks: int(d.settings.VoterLoss.Std() / d.opts.Tick),
		targetVoters: d.settings.targetVoters(), maxReplicas: defaultMaxReplicas,
	}
	d.peers = &peers{
		token: d.processToken.Secret(), network: d.opts.Network, bytes: d.opts.Bytes, log: d.log,
		self: d.hello, own: d.settings.advertised(), opened: func() { d.fleet.Changed() },
		dialers: map[string]*dialer{}, byID: map[string]string{}, seen: map[string]peer{},
		empty: map[string]bool{}, lost: map[string]bool{},
	}
	replica, err := NewReplica(ReplicaConfig{
		Tick: d.opts.Tick, TurnLimit: d.opts.TurnLimit, SnapshotBytes: d.opts.SnapshotBytes, SnapshotEvery: d.settings.SnapshotEvery, Send: d.peers.Send,
		Published: d.published, Applied: d.applied, Manage: d.manage, Log: d.log,
	}, raft.Config{}, d.folder, state)
	if err != nil {
		return err
	}
	d.replica = replica
	d.hub = newHub(replica.View)
	d.hub.announced = d.inForce.Announced
	d.fleet = newFleet(replica.View, d.settings.Replica, d.settings.Heartbeat.Std(), d.log)
	d.fleet.peers = d.peers.Sessions
	d.fleet.zone = func(replica string) string {
		if replica == id {
			return d.settings.Zone
		}
		return d.peers.Zone(replica)
	}
	d.peers.Learn(replica.View().Raft.Membership.Addresses)
	d.metrics.follow(d.registry, d)
	return nil
}

// Registry returns the daemon's metrics.
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

// published reacts to a new view. It runs in the replica's loop.
func (d *Daemon) published(old, next *View) {
	if old.Raft.Leader != next.Raft.Leader {
		d.fleet.Changed()
		d.log.WithFields(log.Fields{"leader": next.Raft.Leader, "term": next.Raft.Term}).Info("leader_changed")
	}
	if old.Raft.Membership.Index != next.Raft.Membership.Index {
		d.peers.Learn(next.Raft.Membership.Addresses)
		d.log.WithFields(log.Fields{
			"voters": next.Raft.Membership.Voters, "learners": next.Raft.Membership.Learners,
		}).Info("membership_changed")
	}
	if old.Catalogue.Revision != next.Catalogue.Revision || old.Quarantine != next.Quarantine {
		d.hub.Changed()
	}
	if old.Routing.Version != next.Routing.Version || old.Raft.Membership.Index != next.Raft.Membership.Index ||
		!maps.EqualFunc(old.Weights, next.Weights, slices.Equal) {
		d.fleet.Changed()
	}
}

// applied follows newly accepted notes. It runs in the replica's loop.
func (d *Daemon) applied(c ledger.Command, r ledger.Result) {
	if c.Note == nil || r.Status != ledger.StatusAccepted || r.Repeated {
		return
	}
	d.inForce.Committed(c.Note.Number, time.Now())
	d.log.WithFields(log.Fields{"note": c.Note.Number, "digest": string(c.Note.Digest)}).Info("note_accepted")
}

// manage makes the membership change that is due. It runs in the loop.
func (d *Daemon) manage(n *raft.Node) {
	d.abandonLost(n)
	if role, _ := n.Role(); role != raft.Leader {
		return
	}
	change, ok := d.policy.next(n.Status(), d.peers.Present(time.Now()))
	if !ok {
		return
	}
	if _, err := n.ProposeConfChange(change); err != nil {
		d.log.WithError(err).Debug("membership_change_refused")
		return
	}
	d.log.WithFields(log.Fields{"change": change.Kind.String(), "replica": change.ID}).Info("membership_change_proposed")
}

// bootstrap forms a new cluster once all configured voters are present and
// empty. It ends when this replica has a log.
func (d *Daemon) bootstrap(ctx context.Context) {
	if d.settings.JoinOnly {
		return
	}
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for len(d.replica.View().Raft.Membership.Voters) == 0 {
		members, ok := firstMembership(d.hello(), d.settings.firstVoters(), d.peers.Present(time.Now()))
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
	defer d.folder.Close()
	loop, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoop()
	d.halt = stopLoop
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
	wg.Go(func() { d.peers.Run(loop, d.settings.firstVoters()) })
	wg.Go(func() { d.hub.Run(ctx.Done()) })
	wg.Go(func() { d.hub.RunPush(ctx.Done()) })
	wg.Go(func() { d.fleet.Run(ctx.Done()) })
	wg.Go(func() { d.bootstrap(ctx) })
	d.log.WithField("replica", d.replica.View().Raft.ID).Info("started")
	select {
	case <-ctx.Done():
	case <-loop.Done():
	case err = <-failures:
	}
	cancel()
	d.handOver(loop)
	stopLoop()
	network.ShutdownServers(servers, shutdownTimeout)
	wg.Wait()
	d.log.Info("stopped")
	return err
}

// listen opens the daemon's ports. Requests get the context of the replica's
// loop, and those of the session port are counted in wg.
func (d *Daemon) listen(loop context.Context, wg *sync.WaitGroup) ([]network.Server, error) {
	session := mux.NewRouter()
	session.Handle(wire.PathSession, tracked(wg, &transport.Server{
		Handler: d.receive, Authorize: d.processToken.Allows, OnClose: d.sessionClosed, Bytes: d.opts.Bytes,
	}))
	servers, err := network.OpenServers(d.opts.Network,
		network.ServerConfig{Address: d.settings.SessionListen, Handler: session},
		network.ServerConfig{Address: d.settings.OperatorListen, Handler: d.operatorHandler()},
		network.ServerConfig{Address: d.settings.RegistryListen, Handler: handlerOr404(d.opts.Registry, d)},
		network.ServerConfig{Address: d.settings.DirectoryListen, Handler: handlerOr404(d.opts.Directory, d)},
		network.ServerConfig{Address: d.settings.AdminListen, Handler: metrics.AdminHandler(d.registry, d.ready)},
		network.ServerConfig{Address: d.settings.MetricsListen, Handler: metrics.AdminHandler(d.registry, d.ready)},
	)
	for _, s := range servers {
		s.BaseContext = func(net.Listener) context.Context { return loop }
	}
	return servers, oops.In("control").Wrap(err)
}

// handlerOr404 builds a handler of the daemon, if there is one.
func handlerOr404(build func(*Daemon) http.Handler, d *Daemon) http.Handler {
	if build == nil {
		return http.NotFoundHandler()
	}
	return build(d)
}

// tracked counts requests in wg, since a server does not wait for sessions.
func tracked(wg *sync.WaitGroup, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wg.Add(1)
		defer wg.Done()
		next.ServeHTTP(w, r)
	})
}

// Kill makes Run return at once without handing over leadership, as the end of
// the process would.
func (d *Daemon) Kill() {
	if d.halt != nil {
		d.halt()
	}
}

// handOver gives leadership to another voter before a planned stop.
func (d *Daemon) handOver(loop context.Context) {
	d.replica.do(func() { d.replica.node.TransferLeadership() })
	deadline := time.Now().Add(transferTimeout)
	for loop.Err() == nil && time.Now().Before(deadline) && d.replica.View().Raft.Role == raft.Leader {
		time.Sleep(bootstrapInterval / 10)
	}
}

// ready returns why this replica does not serve, or nil.
func (d *Daemon) ready() error {
	v := d.replica.View()
	switch {
	case v.DiskError != nil:
		return v.DiskError
	case len(v.Raft.Membership.Voters) == 0:
		return fmt.Errorf("not a member yet: waiting for the voters %v", slices.Sorted(maps.Keys(d.settings.firstVoters())))
	case v.Raft.Leader == "":
		return errors.New("no leader")
	}
	return nil
}

func sortedModels(c release.Catalogue) []string { return slices.Sorted(maps.Keys(c.Models)) }
