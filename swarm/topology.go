package swarm

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// maxRings is the maximum number of rings from which neighbours are taken. Each
// ring orders the nodes of a region by an independent hash; the union of the
// rings is an expander graph with symmetric links.
const maxRings = 16

func hashText(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return mix(h.Sum64())
}

// mix is a 64-bit hash finaliser (SplitMix64): every input bit affects every
// output bit.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

type hashedNode struct {
	Node
	hash uint64
}

// topology is the view of the live nodes from which an instance derives its
// neighbours and the designated nodes.
type topology struct {
	self    hashedNode
	nodes   []hashedNode // sorted by ID, self included
	regions []string     // sorted
}

func newTopology(self Node, nodes []Node) topology {
	t := topology{self: hashedNode{Node: self, hash: hashText(self.ID)}}
	t.nodes = append(t.nodes, t.self)
	for _, n := range nodes {
		if n.ID != self.ID {
			t.nodes = append(t.nodes, hashedNode{Node: n, hash: hashText(n.ID)})
		}
	}
	slices.SortFunc(t.nodes, func(a, b hashedNode) int { return cmp.Compare(a.ID, b.ID) })
	t.nodes = slices.CompactFunc(t.nodes, func(a, b hashedNode) bool { return a.ID == b.ID })
	for _, n := range t.nodes {
		t.regions = append(t.regions, n.Region)
	}
	slices.Sort(t.regions)
	t.regions = slices.Compact(t.regions)
	return t
}

func (t topology) inRegion(region string) []hashedNode {
	var list []hashedNode
	for _, n := range t.nodes {
		if n.Region == region {
			list = append(list, n)
		}
	}
	return list
}

// highestHash returns the index of the node with the highest rendezvous hash for key.
func highestHash(nodes []hashedNode, key uint64) int {
	best, bestWeight := 0, uint64(0)
	for i, n := range nodes {
		if w := mix(n.hash ^ key); i == 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// maxLoadFactor bounds the chunks assigned to one instance, as a multiple of the
// mean.
const maxLoadFactor = 1.25

// assign returns for each key the index in nodes of the node that fetches the
// chunk from store or origin. It uses rendezvous hashing with bounded loads:
// without the bound, an instance can get twice the mean for a small manifest.
func assign(nodes []hashedNode, keys []uint64) []int {
	maxLoad := int(math.Ceil(maxLoadFactor * float64(len(keys)) / float64(len(nodes))))
	load := make([]int, len(nodes))
	list := make([]int, len(keys))
	for i, key := range keys {
		best, bestWeight := -1, uint64(0)
		for k, n := range nodes {
			if w := mix(n.hash ^ key); load[k] < maxLoad && (best < 0 || w > bestWeight) {
				best, bestWeight = k, w
			}
		}
		load[best]++
		list[i] = best
	}
	return list
}

// rank returns the number of nodes with a higher rendezvous hash for key than
// the node whose hash is id.
func rank(nodes []hashedNode, key uint64, id uint64) int {
	own, before := mix(id^key), 0
	for _, n := range nodes {
		if mix(n.hash^key) > own {
			before++
		}
	}
	return before
}

// gateway returns the node of region that exchanges state with the region other.
func (t topology) gateway(region, other string) hashedNode {
	nodes := t.inRegion(region)
	low, high := min(region, other), max(region, other)
	return nodes[highestHash(nodes, hashText(low+"\x00"+high))]
}

// neighbours returns the nodes that this instance exchanges state with.
func (t topology) neighbours(limit int, rule RegionLinks) []Node {
	var list []Node
	if rule == RegionLinksOnce {
		for _, region := range t.regions {
			if region != t.self.Region && t.gateway(t.self.Region, region).ID == t.self.ID {
				list = append(list, t.gateway(region, t.self.Region).Node)
			}
		}
		list = list[:min(len(list), limit)]
	}
	return t.localNeighbours(list, limit)
}

func (t topology) localNeighbours(list []Node, limit int) []Node {
	local := t.inRegion(t.self.Region)
	if len(local)-1 <= limit-len(list) {
		for _, n := range local {
			if n.ID != t.self.ID {
				list = append(list, n.Node)
			}
		}
		return list
	}
	for ring := range uint64(maxRings) {
		before, after := ringNeighbours(local, t.self, mix(ring+1))
		for _, n := range []hashedNode{before, after} {
			if len(list) < limit && !slices.Contains(list, n.Node) {
				list = append(list, n.Node)
			}
		}
	}
	return list
}

// ringNeighbours returns the nodes before and after self in the ring with the
// given seed.
func ringNeighbours(nodes []hashedNode, self hashedNode, seed uint64) (before, after hashedNode) {
	own := mix(self.hash ^ seed)
	var beforeGap, afterGap uint64
	for _, n := range nodes {
		if n.ID == self.ID {
			continue
		}
		position := mix(n.hash ^ seed)
		if gap := own - position; beforeGap == 0 || gap < beforeGap {
			before, beforeGap = n, gap
		}
		if gap := position - own; afterGap == 0 || gap < afterGap {
			after, afterGap = n, gap
		}
	}
	return before, after
}
