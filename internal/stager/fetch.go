package stager

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	// originTimeout limits a request to the origin, whose link of 9.9 Mbit/s is shared by
	// all stagers.
	originTimeout = 3 * time.Second
	// listTimeout limits a request to another stager for a list. It exceeds listWait, since
	// that stager may still be waiting for the list itself.
	listTimeout = listWait + 200*time.Millisecond
	// listRetry is the mean pause before asking again for a list that the trackers do not
	// have yet.
	listRetry     = 100 * time.Millisecond
	maxPieceBytes = 8 << 20
	// maxMismatches is the number of corrupted pieces from the origin after which the list
	// is discarded and fetched again, since the list itself may be wrong.
	maxMismatches   = 6
	digestHexLength = 64 // of SHA-256
)

var (
	errMalformedList = errors.New("malformed list of pieces")
	errListMismatch  = errors.New("too many pieces from the origin do not match the list")
	errNoOrigin      = errors.New("no origin in the routing document")
)

// fetch returns a complete copy of the version. Pieces fetched before an error are kept,
// unless the list turns out to be wrong.
func (d *Daemon) fetch(ctx context.Context, t target) (*versionCopy, error) {
	c := d.store.get(t.version)
	if c != nil && c.complete() {
		return c, nil
	}
	if c == nil {
		list, err := d.fetchList(ctx, t)
		if err != nil {
			return nil, err
		}
		d.recordProgress(t.version)
		c = newCopy(list)
		if err := d.adoptStaged(ctx, t, c); err != nil {
			return nil, err
		}
		d.store.add(c)
	}
	x := newTransfer(d, t, c)
	d.mu.Lock()
	d.transfers[t.version] = x
	d.mu.Unlock()
	err := x.run(ctx)
	d.mu.Lock()
	delete(d.transfers, t.version)
	d.mu.Unlock()
	d.log.WithFields(log.Fields{
		"version": t.version, "pieces": len(c.pieces), "from_peers": x.fromPeers, "from_origin": x.fromOrigin, "mismatches": x.mismatches,
		"trackers": x.trackersTried, "tracker": x.trackerAddress, "ms": time.Since(x.start).Milliseconds(), "whole": c.complete(),
	}).Info("pieces_fetched")
	if errors.Is(err, errListMismatch) {
		d.store.drop(t.version)
	}
	return c, err
}

// fetchList gets the list of a version's pieces from another stager or the origin.
func (d *Daemon) fetchList(ctx context.Context, t target) (protocol.PieceList, error) {
	if sources := d.listSources(time.Since(t.fetchStart)); len(sources) > 0 {
		list, err := d.firstList(ctx, sources, t)
		if err == nil {
			return list, nil
		}
		d.log.WithField("peers", sources).WithError(err).Info("peer_list_failed")
		if errors.Is(err, errNotHeld) {
			// One of these peers is alive and asks the origin itself. If all stagers asked,
			// they would overload an origin that has just come back.
			return protocol.PieceList{}, err
		}
	}
	if t.origin == "" {
		return protocol.PieceList{}, errNoOrigin
	}
	lctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	list, err := d.opts.Engine.Pieces(lctx, t.origin, t.model, t.version)
	if err != nil {
		return list, err
	}
	return list, checkList(list, t)
}

// firstList asks several stagers concurrently and returns the first valid list.
func (d *Daemon) firstList(ctx context.Context, sources []string, t target) (protocol.PieceList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	type answer struct {
		list protocol.PieceList
		err  error
	}
	answers := make(chan answer, len(sources))
	for _, peer := range sources {
		go func() {
			list, err := d.fetchPeerList(ctx, peer, t.version)
			if err == nil {
				err = checkList(list, t)
			}
			answers <- answer{list, err}
		}()
	}
	var failures error
	for range sources {
		a := <-answers
		if a.err == nil {
			return a.list, nil
		}
		failures = errors.Join(failures, a.err)
	}
	return protocol.PieceList{}, failures
}

// checkList checks that a list belongs to the target and has well-formed digests.
func checkList(list protocol.PieceList, t target) error {
	if list.Model != t.model || list.Version != t.version || len(list.Digests) != t.pieces {
		return fmt.Errorf("%w: model %q version %d with %d pieces", errMalformedList, list.Model, list.Version, len(list.Digests))
	}
	for _, digest := range list.Digests {
		if _, err := hex.DecodeString(digest); err != nil || len(digest) != digestHexLength {
			return fmt.Errorf("%w: digest %q", errMalformedList, digest)
		}
	}
	return nil
}

// engineStartGrace is how long after this process the engine may start. If no stager
// announces a complete copy of the version, adoptStaged fails for that long while the engine
// is unreachable, since the pieces may still be staged there.
const engineStartGrace = 2 * time.Second

// adoptStaged adds the pieces that are already staged on the engine to the copy.
func (d *Daemon) adoptStaged(ctx context.Context, t target, c *versionCopy) error {
	if _, err := d.report(ctx); err != nil {
		held := slices.ContainsFunc(d.peerProcesses(), func(p wire.Process) bool { return p.WeightsVersion == t.version })
		if !held && time.Since(d.started) < engineStartGrace {
			return err
		}
		return nil // fetch the pieces from peers or the origin
	}
	for i := range c.pieces {
		data, err := d.readStaged(ctx, t.model, i)
		if err != nil {
			return nil // nothing is staged, as on a new engine
		}
		if c.put(i, data) != nil && i == 0 {
			return nil // another version is staged
		}
	}
	return nil
}

// sleep waits for the duration and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
