// Package wire defines the messages between the system's processes.
//
// Messages travel as CBOR in an Envelope, one per WebSocket frame. Callers'
// bodies and chunks do not: they pass over plain HTTP, with the headers named
// in http.go.
package wire
