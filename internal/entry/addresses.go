package entry

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

// addressesResponse is the body of a response to GET /v1/addresses.
type addressesResponse struct {
	Addresses  []rankedAddress `json:"addresses"`
	TTLSeconds float64         `json:"ttl_seconds"`
}

type rankedAddress struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Load    float64 `json:"load"` // requests in flight per slot, as last reported
}

// loadBucketSize is the granularity at which loads are compared. Without it,
// small load changes would move all callers to the same entry at once.
const loadBucketSize = 0.25

// serveAddresses lists the entries that are not stopping: those in the caller's
// zone first, then by load.
func (e *Entry) serveAddresses(w http.ResponseWriter, r *http.Request) {
	e.refreshOwnUsage()
	zone := r.URL.Query().Get("zone")
	response := addressesResponse{
		Addresses:  []rankedAddress{},
		TTLSeconds: time.Duration(e.settings.AddressTTL).Seconds(),
	}
	for _, p := range e.peers.serving(time.Now()) {
		response.Addresses = append(response.Addresses, rankedAddress{Name: p.Name, Address: p.Address, Zone: p.Zone, Load: p.load})
	}
	slices.SortStableFunc(response.Addresses, func(a, b rankedAddress) int {
		return cmp.Or(
			cmp.Compare(zoneRank(a, zone), zoneRank(b, zone)),
			cmp.Compare(int(a.Load/loadBucketSize), int(b.Load/loadBucketSize)),
			cmp.Compare(tieBreakHash(a.Name, r), tieBreakHash(b.Name, r)),
		)
	})
	writeJSON(w, http.StatusOK, response)
}

func zoneRank(a rankedAddress, zone string) int {
	if a.Zone == zone {
		return 0
	}
	return 1
}
