// Command lookups lets a crowd of callers ask every control replica for addresses and read the
// answers slowly, and asks whether the operator, servers and ordinary callers still get answers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarbhill/rhubarbhill/review/stand2/scene"
)

const (
	controls = 3
	// A core machine of Ochandiano: 280 MB, 4,096 descriptors.
	coreMemory = 280
	coreFiles  = 4096
	crowd      = 2100 // at each core machine
	settle     = 15 * time.Second
	watch      = 40 * time.Second
	every      = 250 * time.Millisecond
	beat       = 1200 * time.Millisecond
	// A caller that reads slowly reads this much a second.
	slowBytes = 16
)

type tally struct{ sent, answered atomic.Int64 }

func (t *tally) String() string {
	return fmt.Sprintf("%d sent, %d answered", t.sent.Load(), t.answered.Load())
}

func (t *tally) unanswered() bool { return t.answered.Load()*2 < t.sent.Load() }

func main() {
	s, err := scene.New()
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	for i := range controls {
		s.StartControl(i, controls, true, coreMemory, coreFiles)
	}
	s.StartRelay(0, controls, 284, 4200)
	server := s.Host(50) + ":9000"
	listener := s.Listen(server)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Server-Stamp", "stamp")
			_, _ = io.WriteString(w, strings.Repeat("x", 800))
		}))
	}()
	var counting atomic.Bool
	var checkIns, changes, lookUps, orders tally
	born := time.Now().UnixMilli()
	// Each call goes to one node after the other until one answers within a second.
	call := func(t *tally, method, port, path string, body []byte, first int) bool {
		count := counting.Load()
		if count {
			t.sent.Add(1)
		}
		for i := range controls {
			status, _, err := scene.Call(method, s.Host(10+(first+i)%controls)+port, path, body)
			if err == nil && status == http.StatusOK {
				if count {
					t.answered.Add(1)
				}
				return true
			}
			if count {
				s.Recordf("%s at core-%d: status %d, error %v", path, (first+i)%controls, status, err)
			}
		}
		return false
	}
	go func() {
		for k := 0; ; k++ {
			call(&checkIns, "POST", ":8000", "/instances/i-1/heartbeat", s.Heartbeat("dispatch", server, "ready", born), k)
			time.Sleep(beat)
		}
	}()
	s.Await("the configuration is acknowledged", 20*time.Second, func() bool {
		return call(&changes, "POST", ":8000", "/config/replace", configuration(1), 0)
	})
	order := func(id string) bool {
		r, _ := http.NewRequest("POST", "http://"+s.Host(30)+":8005/book/a", strings.NewReader("one truck"))
		r.Host = "orders.example"
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Deadline-Ms", "1500")
		response, err := scene.Client.Do(r)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err == nil && response.StatusCode == http.StatusOK
	}
	s.Await("an ordinary order is served", 20*time.Second, func() bool { return order(fmt.Sprint("first-", time.Now().UnixNano())) })
	reads := !scene.Trouble()
	s.Logf("a crowd of %d callers at each core machine begins; reads its answers at once: %v", crowd, reads)
	var open atomic.Int64
	for i := range crowd * controls {
		go caller(s.Host(10+i%controls)+":8001", reads, &open)
		time.Sleep(time.Millisecond / 2)
	}
	time.Sleep(settle)
	counting.Store(true)
	version := 1
	acknowledged := true
	end := time.Now().Add(watch)
	go func() {
		for k := 0; time.Now().Before(end); k++ {
			go func() {
				call(&lookUps, "GET", ":8001", "/resolve?name=orders.example&region=brisbane&zone=bne-a", nil, k)
				orders.sent.Add(1)
				if order(fmt.Sprintf("order-%d", k)) {
					orders.answered.Add(1)
				}
			}()
			time.Sleep(every)
		}
	}()
	for k := 0; time.Now().Before(end); k++ {
		if acknowledged { // one that is not acknowledged is sent again, unchanged
			version++
		}
		acknowledged = call(&changes, "POST", ":8000", "/config/replace", configuration(version), k)
		time.Sleep(time.Second)
	}
	time.Sleep(4 * time.Second)
	s.Logf("crowd: %d connections open", open.Load())
	s.Logf("changes of the operator: %v", &changes)
	s.Logf("check-ins of the server: %v", &checkIns)
	s.Logf("look-ups of ordinary callers: %v", &lookUps)
	s.Logf("orders at the front machine, which the crowd leaves alone: %d sent, %d served", orders.sent.Load(), orders.answered.Load())
	if changes.unanswered() || checkIns.unanswered() || lookUps.unanswered() {
		s.Logf("BROKEN: the control replicas answer nobody while the crowd stays")
		s.End(1)
	}
	s.Logf("held")
	s.End(0)
}

func configuration(version int) []byte {
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": "orders.example", "path_prefix": "/book/", "route_type": "unsafe", "timeout_ms": 800,
			"target_latency_ms": 150, "priority": 2, "service": "dispatch", "max_attempts": 1, "allow_anonymous": true,
		}},
		"services": []map[string]any{{"name": "dispatch", "health_check_path": "/health", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{},
	})
	return body
}

// caller sends one look-up after the other on a connection, and opens another one if it is closed.
func caller(address string, reads bool, open *atomic.Int64) {
	// Loopback has far larger buffers than a network: these are those of a link with usual packets.
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		})
	}}
	for {
		c, err := d.DialContext(context.Background(), "tcp", address)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		open.Add(1)
		go read(c, reads)
		for err == nil {
			_, err = io.WriteString(c, "GET /resolve?name=orders.example&region=brisbane&zone=bne-a HTTP/1.1\r\nHost: directory\r\n\r\n")
			if reads {
				time.Sleep(4 * time.Second)
			}
		}
		_ = c.Close()
		open.Add(-1)
		time.Sleep(100 * time.Millisecond)
	}
}

// read reads the answers on a connection: at once, or slowly.
func read(c net.Conn, atOnce bool) {
	if atOnce {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	few := make([]byte, slowBytes)
	for {
		time.Sleep(time.Second)
		if _, err := c.Read(few); err != nil {
			return
		}
	}
}
