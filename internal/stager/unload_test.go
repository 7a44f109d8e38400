package stager

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
)

// unloadCase is an engine with version 1, beside which version 2 is named at the start.
type unloadCase struct {
	engine *fakeEngine
	stager *Daemon
	start  time.Time
}

func newUnloadCase() unloadCase {
	c := unloadCase{newFakeEngine(), nil, time.Now()}
	c.engine.loaded = 1
	c.stager = testDaemon(c.engine)
	c.stager.named = func(string) []fleetclient.NamedVersion {
		return []fleetclient.NamedVersion{{Version: 1, Since: c.start.Add(-time.Minute)}, {Version: 2, Since: c.start}}
	}
	return c
}

// runUntil reconciles the engine until a time since the start.
func (c unloadCase) runUntil(t *testing.T, at time.Duration) {
	for time.Since(c.start) < at {
		until, err := c.stager.reconcile(t.Context(), version2)
		is.New(t).NoErr(err)
		time.Sleep(min(checkInterval, until, at-time.Since(c.start)))
	}
}

// complete completes the stager's copy of version 2.
func (c unloadCase) complete() {
	held := newCopy(listOf(2))
	for i := range testPieces {
		_ = held.put(i, pieceOf(2, i)) // the digest is right
	}
	c.stager.store.add(held)
}

// Guards against an engine on whose superseded weights requests begin that a slow link delivers
// after the bound, because no newer weights are complete.
func TestEngineGivesUpSupersededWeightsBeforeBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newUnloadCase()
		due := c.stager.unloadAge()
		is.True(due < c.stager.settings.WeightsBound.Std())
		c.runUntil(t, due-time.Millisecond)
		is.Equal(c.engine.layers, testLayers)
		c.runUntil(t, due+time.Millisecond)
		is.Equal(c.engine.layers, 1)
		c.engine.loading = true // requests are in progress
		c.runUntil(t, due+time.Second)
		c.complete()
		c.runUntil(t, due+2*time.Second)
		is.Equal(c.engine.orders, uint64(1))
		c.engine.loading = false
		c.runUntil(t, due+3*time.Second)
		is.Equal(c.engine.loaded, uint64(2))
		is.Equal(c.engine.layers, testLayers)
		is.Equal(c.engine.orders, uint64(2))
		report, err := c.engine.Report(t.Context(), "")
		is.NoErr(err)
		is.True(c.stager.trusts(report))
		c.runUntil(t, time.Minute)
		is.Equal(c.engine.orders, uint64(2))
	})
}

// Guards against an engine that gives up its weights although newer ones are complete and replace
// them in time.
func TestEngineWithCompleteCopyIsNotUnloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newUnloadCase()
		c.runUntil(t, c.stager.unloadAge()-10*time.Millisecond)
		c.complete()
		c.runUntil(t, time.Minute)
		is.Equal(c.engine.loaded, uint64(2))
		is.Equal(c.engine.orders, uint64(1))
	})
}

// Guards against an engine that keeps superseded weights because the load that is to replace them
// fails each time.
func TestFailingLoadDoesNotKeepSupersededWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newUnloadCase()
		c.engine.corruptStaged = func(piece int) { c.engine.spoil(piece) }
		c.complete()
		for time.Since(c.start) < c.stager.settings.WeightsBound.Std()-100*time.Millisecond {
			until, err := c.stager.reconcile(t.Context(), version2)
			is.True(err == nil || errors.Is(err, errDigest))
			time.Sleep(min(retryPause, until+time.Millisecond))
		}
		is.Equal(c.engine.loaded, uint64(1))
		is.Equal(c.engine.layers, 1)
	})
}

// Guards against loading a version that the engine would have to give up again.
func TestVersionPastItsUseIsNotLoaded(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)
	const unloadAge = 7 * time.Second
	named := []fleetclient.NamedVersion{{Version: 1, Since: now.Add(-time.Hour)}, {Version: 2, Since: now.Add(-time.Minute)}, {Version: 3, Since: now}}
	for _, c := range []struct {
		loaded   uint64
		complete uint64
		after    time.Duration // since version 3 was named
		want     uint64
	}{{0, 2, unloadAge - time.Millisecond, 2}, {0, 2, unloadAge, 0}, {1, 2, unloadAge, 0}, {0, 1, 0, 0}, {0, 3, unloadAge, 3}} {
		completedAt := func(v uint64) time.Time {
			if v == c.complete {
				return now
			}
			return time.Time{}
		}
		loadAt := func(_ uint64, _, completed time.Time) time.Time { return completed }
		l, _ := nextLoad(c.loaded, named, completedAt, loadAt, func(uint64) bool { return false }, unloadAge, now.Add(c.after))
		is.Equal(l.version, c.want)
	}
}

// Guards against orders without effect to an engine whose model has one layer, of which it can keep
// no part.
func TestModelOfOneLayerIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	c := newUnloadCase()
	named := c.stager.named("m")
	is.True(c.stager.unloadTime(1, 1, named).IsZero())
	is.Equal(c.stager.unloadTime(1, 2, named), named[1].Since.Add(c.stager.unloadAge()))
}
