package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// core starts n control processes on machines of the core. The three seeds are the first ones.
func (c *cluster) core(n int) (ips []string, err error) {
	for i := range n {
		ips = append(ips, c.ip(1, 10+i))
	}
	for i, ip := range ips {
		if _, err := c.control(fmt.Sprintf("core-%d", i+1), ip, fmt.Sprintf("z%d", i%3+1), ips[:3], true); err != nil {
			return nil, err
		}
	}
	return ips, nil
}

// dispatch starts seven plain servers, the first of which is alone in its zone.
func (c *cluster) dispatch(zone string, nodes func() []string) (servers []*server, err error) {
	for i := range 7 {
		in := zone
		if i > 0 {
			in = fmt.Sprintf("z%d", i%2+2)
		}
		s, err := newServer(c, fmt.Sprintf("i-%d", i+1), c.ip(4, 10+i), "dispatch", in, nodes)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// departedCase freezes one front machine for some seconds. Meanwhile a server deregisters,
// which a machine in touch confirms, and goes on serving as the pages say.
func departedCase(c *cluster) (int, error) {
	const (
		frozen  = 5 * time.Second
		leaveAt = 4200 * time.Millisecond // after the start of the freeze
		lingers = 5 * time.Second         // beyond drainBound
	)
	ips, err := c.core(5)
	if err != nil {
		return failed, err
	}
	nodes := func() []string { return ips }
	var fronts []*process
	for i := range 4 {
		p, err := c.relay(fmt.Sprintf("front-%d", i+1), c.ip(2, 10+i), fmt.Sprintf("z%d", i%3+1), ips[:3])
		if err != nil {
			return failed, err
		}
		fronts = append(fronts, p)
	}
	if _, ok := c.submit(nodes, "/config/replace", plainConfig(1), 15*time.Second); !ok {
		return failed, errors.New("the first configuration was not acknowledged")
	}
	servers, err := c.dispatch("z1", nodes)
	if err != nil {
		return failed, err
	}
	served := waitFor(20*time.Second, func() bool {
		_, _, _ = order(fronts[0].ip, "/book/warm", fmt.Sprintf("warm-%d", time.Now().UnixNano()), nil, 1500*time.Millisecond)
		return len(servers[0].runsAfter(time.Time{})) > 0
	})
	if !served {
		return failed, errors.New("the server that is to leave gets no requests")
	}
	time.Sleep(2 * stability) // a calm core, machines in touch
	begun := time.Now()
	if trouble {
		c.note("front-1 freezes")
		fronts[0].signal(sigStop)
	}
	time.Sleep(leaveAt)
	gone := servers[0]
	node, left := gone.leave()
	if node == "" {
		return failed, errors.New("the departure was not confirmed")
	}
	c.note("%s deregistered; %s confirmed it", gone.id, node)
	time.Sleep(time.Until(begun.Add(frozen)))
	if trouble {
		fronts[0].signal(sigCont)
		c.note("front-1 wakes")
	}
	inTouch := time.Now().Add(stability)
	end := left.Add(drainBound + lingers)
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("order-%d", n)
		wg.Go(func() {
			status, _, err := order(fronts[0].ip, "/book/"+id, id, nil, 1500*time.Millisecond)
			c.note("client: %s answered %d %v", id, status, err)
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	_ = gone.listener.Close()
	bound := inTouch
	if b := left.Add(drainBound); b.After(bound) {
		bound = b
	}
	late := gone.runsAfter(bound)
	for _, r := range late {
		c.note("late: %s reached %s %.3f s after its departure was confirmed, front-1 in touch since %.3f s", r.id, gone.id, r.at.Sub(left).Seconds(), r.at.Sub(inTouch).Seconds())
	}
	if len(late) > 0 {
		c.note("BROKEN: DRAIN: %d requests reached %s later than %v after its confirmed departure", len(late), gone.id, drainBound)
		return broken, nil
	}
	c.note("held")
	return held, nil
}
