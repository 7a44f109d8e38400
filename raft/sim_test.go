package raft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// sim simulates a cluster. Its network loses, duplicates and reorders messages,
// its disks keep only what was persisted, and the invariants are checked after
// each step.
type sim struct {
	t       *rapid.T
	rng     *rand.Rand
	nodes   map[string]*simNode
	network []Message
	blocked map[[2]string]bool
	storage int // last storage identity
	notes   int // notes proposed

	leaders    map[uint64]string    // by term
	contents   map[[2]uint64]string // by index and term: data, and term of the previous entry
	committed  map[uint64]Entry
	losses     int
	lostIDs    []string                // IDs of replicas that lost their disk
	safetyOnly bool                    // loses more disks than the cluster tolerates; only safety is checked
	accepted   int                     // highest note that a leader applied
	acked      uint64                  // highest index that a leader applied
	replies    map[string]confirmation // confirmation replies since the last accepted note, by replica
}

type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

type simNode struct {
	*Node
	id      string
	disk    disk
	down    bool
	paused  bool // neither ticks nor receives messages, like a stopped process
	note    int  // highest note applied
	applied uint64
	reads   map[uint64]uint64 // read context to the value of acked at the request
	nextCtx uint64
}

// confirmation is a replica's reply to a request for confirmation of its newest
// note.
type confirmation struct {
	note       int
	unresolved bool
	voters     []string
	index      uint64
}

func newSim(t *rapid.T, voters int) *sim {
	seed := rapid.Uint64().Draw(t, "seed")
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*simNode{}, blocked: map[[2]string]bool{},
		leaders: map[uint64]string{}, contents: map[[2]uint64]string{}, committed: map[uint64]Entry{},
		replies: map[string]confirmation{},
	}
	addresses := map[string]string{}
	for i := range voters {
		addresses[s.newNode(fmt.Sprintf("r%d", i)).id] = "address"
	}
	ids := slices.Sorted(func(yield func(string) bool) {
		for id := range addresses {
			if !yield(id) {
				return
			}
		}
	})
	first := s.nodes[ids[0]]
	_ = first.Bootstrap(BootstrapSnapshot(ids, addresses, []byte{0}), 1)
	s.process(first, false)
	return s
}

func (s *sim) newNode(name string) *simNode {
	s.storage++
	n := &simNode{id: fmt.Sprintf("%s.%d", name, s.storage)}
	s.nodes[n.id] = n
	s.start(n)
	return n
}

// start starts a replica from its disk.
func (s *sim) start(n *simNode) {
	d := n.disk
	node, err := NewNode(Config{
		ID: n.id, ElectionTicks: 6, HeartbeatTicks: 2, MaxAppendBytes: 120, MaxInflight: 3, SnapshotChunkBytes: 2,
		Rand: s.rng,
	}, d.hard, d.snapshot, slices.Clone(d.entries))
	if err != nil {
		s.t.Fatalf("%s: restart: %v", n.id, err)
	}
	n.Node, n.down, n.reads = node, false, map[uint64]uint64{}
	n.note, n.applied = noteOf(d.snapshot.Data), d.snapshot.Index
}

func noteOf(data []byte) int {
	if len(data) == 0 {
		return 0
	}
	var v int
	_, _ = fmt.Sscanf(string(bytes.TrimLeft(data, "\x00")), "%d", &v)
	return v
}

// process processes every Ready of a replica. With crash, the replica may crash
// before or after it persists one.
func (s *sim) process(n *simNode, crash bool) {
	for !n.down && n.HasReady() {
		r := n.Ready()
		s.send(r.MessagesBeforeSync)
		if crash && s.rng.IntN(3) == 0 {
			n.down = true
			return
		}
		s.persist(n, r)
		n.Advance()
		if crash && s.rng.IntN(3) == 0 {
			n.down = true
			return
		}
		if r.Snapshot != nil {
			n.note, n.applied = noteOf(r.Snapshot.Data), r.Snapshot.Index
		}
		for _, e := range r.CommittedEntries {
			s.apply(n, e)
		}
		s.send(r.MessagesAfterSync)
		for _, read := range r.ReadStates {
			if read.Index < n.reads[read.Context] {
				s.t.Fatalf("%s: read at index %d misses entry %d, which was acknowledged before the read", n.id, read.Index, n.reads[read.Context])
			}
		}
	}
}

func (s *sim) persist(n *simNode, r Ready) {
	if r.Snapshot != nil {
		n.disk.snapshot, n.disk.entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		n.disk.entries = slices.DeleteFunc(n.disk.entries, func(e Entry) bool { return e.Index >= first })
		n.disk.entries = append(n.disk.entries, r.Entries...)
	}
	if r.MustSync {
		n.disk.hard = r.HardState
	}
}

func (s *sim) apply(n *simNode, e Entry) {
	if e.Index != n.applied+1 {
		s.t.Fatalf("%s applies entry %d after %d", n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	if known, ok := s.committed[e.Index]; ok && (known.Term != e.Term || !bytes.Equal(known.Data, e.Data)) {
		s.t.Fatalf("%s commits entry %d of term %d and kind %d, another replica committed one of term %d", n.id, e.Index, e.Term, e.Kind, known.Term)
	}
	s.committed[e.Index] = e
	if e.Kind == EntryCommand {
		n.note = max(n.note, noteOf(e.Data))
	}
	if n.role == Leader {
		s.acked = max(s.acked, e.Index)
		if n.note > s.accepted {
			s.accepted = n.note
			clear(s.replies)
		}
	}
}

func (s *sim) send(messages []Message) {
	for _, m := range messages {
		if s.rng.IntN(20) == 0 {
			continue
		}
		s.network = append(s.network, m)
		if s.rng.IntN(20) == 0 {
			s.network = append(s.network, m)
		}
	}
	if len(s.network) > 400 {
		s.network = s.network[len(s.network)-400:]
	}
}

// deliver delivers one of the oldest messages in the network.
func (s *sim) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.rng.IntN(min(len(s.network), 1+s.rng.IntN(8)))
	m := s.network[i]
	n := s.nodes[m.To]
	if n != nil && n.paused {
		return
	}
	s.network = slices.Delete(s.network, i, i+1)
	if n == nil || n.down || s.blocked[[2]string{m.From, m.To}] {
		return
	}
	data, err := EncodeMessage(m)
	if err != nil {
		s.t.Fatal(err)
	}
	if m, err = DecodeMessage(data); err != nil {
		s.t.Fatal(err)
	}
	n.Step(m)
	s.process(n, s.rng.IntN(40) == 0)
}

func (s *sim) randomNode() *simNode {
	ids := s.ids()
	return s.nodes[ids[s.rng.IntN(len(ids))]]
}

func (s *sim) ids() []string {
	ids := make([]string, 0, len(s.nodes))
	for id := range s.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *sim) leader() *simNode {
	var best *simNode
	for _, id := range s.ids() {
		n := s.nodes[id]
		if !n.down && n.role == Leader && (best == nil || s.rng.IntN(3) == 0 || n.hardState.Term > best.hardState.Term) {
			best = n
		}
	}
	return best
}

// Actions that the property test chooses from.
const (
	actRun = iota
	actTick
	actPropose
	actPartition
	actHeal
	actCrash
	actRestart
	actLoseDisk
	actLearnLoss
	actChange
	actCompact
	actRead
	actTransfer
	actPause
	actResume
)

func (s *sim) step(action int) {
	switch action {
	case actRun:
		for range 12 {
			if s.rng.IntN(10) == 0 {
				s.restart()
			}
			for _, id := range s.ids() {
				if n := s.nodes[id]; !n.down && !n.paused {
					n.Tick()
					s.process(n, false)
				}
			}
			for range 12 {
				s.deliver()
			}
			s.observe()
		}
	case actTick:
		if n := s.randomNode(); !n.down && !n.paused {
			for range 1 + s.rng.IntN(12) {
				n.Tick()
			}
			s.process(n, false)
		}
	case actPropose:
		if n := s.leader(); n != nil {
			s.notes++
			_, _, _ = n.Propose(fmt.Appendf(nil, "%d", s.notes))
			s.process(n, s.rng.IntN(4) == 0)
		}
	case actPartition:
		a, b := s.randomNode(), s.randomNode()
		s.blocked[[2]string{a.id, b.id}] = true
		if s.rng.IntN(2) == 0 {
			s.blocked[[2]string{b.id, a.id}] = true
		}
		if s.rng.IntN(3) == 0 {
			s.isolate(a.id)
		}
	case actHeal:
		clear(s.blocked)
	case actCrash:
		n := s.randomNode()
		s.process(n, true)
		n.down = true
	case actRestart:
		s.restart()
	case actLoseDisk:
		s.loseDisk()
	case actLearnLoss:
		s.learnLosses(s.randomNode())
	case actChange:
		s.changeMembership()
	case actCompact:
		n := s.randomNode()
		if snapshot, err := n.MakeSnapshot(n.applied, fmt.Appendf(nil, "\x00\x00\x00%d", n.note)); !n.down && err == nil {
			n.Compact(snapshot, uint64(s.rng.IntN(3)))
			n.disk.snapshot = snapshot
			n.disk.entries = slices.DeleteFunc(n.disk.entries, func(e Entry) bool { return e.Index <= snapshot.Index })
		}
	case actRead:
		if n := s.leader(); n != nil {
			s.read(n)
		}
	case actPause:
		s.resume()
		if n := s.leader(); n != nil {
			n.paused = true
		}
	case actResume:
		s.resume()
	case actTransfer:
		if n := s.leader(); n != nil {
			n.TransferLeadership()
			s.process(n, false)
		}
	}
	s.observe()
}

func (s *sim) restart() {
	for _, id := range s.ids() {
		if n := s.nodes[id]; n.down {
			s.start(n)
		}
	}
}

// resume ends all pauses. A paused leader gets a read request at once, before it
// can learn of a new leader.
func (s *sim) resume() {
	for _, id := range s.ids() {
		n := s.nodes[id]
		if n.paused && !n.down && n.role == Leader {
			s.read(n)
		}
		n.paused = false
	}
}

func (s *sim) read(n *simNode) {
	n.nextCtx++
	n.reads[n.nextCtx] = s.acked
	_ = n.ReadIndex(n.nextCtx)
	s.process(n, false)
}

func (s *sim) isolate(id string) {
	for _, other := range s.ids() {
		s.blocked[[2]string{id, other}] = true
		s.blocked[[2]string{other, id}] = true
	}
}

// survivable reports whether the kept voters still form a quorum once the others
// are known to be lost.
func survivable(voters []string, kept func(id string) bool) bool {
	count := 0
	for _, id := range voters {
		if kept(id) {
			count++
		}
	}
	return len(voters)-count < len(voters)/2+1
}

// loseDisk replaces a replica with an empty one of the same name, if
// canLoseDisk allows it. Some replicas learn of the loss at once.
func (s *sim) loseDisk() {
	lost := s.randomNode()
	if len(s.nodes) > 6 || !s.canLoseDisk(lost) {
		return
	}
	delete(s.nodes, lost.id)
	s.lostIDs = append(s.lostIDs, lost.id)
	for _, id := range s.ids() {
		if rapid.Bool().Draw(s.t, "learns") {
			s.nodes[id].MarkLost(lost.id)
		}
	}
	s.newNode(strings.SplitN(lost.id, ".", 2)[0])
	s.losses++
}

// canLoseDisk reports whether the cluster must tolerate the loss of this disk,
// which it cannot if a membership in some log or message would permanently lack a
// quorum. A safety-only schedule loses the disk anyway.
func (s *sim) canLoseDisk(lost *simNode) bool {
	kept := func(id string) bool { return id != lost.id && s.nodes[id] != nil }
	for _, m := range s.network {
		for _, e := range m.Entries {
			if e.Kind != EntryMembership {
				continue
			}
			if next, err := decodeMembership(e); !s.safetyOnly && (err != nil || !survivable(next.Voters, kept)) {
				return false
			}
		}
	}
	bootstrapped := false // another replica holds the initial membership
	for _, n := range s.nodes {
		bootstrapped = bootstrapped || (n != lost && n.disk.snapshot.Index > 0)
		for _, m := range n.memberships {
			if !s.safetyOnly && !survivable(m.Voters, kept) {
				return false
			}
		}
	}
	return bootstrapped
}

// learnLosses informs a replica of all lost disks, as replicas that return with
// an empty disk do.
func (s *sim) learnLosses(n *simNode) {
	for _, id := range s.lostIDs {
		n.MarkLost(id)
	}
}

func (s *sim) changeMembership() {
	n := s.leader()
	if n == nil {
		return
	}
	m := n.membership()
	change := ConfChange{Kind: ConfChangeKind(1 + s.rng.IntN(3)), Address: "address"}
	switch ids := s.ids(); change.Kind {
	case AddLearner:
		change.ID = ids[s.rng.IntN(len(ids))]
	case PromoteLearner:
		if len(m.Learners) == 0 {
			return
		}
		change.ID = m.Learners[s.rng.IntN(len(m.Learners))]
	case RemoveReplica:
		if len(m.Voters) <= 2 {
			return
		}
		change.ID = m.Replicas()[s.rng.IntN(len(m.Replicas()))]
		for _, id := range m.Replicas() { // prefer replicas with a lost disk
			if s.nodes[id] == nil {
				change.ID = id
			}
		}
	}
	next, err := m.apply(change)
	if err != nil || !survivable(next.Voters, func(id string) bool { return s.nodes[id] != nil }) ||
		(change.Kind == PromoteLearner && s.nodes[change.ID] == nil) {
		return // the repair policy never promotes an unresponsive replica
	}
	_, _ = n.ProposeConfChange(change)
	s.process(n, s.rng.IntN(6) == 0)
}

// observe checks the invariants on all running replicas.
func (s *sim) observe() {
	for _, id := range s.ids() {
		n := s.nodes[id]
		if n.down {
			continue
		}
		if n.role == Leader {
			s.checkLeader(n)
		}
		s.checkLog(n)
		s.replies[id] = s.confirm(n)
	}
	s.checkConfirmation()
}

// checkLeader checks election safety (one leader per term) and leader
// completeness (a new leader's log holds all committed entries).
func (s *sim) checkLeader(n *simNode) {
	if other, ok := s.leaders[n.hardState.Term]; ok && other != n.id {
		s.t.Fatalf("%s and %s both lead in term %d", n.id, other, n.hardState.Term)
	}
	if _, ok := s.leaders[n.hardState.Term]; ok {
		return
	}
	s.leaders[n.hardState.Term] = n.id
	for index, e := range s.committed {
		if index < n.log.firstIndex {
			continue
		}
		if term, ok := n.log.term(index); !ok || term != e.Term {
			s.t.Fatalf("%s leads term %d without committed entry %d of term %d", n.id, n.hardState.Term, index, e.Term)
		}
	}
}

// checkLog checks log matching: entries with the same index and term are equal
// and follow an entry of the same term, hence all earlier entries are equal too.
func (s *sim) checkLog(n *simNode) {
	for i, e := range n.log.entries {
		before := n.log.prevTerm
		if i > 0 {
			before = n.log.entries[i-1].Term
		}
		content := fmt.Sprintf("%d %d %x", before, e.Kind, e.Data)
		key := [2]uint64{e.Index, e.Term}
		if known, ok := s.contents[key]; ok && known != content {
			s.t.Fatalf("%s: entry %d of term %d differs from that of another replica", n.id, e.Index, e.Term)
		}
		s.contents[key] = content
	}
}

// confirm returns the confirmation reply of a replica, as the control daemon
// builds it.
func (s *sim) confirm(n *simNode) confirmation {
	status := n.Status()
	r := confirmation{
		note: n.note, voters: status.CommittedMembership.Voters, index: status.CommittedMembership.Index,
		unresolved: status.MembershipPending || len(status.Membership.Voters) == 0,
	}
	n.ScanEntriesAfter(n.applied, func(e Entry) bool {
		r.unresolved = r.unresolved || e.Kind == EntryCommand
		return !r.unresolved
	})
	return r
}

// checkConfirmation checks that no subset of the replies since the last accepted
// note confirms an older note.
func (s *sim) checkConfirmation() {
	ids := make([]string, 0, len(s.replies))
	for id := range s.replies {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for subset := 1; subset < 1<<len(ids); subset++ {
		var newest confirmation
		for i, id := range ids {
			if r := s.replies[id]; subset&(1<<i) != 0 && r.index > newest.index {
				newest = r
			}
		}
		counts := map[int]int{}
		for i, id := range ids {
			// As in package confirm, a reply under an earlier voter set does not
			// count for a later one.
			if r := s.replies[id]; subset&(1<<i) != 0 && !r.unresolved && r.index == newest.index && slices.Contains(newest.voters, id) {
				counts[r.note]++
			}
		}
		size := len(newest.voters)
		readQuorum := size - (size/2 + 1) + 1
		for note, count := range counts {
			if size > 0 && count >= readQuorum && note < s.accepted {
				s.t.Fatalf("a read quorum of %v confirms note %d after note %d was accepted; replies: %+v", newest.voters, note, s.accepted, s.replies)
			}
		}
	}
}

// Guards against two leaders in a term, diverging logs, lost committed entries,
// stale linearizable reads, and confirmation of a note after a newer one was
// accepted. The faults are message loss, duplication and reordering, partitions,
// pauses, crashes, lost disks, compaction and membership changes.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.IntRange(2, 5).Draw(t, "voters"))
		weighted := []int{
			actRun, actRun, actRun, actRun, actTick, actPropose, actPropose, actPropose, actPartition, actHeal,
			actHeal, actCrash, actRestart, actRestart, actLoseDisk, actLoseDisk, actLearnLoss, actChange, actChange, actChange, actCompact,
			actRead, actTransfer, actPause, actResume,
		}
		s.safetyOnly = rapid.IntRange(0, 4).Draw(t, "reckless") == 0
		s.step(actRun)
		s.step(actRun)
		for _, action := range rapid.SliceOfN(rapid.SampledFrom(weighted), 20, 80).Draw(t, "actions") {
			s.step(action)
		}
		if !s.safetyOnly {
			s.recover()
		}
		t.Logf("terms %d, notes %d, entries %d, lost disks %d", len(s.leaders), s.accepted, len(s.committed), s.losses)
	})
}

// recover ends all faults and checks that the cluster accepts proposals again.
func (s *sim) recover() {
	s.step(actHeal)
	s.step(actRestart)
	s.resume()
	before := s.acked
	for range 60 {
		for _, id := range s.ids() {
			s.learnLosses(s.nodes[id])
		}
		if n := s.leader(); n != nil {
			s.step(actPropose)
		}
		s.step(actRun)
		s.step(actRestart) // actPropose may crash the leader
		if s.acked > before+2 {
			return
		}
	}
	s.t.Fatalf("no proposal was accepted after all faults ended: %s", s.describe())
}

func (s *sim) describe() string {
	var b strings.Builder
	for _, id := range s.ids() {
		n := s.nodes[id]
		fmt.Fprintf(&b, "\n%s %v down=%v %+v", id, n.role, n.down, n.Status())
	}
	return b.String()
}
