package agent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	reconcileInterval = time.Second
	// orderRetry is the pause before a failed order for a set is repeated.
	orderRetry = 2 * time.Second
	fetchRetry = time.Second
)

// Phases of a rollout that follow the phases of the transfer.
const (
	phaseLoading = "loading"
	phaseLive    = "live"
	phaseFailed  = "failed"
)

// reconciler makes the engine serve the weights sets of the catalogue. It
// fetches and verifies missing sets, then orders the engine to load or unload
// sets.
type reconciler struct {
	agent         *Agent
	fencingTokens *engine.FencingTokens // used by run only
	triggered     chan struct{}
	// retryAt is the earliest time of the next order after a failure, by set;
	// used by run only.
	retryAt  map[string]time.Time
	lastKept []string // sets kept by the last prune; used by run only

	mu      sync.Mutex
	fetches map[string]*fetch // by set
	// loading is the set that is being loaded.
	loading  string
	failures map[string]string // error of the last failed order, by set
}

type fetch struct {
	cancel context.CancelFunc
	dir    string // once verified
	done   bool
}

func newReconciler(a *Agent, started time.Time) *reconciler {
	return &reconciler{
		agent: a, fencingTokens: engine.NewFencingTokens(started), triggered: make(chan struct{}, 1),
		retryAt: map[string]time.Time{}, fetches: map[string]*fetch{}, failures: map[string]string{},
	}
}

// trigger requests a reconciliation before the next interval.
func (r *reconciler) trigger() {
	select {
	case r.triggered <- struct{}{}:
	default:
	}
}

func (r *reconciler) run(ctx context.Context) {
	if !r.agent.isEngine() {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		r.reconcile(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.triggered:
		}
	}
}

// snapshot is the state that one reconciliation is based on.
type snapshot struct {
	hasCatalogue bool
	wanted       []release.WeightsSet
	loaded       []wire.LoadedSet
	ready        bool // the engine answers and the agent is not draining
}

func (r *reconciler) snapshot() snapshot {
	s := r.agent.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{
		hasCatalogue: s.hasCatalogue, wanted: s.catalogue.WeightsSetsForRole(s.role),
		loaded: slices.Clone(s.engine.Sets), ready: s.reachable && !s.gate.Draining(),
	}
}

func (r *reconciler) reconcile(ctx context.Context, wg *sync.WaitGroup) {
	state := r.snapshot()
	if !state.hasCatalogue {
		return
	}
	r.cancelUnwantedFetches(state.wanted)
	for _, set := range state.wanted {
		r.startFetch(ctx, wg, set)
	}
	if !state.ready {
		return
	}
	for _, loaded := range state.loaded {
		r.unloadIfWithdrawn(ctx, loaded, state.wanted)
	}
	for _, set := range state.wanted {
		if !containsSet(state.loaded, set.ID()) {
			r.load(ctx, set)
		}
	}
	r.prune(state)
}

func containsSet(loaded []wire.LoadedSet, id string) bool {
	return slices.ContainsFunc(loaded, func(l wire.LoadedSet) bool { return l.SetID == id })
}

func (r *reconciler) cancelUnwantedFetches(wanted []release.WeightsSet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, f := range r.fetches {
		if slices.ContainsFunc(wanted, func(s release.WeightsSet) bool { return s.ID() == id }) {
			continue
		}
		f.cancel()
		r.agent.cfg.Transfer.Cancel(id)
		delete(r.fetches, id)
		delete(r.failures, id)
		delete(r.retryAt, id)
	}
}

// startFetch starts to fetch and verify a set in the background. This includes
// sets that the engine has already loaded, because chunks are served to peers
// only after they are verified.
func (r *reconciler) startFetch(ctx context.Context, wg *sync.WaitGroup, set release.WeightsSet) {
	id := set.ID()
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.fetches[id]; ok {
		return
	}
	fctx, cancel := context.WithCancel(ctx)
	f := &fetch{cancel: cancel}
	r.fetches[id] = f
	wg.Go(func() {
		defer cancel()
		r.fetch(fctx, f, set)
	})
}

func (r *reconciler) fetch(ctx context.Context, f *fetch, set release.WeightsSet) {
	r.agent.awaitPeers(ctx)
	for ctx.Err() == nil {
		dir, err := r.agent.cfg.Transfer.Fetch(ctx, set)
		if err == nil {
			r.mu.Lock()
			f.dir, f.done = dir, true
			r.mu.Unlock()
			r.agent.log.WithField("set", set.ID()).Info("weights_verified")
			r.trigger()
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.agent.log.WithField("set", set.ID()).WithError(err).Warn("fetch_failed")
		select {
		case <-ctx.Done():
		case <-time.After(fetchRetry):
		}
	}
}

func (r *reconciler) verifiedDir(id string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.fetches[id]
	return f.dirOrEmpty(), ok && f.done
}

func (f *fetch) dirOrEmpty() string {
	if f == nil {
		return ""
	}
	return f.dir
}

// load orders the engine to load a verified set and checks that the engine then
// reports it.
func (r *reconciler) load(ctx context.Context, set release.WeightsSet) {
	id := set.ID()
	dir, verified := r.verifiedDir(id)
	if !verified || time.Now().Before(r.retryAt[id]) {
		return
	}
	r.setLoading(id)
	defer r.setLoading("")
	order := engine.Order{Action: engine.ActionLoad, Set: engine.OrderSet{
		SetID: id, Model: set.Model.Name, Version: set.Model.Version, Dir: dir,
	}}
	for _, adapter := range set.Adapters {
		order.Set.Adapters = append(order.Set.Adapters, engine.OrderAdapter{Name: adapter.Name, Version: adapter.Version})
	}
	sets, err := r.execute(ctx, order, func() bool { return r.wantsSet(id) })
	if errors.Is(err, engine.ErrInvalidFiles) {
		r.refetch(id) // verifies the files again before the next order
	}
	if err == nil && !containsSet(sets.Sets, id) {
		err = errNotApplied
	}
	r.recordResult(order, err)
}

// unloadIfWithdrawn unloads a set whose model is no longer in the catalogue,
// once no running attempt is pinned to it. The gate refuses new attempts for
// the set as soon as the model is withdrawn.
func (r *reconciler) unloadIfWithdrawn(ctx context.Context, loaded wire.LoadedSet, wanted []release.WeightsSet) {
	current := slices.ContainsFunc(wanted, func(s release.WeightsSet) bool { return s.Model.Name == loaded.Model })
	if current || time.Now().Before(r.retryAt[loaded.SetID]) || r.inUse(loaded.SetID) {
		return
	}
	order := engine.Order{Action: engine.ActionUnload, Set: engine.OrderSet{
		SetID: loaded.SetID, Model: loaded.Model, Version: loaded.Version,
	}}
	sets, err := r.execute(ctx, order, func() bool { return !r.wantsModel(loaded.Model) })
	if err == nil && containsSet(sets.Sets, loaded.SetID) {
		err = errNotApplied
	}
	r.recordResult(order, err)
}

func (r *reconciler) inUse(setID string) bool {
	s := r.agent.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.inFlight(setID) > 0
}

// Errors of execute.
var (
	errNoLease        = errors.New("confirmation lease is not held")
	errNoLongerWanted = errors.New("catalogue no longer requires this order")
	errLeaseEnded     = errors.New("confirmation lease expired during the order")
	errNotApplied     = errors.New("engine status does not reflect the order")
)

// execute sends an order and returns the engine's status afterwards. Because an
// engine may ignore fencing tokens, the lease and the catalogue are checked
// immediately before the order is written, and the order is aborted when the
// lease ends. Whatever the engine replies to the order, only the status read
// afterwards shows which sets it has loaded.
func (r *reconciler) execute(ctx context.Context, order engine.Order, wanted func() bool) (engine.Status, error) {
	a := r.agent
	if _, ok := a.checkLease(); !ok {
		return engine.Status{}, errNoLease
	}
	octx, cancel := context.WithTimeout(ctx, a.cfg.Settings.OrderTimeout.Std())
	defer cancel()
	before, err := a.engine.Status(octx)
	if err != nil {
		return engine.Status{}, err
	}
	a.state.mu.Lock()
	order.FencingToken = r.fencingTokens.Next(a.state.term, before.FencingToken)
	a.state.mu.Unlock()
	precheck := func() error { return r.precheck(wanted) }
	orderErr := r.executeUnderLease(octx, order, precheck)
	if errors.Is(orderErr, errNoLease) || errors.Is(orderErr, errNoLongerWanted) {
		return before, orderErr
	}
	rctx, cancelRead := context.WithTimeout(ctx, enginePollTimeout)
	defer cancelRead()
	after, err := a.engine.Status(rctx)
	if err != nil {
		return engine.Status{}, errors.Join(orderErr, err)
	}
	a.storeStatus(after, nil)
	return after, orderErr
}

func (r *reconciler) precheck(wanted func() bool) error {
	if _, ok := r.agent.checkLease(); !ok {
		return errNoLease
	}
	if !wanted() {
		return errNoLongerWanted
	}
	return nil
}

// executeUnderLease sends an order and closes its connection when the lease
// ends. Bytes that the engine has not received by then never reach it. If the
// engine continues a load nevertheless, its next status shows the result.
func (r *reconciler) executeUnderLease(ctx context.Context, order engine.Order, precheck func() error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var watch sync.WaitGroup
	defer watch.Wait()
	defer cancel(nil)
	watch.Go(func() { r.agent.cancelAtLeaseEnd(ctx, cancel) })
	err := r.agent.engine.Execute(ctx, order, precheck)
	if errors.Is(context.Cause(ctx), errLeaseEnded) {
		return errors.Join(errLeaseEnded, err)
	}
	return err
}

// cancelAtLeaseEnd calls cancel when the lease ends, unless ctx ends first.
func (a *Agent) cancelAtLeaseEnd(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		a.state.mu.Lock()
		left := time.Until(a.state.lease.ServeUntil())
		a.state.mu.Unlock()
		if left <= 0 {
			cancel(errLeaseEnded)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(left):
		}
	}
}

func (r *reconciler) recordResult(order engine.Order, err error) {
	a := r.agent
	id := order.Set.SetID
	fields := log.Fields{"action": order.Action, "set": id, "model": order.Set.Model, "version": order.Set.Version}
	if errors.Is(err, errNoLease) || errors.Is(err, errNoLongerWanted) {
		return // nothing was sent; run is triggered when the lease or the catalogue changes
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.retryAt[id] = time.Now().Add(orderRetry)
		r.failures[id] = err.Error()
		a.metrics.orders.WithLabelValues(order.Action, "failed").Inc()
		a.log.WithFields(fields).WithError(err).Warn("order_failed")
		return
	}
	delete(r.retryAt, id)
	delete(r.failures, id)
	a.metrics.orders.WithLabelValues(order.Action, "done").Inc()
	a.log.WithFields(fields).Info("order_done")
}

func (r *reconciler) wantsSet(id string) bool {
	return slices.ContainsFunc(r.snapshot().wanted, func(s release.WeightsSet) bool { return s.ID() == id })
}

func (r *reconciler) wantsModel(model string) bool {
	return slices.ContainsFunc(r.snapshot().wanted, func(s release.WeightsSet) bool { return s.Model.Name == model })
}

func (r *reconciler) refetch(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.fetches, id)
}

func (r *reconciler) setLoading(id string) {
	r.mu.Lock()
	r.loading = id
	r.mu.Unlock()
	r.agent.state.notify()
}

// prune removes the files of sets that are neither wanted nor loaded.
func (r *reconciler) prune(v snapshot) {
	keep := []string{}
	for _, set := range v.wanted {
		keep = append(keep, set.ID())
	}
	for _, loaded := range v.loaded {
		keep = append(keep, loaded.SetID)
	}
	if r.lastKept != nil && slices.Equal(keep, r.lastKept) {
		return
	}
	if err := r.agent.cfg.Transfer.Prune(keep); err != nil {
		r.agent.log.WithError(err).Warn("prune_failed")
		return
	}
	r.lastKept = keep
}

// transferring reports whether a set is being fetched.
func (r *reconciler) transferring() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.fetches {
		if !f.done {
			return true
		}
	}
	return false
}

// progress returns the progress of transfers, and of the load that follows each.
func (r *reconciler) progress() []wire.RolloutProgress {
	list := r.agent.cfg.Transfer.Progress()
	loaded := r.snapshot().loaded
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range list {
		p := &list[i]
		switch {
		case containsSet(loaded, p.SetID):
			p.Phase = phaseLive
		case r.loading == p.SetID:
			p.Phase = phaseLoading
		case r.failures[p.SetID] != "":
			p.Phase, p.Detail = phaseFailed, r.failures[p.SetID]
		}
	}
	return list
}
