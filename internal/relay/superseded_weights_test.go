package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// longDocument returns a document whose routes allow for longer than the bounds of the weights.
func longDocument() *routing.Document {
	document := testDocument()
	for i := range document.Routes {
		document.Routes[i].Timeout = time.Minute
	}
	return document
}

// lateBegin serves streams that begin after a delay, with comments meanwhile, and sends the delay
// of each stream that has begun.
func lateBegin(delay, comments time.Duration, began chan<- time.Duration) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		arrived := time.Now()
		if _, err := fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "old"); err != nil {
			return
		}
		for time.Since(arrived) < delay {
			time.Sleep(min(comments, delay-time.Since(arrived)))
			if time.Since(arrived) >= delay {
				break
			}
			if _, err := io.WriteString(conn, encodeChunk(": wait\n\n")); err != nil {
				return
			}
		}
		if _, err := io.WriteString(conn, encodeChunk(eventText(1))); err == nil {
			began <- time.Since(arrived)
		}
		_, _ = io.WriteString(conn, lastChunk)
	}
}

// newestWeights serves streams at once.
func newestWeights(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		_, _ = fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "new")
		chunk(conn, eventText(1))
		_, _ = io.WriteString(conn, lastChunk)
	}
}

// Guards against requests that begin on superseded weights because a comment of the endpoint, which
// it may send to keep the connection open, counts as their first event.
func TestCommentIsNoFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := make(chan time.Duration, 1)
		h, _ := newWeightsEntry(longDocument(), []placement.Endpoint{{ID: "old", Zone: "near", WeightsVersion: 1}, {ID: "new", Zone: "far", WeightsVersion: 2}},
			map[string]func(net.Conn){"old": lateBegin(5*time.Second, 500*time.Millisecond, began), "new": newestWeights})
		h.fleet = fixedState{table: h.fleet.Table(), supersededAt: time.Now()}
		w := sendDirectly(h, "/stream/quote", "", nil)
		synctest.Wait()
		is.Equal(len(began), 0)
		is.Equal(w.Code, http.StatusOK)
		is.True(strings.HasSuffix(w.Body.String(), ": wait\n\n"+eventText(1)))
		h.conns.prune(nil)
		time.Sleep(5 * time.Second) // until the endpoint has noticed
	})
}
