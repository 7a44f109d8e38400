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
)

// Guards against a connection that is closed because a sound endpoint reads a long body late.
func TestLateReaderOfLongBodyKeepsItsConnection(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/unsafe/book", "/safe/quote"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			read := make(chan error, 4)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = conn.Close() }()
						r, err := http.ReadRequest(bufio.NewReader(conn))
						if err != nil {
							return // the check whether the endpoint has crashed
						}
						time.Sleep(tcpUserTimeout + 700*time.Millisecond)
						_, err = io.Copy(io.Discard, r.Body)
						read <- err
						ok(conn, r)
					}()
				}
			}()
			h, url := newEntry(t, &server{listener: l})
			h.fleet.(fixedState).table.Document.Limits.BodyBytes = 4 << 20
			response, body, err := send(t, url, path, http.MethodPost, strings.Repeat("x", 256<<10), func(r *http.Request) {
				r.Header.Set("X-Deadline-Ms", "10000")
			})
			is.NoErr(err)
			is.NoErr(<-read)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, "done")
		})
	}
}
