package network

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startDrainServer starts a DrainServer and returns its address.
func startDrainServer(t *testing.T, handler http.HandlerFunc) (*DrainServer, string) {
	t.Helper()
	servers, err := OpenServers(nil, ServerConfig{Address: "127.0.0.1:0", Handler: handler})
	if err != nil {
		t.Fatal(err)
	}
	servers[0].ReadHeaderTimeout, servers[0].IdleTimeout = 10*time.Second, time.Minute
	s := servers[0].Drainable()
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return s, s.listener.Addr().String()
}

// Guards against a connection that is kept after a body that is too long: the rest of
// the body would have to be read, however long it is.
func TestDrainServerClosesAfterLongBody(t *testing.T) {
	is := is.New(t)
	_, address := startDrainServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 10))
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for length, want := range map[int]int{10: http.StatusOK, 11: http.StatusRequestEntityTooLarge} {
		response, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", length)))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, want)
		is.Equal(response.Close, want != http.StatusOK)
	}
}

// Guards against a shutdown that closes a connection whose request is being handled, or
// that handles a request after its connection was closed.
func TestDrainServerAnswersWhatItHandles(t *testing.T) {
	is := is.New(t)
	const rounds, conns = 100, 50
	unanswered := 0
	for round := range rounds {
		var handled atomic.Int64
		s, address := startDrainServer(t, func(w http.ResponseWriter, _ *http.Request) { handled.Add(1) })
		var wg sync.WaitGroup
		var answered atomic.Int64
		begin := make(chan struct{})
		for range conns {
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			reader := bufio.NewReader(conn)
			exchange := func() {
				_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
				if _, err := http.ReadResponse(reader, nil); err == nil {
					answered.Add(1)
				}
			}
			exchange() // net/http then counts the connection as idle
			wg.Go(func() {
				defer func() { _ = conn.Close() }()
				<-begin
				exchange()
			})
		}
		close(begin)
		time.Sleep(time.Duration(round%20) * 50 * time.Microsecond)
		is.NoErr(s.Shutdown(t.Context()))
		wg.Wait()
		unanswered += int(handled.Load() - answered.Load())
	}
	is.Equal(unanswered, 0)
}

// Guards against a shutdown that closes a connection on which a part of a request was
// read, or that waits longer than its context.
func TestDrainServerAnswersRequestReadInPart(t *testing.T) {
	is := is.New(t)
	s, address := startDrainServer(t, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	_, _ = io.WriteString(conn, request)
	_, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, _ = io.WriteString(conn, request[:10])
	time.Sleep(50 * time.Millisecond) // until the server has read it
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.Equal(s.Shutdown(ctx), context.DeadlineExceeded)
	_, _ = io.WriteString(conn, request[10:])
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.True(response.Close)
	is.NoErr(s.Shutdown(t.Context()))
}

// Guards against a shutdown that closes a connection while a request is handled that was
// read together with the one before it.
func TestDrainServerAnswersPipelinedRequests(t *testing.T) {
	is := is.New(t)
	var handled, answered atomic.Int64
	for range 50 {
		s, address := startDrainServer(t, func(http.ResponseWriter, *http.Request) { handled.Add(1) })
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, err = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 50))
		is.NoErr(err)
		reader := bufio.NewReader(conn)
		ended := make(chan error, 1)
		for n := 1; ; n++ {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			if answered.Add(1); response.Close {
				break
			}
			if n == 5 {
				go func() { ended <- s.Shutdown(t.Context()) }()
			}
		}
		is.NoErr(<-ended)
		is.NoErr(conn.Close())
	}
	is.Equal(answered.Load(), handled.Load())
}

// Guards against a shutdown that waits for the idle timeout, because a caller has sent stray
// bytes during the drain.
func TestDrainServerDoesNotWaitForStrayBytes(t *testing.T) {
	is := is.New(t)
	s, address := startDrainServer(t, func(http.ResponseWriter, *http.Request) {})
	s.StartDrain()
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "\r\n")
	time.Sleep(50 * time.Millisecond) // until the server has read it
	ctx, cancel := context.WithTimeout(t.Context(), drainHeadTimeout+time.Second)
	defer cancel()
	is.NoErr(s.Shutdown(ctx))
}
