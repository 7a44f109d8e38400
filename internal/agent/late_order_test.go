package agent

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/agent/agenttest"
	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

// senderBuffers simulates the kernel's send buffers on the agent's machine.
// From the first order on, bytes to the engine stay in the buffers until
// release is called, as if the engine's machine did not acknowledge them.
// Closing a connection with a linger time of 0 discards its bytes.
type senderBuffers struct {
	network.Network
	mu      sync.Mutex
	stalled bool
	onOrder func() // runs as the first order is written
	conns   []*bufferedConn
}

type bufferedConn struct {
	net.Conn
	buffers         *senderBuffers
	held            []byte
	discard, closed bool
}

func (b *senderBuffers) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := b.Network.DialContext(ctx, kind, address)
	if err != nil || address != "10.0.1.2:80" {
		return conn, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &bufferedConn{Conn: conn, buffers: b}
	b.conns = append(b.conns, c)
	return c, nil
}

func (c *bufferedConn) Write(p []byte) (int, error) {
	b := c.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.onOrder != nil && bytes.HasPrefix(p, []byte("POST /engine/orders")) {
		b.stalled = true
		go b.onOrder()
		b.onOrder = nil
	}
	if b.stalled {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *bufferedConn) SetLinger(seconds int) error {
	c.buffers.mu.Lock()
	defer c.buffers.mu.Unlock()
	c.discard = seconds == 0
	return nil
}

func (c *bufferedConn) Close() error {
	c.buffers.mu.Lock()
	defer c.buffers.mu.Unlock()
	c.closed = true
	if c.discard {
		c.held = nil
	}
	if len(c.held) > 0 {
		return nil // the kernel continues to send
	}
	return c.Conn.Close()
}

func (b *senderBuffers) setOnOrder(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onOrder = f
}

// release delivers the buffered bytes.
func (b *senderBuffers) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stalled = false
	for _, c := range b.conns {
		if len(c.held) > 0 {
			_, _ = c.Conn.Write(c.held)
		}
		c.held = nil
		if c.closed {
			_ = c.Conn.Close()
		}
	}
}

var allHosts = []string{"c0", "c1", "c2", "c3"}

// Guards against an order that takes effect after the agent's lease has ended,
// on an engine that ignores fencing tokens. The order is delayed in the send
// buffer while the agent loses its connection to the voters. Before orders were
// aborted at the end of the lease, one took effect up to 58 s later, which is
// one order timeout.
func TestLateOrderEndsWithLease(t *testing.T) {
	for _, stuck := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second, 59 * time.Second, 70 * time.Second} {
		t.Run(stuck.String(), func(t *testing.T) {
			buffers := &senderBuffers{}
			var mu sync.Mutex
			var ordered, until, effect time.Time
			runHarness(t, func(r *harness) {
				r.engine.EnforcesFencing = false
				r.wrapNetwork = func(n network.Network) network.Network { buffers.Network = n; return buffers }
			}, func(r *harness) {
				r.engine.Change(func(e *agenttest.Engine) {
					e.OnOrder = func(engine.Order) int {
						mu.Lock()
						defer mu.Unlock()
						if effect.IsZero() {
							effect = time.Now()
						}
						return 0
					}
				})
				buffers.setOnOrder(func() {
					r.net.SetIsolated(agentHost, allHosts, true)
					r.agent.state.mu.Lock()
					defer r.agent.state.mu.Unlock()
					mu.Lock()
					defer mu.Unlock()
					ordered, until = time.Now(), r.agent.state.lease.ServeUntil()
				})
				r.setCatalogue(testCatalogue(2, "2"))
				time.Sleep(stuck)
				buffers.release()
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				is := is.New(r.t)
				is.True(!ordered.IsZero())
				if effect.IsZero() {
					r.t.Logf("stuck %v: no effect", stuck)
					return
				}
				r.t.Logf("stuck %v: effect %v after the order, %v after the lease", stuck, effect.Sub(ordered), effect.Sub(until))
				is.True(!effect.After(until))
			})
		})
	}
}

// Guards against an order of a killed agent that the network delivers while the
// next agent is running, and whose effect is not corrected. The new agent must
// detect it from the engine's status.
func TestLateOrderOfKilledAgentIsCorrected(t *testing.T) {
	runHarness(t, func(r *harness) { r.engine.EnforcesFencing = false }, func(r *harness) {
		is := is.New(r.t)
		var once sync.Once
		r.net.Tap(func(from, to string, data []byte) {
			if from == agentHost && to == engineHost && bytes.HasPrefix(data, []byte("POST /engine/orders")) {
				once.Do(func() { r.net.Cut(agentHost, engineHost) })
			}
		})
		r.setCatalogue(testCatalogue(2, "2"))
		time.Sleep(time.Second)
		r.kill()
		r.setCatalogue(testCatalogue(3, "3"))
		r.start()
		time.Sleep(10 * time.Second)
		is.Equal(len(r.engine.ReceivedOrders()), 1) // version 1
		var mu sync.Mutex
		effects := map[string]time.Time{}
		r.engine.Change(func(e *agenttest.Engine) {
			e.OnOrder = func(o engine.Order) int {
				mu.Lock()
				defer mu.Unlock()
				effects[o.Set.Version] = time.Now()
				return 0
			}
		})
		r.net.Heal(agentHost, engineHost)
		time.Sleep(5 * time.Second)
		is.True(r.send(setID("3")).complete())
		mu.Lock()
		defer mu.Unlock()
		is.True(!effects["2"].IsZero()) // the late order took effect
		corrected := effects["3"].Sub(effects["2"])
		r.t.Logf("late order replaced after %v", corrected)
		is.True(corrected <= reconcileInterval+orderRetry)
	})
}
