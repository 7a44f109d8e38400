package network

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const readHeaderTimeout = 5 * time.Second

// ServerConfig configures a server for OpenServers, which skips it if Address is
// empty.
type ServerConfig struct {
	Address string
	Handler http.Handler
	// Guard protects a server that faces callers; nil for none.
	Guard *Guard
}

// Server is an HTTP server with an open listener.
type Server struct {
	*http.Server
	listener net.Listener
}

// Serve serves requests until the server is closed or shut down, and returns nil
// then.
func (s Server) Serve() error {
	if err := s.Server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drainable returns the server as a DrainServer, which then serves in its place.
func (s Server) Drainable() *DrainServer { return NewDrainServer(s.Server, s.listener) }

// OpenServers opens the listeners of all servers and returns them ready to serve.
// If one fails, it closes those already open.
func OpenServers(n Network, ports ...ServerConfig) ([]Server, error) {
	var servers []Server
	for _, p := range ports {
		if p.Address == "" {
			continue
		}
		listener, err := OrSystem(n).Listen(p.Address)
		if err != nil {
			for _, s := range servers {
				_ = s.listener.Close()
			}
			return nil, fmt.Errorf("listening on %s: %w", p.Address, err)
		}
		server := &http.Server{Handler: p.Handler, ReadHeaderTimeout: readHeaderTimeout}
		if p.Guard != nil {
			listener = p.Guard.Protect(server, listener)
		}
		servers = append(servers, Server{server, listener})
	}
	return servers, nil
}

// ShutdownServers shuts the servers down one after another. It waits up to timeout
// in total for requests in progress and then closes their connections. It does not
// wait for WebSocket sessions.
func ShutdownServers(servers []Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}
