// Package wire defines the messages between the system's processes.
//
// Messages are CBOR-encoded in an Envelope, one per WebSocket frame. Request and
// response bodies of callers and chunks of weights are not: they are sent over
// plain HTTP, with the headers and paths defined in http.go.
package wire
