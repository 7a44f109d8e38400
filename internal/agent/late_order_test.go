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

// senderBuffers are the send buffers of an agent's kernel. From the first order
// on, bytes to the engine stay there until released, as when the engine's
// machine does not acknowledge them. A connection closed with a linger time of
// 0 drops its bytes.
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
		return nil // the kernel goes on sending
	}
	return c.Conn.Close()
}

func (b *senderBuffers) setOnOrder(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onOrder = f
}

// release delivers what the sender still holds.
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

// Guards the window of engines that ignore fencing tokens: an order that is
// stuck on its way as its agent loses the voters takes effect no later than the
// agent's lease ends, however long it is stuck. Without the end of orders at
// the lease's end it took effect up to 58 s later, one order timeout.
func TestLateOrderEndsWithLease(t *testing.T) {
	for _, stuck := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second, 59 * time.Second, 70 * time.Second} {
		t.Run(stuck.String(), func(t *testing.T) {
			buffers := &senderBuffers{}
			var mu sync.Mutex
			var ordered, until, effect time.Time
			run(t, func(r *rig) {
				r.engine.ChecksFence = false
				r.wrap = func(n network.Network) network.Network { buffers.Network = n; return buffers }
			}, func(r *rig) {
				r.engine.Change(func(e *agenttest.Engine) {
					e.Order = func(engine.Order) int {
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
				r.accept(testCatalogue(2, "2"))
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

// Guards against an order of a killed agent that changes the engine under its
// successor, and against an engine that stays so: the successor goes by the
// engine's report. The order is stuck in the network, which delivers it late
// although the sender is gone.
func TestLateOrderOfKilledAgentIsCorrected(t *testing.T) {
	run(t, func(r *rig) { r.engine.ChecksFence = false }, func(r *rig) {
		is := is.New(r.t)
		var once sync.Once
		r.net.Tap(func(from, to string, data []byte) {
			if from == agentHost && to == engineHost && bytes.HasPrefix(data, []byte("POST /engine/orders")) {
				once.Do(func() { r.net.Cut(agentHost, engineHost) })
			}
		})
		r.accept(testCatalogue(2, "2"))
		time.Sleep(time.Second)
		r.kill()
		r.accept(testCatalogue(3, "3"))
		r.start()
		time.Sleep(10 * time.Second)
		is.Equal(len(r.engine.Ordered()), 1) // version 1
		var mu sync.Mutex
		effects := map[string]time.Time{}
		r.engine.Change(func(e *agenttest.Engine) {
			e.Order = func(o engine.Order) int {
				mu.Lock()
				defer mu.Unlock()
				effects[o.Set.Version] = time.Now()
				return 0
			}
		})
		r.net.Heal(agentHost, engineHost)
		time.Sleep(5 * time.Second)
		is.True(r.ask(setID("3")).whole())
		mu.Lock()
		defer mu.Unlock()
		is.True(!effects["2"].IsZero()) // the late order took effect
		corrected := effects["3"].Sub(effects["2"])
		r.t.Logf("late order replaced after %v", corrected)
		is.True(corrected <= reconcileInterval+orderRetry)
	})
}
