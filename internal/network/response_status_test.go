package network

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a server whose invalid status counts as an answer, and whose connection stays
// open with the rest of it.
func TestInvalidStatusFailsTheRequest(t *testing.T) {
	for _, code := range []string{"000", "099", "600", "999", "+12", "-00", "abc", "100 Continue\r\n\r\nHTTP/1.1 000"} {
		t.Run(code, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			closed := make(chan error, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: 10\r\n\r\nodd", code)
				_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
				_, err = conn.Read(make([]byte, 1))
				closed <- err
			}()
			client := &http.Client{Transport: CheckStatuses(HTTPTransport(nil))}
			_, err = client.Get("http://" + listener.Addr().String())
			is.True(err != nil)
			err = <-closed
			is.True(errors.Is(err, io.EOF) || !errors.Is(err, net.ErrClosed) && !isTimeout(err))
		})
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
