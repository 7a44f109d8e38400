package relay

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

const (
	// dialTimeout limits the time to open a connection. A round trip takes up to 10 ms,
	// and a server behind a network partition never answers.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout closes connections whose bytes are not acknowledged. Without it,
	// only read timeouts detect a network partition. It also closes connections whose
	// peer acknowledges but reads nothing, so it is off while a long body is sent.
	tcpUserTimeout = 1500 * time.Millisecond
	// maxIdleTime is how long an idle connection is reused if the endpoint does not
	// state an idle timeout. If the endpoint closes a connection just as a request is
	// sent, the relay cannot know whether the request ran.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that an endpoint states.
	idleMargin = time.Second
	// maxIdleConns limits the idle connections to one endpoint.
	maxIdleConns = 32
	// idleDescriptorShare is the share of the descriptors of the process that idle connections to
	// all endpoints may use. A connection is not used again for a request with an ID that it has
	// carried, so callers that repeat their IDs would let each endpoint have maxIdleConns.
	idleDescriptorShare = 0.125
	readBufferSize      = 4 << 10
	// maxRecentIDs limits the request IDs that are remembered of a connection. A faulty
	// endpoint may repeat an earlier answer, which a request with the same ID could not
	// tell from its own.
	maxRecentIDs = 32
	// maxHeadBytes limits the bytes that an endpoint may send up to the end of the head
	// of its answer, including skipped answers.
	maxHeadBytes = 64 << 10
)

// errReadLimit means that an endpoint sent more bytes than an answer may have. A faulty
// endpoint may send bytes without end.
var errReadLimit = errors.New("endpoint sent too many bytes")

// limitedConn is a connection that fails reads after a number of bytes.
type limitedConn struct {
	net.Conn
	remaining int64
	unread    []byte // read and returned to the connection; not counted again
	// renew returns the next deadline after a read has timed out, and false if there is none; nil
	// if the first deadline is final.
	renew func() (time.Time, bool)
}

func (a *limitedConn) Read(p []byte) (int, error) {
	if len(a.unread) > 0 {
		n := copy(p, a.unread)
		if a.unread = a.unread[n:]; len(a.unread) == 0 {
			a.unread = nil
		}
		return n, nil
	}
	if a.remaining <= 0 {
		return 0, errReadLimit
	}
	for {
		n, err := a.Conn.Read(p[:min(int64(len(p)), a.remaining)])
		a.remaining -= int64(n)
		if n > 0 || a.renew == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		next, ok := a.renew()
		if !ok {
			return 0, err
		}
		if err := a.SetReadDeadline(next); err != nil {
			return 0, err
		}
	}
}

// backendConn is a connection to an endpoint.
type backendConn struct {
	net.Conn
	reader      *bufio.Reader
	limited     *limitedConn // underlies reader
	idleSince   time.Time
	idleTimeout time.Duration
	reused      bool
	longWrite   bool     // TCP_USER_TIMEOUT is off
	recentIDs   []uint64 // hashes of the IDs of the latest requests
}

var idSeed = maphash.MakeSeed()

// recordID records the ID of a request that is sent on the connection.
func (c *backendConn) recordID(id string) {
	if len(c.recentIDs) == maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, maphash.String(idSeed, id))
}

// identifies reports whether an answer with this request ID on an idle connection can
// only belong to the next request. Answers without an ID belong to any request.
func (c *backendConn) identifies(id string) bool {
	return id != "" && !slices.Contains(c.recentIDs, maphash.String(idSeed, id))
}

// Write implements net.Conn.
func (c *backendConn) Write(p []byte) (int, error) {
	if len(p) > maxInlineBody && !c.longWrite {
		c.longWrite = true
		setUserTimeout(c.Conn, 0)
	}
	return c.Conn.Write(p)
}

// limitReads limits the bytes that are read from now on, besides those already
// buffered.
func (c *backendConn) limitReads(bytes int64) { c.limited.remaining = bytes }

// setReadDeadline sets the deadline of reads. After it has passed, renew returns the next one, see
// limitedConn.
func (c *backendConn) setReadDeadline(t time.Time, renew func() (time.Time, bool)) error {
	c.limited.renew = renew
	return c.SetReadDeadline(t)
}

// buffered returns the number of bytes that have arrived but were not read.
func (c *backendConn) buffered() int { return c.reader.Buffered() + len(c.limited.unread) }

// isIdle reports whether an idle connection is open and has no bytes to read.
// Unsolicited bytes belong to no request.
func (c *backendConn) isIdle() bool {
	if c.buffered() > 0 {
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
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// connPool keeps idle connections by endpoint. Each incarnation of an endpoint has its
// own key.
type connPool struct {
	network network.Network
	maxIdle int // in all; 0 for no limit

	mu   sync.Mutex
	idle map[string][]*backendConn
}

func newConnPool(n network.Network) *connPool {
	return &connPool{
		network: network.OrSystem(n), idle: map[string][]*backendConn{},
		maxIdle: int(idleDescriptorShare * float64(network.Descriptors())),
	}
}

// get returns an idle connection on which a request with this ID can be told from
// earlier ones, or opens a new one.
func (p *connPool) get(ctx context.Context, key, address, id string) (*backendConn, error) {
	for c := p.pop(key, id); c != nil; c = p.pop(key, id) {
		if time.Since(c.idleSince) < c.idleTimeout && c.isIdle() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.network.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	setUserTimeout(conn, tcpUserTimeout)
	allowed := &limitedConn{Conn: conn}
	return &backendConn{Conn: conn, limited: allowed, reader: bufio.NewReaderSize(allowed, readBufferSize)}, nil
}

// crashCheckTimeout limits the check whether an endpoint has crashed. A round trip takes
// up to 10 ms.
const crashCheckTimeout = 100 * time.Millisecond

// refusesConnections reports whether an endpoint refuses a new connection. After an answer
// has broken off, this tells a crash of the endpoint from a reset of one connection.
func (p *connPool) refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	conn, err := p.network.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// setUserTimeout sets TCP_USER_TIMEOUT if conn is a TCP connection; zero turns it off.
func setUserTimeout(conn net.Conn, timeout time.Duration) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	// Errors are ignored: without the option, read timeouts detect a partition later.
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// pop removes the idle connection that was used last and identifies answers to a request
// with this ID.
func (p *connPool) pop(key, id string) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i, c := range slices.Backward(list) {
		if c.identifies(id) {
			p.idle[key] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put returns a connection on which nothing is outstanding to the pool. The parameter
// endpointTimeout is the idle timeout that the endpoint states, or zero.
func (p *connPool) put(key string, c *backendConn, endpointTimeout time.Duration) {
	c.idleSince, c.idleTimeout = time.Now(), maxIdleTime
	if endpointTimeout > 0 {
		c.idleTimeout = min(maxIdleTime, max(endpointTimeout-idleMargin, endpointTimeout/2))
	}
	c.limited.renew = nil
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, which isIdle detects
	if c.longWrite {
		c.longWrite = false
		setUserTimeout(c.Conn, tcpUserTimeout)
	}
	p.add(key, c)
}

// putUnused returns a connection to the pool on which nothing was sent since get returned it. Its
// endpoint still counts the idle time from its last answer.
func (p *connPool) putUnused(key string, c *backendConn) {
	if c.reused {
		p.add(key, c)
		return
	}
	p.put(key, c, 0)
}

func (p *connPool) add(key string, c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
	p.makeRoom()
}

// makeRoom closes the connection that has been idle for longest if there are too many in all. The
// mutex must be held.
func (p *connPool) makeRoom() {
	total, oldest := 0, ""
	for key, list := range p.idle {
		total += len(list)
		if len(list) > 0 && (oldest == "" || list[0].idleSince.Before(p.idle[oldest][0].idleSince)) {
			oldest = key
		}
	}
	if p.maxIdle > 0 && total > p.maxIdle {
		_ = p.idle[oldest][0].Close()
		p.idle[oldest] = slices.Delete(p.idle[oldest], 0, 1)
	}
}

// prune closes connections that were idle for too long or whose endpoint is not in
// keep.
func (p *connPool) prune(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep[key] && now.Sub(c.idleSince) < c.idleTimeout {
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
