package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

func alwaysAllow() error { return nil }

// dialNetwork records whether a connection was opened.
type dialNetwork struct {
	network.System
	dialled atomic.Bool
}

func (n *dialNetwork) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := n.System.DialContext(ctx, kind, address)
	n.dialled.Store(true)
	return conn, err
}

// Guards against an order that is sent because its precheck passed before a slow
// dial, and against a refused order that reaches the engine in part.
func TestPrecheckRunsAfterDial(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	n := &dialNetwork{}
	c := New(server.URL, n)
	defer c.Close()
	refusal := errors.New("refused")
	err := c.Execute(t.Context(), Order{}, func() error {
		is.True(n.dialled.Load())
		return refusal
	})
	is.True(errors.Is(err, refusal))
	is.Equal(requests.Load(), int64(0))
	is.NoErr(c.Execute(t.Context(), Order{}, alwaysAllow))
	is.Equal(requests.Load(), int64(1))
}
