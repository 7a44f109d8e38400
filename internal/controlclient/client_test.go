package controlclient

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startFakeReplica starts a control replica that answers proposals with a
// function. It returns the address and the number of proposals received.
func startFakeReplica(t *testing.T, answer func() *wire.ProposeReply) (string, *atomic.Int64) {
	t.Helper()
	var proposals atomic.Int64
	server := httptest.NewServer(&transport.Server{
		Authorize: func(*http.Request) bool { return true },
		Handler: func(_ context.Context, s *transport.Session, env wire.Envelope) {
			if env.Type != wire.TypePropose {
				return
			}
			proposals.Add(1)
			reply := answer()
			if reply == nil {
				s.Close()
				return
			}
			_ = s.Reply(env, *reply)
		},
	})
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), &proposals
}

func startClient(t *testing.T, replicas ...string) *Client {
	t.Helper()
	c := New(Config{Name: "test", Replicas: replicas})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for range 200 {
		open := 0
		for _, d := range c.allDialers() {
			if d.Session() != nil {
				open++
			}
		}
		if open == len(replicas) {
			return c
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("sessions did not open")
	return nil
}

// A proposal must reach the leader if the first replica asked is a follower.
func TestProposeFollowsTheLeader(t *testing.T) {
	is := is.New(t)
	result, err := wire.Marshal(ledger.Result{Status: ledger.StatusAccepted})
	is.NoErr(err)
	leader, _ := startFakeReplica(t, func() *wire.ProposeReply {
		return &wire.ProposeReply{Status: wire.ProposeCommitted, Result: result}
	})
	follower, _ := startFakeReplica(t, func() *wire.ProposeReply {
		return &wire.ProposeReply{Status: wire.ProposeNotRun, Leader: leader}
	})
	c := startClient(t, follower, leader)
	got, err := c.Propose(t.Context(), ledger.Command{})
	is.NoErr(err)
	is.Equal(got.Status, ledger.StatusAccepted)
	is.Equal(c.candidates()[0], leader)
}

// A command must not be sent to a second replica after the first may have
// committed it: the second reply would hide the first.
func TestProposeIsNotRetriedAfterLostReply(t *testing.T) {
	is := is.New(t)
	dropping, _ := startFakeReplica(t, func() *wire.ProposeReply { return nil })
	other, proposals := startFakeReplica(t, func() *wire.ProposeReply {
		return &wire.ProposeReply{Status: wire.ProposeCommitted}
	})
	c := startClient(t, dropping, other)
	_, err := c.Propose(t.Context(), ledger.Command{})
	is.True(errors.Is(err, ErrOutcomeUnknown))
	is.Equal(proposals.Load(), int64(0))
}

// An unreachable control plane must not be reported as an unknown outcome:
// nothing was sent, so the command was not committed.
func TestProposeWithoutReplicasIsNotCommitted(t *testing.T) {
	is := is.New(t)
	c := New(Config{Name: "test", Replicas: []string{"127.0.0.1:1"}})
	ctx, cancel := context.WithTimeout(t.Context(), 120*time.Millisecond)
	defer cancel()
	_, err := c.Propose(ctx, ledger.Command{})
	is.True(errors.Is(err, ErrNotCommitted))
}

// An agent must connect to a voter that was added after its start.
func TestLearnsReplicasFromConfirmations(t *testing.T) {
	is := is.New(t)
	added, _ := startFakeReplica(t, func() *wire.ProposeReply { return nil })
	server := httptest.NewServer(&transport.Server{
		Authorize: func(*http.Request) bool { return true },
		Handler: func(_ context.Context, s *transport.Session, env wire.Envelope) {
			if env.Type == wire.TypeConfirmRequest {
				_ = s.Send(wire.ConfirmReply{Addresses: map[string]string{"added": added}})
			}
		},
	})
	t.Cleanup(server.Close)
	c := startClient(t, strings.TrimPrefix(server.URL, "http://"))
	is.Equal(c.Broadcast(wire.ConfirmRequest{}), 1)
	for range 200 {
		if d := c.dialer(added); d != nil && d.Session() != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no session to the added replica")
}
