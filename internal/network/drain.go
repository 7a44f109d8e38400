package network

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// DrainServer is an HTTP/1 server that can stop without closing a connection on which a
// request is being read or answered. Its handler must not hijack connections.
//
// http.Server.SetKeepAlivesEnabled(false) and http.Server.Shutdown do not guarantee that.
// Both close connections that they take to be idle, and count a connection as idle until
// the head of the next request is read completely. Shutdown also drops requests whose
// head is read after its call.
type DrainServer struct {
	server   *http.Server
	listener net.Listener
	draining atomic.Bool
	// stopped is set before the listener is closed.
	stopped atomic.Bool
	active  atomic.Int64  // connections on which a request is being read or answered
	idle    chan struct{} // signals that active has become zero

	mu    sync.Mutex
	conns map[*trackedConn]bool // open connections
}

// NewDrainServer returns a server for the connections of listener. It takes over server
// and wraps its handler.
func NewDrainServer(server *http.Server, listener net.Listener) *DrainServer {
	s := &DrainServer{server: server, idle: make(chan struct{}, 1), conns: map[*trackedConn]bool{}}
	s.listener = trackedListener{listener, s}
	server.Handler = s.track(server.Handler)
	next := server.ConnState
	nextContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, c.(*trackedConn).Conn)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if next != nil {
			next(c.(*trackedConn).Conn, state)
		}
		if state == http.StateIdle { // the answer is sent
			c.(*trackedConn).setIdle()
		}
	}
	return s
}

// Serve serves requests until the server is closed or shut down, and returns nil then.
func (s *DrainServer) Serve() error {
	err := Server{s.server, s.listener}.Serve()
	if s.stopped.Load() {
		return nil
	}
	return err
}

// StartDrain makes every further answer the last one on its connection. Connections stay
// open until then, and new ones are accepted.
func (s *DrainServer) StartDrain() { s.draining.Store(true) }

// Shutdown stops accepting connections. Requests on open connections are still served
// until none is being read or answered; then all connections are closed. If ctx ends
// first, Shutdown returns its error and closes none.
func (s *DrainServer) Shutdown(ctx context.Context) error {
	s.StartDrain()
	s.stopped.Store(true)
	_ = s.listener.Close()
	for s.active.Load() > 0 || !s.closeIdle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.idle:
		}
	}
	s.signalIdle() // to other calls of Shutdown
	_ = s.server.Close()
	return nil
}

// Close closes the listener and all connections.
func (s *DrainServer) Close() error {
	s.stopped.Store(true)
	return s.server.Close()
}

// closeIdle closes the idle connections, one after another, and reports whether none is
// left. A request that arrives on one of the others meanwhile is served.
func (s *DrainServer) closeIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state.CompareAndSwap(connIdle, connClosed) {
			_ = c.Conn.Close()
		}
		if c.state.Load() == connClosed {
			delete(s.conns, c)
		}
	}
	return len(s.conns) == 0
}

func (s *DrainServer) signalIdle() {
	select {
	case s.idle <- struct{}{}:
	default:
	}
}

type trackedListener struct {
	net.Listener
	server *DrainServer
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: accepted, server: l.server}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = true
	return c, nil
}

// States of a trackedConn.
const (
	connIdle   int32 = iota
	connActive       // a request is being read or answered
	connClosed       // no further request is read
)

// trackedConn is a connection that is active from the first byte of a request until its
// answer is sent. Its state is its own, so that closing many idle connections does not
// delay the reads of others.
type trackedConn struct {
	net.Conn
	server *DrainServer
	state  atomic.Int32
}

// setActive reports whether a request may be read or handled.
func (c *trackedConn) setActive() bool {
	if c.state.CompareAndSwap(connIdle, connActive) {
		c.server.active.Add(1)
	}
	return c.state.Load() == connActive
}

func (c *trackedConn) setIdle() {
	if c.state.CompareAndSwap(connActive, connIdle) {
		c.becameInactive()
	}
}

func (c *trackedConn) becameInactive() {
	if c.server.active.Add(-1) == 0 {
		c.server.signalIdle()
	}
}

// connKey is the key of the trackedConn in the context of a request.
type connKey struct{}

// drainHeadTimeout limits the time from the first byte of a request to the end of its head
// during a drain, which would otherwise wait for a caller that has sent stray bytes.
const drainHeadTimeout = 2 * time.Second

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.state.Load() == connActive {
		return n, err
	}
	if !c.setActive() {
		// net/http answers 400 to errors of other types.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	}
	// Until four bytes have arrived, net/http waits for the idle timeout. It sets the deadline
	// again before it reads the body.
	if timeout := c.server.server.ReadHeaderTimeout; timeout > 0 {
		if c.server.draining.Load() {
			timeout = min(timeout, drainHeadTimeout)
		}
		_ = c.SetReadDeadline(time.Now().Add(timeout)) // fails only if the connection is closed
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	if c.state.Swap(connClosed) == connActive {
		defer c.becameInactive()
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	delete(c.server.conns, c)
	return err
}

// CloseWrite closes the writing side. http.Server uses it so that an answer is not lost
// if the rest of a request is not read.
func (c *trackedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

func (s *DrainServer) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The connection is active already, unless the request was read together with the
		// one before it.
		if c := r.Context().Value(connKey{}).(*trackedConn); !c.setActive() {
			panic(http.ErrAbortHandler)
		}
		d := &drainWriter{ResponseWriter: w, draining: &s.draining}
		next.ServeHTTP(d, r)
		d.announceClose(http.StatusOK)
	})
}

// drainWriter adds "Connection: close" to an answer whose head is written during the
// drain, including that of a request that arrived earlier.
type drainWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
	wrote    bool
}

func (w *drainWriter) announceClose(status int) {
	if w.wrote {
		return
	}
	w.wrote = status >= http.StatusOK
	// http.MaxBytesReader closes the connection after a body that is too long, but not
	// through this writer.
	if w.draining.Load() || status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *drainWriter) WriteHeader(status int) {
	w.announceClose(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *drainWriter) Write(p []byte) (int, error) {
	w.announceClose(http.StatusOK)
	return w.ResponseWriter.Write(p)
}

// ReadFrom implements io.ReaderFrom, by which io.Copy needs no buffer of its own.
func (w *drainWriter) ReadFrom(r io.Reader) (int64, error) {
	w.announceClose(http.StatusOK)
	return io.Copy(w.ResponseWriter, r)
}

// Flush implements http.Flusher.
func (w *drainWriter) Flush() { _ = w.FlushError() }

// FlushError flushes for http.ResponseController.
func (w *drainWriter) FlushError() error {
	w.announceClose(http.StatusOK)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
