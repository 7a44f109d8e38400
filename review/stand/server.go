package main

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of a plain server. It checks in about every heartbeat and runs the
// requests that name it.
type server struct {
	c               *cluster
	id, ip, service string
	zone            string
	born            int64
	work            time.Duration
	listener        net.Listener
	nodes           func() []string // nodes that serve control
	stop            chan struct{}
	mu              sync.Mutex
	sequence        int
	checkInPaused   bool
	runs            []run
	state           string
	more            func() map[string]any // further fields of a check-in
}

// run is a request that a server began to work on.
type run struct {
	id string
	at time.Time
}

func newServer(c *cluster, id, ip, service, zone string, nodes func() []string) (*server, error) {
	s := &server{c: c, id: id, ip: ip, service: service, zone: zone, born: time.Now().UnixMilli(), work: 30 * time.Millisecond, nodes: nodes, stop: make(chan struct{}), state: "ready"}
	listener, err := net.Listen("tcp", at(ip, serverPort))
	if err != nil {
		return nil, err
	}
	s.listener = listener
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.serve)) }()
	go s.checkInLoop()
	return s, nil
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{r.Header.Get("X-Request-Id"), time.Now()})
	s.mu.Unlock()
	s.c.note("%s runs %s", s.id, r.Header.Get("X-Request-Id"))
	time.Sleep(s.work)
	w.Header().Set("X-Server-Stamp", s.id)
	fmt.Fprintf(w, "done by %s, %d bytes read\n", s.id, len(body))
}

// checkInLoop checks in until the server leaves or ends.
func (s *server) checkInLoop() {
	for {
		s.mu.Lock()
		paused := s.checkInPaused
		s.mu.Unlock()
		if !paused {
			s.checkIn()
		}
		select {
		case <-s.stop:
			return
		case <-time.After(bootHeartbeat):
		}
	}
}

// checkIn sends one check-in, to one node after the other until one confirms it.
func (s *server) checkIn() {
	s.mu.Lock()
	s.sequence++
	body := map[string]any{
		"service": s.service, "address": at(s.ip, serverPort), "zone": s.zone, "version": "v1", "slots": 6, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	if s.more != nil {
		maps.Copy(body, s.more())
	}
	for _, ip := range s.nodes() {
		if status, _, err := call(http.MethodPost, at(ip, controlPort), "/instances/"+s.id+"/heartbeat", body); err == nil && status/100 == 2 {
			return
		}
	}
}

// leave deregisters the server without a word before. It returns the node that confirmed
// it and when.
func (s *server) leave() (string, time.Time) {
	s.mu.Lock()
	s.checkInPaused = true
	s.mu.Unlock()
	close(s.stop)
	for _, ip := range s.nodes() {
		status, _, err := call(http.MethodPost, at(ip, controlPort), "/instances/"+s.id+"/deregister", map[string]any{"born": s.born})
		if err == nil && status/100 == 2 {
			return ip, time.Now()
		}
	}
	return "", time.Time{}
}

func (s *server) runsAfter(t time.Time) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []run
	for _, r := range s.runs {
		if r.at.After(t) {
			list = append(list, r)
		}
	}
	return list
}

// order sends one request of a client to an entry, on a new connection.
func order(entry, path, id string, headers map[string]string, timeout time.Duration) (status int, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+at(entry, frontPort)+path, strings.NewReader(strings.Repeat("x", 600)))
	if err != nil {
		return 0, "", err
	}
	request.Host = "yard.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	for k, v := range headers {
		request.Header.Set(k, v)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
