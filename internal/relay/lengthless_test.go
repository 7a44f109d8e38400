package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Tests of answers without a length, which end with their connection.

const (
	lengthlessHead   = "HTTP/1.1 200 OK\r\n" + signedHeaders + "\r\n"
	lengthlessStream = "HTTP/1.1 200 OK\r\n" + signedHeaders + "Content-Type: text/event-stream\r\n\r\n"
)

// resetConn makes the following close of a connection send a reset.
func resetConn(conn net.Conn) {
	time.Sleep(20 * time.Millisecond) // the reset must not overtake the data
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// Guards against cutting sound answers without a length, and against reusing their
// connections.
func TestAnswerWithoutLengthIsComplete(t *testing.T) {
	long := strings.Repeat("x", maxBufferedAnswer+1)
	events := eventText(1) + eventText(2)
	crlf := strings.ReplaceAll(events, "\n", "\r\n")
	for name, c := range map[string]struct{ path, head, body string }{
		"answer":                    {"/unsafe/a", lengthlessHead, "done"},
		"no body":                   {"/unsafe/a", lengthlessHead, ""},
		"Connection: close":         {"/unsafe/a", "HTTP/1.1 200 OK\r\n" + signedHeaders + "Connection: close\r\n\r\n", "done"},
		"HTTP/1.0":                  {"/unsafe/a", "HTTP/1.0 200 OK\r\n" + signedHeaders + "\r\n", "done"},
		"keep-alive":                {"/unsafe/a", "HTTP/1.1 200 OK\r\n" + signedHeaders + "Connection: keep-alive\r\nKeep-Alive: timeout=9\r\n\r\n", "done"},
		"long answer":               {"/unsafe/a", lengthlessHead, long},
		"stream":                    {"/stream/a", lengthlessStream, events},
		"stream, Connection: close": {"/stream/a", "HTTP/1.1 200 OK\r\n" + signedHeaders + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", events},
		"stream, HTTP/1.0":          {"/stream/a", "HTTP/1.0 200 OK\r\n" + signedHeaders + "Content-Type: text/event-stream\r\n\r\n", events},
		"stream, CRLF":              {"/stream/a", lengthlessStream, crlf},
		"stream, comment at end":    {"/stream/a", lengthlessStream, events + ": end\n\n"},
		"stream, blank line at end": {"/stream/a", lengthlessStream, events + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, c.head+c.body)
				return false
			})
			h, url := newEntry(t, s)
			response, body, err := send(t, url, c.path, http.MethodPost, "order", nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.True(body == c.body)
			is.Equal(s.count(), 1)
			h.conns.mu.Lock()
			defer h.conns.mu.Unlock()
			is.Equal(len(h.conns.idle), 0)
		})
	}
}

// Guards against taking an answer without a length for complete because the write of the
// request's body, not the read of the answer, was told of the reset.
func TestResetDuringABodyIsNotTheEndOfTheAnswer(t *testing.T) {
	const bodyBytes = 24 << 20 // does not fit into the socket buffers
	for range 5 {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, lengthlessHead+"half")
			resetConn(conn)
			_ = conn.Close()
		}()
		h, url := newEntry(t, &server{listener: l})
		document := testDocument()
		document.Limits.BodyBytes = 2 * bodyBytes
		h.fleet = fixedState{table: routing.Compile(document)}
		response, _, err := send(t, url, "/unsafe/book", http.MethodPost, strings.Repeat("x", bodyBytes), nil)
		_ = l.Close()
		is.True(err != nil || response.StatusCode == http.StatusBadGateway)
	}
}

// Guards against dropping bytes after the last event of a stream with a length. Its end
// is certain, so it is complete.
func TestBlanksAfterLastEventArePassedOn(t *testing.T) {
	for _, tail := range []string{" ", "\n", "\r", "\r\n \t"} {
		is := is.New(t)
		s := newServer(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, resumedHead+encodeChunk(eventText(1)+tail)+lastChunk)
			return true
		})
		_, url := newEntry(t, s)
		_, body, err := send(t, url, "/stream/quote", http.MethodPost, "plan", nil)
		is.NoErr(err)
		is.Equal(body, eventText(1)+tail)
	}
}

// Guards against taking a stream without a length for complete that ends inside an event
// or is reset, as the first answer to a request and as one that resumes a stream.
func TestBrokenStreamWithoutLengthIsNotComplete(t *testing.T) {
	const crlfEvent = "id: 2\r\ndata: piece 2\r\n"
	for name, c := range map[string]struct {
		tail  string // sent after the last complete event
		reset bool
	}{
		"inside a field":           {tail: "id: 2\nda"},
		"after the ID":             {tail: "id: 2\n"},
		"after the data":           {tail: "id: 2\ndata: piece 2\n"},
		"inside the data":          {tail: "id: 2\ndata: pie"},
		"after CR of the data":     {tail: "id: 2\r\ndata: piece 2\r"},
		"after CR of a blank line": {tail: crlfEvent + "\r"},
		"after a comment":          {tail: ": comment\n"},
		"inside a comment":         {tail: ":"},
		"after a space":            {tail: " "},
		"after CR":                 {tail: "\r"},
		"reset after an event":     {reset: true},
		"reset inside an event":    {tail: "id: 2\nda", reset: true},
	} {
		first := func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, lengthlessStream+eventText(1)+c.tail)
			if c.reset {
				resetConn(conn)
			}
			return false
		}
		t.Run(name+", aborted", func(t *testing.T) {
			is := is.New(t)
			_, url := newEntry(t, newServer(t, first))
			_, body, err := send(t, url, "/stream/quote", http.MethodPost, "plan", nil)
			is.True(err != nil) // the answer is not complete
			is.Equal(body, eventText(1))
		})
		t.Run(name+", resumed", func(t *testing.T) {
			is := is.New(t)
			second := newServer(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, lengthlessStream+eventText(2))
				return false
			})
			_, url := newEntry(t, newServer(t, first), second)
			_, body, err := send(t, url, "/stream/quote", http.MethodPost, "plan", nil)
			is.NoErr(err)
			is.Equal(body, eventText(1)+eventText(2))
			is.Equal(second.last().Header.Get("Last-Event-Id"), "1")
		})
	}
}

// Guards against taking a stream without a length for complete that ended before its
// first event: it is retried, or resumed elsewhere.
func TestStreamWithoutLengthAndEventsIsNotComplete(t *testing.T) {
	t.Run("retried", func(t *testing.T) {
		is := is.New(t)
		first := newServer(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, lengthlessStream)
			return false
		})
		second := newServer(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, lengthlessStream+eventText(1))
			return false
		})
		_, url := newEntry(t, first, second)
		_, body, err := send(t, url, "/stream/quote", http.MethodPost, "plan", nil)
		is.NoErr(err)
		is.Equal(body, eventText(1))
	})
	t.Run("resumed", func(t *testing.T) {
		is := is.New(t)
		body, err := resumeWith(t, lengthlessStream)
		is.True(err != nil) // the answer is not complete
		is.Equal(body, eventText(1)+eventText(2))
	})
}
