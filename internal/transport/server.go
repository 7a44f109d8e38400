package transport

import (
	"context"
	"net/http"

	"github.com/coder/websocket"
)

// Server accepts sessions. It is an http.Handler for wire.PathSession.
type Server struct {
	// Handler receives the messages of every session.
	Handler Handler
	// Authorize reports whether a request may open a session. Nil refuses all.
	Authorize func(r *http.Request) bool
	// OnOpen and OnClose, if set, are called when a session starts and after it
	// has ended.
	OnOpen, OnClose func(s *Session)
	// Bytes, if set, counts the payload of all sessions.
	Bytes *ByteCounts

	watcher watcher
}

// ServeHTTP implements http.Handler. It accepts a session and returns when the
// session has ended.
func (srv *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if srv.Authorize == nil || !srv.Authorize(r) {
		http.Error(w, "process token missing or wrong", http.StatusUnauthorized)
		return
	}
	var s *Session
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived: func(context.Context, []byte) bool { // called from Read, so s is set
			s.recordActivity()
			return true
		},
	})
	if err != nil {
		return
	}
	s = newSession(conn, r.RemoteAddr, srv.Handler, srv.Bytes)
	ctx, cancel := context.WithCancel(r.Context())
	s.cancel = cancel
	if srv.OnOpen != nil {
		srv.OnOpen(s)
	}
	_ = s.run(ctx, func(ctx context.Context) { srv.watcher.watch(ctx, s) })
	if srv.OnClose != nil {
		srv.OnClose(s)
	}
}
