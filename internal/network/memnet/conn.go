package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is one side of a connection. received holds the data that its peer wrote and
// that was not read yet.
type conn struct {
	net           *Network
	local, remote string
	localAddr     net.Addr
	remoteAddr    net.Addr
	received      *receiveBuffer
	peer          *conn
}

func newConnPair(n *Network, client, server string, address addr) (*conn, *conn) {
	clientAddr := addr(client + ":0")
	c := &conn{net: n, local: client, remote: server, localAddr: clientAddr, remoteAddr: address, received: newReceiveBuffer()}
	s := &conn{net: n, local: server, remote: client, localAddr: address, remoteAddr: clientAddr, received: newReceiveBuffer()}
	c.peer, s.peer = s, c
	return c, s
}

// segment is the data of one Write, readable from the given time on.
type segment struct {
	data    []byte
	arrives time.Time
}

// receiveBuffer queues the segments of one direction in the order written.
type receiveBuffer struct {
	mu       sync.Mutex
	segments []segment
	eof      bool  // the peer closed its writing side
	err      error // the connection is broken
	changed  chan struct{}
	deadline time.Time
}

func newReceiveBuffer() *receiveBuffer { return &receiveBuffer{changed: make(chan struct{})} }

// notify makes a blocked reader check again whether it can continue.
func (b *receiveBuffer) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyLocked()
}

func (b *receiveBuffer) notifyLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *receiveBuffer) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.notifyLocked()
}

func (b *receiveBuffer) push(s segment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.segments = append(b.segments, s)
	b.notifyLocked()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, changed, until, err := c.tryRead(p)
		if n > 0 || err != nil {
			return n, err
		}
		waitForChange(changed, until)
	}
}

// tryRead reads without blocking. If n is 0 and err nil, the caller should try again
// after changed is closed or, unless until is zero, at that time.
func (c *conn) tryRead(p []byte) (n int, changed <-chan struct{}, until time.Time, err error) {
	blocked := c.net.blocked(c.remote, c.local)
	b := c.received
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	switch {
	case !b.deadline.IsZero() && !now.Before(b.deadline):
		return 0, nil, until, os.ErrDeadlineExceeded
	case b.err != nil:
		return 0, nil, until, b.err
	case blocked:
		return 0, b.changed, b.deadline, nil
	case len(b.segments) == 0 && b.eof:
		return 0, nil, until, io.EOF
	case len(b.segments) == 0:
		return 0, b.changed, b.deadline, nil
	case now.Before(b.segments[0].arrives):
		return 0, b.changed, earlier(b.segments[0].arrives, b.deadline), nil
	}
	first := &b.segments[0]
	n = copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		b.segments = b.segments[1:]
	}
	return n, nil, until, nil
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

func waitForChange(changed <-chan struct{}, until time.Time) {
	if until.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// Write implements net.Conn. It never blocks, because buffers are unbounded.
func (c *conn) Write(p []byte) (int, error) {
	c.net.mu.Lock()
	tap := c.net.onWrite
	c.net.mu.Unlock()
	if tap != nil {
		tap(c.local, c.remote, p)
	}
	c.received.mu.Lock()
	err := c.received.err
	c.received.mu.Unlock()
	if err != nil {
		return 0, err
	}
	delay := c.net.linkState(c.local, c.remote).delay
	c.peer.received.push(segment{data: append([]byte(nil), p...), arrives: time.Now().Add(delay)})
	return len(p), nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	c.received.fail(net.ErrClosed)
	b := c.peer.received
	b.mu.Lock()
	b.eof = true
	b.notifyLocked()
	b.mu.Unlock()
	return nil
}

// CloseWrite closes the writing side only, like that of net.TCPConn.
func (c *conn) CloseWrite() error {
	b := c.peer.received
	b.mu.Lock()
	b.eof = true
	b.notifyLocked()
	b.mu.Unlock()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.localAddr }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remoteAddr }

// SetDeadline implements net.Conn. Writes never block, so it only affects reads.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.received.mu.Lock()
	defer c.received.mu.Unlock()
	if c.received.err == net.ErrClosed {
		return net.ErrClosed
	}
	c.received.deadline = t
	c.received.notifyLocked()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
