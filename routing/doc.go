// Package routing defines the routing configuration: the service that a request is sent
// to, how often it may be retried, and which clients may send it.
//
// A Document is validated completely before it takes effect, and it replaces the previous
// Document completely. A Table is a Document compiled for lookups.
package routing
