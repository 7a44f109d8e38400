package stager

import (
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
)

// olderLoadAge is the minimum age at which an older named version is loaded while the newest
// is incomplete. A few seconds later, requests may no longer start on the version before it,
// and a load takes as long as the requests in progress.
const olderLoadAge = 3500 * time.Millisecond

// olderLoadAgeArriving is the minimum age at which an older version is loaded while the
// newest is arriving. It avoids a second load, since each load takes an engine out of service
// until its requests end: a newest version named 3 s later is complete at about the time when
// the older one is required.
const olderLoadAgeArriving = 5500 * time.Millisecond

// versionsToFetch returns the versions to fetch for an engine that holds the version loaded:
// the newest named one, and the one named before it in case the newest is unavailable.
func versionsToFetch(loaded uint64, named []fleetclient.NamedVersion) []uint64 {
	var list []uint64
	for _, n := range named[max(0, len(named)-maxCopies):] {
		if n.Version >= loaded {
			list = append(list, n.Version)
		}
	}
	return list
}

// loadTime returns when an engine is to load a version whose copy is complete. The load must
// be ordered within window after the engine's current version was superseded. The loads of a
// fleet are spread over the remaining time by offsets in [0, 1), so that most engines are in
// service at any time.
func loadTime(superseded, completed time.Time, window time.Duration, offset float64) time.Time {
	remaining := max(0, superseded.Add(window).Sub(completed))
	return completed.Add(time.Duration(offset * float64(remaining)))
}

// plannedLoad is the version that an engine is to load next, and when.
type plannedLoad struct {
	version uint64
	at      time.Time
}

// nextLoad returns the version that an engine is to load next, and when, given the present
// state. It returns false if no newer version than the loaded one is complete.
//
// The versions in named are in ascending order, and there is at least one. completedAt
// returns when the copy of a version was completed, or the zero time. loadAt returns when a
// version is to be loaded. newerArriving reports whether a version newer than the given one
// is being received. A version is not loaded once it has been superseded for unloadAge.
func nextLoad(loaded uint64, named []fleetclient.NamedVersion, completedAt func(uint64) time.Time, loadAt func(version uint64, superseded, completed time.Time) time.Time, newerArriving func(uint64) bool, unloadAge time.Duration, now time.Time) (plannedLoad, bool) {
	newest := named[len(named)-1].Version
	superseded := fleetclient.SupersededAt(named, loaded)
	for _, n := range slices.Backward(named) {
		if n.Version <= loaded {
			break
		}
		completed := completedAt(n.Version)
		if since := fleetclient.SupersededAt(named, n.Version); completed.IsZero() || !since.IsZero() && now.Sub(since) >= unloadAge {
			continue
		}
		if loaded == 0 {
			return plannedLoad{n.Version, now}, true // any version is better than none
		}
		at := loadAt(n.Version, superseded, completed)
		if n.Version != newest {
			minAge := olderLoadAge
			if newerArriving(n.Version) {
				minAge = olderLoadAgeArriving
			}
			if earliest := n.Since.Add(minAge); earliest.After(at) {
				at = earliest
			}
		}
		return plannedLoad{n.Version, at}, true
	}
	return plannedLoad{}, false
}
