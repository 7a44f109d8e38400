package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// lingerNetwork counts connections that discard undelivered bytes on close.
type lingerNetwork struct {
	network.System
	discarding atomic.Int64
}

type lingerConn struct {
	net.Conn
	n *lingerNetwork
}

func (n *lingerNetwork) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := n.System.DialContext(ctx, kind, address)
	return lingerConn{conn, n}, err
}

func (c lingerConn) SetLinger(seconds int) error {
	if seconds == 0 {
		c.n.discarding.Add(1)
	}
	return c.Conn.(*net.TCPConn).SetLinger(seconds)
}

// Guards against an order that the kernel delivers after its timeout, and
// against responses that are mistaken for the success of an order.
func TestOrderResults(t *testing.T) {
	is := is.New(t)
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer server.Close()
	n := &lingerNetwork{}
	c := New(server.URL, n)
	defer c.Close()
	is.NoErr(c.Execute(t.Context(), Order{}, alwaysAllow))
	is.Equal(n.discarding.Load(), int64(1))
	for s, want := range map[int]error{
		http.StatusConflict: ErrStaleFencingToken, http.StatusUnprocessableEntity: ErrInvalidFiles,
		http.StatusNoContent: ErrUnexpectedResponse, http.StatusInternalServerError: ErrUnexpectedResponse,
	} {
		status = s
		err := c.Execute(t.Context(), Order{}, alwaysAllow)
		is.True(err != nil)
		is.True(errors.Is(err, want))
	}
	_, err := c.Status(t.Context())
	is.True(errors.Is(err, ErrUnexpectedResponse))
	server.Close()
	is.True(errors.Is(c.Execute(t.Context(), Order{}, alwaysAllow), ErrUnreachable))
}

// Guards against a fencing token that is not higher than those of this agent,
// of an agent that started earlier, of a lower term, and the one that the
// engine has seen.
func TestFencingTokensIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		tokens, term, engineToken, last := NewFencingTokens(clock), uint64(1), uint64(0), uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // the agent restarts; its clock may have been set back
				clock = clock.Add(time.Duration(rapid.IntRange(-5, 60).Draw(t, "s")) * time.Second)
				tokens = NewFencingTokens(clock)
			case 1:
				term++
			case 2: // the engine restarts and loses its token; the agent's clock advances
				engineToken, clock = 0, clock.Add(time.Minute)
				tokens = NewFencingTokens(clock.Add(time.Hour))
				clock = clock.Add(time.Hour)
			}
			next := tokens.Next(term, engineToken)
			if next <= last {
				t.Fatalf("token %d after %d", next, last)
			}
			last = tokens.Next(term, engineToken) // the previous order did not arrive
			if last <= next {
				t.Fatalf("token %d after %d", last, next)
			}
			engineToken = last
		}
	})
}
