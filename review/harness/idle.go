package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

const (
	// frontDescriptors are those of the smallest front machine of Ochandiano.
	frontDescriptors = 4200
	// usualPerSecond is a quarter of the requests a second that the sheet of Ochandiano
	// states, for one of four front machines.
	usualPerSecond = 191.9 / 4
	arrivals       = 99 * time.Second
	// idleTimeout is that of the configuration (idle_timeout_ms).
	idleTimeout = 15 * time.Second
)

// idle lets users come, send one request each on a connection of their own and stay idle,
// and checks rule RECOVER: a machine that says it is ready takes new connections.
func idle(c *cluster) (bool, error) {
	if _, err := c.controls(3); err != nil {
		return false, err
	}
	fronts, err := c.fronts(1)
	if err != nil {
		return false, err
	}
	front := fronts[0]
	if err := limitDescriptors(front.cmd.Process.Pid, frontDescriptors); err != nil {
		return false, err
	}
	for i := range 3 {
		s := newServer(c, fmt.Sprintf("i-%d", i+1), "dispatch", 71+i, 6)
		s.handle = func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(w, "on its way\n")
		}
		if err := s.run(); err != nil {
			return false, err
		}
	}
	status := configuration(7, []map[string]any{route("status", "safe", "/status/", "dispatch", 800, 2)}, []map[string]any{plainService("dispatch")})
	if !c.configure(status) || !c.awaitReady(fronts) {
		return false, errCannotRun
	}
	time.Sleep(4 * time.Second) // all machines are in touch

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var readyAt atomic.Int64 // when the front said last that it is ready, ms
	go c.watchReady(ctx, front.ip, &readyAt)
	c.note("users    %.1f a second, each with one connection and one request", usualPerSecond)
	var mu sync.Mutex
	var tried []time.Time // connections that got no answer since the last one that did
	var lastTaken time.Time
	taken, longest, waiting := 0, time.Duration(0), 0
	var users sync.WaitGroup
	begin := time.Now()
	lastTaken = begin
	for n := 0; time.Since(begin) < arrivals; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n) / usualPerSecond * float64(time.Second)))))
		users.Go(func() {
			at := time.Now()
			err := c.visit(ctx, front.ip, n)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				tried = append(tried, at)
				c.note("answer   user %d: %v", n, err)
				return
			}
			taken++
			if gap := at.Sub(lastTaken); gap > longest && len(tried) >= 7 {
				longest, waiting = gap, len(tried)
			}
			lastTaken, tried = at, nil
		})
	}
	end := time.Now()
	ready := time.UnixMilli(readyAt.Load())
	time.Sleep(2 * time.Second)
	stop()
	users.Wait()
	mu.Lock()
	defer mu.Unlock()
	if gap := end.Sub(lastTaken); gap > longest && len(tried) >= 7 {
		longest, waiting = gap, len(tried)
	}
	c.note("result   %d users were answered; for %.1f s none was, while %d tried; the front said last that it is ready %.1f s before the end", taken, longest.Seconds(), waiting, end.Sub(ready).Seconds())
	if taken < 1000 {
		return false, errCannotRun
	}
	// Seven clients tried, and the front says that it is ready, so it has to take one.
	return longest <= stabilityWindow || waiting < 7 || end.Sub(ready) > 2*time.Second, nil
}

// limitDescriptors sets the limit of a process as the platform does (max_fds).
func limitDescriptors(pid int, limit uint64) error {
	l := syscall.Rlimit{Cur: limit, Max: limit}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&l)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// watchReady calls GET /ready once a second, as the platform does, on one connection.
func (c *cluster) watchReady(ctx context.Context, ip string, readyAt *atomic.Int64) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	for ctx.Err() == nil {
		answer, err := client.Get(fmt.Sprintf("http://%s:%d/ready", ip, portReady))
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			c.note("ready    %d", answer.StatusCode)
			if answer.StatusCode == http.StatusOK {
				readyAt.Store(time.Now().UnixMilli())
			}
		} else {
			c.note("ready    %v", err)
		}
		time.Sleep(time.Second)
	}
}

// visit opens a connection, sends one request and leaves the connection open until ctx
// ends or the front closes it. Without the disruption, the user closes it when it has been
// idle for idleTimeout.
func (c *cluster) visit(ctx context.Context, ip string, n int) error {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(ip, fmt.Sprint(portFront)), time.Second)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	if _, err := fmt.Fprintf(conn, "GET /status/%d HTTP/1.1\r\nHost: quotes.example\r\nX-Request-Id: %016x\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer %s\r\n\r\n", n, rand.Uint64(), callerKey); err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		_ = conn.Close() // the front has not read the request
		return err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	limit := time.Time{}
	if !c.trouble {
		limit = time.Now().Add(idleTimeout)
	}
	go func() {
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		_ = conn.SetDeadline(limit)
		_, _ = reader.ReadByte() // until the front closes the connection, or ctx or the time ends
		_ = conn.Close()
	}()
	return nil
}
