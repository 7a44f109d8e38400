package engine

import (
	"net"
	"sync"
)

// permission is asked once, immediately before an order is written.
type permission struct {
	ask func() error

	mu      sync.Mutex
	asked   bool
	refused error
}

func (p *permission) check() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.asked {
		p.asked = true
		p.refused = p.ask()
	}
	return p.refused
}

// refusal returns the error with which the order was not sent.
func (p *permission) refusal() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// permittedConn writes nothing without permission.
type permittedConn struct {
	net.Conn
	guard *permission
}

// Write implements net.Conn.
func (c *permittedConn) Write(p []byte) (int, error) {
	if err := c.guard.check(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
