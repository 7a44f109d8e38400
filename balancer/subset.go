package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// localShare is the part of a subset that is taken from the owner's zone.
const localShare = 0.75

// Member is an entry or endpoint, as far as Subset needs it.
type Member struct {
	Name string
	Zone string
}

// Subset returns the endpoints of one pool that the entry self uses: size of
// them, three quarters from its own zone where there are enough, the rest from
// the other zones in proportion to their size. In each zone, entries and
// endpoints are placed on a ring in the order of their name's hash, evenly
// spaced, and each entry takes the arc that starts at its place. So endpoints
// of a zone are used by nearly equally many entries, subsets of neighbours
// overlap, and a change of one member moves each arc's ends by a few endpoints.
//
// An entry missing from entries takes its place by hash, which is less even.
func Subset(self Member, entries, endpoints []Member, size int) []string {
	if len(endpoints) <= size {
		return names(endpoints)
	}
	inZone := func(m Member) bool { return m.Zone == self.Zone }
	local, remote := split(endpoints, inZone)
	localEntries, _ := split(entries, inZone)
	localSize := min(len(local), int(math.Round(localShare*float64(size))))
	remoteSize := min(len(remote), size-localSize)
	localSize = min(len(local), size-remoteSize)
	return append(
		arc(place(self, localEntries), local, localSize),
		remoteArcs(place(self, entries), remote, remoteSize)...)
}

// remoteArcs takes an arc from each zone. The rounding of their lengths starts
// at the entry's place, so that over all entries each zone gets its proportion.
func remoteArcs(start float64, remote []Member, size int) []string {
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
		list = append(list, arc(start, members, min(length, len(members)))...)
		before = after
	}
	return list
}

// quota is the number of picks that fall on the first part of total endpoints.
func quota(start float64, size, part, total int) int {
	if part == total {
		return size
	}
	return int(math.Floor(float64(size*part)/float64(total) + start))
}

func names(members []Member) []string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.Name
	}
	slices.Sort(list)
	return list
}

func split(members []Member, in func(Member) bool) (yes, no []Member) {
	for _, m := range members {
		if in(m) {
			yes = append(yes, m)
		} else {
			no = append(no, m)
		}
	}
	return yes, no
}

// arc returns size endpoints from a place on the ring.
func arc(start float64, endpoints []Member, size int) []string {
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

// place is where the entry stands on the ring, in [0, 1).
func place(self Member, entries []Member) float64 {
	for i, m := range byHash(entries) {
		if m.Name == self.Name {
			return float64(i) / float64(len(entries))
		}
	}
	return unit(mix(1, hashText(self.Name)))
}

func byHash(members []Member) []Member {
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(mix(1, hashText(a.Name)), mix(1, hashText(b.Name))), cmp.Compare(a.Name, b.Name))
	})
}
