package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// localShare is the fraction of a subset that is taken from the entry's zone.
const localShare = 0.75

// Member identifies an entry or an endpoint and its zone for Subset.
type Member struct {
	Name string
	Zone string
}

// Subset returns the size endpoints of a pool that the entry self uses: three
// quarters from its own zone if that has enough, the rest from the other zones
// in proportion to their size. Within a zone, entries and endpoints are spaced
// evenly on a hash ring, in the order of the hashes of their names, and each
// entry uses the consecutive endpoints that start at its position. Each endpoint
// of a zone is therefore used by nearly the same number of entries, subsets of
// adjacent entries overlap, and adding or removing a member changes each subset
// by only a few endpoints.
//
// An entry that is missing from entries is positioned by its hash, which spreads
// the entries less evenly.
func Subset(self Member, entries, endpoints []Member, size int) []string {
	if len(endpoints) <= size {
		return sortedNames(endpoints)
	}
	inZone := func(m Member) bool { return m.Zone == self.Zone }
	local, remote := partition(endpoints, inZone)
	localEntries, _ := partition(entries, inZone)
	localSize := min(len(local), int(math.Round(localShare*float64(size))))
	remoteSize := min(len(remote), size-localSize)
	localSize = min(len(local), size-remoteSize)
	return append(
		ringSegment(ringPosition(self, localEntries), local, localSize),
		remoteSegments(ringPosition(self, entries), remote, remoteSize)...)
}

// remoteSegments selects consecutive endpoints from each remote zone. Their numbers
// are rounded with an offset by the entry's position, so that over all entries
// each zone gets its proportional share.
func remoteSegments(start float64, remote []Member, size int) []string {
	byZone := map[string][]Member{}
	for _, m := range remote {
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	list := make([]string, 0, size)
	before := 0
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		members := byZone[zone]
		after := before + len(members)
		length := quota(start, size, after, len(remote)) - quota(start, size, before, len(remote))
		list = append(list, ringSegment(start, members, min(length, len(members)))...)
		before = after
	}
	return list
}

// quota returns how many of size picks fall on the first part of total
// endpoints.
func quota(start float64, size, part, total int) int {
	if part == total {
		return size
	}
	return int(math.Floor(float64(size*part)/float64(total) + start))
}

func sortedNames(members []Member) []string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.Name
	}
	slices.Sort(list)
	return list
}

func partition(members []Member, in func(Member) bool) (yes, no []Member) {
	for _, m := range members {
		if in(m) {
			yes = append(yes, m)
		} else {
			no = append(no, m)
		}
	}
	return yes, no
}

// ringSegment returns size consecutive endpoints from a position on the ring.
func ringSegment(start float64, endpoints []Member, size int) []string {
	if size <= 0 {
		return nil
	}
	ring := byHash(endpoints)
	first := int(start * float64(len(ring)))
	list := make([]string, 0, size)
	for i := range size {
		list = append(list, ring[(first+i)%len(ring)].Name)
	}
	return list
}

// ringPosition returns the entry's position on the ring, in [0, 1).
func ringPosition(self Member, entries []Member) float64 {
	for i, m := range byHash(entries) {
		if m.Name == self.Name {
			return float64(i) / float64(len(entries))
		}
	}
	return unitInterval(mix(1, hashString(self.Name)))
}

func byHash(members []Member) []Member {
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(mix(1, hashString(a.Name)), mix(1, hashString(b.Name))), cmp.Compare(a.Name, b.Name))
	})
}
