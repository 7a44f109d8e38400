package control

import (
	"cmp"
	"maps"
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
	// zoneLosses is the number of zones whose loss must leave a majority. If it is 0, zones
	// do not matter.
	zoneLosses int
	zone       func(id string) string // zone of a replica, or "" if it is not known
}

// nextChange returns the membership change to propose now, if any. The map
// present holds the replicas that sent a hello recently, by name.
func (p repairPolicy) nextChange(s raft.Status, present map[string]hello) (raft.ConfChange, bool) {
	if s.Role != raft.Leader || s.MembershipPending {
		return raft.ConfChange{}, false
	}
	m := s.Membership
	lost, losses := p.lostVoters(s, present)
	learner := p.nextVoter(s, present)
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
	if change, ok := p.spread(s, present); ok && lost == "" {
		return change, true
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
		if p.isLost(s, id, present) {
			first = cmp.Or(first, id)
			count++
		}
	}
	return first, count
}

func (p repairPolicy) isLost(s raft.Status, id string, present map[string]hello) bool {
	return id != p.self && (storageReplaced(id, present) || p.isSilent(s, id))
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

// readyLearners returns the learners that may be promoted.
func (p repairPolicy) readyLearners(s raft.Status, present map[string]hello) []string {
	var ready []string
	for _, id := range s.Membership.Learners {
		peer := s.Progress[id]
		if !storageReplaced(id, present) && peer.TicksSinceMessage*4 < p.voterLossTicks && peer.Match > 0 &&
			peer.Match+maxPromotionLag >= s.LastIndex {
			ready = append(ready, id)
		}
	}
	return ready
}

// maxVotersPerZone is the number of voters in one zone above which the loss of zoneLosses zones
// would leave no majority of targetVoters. At least one voter is in each zone, so that few
// voters in many zones are spread too.
func (p repairPolicy) maxVotersPerZone() int {
	return max(1, (p.targetVoters-1)/2/p.zoneLosses)
}

// votersByZone counts the voters that are not lost in each zone that is known.
func (p repairPolicy) votersByZone(s raft.Status, present map[string]hello) map[string]int {
	counts := map[string]int{}
	for _, id := range s.Membership.Voters {
		if zone := p.zone(id); zone != "" && !p.isLost(s, id, present) {
			counts[zone]++
		}
	}
	return counts
}

// nextVoter returns the learner to promote next, or "". With zone losses, it is one in the zone
// with the fewest voters. One in a zone that has its maximum is promoted only if a voter is
// lost, since any voter then helps, or if no replica of another zone is present.
func (p repairPolicy) nextVoter(s raft.Status, present map[string]hello) string {
	ready := p.readyLearners(s, present)
	if len(ready) == 0 {
		return ""
	}
	if p.zoneLosses == 0 {
		return ready[0]
	}
	counts := p.votersByZone(s, present)
	best := p.inEmptiestZone(ready, counts)
	if counts[p.zone(best)] < p.maxVotersPerZone() {
		return best
	}
	if _, losses := p.lostVoters(s, present); losses > 0 {
		return best
	}
	for _, h := range present {
		if !slices.Contains(s.Membership.Voters, h.ID) && h.Zone != "" && counts[h.Zone] < p.maxVotersPerZone() {
			return "" // it is ready soon
		}
	}
	return best
}

// inEmptiestZone returns the replica in the zone with the fewest voters, the first of several.
// One whose zone is not known comes last.
func (p repairPolicy) inEmptiestZone(ids []string, counts map[string]int) string {
	return slices.MinFunc(ids, func(a, b string) int {
		voters := func(id string) int {
			if zone := p.zone(id); zone != "" {
				return counts[zone]
			}
			return len(counts) + p.targetVoters
		}
		return cmp.Compare(voters(a), voters(b))
	})
}

// spread returns the change that moves a vote from a zone with too many voters to another one:
// it promotes a learner there first and then removes a voter of the crowded zone, so that the
// voters never fall below the target. No voter may be lost.
func (p repairPolicy) spread(s raft.Status, present map[string]hello) (raft.ConfChange, bool) {
	if p.zoneLosses == 0 || len(s.Membership.Voters) < p.targetVoters {
		return raft.ConfChange{}, false
	}
	counts := p.votersByZone(s, present)
	crowded := ""
	for _, zone := range slices.Sorted(maps.Keys(counts)) {
		if counts[zone] > p.maxVotersPerZone() && counts[zone] > counts[crowded] {
			crowded = zone
		}
	}
	if crowded == "" {
		return raft.ConfChange{}, false
	}
	if len(s.Membership.Voters) > p.targetVoters {
		id := p.removable(s, crowded)
		return raft.ConfChange{Kind: raft.RemoveReplica, ID: id}, id != ""
	}
	elsewhere := slices.DeleteFunc(p.readyLearners(s, present), func(id string) bool {
		zone := p.zone(id)
		return zone == "" || counts[zone] >= p.maxVotersPerZone()
	})
	if len(elsewhere) == 0 {
		return raft.ConfChange{}, false
	}
	return raft.ConfChange{Kind: raft.PromoteLearner, ID: p.inEmptiestZone(elsewhere, counts)}, true
}

// removable returns the voter of a zone that holds the least of the log, other than this
// replica, or "".
func (p repairPolicy) removable(s raft.Status, zone string) string {
	least := ""
	for _, id := range s.Membership.Voters {
		if id != p.self && p.zone(id) == zone && (least == "" || s.Progress[id].Match < s.Progress[least].Match) {
			least = id
		}
	}
	return least
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
// as a learner. With zone losses, one of the zone with the fewest members comes first.
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
	members := map[string]int{} // by zone
	if p.zoneLosses > 0 {
		for _, id := range m.Replicas() {
			members[p.zone(id)]++
		}
	}
	slices.SortFunc(joining, func(a, b hello) int {
		return cmp.Or(cmp.Compare(members[a.Zone], members[b.Zone]), strings.Compare(a.ID, b.ID))
	})
	return raft.ConfChange{Kind: raft.AddLearner, ID: joining[0].ID, Address: joining[0].Address}, true
}
