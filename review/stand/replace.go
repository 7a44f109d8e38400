package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// plainConfig is a small configuration: one unsafe route to one plain service.
func plainConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "book", "host": "yard.example", "path_prefix": "/book/", "route_type": "unsafe", "timeout_ms": 800, "target_latency_ms": 150,
			"priority": 2, "service": "dispatch", "max_attempts": 1, "allow_anonymous": true,
		}},
		"services": []any{map[string]any{"name": "dispatch", "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{},
	}
}

// leaderOf returns the address of the leader that most running control processes name in
// their logs.
func leaderOf(controls []*process) string {
	votes := map[string]int{}
	best := ""
	for _, p := range controls {
		if !p.alive() {
			continue
		}
		lines := p.grepLog(`"leader_changed"`)
		if len(lines) == 0 {
			continue
		}
		var entry struct {
			Fields struct {
				Leader string `json:"leader"`
			} `json:"fields"`
		}
		if json.Unmarshal([]byte(lines[len(lines)-1]), &entry) != nil || entry.Fields.Leader == "" {
			continue
		}
		ip := entry.Fields.Leader[:strings.LastIndex(entry.Fields.Leader, ".")]
		votes[ip]++
		if votes[ip] > votes[best] {
			best = ip
		}
	}
	return best
}

// readConfig asks each node for the configuration and returns the newest version.
func readConfig(ips []string) (newest int, statuses []string) {
	for _, ip := range ips {
		status, data, err := call(http.MethodGet, at(ip, controlPort), "/config/get", nil)
		if err != nil {
			statuses = append(statuses, "no response")
			continue
		}
		statuses = append(statuses, fmt.Sprint(status))
		var d struct {
			Version int `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &d) == nil {
			newest = max(newest, d.Version)
		}
	}
	return newest, statuses
}

// replaceOne removes one machine of the core for good, one that does not lead. A second later
// an empty one starts at another address. Its seeds are three of the machines that serve
// control then; the leader is one of them only with SEEDS=leader.
func (c *cluster) replaceOne(round int, controls *[]*process) error {
	leader := leaderOf(*controls)
	var old *process
	for _, p := range *controls {
		if p.alive() && p.ip != leader && old == nil {
			old = p
		}
	}
	var seeds []string
	for _, p := range *controls {
		if p.alive() && p != old && p.ip != leader {
			seeds = append(seeds, p.ip)
		}
	}
	seeds = seeds[len(seeds)-3:]
	if os.Getenv("SEEDS") == "leader" {
		seeds[0] = leader
	}
	c.note("round %d: leader %s; %s (%s) is removed for good", round+1, leader, old.name, old.ip)
	old.kill()
	time.Sleep(time.Second)
	ip := c.ip(1, 20+round)
	p, err := c.control(fmt.Sprintf("core-%d", 6+round), ip, "z1", seeds, false)
	if err != nil {
		return err
	}
	*controls = append(*controls, p)
	c.note("its successor %s starts at %s with the seeds %v", p.name, ip, seeds)
	return nil
}

// noteMembers records the members that each running replica knows.
func (c *cluster) noteMembers(controls []*process) {
	for _, p := range controls {
		if !p.alive() {
			continue
		}
		lines := p.grepLog(`"membership_changed"`)
		if len(lines) == 0 {
			c.note("  %s is no member of the core", p.name)
			continue
		}
		var entry struct {
			Fields struct {
				Voters   []string `json:"voters"`
				Learners []string `json:"learners"`
			} `json:"fields"`
		}
		_ = json.Unmarshal([]byte(lines[len(lines)-1]), &entry)
		c.note("  %s knows the voters %v and learners %v", p.name, entry.Fields.Voters, entry.Fields.Learners)
	}
}

// replaceCase replaces machines of the core one after the other by empty ones at other
// addresses. Each successor has time to catch up before the next replacement.
func replaceCase(c *cluster) (int, error) {
	zones := []string{"z1", "z1", "z2", "z2", "z3"}
	var controls []*process
	var ips []string
	for i := range 5 {
		ips = append(ips, c.ip(1, 10+i))
	}
	seeds := []string{ips[0], ips[2], ips[4]}
	for i, ip := range ips {
		p, err := c.control(fmt.Sprintf("core-%d", i+1), ip, zones[i], seeds, true)
		if err != nil {
			return failed, err
		}
		controls = append(controls, p)
	}
	running := func() []string {
		var list []string
		for _, p := range controls {
			if p.alive() {
				list = append(list, p.ip)
			}
		}
		return list
	}
	if _, ok := c.submit(running, "/config/replace", plainConfig(1), 15*time.Second); !ok {
		return failed, errors.New("the first configuration was not acknowledged")
	}
	time.Sleep(8 * time.Second) // all five become voters
	c.noteMembers(controls)
	version := 1
	for round := range 4 {
		if trouble {
			if err := c.replaceOne(round, &controls); err != nil {
				return failed, err
			}
		}
		time.Sleep(catchUp + 2*stability)
		by, ok := c.submit(running, "/config/replace", plainConfig(version+1), 2*ackBound)
		c.note("operator: version %d acknowledged: %v %s", version+1, ok, by)
		if ok {
			version++
		}
		newest, statuses := readConfig(running())
		c.note("operator: newest version read %d, answers %v", newest, statuses)
		c.noteMembers(controls)
	}
	newest := 0
	for end := time.Now().Add(2 * stability); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		var statuses []string
		newest, statuses = readConfig(running())
		c.note("operator: newest version read %d, answers %v", newest, statuses)
	}
	if newest < version {
		c.note("BROKEN: version %d was acknowledged and is not read back", version)
		return broken, nil
	}
	c.note("held")
	return held, nil
}
