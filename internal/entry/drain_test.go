package entry

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a drain that closes a kept connection without an answer while a request
// is read on it: at its start, and when the entry no longer accepts work.
func TestDrainAnswersRequestReadInPart(t *testing.T) {
	synctest.Test(t, testDrainAnswersRequestReadInPart)
}

func testDrainAnswersRequestReadInPart(t *testing.T) {
	c := newCluster(t, serviceGate("s1"))
	e := c.addEntry()
	const request = "GET /services/orders/list HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testToken + "\r\n\r\n"
	start, rest, _ := strings.Cut(request, "Authorization")
	type caller struct {
		io.ReadWriter
		reader *bufio.Reader
	}
	answer := func(p caller) *http.Response {
		response, err := http.ReadResponse(p.reader, nil)
		c.is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		c.is.NoErr(err)
		return response
	}
	var callers []caller
	for range 2 {
		conn, err := c.net.Host("caller").DialContext(t.Context(), "tcp", strings.TrimPrefix(e.url, "http://"))
		c.is.NoErr(err)
		defer func() { _ = conn.Close() }()
		p := caller{conn, bufio.NewReader(conn)}
		_, _ = io.WriteString(p, request)
		c.is.Equal(answer(p).StatusCode, http.StatusOK)
		_, _ = io.WriteString(p, start)
		callers = append(callers, p)
	}
	synctest.Wait()
	stopped := make(chan struct{})
	go func() { e.stop(); close(stopped) }()
	for i, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		time.Sleep(e.settings.AddressTTL.Std() * time.Duration(i+1) * 3 / 4) // within the drain delay, then after it
		_, _ = io.WriteString(callers[i], "Authorization"+rest)
		response := answer(callers[i])
		c.is.Equal(response.StatusCode, status)
		c.is.True(response.Close)
	}
	<-stopped
}
