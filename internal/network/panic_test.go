package network

import (
	"bufio"
	"io"
	"log"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a panic in one handler that ends the answers of others, or that keeps a
// shutdown from its end.
func TestDrainServerOutlivesPanic(t *testing.T) {
	is := is.New(t)
	s, address := startDrainServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("test")
		}
		time.Sleep(100 * time.Millisecond)
	})
	s.server.ErrorLog = log.New(io.Discard, "", 0)
	request := func(path string) *bufio.Reader {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		is.NoErr(err)
		return bufio.NewReader(conn)
	}
	sound := request("/")
	_, err := http.ReadResponse(request("/panic"), nil)
	is.True(err != nil)
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	response, err := http.ReadResponse(sound, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	select {
	case err = <-ended:
		is.NoErr(err)
	case <-time.After(5 * time.Second):
		t.Fatal("the shutdown does not end")
	}
}
