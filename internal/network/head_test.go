package network_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/network/memnet"
)

// headOf returns a head of at most size bytes, without its empty line, of lines with different
// names.
func headOf(first string, size int) (head string, lines int) {
	var b strings.Builder
	b.WriteString(first)
	lines = strings.Count(first, "\n")
	for i := 0; b.Len()+len("\r\n") < size-8; i++ {
		fmt.Fprintf(&b, "%x:\n", i)
		lines++
	}
	return b.String(), lines
}

// Guards against heads that are charged by their bytes alone, from their arrival until the
// request has ended, and against a single head of the longest legal size that is refused.
func TestHeadLinesAreCharged(t *testing.T) {
	bothServers(t, 45<<20, func(g *guarded) {
		head, lines := headOf("POST / HTTP/1.1\r\nHost: x\r\nWait: 10s\r\nContent-Length: 1\r\n", 16<<10)
		cost := int64(network.HeadCost*len(head) + network.HeadLineCost*lines)
		c := g.dial()
		for range 2 {
			c.write(head)
			time.Sleep(time.Second)
			g.Equal(g.budget.Used(), network.ConnCost+cost)
			c.write("\r\n")
			time.Sleep(time.Second)
			g.True(g.budget.Used() >= network.ConnCost+cost)
			c.write("x")
			time.Sleep(time.Second)
			g.True(g.budget.Used() >= network.ConnCost+cost)
			g.Equal(c.status(), http.StatusOK)
			time.Sleep(time.Second)
			g.Equal(g.budget.Used(), int64(network.ConnCost))
		}
	})
}

// Guards against lines of a body that are charged as those of a head.
func TestLinesOfBodiesAreNotCharged(t *testing.T) {
	bothServers(t, 45<<20, func(g *guarded) {
		c := g.dial()
		c.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("\r\n", 900))
		time.Sleep(time.Second)
		g.True(g.budget.Used() < network.ConnCost+(32<<10))
	})
}

// Guards against heads of many lines that keep out ordinary requests.
func TestOrdinaryHeadsFitBesideLongOnes(t *testing.T) {
	bothServers(t, 4<<20, func(g *guarded) {
		head, _ := headOf("POST / HTTP/1.1\r\nHost: x\r\n", 16<<10)
		for range 20 {
			go g.dial().write(head)
		}
		time.Sleep(time.Second)
		g.True(g.count(network.LimitMemory) > 0)
		for range 3 {
			c := g.dial()
			c.begin(0)
			g.Equal(c.status(), http.StatusOK)
		}
	})
}

// Guards against empty lines before a request, after which the lines of its head are not charged.
func TestEmptyLinesDoNotEndHeads(t *testing.T) {
	bothServers(t, 45<<20, func(g *guarded) {
		c := g.dial()
		c.begin(0)
		g.Equal(c.status(), http.StatusOK)
		head, lines := headOf("\r\nPOST / HTTP/1.1\r\nHost: x\r\n", 4000)
		c.write(head)
		time.Sleep(time.Second)
		g.Equal(g.budget.Used(), int64(network.ConnCost+network.HeadCost*len(head)+network.HeadLineCost*lines))
	})
}

// Guards against trailers that are held until the request has ended, uncounted.
func TestTrailersAreNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := memnet.New()
		var inner, outer *http.Request
		guard := network.NewGuard(network.NewBudget(1<<20), nil)
		held := make(chan int, 2)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			inner = r
			held <- len(inner.Trailer) + len(outer.Trailer)
			_, err := io.Copy(io.Discard, r.Body)
			is.NoErr(err)
			held <- len(inner.Trailer) + len(outer.Trailer)
		})}
		listener, err := net.Host("server").Listen(guardedAddress)
		is.NoErr(err)
		listener = guard.Protect(server, listener)
		guarded := server.Handler
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			outer = r
			guarded.ServeHTTP(w, r)
		})
		go func() { _ = server.Serve(listener) }()
		conn, err := net.Host("caller").DialContext(t.Context(), "tcp", guardedAddress)
		is.NoErr(err)
		for _, announced := range []string{"", "Trailer: a, b\r\n"} {
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"+announced+"\r\n1\r\nx\r\n0\r\na: 1\r\nb: 2\r\n\r\n")
			is.NoErr(err)
			is.Equal(<-held, 0)
			is.Equal(<-held, 0)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
		}
		_ = server.Close()
		_ = conn.Close()
	})
}

// Guards against heads that are not charged, or that may take the time of an idle connection,
// because their lines were read together with the request before them.
func TestHeadsReadAheadAreCharged(t *testing.T) {
	for name, first := range map[string]string{
		"no body": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
		"length":  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nxxxx",
		"chunks":  "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nxxxx\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			bothServers(t, 45<<20, func(g *guarded) {
				g.guard.SetLimits(network.CallerLimits{HeadTime: 3 * time.Second, IdleTime: 15 * time.Second})
				next, lines := headOf("POST / HTTP/1.1\r\nHost: x\r\n", 3900)
				c := g.dial()
				c.write(first + next)
				time.Sleep(time.Second)
				used := g.budget.Used()
				g.True(used >= int64(network.ConnCost+network.HeadCost*len(next)+network.HeadLineCost*lines))
				more, lines := headOf("", 3000)
				c.write(more)
				time.Sleep(time.Second)
				g.Equal(g.budget.Used()-used, int64(network.HeadCost*len(more)+network.HeadLineCost*lines))
				g.Equal(c.status(), http.StatusOK)
				after := c.closedAfter()
				g.True(after > time.Second && after <= 2*time.Second)
				g.Equal(g.count(network.LimitSlowHead), 1)
			})
		})
	}
}

// Guards against closing the connection of a request as idle, because its head was read together
// with the request before it.
func TestRequestReadAheadIsNotCut(t *testing.T) {
	bothServers(t, 1<<20, func(g *guarded) {
		g.guard.SetLimits(network.CallerLimits{IdleTime: time.Second, HeadTime: time.Second})
		g.guard.SetMaxConns(2)
		c := g.dial()
		c.write("GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\nWait: 20s\r\n\r\n")
		g.Equal(c.status(), http.StatusOK)
		for range 3 {
			time.Sleep(100 * time.Millisecond)
			g.dial()
		}
		g.Equal(c.status(), http.StatusOK)
		time.Sleep(100 * time.Millisecond)
		g.Equal(g.budget.Used(), int64(network.ConnCost))
	})
}

// Guards against heads that use more memory than the process has for callers, because they were
// read together with the request before them.
func TestHeadsReadAheadStayWithinTheBudget(t *testing.T) {
	const budget = 2 << 20
	bothServers(t, budget, func(g *guarded) {
		next, _ := headOf("POST / HTTP/1.1\r\nHost: x\r\nWait: 10s\r\n", 3900)
		for i := range 40 {
			c := g.dial()
			c.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" + next)
			if i%2 == 0 {
				c.write("\r\n") // complete
			}
			status := c.status()
			g.True(status == http.StatusOK || status == 0) // closing its connection is allowed
		}
		time.Sleep(time.Second)
		g.True(g.budget.Used() <= budget)
		g.True(g.count(network.LimitMemory) > 0)
		time.Sleep(20 * time.Second)
		c := g.dial()
		c.begin(0)
		g.Equal(c.status(), http.StatusOK)
	})
}
