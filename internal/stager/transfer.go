package stager

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/swarm"
	"github.com/rhubarbhill/rhubarbhill/tracker"
)

const (
	// parallelFetches of one version keep the link busy between two pieces. More would
	// keep answers of the engine, which shares the link, waiting behind pieces.
	parallelFetches = 3
	// requestInterval is the time after which a tracker is asked again though nothing has
	// changed.
	requestInterval = 80 * time.Millisecond
	// trackerTimeout is the time without a reply after which the next stager is asked to
	// be the tracker: two asks and some. In a region whose first two trackers stand
	// still, the third is asked after twice this time.
	trackerTimeout = 200 * time.Millisecond
	// peerStallTimeout ends a fetch from another stager that makes no progress. Parts of a
	// piece come each 10 to 30 ms where four share a link.
	peerStallTimeout = 500 * time.Millisecond
)

// transfer brings the pieces of one version here. The tracker of the region says which
// piece to fetch from whom.
type transfer struct {
	daemon *Daemon
	target target
	copy   *versionCopy
	start  time.Time

	mu             sync.Mutex
	assigned       []tracker.Fetch // to be started
	fetching       map[tracker.Fetch]bool
	failed         []tracker.Fetch
	trackerIndex   int    // position of the tracker in the region's order
	trackerAddress string // its address
	lastReplyAt    time.Time
	lastReply      uint64
	mismatches     int
	fromOrigin     int
	fromPeers      int
	trackersTried  int             // asked one after another
	badPeers       map[string]bool // peers that sent wrong bytes
	failure        error
	changed        chan struct{}
	wait           sync.WaitGroup
}

func newTransfer(d *Daemon, t target, c *versionCopy) *transfer {
	return &transfer{
		daemon: d, target: t, copy: c, start: time.Now(), fetching: map[tracker.Fetch]bool{}, badPeers: map[string]bool{}, changed: make(chan struct{}, 1),
		trackersTried: 1,
	}
}

// run fetches until the copy is whole, ctx ends, or the list of pieces is found wrong.
func (x *transfer) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer x.wait.Wait()
	defer cancel()
	x.mu.Lock()
	x.lastReplyAt = time.Now()
	x.mu.Unlock()
	for ctx.Err() == nil {
		x.mu.Lock()
		stopped := x.failure
		x.mu.Unlock()
		if stopped != nil {
			return stopped
		}
		x.sendRequest()
		if x.copy.complete() {
			return nil
		}
		timer := time.NewTimer(requestInterval)
		select {
		case <-ctx.Done():
		case <-x.changed:
		case <-timer.C:
		}
		timer.Stop()
		x.startFetches(ctx)
	}
	return ctx.Err()
}

// sendRequest tells the tracker what this instance holds and fetches.
func (x *transfer) sendRequest() {
	order := x.daemon.trackers(x.daemon.settings.Region)
	x.mu.Lock()
	now := time.Now()
	if now.Sub(x.lastReplyAt) >= trackerTimeout {
		x.daemon.log.WithFields(log.Fields{"version": x.target.version, "tracker": x.trackerAddress}).Warn("tracker_silent")
		x.trackerIndex++
		x.trackersTried++
		x.lastReplyAt = now
	}
	tracker := order[x.trackerIndex%len(order)]
	if tracker != x.trackerAddress {
		x.trackerAddress, x.lastReply = tracker, 0
	}
	m := &requestMessage{Have: x.copy.bitmap(), Failed: fetchMessages(x.failed), LastReply: x.lastReply}
	for f := range x.fetching {
		m.Fetching = append(m.Fetching, fetchMessage{Piece: f.Piece, From: f.From})
	}
	if !x.daemon.newerArriving(x.target.version) {
		m.FreeSlots = max(0, parallelFetches-len(x.fetching))
	}
	x.failed = nil
	x.mu.Unlock()
	x.daemon.sendPeer(tracker, peerMessage{Version: x.target.version, Pieces: x.target.pieces, Request: m})
}

// handleReply takes in a tracker's orders.
func (d *Daemon) handleReply(m peerMessage) {
	d.mu.Lock()
	x := d.transfers[m.Version]
	d.mu.Unlock()
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if m.From != x.trackerAddress || m.Reply.Number <= x.lastReply {
		return // of a tracker that was silent for too long, or repeated
	}
	x.lastReplyAt, x.lastReply = time.Now(), m.Reply.Number
	x.assigned = append(x.assigned, fetches(m.Reply.Fetches, x.target.pieces)...)
	if len(x.assigned) > 0 {
		signal(x.changed)
	}
}

// startFetches starts the fetches that were ordered.
func (x *transfer) startFetches(ctx context.Context) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, f := range x.assigned {
		if x.fetching[f] || x.copy.get(f.Piece) != nil || x.badPeers[f.From] && f.From != "" {
			continue
		}
		x.fetching[f] = true
		x.wait.Go(func() {
			err := x.fetch(ctx, f)
			x.mu.Lock()
			delete(x.fetching, f)
			switch {
			case err == nil || ctx.Err() != nil:
			case errors.Is(err, errListMismatch):
				x.failure = err
			default:
				x.failed = append(x.failed, f)
				x.daemon.log.WithFields(log.Fields{"piece": f.Piece, "version": x.target.version, "from": f.From}).WithError(err).Debug("piece_failed")
			}
			x.mu.Unlock()
			signal(x.changed)
		})
	}
	x.assigned = nil
}

// fetch gets one piece.
func (x *transfer) fetch(ctx context.Context, f tracker.Fetch) error {
	d := x.daemon
	var data []byte
	var err error
	if f.From == "" {
		if x.target.origin == "" {
			return errNoOrigin
		}
		octx, cancel := context.WithTimeout(ctx, originTimeout)
		data, err = d.opts.Engine.Piece(octx, x.target.origin, x.target.model, x.target.version, f.Piece, maxPieceBytes)
		cancel()
	} else {
		data, err = d.fetchPeerPiece(ctx, f.From, x.target.version, f.Piece)
	}
	if err != nil {
		return err
	}
	return x.storePiece(f, data)
}

// storePiece takes in a piece.
func (x *transfer) storePiece(f tracker.Fetch, data []byte) error {
	err := x.copy.put(f.Piece, data)
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case err == nil:
		if f.From == "" {
			x.fromOrigin++
		} else {
			x.fromPeers++
		}
		x.daemon.recordProgress(x.target.version)
	case f.From != "":
		// The peer holds another list, or its bytes changed on the way.
		x.badPeers[f.From] = true
		x.daemon.log.WithFields(log.Fields{"peer": f.From, "piece": f.Piece, "version": x.target.version}).Warn("peer_sent_wrong_piece")
	default:
		x.mismatches++
		x.daemon.log.WithFields(log.Fields{"piece": f.Piece, "version": x.target.version, "mismatches": x.mismatches}).Warn("origin_sent_wrong_piece")
		if x.mismatches >= maxMismatches {
			return errListMismatch
		}
	}
	return err
}

// bitmap is the set of pieces that are held.
func (c *versionCopy) bitmap() swarm.Bitmap {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := swarm.NewBitmap(len(c.pieces))
	for i, data := range c.pieces {
		if data != nil {
			b.Set(i)
		}
	}
	return b
}

// listSources are the stagers to ask for a version's list of pieces, none for one that
// asks the origin: at first these are the first trackers of the region. While none of
// them has the list, others ask the origin as well, one after another, since it may be
// the first ones alone that do not reach it.
func (d *Daemon) listSources(since time.Duration) []string {
	order := d.trackers(d.settings.Region)
	end := min(trackersNotified+int(since/listWait), len(order))
	if slices.Contains(order[:end], d.settings.PeerListen) {
		return nil
	}
	return order[max(0, end-trackersNotified):end]
}
