package control

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/raft"
)

// minVoters is the number of voters below which none is removed.
const minVoters = 3

// maxPromotionLag is how far a learner may be behind to become a voter.
const maxPromotionLag = 16

// markLostVoters tells the node of the voters whose storage is lost. It runs in the
// replica's loop.
func (d *Daemon) markLostVoters(n *raft.Node) {
	s := n.Status()
	for _, id := range d.peers.FindLostStorage(slices.Concat(s.Membership.Voters, s.CommittedMembership.Voters)) {
		if n.MarkLost(id) {
			d.log.WithField("replica", id).Info("voter_abandoned")
		}
	}
}

// repairPolicy decides membership changes of the leader, one at a time.
type repairPolicy struct {
	self         string
	voterLossTicks    int // of silence before a voter counts as lost
	targetVoters int
	maxReplicas  int
}

// nextChange returns the change to make now, if any. present holds the replicas heard
// of lately, by name.
func (p repairPolicy) nextChange(s raft.Status, present map[string]hello) (raft.ConfChange, bool) {
	if s.Role != raft.Leader || s.MembershipPending {
		return raft.ConfChange{}, false
	}
	m := s.Membership
	lost, losses := p.lostVoters(s, present)
	learner := p.readyLearner(s, present)
	switch {
	// With several lost, no further voter may fail. A removal lowers the number of
	// voters that have to agree; a promotion adds one that must not fail.
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
	if old := p.replacedLearner(m, present); old != "" {
		return raft.ConfChange{Kind: raft.RemoveReplica, ID: old}, true
	}
	return p.nextJoin(m, present)
}

// lostVoters counts the voters that were silent for too long, or whose name is in
// use by another storage, so that their log is gone for good. It returns the
// first of them.
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

func (p repairPolicy) replacedLearner(m raft.Membership, present map[string]hello) string {
	for _, id := range m.Learners {
		if storageReplaced(id, present) {
			return id
		}
	}
	return ""
}

// nextJoin adds a replica that is present and no member as a learner.
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
