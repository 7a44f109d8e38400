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
	// parallelFetches is the number of concurrent fetches of a version, which keeps the link
	// busy between two pieces. With more, answers of the engine, which shares the link, would
	// wait behind pieces.
	parallelFetches = 3
	// backgroundFetches is the number of concurrent fetches of a version while a newer one is
	// arriving. The newer one may stop arriving before it is complete, if the origin fails, and
	// its first pieces leave most of the links idle. More would delay the newer one.
	backgroundFetches = 1
	// requestInterval is the time after which a request to the tracker is repeated if nothing
	// has changed.
	requestInterval = 80 * time.Millisecond
	// trackerTimeout is the time without a reply after which requests go to the next stager
	// in the order of trackers. It covers a little more than two requests. If the first two
	// trackers of a region do not respond, the third gets requests after twice this time.
	trackerTimeout = 200 * time.Millisecond
	// peerStallTimeout cancels a fetch from another stager that makes no progress. If four
	// uploads share a link, data arrives every 10 to 30 ms.
	peerStallTimeout = 500 * time.Millisecond
)

// transfer fetches the pieces of one version. The tracker of the region assigns the pieces
// and their sources.
type transfer struct {
	daemon *Daemon
	target target
	copy   *versionCopy
	start  time.Time

	mu             sync.Mutex
	assigned       []tracker.Fetch // not started yet
	fetching       map[tracker.Fetch]bool
	failed         []tracker.Fetch // since the last request
	trackerIndex   int             // in the region's order of trackers, modulo its length
	trackerAddress string          // of the current tracker
	lastReplyAt    time.Time
	lastReply      uint64 // number of the last reply
	mismatches     int
	fromOrigin     int
	fromPeers      int
	trackersTried  int             // how many trackers got requests
	badPeers       map[string]bool // peers that sent wrong data
	failure        error           // ends run
	changed        chan struct{}
	wait           sync.WaitGroup
}

func newTransfer(d *Daemon, t target, c *versionCopy) *transfer {
	return &transfer{
		daemon: d, target: t, copy: c, start: time.Now(), fetching: map[tracker.Fetch]bool{}, badPeers: map[string]bool{}, changed: make(chan struct{}, 1),
		trackersTried: 1,
	}
}

// run fetches pieces until the copy is complete, ctx ends, or the list of pieces turns out to
// be wrong.
func (x *transfer) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer x.wait.Wait()
	defer cancel()
	x.mu.Lock()
	x.lastReplyAt = time.Now()
	x.mu.Unlock()
	for ctx.Err() == nil {
		x.mu.Lock()
		failure := x.failure
		x.mu.Unlock()
		if failure != nil {
			return failure
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

// sendRequest sends the tracker the pieces that this instance holds, fetches and failed to
// fetch. It asks for few new fetches while a newer version is arriving.
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
	limit := parallelFetches
	if x.daemon.newerArriving(x.target.version) {
		limit = backgroundFetches
	}
	m.FreeSlots = max(0, limit-len(x.fetching))
	x.failed = nil
	x.mu.Unlock()
	x.daemon.sendPeer(tracker, peerMessage{Version: x.target.version, Pieces: x.target.pieces, Request: m})
}

// handleReply queues the fetches that a tracker has assigned.
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
		return // from a replaced tracker, or a duplicate
	}
	x.lastReplyAt, x.lastReply = time.Now(), m.Reply.Number
	x.assigned = append(x.assigned, fetches(m.Reply.Fetches, x.target.pieces)...)
	if len(x.assigned) > 0 {
		signal(x.changed)
	}
}

// startFetches starts the assigned fetches, except of pieces that are held or in progress and
// from peers that sent wrong data.
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

// fetch downloads one piece from its source and stores it.
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

// storePiece verifies and stores a piece. A mismatch excludes a peer from further fetches; too
// many from the origin make the list count as wrong.
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
		// The peer has a different list, or the data was corrupted in transit.
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

// bitmap returns the set of pieces that are held.
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

// listSources returns the stagers to ask for a version's list of pieces, or none if this
// stager asks the origin. At first only the first trackers of the region ask the origin.
// While none of them has the list, further stagers ask it as well, one after another, since
// the origin may be unreachable only from the first ones. The argument is the time since the
// fetch started.
func (d *Daemon) listSources(since time.Duration) []string {
	order := d.trackers(d.settings.Region)
	end := min(trackersNotified+int(since/listWait), len(order))
	if slices.Contains(order[:end], d.settings.PeerListen) {
		return nil
	}
	return order[max(0, end-trackersNotified):end]
}
