package stager

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
)

// Entries send requests to superseded weights until shortly before the weights bound. A request that
// a slow link delivers later cannot be called back: the close of its connection waits behind it. Only
// the engine can refuse it, so an engine gives up superseded weights before the bound if no newer
// ones are complete.

const (
	// unloadMargin is how long before the weights bound an engine gives up superseded weights.
	// Entries stop sending requests to them 1.2 s before the bound, and a request that has arrived
	// begins after up to one pass of the engine, 0.5 s if it is fully loaded.
	unloadMargin = time.Second
	// loadGrace is how long a load that is due may take until it is ordered. One that fails, or
	// stages its pieces too slowly, does not keep the weights.
	loadGrace = unloadMargin / 2
	// minUnloadAge is how long superseded weights are kept at least, as long as entries use them
	// with a very short weights bound.
	minUnloadAge = time.Second
)

// unloadAge returns how long after they were superseded the engine gives up weights.
func (d *Daemon) unloadAge() time.Duration {
	return max(minUnloadAge, d.settings.WeightsBound.Std()-unloadMargin)
}

// unloadTime returns when the engine must give up the version that it holds; zero if it holds none
// or the newest one, or if the model has one layer only, which an engine holds or not.
func (d *Daemon) unloadTime(loaded uint64, layers int, named []fleetclient.NamedVersion) time.Time {
	since := fleetclient.SupersededAt(named, loaded)
	if loaded == 0 || layers < 2 || since.IsZero() {
		return time.Time{}
	}
	return since.Add(d.unloadAge())
}

// unload orders the engine to give up its weights, which were superseded for a time.
func (d *Daemon) unload(ctx context.Context, t target, report protocol.Report, superseded time.Duration) error {
	version := d.loaded.Load()
	d.announceEngine(t, report, true, false) // entries send it nothing more
	octx, cancel := context.WithTimeout(ctx, engineTimeout)
	err := d.opts.Engine.Unload(octx, d.settings.Engine, t.model, version, report.Orders)
	cancel()
	if err == nil {
		d.unloaded = verifiedLoads{report.Started, report.Orders + 1}
	}
	d.log.WithFields(log.Fields{
		"model": t.model, "version": version, "superseded_ms": superseded.Milliseconds(), "orders": report.Orders,
		"running": report.Running, "waiting": report.Waiting, "error": errorText(err),
	}).Info("unload_ordered")
	return err
}
