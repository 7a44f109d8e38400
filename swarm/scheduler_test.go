package swarm

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var rules = rapid.SampledFrom([]RegionLinks{RegionLinksNever, RegionLinksOnce})

// Guards against transfers that do not complete, more origin copies than
// required (one per region, or one in all if region links are used), and chunks
// sent over a region link twice.
func TestFaultlessScheduleFetchesRequiredCopiesOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := rules.Draw(t, "rule")
		regions, chunks := rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 40).Draw(t, "chunks")
		n := newNetwork(t, regions, rapid.IntRange(1, 14).Draw(t, "per region"), chunks, Config{RegionLinks: rule})
		if !n.finish(10 * time.Minute) {
			t.Fatal("not every instance has every chunk")
		}
		want := chunks
		if rule == RegionLinksNever {
			want *= regions
		}
		if n.origin != want {
			t.Fatalf("%d chunks fetched from the origin, want %d", n.origin, want)
		}
		n.checkRegionLinks(t, rule, 1)
	})
}

func (n *network) checkRegionLinks(t *rapid.T, rule RegionLinks, most int) {
	for c, count := range n.linkTransfers {
		if rule == RegionLinksNever || count > most {
			t.Fatalf("%d transfers of %v between regions with rule %s", count, c, rule)
		}
	}
}

// Guards against incomplete transfers and violations of the region-link rule
// when instances fail at any time and fetches fail.
func TestScheduleEndsDespiteFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := rules.Draw(t, "rule")
		chunks := rapid.IntRange(1, 30).Draw(t, "chunks")
		n := newNetwork(t, rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(2, 6).Draw(t, "per region"),
			chunks, Config{RegionLinks: rule, StallTimeout: 2 * time.Second})
		faults := []Fault{"", "", "", "", FaultCorrupt, FaultStalled, FaultMissing, FaultUnavailable, FaultBusy}
		n.fetchFault = func(Fetch) Fault { return rapid.SampledFrom(faults).Draw(t, "fault") }
		deaths := rapid.IntRange(0, 3).Draw(t, "deaths")
		for range deaths {
			for range rapid.IntRange(0, 40).Draw(t, "steps before death") {
				n.advance()
			}
			if len(n.nodes) > 1 {
				n.kill(n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "victim")].ID)
			}
		}
		if !n.finish(2 * time.Hour) {
			t.Fatal("not every live instance has every chunk")
		}
		// A chunk crosses a link again only after both gateways were replaced.
		n.checkRegionLinks(t, rule, 1+deaths/2)
	})
}

// Guards against more origin copies than OriginCopies when designated instances
// are stuck permanently, with the settings of both deployments.
func TestOriginCopiesAreBoundedWithStuckInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objective := rapid.SampledFrom([]Objective{ObjectiveTime, ObjectiveOriginBytes}).Draw(t, "objective")
		chunks := rapid.IntRange(20, 80).Draw(t, "chunks")
		n := newNetwork(t, 3, 4, chunks, Config{Objective: objective})
		for range rapid.IntRange(0, 2).Draw(t, "stuck") {
			delete(n.agents, n.nodes[0].ID) // still in the others' lists
			n.nodes = n.nodes[1:]
		}
		if !n.finish(6 * time.Hour) {
			t.Fatal("not every instance has every chunk")
		}
		most := 3*chunks + chunks
		if objective == ObjectiveOriginBytes {
			// No other instance has the chunks of the stuck ones: they are required copies.
			most = 3*chunks + 3*chunks/20 + 1
		}
		if n.origin > most {
			t.Fatalf("%d chunks fetched from the origin, want at most %d", n.origin, most)
		}
	})
}

// Guards against an instance with more than eight neighbours, and against a
// neighbour graph of a region that is not connected.
func TestNeighboursAreFewAndConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := rules.Draw(t, "rule")
		n := newNetwork(t, rapid.IntRange(1, 4).Draw(t, "regions"), rapid.IntRange(1, 60).Draw(t, "per region"), 1, Config{RegionLinks: rule})
		reached := map[string]bool{}
		var visit func(id string)
		visit = func(id string) {
			if reached[id] {
				return
			}
			reached[id] = true
			peers := n.agents[id].Peers()
			if len(peers) > 8 {
				t.Fatalf("%s has %d peers", id, len(peers))
			}
			for _, p := range peers {
				visit(p.ID)
			}
		}
		visit(n.nodes[0].ID)
		for _, node := range n.nodes {
			if !reached[node.ID] && (rule == RegionLinksOnce || node.Region == n.nodes[0].Region) {
				t.Fatalf("%s is not connected", node.ID)
			}
		}
	})
}

// Guards against using a source again soon after it sent a corrupt chunk, in the
// same transfer or the next.
func TestCorruptPeerIsRemembered(t *testing.T) {
	is := is.New(t)
	penalties := NewPenalties()
	nodes := []Node{{ID: "a", Region: "r"}, {ID: "bad", Region: "r"}}
	cfg := Config{Self: nodes[0]}
	bad := Source{Kind: KindPeer, Peer: "bad"}

	first := New(0, cfg, []uint64{1, 2}, penalties)
	first.SetNodes(0, nodes)
	first.PeerHas(0, "bad", 0, 1)
	fetches := first.Next(0)
	is.Equal(fetches[0].Source, bad)
	first.Failed(0, fetches[0], FaultCorrupt, 0)
	first.Done(0, fetches[1])
	is.True(penalties.Avoided(9*time.Minute, bad)) // a later success does not clear it

	second := New(time.Minute, cfg, []uint64{3}, penalties)
	second.SetNodes(time.Minute, nodes)
	second.PeerHas(time.Minute, "bad", 0)
	for _, f := range second.Next(time.Minute) {
		is.Equal(f.Source.Kind, KindOrigin)
	}
}

// Guards against retrying a store before the pause that it requested has passed,
// and, with objective origin-bytes, against using the origin in the meantime.
func TestBusyStoreIsNotRetriedEarly(t *testing.T) {
	for _, objective := range []Objective{ObjectiveTime, ObjectiveOriginBytes} {
		t.Run(string(objective), func(t *testing.T) {
			is := is.New(t)
			s := New(0, Config{Self: Node{ID: "a", Region: "r"}, Objective: objective, HasStore: true, UpstreamFetches: 1}, []uint64{1}, NewPenalties())
			now := 2 * time.Second
			f := s.Next(now)[0]
			is.Equal(f.Source.Kind, KindStore)
			s.Failed(now, f, FaultBusy, 5*time.Second)
			next := s.Next(now + 4*time.Second)
			if objective == ObjectiveTime {
				is.Equal(next[0].Source.Kind, KindOrigin)
				return
			}
			is.Equal(len(next), 0)
			is.Equal(s.Next(now + 6*time.Second)[0].Source.Kind, KindStore)
		})
	}
}

// Guards against a corrupt object that makes the origin's other objects
// unavailable, and against fetching it again in a tight loop.
func TestCorruptObjectPausesOnlyItsChunk(t *testing.T) {
	is := is.New(t)
	s := New(0, Config{Self: Node{ID: "a", Region: "r"}, UpstreamFetches: 1}, []uint64{1, 2}, NewPenalties())
	now := 2 * time.Second
	f := s.Next(now)[0]
	s.Failed(now, f, FaultCorrupt, 0)
	other := s.Next(now)[0]
	is.True(other.Chunk != f.Chunk)
	s.Done(now, other)
	is.Equal(len(s.Next(now+900*time.Millisecond)), 0)
	is.Equal(len(s.Next(now+time.Second)), 1)
}

// Guards against a partitioned region that waits forever, or that fetches chunks
// from the origin while they still arrive over the region link.
func TestCutRegionLinkFallsBackToOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const chunks = 12
		n := newNetwork(t, 2, 3, chunks, Config{RegionLinks: RegionLinksOnce, Objective: ObjectiveOriginBytes, StallTimeout: 2 * time.Second})
		cutAt := time.Duration(rapid.IntRange(0, 20).Draw(t, "cut at step")) * step
		n.linkDown = func(a, b string) bool { return a != b && n.now >= cutAt }
		if !n.finish(time.Hour) {
			t.Fatal("not every instance has every chunk")
		}
		if n.origin > 2*chunks+4 {
			t.Fatalf("%d chunks fetched from the origin", n.origin)
		}
		n.checkRegionLinks(t, RegionLinksOnce, 1)
	})
}

// Guards against an instance without reachable peers that fetches a full copy
// from the origin at full speed, beyond OriginCopies.
func TestFallbackBeyondShareIsSlow(t *testing.T) {
	is := is.New(t)
	n := newNetwork(nil, 3, 4, 300, Config{})
	s := n.agents[n.nodes[0].ID].Scheduler
	taken := 0
	for now := time.Duration(0); now < 10*time.Minute; now += step {
		for _, f := range s.Next(now) {
			s.Done(now, f)
			taken++
		}
	}
	const share, perTimeout = 300 / 12, 10 * 60 / 10
	is.True(taken <= len(s.designated)+300/4+share+perTimeout+20)
	is.True(taken >= share+perTimeout)
}

// Guards against an instance that joins late and fetches chunks from the origin
// although its peers hold them, before or after they report.
func TestLateInstanceUsesPeers(t *testing.T) {
	is := is.New(t)
	n := newNetwork(nil, 1, 4, 50, Config{})
	late := n.agents[n.nodes[0].ID].Scheduler
	is.Equal(len(late.Next(0)), 0)
	for i := range 50 {
		late.PeerHas(step, "node1", i)
	}
	for now := step; !late.Complete(); now += step {
		for _, f := range late.Next(now) {
			is.Equal(f.Source, Source{Kind: KindPeer, Peer: "node1"})
			late.Done(now, f)
		}
	}
}

// Guards against an instance that fetches every chunk from the origin because
// its list of instances was briefly empty.
func TestBriefEmptyListStartsNoFetch(t *testing.T) {
	is := is.New(t)
	n := newNetwork(nil, 1, 4, 50, Config{UpstreamFetches: 50})
	s := n.agents[n.nodes[0].ID].Scheduler
	own := len(s.Next(2 * time.Second))
	is.True(own < 50)
	s.SetNodes(3*time.Second, nil)
	is.Equal(len(s.Next(3500*time.Millisecond)), 0)
	s.SetNodes(3600*time.Millisecond, n.nodes)
	is.Equal(len(s.Next(5*time.Second)), 0)
}

// Guards against using a region link for a chunk that a peer in the same region
// holds.
func TestGatewayPrefersItsRegion(t *testing.T) {
	is := is.New(t)
	n := newNetwork(nil, 2, 2, 40, Config{RegionLinks: RegionLinksOnce})
	for _, node := range n.nodes {
		s := n.agents[node.ID].Scheduler
		for _, p := range s.Peers() {
			for i := range 40 {
				s.PeerHas(0, p.ID, i)
			}
		}
		for _, f := range s.Next(0) {
			is.Equal(s.peer(f.Source.Peer).node.Region, node.Region)
		}
	}
}

// Guards against a gateway that waits for a peer that it avoids instead of using
// the region link.
func TestGatewayPassesOverAvoidedNeighbour(t *testing.T) {
	is := is.New(t)
	n := newNetwork(nil, 2, 2, 40, Config{RegionLinks: RegionLinksOnce})
	crossed := 0
	for _, node := range n.nodes {
		s := n.agents[node.ID].Scheduler
		for _, p := range s.Peers() {
			for i := range 40 {
				s.PeerHas(0, p.ID, i)
			}
			if p.Region == node.Region {
				s.penalties.recordFault(0, Source{Kind: KindPeer, Peer: p.ID}, FaultCorrupt, 0)
			}
		}
		for _, f := range s.Next(0) {
			if p := s.peer(f.Source.Peer); p != nil {
				is.True(p.node.Region != node.Region)
				crossed++
			}
		}
	}
	is.True(crossed > 0)
}

// BenchmarkScheduler measures the CPU time per chunk with eight peers, as in a
// fleet of 290 instances.
func BenchmarkScheduler(b *testing.B) {
	for _, chunks := range []int{2048, 16384} {
		b.Run(fmt.Sprint(chunks), func(b *testing.B) {
			for range b.N {
				runScheduler(chunks)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*chunks), "ns/chunk")
		})
	}
}

func runScheduler(chunks int) {
	keys := make([]uint64, chunks)
	nodes := make([]Node, 145)
	for i := range keys {
		keys[i] = mix(uint64(i + 1))
	}
	for i := range nodes {
		nodes[i] = Node{ID: fmt.Sprint(i), Region: "r"}
	}
	s := New(0, Config{Self: nodes[0]}, keys, NewPenalties())
	s.SetNodes(0, nodes)
	for i := range chunks {
		now := time.Duration(i) * 40 * time.Millisecond
		for _, p := range s.Peers() {
			s.PeerHas(now, p.ID, i)
		}
		for _, f := range s.Next(now) {
			s.Done(now, f)
		}
	}
}

func ExampleScheduler() {
	nodes := []Node{{ID: "a", Region: "navarra"}, {ID: "b", Region: "navarra"}}
	s := New(0, Config{Self: nodes[0]}, []uint64{101, 102}, NewPenalties())
	s.SetNodes(0, nodes)
	s.PeerHas(0, "b", 1)
	for _, f := range s.Next(0) {
		fmt.Println("chunk", f.Chunk, "from", f.Source.Peer)
		s.Done(0, f)
	}
	fmt.Println("held", s.HeldCount())
	// Output:
	// chunk 1 from b
	// held 1
}
