package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against odd header lines of a request after which its endpoint gets another request than
// the caller has sent: it must get the same fields and body, or the caller status 400.
func TestOddHeadsArePassedOnOrRefused(t *testing.T) {
	const (
		length  = "Content-Length: 4\r\n\r\nbody"
		chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	)
	repeated := slices.Repeat([]string{""}, 1000)
	for name, c := range map[string]struct {
		version, text string
		want          []string // values of the field "A" at the endpoint; nil if the request is refused
	}{
		"empty value":                 {"1.1", "a:\r\n" + length, []string{""}},
		"space only":                  {"1.1", "a: \t \r\n" + length, []string{""}},
		"one name many times":         {"1.1", strings.Repeat("a:\n", len(repeated)) + length, repeated},
		"two values":                  {"1.1", "a: 1\r\nA: 2\r\n" + length, []string{"1", "2"}},
		"bare line feed":              {"1.1", "a: 1\n" + length, []string{"1"}},
		"continuation line":           {"1.1", "a: 1\r\n  2\r\n\t3\r\n" + length, []string{"1 2 3"}},
		"empty continuation line":     {"1.1", "a: 1\r\n \r\n" + length, []string{"1"}},
		"bytes beyond ASCII":          {"1.1", "a: \xff\xfe\r\n" + length, []string{"\xff\xfe"}},
		"chunk extension":             {"1.1", "a: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0;z\r\n\r\n", []string{"1"}},
		"trailer":                     {"1.1", "a: 1\r\n" + chunked + "a: 2\r\nx-request-id: other\r\n\r\n", []string{"1"}},
		"announced trailer":           {"1.1", "a: 1\r\nTrailer: a\r\n" + chunked + "a: 2\r\n\r\n", []string{"1"}},
		"same length twice":           {"1.1", "a: 1\r\nContent-Length: 4\r\n" + length, []string{"1"}},
		"HTTP/1.0":                    {"1.0", "a: 1\r\n" + length, []string{"1"}},
		"continuation line first":     {"1.1\r\n a: 1", length, nil},
		"space before the colon":      {"1.1", "a : 1\r\n" + length, nil},
		"space in the name":           {"1.1", "a b: 1\r\n" + length, nil},
		"no name":                     {"1.1", ": 1\r\n" + length, nil},
		"no colon":                    {"1.1", "a\r\n" + length, nil},
		"name beyond ASCII":           {"1.1", "\xe4: 1\r\n" + length, nil},
		"carriage return in a value":  {"1.1", "a: 1\r2\r\n" + length, nil},
		"carriage returns at the end": {"1.1", "a: 1\r\r\n" + length, nil},
		"zero byte in a value":        {"1.1", "a: \x00\r\n" + length, nil},
		"second host":                 {"1.1", "Host: other.example\r\n" + length, nil},
		"two lengths":                 {"1.1", "Content-Length: 3\r\n" + length, nil},
		"signed length":               {"1.1", "Content-Length: +4\r\n\r\nbody", nil},
		"length with a list":          {"1.1", "Content-Length: 4, 4\r\n\r\nbody", nil},
		"empty length":                {"1.1", "Content-Length:\r\n\r\nbody", nil},
		"space before a framing name": {"1.1", "Transfer-Encoding : chunked\r\n" + length, nil},
		"trailer with a bad name":     {"1.1", chunked + "a b c\r\n\r\n", nil},
		"chunk with a bare line feed": {"1.1", "Transfer-Encoding: chunked\r\n\r\n4\nbody\r\n0\r\n\r\n", nil},
		"chunks in HTTP/1.0":          {"1.0", chunked + "\r\n", nil},
		"no length in HTTP/1.0":       {"1.0", "\r\nbody", nil},
		"chunks, HTTP/1.0 kept open":  {"1.0", "Connection: keep-alive\r\n" + chunked + "\r\n", nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, ok)
			_, url := newEntry(t, s)
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = fmt.Fprintf(conn, "POST /unsafe/a HTTP/%s\r\nHost: orders.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n%s", c.version, testID, testKey, c.text)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			if c.want == nil {
				is.Equal(response.StatusCode, http.StatusBadRequest)
				is.True(response.Close) // what follows may be the body
				is.Equal(s.count(), 0)
				return
			}
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(s.last().Header["A"], c.want)
			is.Equal(s.last().Header.Get("X-Request-Id"), testID)
			is.Equal(s.bodies[0], "body")
		})
	}
}
