package raft

import (
	"testing"

	"github.com/matryer/is"
)

// cluster is a cluster of three voters. Its network delivers every message except
// those from or to isolated voters.
type cluster struct {
	t        *testing.T
	nodes    map[string]*Node
	ids      []string
	isolated map[string]bool
	sent     int
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, nodes: map[string]*Node{}, ids: []string{"a", "b", "c"}, isolated: map[string]bool{}}
	for _, id := range c.ids {
		n, err := NewNode(Config{ID: id, MaxUncommittedBytes: 100, MaxInflight: 4, MaxAppendBytes: 64}, HardState{}, Snapshot{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Bootstrap(BootstrapSnapshot(c.ids, nil, nil), 1); err != nil {
			t.Fatal(err)
		}
		c.nodes[id] = n
	}
	c.nodes["a"].Campaign()
	c.deliverAll()
	if role, _ := c.nodes["a"].Role(); role != Leader {
		t.Fatal("no leader")
	}
	return c
}

// deliverAll processes all nodes and delivers messages until there is nothing to
// do.
func (c *cluster) deliverAll() {
	for busy := true; busy; {
		busy = false
		for _, id := range c.ids {
			n := c.nodes[id]
			for n.HasReady() {
				busy = true
				r := n.Ready()
				n.Advance()
				for _, m := range append(r.MessagesBeforeSync, r.MessagesAfterSync...) {
					c.sent++
					if !c.isolated[m.From] && !c.isolated[m.To] {
						c.nodes[m.To].Step(m)
					}
				}
			}
		}
	}
}

func (c *cluster) tick(times int) {
	for range times {
		for _, id := range c.ids {
			c.nodes[id].Tick()
		}
		c.deliverAll()
	}
}

// Guards against a leader that stays leader without a quorum: check-quorum must
// make it step down within two election timeouts.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.isolated["a"] = true
	for range 20 {
		c.nodes["a"].Tick()
	}
	_, _, err := c.nodes["a"].Propose([]byte("x"))
	is.Equal(err, ErrNotLeader)
	is.Equal(c.nodes["a"].ReadIndex(1), ErrNotLeader)
}

// Guards against a replica that returns from a partition and deposes an active
// leader: pre-vote must not raise its term, and replicas with an active leader
// must ignore vote requests.
func TestReturningReplicaDoesNotDisrupt(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	term := c.nodes["a"].Status().Term
	c.isolated["c"] = true
	c.tick(200)
	is.Equal(c.nodes["c"].Status().Term, term) // a pre-vote does not raise the term
	delete(c.isolated, "c")
	c.nodes["c"].Campaign() // before it receives a heartbeat
	c.deliverAll()
	// A vote request without a pre-vote is ignored as well.
	c.nodes["b"].Step(Message{Kind: MsgVote, From: "c", To: "b", Term: term + 1, Index: 99, LogTerm: term})
	c.deliverAll()
	is.Equal(c.nodes["b"].Status().Term, term)
	role, _ := c.nodes["a"].Role()
	is.Equal(role, Leader)
	c.tick(5)
	is.Equal(c.nodes["c"].Status().Leader, "a")
}

// Guards against a leader that accepts proposals or sends messages without limit
// while the followers do not respond.
func TestFlowControl(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.isolated["b"], c.isolated["c"] = true, true
	sent := c.sent
	accepted := 0
	for range 50 {
		if _, _, err := c.nodes["a"].Propose(make([]byte, 10)); err == nil {
			accepted++
		} else {
			is.Equal(err, ErrBusy)
		}
		c.deliverAll()
	}
	is.Equal(accepted, 10) // MaxUncommittedBytes
	is.True(c.sent-sent <= 2*4+2)
	clear(c.isolated)
	c.tick(20)
	is.Equal(c.nodes["b"].Status().Commit, c.nodes["a"].Status().LastIndex)
}

// Guards against a leader that keeps leadership when it stops as planned, and
// against linearizable reads from a log without an entry of the leader's term.
func TestTransferAndRead(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.nodes["a"].TransferLeadership()
	_, _, err := c.nodes["a"].Propose([]byte("x"))
	is.Equal(err, ErrNotLeader)
	c.deliverAll()
	role, leader := c.nodes["a"].Role()
	is.Equal(role, Follower)
	is.True(leader == "b" || leader == "c")
	is.NoErr(c.nodes[leader].ReadIndex(7))
	var reads []ReadState
	for range 3 {
		for _, id := range c.ids {
			for n := c.nodes[id]; n.HasReady(); {
				r := n.Ready()
				n.Advance()
				reads = append(reads, r.ReadStates...)
				for _, m := range append(r.MessagesBeforeSync, r.MessagesAfterSync...) {
					c.nodes[m.To].Step(m)
				}
			}
		}
	}
	is.Equal(len(reads), 1)
	is.Equal(reads[0].Context, uint64(7))
}

// Guards against a single voter that sends entries of a term before the term is
// persisted: after a crash it could lead the same term with different entries.
func TestSoleVoterStoresItsTermFirst(t *testing.T) {
	is := is.New(t)
	n, err := NewNode(Config{ID: "a"}, HardState{}, Snapshot{}, nil)
	is.NoErr(err)
	first := BootstrapSnapshot([]string{"a"}, map[string]string{"a": "x"}, nil)
	first.Membership.Learners = []string{"b"}
	is.NoErr(n.Bootstrap(first, 1))
	n.Ready()
	n.Advance()
	n.Campaign()
	r := n.Ready()
	is.Equal(len(r.MessagesBeforeSync), 0)
	is.True(r.MustSync)
	is.True(len(r.MessagesAfterSync) > 0)
}

// Guards against membership changes that contradict the current membership, and
// against removal of the last voter.
func TestInvalidConfChangesAreRefused(t *testing.T) {
	c := newCluster(t)
	for _, change := range []ConfChange{
		{Kind: AddLearner, ID: "b"}, {Kind: PromoteLearner, ID: "b"}, {Kind: RemoveReplica, ID: "x"}, {Kind: AddLearner}, {},
	} {
		if _, err := c.nodes["a"].ProposeConfChange(change); err == nil {
			t.Errorf("%+v was not refused", change)
		}
	}
	if _, err := (Membership{Voters: []string{"a"}}).apply(ConfChange{Kind: RemoveReplica, ID: "a"}); err == nil {
		t.Error("the last voter was removed")
	}
}

// Guards against network input that crashes a replica, as follower or as leader.
func FuzzDecodeMessage(f *testing.F) {
	member, err := encMode.Marshal(Membership{Voters: []string{"a", "b"}})
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []Message{
		{Kind: MsgAppend, From: "b", To: "a", Term: 2, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryCommand, Data: []byte("x")}}},
		{Kind: MsgAppend, From: "b", To: "a", Term: 2, Entries: []Entry{{Index: 1, Term: 2, Kind: EntryMembership, Data: member}}},
		{Kind: MsgSnapshot, From: "b", To: "a", Term: 2, Snapshot: &SnapshotChunk{Index: 3, Term: 1, Membership: Membership{Voters: []string{"a"}}}},
		{Kind: MsgVote, From: "b", To: "a", Term: 9, Index: 1, LogTerm: 1},
		{Kind: MsgAppendReply, From: "b", To: "a", Term: 1, Index: 1 << 60},
		{Kind: MsgSnapshotReply, From: "b", To: "a", Term: 1, Index: 1, Hint: 1 << 60},
	} {
		data, err := EncodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		m.To = "a"
		for _, lead := range []bool{false, true} {
			n, err := NewNode(Config{ID: "a"}, HardState{}, Snapshot{}, nil)
			if err != nil {
				t.Fatal(err)
			}
			voters := []string{"a"}
			if !lead {
				voters = append(voters, m.From)
			}
			_ = n.Bootstrap(BootstrapSnapshot(voters, nil, []byte("data")), 1)
			n.Campaign()
			for range 2 {
				n.Step(m)
				for range 3 {
					if n.HasReady() {
						n.Ready()
						n.Advance()
					}
				}
			}
		}
	})
}
