package storage_test

import (
	"fmt"
	"os"

	"github.com/rhubarbhill/rhubarbhill/raft"
	"github.com/rhubarbhill/rhubarbhill/storage"
)

// Saved entries and hard state are restored when the directory is opened again.
func Example() {
	dir, err := os.MkdirTemp("", "rhubarbhill")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	dataDir, state, err := storage.Open(dir, storage.Options{Replica: "control-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("new:", state.Empty())
	_ = dataDir.Save(raft.HardState{Term: 1}, []raft.Entry{{Index: 1, Term: 1, Kind: raft.EntryCommand, Data: []byte("a")}})
	dataDir.Close()
	dataDir, state, _ = storage.Open(dir, storage.Options{Replica: "control-1"})
	defer dataDir.Close()
	fmt.Println("entries:", len(state.Entries), "term:", state.HardState.Term)
	// Output:
	// new: true
	// entries: 1 term: 1
}
