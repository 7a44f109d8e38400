package transport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against replies that are delivered to a caller of another request.
func TestRepliesMatchRequests(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(&Server{
		Authorize: func(r *http.Request) bool { return r.Header.Get("Authorization") == "Bearer secret" },
		Handler: func(_ context.Context, s *Session, env wire.Envelope) {
			var request wire.ConfirmRequest
			if env.Into(&request) == nil {
				_ = s.Reply(env, wire.ConfirmReply{Mark: request.Mark})
			}
		},
	})
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()

	s, err := (&Dialer{Address: strings.TrimPrefix(server.URL, "http://"), Token: "secret"}).Connect(ctx)
	is.NoErr(err)
	defer func() { s.Close(); <-s.Done() }()
	errs := make(chan error, 50)
	for mark := range uint64(50) {
		go func() {
			var reply wire.ConfirmReply
			err := s.Request(ctx, wire.ConfirmRequest{Mark: mark}, &reply)
			if err == nil && reply.Mark != mark {
				err = wire.Error{Code: "crossed"}
			}
			errs <- err
		}()
	}
	for range 50 {
		is.NoErr(<-errs)
	}
}

// Guards against a server that accepts sessions without a valid token.
func TestSessionRefusesWrongToken(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(&Server{Authorize: func(*http.Request) bool { return false }})
	defer server.Close()
	_, err := (&Dialer{Address: strings.TrimPrefix(server.URL, "http://"), Token: "x"}).Connect(t.Context())
	is.True(err != nil)
}
