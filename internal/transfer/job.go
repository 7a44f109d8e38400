package transfer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

const (
	scheduleInterval  = 100 * time.Millisecond
	peerRetryInterval = 500 * time.Millisecond
	haveTimeout       = 2 * time.Second
)

// job fetches the chunks of one manifest. Only the goroutine of run uses the
// scheduler; fetches and peer watchers send it their results over channels.
type job struct {
	t         *Transfer
	v         *version
	progress  *manifestProgress
	scheduler *swarm.Scheduler

	results  chan fetchResult
	reports  chan peerReport
	watchers map[string]context.CancelFunc
	tasks    sync.WaitGroup
}

type fetchResult struct {
	fetch swarm.Fetch
	err   error
}

// peerReport is a change of the set of chunks that a peer holds.
type peerReport struct {
	peer string
	// reset discards all earlier reports of the peer.
	reset  bool
	bitmap []byte
	added  []uint32
}

func newJob(t *Transfer, v *version, p *manifestProgress) *job {
	return &job{
		t: t, v: v, progress: p,
		results: make(chan fetchResult), reports: make(chan peerReport),
		watchers: map[string]context.CancelFunc{},
	}
}

// run fetches chunks until all are held or ctx ends.
func (j *job) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer j.tasks.Wait()
	defer cancel()
	nodes, changed := j.t.nodes()
	started := j.t.now()
	j.scheduler = swarm.New(started, j.t.cfg.Swarm, j.v.chunkKeys(), j.t.penalties)
	for i := range j.v.chunks {
		if j.v.holds(i) {
			j.scheduler.MarkHeld(started, i)
		}
	}
	j.progress.setChunksHave(j.scheduler.HeldCount())
	j.setNodes(ctx, started, nodes)
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for !j.scheduler.Complete() {
		j.startFetches(ctx)
		select {
		case r := <-j.results:
			j.handleResult(r)
		case r := <-j.reports:
			j.applyReport(r)
		case <-changed:
			nodes, changed = j.t.nodes()
			j.setNodes(ctx, j.t.now(), nodes)
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(ErrCancelled, context.Cause(ctx))
		}
	}
	return nil
}

func (j *job) startFetches(ctx context.Context) {
	j.t.penaltiesMu.Lock()
	fetches := j.scheduler.Next(j.t.now())
	j.t.penaltiesMu.Unlock()
	for _, f := range fetches {
		j.tasks.Go(func() {
			err := j.fetch(ctx, f)
			select {
			case j.results <- fetchResult{f, err}:
			case <-ctx.Done():
			}
		})
	}
}

// fetch fetches one chunk once one of the slots shared by all jobs is free.
func (j *job) fetch(ctx context.Context, f swarm.Fetch) error {
	select {
	case j.t.fetchSlots <- struct{}{}:
		defer func() { <-j.t.fetchSlots }()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return j.t.client.fetch(ctx, j.v, f, j.t.address(f.Source.Peer))
}

func (j *job) handleResult(r fetchResult) {
	j.t.penaltiesMu.Lock()
	defer j.t.penaltiesMu.Unlock()
	now := j.t.now()
	if r.err == nil {
		j.scheduler.Done(now, r.fetch)
		j.progress.addBytes(r.fetch.Source.Kind, int64(j.v.chunks[r.fetch.Chunk].size))
		j.progress.setChunksHave(j.scheduler.HeldCount())
		return
	}
	var failure *fetchError
	if !errors.As(r.err, &failure) {
		failure = &fetchError{fault: swarm.FaultUnavailable, cause: r.err}
	}
	j.scheduler.Failed(now, r.fetch, failure.fault, failure.retryAfter)
	if failure.fault == swarm.FaultCorrupt && r.fetch.Source.Kind == swarm.KindPeer {
		j.t.savePenalties()
	}
	j.t.cfg.Log.WithField("chunk", r.fetch.Chunk).WithField("peer", r.fetch.Source.Peer).
		WithField("kind", int(r.fetch.Source.Kind)).WithError(r.err).Warn("chunk_fetch_failed")
}

func (j *job) setNodes(ctx context.Context, now time.Duration, nodes []swarm.Node) {
	j.scheduler.SetNodes(now, nodes)
	current := map[string]bool{}
	for _, n := range j.scheduler.Peers() {
		current[n.ID] = true
		if j.watchers[n.ID] != nil {
			continue
		}
		wctx, cancel := context.WithCancel(ctx)
		j.watchers[n.ID] = cancel
		j.tasks.Go(func() { j.watchPeer(wctx, n.ID) })
	}
	for id, cancel := range j.watchers {
		if !current[id] {
			cancel()
			delete(j.watchers, id)
		}
	}
}

func (j *job) applyReport(r peerReport) {
	now := j.t.now()
	if r.reset {
		j.scheduler.PeerLost(now, r.peer)
	}
	var chunks []int
	for i := range min(len(j.v.chunks), 8*len(r.bitmap)) {
		if r.bitmap[i/8]>>(i%8)&1 == 1 {
			chunks = append(chunks, i)
		}
	}
	for _, i := range r.added {
		chunks = append(chunks, int(i))
	}
	if r.bitmap != nil || r.added != nil {
		j.scheduler.PeerHas(now, r.peer, chunks...)
	}
}

// watchPeer keeps a session to a peer open until ctx ends and forwards its reports
// of held chunks. A lost session resets the reports of the peer.
func (j *job) watchPeer(ctx context.Context, peer string) {
	for ctx.Err() == nil {
		j.watchSession(ctx, peer)
		j.sendReport(ctx, peerReport{peer: peer, reset: true})
		sleep(ctx, peerRetryInterval)
	}
}

// subscriptionID identifies the subscription of a session, which has only one.
const subscriptionID = 1

func (j *job) watchSession(ctx context.Context, peer string) {
	dialer := transport.Dialer{
		Address: j.t.address(peer), Token: j.t.cfg.Token.Secret(), Network: j.t.cfg.Network, Bytes: &j.t.messageBytes,
		Handler: func(ctx context.Context, _ *transport.Session, env wire.Envelope) {
			var change wire.Have
			if env.Type == wire.TypeHave && env.Into(&change) == nil {
				j.sendReport(ctx, peerReport{peer: peer, reset: change.Added == nil, bitmap: change.Bitmap, added: change.Added})
			}
		},
	}
	session, err := dialer.Connect(ctx)
	if err != nil {
		return
	}
	defer func() {
		session.Close()
		<-session.Done()
	}()
	rctx, cancel := context.WithTimeout(ctx, haveTimeout)
	defer cancel()
	var have wire.Have
	request := wire.HaveRequest{Manifest: j.v.digest, Endpoint: j.t.cfg.Endpoint, Subscription: subscriptionID}
	if session.Request(rctx, request, &have) != nil {
		return
	}
	if have.Bitmap == nil {
		have.Bitmap = []byte{} // the peer does not know the manifest yet
	}
	j.sendReport(ctx, peerReport{peer: peer, bitmap: have.Bitmap})
	select {
	case <-session.Done():
	case <-ctx.Done():
	}
}

func (j *job) sendReport(ctx context.Context, r peerReport) {
	select {
	case j.reports <- r:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
