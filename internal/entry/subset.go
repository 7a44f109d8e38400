package entry

import (
	"github.com/rhubarbhill/rhubarbhill/balancer"
)

// subsetRule selects the endpoints of each pool that this entry uses.
type subsetRule struct {
	self      balancer.Member
	entries   []balancer.Member
	threshold int // fleets up to this size are used completely
	size      int // endpoints per pool
}

func newSubsetRule(s Settings) subsetRule {
	rule := subsetRule{self: balancer.Member{Name: s.Instance, Zone: s.Zone}, threshold: s.SubsetAbove, size: s.SubsetSize}
	for _, p := range s.Entries {
		rule.entries = append(rule.entries, balancer.Member{Name: p.Name, Zone: p.Zone})
	}
	return rule
}

// apply returns the endpoints to use, and by pool the slots of the other ready
// endpoints.
func (s subsetRule) apply(table []balancer.Endpoint) (used []balancer.Endpoint, outside map[string]int) {
	if len(table) <= s.threshold {
		return table, nil
	}
	pools := map[string][]balancer.Member{}
	for _, e := range table {
		for pool := range e.Serves {
			pools[pool] = append(pools[pool], balancer.Member{Name: e.ID, Zone: e.Zone})
		}
	}
	chosen := map[string]bool{}
	for _, members := range pools {
		for _, name := range balancer.Subset(s.self, s.entries, members, s.size) {
			chosen[name] = true
		}
	}
	outside = map[string]int{}
	for _, e := range table {
		if chosen[e.ID] {
			used = append(used, e)
			continue
		}
		for pool := range e.Serves {
			if e.Ready {
				outside[pool] += e.Capacity
			}
		}
	}
	return used, outside
}
