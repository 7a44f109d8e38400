package routing

import (
	"slices"
	"sort"
	"strings"
)

// Table is an immutable index of a Document.
type Table struct {
	Document *Document
	routes   map[string][]*Route // by host, longest prefix first
	services map[string]*Service
	keys     map[string]*Organisation
	ranked   bool
	// prioritized is true if an organisation states a priority.
	prioritized bool
}

// Compile builds the Table of a valid document.
func Compile(d *Document) *Table {
	t := &Table{
		Document: d, routes: map[string][]*Route{},
		services: map[string]*Service{}, keys: map[string]*Organisation{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for _, list := range t.routes {
		sort.SliceStable(list, func(i, k int) bool { return len(list[i].Prefix) > len(list[k].Prefix) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Organisations {
		for _, key := range d.Organisations[i].Keys {
			t.keys[key] = &d.Organisations[i]
		}
	}
	t.ranked = d.ranked()
	t.prioritized = slices.ContainsFunc(d.Organisations, func(o Organisation) bool { return o.Prioritized })
	return t
}

// Ranked reports whether the document tells more urgent requests from less urgent ones.
func (t *Table) Ranked() bool { return t.ranked }

// Route returns the route of a host with the longest matching path prefix, or nil. It
// ignores the port and the case of the host.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routes[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Organisation returns the organisation that owns an API key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.keys[key] }

// HasKeys reports whether requests need an API key.
func (t *Table) HasKeys() bool { return len(t.Document.Organisations) > 0 }

// Pick returns the service for a random number from [0, 1), in proportion to the weights.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := int(draw * float64(total))
	for _, t := range r.Targets {
		if left < t.Weight {
			return t.Service
		}
		left -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
