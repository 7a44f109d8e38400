package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

// Guards against taking a part of a line that is longer than the read buffer for a line:
// as the blank line at the end of the event, or as its ID.
func TestLongLinesOfEvents(t *testing.T) {
	for name, data := range map[string]string{
		"line fills the buffer":         "data:" + strings.Repeat("x", readBufferSize-len("data:")),
		"line fills the buffer twice":   "data:" + strings.Repeat("x", 2*readBufferSize-len("data:")),
		"rest looks like an ID":         "data:" + strings.Repeat("x", readBufferSize-len("data:")) + "id: 9",
		"line fills the buffer with CR": "data:" + strings.Repeat("x", readBufferSize-len("data:")) + "\r",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			event := "id: 2\n" + data + "\n\n"
			reader := newEventReader(strings.NewReader(event), nil)
			ev, err := reader.next()
			is.NoErr(err)
			is.Equal(len(ev.data), len(event))
			is.Equal(ev.id, "2")
			_, err = reader.next()
			is.Equal(err, io.EOF)
		})
	}
}

// Guards against long events that are read beyond the memory budget, against usual ones that fail
// while it is used up, and against bytes that are not returned.
func TestEventsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	usual := "id: 2\ndata: " + strings.Repeat("x", 1000) + "\n\n"
	long := "data: " + strings.Repeat("x", 100<<10) + "\n\n"
	budget := network.NewBudget(1 << 20)
	reader := newEventReader(strings.NewReader(strings.Repeat(usual, 100)+long+usual), budget)
	for range 100 {
		_, err := reader.next()
		is.NoErr(err)
		is.Equal(budget.Used(), int64(0))
		reader.release()
	}
	ev, err := reader.next()
	is.NoErr(err)
	is.Equal(len(ev.data), len(long))
	is.True(budget.Used() >= int64(len(long)))
	reader.release()
	is.Equal(budget.Used(), int64(0))
	used := budget.Used()
	is.True(budget.Take(800 << 10))
	_, err = reader.next()
	is.NoErr(err)
	reader = newEventReader(strings.NewReader(long), budget)
	_, err = reader.next()
	is.Equal(err, errNoEventMemory)
	reader.release()
	budget.Release(800 << 10)
	is.Equal(budget.Used(), used)
}

// Guards against bytes of the memory budget that are never returned after streams have ended: whole
// ones with long events, those of endpoints that send no event, and those of callers that left.
func TestStreamsReturnTheBudget(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		leave  bool
	}{
		"whole":         {answer: encodeChunk("id: 1\ndata: "+strings.Repeat("x", 50<<10)+"\n\n") + lastChunk},
		"broken":        {answer: encodeChunk("data: " + strings.Repeat("x", 50<<10))},
		"too long":      {answer: encodeChunk("data: " + strings.Repeat("x", 2*maxEventBytes))},
		"caller leaves": {answer: encodeChunk("id: 1\ndata: " + strings.Repeat("x", 50<<10)), leave: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, func(conn net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "s")
				_, err := io.WriteString(conn, c.answer)
				if c.leave {
					time.Sleep(200 * time.Millisecond)
				}
				return err == nil && strings.HasSuffix(c.answer, lastChunk)
			})
			h, url := newEntry(t, s)
			h.budget = network.NewBudget(8 << 20)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.leave {
				time.AfterFunc(100*time.Millisecond, cancel)
			}
			response, _, err := send(t, url, "/stream/a", http.MethodPost, "", func(r *http.Request) { *r = *r.WithContext(ctx) })
			if name == "whole" {
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
			}
			for end := time.Now().Add(5 * time.Second); h.budget.Used() > 0 && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(h.budget.Used(), int64(0))
		})
	}
}
