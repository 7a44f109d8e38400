package swarm

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// network runs the schedulers of several instances in virtual time. Links are not
// simulated: every fetch takes a random time, and some fail.
type network struct {
	t       *rapid.T
	now     time.Duration
	nodes   []Node
	agents  map[string]*member
	keys    []uint64
	running []running

	origin        int                    // chunks fetched from the origin
	linkTransfers map[linkTransfer]int   // transfers of a chunk over a region link, by direction
	fetchFault    func(f Fetch) Fault    // "" for success
	linkDown      func(a, b string) bool // whether a region link is down
}

type member struct {
	*Scheduler
	node     Node
	held     []int
	reported map[string]int
	limiter  *RegionLinkLimiter
}

type running struct {
	id    string
	fetch Fetch
	ends  time.Duration
}

type linkTransfer struct {
	chunk    int
	from, to string
}

func newNetwork(t *rapid.T, regions, perRegion, chunks int, cfg Config) *network {
	n := &network{
		t: t, agents: map[string]*member{}, linkTransfers: map[linkTransfer]int{},
		fetchFault: func(Fetch) Fault { return "" }, linkDown: func(string, string) bool { return false },
	}
	for i := range chunks {
		n.keys = append(n.keys, hashText(fmt.Sprint("chunk", i)))
	}
	for i := range regions * perRegion {
		region := fmt.Sprint("region", i%regions)
		n.nodes = append(n.nodes, Node{ID: fmt.Sprint("node", i), Region: region})
	}
	for _, node := range n.nodes {
		c := cfg
		c.Self = node
		m := &member{
			Scheduler: New(0, c, n.keys, NewPenalties()), node: node,
			reported: map[string]int{}, limiter: NewRegionLinkLimiter(c.RegionLinks, node.Region, chunks),
		}
		m.SetNodes(0, n.nodes)
		n.agents[node.ID] = m
	}
	return n
}

const step = 100 * time.Millisecond

// kill removes an instance and updates the lists of the others.
func (n *network) kill(id string) {
	delete(n.agents, id)
	var live []Node
	for _, node := range n.nodes {
		if n.agents[node.ID] != nil {
			live = append(live, node)
		}
	}
	n.nodes = live
	for _, m := range n.agents {
		m.SetNodes(n.now, live)
	}
}

func (n *network) complete() bool {
	for _, m := range n.agents {
		if !m.Complete() {
			return false
		}
	}
	return true
}

// advance advances virtual time by one step.
func (n *network) advance() {
	n.now += step
	n.exchange()
	for _, node := range n.nodes {
		m := n.agents[node.ID]
		for _, f := range m.Next(n.now) {
			took := time.Duration(rapid.IntRange(1, 8).Draw(n.t, "steps")) * step
			n.running = append(n.running, running{node.ID, f, n.now + took})
		}
	}
	var left []running
	for _, r := range n.running {
		if r.ends > n.now {
			left = append(left, r)
		} else if m := n.agents[r.id]; m != nil {
			n.end(m, r.fetch)
		}
	}
	n.running = left
}

// exchange reports the chunks that each instance has newly received to its peers.
func (n *network) exchange() {
	for _, node := range n.nodes {
		m := n.agents[node.ID]
		for _, p := range m.Peers() {
			if from := n.agents[p.ID]; from != nil && !n.linkDown(p.Region, node.Region) {
				m.PeerHas(n.now, p.ID, from.held[m.reported[p.ID]:]...)
				m.reported[p.ID] = len(from.held)
			}
		}
	}
}

func (n *network) end(m *member, f Fetch) {
	if fault := n.outcome(m, f); fault != "" {
		m.Failed(n.now, f, fault, 0)
		return
	}
	m.Done(n.now, f)
	m.held = append(m.held, f.Chunk)
}

func (n *network) outcome(m *member, f Fetch) Fault {
	if f.Source.Kind != KindPeer {
		if f.Source.Kind == KindOrigin {
			n.origin++
		}
		return n.fetchFault(f)
	}
	from := n.agents[f.Source.Peer]
	if from == nil || n.linkDown(from.node.Region, m.node.Region) {
		return FaultUnavailable
	}
	if !from.limiter.Allow(f.Chunk, m.node.Region) {
		return FaultRefused
	}
	if fault := n.fetchFault(f); fault != "" {
		from.limiter.Undo(f.Chunk, m.node.Region)
		return fault
	}
	if from.node.Region != m.node.Region {
		n.linkTransfers[linkTransfer{f.Chunk, from.node.Region, m.node.Region}]++
	}
	return ""
}

// finish advances until every live instance has every chunk, and reports whether
// that happened within the limit.
func (n *network) finish(limit time.Duration) bool {
	for end := n.now + limit; n.now < end && !n.complete(); {
		n.advance()
	}
	return n.complete()
}
