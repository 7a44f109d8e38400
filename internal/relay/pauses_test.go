package relay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

// defaultPause is the pause of an endpoint that states one that cannot be read.
const defaultPause = time.Second

const (
	// pauseKnownFrom and maxDuringPause bound the requests from an entry within a pause that
	// an endpoint stated to it.
	pauseKnownFrom = 500 * time.Millisecond
	maxDuringPause = 2
)

// pausing lets an endpoint refuse requests with a pause, and records what each entry sent.
type pausing struct {
	mu          sync.Mutex
	length      time.Duration // stated in refusals; zero while it serves
	incarnation int
	arrivals    []pausedArrival
}

type pausedArrival struct {
	entry       string
	incarnation int
	at          time.Time
	pause       time.Duration // stated in the answer; zero for none
}

// observe records a request and returns the pause to state in its refusal, zero to serve it.
func (p *pausing) observe(r *http.Request) time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), "/")
	p.arrivals = append(p.arrivals, pausedArrival{entry, p.incarnation, time.Now(), p.length})
	return p.length
}

func (p *pausing) set(length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.length = length
}

// restart begins a new incarnation, which serves.
func (p *pausing) restart() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.incarnation++
	p.length = 0
	return uint64(p.incarnation)
}

// most returns the largest number of requests from one entry within a pause.
func (p *pausing) most() (most, pauses int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.arrivals {
		if a.pause == 0 {
			continue
		}
		pauses++
		n := 0
		for _, b := range p.arrivals {
			if b.entry == a.entry && b.incarnation == a.incarnation && !b.at.Before(a.at.Add(pauseKnownFrom)) && b.at.Before(a.at.Add(a.pause)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most, pauses
}

// writePause refuses a request with the text of a pause.
func writePause(w io.Writer, r *http.Request, text string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
		r.Header.Get("X-Request-Id"), text)
	return err
}

// drawPause lets an endpoint refuse requests for a while. Meanwhile it may drain, restart, or
// not be listed.
func (f *entryFleet) drawPause(rng *rand.Rand, service string, i int) {
	p := f.endpoints[f.listed[service][i].ID].pausing
	p.set(time.Duration(100+rng.IntN(5000)) * time.Millisecond)
	time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	change := rng.IntN(4)
	f.relist(func() {
		switch change {
		case 0:
			f.listed[service][i].Draining = true
		case 1:
			f.listed[service][i].Incarnation = p.restart()
		case 2:
			f.hidden = append(f.hidden, f.listed[service][i])
			f.listed[service] = slices.Delete(slices.Clone(f.listed[service]), i, i+1)
		}
	})
	time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	f.relist(func() {
		f.listed[service] = slices.Concat(f.listed[service], f.hidden)
		f.hidden = nil
		slices.SortFunc(f.listed[service], func(a, b placement.Endpoint) int { return strings.Compare(a.ID, b.ID) })
		for k := range f.listed[service] {
			f.listed[service][k].Draining = false
		}
	})
	p.set(0)
}

// relist changes the listed endpoints and tells all entries.
func (f *entryFleet) relist(change func()) {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	change()
	f.update()
}

// Guards against requests to an endpoint within the pause that it stated in a refusal, on any
// path: chosen by the entry, granted by a broker, queued, sent again, after the endpoint was
// not listed for a while.
func TestEntriesKeepPauses(t *testing.T) {
	for seed := range uint64(6) {
		for service, path := range map[string]string{engineService: "/stream/quote", plainService: "/safe/look"} {
			t.Run(fmt.Sprint(service, "/seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rng := rand.New(rand.NewPCG(seed, 1))
					f, stop := newEntryFleet(t, 1+rng.IntN(5), 4)
					defer stop()
					for _, e := range f.endpoints {
						e.pausing = &pausing{incarnation: 1}
					}
					interval := time.Duration(5+rng.IntN(20)) * time.Millisecond
					var load sync.WaitGroup
					ended := make(chan struct{})
					load.Go(func() {
						for i := 0; ; i++ {
							select {
							case <-ended:
								return
							case <-time.After(interval):
								entry := i % len(f.handlers)
								load.Go(func() { f.request(entry, path, fmt.Sprintf("%d/%d", entry, i)) })
							}
						}
					})
					for range 10 {
						f.drawPause(rng, service, rng.IntN(4))
						time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
					}
					close(ended)
					load.Wait()
					for id, e := range f.endpoints {
						if most, pauses := e.pausing.most(); most > maxDuringPause {
							t.Errorf("%s got %d requests from an entry within one of %d pauses, allowed %d", id, most, pauses, maxDuringPause)
						}
					}
				})
			})
		}
	}
}

func pauseFor(text string) reply {
	return func(conn net.Conn, r *http.Request) bool {
		return writePause(conn, r, text) == nil
	}
}

// Guards against requests that wait in vain while no endpoint wants any, and against callers
// that are told to come back before the first pause ends.
func TestRequestsAreRefusedAtOnceWhileAllEndpointsPause(t *testing.T) {
	is := is.New(t)
	first, second := newServer(t, pauseFor("30")), newServer(t, pauseFor("20"))
	h, url := newEntry(t, first, second)
	for i := range 5 {
		response, reason, err := send(t, url, "/safe/look", http.MethodGet, "", nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		delay, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(delay > 19 && delay < 21.1) // the earlier end, and the jitter
		is.True(i == 0 || reason == string(EndpointsPaused)+"\n")
	}
	is.Equal(first.count()+second.count(), 2)
	now := time.Now()
	is.True(h.dispatcher.pools["dispatch"].Paused("i-0", 1, now.Add(29*time.Second)))
	is.True(!h.dispatcher.pools["dispatch"].Paused("i-0", 1, now.Add(31*time.Second)))
}

// Guards against refusals of requests that can wait until the first pause ends.
func TestRequestWaitsForTheEndOfAShortPause(t *testing.T) {
	is := is.New(t)
	var s *server
	s = newServer(t, func(conn net.Conn, r *http.Request) bool {
		if s.count() == 1 {
			return pauseFor("0.13")(conn, r)
		}
		return ok(conn, r)
	})
	_, url := newEntry(t, s)
	_, _, err := send(t, url, "/safe/look", http.MethodGet, "", nil)
	is.NoErr(err)
	response, _, err := send(t, url, "/safe/look", http.MethodGet, "", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// Guards against an endpoint that is lost for good, or not left alone at all, because of a
// pause that is absurd or cannot be read.
func TestAbsurdPauses(t *testing.T) {
	for _, c := range []struct {
		text    string
		atLeast time.Duration
		atMost  time.Duration
	}{
		{"1e300", time.Hour, time.Hour},
		{"99999999999999999999", time.Hour, time.Hour},
		{"-5", defaultPause, defaultPause},
		{"NaN", defaultPause, defaultPause},
		{"Wed, 21 Oct 2026 07:28:00 GMT", defaultPause, defaultPause},
		{"soon", defaultPause, defaultPause},
		{"2\r\nRetry-After: 7", 7 * time.Second, 7 * time.Second},
		{"2\r\nRetry-After: soon", 2 * time.Second, 2 * time.Second},
		{"0.5\r\nRetry-After: soon", defaultPause, defaultPause},
		{"0", 0, 0},
		{"", defaultPause, defaultPause},
	} {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			h, url := newEntry(t, newServer(t, pauseFor(c.text)))
			before := time.Now()
			_, _, err := send(t, url, "/safe/look", http.MethodGet, "", nil)
			is.NoErr(err)
			paused := func(after time.Duration, from time.Time) bool {
				return h.dispatcher.pools["dispatch"].Paused("i-0", 1, from.Add(after))
			}
			is.Equal(paused(c.atLeast-time.Millisecond, before), c.atLeast > 0)
			is.True(!paused(c.atMost+time.Millisecond, time.Now()))
		})
	}
}

// Guards against a pause that another answer than a refusal of this request states.
func TestOnlyRefusalsPauseEndpoints(t *testing.T) {
	for name, head := range map[string]string{
		"success":              "200 OK\r\nX-Request-Id: ID\r\nX-Server-Stamp: s",
		"rate limit":           "429 Too Many Requests\r\nX-Request-Id: ID\r\nX-Not-Executed: 1",
		"another request's ID": "503 Service Unavailable\r\nX-Request-Id: other\r\nX-Not-Executed: 1",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, url := newEntry(t, newServer(t, func(conn net.Conn, r *http.Request) bool {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n", strings.ReplaceAll(head, "ID\r\n", r.Header.Get("X-Request-Id")+"\r\n"))
				return err == nil
			}))
			_, _, err := send(t, url, "/safe/look", http.MethodGet, "", nil)
			is.NoErr(err)
			is.True(!h.dispatcher.pools["dispatch"].Paused("i-0", 1, time.Now()))
		})
	}
}
