package entry

import (
	"cmp"
	"slices"
)

// sortRing puts entries in the order of the ring on which each asks those that
// follow it. The order depends on names and zones only, so that all entries agree
// whatever the order in their settings, and each is asked by exchangePeers
// others. Zones alternate in proportion to their size, so that the entries asked,
// which address answers name, come from every zone where zones are alike.
func sortRing(list []*peerState) {
	slices.SortFunc(list, func(a, b *peerState) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	zoneSize := map[string]int{}
	for _, s := range list {
		zoneSize[s.Zone]++
	}
	// Each zone's entries are evenly spaced on the ring, [0, 1), and start at a
	// position of their own: in step, zones of nearly the same size bunch up.
	position := map[*peerState]float64{}
	zoneCount := map[string]int{}
	for _, s := range list {
		zoneCount[s.Zone]++
		start := float64(len(zoneCount)-1) / float64(len(zoneSize))
		position[s] = (float64(zoneCount[s.Zone]-1) + start) / float64(zoneSize[s.Zone])
	}
	slices.SortStableFunc(list, func(a, b *peerState) int { return cmp.Compare(position[a], position[b]) })
}

// sampleSize is how many of the other entries are asked.
func sampleSize(others int) int { return min(others, maxExchangePeers) }

// sampledSlots is the part of the slots for a sample of the entries, rounded up.
// Divided among the sample alone, all slots would be given out once for each
// sample: 41 times with 370 entries.
func sampledSlots(slots, sample, entries int) int {
	return (slots*sample + entries - 1) / max(1, entries)
}
