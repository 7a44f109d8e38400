package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/admission"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// pauseAfterRefusal is longer than an endpoint gets no requests after it refused one.
const pauseAfterRefusal = 150 * time.Millisecond

// formatRefusal returns a refusal that carries a request ID, or none if id is empty.
func formatRefusal(id string) string {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
	if id == "" {
		return refusal + "\r\n"
	}
	return refusal + "X-Request-Id: " + id + "\r\n\r\n"
}

// Guards against taking an earlier refusal that a faulty endpoint repeats on a reused
// connection for the answer to the next request. The endpoint runs that request, which
// must not run elsewhere or be reported as not run.
func TestRepeatedRefusalIsNotTheNextAnswer(t *testing.T) {
	for _, c := range []struct {
		name, repeated string
		status         int
	}{
		{"with the ID of its own request", formatRefusal("first"), http.StatusOK},
		{"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + formatRefusal("first"), http.StatusOK},
		{"without an ID", formatRefusal(""), http.StatusBadGateway},
		{"without an ID, after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + formatRefusal(""), http.StatusBadGateway},
		{"without an ID, after another answer", formatRefusal("first") + formatRefusal(""), http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int64
			faulty := newServer(t, func(conn net.Conn, r *http.Request) bool {
				if r.Header.Get("X-Request-Id") == "first" {
					_, err := io.WriteString(conn, formatRefusal("first"))
					return err == nil
				}
				ran.Add(1)
				_, _ = io.WriteString(conn, c.repeated)
				return ok(conn, r)
			})
			_, url := newEntry(t, faulty)
			response, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", func(r *http.Request) { r.Header.Set("X-Request-Id", "first") })
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			time.Sleep(pauseAfterRefusal)
			response, _, err = send(t, url, "/unsafe/book", http.MethodPost, "order", func(r *http.Request) { r.Header.Set("X-Request-Id", "second") })
			is.NoErr(err)
			is.Equal(ran.Load(), int64(1))
			is.Equal(response.StatusCode, c.status)
		})
	}
}

// Guards against running a request a second time on another endpoint because the first,
// which runs it, repeats an earlier refusal on a reused connection.
func TestRepeatedRefusalDoesNotRunARequestTwice(t *testing.T) {
	is := is.New(t)
	faulty := newServer(t, func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Request-Id") != "first" {
			_, _ = io.WriteString(conn, formatRefusal(""))
		}
		return ok(conn, r)
	})
	other := newServer(t, ok)
	_, url := newEntry(t, faulty, other)
	for i, id := range []string{"first", "second"} {
		_, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", func(r *http.Request) { r.Header.Set("X-Request-Id", id) })
		is.NoErr(err)
		is.Equal(faulty.count(), i+1)
		is.Equal(other.count(), 0)
	}
}

// Guards against telling repeated answers from new ones by the request ID alone: callers
// choose the ID, and several requests may have the same one or none.
func TestRepeatedRefusalOfTheSameIDIsNotTheNextAnswer(t *testing.T) {
	for name, ids := range map[string][]string{"same ID": {"same", "same", "same"}, "no ID": {"first", ""}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			faulty := newServerPerConn(t, func() reply {
				sent := 0
				return func(conn net.Conn, r *http.Request) bool {
					if sent++; sent > 1 {
						_, _ = io.WriteString(conn, formatRefusal(r.Header.Get("X-Request-Id")))
					}
					return ok(conn, r)
				}
			})
			other := newServer(t, ok)
			_, url := newEntry(t, faulty, other)
			for i, id := range ids {
				response, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", func(r *http.Request) { r.Header.Set("X-Request-Id", id) })
				is.NoErr(err)
				is.Equal(faulty.count(), i+1)
				is.Equal(other.count(), 0)
				is.Equal(response.StatusCode, http.StatusOK)
			}
		})
	}
}

// Guards against new connections without need: only a request whose ID was used on all
// idle connections gets one.
func TestConnectionIsReusedForOtherIDs(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	s := newServerPerConn(t, func() reply {
		connections.Add(1)
		return ok
	})
	_, url := newEntry(t, s)
	for i := range 2 * maxRecentIDs {
		_, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", func(r *http.Request) { r.Header.Set("X-Request-Id", fmt.Sprint("r", i)) })
		is.NoErr(err)
	}
	is.Equal(connections.Load(), int64(1))
	for range 2 {
		_, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", func(r *http.Request) { r.Header.Set("X-Request-Id", "same") })
		is.NoErr(err)
	}
	is.Equal(connections.Load(), int64(2))
}

// Guards against reusing a connection on which the endpoint refused a request before it
// read the body: the endpoint takes the next bytes for the rest of the body.
func TestConnectionIsNotReusedDuringABody(t *testing.T) {
	is := is.New(t)
	const bodyBytes = 24 << 20 // does not fit into the socket buffers
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	received := make(chan int64, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, formatRefusal(r.Header.Get("X-Request-Id")))
		time.Sleep(pauseAfterRefusal)
		n, _ := io.Copy(io.Discard, reader) // until the relay closes the connection
		received <- n
	}()
	other := newServer(t, ok)
	h, url := newEntry(t, &server{listener: l}, other)
	document := testDocument()
	document.Limits.BodyBytes = 2 * bodyBytes
	h.fleet = fixedState{table: routing.Compile(document)}
	response, _, err := send(t, url, "/unsafe/book", http.MethodPost, strings.Repeat("x", bodyBytes), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(other.count(), 1)
	is.Equal(len(other.bodies[0]), bodyBytes)
	select {
	case n := <-received:
		is.True(n < bodyBytes)
	case <-time.After(5 * time.Second):
		t.Error("connection is still open 5 s after the refusal")
	}
}

// Guards against passing on a status that tells callers that the request did not run,
// from an endpoint that does not say so.
func TestRefusalWithoutPromiseIsNotPassedOn(t *testing.T) {
	for name, answer := range map[string]string{
		"408":       "408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
		"429":       "429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
		"503":       "503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"503, long": fmt.Sprintf("503 Service Unavailable\r\nContent-Length: %d\r\n\r\n%s", 2*maxBufferedAnswer, strings.Repeat("x", 2*maxBufferedAnswer)),
	} {
		for _, path := range []string{"/unsafe/book", "/stream/quote"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				s := newServer(t, func(conn net.Conn, _ *http.Request) bool {
					_, err := io.WriteString(conn, strings.Replace("HTTP/1.1 "+answer, "\r\n", "\r\n"+signedHeaders, 1))
					return err == nil
				})
				_, url := newEntry(t, s)
				response, _, err := send(t, url, path, http.MethodPost, "order", nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusBadGateway)
				is.Equal(response.Header.Get("X-Server-Stamp"), "")
			})
		}
	}
}

// Guards against holding a request until its deadline because the body of a refusal does
// not come, although its head already says that the request did not run.
func TestStalledBodyOfARefusalDoesNotHoldTheRequest(t *testing.T) {
	is := is.New(t)
	stalling := newServer(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"+signedHeaders+"Content-Length: 4\r\n\r\nbu")
		_, _ = conn.Read(make([]byte, 1)) // returns when the relay closes the connection
		return false
	})
	other := newServer(t, ok)
	_, url := newEntry(t, stalling, other)
	began := time.Now()
	response, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(stalling.count(), 1)
	is.True(time.Since(began) < time.Second) // long before the deadline of the request
}

// Guards against a retry budget that is used up by retries that are not sent, because the request
// gets no other endpoint.
func TestUnsentRetriesAreReturned(t *testing.T) {
	is := is.New(t)
	s := newServer(t, notRun)
	h, url := newEntry(t, s)
	const retries = 5
	h.dispatcher.pools["dispatch"].retryBudget = &admission.RetryBudget{Ratio: retries, Burst: retries}
	response, body, err := send(t, url, "/unsafe/book", http.MethodPost, "order", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(body, "no-endpoint\n")
	is.Equal(s.count(), 1)
	left := 0
	for h.dispatcher.withdrawRetry("dispatch") {
		left++
	}
	is.Equal(left, retries)
}
