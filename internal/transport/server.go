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
	// Authorize refuses a request by returning false. Nil refuses all.
	Authorize func(r *http.Request) bool
	// OnOpen and OnClose, when set, are told of sessions.
	OnOpen, OnClose func(s *Session)
	// Bytes, when set, counts the payload of all sessions.
	Bytes *ByteCounts

	watcher watcher
}

// ServeHTTP implements http.Handler. It returns when the session ends.
func (v *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if v.Authorize == nil || !v.Authorize(r) {
		http.Error(w, "process token missing or wrong", http.StatusUnauthorized)
		return
	}
	var s *Session
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived: func(context.Context, []byte) bool { // only while the session reads
			s.touch()
			return true
		},
	})
	if err != nil {
		return
	}
	s = newSession(conn, r.RemoteAddr, v.Handler, v.Bytes)
	ctx, cancel := context.WithCancel(r.Context())
	s.cancel = cancel
	if v.OnOpen != nil {
		v.OnOpen(s)
	}
	_ = s.run(ctx, func(ctx context.Context) { v.watcher.watch(ctx, s) })
	if v.OnClose != nil {
		v.OnClose(s)
	}
}
