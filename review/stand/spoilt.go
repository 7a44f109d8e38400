package main

import (
	"errors"
	"fmt"
	"time"
)

// engineConfig is a configuration with one stream route to one engine service.
func engineConfig(version int, originAddress string) map[string]any {
	d := plainConfig(version)
	d["routes"] = []any{map[string]any{
		"name": "quote", "host": "yard.example", "path_prefix": "/quote/", "route_type": "streaming", "timeout_ms": 6000, "target_latency_ms": 500,
		"priority": 1, "service": "quotes", "max_attempts": 2, "allow_anonymous": true, "session_affinity": true, "stream_resume": true, "target_gap_ms": 400,
	}}
	d["services"] = []any{
		map[string]any{
			"name": "quotes", "health_check_path": "/health", "max_connections": 434, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 16, "kv_capacity_tokens": 1180000, "kv_token_bytes": 163840, "link_mbps": 400000.0, "stride": 5,
				"models":  []any{map[string]any{"name": modelName, "pace": 1.0, "load_s": 4.0, "warmup_s": 0.3}},
				"size_mb": 266000.0, "adapter_slots": 8, "loads_per_s": 0.0, "step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227,
				"read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048, "report_lag_ms": 200.0, "loads_at_once": 8, "delays": []any{},
				"usual": map[string]any{"prompt": 977, "answer": 94}, "layers": layerCount, "layer_mb": 4540.0, "act_bytes": 16384, "pipe_mbps": 0.0,
				"chunks": pieceCount, "chunk_bytes": pieceBytes,
			},
		},
		map[string]any{"name": "weights", "origin": originAddress, "zone": "z1", "link_mbps": 9.9, "max_connections": 48},
	}
	return d
}

// spoiltCase freezes the process beside a model server just after it has read back all
// staged pieces, and lets some of them turn bad meanwhile.
func spoiltCase(c *cluster) (int, error) {
	const frozen = 4 * time.Second
	ips, err := c.core(3)
	if err != nil {
		return failed, err
	}
	nodes := func() []string { return ips }
	front, err := c.relay("front-1", c.ip(2, 10), "z1", ips)
	if err != nil {
		return failed, err
	}
	weights, err := newOrigin(c, c.ip(4, 90))
	if err != nil {
		return failed, err
	}
	var engines []*engine
	var sides []*process
	for i := range 9 {
		ip, zone := c.ip(3, 10+i), fmt.Sprintf("z%d", i%3+1)
		e, err := newEngine(c, fmt.Sprintf("i-%d", i+1), ip, "quotes", zone, nodes)
		if err != nil {
			return failed, err
		}
		p, err := c.stager(fmt.Sprintf("side-%d", i+1), ip, zone, ips, at(ip, serverPort), "quotes")
		if err != nil {
			return failed, err
		}
		engines, sides = append(engines, e), append(sides, p)
	}
	e, side := engines[0], sides[0]
	done := make(chan struct{})
	e.onVerified = func() {
		defer close(done)
		if trouble {
			side.signal(sigStop)
			c.note("side-1 freezes; it has read back all staged pieces")
		}
		time.Sleep(300 * time.Millisecond)
		e.rot(5, 40, 63)
		time.Sleep(frozen - 300*time.Millisecond)
		if trouble {
			side.signal(sigCont)
			c.note("side-1 wakes")
		}
	}
	if _, ok := c.submit(nodes, "/config/replace", engineConfig(1, weights.address), 15*time.Second); !ok {
		return failed, errors.New("the first configuration was not acknowledged")
	}
	n := 0
	ask := func() bool {
		n++
		id := fmt.Sprintf("quote-%d", n)
		status, _, err := order(front.ip, "/quote/"+id, id, map[string]string{"X-Model": modelName, "X-Token-Count": "100,15", "X-Prompt-Prefix": "5c1e07a2:40,91bd3f06:60"}, 6*time.Second)
		c.note("client: %s answered %d %v", id, status, err)
		return status == 200
	}
	if !waitFor(20*time.Second, ask) {
		return failed, errors.New("no stream is served on version 1")
	}
	time.Sleep(2 * stability)
	if by, ok := c.submit(nodes, "/version-put", map[string]any{"model": modelName, "version": 2}, 10*time.Second); ok {
		c.note("operator: version 2 acknowledged by %s", by)
	} else {
		return failed, errors.New("version 2 was not acknowledged")
	}
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		return failed, errors.New("the staged pieces were not read back")
	}
	held2 := func() bool {
		e.emu.Lock()
		defer e.emu.Unlock()
		return e.version == 2
	}
	if !waitFor(20*time.Second, held2) {
		return failed, errors.New("version 2 was not loaded")
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ask()
	}
	e.emu.Lock()
	defer e.emu.Unlock()
	c.note("%d tokens made by %s", e.tokens, e.id)
	for _, line := range e.bad {
		c.note("bad: %s", line)
	}
	if len(e.bad) > 0 {
		c.note("BROKEN: WHOLE: %d answers were made with a spoilt layer", len(e.bad))
		return broken, nil
	}
	c.note("held")
	return held, nil
}
