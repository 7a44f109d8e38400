package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Guards against a refused stream that closes a connection after returning it to the pool, while
// another request is already running on it.
func TestRefusedStreamLeavesReturnedConnection(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 1)
	s := newServer(t, func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Request-Id") == "refused" {
			_, err := io.WriteString(conn, formatRefusal("refused"))
			return err == nil
		}
		arrived <- struct{}{}
		time.Sleep(200 * time.Millisecond)
		return ok(conn, r)
	})
	h, url := newEntry(t, s)
	status := make(chan int, 1)
	h.log = &log.Logger{Level: log.WarnLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
		if e.Message != "send_failed" || e.Fields.Get("request") != "refused" {
			return nil
		}
		time.Sleep(pauseAfterRefusal) // the endpoint gets no requests meanwhile
		go func() {
			response, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", func(r *http.Request) { r.Header.Set("X-Request-Id", "other") })
			if err != nil {
				status <- 0
				return
			}
			status <- response.StatusCode
		}()
		<-arrived
		return nil
	})}
	response, _, err := send(t, url, "/stream/quote", http.MethodPost, "plan", func(r *http.Request) { r.Header.Set("X-Request-Id", "refused") })
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(<-status, http.StatusOK) // a request of another caller, which may not be repeated
}

// Guards against a crash that is not recorded because another endpoint was sought for the stream.
func TestCrashDuringTakeoverIsRecorded(t *testing.T) {
	for name, after := range map[string]time.Duration{"before the search": time.Second, "during the search": 1700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var first *server
			first = newServer(t, func(conn net.Conn, _ *http.Request) bool {
				time.Sleep(after)
				_ = first.listener.Close() // a new connection is refused
				return false
			})
			second := newServer(t, func(conn net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "second")
				time.Sleep(500 * time.Millisecond)
				chunk(conn, eventText(1))
				_, err := io.WriteString(conn, "0\r\n\r\n")
				return err == nil
			})
			h, url := newEntry(t, first, second)
			crashes := make(chan string, 1)
			h.log = &log.Logger{Level: log.WarnLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
				if e.Message == "send_failed" {
					crashes <- fmt.Sprint(e.Fields.Get("crashed"), " ", e.Fields.Get("error"))
				}
				return nil
			})}
			_, body, err := send(t, url, "/stream/quote", http.MethodPost, "plan", nil)
			is.NoErr(err)
			is.Equal(body, eventText(1))
			got := <-crashes
			t.Log(got)
			is.Equal(got[:4], "true") // the endpoint crashed in the prefill of the request
		})
	}
}

// Guards against a stream that waits for a silent second endpoint, although its first one has
// failed, or is silent as well, and a third one could continue it.
func TestSilentTakeoverDoesNotKeepStreamFromOthers(t *testing.T) {
	for name, kind := range map[string]int{"the first fails": planBreak, "the first stays silent": planSilent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := servePlan(kind, map[int]time.Duration{2: 2 * time.Second})
				first.step = 2
				second := servePlan(planSilent, nil)
				second.step = 1
				c := newFixedCase(first, second, servePlan(planServe, nil))
				c.endpoints[2].occupied = readySlots / 2 // it is asked last
				s, sources := c.play(t)
				is.NoErr(s.err) // the answer is whole
				is.Equal(sources[:1], "0")
				is.Equal(len(sources), 3)
			})
		})
	}
}

// Guards against a request that begins on superseded weights, because its connection is kept beyond
// the bound while another endpoint is asked.
func TestOldWeightsTimeOutDuringTakeover(t *testing.T) {
	is := is.New(t)
	left := make(chan time.Time, 1)
	old := newServer(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "old")
		_, _ = conn.Read(make([]byte, 1)) // returns when the relay closes the connection
		left <- time.Now()
		return false
	})
	current := newServer(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "current")
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	h, url := newEntry(t, old, current)
	table := h.fleet.Table()
	const begin = 1700 * time.Millisecond // after the search for another endpoint has begun
	h.beginBound = 2 * time.Second
	named := time.Now().Add(begin - h.beginBound)
	h.fleet = fixedState{table: table, supersededAt: named}
	h.dispatcher.update(table, map[string][]placement.Endpoint{"dispatch": {
		{ID: "old", Incarnation: 1, Address: old.listener.Addr().String(), Zone: "near", WeightsVersion: 1},
		{ID: "current", Incarnation: 1, Address: current.listener.Addr().String(), Zone: "far", WeightsVersion: 2},
	}}, 1)
	_, _, _ = send(t, url, "/stream/quote", http.MethodPost, "prompt", func(r *http.Request) { r.Header.Set("X-Model", "m") })
	is.Equal(old.count(), 1)
	is.Equal(current.count(), 1)
	const slack = 300 * time.Millisecond
	late := (<-left).Sub(named.Add(h.beginBound))
	t.Logf("closed %v after the bound", late)
	is.True(late < slack)
}

// Guards against an endpoint that falls silent for ever and is never ejected, because its callers
// leave, or their time is over, before another endpoint may continue.
func TestSilentEndpointIsEjectedWithoutTakeover(t *testing.T) {
	for name, c := range map[string]struct {
		head  bool
		leave time.Duration
	}{
		"callers leave before the head":   {false, 2 * time.Second},
		"callers wait for their deadline": {true, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			silent := newServer(t, func(conn net.Conn, r *http.Request) bool {
				if c.head {
					_, _ = fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "silent")
					chunk(conn, eventText(1))
				}
				_, _ = conn.Read(make([]byte, 1)) // returns when the relay closes the connection
				return false
			})
			h, url := newEntry(t, silent, newServer(t, ok))
			document := testDocument()
			for i := range document.Routes {
				document.Routes[i].Resumable = false
			}
			h.fleet = fixedState{table: routing.Compile(document)}
			for i := range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), c.leave)
				_, _, _ = send(t, url, "/stream/quote", http.MethodPost, "plan", func(r *http.Request) {
					*r = *r.WithContext(ctx)
					r.Header.Set("X-Request-Id", fmt.Sprint("r", i))
				})
				cancel()
			}
			is.True(silent.count() < 3) // the other endpoint, which is sound, gets the next ones
		})
	}
}

// Guards against a slot that a broker grants to a search which has just been stopped, and that
// nobody returns.
func TestSlotGrantedToStoppedSearchIsReturned(t *testing.T) {
	is := is.New(t)
	h, _ := newEntry(t)
	document := testDocument()
	document.Services[0].Engine = &routing.Engine{Slots: readySlots, StepMs: 8.87, PrefillPerSecond: 19100, MeanPromptTokens: 300, MeanAnswerTokens: 60}
	table := routing.Compile(document)
	endpoints := map[string][]placement.Endpoint{"dispatch": {{ID: "i-0", Incarnation: 1, Address: "x", Zone: "near", Slots: readySlots, WeightsVersion: 1}}}
	h.dispatcher.slots.update(table, endpoints, []placement.Entry{{Name: "entry-1", Zone: "near"}}, time.Now())
	h.dispatcher.update(table, endpoints, 1)
	for range 50 {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		q := &request{ctx: ctx, route: table.Route("orders.example", "/stream/x"), service: "dispatch", arrived: time.Now(), resumed: true}
		_, refused := h.dispatcher.place(q, q.placementRequest("near", 0, 0, 0))
		is.True(refused != nil)
	}
	is.Equal(len(h.dispatcher.slots.held), 0)
}
