// Package transport carries wire messages between processes over WebSocket.
//
// A Session is one connection. It has a bounded send queue, matches replies to
// requests, and closes if the peer answers no pings or sends none. Server accepts
// sessions; Dialer opens one and reconnects with backoff.
package transport
