package relay

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// errRegionNotAllowed means that the request was not sent because the endpoint is in none of its
// allowed regions, as far as this entry knows. A broker with other settings may have granted its
// slot, or the routing document has changed since.
var errRegionNotAllowed = errors.New("region of the endpoint is not allowed")

const (
	// maxRegions and maxRegionBytes limit the regions of a deployment and their names, so that
	// those of a slot request take up at most 8 KB of a message. Deployments have up to a few
	// dozen zones.
	maxRegions     = 64
	maxRegionBytes = 128
	// maxWoken is the number of requests that try again when a slot becomes free while requests
	// wait that are bound to regions: the first ones may not be allowed to use it. A higher
	// number costs time for each answer.
	maxWoken = 8
)

// knownRegions returns the regions that zones belong to.
func knownRegions(zones map[string]string) map[string]bool {
	known := map[string]bool{}
	for _, region := range zones {
		if region != "" {
			known[region] = true
		}
	}
	return known
}

// endpoint converts a server to an endpoint in the region of its zone.
func (d *Daemon) endpoint(s wire.Server, service *routing.Service) placement.Endpoint {
	e := endpointOf(s, service)
	e.Region = d.settings.Zones[e.Zone]
	return e
}

// regionsIn returns the allowed regions of requests with a key on a route of a table. Regions
// that no zone belongs to at this entry are left out, since it sends no request there.
func (h *handler) regionsIn(table *routing.Table, route *routing.Route, key string) placement.Regions {
	names, bound := route.AllowedRegions(table.Organisation(key))
	if !bound {
		return placement.Regions{}
	}
	r := placement.Regions{Bound: true, Names: []string{}}
	for _, name := range names {
		if h.regions[name] && !slices.Contains(r.Names, name) {
			r.Names = append(r.Names, name)
		}
	}
	return r
}

// allowedRegions returns the allowed regions of a request. The lists of the table that routed it
// and those of the table in force both apply: a change of the lists is in force for requests that
// wait.
func (h *handler) allowedRegions(q *request) placement.Regions {
	table := h.fleet.Table()
	if table == nil || table == q.table {
		return q.regions
	}
	path, _, _ := strings.Cut(q.target, "?")
	route := table.Route(q.host, path)
	if route == nil {
		return q.regions
	}
	return q.regions.Intersect(h.regionsIn(table, route, q.call.Key))
}

// regionAllowed reports whether a request may be sent to an endpoint, by what this entry knows of
// the endpoint's zone. It is asked right before the request is sent, whoever selected the endpoint.
func (h *handler) regionAllowed(q *request, c placement.Choice) bool {
	regions := h.allowedRegions(q)
	return !regions.Bound || regions.Allow(h.dispatcher.region(q.service, c))
}

// region returns the region of an endpoint at the address that the request would be sent to, or ""
// if this entry does not know it.
func (d *dispatcher) region(service string, c placement.Choice) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).Region(c.ID, c.Address)
}

// refuseOutsideRegions refuses a request if this entry knows no endpoint that serves requests in
// one of its allowed regions. No broker needs to be asked: this entry would send nothing to an
// endpoint that it does not know.
func (d *dispatcher) refuseOutsideRegions(service string, r placement.Request) *refusal {
	if !r.Regions.Bound {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).regionRefusal(r, time.Now()).spread()
}

// regionRefusal refuses a request, without jitter, if no endpoint of the pool serves requests in
// one of its allowed regions.
func (p *poolState) regionRefusal(r placement.Request, now time.Time) *refusal {
	if !p.NoneAllowed(r) {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: NoAllowedRegion,
		retryAfter: retryAfter(placement.SlotResponse{SlotInterval: p.NextSlot(r, now)}),
	}
}

// waitingRegions holds the regions of the queued requests that are bound to some.
type waitingRegions map[chan struct{}]placement.Regions

func (w waitingRegions) add(ready chan struct{}, r placement.Regions) {
	if r.Bound {
		w[ready] = r
	}
}

// mayUse reports whether one of the queued requests may use a slot in a region.
func (w waitingRegions) mayUse(queued int, region string) bool {
	if queued > len(w) {
		return true // some are not bound
	}
	for _, r := range w {
		if r.Allow(region) {
			return true
		}
	}
	return false
}

// addRegion records that a group has endpoints in a region.
func (g *serviceGroups) addRegion(group, region string) {
	if g.regions[group] == nil {
		g.regions[group] = map[string]bool{}
	}
	g.regions[group][region] = true
}

// hasAllowed reports whether a group has endpoints in allowed regions.
func (g *serviceGroups) hasAllowed(group string, r placement.Regions) bool {
	for region := range g.regions[group] {
		if r.Allow(region) {
			return true
		}
	}
	return false
}

// firstGroup returns the group whose broker is asked first for a request: that of the zone or, if
// the request is bound to regions where that one has no endpoints, one of those that have some. A
// redirect would lead there only while a slot is free. The caller holds mu.
func (s *slotCoordinator) firstGroup(service, zone string, r placement.Request, sequence uint64) (placement.Group, bool) {
	own, found := s.groupOfZone(service, zone)
	if !found || !r.Regions.Bound || s.services[service].hasAllowed(own.Name, r.Regions) {
		return own, found
	}
	var allowed []placement.Group
	for _, group := range s.services[service].groups {
		if s.services[service].hasAllowed(group.Name, r.Regions) {
			allowed = append(allowed, group)
		}
	}
	if len(allowed) == 0 {
		return own, true
	}
	return allowed[sequence%uint64(len(allowed))], true // spreads the requests
}

// regionsMessage encodes the names of placement.Regions that are bound. Those that are not bound
// have no message.
type regionsMessage struct {
	Names []string `cbor:"1,keyasint,omitempty"`
}

func newRegionsMessage(r placement.Regions) *regionsMessage {
	if !r.Bound {
		return nil
	}
	return &regionsMessage{Names: r.Names}
}

func (m *regionsMessage) regions() placement.Regions {
	if m == nil {
		return placement.Regions{}
	}
	return placement.Regions{Bound: true, Names: m.Names}
}

func (m *regionsMessage) valid() bool {
	return m == nil || len(m.Names) <= maxRegions && !slices.ContainsFunc(m.Names, func(name string) bool { return len(name) > maxRegionBytes })
}

// regionSlotsMessage encodes the free slots of a group in a region.
type regionSlotsMessage struct {
	_         struct{} `cbor:",toarray"`
	Region    string
	FreeSlots int
}

func newRegionSlotsMessages(free map[string]int) []regionSlotsMessage {
	var list []regionSlotsMessage
	for region, n := range free {
		list = append(list, regionSlotsMessage{Region: region, FreeSlots: n})
	}
	return list
}

// freeByRegion decodes the free slots by region.
func (m *summaryMessage) freeByRegion() map[string]int {
	free := map[string]int{}
	for _, r := range m.Regions {
		free[r.Region] = r.FreeSlots
	}
	return free
}

func (m *summaryMessage) valid() bool {
	return m == nil || len(m.Regions) <= maxRegions && !slices.ContainsFunc(m.Regions, func(r regionSlotsMessage) bool {
		return r.FreeSlots < 0 || r.FreeSlots > maxTokens || len(r.Region) > maxRegionBytes
	})
}
