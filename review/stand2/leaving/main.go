// Command leaving has a server that leaves while it is cut off from the control replicas, and says so
// in all its answers. It asks whether the front machine goes on sending it work.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbhill/rhubarbhill/review/stand2/scene"
)

const (
	controls  = 3
	servers   = 5 // one of them is cut off: a share of 0.2
	ordersPer = 10 * time.Millisecond
	work      = 30 * time.Millisecond
	beat      = 1200 * time.Millisecond
	calm      = 5 * time.Second
	// The cut lasts for 5 s. It begins a moment before the server starts to leave. Without a
	// confirmation the server exits anyway, some seconds later.
	cutBefore = 100 * time.Millisecond
	cutFor    = 5 * time.Second
	exitAfter = 4500 * time.Millisecond
	drain     = 2 * time.Second // drain_ms
)

// server is a server of the service.
type server struct {
	s       *scene.Scene
	id      string
	address string
	born    int64
	http    *http.Server

	leaving, cut, ended atomic.Bool

	mu   sync.Mutex
	runs map[string]time.Time // by request, when it reached the server
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	v.mu.Lock()
	v.runs[id] = time.Now()
	v.mu.Unlock()
	time.Sleep(work)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", v.id)
	if v.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, strings.Repeat("x", 800))
}

// checkIn reports the server until it has ended. While it is cut off, nothing arrives.
func (v *server) checkIn() {
	for k := 0; !v.ended.Load(); k++ {
		state, wait := "ready", beat
		if v.leaving.Load() {
			state, wait = "draining", 300*time.Millisecond // not confirmed yet
		}
		for i := range controls {
			if v.cut.Load() {
				break
			}
			status, _, err := scene.Call("POST", v.s.Host(10+(k+i)%controls)+":8000", "/instances/"+v.id+"/heartbeat", v.s.Heartbeat("dispatch", v.address, state, v.born))
			if err == nil && status == http.StatusOK {
				if state == "draining" {
					v.s.Logf("%s: the check-in as draining is confirmed", v.id)
					return
				}
				break
			}
		}
		time.Sleep(wait)
	}
}

type order struct {
	sent, answered time.Time
	status         int
	stamp          string
	leaving        bool
	err            error
}

func main() {
	s, err := scene.New()
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	for i := range controls {
		s.StartControl(i, controls, true, 280, 4096)
	}
	s.StartRelay(0, controls, 414, 6150)
	var list []*server
	for i := range servers {
		v := &server{s: s, id: fmt.Sprintf("i-%d", i), address: s.Host(50+i) + ":9000", born: time.Now().UnixMilli(), runs: map[string]time.Time{}}
		v.http = &http.Server{Handler: v}
		listener := s.Listen(v.address)
		go func() { _ = v.http.Serve(listener) }()
		go v.checkIn()
		list = append(list, v)
	}
	configuration, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-1", "host": "orders.example", "path_prefix": "/book/", "route_type": "unsafe", "timeout_ms": 800,
			"target_latency_ms": 150, "priority": 2, "service": "dispatch", "max_attempts": 1, "allow_anonymous": true,
		}},
		"services": []map[string]any{{"name": "dispatch", "health_check_path": "/health", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{},
	})
	s.Await("the configuration is acknowledged", 20*time.Second, func() bool {
		status, _, err := scene.Call("POST", s.Host(10)+":8000", "/config/replace", configuration)
		return err == nil && status == http.StatusOK
	})
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	book := func(id string) order {
		r, _ := http.NewRequest("POST", "http://"+s.Host(30)+":8005/book/a", strings.NewReader("one truck"))
		r.Host = "orders.example"
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Deadline-Ms", "1500")
		o := order{sent: time.Now()}
		response, err := client.Do(r)
		if err == nil {
			o.status, o.stamp, o.leaving = response.StatusCode, response.Header.Get("X-Server-Stamp"), response.Header.Get("Server-Leaving") != ""
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		o.answered, o.err = time.Now(), err
		return o
	}
	s.Await("an order is served", 20*time.Second, func() bool { return book(fmt.Sprint("first-", time.Now().UnixNano())).status == http.StatusOK })
	a := list[0]
	go func() {
		time.Sleep(calm - cutBefore)
		if scene.Trouble() {
			s.Logf("%s is cut off from the control replicas for %v", a.id, cutFor)
			a.cut.Store(true)
			time.AfterFunc(cutFor, func() { a.cut.Store(false) })
		}
		time.Sleep(cutBefore)
		s.Logf("%s leaves, and says so in all its answers from now on", a.id)
		a.leaving.Store(true)
		time.Sleep(exitAfter)
		s.Logf("%s exits", a.id)
		a.ended.Store(true)
		_ = a.http.Close()
	}()
	var mu sync.Mutex
	orders := map[string]order{}
	var wg sync.WaitGroup
	for k, end := 0, time.Now().Add(calm+exitAfter+2*time.Second); time.Now().Before(end); k++ {
		id := fmt.Sprintf("order-%d", k)
		wg.Go(func() {
			o := book(id)
			mu.Lock()
			orders[id] = o
			mu.Unlock()
		})
		time.Sleep(ordersPer)
	}
	wg.Wait()
	first := time.Time{} // answer with the header that was passed on
	for _, o := range orders {
		if o.leaving && (first.IsZero() || o.answered.Before(first)) {
			first = o.answered
		}
	}
	if first.IsZero() {
		s.Fail("no answer with Server-Leaving was passed on")
	}
	late, lost := 0, 0
	for k := range len(orders) {
		id := fmt.Sprintf("order-%d", k)
		o := orders[id]
		ran, reached := a.runs[id]
		s.Recordf("%s: sent at %.3f s of the first answer with Server-Leaving, status %d by %q, error %v; reached %s: %v", id, o.sent.Sub(first).Seconds(), o.status, o.stamp, o.err, a.id, reached)
		if reached && o.sent.After(first.Add(drain)) {
			late++
		}
		if reached && o.status != http.StatusOK {
			lost++
			s.Recordf("%s reached %s at %.3f s and has no answer of it: status %d", id, a.id, ran.Sub(first).Seconds(), o.status)
		}
	}
	s.Logf("%d orders; %d were sent later than %v after the front machine had passed on Server-Leaving and reached %s; %d that reached it got no answer of it", len(orders), late, drain, a.id, lost)
	if late > 0 {
		s.Logf("BROKEN: a server that leaves gets work")
		s.End(1)
	}
	s.Logf("held")
	s.End(0)
}
