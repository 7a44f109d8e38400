package main

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// regionLinks are the directed links between regions, shared by all traffic
// between instances. The origin is not behind them.
type regionLinks struct {
	deployment deployment
	mu         sync.Mutex
	nodes      map[string]swarm.Node // by address
	links      map[[2]string]*regionLink
}

type regionLink struct {
	limiter *rate.Limiter
	bytes   atomic.Int64
}

func newRegionLinks(d deployment) *regionLinks {
	r := &regionLinks{deployment: d, nodes: map[string]swarm.Node{}, links: map[[2]string]*regionLink{}}
	for _, from := range d.regions {
		for _, to := range d.regions {
			if from != to {
				r.links[[2]string{from, to}] = &regionLink{limiter: rate.NewLimiter(regionLinkBytes, pieceBytes)}
			}
		}
	}
	return r
}

func (r *regionLinks) place(address string, n swarm.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes[address] = n
}

// megabytes lists what passed each link, in order of size.
func (r *regionLinks) megabytes() []float64 {
	var list []float64
	for _, l := range r.links {
		list = append(list, float64(l.bytes.Load())/1e6)
	}
	slices.Sort(list)
	return list
}

// pass waits until n bytes have passed the link.
func (l *regionLink) pass(n int) {
	l.bytes.Add(int64(n))
	for n > 0 {
		piece := min(n, pieceBytes)
		_ = l.limiter.WaitN(context.Background(), piece)
		n -= piece
	}
}

// regionNetwork is the network of one instance, region links included. Both
// directions of a connection are limited at the side that dialled.
type regionNetwork struct {
	network.Network
	self  swarm.Node
	links *regionLinks
}

// DialContext implements network.Network.
func (r regionNetwork) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := r.Network.DialContext(ctx, kind, address)
	r.links.mu.Lock()
	to, ok := r.links.nodes[address]
	r.links.mu.Unlock()
	if err != nil || !ok {
		return conn, err
	}
	c := &regionConn{Conn: conn, delay: r.links.deployment.delay(r.self, to)}
	c.up = r.links.links[[2]string{r.self.Region, to.Region}]
	c.down = r.links.links[[2]string{to.Region, r.self.Region}]
	time.Sleep(2 * c.delay)
	return c, nil
}

// regionConn delays each request and the start of its answer. up and down are
// nil within a region.
type regionConn struct {
	net.Conn
	delay    time.Duration
	up, down *regionLink
	waiting  atomic.Bool // for the start of an answer
}

// Write implements net.Conn.
func (c *regionConn) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	if c.up != nil {
		c.up.pass(len(b))
	}
	c.waiting.Store(true)
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *regionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.waiting.CompareAndSwap(true, false) {
		time.Sleep(c.delay)
	}
	if n > 0 && c.down != nil {
		c.down.pass(n)
	}
	return n, err
}
