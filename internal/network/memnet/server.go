package memnet

import (
	"net/http"
	"net/http/httptest"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

// StartServer starts a server for handler on a free loopback port of n, or of the
// operating system if n is nil. The caller must close the server.
func StartServer(n network.Network, handler http.Handler) (*httptest.Server, error) {
	listener, err := network.OrSystem(n).Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: handler}}
	server.Start()
	return server, nil
}
