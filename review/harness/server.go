package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a server of a service, as PROTOCOL.md describes it.
type server struct {
	c           *cluster
	id, service string
	address     string
	slots       int
	model       string // of an engine; empty for a plain service
	layers      int
	// handler serves the port instead of serve, if set.
	handler http.Handler
	// handle runs a request and writes its answer.
	handle func(w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	sequence uint64
	state    string
	version  uint64 // of the loaded layers
	born     int64
	silent   bool // sends no further check-ins
	// nodes are the nodes that it picks from for its check-ins, the seeds if empty.
	nodes     []string
	checkedIn string // node that acknowledged the last check-in
	listener  net.Listener
	http      *http.Server
}

// newServer prepares a server on machine n.
func newServer(c *cluster, id, service string, n int, slots int) *server {
	return &server{c: c, id: id, service: service, address: fmt.Sprintf("%s:%d", c.ip(n), 8080), slots: slots, state: "ready"}
}

// run opens the port and starts the check-ins.
func (s *server) run() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.born = l, time.Now().UnixMilli()
	s.http = &http.Server{Handler: s.handler}
	if s.handler == nil {
		s.http.Handler = http.HandlerFunc(s.serve)
	}
	s.mu.Unlock()
	go func() { _ = s.http.Serve(l) }()
	go s.checkIns()
	return nil
}

// exit closes the port and every connection, and ends the check-ins.
func (s *server) exit() {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	s.c.note("server   %s exits", s.id)
	_ = s.http.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Server-Load", fmt.Sprintf("0,0,%d", s.slots))
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", s.id)
		return
	case "/report":
		_ = json.NewEncoder(w).Encode(s.report())
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		s.c.note("server   %s answers 421 to %s", s.id, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.c.note("runs     %s begins %s %s %s", s.id, id, r.Method, r.URL.Path)
	w.Header().Set("X-Server-Stamp", "stamp."+s.id+"."+id)
	s.handle(w, r, body)
}

// report is the state that check-ins and GET /report state.
func (s *server) report() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[string]any{"born": s.born}
	if s.model != "" {
		m["stage"] = "both"
		m["models"] = []map[string]any{{"name": s.model, "version": s.version, "adapters": []string{}}}
		m["layers"] = map[string]any{"from": 0, "target": s.layers, "version": s.version}
	}
	return m
}

// checkIns sends a check-in each heartbeat.
func (s *server) checkIns() {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		s.checkIn()
		time.Sleep(heartbeat)
	}
}

func (s *server) checkIn() {
	m := s.report()
	s.mu.Lock()
	s.sequence++
	m["service"], m["address"], m["zone"], m["version"] = s.service, s.address, "bne-a", "v1"
	m["slots"], m["state"], m["cold_remaining_ms"], m["sequence"] = s.slots, s.state, 0, s.sequence
	s.mu.Unlock()
	body, _ := json.Marshal(m) // never fails
	s.mu.Lock()
	nodes := s.nodes
	s.mu.Unlock()
	node := s.c.callOneOf(nodes, http.MethodPost, "/instances/"+s.id+"/heartbeat", body)
	s.mu.Lock()
	s.checkedIn = node
	s.mu.Unlock()
}

// deregisterAt tells one node that the server leaves, and returns when that was
// acknowledged, or the zero time.
func (s *server) deregisterAt(node string) time.Time {
	s.mu.Lock()
	s.silent = true
	body, _ := json.Marshal(map[string]any{"born": s.born}) // never fails
	s.mu.Unlock()
	status, _ := call(http.MethodPost, "http://"+node+"/instances/"+s.id+"/deregister", body)
	at := time.Now()
	s.c.note("leaves   %s: deregister at %s: %d", s.id, node, status)
	if status/100 != 2 {
		return time.Time{}
	}
	return at
}

// node returns a node that serves control, drawn at random.
func (c *cluster) node() string { return c.seeds[rand.IntN(len(c.seeds))] }

// setNodes sets the nodes among which the server picks for its check-ins.
func (s *server) setNodes(nodes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = nodes
}

// lastNode returns the node that acknowledged the last check-in.
func (s *server) lastNode() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkedIn
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// callControl calls nodes that serve control, in random order, until one answers 2xx. It
// returns the node, or "" if none did in 20 tries.
func (c *cluster) callControl(method, path string, body []byte) string {
	return c.callOneOf(c.seeds, method, path, body)
}

// callOneOf is callControl with the nodes to pick from, the seeds if there are none.
func (c *cluster) callOneOf(nodes []string, method, path string, body []byte) string {
	if len(nodes) == 0 {
		nodes = c.seeds
	}
	for range 20 {
		node := nodes[rand.IntN(len(nodes))]
		if status, _ := call(method, "http://"+node+path, body); status/100 == 2 {
			return node
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ""
}

// call sends one request to a node that serves control. The status is 0 without an answer.
func call(method, url string, body []byte) (int, []byte) {
	r, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := controlClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, data
}

// configure sends a configuration until it is acknowledged.
func (c *cluster) configure(config map[string]any) bool {
	body, _ := json.Marshal(config) // never fails
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if node := c.callControl(http.MethodPost, "/config/replace", body); node != "" {
			c.note("operator version %v acknowledged by %s", config["version"], node)
			return true
		}
	}
	return false
}

// awaitReady waits until every front node says that it is ready.
func (c *cluster) awaitReady(fronts []*process) bool {
	for _, p := range fronts {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			if status, _ := call(http.MethodGet, fmt.Sprintf("http://%s:%d/ready", p.ip, portReady), nil); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return false
			}
		}
	}
	return true
}

// resolve asks a directory for the front addresses.
func (c *cluster) resolve() []string {
	for range 3 {
		node := strings.Replace(c.node(), fmt.Sprint(portControl), fmt.Sprint(portDirectory), 1)
		status, data := call(http.MethodGet, "http://"+node+"/resolve?name=quotes.example&region=brisbane&zone=bne-a", nil)
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &answer) == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// plainService and engineService describe services in a configuration.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}
}

func engineService(name, model string) map[string]any {
	s := plainService(name)
	s["max_connections"] = 434
	s["engine"] = map[string]any{
		"slots": 16, "kv_capacity_tokens": 1180000, "kv_token_bytes": 163840, "link_mbps": 400000.0, "stride": 5,
		"models":  []map[string]any{{"name": model, "pace": 1.0, "load_s": 4.0, "warmup_s": 0.3}},
		"size_mb": 266000.0, "adapter_slots": 8, "loads_per_s": 0.0, "step_ms": 8.87, "per_seq_ms": 0.0388,
		"context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048, "report_lag_ms": 200.0,
		"loads_at_once": 8, "delays": []any{}, "usual": map[string]any{"prompt": 977, "answer": 94}, "layers": 16,
		"layer_mb": 4540.0, "act_bytes": 16384, "pipe_mbps": 0.0, "chunks": 64, "chunk_bytes": 32768,
	}
	return s
}

// route describes a route in a configuration.
func route(name, kind, prefix, service string, timeoutMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "quotes.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs,
		"target_latency_ms": 150, "priority": 1, "service": service, "max_attempts": attempts,
		"allow_anonymous": false, "session_affinity": false, "stream_resume": false,
	}
}

const callerKey = "jnbanfqasnmgkcuyj8pj"

// configuration is a complete configuration with one tenant.
func configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "bozi300", "api_keys": []string{callerKey}, "priority": 1}},
	}
}
