package control

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/raft"
)

// minVoters is the number of voters at which none is removed any more.
const minVoters = 3

// maxPromotionLag is the number of log entries that a learner may lag behind
// when it is promoted.
const maxPromotionLag = 16

// markLostVoters marks the voters whose storage is lost, so that the surviving
// voters can form a smaller quorum. It runs in the replica's loop.
func (d *Daemon) markLostVoters(n *raft.Node) {
	s := n.Status()
	for _, id := range d.peers.FindLostStorage(slices.Concat(s.Membership.Voters, s.CommittedMembership.Voters)) {
		if n.MarkLost(id) {
			d.log.WithField("replica", id).Info("voter_abandoned")
		}
	}
}

// repairPolicy decides which membership change the leader makes, one at a time.
type repairPolicy struct {
	self           string
	voterLossTicks int // ticks without a message after which a voter counts as lost
	targetVoters   int
	maxReplicas    int
}

// nextChange returns the membership change to propose now, if any. The map
// present holds the replicas that sent a hello recently, by name.
func (p repairPolicy) nextChange(s raft.Status, present map[string]hello) (raft.ConfChange, bool) {
	if s.Role != raft.Leader || s.MembershipPending {
		return raft.ConfChange{}, false
	}
	m := s.Membership
	lost, losses := p.lostVoters(s, present)
	learner := p.readyLearner(s, present)
	switch {
	// With several voters lost, no further one may fail. A removal lowers the
	// quorum; a promotion adds a voter that must not fail either.
	case losses > 1 && len(m.Voters) > minVoters:
		return raft.ConfChange{Kind: raft.RemoveReplica, ID: lost}, true
	case lost != "" && len(m.Voters) > p.targetVoters && len(m.Voters) > minVoters:
		return raft.ConfChange{Kind: raft.RemoveReplica, ID: lost}, true
	case lost != "" && learner != "":
		return raft.ConfChange{Kind: raft.PromoteLearner, ID: learner}, true
	case lost != "" && len(m.Voters) > minVoters:
		return raft.ConfChange{Kind: raft.RemoveReplica, ID: lost}, true
	case learner != "" && len(m.Voters) < p.targetVoters:
		return raft.ConfChange{Kind: raft.PromoteLearner, ID: learner}, true
	}
	if old := p.lostLearner(s, present); old != "" {
		return raft.ConfChange{Kind: raft.RemoveReplica, ID: old}, true
	}
	return p.nextJoin(m, present)
}

// lostVoters counts the voters that were silent for too long, or whose name is
// used by a replica with other storage, so that their log is gone for good. It
// returns the first of them and the count.
func (p repairPolicy) lostVoters(s raft.Status, present map[string]hello) (first string, count int) {
	for _, id := range s.Membership.Voters {
		if id != p.self && (storageReplaced(id, present) || p.isSilent(s, id)) {
			first = cmp.Or(first, id)
			count++
		}
	}
	return first, count
}

func (p repairPolicy) isSilent(s raft.Status, id string) bool {
	peer, ok := s.Progress[id]
	return ok && peer.TicksSinceMessage >= p.voterLossTicks
}

func storageReplaced(id string, present map[string]hello) bool {
	h, ok := present[replicaName(id)]
	return ok && h.ID != id
}

func replicaName(id string) string {
	if i := strings.LastIndex(id, "."); i >= 0 {
		return id[:i]
	}
	return id
}

func (p repairPolicy) readyLearner(s raft.Status, present map[string]hello) string {
	for _, id := range s.Membership.Learners {
		peer := s.Progress[id]
		if !storageReplaced(id, present) && peer.TicksSinceMessage*4 < p.voterLossTicks && peer.Match > 0 &&
			peer.Match+maxPromotionLag >= s.LastIndex {
			return id
		}
	}
	return ""
}

// lostLearner returns a learner that was silent for too long or has lost its storage. It
// would otherwise count towards maxReplicas for ever and keep new replicas out. If it
// returns, it joins again.
func (p repairPolicy) lostLearner(s raft.Status, present map[string]hello) string {
	for _, id := range s.Membership.Learners {
		if storageReplaced(id, present) || p.isSilent(s, id) {
			return id
		}
	}
	return ""
}

// nextJoin returns the change that adds a present replica that is not a member
// as a learner.
func (p repairPolicy) nextJoin(m raft.Membership, present map[string]hello) (raft.ConfChange, bool) {
	if len(m.Replicas()) >= p.maxReplicas {
		return raft.ConfChange{}, false
	}
	var joining []hello
	for _, h := range present {
		if !m.Contains(h.ID) {
			joining = append(joining, h)
		}
	}
	if len(joining) == 0 {
		return raft.ConfChange{}, false
	}
	slices.SortFunc(joining, func(a, b hello) int { return strings.Compare(a.ID, b.ID) })
	return raft.ConfChange{Kind: raft.AddLearner, ID: joining[0].ID, Address: joining[0].Address}, true
}
