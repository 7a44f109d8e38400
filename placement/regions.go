package placement

import (
	"slices"
	"strings"
	"time"
)

// Regions are the regions in which a request may be served. The zero value allows all.
type Regions struct {
	// Bound is true if only the named regions are allowed, or none if there are no names.
	Bound bool
	Names []string
}

// Allow reports whether a region is allowed. An unknown region, which has no name, is allowed
// only to requests that are not bound.
func (r Regions) Allow(region string) bool {
	return !r.Bound || region != "" && slices.Contains(r.Names, region)
}

// Intersect returns the regions that both allow.
func (r Regions) Intersect(o Regions) Regions {
	if !r.Bound {
		return o
	}
	if !o.Bound {
		return r
	}
	common := Regions{Bound: true}
	for _, name := range r.Names {
		if o.Allow(name) {
			common.Names = append(common.Names, name)
		}
	}
	return common
}

// Disjoint reports whether no endpoint can serve both a request bound to r and one bound to o.
func (r Regions) Disjoint(o Regions) bool {
	return r.Bound && o.Bound && !slices.ContainsFunc(r.Names, o.Allow)
}

// key identifies requests that are bound to the same regions.
func (r Regions) key() string {
	if !r.Bound {
		return ""
	}
	return "=" + strings.Join(r.Names, "\x00") // differs from the key of an unbound request if no region is named
}

// NoneAllowed reports whether a request is bound to regions in which no endpoint could serve it,
// whatever endpoints it excludes and whatever their load, health and weights.
func (p *Pool) NoneAllowed(r Request) bool {
	if !r.Regions.Bound {
		return false
	}
	for _, s := range p.endpoints {
		if p.eligible(s, Request{Regions: r.Regions}) {
			return false
		}
	}
	return true
}

// Region returns the region of an endpoint at an address, or "" if the region is not known or the
// endpoint is not listed there. A later incarnation at the same address runs on the same machine.
func (p *Pool) Region(id, address string) string {
	if s := p.endpoints[id]; s != nil && s.Address == address {
		return s.Region
	}
	return ""
}

// freeByRegion returns the number of free slots by region. Endpoints whose region is unknown are
// left out.
func (p *Pool) freeByRegion(r Request, now time.Time) map[string]int {
	var free map[string]int
	for _, s := range p.endpoints {
		if n := p.freeSlotsAt(s, r, now); n > 0 && s.Region != "" {
			if free == nil {
				free = map[string]int{}
			}
			free[s.Region] += n
		}
	}
	return free
}

// RefusalVerdict returns why a request is refused that could not be placed with the given verdict.
func (p *Pool) RefusalVerdict(r Request, v Verdict) Verdict {
	if p.NoneAllowed(r) {
		return NoAllowedRegion
	}
	return v
}

// freeFor returns the number of free slots of another group that a request may use.
func (g peerGroup) freeFor(r Regions) int {
	if !r.Bound {
		return g.freeSlots
	}
	free := 0
	for region, n := range g.freeByRegion {
		if r.Allow(region) {
			free += n
		}
	}
	return min(free, g.freeSlots)
}

// take counts a free slot of another group as used by a request that was redirected there.
func (g *peerGroup) take(r Regions) {
	g.freeSlots--
	for region, n := range g.freeByRegion {
		if r.Bound && n > 0 && r.Allow(region) {
			g.freeByRegion[region]--
			return
		}
	}
}
