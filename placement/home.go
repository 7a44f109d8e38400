package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Entry is one of the entries that share the endpoints of a service.
type Entry struct {
	Name string
	Zone string
}

// Homes returns the identifiers of the endpoints that have the named entry as
// their home. It answers load that many entries bring at the same time: what
// entries tell each other is older than the time in which an engine fills, so
// entries that choose among all endpoints meet at the ones that look idle. An
// entry knows the work of its home endpoints exactly, since others send there
// only when their own are full.
//
// Each endpoint has one home, in its own zone where an entry there has room for
// it. No entry is home to more than its even share, rounded up. Entries that know
// of the same others and the same endpoints agree, and one that comes or goes
// moves few endpoints.
func Homes(self string, entries []Entry, endpoints []Endpoint) map[string]bool {
	homes := map[string]bool{}
	if len(entries) == 0 {
		return homes
	}
	room := make([]int, len(entries))
	for i := range room {
		room[i] = (len(endpoints) + len(entries) - 1) / len(entries)
	}
	ordered := slices.Clone(endpoints)
	slices.SortFunc(ordered, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	var elsewhere []Endpoint // without an entry of their zone that has room
	assign := func(e Endpoint, anyZone bool) bool {
		best := -1
		var highest uint64
		for i, entry := range entries {
			if room[i] == 0 || !anyZone && entry.Zone != e.Zone {
				continue
			}
			if w := affinity(entry.Name, e.ID); best < 0 || w > highest || w == highest && entry.Name < entries[best].Name {
				best, highest = i, w
			}
		}
		if best < 0 {
			return false
		}
		room[best]--
		if entries[best].Name == self {
			homes[e.ID] = true
		}
		return true
	}
	for _, e := range ordered {
		if !assign(e, false) {
			elsewhere = append(elsewhere, e)
		}
	}
	for _, e := range elsewhere {
		assign(e, true)
	}
	return homes
}

// affinity is the weight of an entry for an endpoint in rendezvous hashing.
func affinity(entry, endpoint string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(endpoint))
	// Short inputs differ in the low bits: mix them into the high ones.
	mixed := h.Sum64()
	mixed ^= mixed >> 32
	return mixed * 0x9e3779b97f4a7c15
}
