package raft

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against quorums that are too small after a lost disk: a committed entry
// could be on none of their voters.
func TestQuorumWithLostVoters(t *testing.T) {
	voters := []string{"a", "b", "c", "d"}
	cases := map[string]struct {
		abandoned []string
		agree     string
		want      bool
	}{
		"majority":                 {nil, "abc", true},
		"half":                     {nil, "ab", false},
		"two left, both":           {[]string{"c", "d"}, "ab", true},
		"two left, one":            {[]string{"c", "d"}, "a", false},
		"three left, two":          {[]string{"d"}, "ab", true},
		"three left, one":          {[]string{"d"}, "a", false},
		"half with the abandoned":  {[]string{"d"}, "ad", false},
		"one left":                 {[]string{"b", "c", "d"}, "a", false},
		"abandoned among majority": {[]string{"d"}, "abd", true},
		"none left":                {[]string{"a", "b", "c", "d"}, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := &Node{cfg: Config{ID: "x"}, lostAtCampaign: map[string]bool{}}
			for _, id := range c.abandoned {
				n.lostAtCampaign[id] = true
			}
			agrees := func(id string) bool { return strings.Contains(c.agree, id) }
			is.New(t).Equal(n.hasQuorumOf(voters, agrees), c.want)
		})
	}
}

// newFourVoterNode returns node "a" of four voters. The test sends the messages of the
// others.
func newFourVoterNode(t *testing.T) *Node {
	t.Helper()
	voters := []string{"a", "b", "c", "d"}
	n, err := NewNode(Config{ID: "a"}, HardState{}, Snapshot{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Bootstrap(BootstrapSnapshot(voters, nil, nil), 1); err != nil {
		t.Fatal(err)
	}
	return n
}

// elect starts an election in which the given voters grant the pre-vote and the
// vote.
func elect(n *Node, voters ...string) {
	n.Campaign()
	for _, kind := range []MessageKind{MsgPreVoteReply, MsgVoteReply} {
		term := n.hardState.Term
		if kind == MsgPreVoteReply {
			term++
		}
		for _, id := range voters {
			n.Step(Message{Kind: kind, From: id, To: n.cfg.ID, Term: term})
		}
	}
}

// acknowledge persists the node's log and acknowledges all of it for the given
// voters.
func acknowledge(n *Node, voters ...string) {
	for n.HasReady() {
		n.Ready()
		n.Advance()
	}
	for _, id := range voters {
		n.Step(Message{Kind: MsgAppendReply, From: id, To: n.cfg.ID, Term: n.hardState.Term, Index: n.log.lastIndex()})
	}
}

// Guards against a leader that commits with the smaller quorum for voters that
// were lost after its election: they may have elected another leader before.
func TestLeaderNeedsNewElectionAfterLosses(t *testing.T) {
	is := is.New(t)
	n := newFourVoterNode(t)
	elect(n, "b", "c")
	is.Equal(n.role, Leader)
	is.True(n.MarkLost("c"))
	is.True(n.MarkLost("d"))
	acknowledge(n, "b")
	is.Equal(n.hardState.Commit, uint64(1))
	for range 2*n.cfg.ElectionTicks + 2 {
		n.Step(Message{Kind: MsgHeartbeatReply, From: "b", To: "a", Term: n.hardState.Term})
		n.Tick()
	}
	is.True(n.role != Leader)
	elect(n, "b")
	is.Equal(n.role, Leader)
	acknowledge(n, "b")
	is.Equal(n.hardState.Commit, n.log.lastIndex())
}

// Guards against counting the votes of a lost voter, and against a membership
// change after which the remaining voters have no quorum.
func TestLostVoterIsIgnored(t *testing.T) {
	is := is.New(t)
	n := newFourVoterNode(t)
	n.MarkLost("c")
	n.MarkLost("d")
	elect(n, "c", "d")
	is.True(n.role != Leader)
	elect(n, "b")
	acknowledge(n, "b")
	_, err := n.ProposeConfChange(ConfChange{Kind: RemoveReplica, ID: "b"})
	is.True(errors.Is(err, ErrConfChangeRefused))
	_, err = n.ProposeConfChange(ConfChange{Kind: RemoveReplica, ID: "c"})
	is.NoErr(err)
}
