package raft_test

import (
	"fmt"

	"github.com/rhubarbhill/rhubarbhill/raft"
)

// A single-voter cluster with the loop that processes each Ready.
func Example() {
	node, err := raft.NewNode(raft.Config{ID: "a.1"}, raft.HardState{}, raft.Snapshot{}, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = node.Bootstrap(raft.BootstrapSnapshot([]string{"a.1"}, nil, nil), 1)
	for range 20 { // a real program calls Tick from a timer
		node.Tick()
	}
	_, _, _ = node.Propose([]byte("hello"))
	for node.HasReady() {
		ready := node.Ready()
		// Send ready.MessagesBeforeSync, then persist the snapshot, the entries and the hard state.
		node.Advance()
		// Send ready.MessagesAfterSync.
		for _, entry := range ready.CommittedEntries {
			if entry.Kind == raft.EntryCommand {
				fmt.Println(string(entry.Data))
			}
		}
	}
	// Output: hello
}
