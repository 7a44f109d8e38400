package network_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/network/memnet"
)

const (
	guardedAddress = "10.0.0.1:80"
	testBodyLimit  = 4 << 20
)

// guarded is a server with a guard in virtual time. Its handler reads the body and answers with
// its length, or with the status of the refusal.
type guarded struct {
	*is.I
	t       *testing.T
	net     *memnet.Network
	guard   *network.Guard
	budget  *network.Budget
	mu      sync.Mutex
	reasons map[string]int
}

func runGuarded(t *testing.T, bytes int64, drainable bool, test func(g *guarded)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &guarded{I: is.New(t), t: t, net: memnet.New(), budget: network.NewBudget(bytes), reasons: map[string]int{}}
		g.guard = network.NewGuard(g.budget, func(reason string) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.reasons[reason]++
		})
		servers, err := network.OpenServers(g.net.Host("server"), network.ServerConfig{Address: guardedAddress, Handler: http.HandlerFunc(g.serve), Guard: g.guard})
		g.NoErr(err)
		var server interface {
			Serve() error
			Close() error
		} = servers[0]
		if drainable {
			server = servers[0].Drainable()
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve()
		}()
		test(g)
		_ = server.Close()
		<-done
		g.net.Stop("caller")
		time.Sleep(time.Minute)
		g.Equal(g.budget.Used(), int64(0)) // all was returned
	})
}

func (g *guarded) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		return
	}
	data, err := network.ReadBody(w, r, testBodyLimit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, network.ErrMemoryBudget):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, network.ErrBodyTooSlow):
		w.WriteHeader(http.StatusRequestTimeout)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		if strings.Trim(string(data), "x") != "" {
			g.t.Error("the body was changed")
		}
		if wait, err := time.ParseDuration(r.Header.Get("Wait")); err == nil {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
				g.t.Error("the request was cancelled")
			}
		}
		_, _ = fmt.Fprint(w, len(data))
	}
}

func (g *guarded) count(reason string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reasons[reason]
}

type caller struct {
	net.Conn
	reader *bufio.Reader
	g      *guarded
}

func (g *guarded) dial() *caller {
	conn, err := g.net.Host("caller").DialContext(g.t.Context(), "tcp", guardedAddress)
	g.NoErr(err)
	return &caller{conn, bufio.NewReader(conn), g}
}

func (c *caller) write(text string) { _, _ = io.WriteString(c, text) }

func (c *caller) begin(length int) {
	c.write(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length))
}

// status reads an answer and returns its status, or 0 if the connection was closed.
func (c *caller) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// closedAfter returns how long it takes until the connection is closed.
func (c *caller) closedAfter() time.Duration {
	begun := time.Now()
	_, err := io.Copy(io.Discard, c.reader)
	c.g.True(err == nil || !errors.Is(err, net.ErrClosed))
	return time.Since(begun)
}

func bothServers(t *testing.T, bytes int64, test func(g *guarded)) {
	for _, drainable := range []bool{false, true} {
		t.Run(fmt.Sprint("drainable ", drainable), func(t *testing.T) { runGuarded(t, bytes, drainable, test) })
	}
}

// Guards against connections that are kept open however short the idle time of the routing
// document is, and against closing one that a caller may still use: callers reuse connections for
// up to four fifths of the idle time.
func TestIdleConnectionsAreClosed(t *testing.T) {
	bothServers(t, 1<<20, func(g *guarded) {
		g.guard.SetLimits(network.CallerLimits{IdleTime: 15 * time.Second})
		unused, used := g.dial(), g.dial()
		for range 3 {
			time.Sleep(12 * time.Second)
			used.begin(0)
			g.Equal(used.status(), http.StatusOK)
		}
		g.Equal(unused.closedAfter(), time.Duration(0))
		after := used.closedAfter()
		g.True(after > 15*time.Second && after <= 17*time.Second)
		g.Equal(g.count(network.LimitIdle), 2)
		g.guard.SetLimits(network.CallerLimits{IdleTime: 3 * time.Second}) // a new document
		after = g.dial().closedAfter()
		g.True(after > 3*time.Second && after <= 5*time.Second)
	})
}

// Guards against a connection that is closed while its request runs for longer than any limit.
func TestLongRequestIsNotCut(t *testing.T) {
	bothServers(t, 1<<20, func(g *guarded) {
		g.guard.SetLimits(network.CallerLimits{IdleTime: time.Second, HeadTime: time.Second})
		c := g.dial()
		for _, body := range []string{"", "xxxx"} {
			c.write(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nWait: 1m\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
			g.Equal(c.status(), http.StatusOK)
		}
	})
}

// Guards against heads without end, of any speed.
func TestHeadsAreLimited(t *testing.T) {
	bothServers(t, 1<<20, func(g *guarded) {
		const limit = 16 << 10
		g.guard.SetLimits(network.CallerLimits{HeadBytes: limit, HeadTime: 3 * time.Second})
		head := "GET / HTTP/1.1\r\nHost: x\r\nX-More: "
		c := g.dial()
		for range 2 { // a head of the longest size is served, also a second one
			c.write(head + strings.Repeat("x", limit-len(head)-4) + "\r\n\r\n")
			g.Equal(c.status(), http.StatusOK)
		}
		c.write(head + strings.Repeat("x", 2*limit))
		g.Equal(c.status(), 0)
		g.Equal(g.count(network.LimitHead), 1)
		slow := g.dial()
		go func() {
			slow.write("GET / HTTP/1.1\r\n")
			for range 100 {
				time.Sleep(200 * time.Millisecond)
				slow.write("X-More: x\r\n")
			}
		}()
		after := slow.closedAfter()
		g.True(after >= 3*time.Second && after <= 4*time.Second)
		empty := g.dial()
		go empty.write(strings.Repeat("\r\n", 1<<20))
		empty.closedAfter()
	})
}

// Guards against bodies that stop short of their end or trickle, and hold memory and a
// connection for as long as their caller likes.
func TestSlowBodiesAreGivenUp(t *testing.T) {
	bothServers(t, 1<<20, func(g *guarded) {
		stalled := g.dial()
		stalled.begin(1000)
		stalled.write("x")
		begun := time.Now()
		g.Equal(stalled.status(), http.StatusRequestTimeout)
		g.Equal(time.Since(begun), 10*time.Second)
		g.Equal(stalled.status(), 0)
		trickling := g.dial()
		trickling.begin(1000)
		go func() {
			for range 20 {
				trickling.write("x")
				time.Sleep(time.Second)
			}
		}()
		begun = time.Now()
		g.Equal(trickling.status(), http.StatusRequestTimeout)
		g.True(time.Since(begun) < 12*time.Second)
		empty := g.dial()
		empty.begin(1000)
		begun = time.Now()
		g.Equal(empty.status(), http.StatusRequestTimeout)
		g.Equal(time.Since(begun), 10*time.Second)
		unread := g.dial()
		unread.write("POST /unread HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nx")
		g.True(unread.closedAfter() <= 12*time.Second)
		g.Equal(g.count(network.LimitSlowBody), 3)
	})
}

// Guards against giving up a body on a slow link, which has 30 KB/s.
func TestBodyOnSlowLinkIsServed(t *testing.T) {
	bothServers(t, 16<<20, func(g *guarded) {
		const size, rate = 1 << 20, 30_000
		c := g.dial()
		c.begin(size)
		go func() {
			for sent := 0; sent < size; sent += rate {
				c.write(strings.Repeat("x", min(rate, size-sent)))
				time.Sleep(time.Second)
			}
		}()
		g.Equal(c.status(), http.StatusOK)
	})
}

// Guards against bodies that use more memory than the process has for callers, whether they
// announce their length or not, and against ordinary requests that are refused because of them.
func TestBodiesStayWithinTheBudget(t *testing.T) {
	const budget = 8 << 20
	bothServers(t, budget, func(g *guarded) {
		var conns []*caller
		var sent sync.WaitGroup
		for i := range 16 {
			c := g.dial()
			conns = append(conns, c)
			sent.Go(func() {
				if i%2 == 0 {
					c.begin(1 << 20)
				} else {
					c.write("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n")
				}
				c.write(strings.Repeat("x", 1<<20-1))
			})
		}
		time.Sleep(100 * time.Millisecond)
		g.True(g.budget.Used() <= budget)
		ordinary := g.dial()
		ordinary.begin(100)
		ordinary.write(strings.Repeat("x", 100))
		begun := time.Now()
		g.Equal(ordinary.status(), http.StatusOK)
		g.Equal(time.Since(begun), time.Duration(0)) // did not wait for the others
		long := g.dial()
		long.begin(2 << 20)
		go long.write(strings.Repeat("x", 2<<20))
		g.Equal(long.status(), http.StatusOK) // stalled bodies were given up for it
		for _, c := range conns {
			status := c.status()
			g.True(status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == 0)
		}
		sent.Wait()
		time.Sleep(time.Second)                       // net/http closes connections 0.5 s after its answer
		g.True(g.budget.Used() <= 3*network.ConnCost) // of connections that are still open
		longest := g.dial()
		longest.begin(2 << 20)
		go longest.write(strings.Repeat("x", 2<<20))
		g.Equal(longest.status(), http.StatusOK)
	})
}

// Guards against an announced length that reserves memory before anything was sent.
func TestAnnouncedLengthReservesNothing(t *testing.T) {
	const conns = 50 // fit into half of the budget
	bothServers(t, 2<<20, func(g *guarded) {
		for range conns {
			g.dial().begin(1 << 20)
		}
		time.Sleep(100 * time.Millisecond)
		g.True(g.budget.Used() < conns*(network.ConnCost+(16<<10)))
		g.Equal(g.count(network.LimitMemory), 0)
	})
}

// Guards against bodies over the limit, and against the connection being used again while the
// rest of one is unread.
func TestBodiesOverTheLimitAreRefused(t *testing.T) {
	bothServers(t, 32<<20, func(g *guarded) {
		announced := g.dial()
		announced.begin(testBodyLimit + 1)
		announced.write(strings.Repeat("x", testBodyLimit+1))
		g.True(g.budget.Used() < 1<<20)
		g.Equal(announced.status(), http.StatusRequestEntityTooLarge)
		g.Equal(announced.status(), 0)
		sent := g.dial()
		go sent.write("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n800000\r\n" + strings.Repeat("x", 8<<20))
		status := sent.status() // the answer may be lost while the caller sends
		g.True(status == http.StatusRequestEntityTooLarge || status == 0)
		truncated := g.dial()
		truncated.begin(1000)
		truncated.write("xxx")
		_ = truncated.Close()
		exact := g.dial()
		exact.begin(testBodyLimit)
		go exact.write(strings.Repeat("x", testBodyLimit))
		g.Equal(exact.status(), http.StatusOK)
	})
}

// Guards against idle connections that use up the memory for callers.
func TestIdleConnectionsMakeRoomInMemory(t *testing.T) {
	bothServers(t, 20*network.ConnCost, func(g *guarded) {
		for range 30 {
			g.dial()
			time.Sleep(time.Millisecond)
			g.True(g.budget.Used() <= 10*network.ConnCost)
		}
		c := g.dial()
		c.begin(0)
		g.Equal(c.status(), http.StatusOK)
		g.Equal(g.count(network.LimitConnections), 21)
	})
}

// Guards against idle connections that use up all descriptors, and against closing connections
// with a request instead.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	bothServers(t, 1<<20, func(g *guarded) {
		g.guard.SetMaxConns(4)
		busy := g.dial()
		busy.write("POST / HTTP/1.1\r\nHost: x\r\nWait: 2s\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Millisecond)
		for range 20 {
			g.dial()
			time.Sleep(time.Millisecond)
		}
		g.Equal(g.count(network.LimitConnections), 17)
		c := g.dial()
		c.begin(0)
		g.Equal(c.status(), http.StatusOK)
		g.Equal(busy.status(), http.StatusOK)
	})
}
