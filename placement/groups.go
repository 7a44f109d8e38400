package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Entry is one of the entry processes that share the endpoints of a service.
type Entry struct {
	Name string
	Zone string
}

// Group is a set of endpoints with one broker. Brokers lists the entries that may be the
// broker, in order of preference: each entry asks the first one that responds.
type Group struct {
	Name    string
	Brokers []string
}

// maxGroupEndpoints is the largest number of endpoints of a service with a single group.
// A broker receives four messages per request; with 100 engines at 5 requests per second
// these take about 5% of a core.
const maxGroupEndpoints = 100

// Groups divides the endpoints of a service into groups. Endpoints that one broker can
// handle form a single group, because a large group depends less on how callers are
// distributed over the entries. Otherwise there is one group per availability zone that
// has an entry. Groups returns the groups sorted by name, and the group of the endpoints
// in each zone.
//
// Entries with the same list of entries compute the same groups. While their lists
// differ, two brokers may place requests on the same endpoints; each learns the grants
// of the other from the reports of the entries.
func Groups(entries []Entry, endpoints int, zones []string) (groups []Group, groupOfZone map[string]string) {
	groupOfZone = map[string]string{}
	byZone := map[string][]string{}
	var all []string
	for _, e := range entries {
		byZone[e.Zone] = append(byZone[e.Zone], e.Name)
		all = append(all, e.Name)
	}
	if len(entries) == 0 {
		return nil, groupOfZone
	}
	if endpoints <= maxGroupEndpoints || len(byZone) == 1 {
		for _, z := range zones {
			groupOfZone[z] = ""
		}
		return []Group{{Brokers: brokerOrder("", all)}}, groupOfZone
	}
	var names []string
	for zone, list := range byZone {
		groups = append(groups, Group{Name: zone, Brokers: brokerOrder(zone, list)})
		names = append(names, zone)
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	for _, zone := range zones {
		if byZone[zone] != nil {
			groupOfZone[zone] = zone
			continue
		}
		groupOfZone[zone] = brokerOrder(zone, names)[0] // a zone without an entry uses the group of another
	}
	return groups, groupOfZone
}

// ColdAuthorities returns, for each group that Groups may return for these entries, the entry that
// grants permits of cold endpoints. The entries include those that do not accept callers yet: an
// entry that has just started would otherwise take over from several others in turn, as each of
// them becomes ready.
func ColdAuthorities(entries []Entry) map[string]string {
	byGroup := map[string][]string{}
	for _, e := range entries {
		byGroup[""] = append(byGroup[""], e.Name)
		if e.Zone != "" {
			byGroup[e.Zone] = append(byGroup[e.Zone], e.Name)
		}
	}
	first := map[string]string{}
	for group, names := range byGroup {
		first[group] = brokerOrder(group, names)[0]
	}
	return first
}

// brokerOrder sorts the entries by their preference as the broker of a group. Adding or
// removing an entry does not change the order of the others.
func brokerOrder(group string, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(b, group), rendezvousWeight(a, group)), cmp.Compare(a, b))
	})
	return ordered
}

// rendezvousWeight returns the weight of an entry for a group in rendezvous hashing.
func rendezvousWeight(entry, group string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(group))
	// Hashes of short inputs differ mostly in the low bits: mix those into the high ones.
	mixed := h.Sum64()
	mixed ^= mixed >> 32
	return mixed * 0x9e3779b97f4a7c15
}
