package stager

import (
	"cmp"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
)

const (
	// parallelPieces are asked for at the same time. Most questions wait at peers
	// that are about to have the piece.
	parallelPieces = 32
	// parallelDownloads of all versions together keep the link busy. More would keep
	// requests to the engine, which shares the link, waiting behind pieces.
	parallelDownloads = 5
	// replanInterval is how long a plan is used: others come, go and get whole.
	replanInterval = 500 * time.Millisecond
	// avoidFor is how long a peer that did not answer is not asked again.
	avoidFor = 2 * time.Second
	// peerTimeout bounds one question to a peer: its wait, the turn for a download,
	// and the transfer of a piece over a link that several share.
	peerTimeout = 4000 * time.Millisecond
	// originTimeout bounds a piece from the origin, whose link of 9.9 Mbit/s all
	// share.
	originTimeout = 3 * time.Second
	listTimeout   = 800 * time.Millisecond
	retryPause    = 100 * time.Millisecond
	maxPieceBytes = 8 << 20
	// maxMismatches of pieces from the origin make its list suspect: it may be
	// the list that is wrong.
	maxMismatches = 6
	digestText    = 64 // hexadecimal digits of a digest
)

var (
	errList     = errors.New("list of pieces is malformed")
	errSuspect  = errors.New("pieces do not match the list")
	errNoSource = errors.New("no origin is known")
	errYielded  = errors.New("a newer version arrives")
)

// job is the transfer of one version.
type job struct {
	daemon *Daemon
	target target
	copy   *copyOf
	start  time.Time

	mu         sync.Mutex
	current    plan
	planned    time.Time
	avoid      map[string]time.Time // peers that did not answer
	mismatches int
	fromOrigin int
	fromPeers  int
	bad        map[string]bool // peers that sent wrong bytes
}

// fetch returns a whole copy of the version.
func (d *Daemon) fetch(ctx context.Context, t target) (*copyOf, error) {
	c := d.store.get(t.version)
	if c != nil && c.whole() {
		return c, nil
	}
	started := time.Now()
	if c == nil {
		list, err := d.list(ctx, t)
		if err != nil {
			return nil, err
		}
		d.progressed(t.version)
		c = newCopy(list)
		if err := d.adopt(ctx, t, c); err != nil {
			return nil, err
		}
		d.store.add(c)
	}
	j := &job{daemon: d, target: t, copy: c, start: started, bad: map[string]bool{}, avoid: map[string]time.Time{}}
	err := j.run(ctx)
	d.log.WithFields(log.Fields{
		"version": t.version, "pieces": len(c.pieces), "from_peers": j.fromPeers, "from_origin": j.fromOrigin,
		"mismatches": j.mismatches, "ms": time.Since(started).Milliseconds(), "whole": c.whole(),
	}).Info("pieces_fetched")
	if errors.Is(err, errSuspect) {
		d.store.drop(t.version)
	}
	return c, err
}

// list gets the list of a version's pieces from another stager, or the origin.
func (d *Daemon) list(ctx context.Context, t target) (protocol.PieceList, error) {
	p := newPlan(d.fleet.Self(), d.fleet.Processes(), t.version)
	for _, holder := range p.listSources() {
		lctx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := d.peerList(lctx, holder.PeerAddress, t.version)
		cancel()
		if err == nil && checkList(list, t) == nil {
			return list, nil
		}
		d.log.WithField("peer", holder.Name).WithError(err).Info("peer_list_failed")
	}
	if t.origin == "" {
		return protocol.PieceList{}, errNoSource
	}
	lctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	list, err := d.opts.Engine.Pieces(lctx, t.origin, t.model, t.version)
	if err != nil {
		return list, err
	}
	return list, checkList(list, t)
}

func checkList(list protocol.PieceList, t target) error {
	if list.Model != t.model || list.Version != t.version || len(list.Digests) != t.pieces {
		return fmt.Errorf("%w: model %q version %d with %d pieces", errList, list.Model, list.Version, len(list.Digests))
	}
	for _, digest := range list.Digests {
		if _, err := hex.DecodeString(digest); err != nil || len(digest) != digestText {
			return fmt.Errorf("%w: digest %q", errList, digest)
		}
	}
	return nil
}

// engineStart is how much later than this process the engine may start. Without a
// holder of the version it is waited for, since the pieces may lie beside it.
const engineStart = 2 * time.Second

// adopt takes over the pieces that already lie beside the engine.
func (d *Daemon) adopt(ctx context.Context, t target, c *copyOf) error {
	if _, err := d.report(ctx); err != nil {
		p := newPlan(d.fleet.Self(), d.fleet.Processes(), t.version)
		if len(p.holders) == 0 && time.Since(d.started) < engineStart {
			return err
		}
		return nil // the pieces come from elsewhere
	}
	for i := range c.pieces {
		data, err := d.opts.Engine.Staged(ctx, d.settings.Engine, t.model, i, maxPieceBytes)
		if err != nil {
			return nil // nothing is staged, which is usual for a new engine
		}
		if c.put(i, data) != nil && i == 0 {
			return nil // another version is staged
		}
	}
	return nil
}

// plan is the division of the work as it stands now.
func (j *job) plan() *plan {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now := time.Now(); now.Sub(j.planned) >= replanInterval {
		j.current = newPlan(j.daemon.fleet.Self(), j.daemon.fleet.Processes(), j.target.version)
		j.planned = now
	}
	copied := j.current
	return &copied
}

func (j *job) run(ctx context.Context) error {
	order := make([]int, 0, len(j.copy.pieces))
	for i := range j.copy.pieces {
		if j.copy.get(i) == nil {
			order = append(order, i)
		}
	}
	p := j.plan()
	ranks := map[int]int{}
	for _, i := range order {
		ranks[i] = p.rank(i)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(weightOf(p.self.Name, a), weightOf(p.self.Name, b)))
	})
	next := make(chan int, len(order))
	for _, i := range order {
		next <- i
	}
	close(next)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	for range parallelPieces {
		wg.Go(func() {
			for i := range next {
				if err := j.piece(ctx, i); err != nil {
					cancel(err)
					return
				}
			}
		})
	}
	wg.Wait()
	return context.Cause(ctx)
}

// piece gets one piece, trying its sources until one has it.
func (j *job) piece(ctx context.Context, i int) error {
	for {
		for _, s := range j.plan().sources(i, time.Since(j.start)) {
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			if j.isBad(s.peer) {
				continue
			}
			err := j.from(ctx, s, i)
			if err == nil || errors.Is(err, errSuspect) {
				return err
			}
			if ctx.Err() == nil {
				j.daemon.log.WithFields(log.Fields{"piece": i, "version": j.target.version, "peer": s.peer}).WithError(err).Debug("piece_failed")
			}
		}
		if !pause(ctx, retryPause) {
			return context.Cause(ctx)
		}
	}
}

func (j *job) isBad(peer string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return peer != "" && (j.bad[peer] || time.Since(j.avoid[peer]) < avoidFor)
}

func (j *job) from(ctx context.Context, s source, i int) error {
	if s.peer == "" && j.target.origin == "" {
		return errNoSource
	}
	limit := peerTimeout
	if s.peer == "" {
		limit = originTimeout
	}
	if err := j.daemon.yield(ctx, j.target.version); err != nil {
		return err
	}
	fctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var data []byte
	var err error
	if s.peer == "" {
		data, err = j.daemon.opts.Engine.Piece(fctx, j.target.origin, j.target.model, j.target.version, i, maxPieceBytes)
	} else {
		data, err = j.fromPeer(fctx, s.peer, i)
	}
	if err != nil {
		if s.peer != "" && !errors.Is(err, errNotHeld) && !errors.Is(err, errYielded) && ctx.Err() == nil {
			j.mu.Lock()
			j.avoid[s.peer] = time.Now()
			j.mu.Unlock()
		}
		return err
	}
	return j.took(s, i, data)
}

// fromPeer waits until a peer has a piece, and then fetches it in turn.
func (j *job) fromPeer(ctx context.Context, peer string, i int) ([]byte, error) {
	if err := j.daemon.awaitPiece(ctx, peer, j.target.version, i); err != nil {
		return nil, err
	}
	select {
	case j.daemon.downloads <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-j.daemon.downloads }()
	if j.daemon.arriving(j.target.version) {
		return nil, errYielded
	}
	return j.daemon.peerPiece(ctx, peer, j.target.version, i)
}

func (j *job) took(s source, i int, data []byte) error {
	err := j.copy.put(i, data)
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case err == nil && s.peer == "":
		j.fromOrigin++
		j.daemon.progressed(j.target.version)
	case err == nil:
		j.fromPeers++
		j.daemon.progressed(j.target.version)
	case s.peer != "":
		// The peer holds another list, or its bytes changed on the way.
		j.bad[s.peer] = true
		j.daemon.log.WithFields(log.Fields{"peer": s.peer, "piece": i, "version": j.target.version}).Warn("peer_sent_wrong_piece")
	default:
		j.mismatches++
		j.daemon.log.WithFields(log.Fields{"piece": i, "version": j.target.version, "mismatches": j.mismatches}).Warn("origin_sent_wrong_piece")
		if j.mismatches >= maxMismatches {
			return errSuspect
		}
	}
	return err
}

// pause waits and reports false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
