package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// followedBy returns the core machines to which an entry has a session, by its log.
func followedBy(p *process) []string {
	open := map[string]bool{}
	for _, line := range p.grepLog(`"replica_`) {
		var entry struct {
			Message string `json:"message"`
			Fields  struct {
				Replica string `json:"replica"`
			} `json:"fields"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil {
			continue
		}
		switch entry.Message {
		case "replica_connected":
			open[entry.Fields.Replica] = true
		case "replica_left", "replica_lost", "replica_forgotten":
			delete(open, entry.Fields.Replica)
		}
	}
	var list []string
	for address := range open {
		list = append(list, address[:len(address)-len(fmt.Sprintf(":%d", internalPort))])
	}
	slices.Sort(list)
	return list
}

// ninthCase runs the nine core machines of a grown site. A server deregisters at one of them.
func ninthCase(c *cluster) (int, error) {
	const lingers = 5 * time.Second // beyond drainBound
	zones := []string{"z1", "z2", "z3", "z1", "z2", "z3", "z4", "z4", "z1"}
	var controls []*process
	var ips []string
	for i := range zones {
		ips = append(ips, c.ip(1, 10+i))
	}
	seeds := ips[:3]
	for i, ip := range ips {
		p, err := c.control(fmt.Sprintf("core-%d", i+1), ip, zones[i], seeds, true)
		if err != nil {
			return failed, err
		}
		controls = append(controls, p)
	}
	nodes := func() []string { return ips }
	if _, ok := c.submit(nodes, "/config/replace", plainConfig(1), 15*time.Second); !ok {
		return failed, errors.New("the first configuration was not acknowledged")
	}
	time.Sleep(12 * time.Second) // all that may become members have become members
	c.noteMembers(controls)
	var outside *process
	for _, p := range controls {
		if len(p.grepLog(`"membership_changed"`)) == 0 {
			outside = p
		}
	}
	if outside == nil {
		c.note("all nine machines are members; held")
		return held, nil
	}
	c.note("%s (%s) is no member", outside.name, outside.ip)
	members := func() []string {
		return slices.DeleteFunc(slices.Clone(ips), func(ip string) bool { return ip == outside.ip })
	}
	servers, err := c.dispatch("z4", members)
	if err != nil {
		return failed, err
	}
	var front *process
	for round := range 3 { // four entries a zone, as on the sites; a name draws the replicas that it follows
		var fronts []*process
		for i := range 4 {
			n := 4*round + i
			p, err := c.relay(fmt.Sprintf("front-z4-%d", n+1), c.ip(2, 10+n), "z4", seeds)
			if err != nil {
				return failed, err
			}
			fronts = append(fronts, p)
		}
		time.Sleep(6 * time.Second)
		for _, p := range fronts {
			follows := followedBy(p)
			c.note("%s follows %v", p.name, follows)
			if front == nil && !slices.ContainsFunc(follows, func(ip string) bool { return slices.Contains(seeds, ip) || ip == outside.ip }) {
				front = p
			}
		}
		if front != nil {
			break
		}
		for _, p := range fronts {
			p.kill()
		}
	}
	if front == nil {
		return failed, errors.New("each entry follows a seed")
	}
	gone := servers[0]
	if !waitFor(10*time.Second, func() bool {
		_, _, _ = order(front.ip, "/book/warm", fmt.Sprintf("warm-%d", time.Now().UnixNano()), nil, 1500*time.Millisecond)
		return len(gone.runsAfter(time.Time{})) > 0
	}) {
		return failed, errors.New("the server that is to leave gets no requests")
	}
	time.Sleep(2 * stability)
	if trouble {
		gone.nodes = func() []string { return []string{outside.ip} }
	}
	node, left := gone.leave()
	if node == "" {
		return failed, errors.New("the departure was not confirmed")
	}
	c.note("%s deregistered; %s confirmed it", gone.id, node)
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(left.Add(drainBound + lingers)); n++ {
		id := fmt.Sprintf("order-%d", n)
		wg.Go(func() {
			status, _, err := order(front.ip, "/book/"+id, id, nil, 1500*time.Millisecond)
			c.note("client: %s answered %d %v", id, status, err)
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	_ = gone.listener.Close()
	late := gone.runsAfter(left.Add(drainBound))
	if len(late) > 0 {
		c.note("BROKEN: DRAIN: %d requests reached %s later than %v after its confirmed departure", len(late), gone.id, drainBound)
		return broken, nil
	}
	c.note("held")
	return held, nil
}
