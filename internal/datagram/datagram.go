// Package datagram exchanges small CBOR messages over UDP between processes of the
// same role. It does not resend lost messages: the next message makes up for a lost
// one, so the protocols that use it must tolerate loss.
package datagram

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	// maxBytes limits a received message; longer ones are truncated and rejected as
	// malformed.
	maxBytes = 16 << 10
	// errorPause keeps reads from a failing socket from becoming a busy loop.
	errorPause = 100 * time.Millisecond
)

// Conn sends and receives messages of type M on a UDP socket.
type Conn[M any] struct {
	conn *net.UDPConn
	log  log.Interface
}

// Open listens on a UDP address.
func Open[M any](address string, logger log.Interface) (*Conn[M], error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, oops.In("datagram").Wrap(err)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, oops.In("datagram").Wrap(err)
	}
	return &Conn[M]{conn: conn, log: logger}, nil
}

// Address returns the local address.
func (c *Conn[M]) Address() net.Addr { return c.conn.LocalAddr() }

// Close closes the socket.
func (c *Conn[M]) Close() { _ = c.conn.Close() }

// Send sends a message, which may be lost.
func (c *Conn[M]) Send(to netip.AddrPort, m M) {
	data, err := wire.Marshal(m)
	if err != nil {
		c.log.WithError(err).Error("peer_message_failed")
		return
	}
	_, _ = c.conn.WriteToUDPAddrPort(data, to) // a failed send is treated as a lost message
}

// Receive calls handle for one message after another. It returns when a read ends
// after ctx has ended; closing the Conn ends a pending read.
func (c *Conn[M]) Receive(ctx context.Context, handle func(M)) {
	buffer := make([]byte, maxBytes)
	for ctx.Err() == nil {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				c.log.WithError(err).Warn("peer_read_failed")
				time.Sleep(errorPause)
			}
			continue
		}
		var m M
		if err := wire.Unmarshal(buffer[:n], &m); err != nil {
			c.log.WithError(err).WithFields(log.Fields{"from": from.String(), "bytes": n}).Warn("peer_message_malformed")
			continue
		}
		handle(m)
	}
}
