package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

const (
	// dialTimeout bounds a new connection: a round trip takes up to about 10 ms,
	// and a server that is cut off never answers.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends connections whose bytes are not acknowledged: the other
	// side is cut off, and nothing else would say so.
	userTimeout = 1500 * time.Millisecond
	// maxIdle is how long an idle connection is reused where the endpoint does not
	// say how long it keeps it. One that closes as a request arrives leaves the
	// request's fate unknown.
	maxIdle = 4 * time.Second
	// idleMargin is kept from the time that an endpoint says it keeps an idle
	// connection.
	idleMargin = time.Second
	// maxIdleConns bounds the idle connections to one endpoint.
	maxIdleConns   = 32
	readBufferSize = 4 << 10
	// maxHeadBytes bounds what an endpoint may send before the head of its answer has
	// ended, the answers that are skipped included.
	maxHeadBytes = 64 << 10
)

// errTooLong means that an endpoint sent more than an answer can have. An endpoint in
// trouble may send bytes without end.
var errTooLong = errors.New("endpoint sent too many bytes")

// allowance reads from a connection until so many bytes are read.
type allowance struct {
	net.Conn
	left int64
}

func (a *allowance) Read(p []byte) (int, error) {
	if a.left <= 0 {
		return 0, errTooLong
	}
	n, err := a.Conn.Read(p[:min(int64(len(p)), a.left)])
	a.left -= int64(n)
	return n, err
}

// backendConn is a connection to an endpoint.
type backendConn struct {
	net.Conn
	reader   *bufio.Reader
	allowed  *allowance // below reader
	idleAt   time.Time
	keepIdle time.Duration
	reused   bool
}

// allow bounds the bytes that are read from now on, besides those in the buffer.
func (c *backendConn) allow(bytes int64) { c.allowed.left = bytes }

// clean reports whether nothing has arrived on an idle connection: bytes that
// nobody asked for belong to no request, and an end means that it is closed.
func (c *backendConn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// connPool keeps idle connections by endpoint. A new incarnation of an endpoint
// has another key.
type connPool struct {
	network network.Network

	mu   sync.Mutex
	idle map[string][]*backendConn
}

func newConnPool(n network.Network) *connPool {
	return &connPool{network: network.OrSystem(n), idle: map[string][]*backendConn{}}
}

// get returns an idle or new connection.
func (p *connPool) get(ctx context.Context, key, address string) (*backendConn, error) {
	for c := p.take(key); c != nil; c = p.take(key) {
		if time.Since(c.idleAt) < c.keepIdle && c.clean() {
			c.reused = true
			return c, nil
		}
		_ = c.Close() // nothing is sent on it any more
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.network.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limitUnacknowledged(conn)
	allowed := &allowance{Conn: conn}
	return &backendConn{Conn: conn, allowed: allowed, reader: bufio.NewReaderSize(allowed, readBufferSize)}, nil
}

// limitUnacknowledged sets the user timeout where the connection has one.
func limitUnacknowledged(conn net.Conn) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	// Without the option a cut connection is noticed later, by read time-outs.
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

func (p *connPool) take(key string) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

// put returns a connection on which nothing is outstanding. KeepIdle is zero
// when the endpoint does not say how long it keeps it.
func (p *connPool) put(key string, c *backendConn, keepIdle time.Duration) {
	c.idleAt, c.keepIdle = time.Now(), maxIdle
	if keepIdle > 0 {
		c.keepIdle = min(maxIdle, max(keepIdle-idleMargin, keepIdle/2))
	}
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, which clean finds
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// prune closes connections that are too old or whose endpoint is not in keep.
func (p *connPool) prune(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep[key] && now.Sub(c.idleAt) < c.keepIdle {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}
