package raft

// Abandon says that the storage of a replica is lost for good, as is proved by
// a replica of the same name that comes back with an empty disk under another
// storage identity. It is never taken back, and must be true: an identifier that
// is abandoned may never vote or acknowledge again. It is not persisted; the
// owner says so again after a restart.
//
// The other voters can then decide without the abandoned ones; see quorum. A
// campaign counts without those that were abandoned when it started, and so does
// the leader that it elects. A leader that needs more than that fails its quorum
// check and stands for election again. Abandon reports whether this is news.
func (n *Node) Abandon(id string) bool {
	if id == n.cfg.ID || n.abandoned[id] {
		return false
	}
	n.abandoned[id] = true
	return true
}

// quorum reports whether the replicas for which has returns true are enough of
// the newest voters and, while a membership change is pending, of the voters
// before it. Elections, commits, reads and the quorum check all need it, so any
// two of them share a voter set of which both need enough:
//
// Two leaders differ by at most one pending change from the newest membership
// that both hold as committed. If one of them is further ahead, then the change
// between was committed with enough of the voters that the other one needs too,
// one of these held it when it voted, and the other one has it.
func (n *Node) quorum(has func(id string) bool) bool {
	if !n.enough(n.membership().Voters, has) {
		return false
	}
	return !n.membershipPending() || n.enough(n.committedMembership().Voters, has)
}

// enough reports whether has holds for a majority of the voters or, if some voter
// is lost, for a read quorum of those that are not. A read quorum is as many as
// intersect every majority: half of an even number of voters, so that 4 voters
// survive two lost disks, or a lost disk and an unreachable voter.
//
// Any two such sets of the same voters intersect:
//
//   - Two majorities do, and a majority and a read quorum do.
//   - Two read quorums X and Y, each half of the voters, each counted by a campaign
//     that knew of a lost voter when it started: if they did not intersect, then
//     X's lost voter x would be in Y, and Y's lost voter y in X. Now x answered Y
//     after Y started, so after y was lost, so after y answered X, so after X
//     started, so after x was lost: but what is lost answers nothing.
//
// The second point is why the lost voters are fixed when a campaign starts.
func (n *Node) enough(voters []string, has func(id string) bool) bool {
	count, sound, losses := 0, 0, 0
	for _, id := range voters {
		if has(id) {
			count++
		}
		if n.lost[id] {
			losses++
		} else if has(id) {
			sound++
		}
	}
	majority := len(voters)/2 + 1
	readQuorum := len(voters) - majority + 1
	return count >= majority || (losses > 0 && sound >= readQuorum)
}

// quorumMatch is the highest index that a quorum holds.
func (n *Node) quorumMatch() uint64 {
	var highest uint64
	for _, id := range n.electorate() {
		index := n.match(id)
		if index > highest && n.quorum(func(id string) bool { return n.match(id) >= index }) {
			highest = index
		}
	}
	return highest
}

// match is the highest index that a replica is known to hold.
func (n *Node) match(id string) uint64 {
	if id == n.cfg.ID {
		return n.log.stable
	}
	if p := n.progress[id]; p != nil {
		return p.match
	}
	return 0
}
