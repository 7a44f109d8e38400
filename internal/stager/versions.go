package stager

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
)

// olderAfter is the age at which an older named version is loaded while the newest
// is not whole: requests may no longer begin on what was before it some seconds
// later, and a load takes as long as the requests in progress.
const olderAfter = 3500 * time.Millisecond

// wanted lists the versions to fetch for an engine that holds a version: the newest
// that was named and the one named before it, in case the newest cannot be had.
func wanted(loaded uint64, named []fleetclient.Weights) []uint64 {
	var list []uint64
	for _, n := range named[max(0, len(named)-keepCopies):] {
		if n.Version >= loaded {
			list = append(list, n.Version)
		}
	}
	return list
}

// due returns the version that an engine is to load now, if any. Named is not
// empty and in order of version. The newest is loaded once turn has passed since it
// was named.
func due(loaded uint64, named []fleetclient.Weights, whole func(uint64) bool, turn time.Duration, now time.Time) (uint64, bool) {
	newest := named[len(named)-1].Version
	for i := len(named) - 1; i >= 0; i-- {
		n := named[i]
		if n.Version <= loaded {
			return 0, false
		}
		if !whole(n.Version) {
			continue
		}
		age := now.Sub(n.Since)
		// An engine without weights takes what can be had.
		if loaded == 0 || n.Version == newest && age >= turn || n.Version != newest && age >= olderAfter {
			return n.Version, true
		}
		if n.Version == newest {
			return 0, false // its turn comes
		}
	}
	return 0, false
}
