// Command unread lets a crowd of callers send requests inside all limits and read the answers
// slowly, and asks whether ordinary callers still get answers from the same front machine.
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
	// The smallest front machine of Ochandiano: 284 MB, 4,200 descriptors.
	frontMemory = 284
	frontFiles  = 4200
	crowd       = 2200
	settle      = 15 * time.Second // from the first caller of the crowd to the first order that counts
	watch       = 40 * time.Second
	// The largest answer on the users' sheet.
	answerBytes = 4800
	// A caller that reads slowly reads this much a second.
	slowBytes  = 16
	orderEvery = 250 * time.Millisecond
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
	front := s.StartRelay(0, controls, frontMemory, frontFiles)
	server := s.Host(50) + ":9000"
	listener := s.Listen(server)
	var runs atomic.Int64
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			runs.Add(1)
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Server-Stamp", "stamp")
			_, _ = io.WriteString(w, strings.Repeat("x", answerBytes))
		}))
	}()
	born := time.Now().UnixMilli()
	go func() {
		for k := 0; ; k++ {
			for i := range controls {
				status, _, err := scene.Call("POST", s.Host(10+(k+i)%controls)+":8000", "/instances/i-1/heartbeat", s.Heartbeat("dispatch", server, "ready", born))
				if err == nil && status == http.StatusOK {
					break
				}
			}
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	configuration, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-1", "host": "orders.example", "path_prefix": "/book/", "route_type": "unsafe", "timeout_ms": 800,
			"target_latency_ms": 150, "priority": 2, "service": "dispatch", "max_attempts": 1, "allow_anonymous": true,
		}, {
			"name": "r-2", "host": "orders.example", "path_prefix": "/status/", "route_type": "safe", "timeout_ms": 800,
			"target_latency_ms": 150, "priority": 2, "service": "dispatch", "max_attempts": 2, "allow_anonymous": true,
		}},
		"services": []map[string]any{{"name": "dispatch", "health_check_path": "/health", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{},
	})
	s.Await("the configuration is acknowledged", 20*time.Second, func() bool {
		status, _, err := scene.Call("POST", s.Host(10)+":8000", "/config/replace", configuration)
		return err == nil && status == http.StatusOK
	})
	ordinary := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	order := func(id string) (int, error) {
		r, _ := http.NewRequest("POST", "http://"+s.Host(30)+":8005/book/a", strings.NewReader("one truck"))
		r.Host = "orders.example"
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Deadline-Ms", "1500")
		response, err := ordinary.Do(r)
		if err != nil {
			return 0, err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	s.Await("an ordinary order is served", 20*time.Second, func() bool {
		status, err := order(fmt.Sprint("first-", time.Now().UnixNano()))
		return err == nil && status == http.StatusOK
	})
	reads := !scene.Trouble()
	s.Logf("a crowd of %d callers begins; reads its answers at once: %v", crowd, reads)
	var open, opened atomic.Int64
	for i := range crowd {
		go caller(s.Host(30)+":8005", i, reads, &open, &opened)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(settle)
	answered, unanswered, served := 0, 0, 0
	results := make(chan string)
	n := int(watch / orderEvery)
	for k := range n {
		go func() {
			begun := time.Now()
			status, err := order(fmt.Sprintf("order-%d", k))
			results <- fmt.Sprintf("%d order-%d: status %d, error %v, after %d ms", status, k, status, err, time.Since(begun).Milliseconds())
		}()
		time.Sleep(orderEvery)
	}
	for range n {
		line := <-results
		s.Recordf("%s", line)
		switch {
		case strings.HasPrefix(line, "0 "):
			unanswered++
		case strings.HasPrefix(line, "200 "):
			served++
			answered++
		default:
			answered++
		}
	}
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", front.Cmd.Process.Pid))
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", front.Cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if strings.HasPrefix(line, "VmRSS") || strings.HasPrefix(line, "VmHWM") {
			s.Logf("front: %s", strings.TrimSpace(line))
		}
	}
	s.Logf("front: %d descriptors open, ended: %v; crowd: %d connections open, %d opened in all", len(files), front.Ended(), open.Load(), opened.Load())
	s.Logf("ordinary orders: %d sent, %d answered (%d served), %d without any answer", n, answered, served, unanswered)
	if front.Ended() || unanswered*2 > n {
		s.Logf("BROKEN: ordinary callers get no answers while the crowd stays")
		s.End(1)
	}
	s.Logf("held")
	s.End(0)
}

// caller sends one request after the other on a connection, and opens another one if it is closed.
func caller(address string, i int, reads bool, open, opened *atomic.Int64) {
	// Loopback has far larger buffers than a network: these are those of a link with usual packets.
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		})
	}}
	for n := 0; ; n++ {
		c, err := d.DialContext(context.Background(), "tcp", address)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		open.Add(1)
		opened.Add(1)
		go read(c, reads)
		for k := 0; err == nil; k++ {
			_, err = fmt.Fprintf(c, "GET /status/%d HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: c-%d-%d-%d\r\nX-Deadline-Ms: 1500\r\n\r\n", k, i, n, k)
			if reads {
				time.Sleep(2 * time.Second)
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
