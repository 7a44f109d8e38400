// Package routing is the routing configuration: which service a request goes to,
// how often it may be sent, and who may send it.
//
// A Document is validated as a whole before it takes effect, and replaces the
// one before it as a whole. Table is a Document compiled for lookups.
package routing
