package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/platform"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Bounds of the requests that an endpoint with a rate limit may receive.
const (
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
	limitKnownFrom = 3 * time.Second // after the endpoint has named its limit first
)

// limitedEndpoint is an endpoint that may name a rate limit in its answers.
type limitedEndpoint struct {
	mu       sync.Mutex
	limit    string // value of Server-Limit; empty for none
	arrivals []time.Time
	crashes  *crashes // nil if no request crashes the endpoint
	pausing  *pausing // nil if the endpoint refuses no requests
	conns    map[net.Conn]bool
	down     bool
}

func (e *limitedEndpoint) name(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

func (e *limitedEndpoint) serve(conn net.Conn) {
	defer e.disconnect(conn)
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		e.mu.Lock()
		e.arrivals = append(e.arrivals, time.Now())
		limit := e.limit
		e.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		if e.crashes.observe(r, e) {
			return
		}
		if pause := e.pausing.observe(r); pause > 0 {
			if writePause(conn, r, strconv.FormatFloat(pause.Seconds(), 'f', 3, 64)) != nil {
				return
			}
			continue
		}
		head := "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
		if limit != "" {
			head += "Server-Limit: " + limit + "\r\n"
		}
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			err = writeStream(conn, head)
		} else {
			_, err = io.WriteString(conn, head+"Content-Length: 4\r\n\r\ndone")
		}
		if err != nil {
			return
		}
	}
}

// writeStream writes an answer with four events in 0.6 s.
func writeStream(conn net.Conn, head string) error {
	_, err := io.WriteString(conn, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for id := 1; id <= 4 && err == nil; id++ {
		event := fmt.Sprintf("id: %d\ndata: x\n\n", id)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(150 * time.Millisecond)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err
}

// mostArrivals returns the largest number of requests that arrived within a window and
// not before from.
func (e *limitedEndpoint) mostArrivals(from time.Time, window time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, first := range e.arrivals {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, at := range e.arrivals[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// pipeNetwork connects to endpoints in this process, so that they run in virtual time.
type pipeNetwork struct {
	network.System
	endpoints map[string]*limitedEndpoint // by address
}

func (n pipeNetwork) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	client, server := net.Pipe()
	if !n.endpoints[address].connect(server) {
		return nil, syscall.ECONNREFUSED
	}
	go n.endpoints[address].serve(server)
	return client, nil
}

// entryFleet is several entries in front of the same endpoints, in virtual time.
type entryFleet struct {
	*peerNetwork
	endpoints map[string]*limitedEndpoint
	handlers  []*handler
	table     *routing.Table
	known     []placement.Entry
	listMu    sync.Mutex                      // serializes changes of listed
	listed    map[string][]placement.Endpoint // by service
	hidden    []placement.Endpoint            // that are not listed for a while

	mu      sync.Mutex
	answers map[int]int    // number of answers by status
	reasons map[Reason]int // number of refused prompts
	delays  []string       // Retry-After of refusals
	slowest time.Duration  // longest time until a refusal
}

const (
	engineService = "quotes"
	plainService  = "dispatch"
)

// newEntryFleet starts entries in front of endpoints of an engine service and of a plain
// service.
func newEntryFleet(t *testing.T, entries, endpoints int) (f *entryFleet, stop func()) {
	n, cancel := newPeerNetwork(t, entries, 0, "a")
	f = &entryFleet{peerNetwork: n, endpoints: map[string]*limitedEndpoint{}, answers: map[int]int{}, reasons: map[Reason]int{}}
	document := testDocument()
	document.Routes[2].Targets = []routing.Target{{Service: engineService, Weight: 1}}
	document.Services = append(document.Services, routing.Service{Name: engineService, Engine: &routing.Engine{
		Slots: 16, Stride: 5, StepMs: 8.87, PrefillPerSecond: 19100, PrefillChunkTokens: 2048, MeanPromptTokens: 300, MeanAnswerTokens: 60,
	}})
	table := routing.Compile(document)
	list := map[string][]placement.Endpoint{}
	f.table, f.listed = table, list
	for _, service := range []string{engineService, plainService} {
		for i := range endpoints {
			id := fmt.Sprint(service, "-", i)
			f.endpoints[id] = &limitedEndpoint{conns: map[net.Conn]bool{}}
			list[service] = append(list[service], placement.Endpoint{ID: id, Incarnation: 1, Address: id, Zone: "a", Slots: 16, WeightsVersion: 1})
		}
	}
	for i := range entries {
		f.known = append(f.known, placement.Entry{Name: fmt.Sprint("entry-", i), Zone: "a"})
	}
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	for _, e := range f.known {
		d := newDispatcher(0.2, 100, n.slots[e.Name])
		m := newRelayMetrics(prometheus.NewRegistry())
		guard := newCrashGuard(logger, m, func(to string, message peerMessage) { n.send(e.Name, to, message) })
		n.mu.Lock()
		n.guards[e.Name] = guard
		n.mu.Unlock()
		go guard.run(n.ctx)
		f.handlers = append(f.handlers, &handler{
			protocol: platform.Headers{}, fleet: fixedState{table: table}, dispatcher: d, guard: guard, conns: newConnPool(pipeNetwork{endpoints: f.endpoints}),
			metrics: m, log: logger, zone: "a", softWeightsBound: time.Second, weightsBound: time.Second, maxPause: time.Hour,
		})
	}
	for i, e := range f.known {
		var others []string
		for _, o := range f.known {
			if o.Name != e.Name {
				others = append(others, o.Name)
			}
		}
		f.handlers[i].guard.update(others, time.Now())
	}
	f.update()
	time.Sleep(2*peerDelay + time.Millisecond) // until the guards are ready
	return f, func() {
		cancel()
		for _, h := range f.handlers {
			h.conns.prune(nil)
		}
		synctest.Wait()
	}
}

// update tells the entries of the listed endpoints.
func (f *entryFleet) update() {
	for i, e := range f.known {
		f.slots[e.Name].update(f.table, f.listed, f.known, time.Now())
		f.handlers[i].dispatcher.update(f.table, f.listed, len(f.known))
	}
}

// load sends requests to the entries in turn, at a rate per second in all.
func (f *entryFleet) load(path string, perSecond int, length time.Duration) {
	var wg sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	for i := range int(length / interval) {
		wg.Go(func() { f.request(i%len(f.handlers), path, fmt.Sprint("request-", time.Now().UnixNano(), "-", i)) })
		time.Sleep(interval)
	}
	wg.Wait()
}

func (f *entryFleet) request(entry int, path, id string) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("order"))
	r.Host = "orders.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "2500", "Authorization": "Bearer " + testKey, "X-Token-Count": "300,60",
	} {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	begun := time.Now()
	f.handlers[entry].ServeHTTP(w, r)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[w.Code]++
	if w.Code != http.StatusOK {
		f.delays = append(f.delays, w.Header().Get("Retry-After"))
		f.slowest = max(f.slowest, time.Since(begun))
	}
}

// allowed returns the largest number of requests that an endpoint with a limit may
// receive within limitWindow.
func allowed(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
}

// Guards against endpoints that receive more requests than the rate that they name for
// all entries together.
func TestEntriesShareRateLimit(t *testing.T) {
	for _, c := range []struct {
		path, limited string
		entries       int
		limit         string
		perSecond     float64
	}{
		{"/stream/quote", engineService + "-0", 4, "1", 1},
		{"/stream/quote", engineService + "-0", 30, "5.5", 5.5},
		{"/safe/look", plainService + "-0", 4, "1", 1},
		{"/safe/look", plainService + "-0", 30, "1", 1},
		{"/safe/look", plainService + "-0", 30, "5.5", 5.5},
		{"/safe/look", plainService + "-0", 4, "0", 0},
	} {
		t.Run(fmt.Sprintf("%s/%d entries/limit %s", c.limited, c.entries, c.limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, stop := newEntryFleet(t, c.entries, 4)
				defer stop()
				limited := f.endpoints[c.limited]
				f.load(c.path, 60, time.Second)
				limited.name(c.limit)
				named := time.Now()
				f.load(c.path, 60, 15*time.Second)
				most := limited.mostArrivals(named.Add(limitKnownFrom), limitWindow)
				if most > allowed(c.perSecond) {
					t.Errorf("%d requests within %v, allowed %d", most, limitWindow, allowed(c.perSecond))
				}
				if used := limited.mostArrivals(named.Add(limitKnownFrom), 12*time.Second); used < int(c.perSecond*12/2) {
					t.Errorf("%d requests in 12 s, less than half of the limit", used)
				}
				is.Equal(f.answers, map[int]int{http.StatusOK: 16 * 60}) // the others have room for all requests
			})
		})
	}
}

// testServices runs a test in virtual time, with a path of each service.
func testServices(t *testing.T, test func(t *testing.T, path, service string)) {
	for service, path := range map[string]string{engineService: "/stream/quote", plainService: "/safe/look"} {
		t.Run(service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, path, service) })
		})
	}
}

// Guards against a limit that is exceeded when the broker that counts the requests is
// replaced, or when messages between entries are lost.
func TestRateLimitSurvivesBrokerChange(t *testing.T) {
	testServices(t, func(t *testing.T, path, service string) {
		f, stop := newEntryFleet(t, 6, 4)
		defer stop()
		f.peerNetwork.mu.Lock()
		f.loss = 0.1
		f.peerNetwork.mu.Unlock()
		limited := f.endpoints[service+"-0"]
		limited.name("1")
		named := time.Now()
		for range 4 {
			f.load(path, 60, 5*time.Second)
			f.setDown(f.activeBroker(service).self)
		}
		most := limited.mostArrivals(named.Add(limitKnownFrom), limitWindow)
		if most > allowed(1) {
			t.Errorf("%d requests within %v, allowed %d", most, limitWindow, allowed(1))
		}
	})
}

// Guards against requests that wait although no endpoint may take them in time, and
// against callers who return before one may.
func TestRequestsBeyondRateLimitsAreRefusedAtOnce(t *testing.T) {
	testServices(t, func(t *testing.T, path, service string) {
		is := is.New(t)
		f, stop := newEntryFleet(t, 4, 2)
		defer stop()
		for i := range 2 {
			f.endpoints[fmt.Sprint(service, "-", i)].name("0.5")
		}
		f.load(path, 20, 5*time.Second)
		clear(f.answers)
		f.delays, f.slowest = nil, 0
		f.load(path, 20, 10*time.Second)
		is.True(f.answers[http.StatusOK] >= 5) // half of what the limits allow
		is.Equal(f.answers[http.StatusOK]+f.answers[http.StatusServiceUnavailable], 200)
		is.True(f.slowest < maxRefusalTime)
		for _, delay := range f.delays {
			seconds, err := strconv.ParseFloat(delay, 64)
			is.NoErr(err)
			is.True(seconds >= 1) // one request a second in all
		}
	})
}

// maxRefusalTime is below the time for which a request may wait for a slot.
const maxRefusalTime = 100 * time.Millisecond

// Guards against a limit that stays in force after the endpoint has ceased to name it.
func TestRateLimitEnds(t *testing.T) {
	testServices(t, func(t *testing.T, path, service string) {
		f, stop := newEntryFleet(t, 4, 2)
		defer stop()
		limited := f.endpoints[service+"-0"]
		limited.name("1")
		f.load(path, 20, 5*time.Second)
		limited.name("")
		f.load(path, 20, 5*time.Second)
		ended := time.Now()
		f.load(path, 20, 4*time.Second)
		if n := limited.mostArrivals(ended, limitWindow); n < 20 {
			t.Errorf("%d of 80 requests reach one of two endpoints 5 s after its limit has ended", n)
		}
	})
}

// activeBroker returns the entry that entry-0 considers the broker of a service.
func (f *entryFleet) activeBroker(service string) *slotCoordinator {
	s := f.slots["entry-0"]
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.slots[s.activeBroker[groupKey{service, ""}]]
}

// setDown disconnects one entry from the others and connects all others.
func (f *entryFleet) setDown(entry string) {
	f.peerNetwork.mu.Lock()
	defer f.peerNetwork.mu.Unlock()
	clear(f.down)
	f.down[entry] = true
}

func (s *slotCoordinator) brokerRateLimits(service string) []placement.NamedRateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.brokers[groupKey{service, ""}]
	if b == nil {
		return nil
	}
	return b.RateLimits()
}

// Guards against a broker, or the entry that takes over from it, that does not know of a
// limit because it has read no answer of the endpoint itself.
func TestBrokersLearnRateLimits(t *testing.T) {
	testServices(t, func(t *testing.T, path, service string) {
		is := is.New(t)
		const entries = 5
		f, stop := newEntryFleet(t, entries, 2)
		defer stop()
		s := f.slots["entry-0"]
		s.mu.Lock()
		group, _ := s.findGroup(service, "")
		s.mu.Unlock()
		var requester int
		_, err := fmt.Sscanf(group.Brokers[entries-1], "entry-%d", &requester)
		is.NoErr(err)
		f.endpoints[service+"-0"].name("1")
		for i := range 60 { // the first choice of an endpoint is random
			f.request(requester, path, fmt.Sprint("request-", i))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * rateLimitInterval) // the time until a broker has told all entries
		for _, name := range group.Brokers[:2] {
			is.Equal(len(f.slots[name].brokerRateLimits(service)), 1)
		}
	})
}

// Guards against entries that send a request to an endpoint of a plain service although
// its limit is known at other entries.
func TestAllEntriesLearnRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newEntryFleet(t, 10, 2)
		defer stop()
		f.endpoints[plainService+"-0"].name("1")
		for i := range 60 { // the first choice of an endpoint is random
			f.request(0, "/safe/look", fmt.Sprint("request-", i)) // only one entry gets requests
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * rateLimitInterval) // the time until a broker has told all entries
		for _, h := range f.handlers {
			is.Equal(len(h.dispatcher.rateLimits(plainService)), 1)
		}
	})
}

// Guards against entries that lose contact with each other and each use the whole limit
// of an endpoint.
func TestDisconnectedEntriesShareRateLimit(t *testing.T) {
	testServices(t, func(t *testing.T, path, service string) {
		is := is.New(t)
		f, stop := newEntryFleet(t, 4, 2)
		defer stop()
		limited := f.endpoints[service+"-0"]
		limited.name("1")
		f.load(path, 20, 5*time.Second)
		f.peerNetwork.mu.Lock()
		f.loss = 1
		f.peerNetwork.mu.Unlock()
		time.Sleep(time.Second)
		cut := time.Now()
		f.load(path, 20, 10*time.Second)
		is.True(limited.mostArrivals(cut, limitWindow) <= allowed(1))
	})
}
