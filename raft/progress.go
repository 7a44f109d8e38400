package raft

import (
	"maps"
	"slices"
)

// progressState is the mode in which a leader replicates to another replica.
type progressState uint8

const (
	probing      progressState = iota // one append in flight, to find where the logs match
	replicating                       // appends are pipelined
	snapshotting                      // one snapshot chunk in flight
)

// progress is the leader's replication state for another replica.
type progress struct {
	state             progressState
	match             uint64   // highest index known to be replicated
	next              uint64   // index of the next entry to send
	inflight          int      // replicating: unacknowledged appends
	probeSent         bool     // probing: an append is in flight
	stalledReplies    int      // heartbeat replies since the last progress
	ticksSinceMessage int      // ticks since the last message from the replica
	heartbeatRound    uint64   // latest heartbeat round it replied to
	sentCommit        uint64   // last commit index sent in a heartbeat
	ackedBytes        uint64   // snapshotting: bytes the replica has received
	snapshot          Snapshot // snapshotting: the snapshot being sent
}

// updatePeers tracks progress for exactly the replicas of the latest membership
// and, while a change is pending, of the previous one.
func (n *Node) updatePeers() {
	wanted := map[string]bool{}
	for _, m := range []Membership{n.membership(), n.committedMembership()} {
		for _, id := range m.Replicas() {
			wanted[id] = id != n.cfg.ID
		}
	}
	for id := range n.progress {
		if !wanted[id] {
			delete(n.progress, id)
		}
	}
	for id, want := range wanted {
		if want && n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.lastIndex() + 1}
		}
	}
	n.peers = slices.Sorted(maps.Keys(n.progress))
}

func (n *Node) broadcastAppend() {
	for _, id := range n.peers {
		n.sendAppends(id, n.progress[id])
	}
}

// sendAppends sends as many appends as flow control allows.
func (n *Node) sendAppends(id string, p *progress) {
	for {
		switch p.state {
		case snapshotting:
			return
		case probing:
			if p.probeSent {
				return
			}
		case replicating:
			if p.inflight >= n.cfg.MaxInflight || p.next > n.log.lastIndex() {
				return
			}
		}
		if !n.sendAppend(id, p) || p.state == probing {
			return
		}
	}
}

// sendAppend sends one append and returns true. If the entries that the replica
// needs are compacted, it starts sending a snapshot instead and returns false.
func (n *Node) sendAppend(id string, p *progress) bool {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.startSnapshot(id, p)
		return false
	}
	entries := n.log.slice(p.next, n.log.lastIndex(), n.cfg.MaxAppendBytes)
	n.send(Message{
		Kind: MsgAppend, To: id, Term: n.hardState.Term, Index: prev, LogTerm: term,
		Entries: entries, Commit: n.hardState.Commit,
	})
	switch p.state {
	case probing:
		p.probeSent = true
	case replicating:
		p.next += uint64(len(entries))
		p.inflight++
	}
	return true
}

// announceCommit sends followers a new commit index at once, so that they apply
// new entries without waiting for the next heartbeat.
func (n *Node) announceCommit() {
	for _, id := range n.peers {
		n.announceCommitTo(id, n.progress[id])
	}
}

func (n *Node) announceCommitTo(id string, p *progress) {
	if min(p.match, n.hardState.Commit) > p.sentCommit {
		n.sendHeartbeat(id, p)
	}
}

func (n *Node) broadcastHeartbeat() {
	for _, id := range n.peers {
		n.sendHeartbeat(id, n.progress[id])
	}
}

func (n *Node) sendHeartbeat(id string, p *progress) {
	p.sentCommit = min(p.match, n.hardState.Commit)
	n.send(Message{
		Kind: MsgHeartbeat, To: id, Term: n.hardState.Term, Commit: p.sentCommit, HeartbeatRound: n.heartbeatRound,
	})
}

func (n *Node) startSnapshot(id string, p *progress) {
	p.state, p.snapshot, p.ackedBytes, p.stalledReplies = snapshotting, n.snapshot, 0, 0
	n.sendChunk(id, p)
}

func (n *Node) sendChunk(id string, p *progress) {
	s := p.snapshot
	end := min(p.ackedBytes+uint64(n.cfg.SnapshotChunkBytes), uint64(len(s.Data)))
	n.send(Message{Kind: MsgSnapshot, To: id, Term: n.hardState.Term, Snapshot: &SnapshotChunk{
		Index: s.Index, Term: s.Term, Membership: s.Membership,
		Offset: p.ackedBytes, Total: uint64(len(s.Data)), Data: s.Data[p.ackedBytes:end],
	}})
}

func (n *Node) onAppendReply(id string, p *progress, m Message) {
	if m.Reject {
		n.onReject(id, p, m)
		return
	}
	if p.inflight > 0 {
		p.inflight--
	}
	if m.Index > n.log.lastIndex() {
		return // a correct follower acknowledges only what it was sent
	}
	advanced := m.Index > p.match
	if advanced {
		p.match, p.stalledReplies = m.Index, 0
	}
	p.next = max(p.next, p.match+1)
	if p.state == probing && m.Index >= p.match {
		p.state, p.probeSent, p.inflight, p.next = replicating, false, 0, p.match+1
	}
	if advanced {
		n.maybeCommit()
		n.finishTransfer(id, p)
	}
	if n.role == Leader {
		n.sendAppends(id, p)
		n.announceCommitTo(id, p)
	}
}

func (n *Node) onReject(id string, p *progress, m Message) {
	switch p.state {
	case snapshotting:
		return
	case replicating:
		if m.Index <= p.match {
			return // stale: delayed in the network
		}
		p.next = p.match + 1
	case probing:
		if m.Index != p.next-1 {
			return
		}
		p.next = max(min(m.Index, m.Hint+1), p.match+1)
	}
	p.state, p.probeSent, p.inflight = probing, false, 0
	n.sendAppends(id, p)
}

// maxStalledReplies is the number of heartbeat replies without progress after
// which the leader assumes that its messages to the replica were lost and resends.
const maxStalledReplies = 2

func (n *Node) onHeartbeatReply(id string, p *progress, m Message) {
	p.heartbeatRound = max(p.heartbeatRound, m.HeartbeatRound)
	n.confirmReads()
	if n.role != Leader {
		return
	}
	if p.match >= n.log.lastIndex() && p.state == replicating {
		p.inflight = 0
		return
	}
	p.stalledReplies++
	if p.stalledReplies < maxStalledReplies {
		return
	}
	p.stalledReplies = 0
	switch p.state {
	case snapshotting:
		n.sendChunk(id, p)
	default:
		p.state, p.probeSent, p.inflight, p.next = probing, false, 0, p.match+1
		n.sendAppends(id, p)
	}
}

func (n *Node) onSnapshotReply(id string, p *progress, m Message) {
	if p.state != snapshotting || m.Index != p.snapshot.Index {
		return
	}
	p.stalledReplies = 0
	if m.Reject || m.Hint > uint64(len(p.snapshot.Data)) {
		n.startSnapshot(id, p)
		return
	}
	if m.Commit < p.snapshot.Index { // not complete yet
		if m.Hint != p.ackedBytes || m.Hint == 0 {
			p.ackedBytes = m.Hint
			n.sendChunk(id, p)
		}
		return
	}
	p.match = max(p.match, p.snapshot.Index)
	p.state, p.probeSent, p.next, p.snapshot = probing, false, p.match+1, Snapshot{}
	n.maybeCommit()
	n.sendAppends(id, p)
}

// maybeCommit advances the commit index to the highest index that a quorum
// holds, if the entry there is of the current term. While a membership change is
// pending, it takes a quorum of the voters before it and one of those after it.
func (n *Node) maybeCommit() {
	if n.role != Leader {
		return
	}
	index := n.quorumMatch()
	term, ok := n.log.term(index)
	if index <= n.hardState.Commit || !ok || term != n.hardState.Term {
		return
	}
	for _, e := range n.log.slice(n.hardState.Commit+1, index, 1<<62) {
		if e.Kind == EntryCommand {
			n.uncommitted = max(0, n.uncommitted-len(e.Data))
		}
	}
	n.setCommit(index)
	n.announceCommit()
	n.updatePeers()
	if !n.membership().IsVoter(n.cfg.ID) && !n.membershipPending() {
		n.becomeFollower(n.hardState.Term, "") // this replica was removed
		return
	}
	n.maybeCommit() // committing a membership may allow a smaller quorum
}

func (n *Node) setCommit(index uint64) {
	if index <= n.hardState.Commit {
		return
	}
	n.hardState.Commit = index
	n.pruneMemberships()
}

func (n *Node) confirmReads() {
	done := 0
	for _, r := range n.reads {
		ok := n.hasQuorum(func(id string) bool {
			p := n.progress[id]
			return id == n.cfg.ID || (p != nil && p.heartbeatRound >= r.round)
		})
		if !ok {
			break
		}
		n.readStates = append(n.readStates, ReadState{Context: r.context, Index: r.index})
		done++
	}
	n.reads = n.reads[done:]
}

func (n *Node) finishTransfer(id string, p *progress) {
	if n.role == Leader && n.transferTarget == id && p.match == n.log.lastIndex() {
		n.send(Message{Kind: MsgTimeoutNow, To: id, Term: n.hardState.Term})
	}
}
