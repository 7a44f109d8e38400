package main

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// swarmPlanner is the scheduler that agents use.
type swarmPlanner struct{ *swarm.Scheduler }

func (p swarmPlanner) next(now time.Duration) []swarm.Fetch  { return p.Next(now) }
func (p swarmPlanner) done(now time.Duration, f swarm.Fetch) { p.Done(now, f) }
func (p swarmPlanner) complete() bool                        { return p.Complete() }
func (p swarmPlanner) pushes() bool                          { return false }
func (p swarmPlanner) peers() []swarm.Node                   { return p.Peers() }
func (p swarmPlanner) peerHas(now time.Duration, id string, chunks []int) {
	p.PeerHas(now, id, chunks...)
}

// chunkKeys stand for the digests of chunks.
var chunkKeys = func() []uint64 {
	keys := make([]uint64, chunkCount)
	for i := range keys {
		text := binary.LittleEndian.AppendUint64(nil, uint64(i))
		keys[i] = binary.LittleEndian.Uint64([]byte(release.DigestOf(text).Hex()))
	}
	return keys
}()

func planSwarm(objective swarm.Objective, rule swarm.RegionLinks) func([]swarm.Node, int) planner {
	return func(nodes []swarm.Node, self int) planner {
		cfg := swarm.Config{Self: nodes[self], Objective: objective, RegionLinks: rule}
		s := swarm.New(0, cfg, chunkKeys, swarm.NewPenalties())
		s.SetNodes(0, nodes)
		return swarmPlanner{s}
	}
}

const (
	staticFetches = 4
	treeArity     = 3
)

// staticPlanner fetches every chunk from a fixed parent, in order.
type staticPlanner struct {
	parent   func(chunk int) swarm.Source
	parents  []swarm.Node
	queue    []int // chunks that the parent holds
	inFlight int
	left     int
}

func newStaticPlanner(nodes []swarm.Node, parent func(chunk int) swarm.Source) *staticPlanner {
	p := &staticPlanner{parent: parent, left: chunkCount}
	for i := range chunkCount {
		source := parent(i)
		if source.Kind == swarm.KindOrigin {
			p.queue = append(p.queue, i)
			continue
		}
		k := slices.IndexFunc(nodes, func(n swarm.Node) bool { return n.ID == source.Peer })
		if !slices.Contains(p.parents, nodes[k]) {
			p.parents = append(p.parents, nodes[k])
		}
	}
	return p
}

func (p *staticPlanner) next(time.Duration) []swarm.Fetch {
	var list []swarm.Fetch
	for len(p.queue) > 0 && p.inFlight < staticFetches {
		list = append(list, swarm.Fetch{Chunk: p.queue[0], Source: p.parent(p.queue[0])})
		p.queue = p.queue[1:]
		p.inFlight++
	}
	return list
}

func (p *staticPlanner) done(time.Duration, swarm.Fetch) {
	p.inFlight--
	p.left--
}

func (p *staticPlanner) complete() bool      { return p.left == 0 }
func (p *staticPlanner) pushes() bool        { return true }
func (p *staticPlanner) peers() []swarm.Node { return p.parents }

func (p *staticPlanner) peerHas(_ time.Duration, id string, chunks []int) {
	for _, i := range chunks {
		if p.parent(i) == (swarm.Source{Kind: swarm.KindPeer, Peer: id}) {
			p.queue = append(p.queue, i)
		}
	}
}

// regionOrder returns the nodes of self's region and self's position.
func regionOrder(nodes []swarm.Node, self int) ([]swarm.Node, int) {
	var local []swarm.Node
	position := 0
	for i, n := range nodes {
		if n.Region != nodes[self].Region {
			continue
		}
		if i == self {
			position = len(local)
		}
		local = append(local, n)
	}
	return local, position
}

func planStar(nodes []swarm.Node, _ int) planner {
	return newStaticPlanner(nodes, func(int) swarm.Source { return swarm.Source{Kind: swarm.KindOrigin} })
}

// planChain passes chunks along one chain per region.
func planChain(nodes []swarm.Node, self int) planner {
	local, position := regionOrder(nodes, self)
	return newStaticPlanner(nodes, func(int) swarm.Source {
		if position == 0 {
			return swarm.Source{Kind: swarm.KindOrigin}
		}
		return swarm.Source{Kind: swarm.KindPeer, Peer: local[position-1].ID}
	})
}

// planTrees spreads chunks over treeArity trees per region. An instance is an
// inner node of about one tree, since the trees rotate the order.
func planTrees(nodes []swarm.Node, self int) planner {
	local, position := regionOrder(nodes, self)
	n := len(local)
	return newStaticPlanner(nodes, func(chunk int) swarm.Source {
		shift := chunk % treeArity * n / treeArity
		place := (position - shift + n) % n
		if place == 0 {
			return swarm.Source{Kind: swarm.KindOrigin}
		}
		parent := ((place-1)/treeArity + shift) % n
		return swarm.Source{Kind: swarm.KindPeer, Peer: local[parent].ID}
	})
}
