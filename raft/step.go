package raft

// Step processes a message from another replica. It drops messages that are
// invalid or do not apply in the node's current state.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || n.lostReplicas[m.From] || m.validate() != nil {
		return
	}
	switch {
	case m.Term > n.hardState.Term:
		if !n.adoptTerm(m) {
			return
		}
	case m.Term < n.hardState.Term:
		n.stepStaleTerm(m)
		return
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.onVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.onVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.onLeaderMessage(m)
	case MsgTimeoutNow:
		if n.leader == m.From && n.canCampaign() {
			n.campaign(Candidate, true)
		}
	default:
		n.onFollowerMessage(m)
	}
}

// adoptTerm handles a message with a higher term. It adopts the term if the
// message proves that a replica is in it, and reports whether Step should go on
// with the message.
func (n *Node) adoptTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		n.onVote(m)
		return false
	case MsgPreVoteReply:
		if !m.Reject {
			return m.Term == n.hardState.Term+1 // a grant carries the requested term; no replica is in it yet
		}
	case MsgVote:
		// A replica with an active leader ignores vote requests, so that a
		// replica that returns from a partition does not depose the leader.
		if !m.LeadershipTransfer && n.leaderAlive() {
			return false
		}
	}
	leader := ""
	if m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// stepStaleTerm handles messages of an earlier term. It replies only to those whose
// sender must learn of the newer term.
func (n *Node) stepStaleTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Kind: MsgAppendReply, To: m.From, Term: n.hardState.Term, Index: m.Index, Reject: true})
	case MsgPreVote:
		n.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: n.hardState.Term, Reject: true})
	}
}

// leaderAlive reports whether this node is the leader or has received a message
// from the leader within the minimum election timeout.
func (n *Node) leaderAlive() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.ticksSinceLeader < n.cfg.ElectionTicks
}

func (n *Node) onVote(m Message) {
	grant := n.log.isUpToDate(m.Index, m.LogTerm)
	if m.Kind == MsgPreVote {
		grant = grant && m.Term > n.hardState.Term && !n.leaderAlive()
		reply := Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
		if !grant {
			reply.Term = max(n.hardState.Term, 1)
		}
		n.sendVoteReply(reply)
		return
	}
	grant = grant && (n.hardState.Vote == m.From || (n.hardState.Vote == "" && n.leader == ""))
	if grant {
		n.hardState.Vote = m.From
		n.resetTimeout()
	}
	n.sendVoteReply(Message{Kind: MsgVoteReply, To: m.From, Term: n.hardState.Term, Reject: !grant})
}

// sendVoteReply sends a reply with the index and term of the last entry that this
// replica knows to be committed. Without them, a candidate could wait forever for
// the vote of a replica that is removed by the candidate's pending change: the
// removed replica knows that the change is committed and does not campaign, and
// its log may be longer than the candidate's, so that it refuses the vote.
func (n *Node) sendVoteReply(m Message) {
	if term, ok := n.log.term(n.hardState.Commit); ok {
		m.Commit, m.LogTerm = n.hardState.Commit, term
	}
	n.send(m)
}

// learnCommit advances the commit index to that of a vote reply if the log holds
// the same entry at that index.
func (n *Node) learnCommit(m Message) {
	if n.role == Leader || m.LogTerm == 0 {
		return
	}
	if term, ok := n.log.term(m.Commit); ok && term == m.LogTerm {
		n.setCommit(m.Commit)
	}
}

func (n *Node) onVoteReply(m Message) {
	n.learnCommit(m)
	expected := map[MessageKind]Role{MsgPreVoteReply: PreCandidate, MsgVoteReply: Candidate}[m.Kind]
	if n.role != expected {
		return
	}
	if !m.Reject {
		n.votes[m.From] = true
	}
	n.countVotes() // also after a rejection: its commit index may complete a pending change
}

func (n *Node) onLeaderMessage(m Message) {
	if n.role == Leader {
		return // cannot happen: a term has at most one leader
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.elapsed, n.ticksSinceLeader = 0, 0
	switch m.Kind {
	case MsgAppend:
		n.onAppend(m)
	case MsgHeartbeat:
		n.setCommit(min(m.Commit, n.log.lastIndex()))
		n.send(Message{Kind: MsgHeartbeatReply, To: m.From, Term: n.hardState.Term, HeartbeatRound: m.HeartbeatRound})
	case MsgSnapshot:
		n.onSnapshot(m)
	}
}

func (n *Node) onAppend(m Message) {
	reply := Message{Kind: MsgAppendReply, To: m.From, Term: n.hardState.Term}
	if m.Index < n.hardState.Commit && m.Index+uint64(len(m.Entries)) <= n.hardState.Commit {
		reply.Index = n.hardState.Commit // committed entries are the same on all replicas
		n.send(reply)
		return
	}
	prev, entries := m.Index, m.Entries
	if prev < n.hardState.Commit {
		entries = entries[n.hardState.Commit-prev:]
		prev = n.hardState.Commit
	} else if term, ok := n.log.term(prev); !ok || term != m.LogTerm {
		reply.Index, reply.Reject, reply.Hint = m.Index, true, n.conflictHint(m)
		n.send(reply)
		return
	}
	for i, e := range entries {
		term, ok := n.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			n.truncate(e.Index)
		}
		for _, added := range entries[i:] {
			if err := n.appendEntry(added); err != nil {
				return // cannot happen: Message.validate decoded it
			}
		}
		break
	}
	last := prev + uint64(len(entries))
	n.setCommit(min(m.Commit, last))
	reply.Index = last
	n.send(reply)
}

// conflictHint returns the highest index at which the logs can match, so that the
// leader skips entries that cannot.
func (n *Node) conflictHint(m Message) uint64 {
	hint := min(m.Index-1, n.log.lastIndex())
	for hint > n.hardState.Commit {
		if term, ok := n.log.term(hint); !ok || term <= m.LogTerm {
			break
		}
		hint--
	}
	return hint
}

func (n *Node) onSnapshot(m Message) {
	c := m.Snapshot
	reply := Message{Kind: MsgSnapshotReply, To: m.From, Term: n.hardState.Term, Index: c.Index}
	switch {
	case c.Index <= n.hardState.Commit:
		reply.Commit = n.hardState.Commit
	case c.Offset == 0:
		n.incomingSnapshot = &Snapshot{Index: c.Index, Term: c.Term, Membership: c.Membership.Clone()}
	}
	if reply.Commit == 0 {
		n.receiveChunk(c, &reply)
	}
	n.send(reply)
}

func (n *Node) receiveChunk(c *SnapshotChunk, reply *Message) {
	in := n.incomingSnapshot
	if in == nil || in.Index != c.Index {
		reply.Reject = true
		return
	}
	if c.Offset == uint64(len(in.Data)) {
		in.Data = append(in.Data, c.Data...)
	}
	reply.Hint = uint64(len(in.Data))
	if reply.Hint == c.Total {
		n.installSnapshot(*in)
		reply.Commit = c.Index
	}
}

func (n *Node) installSnapshot(s Snapshot) {
	n.incomingSnapshot = nil
	if term, ok := n.log.term(s.Index); ok && term == s.Term {
		n.setCommit(s.Index) // the log already has these entries
		return
	}
	n.snapshot, n.receivedSnapshot = s, &s
	n.log.reset(s.Index, s.Term)
	n.memberships = []Membership{s.Membership}
	n.hardState.Commit, n.applied = s.Index, s.Index
}

func (n *Node) onFollowerMessage(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.ticksSinceMessage = 0
	switch m.Kind {
	case MsgAppendReply:
		n.onAppendReply(m.From, p, m)
	case MsgHeartbeatReply:
		n.onHeartbeatReply(m.From, p, m)
	case MsgSnapshotReply:
		n.onSnapshotReply(m.From, p, m)
	}
}
