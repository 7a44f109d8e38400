package engine

import (
	"net"
	"sync"
)

// writeGuard calls precheck once, immediately before an order is written, and
// keeps the result.
type writeGuard struct {
	precheck func() error

	mu      sync.Mutex
	checked bool
	err     error
}

func (g *writeGuard) allow() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.checked {
		g.checked = true
		g.err = g.precheck()
	}
	return g.err
}

// refusal returns the error of precheck, or nil if it passed or was not called.
func (g *writeGuard) refusal() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// guardedConn is a connection that writes only if its guard allows it.
type guardedConn struct {
	net.Conn
	guard *writeGuard
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if err := c.guard.allow(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
