package network_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

// Guards against memory that a faulty server uses up with a head without end.
func TestEndlessResponseHeadIsRefused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	var sent atomic.Int64
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			var n int
			n, err = io.WriteString(conn, strings.Repeat("X-More: more\r\n", 1000))
			sent.Add(int64(n))
		}
	}()
	client := http.Client{Transport: network.HTTPTransport(nil)}
	_, err = client.Get("http://" + l.Addr().String() + "/")
	is.True(err != nil)
	<-closed
	const inBuffers = 8 << 20 // socket buffers in both directions
	is.True(sent.Load() < inBuffers)
}
