package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents = 21
	eventGap     = 100 * time.Millisecond
	// preemptedFor is the pause of a preempted request while its tokens are read again.
	// Callers of these routes wait for 3.2 s (eight times the pause of 400 ms).
	preemptedFor = 2 * time.Second
	preemptedAt  = 6 // the event before which it is preempted
)

// silence stops a front machine while a server preempts a stream, and checks rule LOST: the
// connection of a request that was passed on ends with the complete answer.
func silence(c *cluster) (bool, error) {
	if _, err := c.controls(3); err != nil {
		return false, err
	}
	fronts, err := c.fronts(4)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	ended := map[string]string{}  // how the runs ended, by request
	newest := map[string]string{} // request that began last, by server
	for i := range 2 {
		s := newServer(c, fmt.Sprintf("i-%d", i+1), "quote-model", 71+i, 16)
		s.model, s.layers, s.version = "daka510000", 16, 1
		s.handle = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("X-Request-Id")
			mu.Lock()
			newest[s.id] = id
			mu.Unlock()
			end := writeStream(c, w, r, s.id, id, func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if !c.trouble || newest[s.id] != id { // the newest request is preempted
					return 0
				}
				return preemptedFor
			})
			c.note("runs     %s ends %s: %s", s.id, id, end)
			mu.Lock()
			ended[id] = end
			mu.Unlock()
		}
		if err := s.run(); err != nil {
			return false, err
		}
	}
	quote := route("plan", "streaming", "/plan/", "quote-model", 6000, 2)
	quote["target_latency_ms"], quote["target_gap_ms"] = 500, 400
	if !c.configure(configuration(7, []map[string]any{quote}, []map[string]any{engineService("quote-model", "daka510000")})) || !c.awaitReady(fronts) {
		return false, errCannotRun
	}
	time.Sleep(5 * time.Second) // all machines are in touch

	const streams = 4
	results := make([]string, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() { results[i] = c.stream(fronts[0].ip, fmt.Sprintf("%016x", 0xa0+i)) })
	}
	time.Sleep(300 * time.Millisecond)
	fronts[0].signal(syscall.SIGTERM)
	stopped := time.Now()
	wg.Wait()
	c.note("seen     the last stream ended %.3f s after SIGTERM", time.Since(stopped).Seconds())
	time.Sleep(500 * time.Millisecond)

	// Not counted are streams that their server broke off. All of them end well before the
	// last sixth of the grace time and the timeout of the route.
	lost, complete := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for i, result := range results {
		id := fmt.Sprintf("%016x", 0xa0+i)
		switch {
		case result == "complete":
			complete++
		case ended[id] == "":
			c.note("seen     %s did not run", id)
		default:
			lost++
			c.note("LOST     %s: the connection ended without a complete answer (%s); its run: %s", id, result, ended[id])
		}
	}
	c.note("result   %d of %d streams complete, %d lost", complete, streams, lost)
	if complete+lost < streams {
		return false, errCannotRun
	}
	return lost == 0, nil
}

// writeStream answers a request with events. A preempted request pauses once. It returns
// how the run ended.
func writeStream(c *cluster, w http.ResponseWriter, r *http.Request, server, id string, preempted func() time.Duration) string {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	flusher, ok := w.(http.Flusher)
	if !ok {
		return "no flusher"
	}
	for n := 1; n <= streamEvents; n++ {
		pause := eventGap
		if n == preemptedAt {
			if d := preempted(); d > 0 {
				c.note("runs     %s preempts %s and reads it again", server, id)
				pause = d
			}
		}
		select {
		case <-r.Context().Done():
			return fmt.Sprintf("the connection was closed before event %d", n)
		case <-time.After(pause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: five tokens\n\n", n); err != nil {
			return fmt.Sprintf("event %d could not be sent: %v", n, err)
		}
		flusher.Flush()
	}
	return "all events sent"
}

// stream sends a request to a front and reads the answer to its end. It returns "complete"
// if all events and the end of the answer arrived.
func (c *cluster) stream(front, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/plan/1", net.JoinHostPort(front, fmt.Sprint(portFront))), strings.NewReader("draft a quote"))
	if err != nil {
		return err.Error()
	}
	r.Host = "quotes.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "6000", "X-Model": "daka510000", "X-Token-Count": "977,110",
		"X-Prompt-Prefix": "5c1e07a2:40," + id[8:] + ":937", "Authorization": "Bearer " + callerKey,
	} {
		r.Header.Set(name, value)
	}
	c.note("sent     %s to %s", id, front)
	answer, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		c.note("answer   %s: %v", id, err)
		return err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	events := 0
	lines := bufio.NewReader(answer.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			events++
		}
		if err != nil {
			c.note("answer   %s: %d, %d events, then %v", id, answer.StatusCode, events, err)
			if err == io.EOF && answer.StatusCode == http.StatusOK && events == streamEvents {
				return "complete"
			}
			return fmt.Sprintf("status %d, %d events, then %v", answer.StatusCode, events, err)
		}
	}
}
