package routing

// maxPriority is the lowest priority that is told apart from others.
const maxPriority = 9

// MaxRank is the rank of the least urgent requests.
const MaxRank = (maxPriority+1)*(maxPriority+1) - 1

// Rank returns the rank of the requests of an organisation on a route; 0 is the most urgent. The
// organisation may be nil. Its priority takes precedence over that of the route, which orders the
// requests of organisations with the same priority.
func (r *Route) Rank(o *Organisation) int {
	rank := 0
	if o != nil {
		rank = clampPriority(o.Priority) * (maxPriority + 1)
	}
	return rank + clampPriority(r.Priority)
}

func clampPriority(p int) int { return max(0, min(p, maxPriority)) }

// Level returns a rank on the scale from 0 to 9 of engines. Priorities of routes below the third
// share a level.
func Level(rank int) int {
	const levelsPerOrganisation = 3
	organisation, route := rank/(maxPriority+1), rank%(maxPriority+1)
	return min(maxPriority, organisation*levelsPerOrganisation+min(route, levelsPerOrganisation-1))
}

// ranked reports whether routes or organisations have different priorities.
func (d *Document) ranked() bool {
	for i := range d.Routes {
		if clampPriority(d.Routes[i].Priority) != clampPriority(d.Routes[0].Priority) {
			return true
		}
	}
	for _, o := range d.Organisations {
		if clampPriority(o.Priority) != clampPriority(d.Organisations[0].Priority) {
			return true
		}
	}
	return false
}
