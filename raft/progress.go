package raft

import (
	"maps"
	"slices"
)

// progressState is how a leader sends entries to a replica.
type progressState uint8

const (
	probing      progressState = iota // one append at a time until the logs match
	replicating                       // appends are pipelined
	snapshotting                      // snapshot chunks, one at a time
)

type progress struct {
	state    progressState
	match    uint64 // highest index known to be in its log
	next     uint64 // next index to send
	inflight int    // unacknowledged appends
	waiting  bool   // probing: an append is unanswered
	stalled  int    // heartbeats answered without progress
	quiet    int    // ticks since its last message
	round    uint64 // highest heartbeat round answered
	commit   uint64 // commit index it was last told
	offset   uint64 // snapshotting: bytes acknowledged
	snapshot Snapshot
}

// updatePeers makes progress match the newest membership. While a change is
// pending the replicas of the one before it still count.
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
			n.progress[id] = &progress{next: n.log.last() + 1}
		}
	}
	n.peers = slices.Sorted(maps.Keys(n.progress))
}

func (n *Node) broadcastAppend() {
	for _, id := range n.peers {
		n.sendAppends(id, n.progress[id])
	}
}

// sendAppends sends what flow control allows.
func (n *Node) sendAppends(id string, p *progress) {
	for {
		switch p.state {
		case snapshotting:
			return
		case probing:
			if p.waiting {
				return
			}
		case replicating:
			if p.inflight >= n.cfg.MaxInflight || p.next > n.log.last() {
				return
			}
		}
		if !n.sendAppend(id, p) || p.state == probing {
			return
		}
	}
}

// sendAppend sends one append, or starts a snapshot if the log no longer holds
// what the replica needs.
func (n *Node) sendAppend(id string, p *progress) bool {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.startSnapshot(id, p)
		return false
	}
	entries := n.log.slice(p.next, n.log.last(), n.cfg.MaxAppendBytes)
	n.send(Message{
		Kind: MsgAppend, To: id, Term: n.hard.Term, Index: prev, LogTerm: term,
		Entries: entries, Commit: n.hard.Commit,
	})
	switch p.state {
	case probing:
		p.waiting = true
	case replicating:
		p.next += uint64(len(entries))
		p.inflight++
	}
	return true
}

// announceCommit tells followers of a new commit index at once, so that a note
// does not wait for the next heartbeat.
func (n *Node) announceCommit() {
	for _, id := range n.peers {
		n.announceCommitTo(id, n.progress[id])
	}
}

func (n *Node) announceCommitTo(id string, p *progress) {
	if min(p.match, n.hard.Commit) > p.commit {
		n.sendHeartbeat(id, p)
	}
}

func (n *Node) broadcastHeartbeat() {
	for _, id := range n.peers {
		n.sendHeartbeat(id, n.progress[id])
	}
}

func (n *Node) sendHeartbeat(id string, p *progress) {
	p.commit = min(p.match, n.hard.Commit)
	n.send(Message{
		Kind: MsgHeartbeat, To: id, Term: n.hard.Term, Commit: p.commit, Round: n.round,
	})
}

func (n *Node) startSnapshot(id string, p *progress) {
	p.state, p.snapshot, p.offset, p.stalled = snapshotting, n.snapshot, 0, 0
	n.sendChunk(id, p)
}

func (n *Node) sendChunk(id string, p *progress) {
	s := p.snapshot
	end := min(p.offset+uint64(n.cfg.SnapshotChunkBytes), uint64(len(s.Data)))
	n.send(Message{Kind: MsgSnapshot, To: id, Term: n.hard.Term, Snapshot: &SnapshotChunk{
		Index: s.Index, Term: s.Term, Membership: s.Membership,
		Offset: p.offset, Total: uint64(len(s.Data)), Data: s.Data[p.offset:end],
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
	if m.Index > n.log.last() {
		return // a correct follower never acknowledges more than it was sent
	}
	advanced := m.Index > p.match
	if advanced {
		p.match, p.stalled = m.Index, 0
	}
	p.next = max(p.next, p.match+1)
	if p.state == probing && m.Index >= p.match {
		p.state, p.waiting, p.inflight, p.next = replicating, false, 0, p.match+1
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
			return // reordered
		}
		p.next = p.match + 1
	case probing:
		if m.Index != p.next-1 {
			return
		}
		p.next = max(min(m.Index, m.Hint+1), p.match+1)
	}
	p.state, p.waiting, p.inflight = probing, false, 0
	n.sendAppends(id, p)
}

// stalledReplies is how many heartbeats a replica may answer without progress
// before the leader takes its last messages for lost.
const stalledReplies = 2

func (n *Node) onHeartbeatReply(id string, p *progress, m Message) {
	p.round = max(p.round, m.Round)
	n.confirmReads()
	if n.role != Leader {
		return
	}
	if p.match >= n.log.last() && p.state == replicating {
		p.inflight = 0
		return
	}
	p.stalled++
	if p.stalled < stalledReplies {
		return
	}
	p.stalled = 0
	switch p.state {
	case snapshotting:
		n.sendChunk(id, p)
	default:
		p.state, p.waiting, p.inflight, p.next = probing, false, 0, p.match+1
		n.sendAppends(id, p)
	}
}

func (n *Node) onSnapshotReply(id string, p *progress, m Message) {
	if p.state != snapshotting || m.Index != p.snapshot.Index {
		return
	}
	p.stalled = 0
	if m.Reject || m.Hint > uint64(len(p.snapshot.Data)) {
		n.startSnapshot(id, p)
		return
	}
	if m.Commit < p.snapshot.Index { // not complete yet
		if m.Hint != p.offset || m.Hint == 0 {
			p.offset = m.Hint
			n.sendChunk(id, p)
		}
		return
	}
	p.match = max(p.match, p.snapshot.Index)
	p.state, p.waiting, p.next, p.snapshot = probing, false, p.match+1, Snapshot{}
	n.maybeCommit()
	n.sendAppends(id, p)
}

// maybeCommit advances the commit index to the highest entry of this term that
// a quorum holds. While a membership change is pending the quorum is one of the
// voters before and of those after it.
func (n *Node) maybeCommit() {
	if n.role != Leader {
		return
	}
	index := n.quorumMatch()
	term, ok := n.log.term(index)
	if index <= n.hard.Commit || !ok || term != n.hard.Term {
		return
	}
	for _, e := range n.log.slice(n.hard.Commit+1, index, 1<<62) {
		if e.Kind == EntryCommand {
			n.uncommitted = max(0, n.uncommitted-len(e.Data))
		}
	}
	n.setCommit(index)
	n.announceCommit()
	n.updatePeers()
	if !n.membership().IsVoter(n.cfg.ID) && !n.membershipPending() {
		n.becomeFollower(n.hard.Term, "") // this replica was removed
		return
	}
	n.maybeCommit() // a committed membership may lower the quorum
}

func (n *Node) setCommit(index uint64) {
	if index <= n.hard.Commit {
		return
	}
	n.hard.Commit = index
	n.pruneMemberships()
}

func (n *Node) confirmReads() {
	done := 0
	for _, r := range n.reads {
		ok := n.quorum(func(id string) bool {
			p := n.progress[id]
			return id == n.cfg.ID || (p != nil && p.round >= r.round)
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
	if n.role == Leader && n.transferTo == id && p.match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: id, Term: n.hard.Term})
	}
}
