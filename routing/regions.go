package routing

import (
	"fmt"
	"net"
	"slices"
	"strings"
)

// AllowedRegions returns the regions in which the requests of an organisation on a route may be
// served. The organisation may be nil. If bound is false, all regions are allowed; if it is true
// and there are no names, none is: the lists of the route and the organisation have no region in
// common.
func (r *Route) AllowedRegions(o *Organisation) (names []string, bound bool) {
	if o == nil || len(o.Regions) == 0 {
		return r.Regions, len(r.Regions) > 0
	}
	if len(r.Regions) == 0 {
		return o.Regions, true
	}
	return intersect(r.Regions, o.Regions), true
}

// intersect returns the names that are in both lists, in the order of the first.
func intersect(a, b []string) []string {
	var common []string
	for _, name := range a {
		if slices.Contains(b, name) {
			common = append(common, name)
		}
	}
	return common
}

// validateRegions returns an error for a list of regions with an empty name. Names of regions
// that do not exist are valid: the document does not state which ones do.
func (d *Document) validateRegions() error {
	for i := range d.Routes {
		if slices.Contains(d.Routes[i].Regions, "") {
			return fmt.Errorf("%w: route %q: an allowed region has no name", ErrInvalid, d.Routes[i].Name)
		}
	}
	for _, o := range d.Organisations {
		if slices.Contains(o.Regions, "") {
			return fmt.Errorf("%w: organisation %q: an allowed region has no name", ErrInvalid, o.Name)
		}
	}
	return nil
}

// HostRegions tells in which regions the entries are that callers of a host may be directed to.
// It is small, unlike the document that it is built from.
type HostRegions struct {
	hosts map[string][]string // regions that all bound routes of a host allow
	// bound is true if an organisation has allowed regions. Callers do not state theirs when they
	// ask for addresses, so that every host may be called by this organisation.
	bound bool
	// organisations are the regions that all bound organisations allow.
	organisations []string
}

// NewHostRegions returns the HostRegions of a document.
func NewHostRegions(d *Document) *HostRegions {
	h := &HostRegions{hosts: map[string][]string{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		if len(r.Regions) == 0 {
			continue
		}
		host := strings.ToLower(r.Host)
		if held, ok := h.hosts[host]; ok {
			h.hosts[host] = intersect(held, r.Regions)
		} else {
			h.hosts[host] = slices.Clone(r.Regions)
		}
	}
	for _, o := range d.Organisations {
		switch {
		case len(o.Regions) == 0:
		case h.bound:
			h.organisations = intersect(h.organisations, o.Regions)
		default:
			h.bound, h.organisations = true, slices.Clone(o.Regions)
		}
	}
	return h
}

// Allowed returns the regions that every request for a host may be served in, besides the
// caller's own. If bound is false, no request for the host is bound to regions. It ignores the
// port and the case of the host.
func (h *HostRegions) Allowed(host string) (names []string, bound bool) {
	names, bound = h.hosts[hostName(host)]
	switch {
	case !h.bound:
		return names, bound
	case !bound:
		return h.organisations, true
	}
	return intersect(names, h.organisations), true
}

// hostName returns a host in lower case without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
