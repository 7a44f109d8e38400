package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	idle    chan struct{} // signals that active has become zero

	mu     sync.Mutex
	active int  // connections on which a request is being read or answered
	closed bool // no further request may be read
}

// NewDrainServer returns a server for the connections of listener. It takes over server
// and wraps its handler.
func NewDrainServer(server *http.Server, listener net.Listener) *DrainServer {
	s := &DrainServer{server: server, idle: make(chan struct{}, 1)}
	s.listener = trackedListener{listener, s}
	server.Handler = s.track(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle { // the answer is sent
			s.setIdle(c.(*trackedConn))
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
	for !s.closeIfIdle() {
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

// closeIfIdle prevents further requests from being read, unless one is being read or
// answered.
func (s *DrainServer) closeIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = s.closed || s.active == 0
	return s.closed
}

// setActive counts a connection as active. It returns false if no further request may be
// read.
func (s *DrainServer) setActive(c *trackedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.active {
		return true
	}
	if s.closed {
		return false
	}
	c.active = true
	s.active++
	return true
}

func (s *DrainServer) setIdle(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.active {
		return
	}
	c.active = false
	s.active--
	if s.active == 0 {
		s.signalIdle()
	}
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
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c, server: l.server}, nil
}

// trackedConn is a connection that is active from the first byte of a request until its
// answer is sent.
type trackedConn struct {
	net.Conn
	server *DrainServer
	active bool // guarded by server.mu
}

// connKey is the key of the trackedConn in the context of a request.
type connKey struct{}

// Read implements net.Conn. Bytes that arrive after the last request that may be read are
// dropped, so that no request is handled whose connection is about to be closed.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.server.setActive(c) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.server.setIdle(c)
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
		if c := r.Context().Value(connKey{}).(*trackedConn); !s.setActive(c) {
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

// Flush implements http.Flusher.
func (w *drainWriter) Flush() { _ = w.FlushError() }

// FlushError flushes for http.ResponseController.
func (w *drainWriter) FlushError() error {
	w.announceClose(http.StatusOK)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
