package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// serversBefore and serversReplaced give a share of 0.44.
	serversBefore   = 9
	serversReplaced = 4
	replaceGap      = time.Second
	// usualLinger is how long a server serves after drainTime (linger_ms of the site file).
	usualLinger = 1500 * time.Millisecond
	// silentThere is how long a server has not checked in at the node where it deregisters.
	silentThere = 7 * time.Second
)

// forgotten replaces servers one after the other. Each deregisters at a node where it last
// checked in some seconds ago. It checks rule DRAIN: no request reaches a server later than
// drainTime after its departure was acknowledged. All machines are in touch all the time.
func forgotten(c *cluster) (bool, error) {
	if _, err := c.controls(5); err != nil {
		return false, err
	}
	nodes := []string{} // all nodes that serve control
	for i := range 5 {
		nodes = append(nodes, fmt.Sprintf("%s:%d", c.ip(11+i), portControl))
	}
	fronts, err := c.fronts(4)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	reached := map[string]map[string]time.Time{} // by server and request
	start := func(i int) (*server, error) {
		s := newServer(c, fmt.Sprintf("i-%d", i+1), "dispatch", 71+i, 6)
		mu.Lock()
		reached[s.id] = map[string]time.Time{}
		mu.Unlock()
		s.handle = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			mu.Lock()
			reached[s.id][r.Header.Get("X-Request-Id")] = time.Now()
			mu.Unlock()
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(w, "booked\n")
		}
		s.nodes = nodes
		if i < serversReplaced {
			s.nodes = nodes[1+i : 2+i] // at first it checks in where it deregisters later
		}
		return s, s.run()
	}
	var servers []*server
	for i := range serversBefore {
		s, err := start(i)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	config := configuration(7, []map[string]any{route("book", "unsafe", "/book/", "dispatch", 800, 1)}, []map[string]any{plainService("dispatch")})
	if !c.configure(config) || !c.awaitReady(fronts) {
		return false, errCannotRun
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	callers := startCallers(ctx, c)
	for i := range serversReplaced { // the new ones come first
		if _, err := start(serversBefore + i); err != nil {
			return false, err
		}
	}
	for i, s := range servers[:serversReplaced] { // they pick other nodes now
		s.setNodes(slices.Delete(slices.Clone(nodes), 1+i, 2+i))
	}
	time.Sleep(silentThere)

	left := map[string]time.Time{}
	var leaving sync.WaitGroup
	for i, s := range servers[:serversReplaced] {
		node := nodes[1+i]
		if !c.trouble {
			node = s.lastNode() // where it has just checked in
		}
		at := s.deregisterAt(node)
		if at.IsZero() {
			return false, errCannotRun
		}
		left[s.id] = at
		leaving.Go(func() {
			time.Sleep(time.Until(at.Add(drainTime + usualLinger)))
			s.exit()
		})
		time.Sleep(replaceGap)
	}
	leaving.Wait()
	stop()
	callers.Wait()
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for id, at := range left {
		for request, when := range reached[id] {
			if when.After(at.Add(drainTime)) {
				late++
				c.note("DRAIN    %s, sent to %s, reaches %s %.3f s after its departure was acknowledged", request, callers.sent[request].front, id, when.Sub(at).Seconds())
			}
		}
	}
	c.note("result   %d requests reached servers too late; %d were sent, %d answered with success", late, len(callers.sent), callers.succeeded)
	if callers.succeeded < len(callers.sent)/4 {
		return false, errCannotRun
	}
	return late == 0, nil
}
