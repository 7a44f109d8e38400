package network_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

// Guards against bodies that keep what they hold by sending single bytes, so that others are
// refused for as long as their callers like.
func TestTricklingBodiesGiveWay(t *testing.T) {
	const (
		budget = 8 << 20
		size   = 1 << 20
		last   = 600 // bytes that are sent one by one
	)
	bothServers(t, budget, func(g *guarded) {
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for range 7 {
			c := g.dial()
			c.begin(size)
			callers.Go(func() {
				c.write(strings.Repeat("x", size-last))
				for range last {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
						c.write("x")
					}
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		g.True(g.budget.Used() > budget/2)
		for range 2 {
			sound := g.dial()
			sound.begin(2 << 20)
			go sound.write(strings.Repeat("x", 2<<20))
			g.Equal(sound.status(), http.StatusOK)
		}
		close(stop)
		callers.Wait()
	})
}

// Guards against bodies that wait for each other until all of them are refused.
func TestWaitingBodiesAreCompletedOneByOne(t *testing.T) {
	const (
		size          = 1 << 20
		callersAtOnce = 24
	)
	for _, chunked := range []bool{false, true} {
		bothServers(t, 8<<20, func(g *guarded) {
			var served, refused int
			var mu sync.Mutex
			var callers sync.WaitGroup
			for range callersAtOnce {
				c := g.dial()
				callers.Go(func() {
					if chunked {
						c.write("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n")
					} else {
						c.begin(size)
					}
					go c.write(strings.Repeat("x", size) + strings.Repeat("\r\n0\r\n\r\n", btoi(chunked)))
					status := c.status()
					mu.Lock()
					defer mu.Unlock()
					switch status {
					case http.StatusOK:
						served++
					case http.StatusServiceUnavailable:
						refused++
					}
				})
			}
			callers.Wait()
			if chunked { // how much they still need is not known
				g.True(served >= callersAtOnce/4)
			} else {
				g.True(served >= callersAtOnce/2)
			}
			g.Equal(served+refused, callersAtOnce)
			g.Equal(g.count(network.LimitMemory), refused)
			time.Sleep(time.Second) // net/http closes connections 0.5 s after a refusal
		})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
