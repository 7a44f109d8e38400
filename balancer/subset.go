package balancer

import (
	"cmp"
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
// them, three quarters from its own zone where there are enough. Entries and
// endpoints are placed on a ring in the order of their name's hash, evenly
// spaced, and each entry takes the arc that starts at its place. So every
// endpoint of a zone is used by equally many entries of that zone, to within
// one, subsets of neighbours overlap, and a change of one member moves each
// arc's ends by a few endpoints only.
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
		arc(self, localEntries, local, localSize),
		arc(self, entries, remote, remoteSize)...)
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

// arc returns size endpoints from the place of self on the ring.
func arc(self Member, entries, endpoints []Member, size int) []string {
	if size <= 0 {
		return nil
	}
	ring := byHash(endpoints)
	start := int(place(self, entries) * float64(len(ring)))
	list := make([]string, 0, size)
	for i := range size {
		list = append(list, ring[(start+i)%len(ring)].Name)
	}
	return list
}

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
