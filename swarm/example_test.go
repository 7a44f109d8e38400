package swarm_test

import (
	"fmt"

	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// A Scheduler returns the chunks to fetch and their sources.
func Example() {
	nodes := []swarm.Node{{ID: "a", Region: "navarra"}, {ID: "b", Region: "navarra"}}
	s := swarm.New(0, swarm.Config{Self: nodes[0]}, []uint64{101, 102}, swarm.NewPenalties())
	s.SetNodes(0, nodes)
	s.PeerHas(0, "b", 1)
	for _, fetch := range s.Next(0) {
		fmt.Println("chunk", fetch.Chunk, "from", fetch.Source.Peer)
		s.Done(0, fetch)
	}
	fmt.Println("held:", s.HeldCount())
	// Output:
	// chunk 1 from b
	// held: 1
}
