package stager

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
)

// Staged pieces may get corrupted, but a corrupted piece never becomes correct by itself. If
// all of them match after the engine has accepted an order, and none was staged in between,
// then they matched when the engine took them. This needs no clock, so it holds however long
// this process stood still before or after the order.

var errLoadNotVerified = errors.New("staged pieces do not match after the load was ordered")

// verifiedLoads identifies the loads of an engine up to an order.
type verifiedLoads struct {
	started uint64 // start of the engine's process
	orders  uint64
}

// stagingWrites tells which loads may have been ordered before the last write to the staging
// area. For these, matching pieces prove nothing: a corrupted piece may have been replaced after
// the engine had taken it.
type stagingWrites struct {
	pending bool // no report has followed the last write yet
	last    verifiedLoads
}

// precede reports whether the engine is known to have accepted the last order of a load after
// the last write.
func (w stagingWrites) precede(l verifiedLoads) bool {
	return !w.pending && (w.last.started != l.started || l.orders > w.last.orders)
}

// observe polls the engine, and records how many orders it had accepted by the last write. A
// load that the engine answers as already in effect is no further order: what was verified for
// it must not count for the next one.
func (d *Daemon) observe(ctx context.Context) (protocol.Report, error) {
	r, err := d.report(ctx)
	if err != nil {
		return r, err
	}
	if d.writes.pending {
		d.writes = stagingWrites{last: verifiedLoads{r.Started, r.Orders}}
	}
	if d.verified.ordersOf(r.Started) > r.Orders {
		d.verified = verifiedLoads{}
	}
	return r, nil
}

// ordersOf returns the number of orders of an incarnation of the engine up to which the loads
// were verified.
func (v verifiedLoads) ordersOf(started uint64) uint64 {
	if v.started != started {
		return 0
	}
	return v.orders
}

// trusts reports whether the weights that the engine reports were verified. An engine that has
// accepted no order holds the weights with which it started.
func (d *Daemon) trusts(r protocol.Report) bool {
	return d.verified.ordersOf(r.Started) == r.Orders
}

// verifyStaged checks all staged pieces after an order was accepted, and records its load as
// verified or rejected.
func (d *Daemon) verifyStaged(ctx context.Context, t target, c *versionCopy, load verifiedLoads) error {
	err := errLoadNotVerified
	if d.writes.precede(load) {
		err = d.compareStaged(ctx, t, c)
	}
	entry := d.log.WithFields(log.Fields{"model": t.model, "version": t.version, "orders": load.orders})
	switch {
	case err == nil:
		d.verified = load
		entry.Info("load_verified")
		return nil
	case errors.Is(err, errLoadNotVerified):
		d.rejected = load
	}
	entry.WithError(err).Warn("load_not_verified")
	return err
}

// compareStaged returns errLoadNotVerified if a staged piece does not match.
func (d *Daemon) compareStaged(ctx context.Context, t target, c *versionCopy) error {
	for i := range c.pieces {
		data, err := d.readStaged(ctx, t.model, i)
		if err != nil {
			return err
		}
		if !c.matches(i, data) {
			return fmt.Errorf("%w: piece %d", errLoadNotVerified, i)
		}
	}
	return nil
}

// verifyLoaded verifies weights whose load was not verified when it was ordered: the order had
// no response, or this process has restarted since. If they cannot be verified, it replaces
// them: an engine takes no second order for the version that it holds, so another one is loaded
// in between.
func (d *Daemon) verifyLoaded(ctx context.Context, t target, r protocol.Report) (time.Duration, error) {
	newest := t.version
	t.version = d.loaded.Load()
	c := d.store.get(t.version)
	if c == nil || !c.complete() {
		return checkInterval, nil // it is being fetched
	}
	if load := (verifiedLoads{r.Started, r.Orders}); d.rejected != load {
		return 0, d.verifyStaged(ctx, t, c, load)
	}
	other := d.store.newestComplete(t.version)
	if other == 0 {
		if newest == t.version { // otherwise the newer version arrives and replaces the weights
			d.replacement.Store(t.version - 1)
		}
		return checkInterval, nil
	}
	t.version = other
	return 0, d.load(ctx, t, d.store.get(other))
}
