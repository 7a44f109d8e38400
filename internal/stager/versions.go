package stager

import (
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
)

// olderLoadAge is the age at which an older named version is loaded while the newest
// is not whole: requests may no longer begin on what was before it some seconds
// later, and a load takes as long as the requests in progress.
const olderLoadAge = 3500 * time.Millisecond

// olderLoadAgeArriving is the age at which an older version is loaded though the newest is
// arriving. Each load costs an engine the time in which its requests end; a newest
// version named 3 s later is whole about when this one is required.
const olderLoadAgeArriving = 5500 * time.Millisecond

// versionsToFetch lists the versions to fetch for an engine that holds a version: the newest
// that was named and the one named before it, in case the newest cannot be had.
func versionsToFetch(loaded uint64, named []fleetclient.NamedVersion) []uint64 {
	var list []uint64
	for _, n := range named[max(0, len(named)-maxCopies):] {
		if n.Version >= loaded {
			list = append(list, n.Version)
		}
	}
	return list
}

// loadTime is when an engine loads a version that is whole since a time: at its share of
// the time that is left until it must be ordered, which counts from when its present
// version was superseded. The engines of a fleet have
// shares spread over [0, 1), so that most of them take requests at any time.
func loadTime(superseded, whole time.Time, order time.Duration, share float64) time.Time {
	left := max(0, superseded.Add(order).Sub(whole))
	return whole.Add(time.Duration(share * float64(left)))
}

// plannedLoad is a version that an engine is to plannedLoad, and when.
type plannedLoad struct {
	version uint64
	at      time.Time
}

// nextLoad returns the version that an engine is to load nextLoad, and when, by what is known
// now. Named is not empty and in order of version. Whole returns since when a version is
// whole here; the zero time if it is not; arriving whether a newer one than a version is
// on its way. A version is loaded in its turn, which is that of an engine whose version
// was superseded at a time.
func nextLoad(loaded uint64, named []fleetclient.NamedVersion, whole func(uint64) time.Time, turn func(version uint64, superseded, whole time.Time) time.Time, arriving func(uint64) bool, now time.Time) (plannedLoad, bool) {
	newest := named[len(named)-1].Version
	var superseded time.Time
	for _, n := range named {
		if n.Version > loaded {
			superseded = n.Since
			break
		}
	}
	for _, n := range slices.Backward(named) {
		if n.Version <= loaded {
			break
		}
		since := whole(n.Version)
		if since.IsZero() {
			continue
		}
		if loaded == 0 {
			return plannedLoad{n.Version, now}, true // it takes what can be had
		}
		at := turn(n.Version, superseded, since)
		if n.Version != newest {
			after := olderLoadAge
			if arriving(n.Version) {
				after = olderLoadAgeArriving
			}
			if anyhow := n.Since.Add(after); anyhow.After(at) {
				at = anyhow
			}
		}
		return plannedLoad{n.Version, at}, true
	}
	return plannedLoad{}, false
}
