// Package datagram carries small CBOR messages between processes of the same role over
// UDP, where a message that is lost is made up for by the next.
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
	// maxBytes bounds a message; longer ones are cut and found malformed.
	maxBytes = 16 << 10
	// errorPause keeps a failing socket from taking the processor.
	errorPause = 100 * time.Millisecond
)

// Conn sends and receives messages of one type.
type Conn[M any] struct {
	conn *net.UDPConn
	log  log.Interface
}

// Open listens on an address.
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

// Close ends the port.
func (c *Conn[M]) Close() { _ = c.conn.Close() }

// Send sends a message. It may be lost.
func (c *Conn[M]) Send(to netip.AddrPort, m M) {
	data, err := wire.Marshal(m)
	if err != nil {
		c.log.WithError(err).Error("peer_message_failed")
		return
	}
	_, _ = c.conn.WriteToUDPAddrPort(data, to) // the receiver does without it, or is asked again
}

// Receive hands messages on, one after another, until ctx ends.
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
