package control

import (
	"maps"
	"slices"

	"github.com/rhubarbhill/rhubarbhill/raft"
)

// initialMembership returns the voters of a new cluster, from replica ID to
// address, if this replica may bootstrap it: it is the first of the configured
// voters by name, and all of them are present and have no log. If any replica
// has a log, the cluster exists already; this replica has then lost its disk
// and must join the cluster instead.
func initialMembership(self hello, voters map[string]string, present map[string]hello) (map[string]string, bool) {
	names := slices.Sorted(maps.Keys(voters))
	if !self.Empty || len(names) == 0 || names[0] != self.Name {
		return nil, false
	}
	members := map[string]string{self.ID: self.Address}
	for _, name := range names[1:] {
		h, ok := present[name]
		if !ok || !h.Empty {
			return nil, false
		}
		members[h.ID] = h.Address
	}
	for name, h := range present {
		if name != self.Name && !h.Empty {
			return nil, false
		}
	}
	return members, true
}

func bootstrapSnapshot(members map[string]string) (raft.Snapshot, raft.HardState) {
	s := raft.BootstrapSnapshot(slices.Collect(maps.Keys(members)), members, nil)
	return s, raft.HardState{Term: s.Term, Commit: s.Index}
}
