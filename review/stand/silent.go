package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// silentCase stops a front machine as planned while it passes on streams that may not be
// resumed, one of which is preempted by its server and silent for a while.
func silentCase(c *cluster) (int, error) {
	const (
		streams     = 4
		gap         = 100 * time.Millisecond
		preempted   = 2 * time.Second // callers wait for 3.2 s: eight times the pause of 400 ms
		preemptedAt = 6               // event
		timeout     = 6 * time.Second
	)
	ips, err := c.core(3)
	if err != nil {
		return failed, err
	}
	nodes := func() []string { return ips }
	var fronts []*process
	for i := range 4 {
		p, err := c.relay(fmt.Sprintf("front-%d", i+1), c.ip(2, 10+i), fmt.Sprintf("z%d", i%3+1), ips)
		if err != nil {
			return failed, err
		}
		fronts = append(fronts, p)
	}
	var newest string // the request that began last, which is preempted
	var mu sync.Mutex
	var engines []*engine
	for i := range 2 {
		e, err := newEngine(c, fmt.Sprintf("i-%d", i+1), c.ip(3, 10+i), "quotes", fmt.Sprintf("z%d", i+1), nodes)
		if err != nil {
			return failed, err
		}
		e.events = 21
		e.pauses = func(id string, event int) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if event == 1 {
				newest = id
			}
			if trouble && event == preemptedAt && newest == id {
				c.note("%s preempts %s, the newest request, for %v", e.id, id, preempted)
				return preempted
			}
			return gap
		}
		engines = append(engines, e)
	}
	d := engineConfig(1, at(c.ip(4, 90), serverPort))
	delete(d["routes"].([]any)[0].(map[string]any), "stream_resume")
	if _, ok := c.submit(nodes, "/config/replace", d, 15*time.Second); !ok {
		return failed, errors.New("the configuration was not acknowledged")
	}
	if !waitFor(20*time.Second, func() bool {
		status, _, err := call(http.MethodGet, at(fronts[0].ip, readyPort), "/ready", nil)
		return err == nil && status == http.StatusOK
	}) {
		return failed, errors.New("the front machine is not ready")
	}
	time.Sleep(2 * stability)

	results := make([]string, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			id := fmt.Sprintf("quote-%d", i+1)
			results[i] = readStream(fronts[0].ip, id, timeout)
			c.note("client: %s %s", id, results[i])
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	c.note("front-1 gets SIGTERM")
	fronts[0].signal(syscall.SIGTERM)
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
	ends := map[string]string{}
	for _, e := range engines {
		e.emu.Lock()
		for id, end := range e.ends {
			ends[id] = end
		}
		e.emu.Unlock()
	}
	lost := 0
	for i, result := range results {
		id := fmt.Sprintf("quote-%d", i+1)
		switch {
		case ends[id] == "":
			return failed, fmt.Errorf("%s did not run: %s", id, result)
		case !strings.HasPrefix(result, "complete"):
			c.note("lost: %s: %s; its server: %s", id, result, ends[id])
			lost++
		}
	}
	if lost > 0 {
		c.note("BROKEN: LOST: %d of %d streams ended without a complete answer around a planned stop", lost, streams)
		return broken, nil
	}
	c.note("held")
	return held, nil
}

// readStream sends a stream request on a new connection and reads the answer to its end.
func readStream(front, id string, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at(front, frontPort)+"/quote/"+id, strings.NewReader("plan"))
	if err != nil {
		return err.Error()
	}
	request.Host = "yard.example"
	for k, v := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": fmt.Sprint(timeout.Milliseconds()), "X-Model": modelName, "X-Token-Count": "100,105", "X-Prompt-Prefix": "5c1e07a2:40," + "91bd3f06:60",
	} {
		request.Header.Set(k, v)
	}
	begun := time.Now()
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	events := strings.Count(string(data), "data:")
	seconds := time.Since(begun).Seconds()
	if err != nil {
		return fmt.Sprintf("answered %d, broken off after %d events and %.3f s: %v", response.StatusCode, events, seconds, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Sprintf("answered %d", response.StatusCode)
	}
	return fmt.Sprintf("complete, %d events in %.3f s", events, seconds)
}
