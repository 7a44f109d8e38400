// Package transport carries wire messages between processes over WebSocket.
//
// A Session is one connection. It detects a silent peer by pings, bounds its
// send queue, and matches replies to requests. Server accepts sessions and
// Dialer keeps one open with back-off.
package transport
