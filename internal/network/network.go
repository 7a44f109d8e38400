// Package network defines the interface through which daemons listen and dial, so
// that tests can replace TCP by an in-memory network with injected faults.
package network

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout         = time.Second
	keepAliveInterval   = 5 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 64
	// maxResponseHeaderBytes bounds the memory that a faulty server can use up with a head
	// without end. The heads of the platform and of other processes have less than 2 KB.
	maxResponseHeaderBytes = 64 << 10
)

// Network opens listeners and connections by IP address and port.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// System is the Network that uses the operating system's TCP.
type System struct{}

// Listen implements Network.
func (System) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// DialContext implements Network.
func (System) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return d.DialContext(ctx, network, address)
}

// OrSystem returns n, or System if n is nil.
func OrSystem(n Network) Network {
	if n == nil {
		return System{}
	}
	return n
}

// SingleConnTransport returns an HTTP transport for servers that accept few
// connections. It opens one at a time and closes it after each response.
func SingleConnTransport(n Network) *http.Transport {
	t := HTTPTransport(n)
	t.MaxConnsPerHost, t.DisableKeepAlives = 1, true
	return t
}

// HTTPTransport returns an HTTP transport that dials through n. It ignores proxy
// settings in the environment and does not request compression.
func HTTPTransport(n Network) *http.Transport {
	return &http.Transport{
		DialContext:            OrSystem(n).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}
