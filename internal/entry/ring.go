package entry

import (
	"cmp"
	"slices"
)

// sortRing sorts entries into the ring on which each polls those that follow it.
// The order depends only on names and zones, so that all entries agree on it
// whatever the order in their settings, and each is polled by maxExchangePeers
// others. Zones alternate in proportion to their size. With zones of similar size,
// the entries polled, which are those in address lists, thus come from every zone.
func sortRing(list []*peerState) {
	slices.SortFunc(list, func(a, b *peerState) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	zoneSize := map[string]int{}
	for _, s := range list {
		zoneSize[s.Zone]++
	}
	// Each zone's entries are evenly spaced on the ring, [0, 1), with a different
	// offset per zone. With the same offset, zones of nearly equal size would
	// cluster.
	position := map[*peerState]float64{}
	zoneCount := map[string]int{}
	for _, s := range list {
		zoneCount[s.Zone]++
		start := float64(len(zoneCount)-1) / float64(len(zoneSize))
		position[s] = (float64(zoneCount[s.Zone]-1) + start) / float64(zoneSize[s.Zone])
	}
	slices.SortStableFunc(list, func(a, b *peerState) int { return cmp.Compare(position[a], position[b]) })
}

// sampleSize returns how many of the other entries are polled.
func sampleSize(others int) int { return min(others, maxExchangePeers) }

// sampledSlots returns the part of the slots for a sample of the entries, rounded
// up. If each sample divided all slots, they would be allocated several times over:
// 41 times with 370 entries.
func sampledSlots(slots, sample, entries int) int {
	return (slots*sample + entries - 1) / max(1, entries)
}
