package memnet_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/network/memnet"
)

// Guards against an in-memory network whose injected faults (delay, cut, stop) have
// no effect on HTTP, so that tests over it would pass without testing them.
func TestFaultsReachHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := memnet.New()
		n.SetDelay("client", "server", 10*time.Millisecond)
		l, err := n.Host("server").Listen("10.0.0.1:80")
		is.NoErr(err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(l) }()
		transport := network.HTTPTransport(n.Host("client"))
		get := func() (string, error) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://10.0.0.1:80/", nil)
			is.NoErr(err)
			response, err := transport.RoundTrip(request)
			if err != nil {
				return "", err
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			return string(body), err
		}

		started := time.Now()
		body, err := get()
		is.NoErr(err)
		is.Equal(body, "ok")
		is.Equal(time.Since(started), 40*time.Millisecond) // connection setup and request: two round trips

		n.Cut("server", "client")
		_, err = get()
		is.True(errors.Is(err, context.DeadlineExceeded))
		n.Heal("server", "client")
		_, err = get()
		is.NoErr(err)

		n.Stop("server")
		_, err = get()
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		transport.CloseIdleConnections()
		_ = server.Close()
		<-done
	})
}
