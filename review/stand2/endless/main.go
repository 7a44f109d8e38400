// Command endless has model servers whose streams are bytes without end that hold no event, and
// a platform that kills a process that uses more memory than its machine has.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarbhill/rhubarbhill/review/stand2/scene"
)

const (
	controls = 3
	fronts   = 2
	// A front machine of Mwambao Lugha, and its model servers.
	frontMemory = 136 // MB
	frontFiles  = 2870
	servers     = 52
	slots       = 12
	// At each front machine. Without trouble, it serves all of these.
	streamsPerS = 45
	ordersPerS  = 4
	calm        = 5 * time.Second
	trouble     = 25 * time.Second
	// The rule counts machines on which processes end three times, two machines at least.
	maxEnds = 2
	// A server in trouble sends this much a second in each answer.
	endlessBytes = 200 << 10
	pause        = 50 * time.Millisecond
)

var (
	inTrouble atomic.Bool
	endless   atomic.Int64 // answers without end now
	// peakEndless is the largest number of answers without end at a time.
	peakEndless atomic.Int64
)

func main() {
	s, err := scene.New()
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	for i := range controls {
		s.StartControl(i, controls, true, 280, 4096)
	}
	var machines []*machine
	for i := range fronts {
		machines = append(machines, &machine{s: s, i: i, proc: s.StartRelay(i, controls, frontMemory, frontFiles)})
	}
	born := time.Now().UnixMilli()
	for i := range servers {
		address := s.Host(50+i) + ":9000"
		listener := s.Listen(address)
		go func() { _ = http.Serve(listener, http.HandlerFunc(model)) }()
		go checkIn(s, fmt.Sprintf("i-%d", i), address, "assistant", born+int64(i), slots, true)
	}
	orders := s.Host(40) + ":9000"
	listener := s.Listen(orders)
	var ran atomic.Int64
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			ran.Add(1)
			time.Sleep(30 * time.Millisecond)
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Server-Stamp", "stamp")
			_, _ = io.WriteString(w, strings.Repeat("x", 800))
		}))
	}()
	go checkIn(s, "i-orders", orders, "orders", born, 6, false)
	s.Await("the configuration is acknowledged", 20*time.Second, func() bool {
		status, _, err := scene.Call("POST", s.Host(10)+":8000", "/config/replace", configuration())
		return err == nil && status == http.StatusOK
	})
	c := &caller{s: s, counts: map[string]int{}, client: &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for i := range fronts {
		s.Await(fmt.Sprintf("a stream is served at front-%d", i), 20*time.Second, func() bool { return c.send(i, "first-stream", "quotes.example", "/q/a", 6000) == "200 whole" })
		s.Await(fmt.Sprintf("an order is served at front-%d", i), 20*time.Second, func() bool { return c.send(i, "first-order", "orders.example", "/book/a", 1500) == "200 whole" })
	}
	done := make(chan struct{})
	var platform sync.WaitGroup
	for _, m := range machines {
		platform.Go(func() { m.watch(done) })
	}
	stop := time.Now().Add(calm + trouble)
	var wg sync.WaitGroup
	go func() {
		time.Sleep(calm)
		if scene.Trouble() {
			s.Logf("all %d servers of the service send bytes without end from now on", servers)
			inTrouble.Store(true)
		}
	}()
	for i := range fronts {
		wg.Go(func() { c.load(i, stop, streamsPerS, "stream", "quotes.example", "/q/a", 6000) })
		wg.Go(func() { c.load(i, stop, ordersPerS, "order", "orders.example", "/book/a", 1500) })
	}
	wg.Wait()
	close(done)
	platform.Wait()
	s.Logf("answers: %v; orders run: %d", c.counts, ran.Load())
	over := 0
	for _, m := range machines {
		s.Logf("front-%d: peak %d MB of %d MB, killed or ended %d times; at most %d answers without end at all", m.i, m.peak, frontMemory, m.ends, peakEndless.Load())
		if m.ends > maxEnds {
			over++
		}
	}
	if over > 1 {
		s.Logf("BROKEN: on %d machines processes used more memory than the machine has three times or more", over)
		s.End(1)
	}
	s.Logf("held")
	s.End(0)
}

// machine is a front machine.
type machine struct {
	s          *scene.Scene
	i          int
	proc       *scene.Proc
	ends, peak int
}

// watch is the platform: it kills a process that uses more memory than its machine has, and starts
// it again.
func (m *machine) watch(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMB(m.proc)
		if mb > m.peak {
			m.peak = mb
			m.s.Recordf("front-%d: %d MB, %d answers without end at all", m.i, mb, endless.Load())
		}
		for n, p := endless.Load(), peakEndless.Load(); n > p && !peakEndless.CompareAndSwap(p, n); p = peakEndless.Load() {
		}
		switch {
		case m.proc.Ended():
			m.s.Logf("front-%d: ended by itself", m.i)
		case mb > frontMemory:
			m.s.Logf("front-%d: %d MB of %d MB: the platform kills it", m.i, mb, frontMemory)
			m.proc.Signal(syscall.SIGKILL)
			<-m.proc.Exited()
		default:
			continue
		}
		m.ends++
		time.Sleep(time.Second)
		m.proc = m.s.StartRelay(m.i, controls, frontMemory, frontFiles)
	}
}

// model answers a stream.
func model(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "stamp")
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	if inTrouble.Load() {
		endless.Add(1)
		defer endless.Add(-1)
		block := strings.Repeat("\x01", int(endlessBytes*pause/time.Second))
		for {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}
	for k := 1; k <= 21; k++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: five tokens\n\n", k)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
	}
}

func checkIn(s *scene.Scene, id, address, service string, born int64, slots int, engine bool) {
	for k := 0; ; k++ {
		beat := map[string]any{
			"service": service, "address": address, "zone": "bne-a", "version": "v1", "slots": slots,
			"state": "ready", "cold_remaining_ms": 0, "sequence": k + 1, "born": born,
		}
		if engine {
			beat["stage"], beat["models"] = "both", []map[string]any{{"name": "daka", "version": 1, "adapters": []any{}}}
			beat["layers"] = map[string]any{"from": 0, "target": 16, "version": 1}
		}
		body, _ := json.Marshal(beat)
		for i := range controls {
			status, _, err := scene.Call("POST", s.Host(10+(k+i)%controls)+":8000", "/instances/"+id+"/heartbeat", body)
			if err == nil && status == http.StatusOK {
				break
			}
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// configuration has the engine of the users' PROTOCOL.md.
func configuration() []byte {
	body, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-1", "host": "quotes.example", "path_prefix": "/q/", "route_type": "streaming", "timeout_ms": 6000, "target_latency_ms": 500,
			"target_gap_ms": 400, "priority": 1, "service": "assistant", "max_attempts": 2, "allow_anonymous": true, "stream_resume": true, "session_affinity": true,
		}, {
			"name": "r-2", "host": "orders.example", "path_prefix": "/book/", "route_type": "unsafe", "timeout_ms": 800,
			"target_latency_ms": 150, "priority": 2, "service": "orders", "max_attempts": 1, "allow_anonymous": true,
		}},
		"services": []map[string]any{
			{"name": "orders", "health_check_path": "/health", "max_connections": 96},
			{"name": "assistant", "health_check_path": "/health", "max_connections": 264, "engine": map[string]any{
				"slots": slots, "kv_capacity_tokens": 1180000, "stride": 5, "models": []map[string]any{{"name": "daka"}}, "step_ms": 8.87, "per_seq_ms": 0.0388,
				"context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048, "usual": map[string]any{"prompt": 977, "answer": 94},
				"layers": 16, "chunks": 64, "chunk_bytes": 32768,
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{},
	})
	return body
}

type caller struct {
	s      *scene.Scene
	client *http.Client

	mu     sync.Mutex
	counts map[string]int
}

// load sends requests at a rate until stop, and waits for their ends.
func (c *caller) load(front int, stop time.Time, perSecond int, kind, host, path string, deadline int) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; time.Now().Before(stop); n++ {
		<-ticker.C
		id := fmt.Sprintf("%s-%d-%d", kind, front, n)
		wg.Go(func() {
			result := c.send(front, id, host, path, deadline)
			c.mu.Lock()
			c.counts[kind+" "+result]++
			c.mu.Unlock()
			if kind == "order" {
				c.s.Recordf("%s: %s", id, result)
			}
		})
	}
	wg.Wait()
}

// send sends a request and returns its end.
func (c *caller) send(front int, id, host, path string, deadline int) string {
	r, _ := http.NewRequest("POST", "http://"+c.s.Host(30+front)+":8005"+path, strings.NewReader("text"))
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.Itoa(deadline))
	if host == "quotes.example" {
		r.Header.Set("X-Model", "daka")
		r.Header.Set("X-Token-Count", "1290,105")
		r.Header.Set("X-Prompt-Prefix", "5c1e07a2:40,"+fmt.Sprintf("%x", len(id))+":1250")
	}
	response, err := c.client.Do(r)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return strconv.Itoa(response.StatusCode) + " cut"
	}
	return strconv.Itoa(response.StatusCode) + " whole"
}

// residentMB returns the resident memory of a process in MB.
func residentMB(p *scene.Proc) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb * 1024 / 1_000_000
		}
	}
	return 0
}
