package docs_test

import (
	"fmt"
	"os"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/raft"
	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/storage"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// The loop around a node: persist, sync, send, apply.
func Example_raft() {
	node, err := raft.NewNode(raft.Config{ID: "a.1"}, raft.HardState{}, raft.Snapshot{}, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = node.Bootstrap(raft.BootstrapSnapshot([]string{"a.1"}, nil, nil), 1)
	for range 20 { // one call each Config.Tick in a real program
		node.Tick()
	}
	_, _, _ = node.Propose([]byte("hello"))
	for node.HasReady() {
		ready := node.Ready()
		// Send ready.Early; store the snapshot, the entries and the hard state; sync.
		node.Advance()
		// Send ready.Messages.
		for _, entry := range ready.Committed {
			if entry.Kind == raft.EntryCommand {
				fmt.Println(string(entry.Data))
			}
		}
	}
	// Output: hello
}

// A folder returns what was saved before the last stop.
func Example_storage() {
	dir, err := os.MkdirTemp("", "rhubarbhill")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	folder, state, err := storage.Open(dir, storage.Options{Replica: "control-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("new:", state.Empty())
	_ = folder.Save(raft.HardState{Term: 1}, []raft.Entry{{Index: 1, Term: 1, Kind: raft.EntryCommand, Data: []byte("a")}})
	folder.Close()
	folder, state, _ = storage.Open(dir, storage.Options{Replica: "control-1"})
	defer folder.Close()
	fmt.Println("entries:", len(state.Entries), "term:", state.HardState.Term)
	// Output:
	// new: true
	// entries: 1 term: 1
}

// A call is claimed once; a second claim of its key is a duplicate.
func Example_ledger() {
	l := ledger.New()
	for _, owner := range []string{"attempt-1", "attempt-2"} {
		claim := &ledger.Claim{Organisation: "council", Key: "order-1", Owner: owner}
		fmt.Println(l.Apply(ledger.Command{AtMs: 1, Claim: claim}).Status)
	}
	// Output:
	// accepted
	// duplicate
}

// A note changes a catalogue as a whole or not at all.
func Example_release() {
	doc, err := release.Parse([]byte(`note: 1
models:
  add:
    - name: quote-large
      version: "2"
      manifest: sha256:` + strings.Repeat("a", 64) + `
      replicas: {role: quote}
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	catalogue, _, err := release.Apply(doc.Note, release.NewCatalogue())
	fmt.Println(catalogue.Revision, catalogue.Models["quote-large"].Version, err)
	_, _, err = release.Apply(doc.Note, catalogue)
	fmt.Println(err != nil)
	// Output:
	// 1 2 <nil>
	// true
}

// A manifest is checked against the digest that the note names.
func Example_manifest() {
	var b manifest.Builder
	_ = b.Add("quote-small/5/config.json", strings.NewReader("{}"))
	_, data, digest, err := b.Build()
	if err != nil {
		fmt.Println(err)
		return
	}
	m, err := manifest.Decode(data, digest)
	fmt.Println(m.Files[0].Name, err)
	_, err = manifest.Decode(append(data, ' '), digest)
	fmt.Println(err != nil)
	// Output:
	// quote-small/5/config.json <nil>
	// true
}

// A scheduler says which chunk to fetch from whom.
func Example_swarm() {
	nodes := []swarm.Node{{ID: "a", Region: "navarra"}, {ID: "b", Region: "navarra"}}
	s := swarm.New(0, swarm.Config{Self: nodes[0]}, []uint64{101, 102}, swarm.NewPenalties())
	s.SetNodes(0, nodes)
	s.PeerHas(0, "b", 1)
	for _, fetch := range s.Next(0) {
		fmt.Println("chunk", fetch.Chunk, "from", fetch.Source.Peer)
		s.Done(0, fetch)
	}
	fmt.Println("held:", s.Held())
	// Output:
	// chunk 1 from b
	// held: 1
}
