package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against an endpoint that stops in the middle of the head of its answer, or of its body,
// and closes or resets the connection: the caller must not get a success that is framed as whole.
// The answer is cut after each of its bytes.
func TestAnswerCutAnywhereIsNotSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + signedHeaders
	for name, c := range map[string]struct{ path, answer string }{
		"length":          {"/unsafe/a", head + "Content-Length: 10\r\n\r\n0123456789"},
		"chunks":          {"/unsafe/a", head + "Transfer-Encoding: chunked\r\n\r\n" + encodeChunk("01234") + encodeChunk("56789") + lastChunk},
		"folded header":   {"/unsafe/a", "HTTP/1.1 200 OK\r\nX-More: a\r\n b\r\n" + signedHeaders + "Content-Length: 4\r\n\r\ndone"},
		"bare line feeds": {"/unsafe/a", strings.ReplaceAll(head, "\r", "") + "Content-Length: 4\n\ndone"},
		"interim answer":  {"/unsafe/a", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 4\r\n\r\ndone"},
		"HTTP/1.0":        {"/unsafe/a", "HTTP/1.0 200 OK\r\n" + signedHeaders + "Content-Length: 4\r\n\r\ndone"},
		"no length":       {"/unsafe/a", head + "\r\n"}, // the body would end with the connection
		"stream":          {"/stream/a", head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + encodeChunk("id: 1\ndata: x\n\n") + lastChunk},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var cut atomic.Int64
				s := newServer(t, func(conn net.Conn, _ *http.Request) bool {
					_, _ = io.WriteString(conn, c.answer[:cut.Load()])
					if reset {
						resetConn(conn)
					}
					return false
				})
				for at := range c.answer {
					cut.Store(int64(at))
					_, url := newEntry(t, s)
					response, body, err := send(t, url, c.path, http.MethodPost, "", nil)
					if err == nil && response.StatusCode/100 == 2 {
						t.Errorf("cut after %q, the caller got status %d and the whole body %q", c.answer[:at], response.StatusCode, body)
					}
				}
				is.Equal(s.count() >= len(c.answer), true)
			})
		}
	}
}
