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
