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
	// askInterval is the time after which a tracker is asked again though nothing has
	// changed.
	askInterval = 80 * time.Millisecond
	// trackerSilence is the time without a reply after which the next stager is asked to
	// be the tracker: two asks and some. In a region whose first two trackers stand
	// still, the third is asked after twice this time.
	trackerSilence = 200 * time.Millisecond
	// peerStall ends a fetch from another stager that makes no progress. Parts of a
	// piece come each 10 to 30 ms where four share a link.
	peerStall = 500 * time.Millisecond
)

// transfer brings the pieces of one version here. The tracker of the region says which
// piece to fetch from whom.
type transfer struct {
	daemon *Daemon
	target target
	copy   *copyOf
	start  time.Time

	mu         sync.Mutex
	ordered    []tracker.Fetch // to be started
	fetching   map[tracker.Fetch]bool
	failed     []tracker.Fetch
	at         int    // position of the tracker in the region's order
	asked      string // its address
	answered   time.Time
	seen       uint64
	mismatches int
	fromOrigin int
	fromPeers  int
	trackers   int             // asked one after another
	bad        map[string]bool // peers that sent wrong bytes
	stopped    error
	changed    chan struct{}
	wait       sync.WaitGroup
}

func newTransfer(d *Daemon, t target, c *copyOf) *transfer {
	return &transfer{
		daemon: d, target: t, copy: c, start: time.Now(), fetching: map[tracker.Fetch]bool{}, bad: map[string]bool{}, changed: make(chan struct{}, 1),
		trackers: 1,
	}
}

// run fetches until the copy is whole, ctx ends, or the list of pieces is found wrong.
func (x *transfer) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer x.wait.Wait()
	defer cancel()
	x.mu.Lock()
	x.answered = time.Now()
	x.mu.Unlock()
	for ctx.Err() == nil {
		x.mu.Lock()
		stopped := x.stopped
		x.mu.Unlock()
		if stopped != nil {
			return stopped
		}
		x.ask()
		if x.copy.whole() {
			return nil
		}
		timer := time.NewTimer(askInterval)
		select {
		case <-ctx.Done():
		case <-x.changed:
		case <-timer.C:
		}
		timer.Stop()
		x.begin(ctx)
	}
	return ctx.Err()
}

// ask tells the tracker what this instance holds and fetches.
func (x *transfer) ask() {
	order := x.daemon.trackers(x.daemon.settings.Region)
	x.mu.Lock()
	now := time.Now()
	if now.Sub(x.answered) >= trackerSilence {
		x.daemon.log.WithFields(log.Fields{"version": x.target.version, "tracker": x.asked}).Warn("tracker_silent")
		x.at++
		x.trackers++
		x.answered = now
	}
	tracker := order[x.at%len(order)]
	if tracker != x.asked {
		x.asked, x.seen = tracker, 0
	}
	m := &askMessage{Have: x.copy.bitmap(), Failed: fetchMessages(x.failed), LastReply: x.seen}
	for f := range x.fetching {
		m.Fetching = append(m.Fetching, fetchMessage{Piece: f.Piece, From: f.From})
	}
	if !x.daemon.arriving(x.target.version) {
		m.FreeSlots = max(0, parallelFetches-len(x.fetching))
	}
	x.failed = nil
	x.mu.Unlock()
	x.daemon.sendPeer(tracker, peerMessage{Version: x.target.version, Pieces: x.target.pieces, Request: m})
}

// replied takes in a tracker's orders.
func (d *Daemon) replied(m peerMessage) {
	d.mu.Lock()
	x := d.transfers[m.Version]
	d.mu.Unlock()
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if m.From != x.asked || m.Reply.Number <= x.seen {
		return // of a tracker that was silent for too long, or repeated
	}
	x.answered, x.seen = time.Now(), m.Reply.Number
	x.ordered = append(x.ordered, fetches(m.Reply.Fetches, x.target.pieces)...)
	if len(x.ordered) > 0 {
		signal(x.changed)
	}
}

// begin starts the fetches that were ordered.
func (x *transfer) begin(ctx context.Context) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, f := range x.ordered {
		if x.fetching[f] || x.copy.get(f.Piece) != nil || x.bad[f.From] && f.From != "" {
			continue
		}
		x.fetching[f] = true
		x.wait.Go(func() {
			err := x.fetch(ctx, f)
			x.mu.Lock()
			delete(x.fetching, f)
			switch {
			case err == nil || ctx.Err() != nil:
			case errors.Is(err, errSuspect):
				x.stopped = err
			default:
				x.failed = append(x.failed, f)
				x.daemon.log.WithFields(log.Fields{"piece": f.Piece, "version": x.target.version, "from": f.From}).WithError(err).Debug("piece_failed")
			}
			x.mu.Unlock()
			signal(x.changed)
		})
	}
	x.ordered = nil
}

// fetch gets one piece.
func (x *transfer) fetch(ctx context.Context, f tracker.Fetch) error {
	d := x.daemon
	var data []byte
	var err error
	if f.From == "" {
		if x.target.origin == "" {
			return errNoSource
		}
		octx, cancel := context.WithTimeout(ctx, originTimeout)
		data, err = d.opts.Engine.Piece(octx, x.target.origin, x.target.model, x.target.version, f.Piece, maxPieceBytes)
		cancel()
	} else {
		data, err = d.peerPiece(ctx, f.From, x.target.version, f.Piece)
	}
	if err != nil {
		return err
	}
	return x.took(f, data)
}

// took takes in a piece.
func (x *transfer) took(f tracker.Fetch, data []byte) error {
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
		x.daemon.progressed(x.target.version)
	case f.From != "":
		// The peer holds another list, or its bytes changed on the way.
		x.bad[f.From] = true
		x.daemon.log.WithFields(log.Fields{"peer": f.From, "piece": f.Piece, "version": x.target.version}).Warn("peer_sent_wrong_piece")
	default:
		x.mismatches++
		x.daemon.log.WithFields(log.Fields{"piece": f.Piece, "version": x.target.version, "mismatches": x.mismatches}).Warn("origin_sent_wrong_piece")
		if x.mismatches >= maxMismatches {
			return errSuspect
		}
	}
	return err
}

// bitmap is the set of pieces that are held.
func (c *copyOf) bitmap() swarm.Bitmap {
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
	end := min(trackersTold+int(since/listWait), len(order))
	if slices.Contains(order[:end], d.settings.PeerListen) {
		return nil
	}
	return order[max(0, end-trackersTold):end]
}
