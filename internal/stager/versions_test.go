package stager

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
)

// Guards against engines that are left without a usable version. If the newest is
// unavailable, because the origin is down, the one named before it must be loaded in time. If
// the newest is arriving, an engine must not load twice.
func TestNextLoad(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	named := []fleetclient.NamedVersion{
		{Version: 1, Since: now.Add(-time.Hour)}, {Version: 2, Since: now.Add(-3 * time.Second)}, {Version: 3, Since: now},
	}
	for _, c := range []struct {
		name      string
		loaded    uint64
		complete  []uint64
		after     time.Duration
		loadDelay time.Duration
		want      uint64
		arriving  bool // whether a newer version is arriving
	}{
		{"no complete copy", 1, nil, 0, 0, 0, false},
		{"newest immediately", 1, []uint64{2, 3}, 0, 0, 3, false},
		{"older one waits for the newest", 1, []uint64{2}, 0, 0, 0, false},
		{"older one before the newest is complete", 1, []uint64{2}, olderLoadAge - 3*time.Second, 0, 2, false},
		{"older one before its load time", 1, []uint64{2}, olderLoadAge - 3*time.Second, 2 * time.Second, 0, false},
		{"older one while the newest is arriving", 1, []uint64{2}, olderLoadAge - 3*time.Second, 0, 0, true},
		{"older one when the newest arrives too late", 1, []uint64{2}, olderLoadAgeArriving - 3*time.Second, 0, 2, true},
		{"engine without weights", 0, []uint64{2}, 0, 0, 2, false},
		{"engine without weights, oldest", 0, []uint64{1}, 0, 0, 1, false},
		{"newest before its load time", 1, []uint64{2, 3}, 2 * time.Second, 3 * time.Second, 0, false},
		{"newest after its load time", 1, []uint64{2, 3}, 4 * time.Second, 3 * time.Second, 3, false},
		{"newest is loaded", 3, []uint64{2, 3}, time.Minute, 0, 0, false},
		{"no return to an older version", 2, []uint64{1, 2}, time.Minute, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			completedAt := func(v uint64) time.Time {
				if slices.Contains(c.complete, v) {
					return now
				}
				return time.Time{}
			}
			loadAt := func(uint64, time.Time, time.Time) time.Time { return now.Add(c.loadDelay) }
			at := now.Add(c.after)
			l, ok := nextLoad(c.loaded, named, completedAt, loadAt, func(uint64) bool { return c.arriving }, time.Hour, at)
			due := ok && !l.at.After(at)
			is.Equal(due, c.want != 0)
			if due {
				is.Equal(l.version, c.want)
			}
		})
	}
	is := is.New(t)
	is.Equal(versionsToFetch(1, named), []uint64{2, 3})
	is.Equal(versionsToFetch(3, named), []uint64{3})
	is.Equal(versionsToFetch(0, named[:1]), []uint64{1})
}

// Guards against engines that all load a version as soon as it is complete because their load
// times have passed by then: the loads must be spread over the remaining time.
func TestLoadTimesSpreadOverRemainingTime(t *testing.T) {
	is := is.New(t)
	named := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	const window = 6 * time.Second
	for _, elapsed := range []time.Duration{time.Second, 4 * time.Second} {
		at := named.Add(elapsed)
		is.Equal(loadTime(named, at, window, 0), at)
		is.Equal(loadTime(named, at, window, 0.5), at.Add((window-elapsed)/2))
		is.True(!loadTime(named, at, window, 0.999).After(named.Add(window)))
	}
	late := named.Add(window + time.Second)
	is.Equal(loadTime(named, late, window, 0.9), late)
}

// Guards against engines that are idle because their weights may no longer be used. If two
// versions are named in quick succession, the load time must count from the first one.
func TestFirstNewerVersionBoundsLoadTime(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	named := []fleetclient.NamedVersion{
		{Version: 1, Since: now.Add(-time.Hour)}, {Version: 2, Since: now.Add(-5 * time.Second)}, {Version: 3, Since: now.Add(-3 * time.Second)},
	}
	for loaded, want := range map[uint64]time.Time{1: named[1].Since, 2: named[2].Since} {
		var got time.Time
		completedAt := func(v uint64) time.Time {
			if v == 3 {
				return now
			}
			return time.Time{}
		}
		nextLoad(loaded, named, completedAt, func(_ uint64, superseded, _ time.Time) time.Time {
			got = superseded
			return now
		}, func(uint64) bool { return false }, time.Hour, now)
		is.Equal(got, want)
	}
}
