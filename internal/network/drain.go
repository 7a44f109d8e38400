package network

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// DrainServer is an HTTP server that can announce its stop to callers: once it drains,
// every answer tells the caller not to use the connection again.
//
// http.Server.SetKeepAlivesEnabled(false) does not serve for that. It also closes the
// idle connections, and counts a connection as idle until the head of the next request
// is read completely. A request that is read at that moment is handled, but its answer is
// lost.
type DrainServer struct {
	server   *http.Server
	listener net.Listener
	draining atomic.Bool
}

// NewDrainServer returns a server for the connections of listener. It takes over server
// and wraps its handler.
func NewDrainServer(server *http.Server, listener net.Listener) *DrainServer {
	s := &DrainServer{server: server, listener: listener}
	server.Handler = s.announceClose(server.Handler)
	return s
}

// Serve serves requests until the server is closed or shut down, and returns nil then.
func (s *DrainServer) Serve() error { return Server{s.server, s.listener}.Serve() }

// StartDrain makes every further answer the last one on its connection. Connections stay
// open until then, and new ones are accepted.
func (s *DrainServer) StartDrain() { s.draining.Store(true) }

// Shutdown stops accepting connections and waits until no request is in progress. If ctx
// ends first, it returns its error.
func (s *DrainServer) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes the listener and all connections.
func (s *DrainServer) Close() error { return s.server.Close() }

func (s *DrainServer) announceClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
