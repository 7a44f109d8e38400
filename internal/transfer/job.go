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
	scheduleInterval = 100 * time.Millisecond
	peerRetryPause   = 500 * time.Millisecond
	haveTimeout      = 2 * time.Second
)

// job fetches the chunks of one manifest. Its loop owns the scheduler.
type job struct {
	t         *Transfer
	v         *version
	progress  *progress
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

// peerReport is a peer's state, or its loss when bitmap is nil.
type peerReport struct {
	peer   string
	bitmap []byte
	lost   bool
}

func newJob(t *Transfer, v *version, p *progress) *job {
	return &job{
		t: t, v: v, progress: p,
		results: make(chan fetchResult), reports: make(chan peerReport),
		watchers: map[string]context.CancelFunc{},
	}
}

// run returns when every chunk is held or ctx ends.
func (j *job) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer j.tasks.Wait()
	defer cancel()
	nodes, changed := j.t.nodes()
	started := j.t.now()
	j.scheduler = swarm.New(started, j.t.cfg.Swarm, j.v.keys(), j.t.penalties)
	for i := range j.v.chunks {
		if j.v.holds(i) {
			j.scheduler.Hold(started, i)
		}
	}
	j.setNodes(ctx, started, nodes)
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for !j.scheduler.Complete() {
		j.startFetches(ctx)
		select {
		case r := <-j.results:
			j.finished(r)
		case r := <-j.reports:
			j.report(r)
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
			err := j.t.client.fetch(ctx, j.v, f, j.t.address(f.Source.Peer))
			select {
			case j.results <- fetchResult{f, err}:
			case <-ctx.Done():
			}
		})
	}
}

func (j *job) finished(r fetchResult) {
	j.t.penaltiesMu.Lock()
	defer j.t.penaltiesMu.Unlock()
	now := j.t.now()
	if r.err == nil {
		j.scheduler.Done(now, r.fetch)
		j.progress.add(r.fetch.Source.Kind, int64(j.v.chunks[r.fetch.Chunk].size), j.scheduler.Held())
		return
	}
	var failure *fetchError
	if !errors.As(r.err, &failure) {
		failure = &fetchError{fault: swarm.FaultUnavailable, cause: r.err}
	}
	j.scheduler.Failed(now, r.fetch, failure.fault, failure.retryAfter)
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
		j.tasks.Go(func() { j.watch(wctx, n.ID) })
	}
	for id, cancel := range j.watchers {
		if !current[id] {
			cancel()
			delete(j.watchers, id)
		}
	}
}

func (j *job) report(r peerReport) {
	now := j.t.now()
	if r.lost {
		j.scheduler.PeerLost(now, r.peer)
		return
	}
	var chunks []int
	for i := range j.v.chunks {
		if i/8 < len(r.bitmap) && r.bitmap[i/8]>>(i%8)&1 == 1 && !j.scheduler.Holds(i) {
			chunks = append(chunks, i)
		}
	}
	j.scheduler.PeerHas(now, r.peer, chunks...)
}

// watch asks a peer for its held chunks until ctx ends.
func (j *job) watch(ctx context.Context, peer string) {
	for ctx.Err() == nil {
		j.watchSession(ctx, peer)
		j.send(ctx, peerReport{peer: peer, lost: true})
		pause(ctx, peerRetryPause)
	}
}

func (j *job) watchSession(ctx context.Context, peer string) {
	dialer := transport.Dialer{
		Address: j.t.address(peer), Token: j.t.cfg.Token.Secret(),
		Handler: ignoreMessage, Network: j.t.cfg.Network,
	}
	session, err := dialer.Connect(ctx)
	if err != nil {
		return
	}
	defer func() {
		session.Close()
		<-session.Done()
	}()
	request := wire.HaveRequest{Manifest: j.v.digest, Endpoint: j.t.cfg.Endpoint}
	for ctx.Err() == nil {
		rctx, cancel := context.WithTimeout(ctx, haveTimeout)
		var have wire.Have
		err := session.Request(rctx, request, &have)
		cancel()
		if err != nil {
			return
		}
		j.send(ctx, peerReport{peer: peer, bitmap: have.Bitmap})
		pause(ctx, j.t.cfg.HaveInterval)
	}
}

func ignoreMessage(context.Context, *transport.Session, wire.Envelope) {}

func (j *job) send(ctx context.Context, r peerReport) {
	select {
	case j.reports <- r:
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
