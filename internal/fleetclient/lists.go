package fleetclient

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// updateProcesses applies a full list of processes, or its changes, from a replica. The
// caller holds mu.
func (c *Client) updateProcesses(address string, m wire.Fleet) {
	held := c.processes[address]
	if m.Whole || held == nil {
		if !m.Whole {
			return // changes to a list that was not requested from this replica
		}
		held = map[string]wire.Process{}
		c.processes[address] = held
	}
	for _, p := range m.Processes {
		held[p.Name] = p
	}
	for _, name := range m.Left {
		delete(held, name)
		delete(c.unlisted, name)
	}
}

// unlistedProcess is a process that was listed last by a replica whose session has ended.
type unlistedProcess struct {
	process wire.Process
	lostAt  time.Time
}

// dropProcesses drops the list of a replica. What it listed is kept for processRetention, so
// that this process does not take itself for the only one until another replica has sent its
// list. The caller holds mu.
func (c *Client) dropProcesses(address string, now time.Time) {
	for name, p := range c.processes[address] {
		c.unlisted[name] = unlistedProcess{p, now}
	}
	delete(c.processes, address)
}

// ServerList returns the servers that a replica reports or reported recently. Recent ones
// are included because a restarted replica knows no servers until they check in again,
// and a sender of requests notices by itself that a server does not answer. Addresses are
// reused, so only the most recently started server at each address is listed. One whose
// service has no endpoints in the routing document in force is listed only if it has the
// address for itself: a check-in for an unknown service must not hide another server.
func (c *Client) ServerList() []wire.Server {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.serverView.Live() {
		c.seenServers[r.Endpoint] = seenServer{withKnownLoads(r.Report, c.seenServers[r.Endpoint].server), now}
	}
	newest := map[string]wire.Server{} // by address
	for id, l := range c.seenServers {
		if now.Sub(l.lastSeen) > serverRetention || c.hasLeft(id, l.server.Started) {
			delete(c.seenServers, id)
			continue
		}
		if held, taken := newest[l.server.Address]; !taken || c.replaces(l.server, held) {
			newest[l.server.Address] = l.server
		}
	}
	for id, d := range c.departed {
		if now.Sub(d.at) > departureRetention {
			delete(c.departed, id)
		}
	}
	list := make([]wire.Server, 0, len(newest))
	for _, address := range slices.Sorted(maps.Keys(newest)) {
		list = append(list, newest[address])
	}
	return list
}

// HasLeft reports whether a replica has told that an incarnation of a server has deregistered.
func (c *Client) HasLeft(id string, started uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasLeft(id, started)
}

// hasLeft is like HasLeft. The caller holds mu.
func (c *Client) hasLeft(id string, started uint64) bool {
	d, left := c.departed[id]
	return left && d.started >= started
}

// withKnownLoads returns a server with what was known of its engine before, if no stager has
// reported it to the replicas since they started.
func withKnownLoads(s, held wire.Server) wire.Server {
	if s.Loads.Reported || !held.Loads.Reported || s.Started != held.Started {
		return s
	}
	s.Loads, s.Loading, s.Models = held.Loads, held.Loading, held.Models
	return s
}

// replaces reports whether a server is listed instead of another one at the same address. The
// caller holds mu.
func (c *Client) replaces(s, held wire.Server) bool {
	if known := c.hasEndpoints(s.Service); known != c.hasEndpoints(held.Service) {
		return known
	}
	return s.Started > held.Started
}

// hasEndpoints reports whether the routing document in force names a service with endpoints.
// Before the first document, every service counts. The caller holds mu.
func (c *Client) hasEndpoints(service string) bool {
	if c.table == nil {
		return true
	}
	s := c.table.Service(service)
	return s != nil && s.Origin == ""
}

// Processes returns the processes of this role that any replica reports or reported
// recently, including this one, sorted by name.
func (c *Client) Processes() []wire.Process {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	byName := map[string]wire.Process{}
	for name, u := range c.unlisted {
		if now.Sub(u.lostAt) >= processRetention {
			delete(c.unlisted, name)
			continue
		}
		byName[name] = u.process
	}
	for _, address := range slices.Sorted(maps.Keys(c.processes)) {
		maps.Copy(byName, c.processes[address])
	}
	list := make([]wire.Process, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, byName[name])
	}
	return list
}
