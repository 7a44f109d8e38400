package control

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/raft"
	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/storage"
)

const (
	inboxCapacity = 8192
	// defaultMaxBatch limits the number of work items that share one sync.
	defaultMaxBatch = 1024
	// trailingEntries is the number of log entries kept before a snapshot, so
	// that followers that are slightly behind catch up without the snapshot.
	trailingEntries = 512
	// trailingLargeEntries replaces trailingEntries after a snapshot that was
	// triggered by the size of the log, since its entries are large.
	trailingLargeEntries = 32
	defaultSnapshotBytes = 16 << 20
	diskRetryInterval    = 500 * time.Millisecond
)

// The first byte of a log entry is its kind, so that notes are found among
// uncommitted entries without decoding them.
const (
	payloadNote    = 'N'
	payloadCommand = 'C'
)

// ProposeResult is the result of a proposal.
type ProposeResult struct {
	Status string // wire.ProposeCommitted, ProposeNotRun or ProposeUnknown
	Result ledger.Result
	Detail string
}

func notRun(detail string) ProposeResult {
	return ProposeResult{Status: wire.ProposeNotRun, Detail: detail}
}

func unknown(detail string) ProposeResult {
	return ProposeResult{Status: wire.ProposeUnknown, Detail: detail}
}

// View is a snapshot of the replica's state, published after each iteration of
// the loop. It is immutable.
type View struct {
	Raft              raft.Status
	Catalogue         release.Catalogue
	Digest            release.Digest
	Delta             *release.Delta // from the previous revision; nil if not available
	Suspects          []wire.QuarantinedRequest
	QuarantineVersion uint64
	// Unresolved is true while this replica holds a note or membership that is
	// not known to be committed, or cannot write to its disk.
	Unresolved  bool
	LedgerSizes ledger.Sizes
	DiskError   error
	Routing     ledger.SetRouting
	Weights     map[string][]ledger.WeightsVersion // by model, oldest first
	Evacuations ledger.Evacuations
}

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	TickInterval    time.Duration
	SnapshotEntries uint64
	// SnapshotBytes of applied commands trigger a snapshot before SnapshotEvery
	// entries are reached, because recorded answers can be large. A lower value
	// bounds memory use and costs more disk writes. Default 16 MiB.
	SnapshotBytes int
	// MaxBatch limits the number of work items that share one sync. A higher
	// value raises throughput and the latency of the first item. Default 1024.
	MaxBatch int
	Send     func(raft.Message)
	// OnPublish is called in the loop after a new view is published.
	OnPublish func(old, next *View)
	// OnApply is called in the loop for each applied command, with its result.
	OnApply func(ledger.Command, ledger.Result)
	// ManageMembership is called once a second in the loop.
	ManageMembership func(n *raft.Node)
	Log              log.Interface
}

// Replica runs a Raft node with its ledger and data directory.
type Replica struct {
	cfg     ReplicaConfig
	node    *raft.Node
	dataDir *storage.DataDir
	ledger  *ledger.Ledger
	inbox   chan work
	view    atomic.Pointer[View]

	waiters            map[uint64]waiter
	pendingReads       map[uint64]func(bool)
	confirmedReads     []confirmedRead
	lastReadID         uint64
	applied            uint64
	lastSnapshot       uint64
	bytesSinceSnapshot int // bytes of commands applied since the last snapshot
	snapshotting       bool
	snapshotWriters    sync.WaitGroup
	savedHardState     raft.HardState // as last stored
	diskErr            error
	stopped            chan struct{}
}

// work is one item in the inbox: a message for the node, or a function to run
// in the loop.
type work struct {
	message *raft.Message
	op      func()
}

type waiter struct {
	term   uint64
	result chan<- ProposeResult
}

type confirmedRead struct {
	index uint64
	done  func(bool)
}

// NewReplica creates a replica from the state of an opened data directory.
func NewReplica(cfg ReplicaConfig, raftCfg raft.Config, dataDir *storage.DataDir, state storage.State) (*Replica, error) {
	l, err := ledger.Restore(state.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	cfg.SnapshotBytes = cmp.Or(cfg.SnapshotBytes, defaultSnapshotBytes)
	cfg.MaxBatch = cmp.Or(cfg.MaxBatch, defaultMaxBatch)
	raftCfg.ID = state.Identity.ID()
	node, err := raft.NewNode(raftCfg, state.HardState, state.Snapshot, state.Entries)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, node: node, dataDir: dataDir, ledger: l,
		inbox: make(chan work, inboxCapacity), waiters: map[uint64]waiter{}, pendingReads: map[uint64]func(bool){},
		applied: state.Snapshot.Index, lastSnapshot: state.Snapshot.Index, savedHardState: state.HardState, stopped: make(chan struct{}),
	}
	r.publish()
	return r, nil
}

// View returns the newest published view.
func (r *Replica) View() *View { return r.view.Load() }

// Run runs the event loop until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	defer r.snapshotWriters.Wait()
	defer close(r.stopped)
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	manage := time.NewTicker(time.Second)
	defer manage.Stop()
	r.processReady(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.node.Tick()
		case <-manage.C:
			if r.cfg.ManageMembership != nil {
				r.cfg.ManageMembership(r.node)
			}
		case w := <-r.inbox:
			r.handleWork(w)
			r.drainInbox()
		}
		r.processReady(ctx)
	}
}

// drainInbox handles the other waiting work, so that one sync covers it.
func (r *Replica) drainInbox() {
	for range r.cfg.MaxBatch - 1 {
		select {
		case w := <-r.inbox:
			r.handleWork(w)
		default:
			return
		}
	}
}

func (r *Replica) handleWork(w work) {
	if w.message != nil {
		r.node.Step(*w.message)
		return
	}
	w.op()
}

// enqueueOp queues op to run in the loop. It returns false when the inbox is
// full.
func (r *Replica) enqueueOp(op func()) bool { return r.enqueue(work{op: op}) }

func (r *Replica) enqueue(w work) bool {
	select {
	case r.inbox <- w:
		return true
	default:
		return false
	}
}

// Step passes a message to the node. Messages that do not fit the inbox are
// dropped, which Raft tolerates like loss on the network.
func (r *Replica) Step(m raft.Message) {
	r.enqueue(work{message: &m})
}

// Bootstrap starts a new cluster from a snapshot if this replica has no log
// yet.
func (r *Replica) Bootstrap(s raft.Snapshot, hard raft.HardState) {
	r.enqueueOp(func() {
		if err := r.node.Bootstrap(s, hard.Term); err != nil {
			r.cfg.Log.WithError(err).Info("bootstrap_refused")
		}
	})
}

// Propose submits a command and waits for its result. The status
// wire.ProposeNotRun is returned only when the command is not committed and
// never will be.
func (r *Replica) Propose(ctx context.Context, c ledger.Command) ProposeResult {
	select {
	case a := <-r.ProposeAsync(c):
		return a
	case <-ctx.Done():
		return unknown("no quorum answered in time")
	case <-r.stopped:
		return unknown("replica stopped")
	}
}

// ProposeAsync submits a command without waiting for the result. Commands that
// one goroutine submits enter the log in that order.
func (r *Replica) ProposeAsync(c ledger.Command) <-chan ProposeResult {
	result := make(chan ProposeResult, 1)
	if !r.enqueueOp(func() { r.propose(c, result) }) {
		result <- notRun("too much work waiting")
	}
	return result
}

func (r *Replica) propose(c ledger.Command, result chan<- ProposeResult) {
	if r.diskErr != nil {
		result <- notRun(r.diskErr.Error())
		return
	}
	c.AtMs = time.Now().UnixMilli()
	data, err := ledger.Encode(c)
	if err != nil {
		result <- notRun(err.Error())
		return
	}
	kind := byte(payloadCommand)
	if c.Note != nil {
		kind = payloadNote
	}
	index, term, err := r.node.Propose(append([]byte{kind}, data...))
	if err != nil {
		result <- notRun(err.Error())
		return
	}
	r.waiters[index] = waiter{term: term, result: result}
	if kind == payloadNote {
		r.cfg.Log.WithField("index", index).Debug("note_proposed")
	}
}

// isNote reports whether an entry carries a release note.
func isNote(e raft.Entry) bool {
	return e.Kind == raft.EntryCommand && len(e.Data) > 0 && e.Data[0] == payloadNote
}

// LinearizableRead runs f in the loop on a state that includes everything
// accepted before the call. It returns false when this replica cannot confirm
// that.
func (r *Replica) LinearizableRead(ctx context.Context, f func(*ledger.Ledger)) bool {
	done := make(chan bool, 1)
	queued := r.enqueueOp(func() {
		r.lastReadID++
		readID := r.lastReadID
		if r.diskErr != nil || r.node.ReadIndex(readID) != nil {
			done <- false
			return
		}
		r.pendingReads[readID] = func(ok bool) {
			if ok {
				f(r.ledger)
			}
			done <- ok
		}
	})
	if !queued {
		return false
	}
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	case <-r.stopped:
		return false
	}
}

// processReady handles everything that the node has ready: it sends, stores and
// applies until nothing is left.
func (r *Replica) processReady(ctx context.Context) {
	processed := false
	for r.node.HasReady() {
		processed = true
		ready := r.node.Ready()
		r.sendAll(ready.MessagesBeforeSync)
		if !r.persist(ctx, ready) {
			return
		}
		r.node.Advance()
		if ready.Snapshot != nil {
			r.restoreSnapshot(*ready.Snapshot)
		}
		for _, e := range ready.CommittedEntries {
			r.apply(e)
		}
		r.publish()
		r.sendAll(ready.MessagesAfterSync)
		r.completeReads(ready.ReadStates)
	}
	r.failPendingReads()
	if processed {
		r.snapshotIfDue()
		return
	}
	role, leader := r.node.Role()
	if seen := r.View().Raft; seen.Role != role || seen.Leader != leader {
		r.publish()
	}
}

func (r *Replica) sendAll(messages []raft.Message) {
	for _, m := range messages {
		r.cfg.Send(m)
	}
}

// persist writes snapshot, entries and hard state to stable storage. It retries until that
// succeeds or ctx ends. While the disk fails, the replica handles no Raft messages, so it
// acknowledges nothing and another replica becomes leader.
func (r *Replica) persist(ctx context.Context, ready raft.Ready) bool {
	for {
		err := r.saveReady(ready)
		if err == nil {
			if r.diskErr != nil {
				r.cfg.Log.Info("disk_recovered")
				r.diskErr = nil
			}
			return true
		}
		if r.diskErr == nil {
			r.cfg.Log.WithError(err).Error("disk_failed")
		}
		r.diskErr = err
		r.publish()
		if !r.waitForDiskRetry(ctx) {
			return false
		}
	}
}

func (r *Replica) saveReady(ready raft.Ready) error {
	if s := ready.Snapshot; s != nil {
		if err := r.dataDir.SaveSnapshot(*s, ready.HardState, true, s.Index); err != nil {
			return err
		}
		r.lastSnapshot, r.savedHardState = s.Index, ready.HardState
	}
	if !ready.MustSync {
		return nil // the commit index alone is stored with the next record
	}
	if err := r.dataDir.Save(ready.HardState, ready.Entries); err != nil {
		return err
	}
	r.savedHardState = ready.HardState
	if i := slices.IndexFunc(ready.Entries, isNote); i >= 0 {
		r.cfg.Log.WithField("index", ready.Entries[i].Index).Debug("note_synced")
	}
	return nil
}

// waitForDiskRetry runs queued operations, which are refused while the disk
// fails, and drops messages until the next retry. It returns false when ctx
// ends.
func (r *Replica) waitForDiskRetry(ctx context.Context) bool {
	timer := time.NewTimer(diskRetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case w := <-r.inbox:
			if w.op != nil {
				w.op() // proposals and reads are refused because diskErr is set
			}
		}
	}
}

func (r *Replica) restoreSnapshot(s raft.Snapshot) {
	l, err := ledger.Restore(s.Data)
	if err != nil {
		panic(fmt.Sprintf("decode snapshot of the leader at index %d: %v", s.Index, err))
	}
	r.ledger, r.applied = l, s.Index
	for index, w := range r.waiters {
		if index <= s.Index {
			w.result <- unknown("replaced by a snapshot")
			delete(r.waiters, index)
		}
	}
}

func (r *Replica) apply(e raft.Entry) {
	if isNote(e) {
		r.cfg.Log.WithField("index", e.Index).Debug("note_committed")
	}
	r.applied = e.Index
	r.bytesSinceSnapshot += len(e.Data)
	var result ledger.Result
	if e.Kind == raft.EntryCommand && len(e.Data) > 0 {
		c, err := ledger.Decode(e.Data[1:])
		if err == nil {
			result = r.ledger.Apply(c)
			if r.cfg.OnApply != nil {
				r.cfg.OnApply(c, result)
			}
		} else {
			result = ledger.Result{Status: ledger.StatusRefused, Reason: err.Error()}
		}
	}
	w, ok := r.waiters[e.Index]
	if !ok {
		return
	}
	delete(r.waiters, e.Index)
	if w.term != e.Term {
		w.result <- notRun("another leader's entry took its place")
		return
	}
	w.result <- ProposeResult{Status: wire.ProposeCommitted, Result: result}
}

func (r *Replica) completeReads(states []raft.ReadState) {
	for _, s := range states {
		if done, ok := r.pendingReads[s.Context]; ok {
			delete(r.pendingReads, s.Context)
			r.confirmedReads = append(r.confirmedReads, confirmedRead{index: s.Index, done: done})
		}
	}
	waiting := r.confirmedReads[:0]
	for _, p := range r.confirmedReads {
		if p.index > r.applied {
			waiting = append(waiting, p)
			continue
		}
		p.done(true)
	}
	r.confirmedReads = waiting
}

// failPendingReads fails the reads that this replica can no longer confirm
// because it is not the leader.
func (r *Replica) failPendingReads() {
	if role, _ := r.node.Role(); len(r.pendingReads) == 0 || role == raft.Leader {
		return
	}
	for readID, done := range r.pendingReads {
		done(false)
		delete(r.pendingReads, readID)
	}
}

// snapshotIfDue starts a snapshot when enough entries or bytes were applied.
// The state is encoded in the loop and written to disk in another goroutine.
func (r *Replica) snapshotIfDue() {
	keep := uint64(trailingEntries)
	switch {
	case r.snapshotting:
		return
	case r.bytesSinceSnapshot >= r.cfg.SnapshotBytes:
		keep = trailingLargeEntries
	case r.applied < r.lastSnapshot+r.cfg.SnapshotEntries:
		return
	}
	data, err := r.ledger.Snapshot()
	if err != nil {
		r.cfg.Log.WithError(err).Error("snapshot_failed")
		return
	}
	s, err := r.node.MakeSnapshot(r.applied, data)
	if err != nil {
		return // a membership was committed meanwhile; the next iteration retries
	}
	r.snapshotting, r.bytesSinceSnapshot = true, 0
	r.snapshotWriters.Go(func() {
		err := r.dataDir.WriteSnapshot(s)
		select {
		case r.inbox <- work{op: func() { r.finishSnapshot(s, keep, err) }}:
		case <-r.stopped:
		}
	})
}

// finishSnapshot activates a snapshot that was written and truncates the log,
// unless a snapshot of the leader has replaced it in the meantime.
func (r *Replica) finishSnapshot(s raft.Snapshot, keep uint64, err error) {
	r.snapshotting = false
	if err == nil && s.Index > r.lastSnapshot && r.diskErr == nil {
		r.node.Compact(s, keep)
		hard := raft.HardState{Term: r.savedHardState.Term, Vote: r.savedHardState.Vote, Commit: s.Index}
		err = r.dataDir.ActivateSnapshot(s.Index, hard, false, s.Index-min(s.Index, keep))
	}
	if err != nil {
		r.cfg.Log.WithError(err).Error("snapshot_not_stored")
	}
	r.lastSnapshot = max(r.lastSnapshot, s.Index) // also after a failure: the next snapshot is the retry
}

func (r *Replica) publish() {
	old := r.view.Load()
	status := r.node.Status()
	view := &View{
		Raft: status, Catalogue: r.ledger.Catalogue(), Delta: r.ledger.LastDelta(),
		QuarantineVersion: r.ledger.QuarantineVersion(), LedgerSizes: r.ledger.Sizes(), DiskError: r.diskErr,
		Unresolved: r.unresolved(status), Routing: r.ledger.Routing(), Weights: r.ledger.Weights(), Evacuations: r.ledger.Evacuations(),
	}
	if old != nil && old.Catalogue.Revision == view.Catalogue.Revision {
		view.Digest = old.Digest
	} else {
		view.Digest = view.Catalogue.Digest()
	}
	if old != nil && old.QuarantineVersion == view.QuarantineVersion {
		view.Suspects = old.Suspects
	} else {
		view.Suspects = r.ledger.Suspects(r.ledger.NowMs())
	}
	r.view.Store(view)
	if r.cfg.OnPublish != nil && old != nil {
		r.cfg.OnPublish(old, view)
	}
}

// unresolved reports whether a confirmation by this replica could hide a newer
// note: it holds a note that is not applied, or a membership that is not
// committed.
func (r *Replica) unresolved(status raft.Status) bool {
	if r.diskErr != nil || status.MembershipPending || len(status.Membership.Voters) == 0 {
		return true
	}
	found := false
	r.node.ScanEntriesAfter(r.applied, func(e raft.Entry) bool {
		found = isNote(e)
		return !found
	})
	return found
}
