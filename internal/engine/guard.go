package engine

import (
	"net"
	"sync"
)

// writeGuard is asked once, immediately before an order is written.
type writeGuard struct {
	precheck func() error

	mu      sync.Mutex
	checked   bool
	err error
}

func (p *writeGuard) allow() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.checked {
		p.checked = true
		p.err = p.precheck()
	}
	return p.err
}

// refusal returns the error with which the order was not sent.
func (p *writeGuard) refusal() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// guardedConn writes nothing without permission.
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
