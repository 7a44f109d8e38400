package raft

// MarkLost records that the storage of a replica is permanently lost. The proof
// is a replica of the same name that returns with an empty disk and another
// storage identity. This can't be undone and must be true: the old ID must never
// vote or acknowledge again. The record is not persisted, so the caller must
// repeat the call after a restart. MarkLost reports whether id was not recorded
// before.
//
// The surviving voters can then form a smaller quorum; see hasQuorumOf. A campaign,
// and the leader that it elects, use only the losses known when the campaign
// started. A leader that lacks a quorum because of later losses fails its
// check-quorum, steps down and campaigns again.
func (n *Node) MarkLost(id string) bool {
	if id == n.cfg.ID || n.lostReplicas[id] {
		return false
	}
	n.lostReplicas[id] = true
	return true
}

// hasQuorum reports whether the replicas for which has returns true form a quorum
// of the latest voters and, while a membership change is pending, also one of the
// previous voters. Elections, commits, reads and check-quorum all use it, so any
// two of these decisions need quorums of a common voter set.
//
// Proof: the latest memberships of two leaders are each at most one pending
// change beyond the latest membership that both know as committed. If one leader
// is further ahead, the change between them was committed by a quorum of voters
// of which the other leader needs a quorum too. One voter is in both quorums and
// held the change when it voted, so the other leader has the change as well.
func (n *Node) hasQuorum(has func(id string) bool) bool {
	if !n.hasQuorumOf(n.membership().Voters, has) {
		return false
	}
	return !n.membershipPending() || n.hasQuorumOf(n.committedMembership().Voters, has)
}

// hasQuorumOf reports whether has returns true for a majority of the voters or,
// if a voter is lost, for a read quorum of voters that are not lost. A read
// quorum is the smallest number of voters that intersects every majority. For an
// even number of voters that is half of them, so that 4 voters tolerate two lost
// disks, or one lost disk and one unreachable voter.
//
// Any two such quorums of the same voters intersect:
//
//   - Two majorities intersect, and so do a majority and a read quorum.
//   - Two read quorums X and Y, each half of the voters and each counted by a
//     campaign that knew of a lost voter when it started: if they were disjoint,
//     X's lost voter x would be in Y, and Y's lost voter y in X. Then x replied to
//     Y after Y started, hence after y was lost, hence after y replied to X, hence
//     after X started, hence after x was lost. But a lost replica never replies.
//
// Because of the second case the set of lost voters is fixed when a campaign
// starts.
func (n *Node) hasQuorumOf(voters []string, has func(id string) bool) bool {
	count, surviving, lost := 0, 0, 0
	for _, id := range voters {
		if has(id) {
			count++
		}
		if n.lostAtCampaign[id] {
			lost++
		} else if has(id) {
			surviving++
		}
	}
	majority := len(voters)/2 + 1
	readQuorum := len(voters) - majority + 1
	return count >= majority || (lost > 0 && surviving >= readQuorum)
}

// quorumMatch returns the highest index that is replicated to a quorum.
func (n *Node) quorumMatch() uint64 {
	var highest uint64
	for _, id := range n.electorate() {
		index := n.match(id)
		if index > highest && n.hasQuorum(func(id string) bool { return n.match(id) >= index }) {
			highest = index
		}
	}
	return highest
}

// match returns the highest index that a replica is known to have persisted.
func (n *Node) match(id string) uint64 {
	if id == n.cfg.ID {
		return n.log.stableIndex
	}
	if p := n.progress[id]; p != nil {
		return p.match
	}
	return 0
}
