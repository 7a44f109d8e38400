package main

import (
	"context"
	"net"

	"golang.org/x/time/rate"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

// pieceBytes is what one connection sends or receives before others on the
// same link get their turn.
const pieceBytes = 16 << 10

// machineLink limits all connections of one machine together, in each
// direction. It implements network.Network over loopback.
type machineLink struct {
	up, down *rate.Limiter
}

func newMachineLink(up, down float64) machineLink {
	return machineLink{
		up:   rate.NewLimiter(rate.Limit(up), pieceBytes),
		down: rate.NewLimiter(rate.Limit(down), pieceBytes),
	}
}

func (m machineLink) Listen(address string) (net.Listener, error) {
	l, err := network.System{}.Listen(address)
	return limitedListener{l, m}, err
}

func (m machineLink) DialContext(ctx context.Context, network_, address string) (net.Conn, error) {
	c, err := network.System{}.DialContext(ctx, network_, address)
	if err != nil {
		return nil, err
	}
	return limitedConn{c, m}, nil
}

type limitedListener struct {
	net.Listener
	link machineLink
}

func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return limitedConn{c, l.link}, nil
}

type limitedConn struct {
	net.Conn
	link machineLink
}

func (c limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), pieceBytes)])
	if n > 0 {
		_ = c.link.down.WaitN(context.Background(), n)
	}
	return n, err
}

func (c limitedConn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		piece := b[sent:min(len(b), sent+pieceBytes)]
		_ = c.link.up.WaitN(context.Background(), len(piece))
		n, err := c.Conn.Write(piece)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}
