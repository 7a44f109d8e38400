package network

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Reasons for which a Guard ends a connection or refuses a request.
const (
	LimitMemory      = "memory-budget"
	LimitSlowBody    = "body-too-slow"
	LimitHead        = "head-too-long"
	LimitConnections = "connections"
	LimitIdle        = "idle"
	LimitSlowHead    = "head-too-slow"
	LimitSlowAnswer  = "answer-too-slow"
)

// LimitReasons lists the reasons for which a Guard ends a connection or refuses a request.
func LimitReasons() []string {
	return []string{LimitMemory, LimitSlowBody, LimitHead, LimitSlowHead, LimitIdle, LimitSlowAnswer, LimitConnections}
}

const (
	// maxHeadBytes bounds heads where no document states a limit. Heads of the platform have
	// less than 2 KB.
	maxHeadBytes = 64 << 10
	// readBuffer is the size of the buffer of net/http, which may hold as much beyond a head.
	readBuffer = 4 << 10
	// headMargin and idleMargin are added to the limits of callers, so that a caller that uses
	// a connection until just before a limit is not cut.
	headMargin = 500 * time.Millisecond
	idleMargin = time.Second
	// maxIdleTime applies where no document states a limit.
	maxIdleTime = 3 * time.Minute
	// maxHeadTime applies where no document states a limit.
	maxHeadTime = 10 * time.Second
	// callerDescriptorShare is the share of the descriptors of the process that connections of
	// callers may use. The others are for connections to endpoints and processes, and files. With
	// two thirds, 85 callers and their requests at two endpoints used up 128 descriptors.
	callerDescriptorShare = 0.5
	// unreadTimeout is how long the rest of a body is waited for that the handler did not read.
	unreadTimeout = time.Second
)

// CallerLimits are the limits on the connections of callers. Zero values stand for defaults.
type CallerLimits struct {
	HeadBytes int
	HeadTime  time.Duration // from the first byte of a head to its end
	IdleTime  time.Duration // from an answer to the next request
}

// Guard limits what callers can use up of a process, on all listeners of servers that have it.
type Guard struct {
	budget   *Budget
	limited  func(reason string)
	maxConns int
	limits   atomic.Pointer[CallerLimits]

	mu    sync.Mutex
	conns map[*guardedConn]bool
}

// NewGuard returns a guard. Limited, which may be nil, is called for each connection that is
// closed and each request that is refused.
func NewGuard(budget *Budget, limited func(reason string)) *Guard {
	return NewPartialGuard(budget, 1, limited)
}

// NewPartialGuard is like NewGuard for one of n guards of a process, which share its descriptors
// equally.
func NewPartialGuard(budget *Budget, n int, limited func(reason string)) *Guard {
	if limited == nil {
		limited = func(string) {}
	}
	g := &Guard{budget: budget, limited: limited, conns: map[*guardedConn]bool{}}
	g.SetLimits(CallerLimits{})
	g.maxConns = int(callerDescriptorShare * float64(Descriptors()) / float64(n))
	if budget != nil {
		byMemory := max(1, int(connShare*float64(budget.limit)/connCost))
		if g.maxConns == 0 || byMemory < g.maxConns {
			g.maxConns = byMemory
		}
	}
	return g
}

// Descriptors returns how many descriptors the process may open, or 0 if that is not known.
func Descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	const enough = 1 << 20 // more than any process has
	return int(min(limit.Cur, enough))
}

// Budget returns the budget of the process.
func (g *Guard) Budget() *Budget { return g.budget }

// SetLimits changes the limits, also of connections that are open.
func (g *Guard) SetLimits(l CallerLimits) {
	if l.HeadBytes <= 0 {
		l.HeadBytes = maxHeadBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = maxHeadTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = maxIdleTime
	}
	g.limits.Store(&l)
}

// Protect prepares a server that does not serve yet, and returns the listener that it must serve.
// A server that a DrainServer takes over must be protected before.
func (g *Guard) Protect(server *http.Server, listener net.Listener) net.Listener {
	server.MaxHeaderBytes = maxHeadBytes
	server.Handler = g.trackBody(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, guardedKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		guarded, ok := c.(*guardedConn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive, http.StateHijacked:
			guarded.headEnded()
		case http.StateIdle:
			guarded.awaitHead()
		}
	}
	return &guardedListener{listener, g}
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limitUnsent(accepted)
		c := &guardedConn{Conn: accepted, guard: l.guard, since: time.Now(), inHead: true}
		if l.guard.admit(c) {
			return c, nil
		}
		l.guard.limited(LimitConnections)
		_ = accepted.Close()
	}
}

// admit adds a connection. If there are too many, others make room; if none can, the new one is not
// admitted.
func (g *Guard) admit(c *guardedConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.maxConns > 0 && len(g.conns) >= g.maxConns {
		if !g.makeRoom() {
			return false
		}
	}
	g.budget.charge(connCost)
	g.conns[c], c.cost = true, connCost
	return true
}

// guardedConn is a connection of a caller.
type guardedConn struct {
	net.Conn
	guard *Guard

	mu        sync.Mutex
	inHead    bool      // a head is awaited or being read
	headBytes int64     // of the head that is being read; 0 while the connection is idle
	headTaken int64     // from the budget, until the request has ended
	lines     headLines // of the head that is being read
	ahead     readAhead // beyond the request that is being read or answered
	since     time.Time // when the connection became idle, or the head began
	requested time.Time // read deadline that the server has set
	answer    answerState
	closed    bool
	limited   bool  // a limit has ended the connection, which net/http has yet to close
	cost      int64 // taken from the budget for the connection
}

func (c *guardedConn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.idle()
}

// idle reports whether no request has begun. The mutex must be held.
func (c *guardedConn) idle() bool {
	return c.inHead && c.headBytes == 0 && c.ahead.deadlines == 0 && !c.closed
}

// closeIdle closes the connection unless a request has begun on it, and reports whether it did.
// A request that arrives from now on is not read.
func (c *guardedConn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle() {
		return false
	}
	c.setClosed()
	_ = c.Conn.Close()
	return true
}

// setClosed returns what was taken from the budget. The mutex must be held.
func (c *guardedConn) setClosed() {
	c.guard.budget.release(c.cost + c.headTaken)
	c.closed, c.cost, c.headBytes, c.headTaken = true, 0, 0, 0
}

func (c *guardedConn) headEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	_ = c.Conn.SetReadDeadline(c.requested) // fails only if the connection is closed
}

func (c *guardedConn) awaitHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.budget.release(c.headTaken)
	c.inHead, c.headBytes, c.headTaken, c.since = true, 0, 0, time.Now()
	c.lines = headLines{}
	if c.ahead.bytes > 0 {
		c.ahead.deadlines = deadlinesOfHead
	}
}

// deadlinesOfHead is the number of deadlines that net/http sets before it reads a head: one to
// await it and one for the head itself. In between, it reads unless the head has begun.
const deadlinesOfHead = 2

// readAhead is what net/http has read beyond a request at most. It may be a part of the next
// head, or all of it.
type readAhead struct {
	bytes, lines int
	deadlines    int // until net/http uses it as the next head, unless it reads before
}

// add counts bytes of a body that were read into a buffer of a size. Only a smaller buffer than
// that of net/http may be the rest of it, behind what was read before.
func (a *readAhead) add(p []byte, size int) {
	if size >= readBuffer {
		a.bytes, a.lines = 0, 0
	}
	if size <= readBuffer {
		a.bytes += len(p)
		a.lines += bytes.Count(p, []byte{'\n'})
	}
}

// SetReadDeadline implements net.Conn. While a head is awaited, the earlier of this deadline and
// that of the guard applies.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested = t
	if c.ahead.deadlines > 0 {
		if c.ahead.deadlines--; c.ahead.deadlines == 0 {
			c.beginReadAhead()
		}
	}
	return c.applyDeadline()
}

// beginReadAhead charges a head that was read ahead, and closes the connection if there is no room
// for it. The mutex must be held.
func (c *guardedConn) beginReadAhead() {
	if !c.takeHead(costOf(c.ahead.bytes, c.ahead.lines)) {
		c.guard.limited(LimitMemory)
		c.setClosed()
		_ = c.Conn.Close()
		return
	}
	c.headBytes, c.since = 1, time.Now()
}

// takeHead takes bytes for a head, and reports whether there were as many. The mutex must be held.
func (c *guardedConn) takeHead(cost int64) bool {
	share := largeBodyShare
	if c.headTaken+cost <= smallHeadCost {
		share = 1
	}
	if !c.guard.budget.take(cost, share) {
		return false
	}
	c.headTaken += cost
	return true
}

// SetDeadline implements net.Conn.
func (c *guardedConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *guardedConn) applyDeadline() error {
	if !c.inHead {
		return c.Conn.SetReadDeadline(c.requested)
	}
	limits := c.guard.limits.Load()
	if c.headBytes == 0 { // the server does not know the limit of the document
		return c.Conn.SetReadDeadline(c.since.Add(limits.IdleTime + idleMargin))
	}
	deadline := c.since.Add(limits.HeadTime + headMargin)
	if !c.requested.IsZero() && c.requested.Before(deadline) {
		deadline = c.requested
	}
	return c.Conn.SetReadDeadline(deadline)
}

// errConnEnded is a network error, which net/http does not answer with 400.
func errConnEnded() error { return &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed} }

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	inHead := c.inHead
	if inHead {
		if c.ahead.deadlines > 0 { // nothing has been read ahead
			c.ahead = readAhead{}
		}
		_ = c.applyDeadline() // fails only if the connection is closed
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if !inHead {
		c.mu.Lock()
		c.ahead.add(p[:n], len(p))
		c.mu.Unlock()
		return n, err
	}
	if reason, ended := c.countHead(p[:n], err); ended {
		if reason != "" {
			c.guard.limited(reason)
			c.mu.Lock()
			c.limited = true
			c.mu.Unlock()
		}
		return 0, errConnEnded()
	}
	return n, err
}

// countHead counts bytes that were read, which may go beyond the end of the head, and reports
// whether the connection ends and for which reason.
func (c *guardedConn) countHead(p []byte, err error) (reason string, ended bool) {
	n := len(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed, c.limited:
		return "", true
	case errors.Is(err, os.ErrDeadlineExceeded) && c.headBytes == 0 && n == 0:
		return LimitIdle, true
	case errors.Is(err, os.ErrDeadlineExceeded) && n == 0:
		return LimitSlowHead, true
	case n == 0:
		return "", false
	}
	if c.headBytes == 0 {
		c.since = time.Now()
	}
	if c.headBytes+int64(n) > int64(c.guard.limits.Load().HeadBytes+readBuffer) {
		return LimitHead, true
	}
	lines, beyond := c.lines.count(p)
	c.ahead.add(p[n-beyond:], readBuffer)
	if !c.takeHead(costOf(n, lines)) {
		return LimitMemory, true
	}
	c.headBytes += int64(n)
	return "", false
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.setClosed()
	c.mu.Unlock()
	c.guard.remove(c)
	return c.Conn.Close()
}

func (g *Guard) remove(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// CloseWrite closes the writing side, see trackedConn.
func (c *guardedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// trackBody limits the time of reads of bodies, and returns what was taken from the budget for
// the body when the handler returns.
func (g *Guard) trackBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !awaitSent(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		now := time.Now()
		control := http.NewResponseController(w)
		h := &heldBody{budget: g.budget, begun: now, limited: g.limited}
		h.end = func() { _ = control.SetReadDeadline(time.Unix(1, 0)) } // fails only if the connection is closed
		body := &guardedBody{ReadCloser: r.Body, held: h, control: control, request: r}
		body.dropTrailer() // of which the head has announced the names
		r = r.WithContext(context.WithValue(r.Context(), heldKey{}, h))
		r.Body = body
		_ = control.SetReadDeadline(h.deadline(now))
		defer func() {
			if h.budget != nil {
				h.give(h.taken())
			}
			if !body.ended && !h.ended.Load() {
				_ = control.SetReadDeadline(time.Now().Add(unreadTimeout))
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// guardedBody is a body whose reads have a deadline.
type guardedBody struct {
	io.ReadCloser
	held    *heldBody
	control *http.ResponseController
	request *http.Request // of net/http, which enters the trailer into it
	ended   bool
	failed  bool
}

// dropTrailer drops the trailer, which nothing uses and the budget does not count: net/http holds
// up to 420 KB for the names that a head announces, and 117 KB for the fields after a body.
func (b *guardedBody) dropTrailer() { b.request.Trailer = nil }

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	if b.ended || b.failed {
		return b.ReadCloser.Read(p)
	}
	n, err := b.ReadCloser.Read(p)
	now := time.Now()
	b.held.advance(n, now)
	switch {
	case errors.Is(err, io.EOF):
		// net/http watches the connection from now on, without a deadline.
		b.ended = true
		b.dropTrailer()
		_ = b.control.SetReadDeadline(time.Time{})
	case err != nil:
		b.failed = true
		if errors.Is(bodyError(err), ErrBodyTooSlow) {
			b.held.limited(LimitSlowBody)
		}
	default:
		_ = b.control.SetReadDeadline(b.held.deadline(now))
		if b.held.ended.Load() { // since the read
			b.held.end()
		}
	}
	return n, err
}
