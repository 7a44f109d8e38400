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

// ServerConfig is what a daemon serves on an address. Without an address it is not
// opened.
type ServerConfig struct {
	Address string
	Handler http.Handler
}

// Server is an HTTP server with its open listener.
type Server struct {
	*http.Server
	listener net.Listener
}

// Serve serves until the server is closed.
func (s Server) Serve() error {
	if err := s.Server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// OpenServers opens every port before any is served. After an error none is
// open.
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
		servers = append(servers, Server{&http.Server{Handler: p.Handler, ReadHeaderTimeout: readHeaderTimeout}, listener})
	}
	return servers, nil
}

// ShutdownServers lets requests in progress finish for the given time, and then
// closes their connections. It does not wait for WebSocket sessions.
func ShutdownServers(servers []Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}
