package routing

// maxPriority is the lowest priority that is told apart from others.
const maxPriority = 9

// MaxRank is the rank of the least urgent requests.
const MaxRank = (maxPriority+1)*(maxPriority+1) - 1

// Rank returns the rank of the requests of an organisation on a route; 0 is the most urgent. The
// organisation may be nil. If it states a priority, that takes precedence over the priority of the
// route, which orders the requests of organisations with the same priority.
func (r *Route) Rank(o *Organisation) int {
	priority := r.Priority
	if o != nil && o.Prioritized {
		priority = o.Priority
	}
	return clampPriority(priority)*(maxPriority+1) + clampPriority(r.Priority)
}

func clampPriority(p int) int { return max(0, min(p, maxPriority)) }

// Level returns a rank on the scale from 0 to 9 of engines. It is the priority of the route if no
// organisation states a priority. Otherwise, priorities of routes below the third share a level.
func (t *Table) Level(rank int) int {
	const levelsPerPriority = 3
	priority, route := rank/(maxPriority+1), rank%(maxPriority+1)
	if !t.prioritized {
		return min(maxPriority, route)
	}
	return min(maxPriority, priority*levelsPerPriority+min(route, levelsPerPriority-1))
}

// ranked reports whether requests may have different ranks.
func (d *Document) ranked() bool {
	type statedPriority struct {
		stated   bool
		priority int
	}
	distinct := map[statedPriority]*Organisation{} // there may be many organisations and routes
	for i := range d.Organisations {
		o := &d.Organisations[i]
		distinct[statedPriority{o.Prioritized, o.Priority}] = o
	}
	first, found := 0, false
	differs := func(rank int) bool {
		if !found {
			first, found = rank, true
		}
		return rank != first
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if (r.Anonymous || len(d.Organisations) == 0) && differs(r.Rank(nil)) {
			return true
		}
		for _, o := range distinct {
			if differs(r.Rank(o)) {
				return true
			}
		}
	}
	return false
}
