package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/platform"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// engineTable returns the test document with engines as services.
func engineTable() *routing.Table {
	document := testDocument()
	for i := range document.Services {
		document.Services[i].Engine = &routing.Engine{
			Slots: 8, Stride: 5, StepMs: 13.3, PrefillPerSecond: 12700, PrefillChunkTokens: 2048, MeanPromptTokens: 1000, MeanAnswerTokens: 75, Layers: 16,
		}
	}
	return routing.Compile(document)
}

// Guards against requests to an evacuated zone that a broker still grants because it does not
// know of the evacuation, whether the pool of the entry knows of it already or not.
func TestGrantsOfEvacuatedZonesAreReturned(t *testing.T) {
	// An entry that knows excludes the endpoints, so that no grant has to be returned.
	for name, poolKnows := range map[string]bool{"pool knows": true, "pool does not know": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := newServer(t, ok), newServer(t, ok)
			h, url := newEntry(t, near, far)
			registry := prometheus.NewRegistry()
			h.metrics = newRelayMetrics(registry)
			table := engineTable()
			h.fleet = fixedState{table: table, evacuated: "near"}
			list := []placement.Endpoint{
				{ID: "near", Incarnation: 1, Address: near.listener.Addr().String(), Zone: "near", WeightsVersion: 1},
				{ID: "far", Incarnation: 1, Address: far.listener.Addr().String(), Zone: "far", WeightsVersion: 1},
			}
			h.dispatcher.slots.update(table, map[string][]placement.Endpoint{"dispatch": list}, []placement.Entry{{Name: "entry-1", Zone: "near"}}, time.Now())
			known := slices.Clone(list)
			known[0].Evacuated = poolKnows
			h.dispatcher.update(table, map[string][]placement.Endpoint{"dispatch": known}, 1)
			for _, path := range []string{"/safe/look", "/unsafe/book"} {
				response, body, err := send(t, url, path, http.MethodPost, "", nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(body, "done")
			}
			is.Equal(near.count(), 0)
			is.Equal(far.count(), 2)
			is.Equal(reasonCounts(t, registry, "rhubarb_relay_retried_total")[string(RetryZoneEvacuated)], map[bool]float64{false: 2}[poolKnows])
			is.Equal(len(h.dispatcher.slots.held), 0) // the unused grant was returned
			is.Equal(len(h.dispatcher.pools["dispatch"].OwnLoads()), 0)
			h.dispatcher.slots.mu.Lock()
			_, granted := h.dispatcher.slots.brokers[groupKey{"dispatch", ""}].Counts()
			h.dispatcher.slots.mu.Unlock()
			is.Equal(granted, 0)
		})
	}
}

// evacuatingState is a fleetState whose evacuated zone changes.
type evacuatingState struct {
	fixedState
	mu   sync.Mutex
	zone string
}

func (s *evacuatingState) IsEvacuated(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return zone == s.zone
}

func (s *evacuatingState) evacuate(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zone = zone
}

// Guards against sending a request to a zone that was evacuated while the connection was opened.
func TestZoneIsEvacuatedWhileDialing(t *testing.T) {
	is := is.New(t)
	near, far := newServer(t, ok), newServer(t, ok)
	h, url := newEntry(t, near, far)
	state := &evacuatingState{fixedState: fixedState{table: h.fleet.Table()}}
	h.fleet = state
	h.conns.network = slowNetwork{delay: 200 * time.Millisecond}
	time.AfterFunc(100*time.Millisecond, func() { state.evacuate("near") })
	response, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(near.count(), 0)
	is.Equal(far.count(), 1)
	_, suitable := h.dispatcher.pools["dispatch"].Count(placement.Request{Zone: "near"}, time.Now())
	is.Equal(suitable, 2) // the endpoint is not ejected
}

// Guards against requests that wait, or are refused without a Retry-After, when all endpoints
// are evacuated: new ones, and those that wait for a slot.
func TestAllZonesEvacuated(t *testing.T) {
	for _, engines := range []bool{false, true} {
		t.Run(fmt.Sprint("engines ", engines), func(t *testing.T) {
			is := is.New(t)
			began, release := make(chan struct{}, 1), make(chan struct{})
			s := newServer(t, func(conn net.Conn, r *http.Request) bool {
				began <- struct{}{}
				<-release
				return ok(conn, r)
			})
			h, url := newEntry(t, s)
			table := h.fleet.Table()
			if engines {
				table = engineTable()
			}
			for i := range table.Document.Routes {
				table.Document.Routes[i].Objective = 9 * time.Second // a request may wait for 2.7 s
			}
			state := &evacuatingState{fixedState: fixedState{table: table}}
			h.fleet = state
			list := []placement.Endpoint{{ID: "i-0", Incarnation: 1, Address: s.listener.Addr().String(), Zone: "near", WeightsVersion: 1, Slots: 1}}
			update := func(evacuated bool) {
				list := slices.Clone(list)
				list[0].Evacuated = evacuated
				h.dispatcher.slots.update(table, map[string][]placement.Endpoint{"dispatch": list}, []placement.Entry{{Name: "entry-1", Zone: "near"}}, time.Now())
				h.dispatcher.update(table, map[string][]placement.Endpoint{"dispatch": list}, 1)
			}
			update(false)
			statuses := make(chan int, 3)
			request := func() {
				response, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", nil)
				if err != nil {
					t.Error(err)
					statuses <- 0
					return
				}
				if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
					t.Error("refused without Retry-After")
				}
				statuses <- response.StatusCode
			}
			var wg sync.WaitGroup
			wg.Go(request)
			<-began
			for range 2 {
				wg.Go(request)
			}
			time.Sleep(100 * time.Millisecond) // they wait for the slot
			state.evacuate("near")
			changed := time.Now()
			update(true)
			for range 2 {
				is.Equal(<-statuses, http.StatusServiceUnavailable)
			}
			request()
			is.Equal(<-statuses, http.StatusServiceUnavailable)
			is.True(time.Since(changed) < time.Second)
			close(release)
			is.Equal(<-statuses, http.StatusOK) // the running request finishes
			wg.Wait()
			is.Equal(s.count(), 1)
			state.evacuate("")
			update(false)
			request()
			is.Equal(<-statuses, http.StatusOK)
		})
	}
}

// Guards against resuming a stream, after its endpoint has failed, in an evacuated zone, and
// against cutting a stream that runs there.
func TestStreamsAndEvacuation(t *testing.T) {
	is := is.New(t)
	var state *evacuatingState
	near := newServer(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "near")
		chunk(conn, eventText(1))
		state.evacuate("near") // this stream goes on
		chunk(conn, eventText(2))
		return false
	})
	far := newServer(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "far")
		chunk(conn, eventText(3))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	h, url := newEntry(t, near, newServer(t, ok), far)
	h.dispatcher.update(h.fleet.Table(), map[string][]placement.Endpoint{"dispatch": {
		{ID: "i-0", Incarnation: 1, Address: near.listener.Addr().String(), Zone: "near", Slots: 4},
		{ID: "i-1", Incarnation: 1, Address: near.listener.Addr().String(), Zone: "near", Slots: 4},
		{ID: "i-2", Incarnation: 1, Address: far.listener.Addr().String(), Zone: "far", Slots: 4},
	}}, 1)
	state = &evacuatingState{fixedState: fixedState{table: h.fleet.Table()}}
	h.fleet = state
	_, body, err := send(t, url, "/stream/quote", http.MethodPost, "plan", nil)
	is.NoErr(err)
	is.Equal(body, eventText(1)+eventText(2)+eventText(3))
	is.Equal(near.count(), 1)
	is.Equal(far.count(), 1)
}

// standInReplica is a control replica that sends what a test sets.
type standInReplica struct {
	address string
	server  *httptest.Server
	mu      sync.Mutex
	fleet   wire.Fleet
	servers wire.Servers
	open    []*transport.Session
}

func startStandInReplica(t *testing.T, token auth.Token, fleet wire.Fleet, servers ...wire.Server) *standInReplica {
	t.Helper()
	r := &standInReplica{fleet: fleet, servers: wire.Servers{Epoch: 1, Version: 1, Updated: servers}}
	document, err := routing.Compress([]byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	sessions := &transport.Server{Authorize: token.Allows, Handler: func(_ context.Context, s *transport.Session, env wire.Envelope) {
		r.mu.Lock()
		defer r.mu.Unlock()
		switch env.Type {
		case wire.TypeProcess:
			if !slices.Contains(r.open, s) {
				r.open = append(r.open, s)
				_ = s.Send(r.fleet)
				_ = s.Send(r.servers)
			}
		case wire.TypeRoutingRequest:
			_ = s.Reply(env, wire.Routing{Version: 7, Document: document})
		}
	}}
	r.server = httptest.NewServer(sessions)
	r.address = strings.TrimPrefix(r.server.URL, "http://")
	t.Cleanup(r.stop)
	return r
}

func (r *standInReplica) stop() {
	r.mu.Lock()
	open := r.open
	r.open = nil
	r.mu.Unlock()
	for _, s := range open {
		s.Close()
	}
	r.server.Close()
}

func (r *standInReplica) send(f wire.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet = f
	for _, s := range r.open {
		_ = s.Send(f)
	}
}

// Guards against an entry that uses an evacuated zone after its start, after it has lost a
// replica, or on the word of a replica that lags; and against connections to the zone that
// stay open.
func TestEntryFollowsEvacuations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	near, far := newServer(t, ok), newServer(t, ok)
	token := auth.NewToken("0123456789abcdef")
	listed := func(id, zone string, s *server) wire.Server {
		return wire.Server{ID: id, Started: 1, Sequence: 1, Service: "dispatch", Address: s.listener.Addr().String(), Zone: zone, Slots: 4}
	}
	servers := []wire.Server{listed("i-0", "near", near), listed("i-1", "far", far)}
	evacuated := wire.Fleet{RoutingVersion: 7, Evacuated: []string{"near"}, EvacuationRevision: 3}
	lagging := wire.Fleet{RoutingVersion: 7, EvacuationRevision: 2}
	one := startStandInReplica(t, token, wire.Fleet{RoutingVersion: 7, Leaderless: true}, servers...)
	two := startStandInReplica(t, token, wire.Fleet{RoutingVersion: 7, Leaderless: true}, servers...)
	run := func() (*Daemon, string, func()) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		address := l.Addr().String()
		_ = l.Close()
		s := DefaultSettings()
		s.Instance, s.Zone, s.Region = "entry-1", "near", "r"
		s.Listen, s.PeerListen, s.MetricsListen, s.Controls = address, "127.0.0.1:0", testMetricsListen, []string{one.address, two.address}
		d := New(s, Options{
			Token: token, Protocol: platform.Headers{}, ReadyHandler: platform.ReadyHandler,
			Decode: func([]byte) (*routing.Document, error) { return testDocument(), nil },
		}, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx, nil) }()
		return d, "http://" + address, func() {
			cancel()
			is.NoErr(<-ended)
		}
	}
	within := func(what string, met func() bool) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); !met(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("not met within 5 s: %s", what)
			}
		}
	}
	// settled waits until the pools and connections reflect the set.
	settled := func(d *Daemon, zones int) {
		t.Helper()
		within("set in force", func() bool {
			d.handler.dispatcher.mu.Lock()
			defer d.handler.dispatcher.mu.Unlock()
			p := d.handler.dispatcher.pools["dispatch"]
			return p != nil && len(p.EvacuatedEndpoints()) == zones
		})
	}
	call := func(url string) int {
		t.Helper()
		response, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", nil)
		is.NoErr(err)
		return response.StatusCode
	}
	d, url, stop := run()
	settled(d, 2) // no replica has a leader yet
	is.True(d.ready() != nil)
	is.Equal(call(url), http.StatusServiceUnavailable)
	is.Equal(near.count()+far.count(), 0)

	one.send(wire.Fleet{RoutingVersion: 7})
	settled(d, 0)
	is.Equal(call(url), http.StatusOK)
	is.Equal(near.count(), 1) // the zone of the entry
	idle := func() int {
		d.handler.conns.mu.Lock()
		defer d.handler.conns.mu.Unlock()
		return len(d.handler.conns.idle["i-0/1"])
	}
	is.Equal(idle(), 1)

	two.send(evacuated)
	ordered := time.Now()
	settled(d, 1)
	within("idle connections closed", func() bool { return idle() == 0 })
	is.True(time.Since(ordered) < maxIdleTime/2) // closed for the evacuation, not for being idle
	is.Equal(call(url), http.StatusOK)
	one.send(lagging)
	two.stop() // the replica that knows of the evacuation
	within("replica lost", func() bool { return len(d.fleet.ServerList()) == 2 })
	for range 5 {
		is.Equal(call(url), http.StatusOK)
	}
	is.Equal(near.count(), 1)
	is.Equal(far.count(), 6)
	stop()

	one.send(evacuated) // it has caught up
	d, url, stop = run()
	settled(d, 1)
	within("known", d.fleet.EvacuationsKnown)
	is.Equal(call(url), http.StatusOK)
	is.Equal(near.count(), 1)

	one.send(wire.Fleet{RoutingVersion: 7, EvacuationRevision: 4})
	settled(d, 0)
	is.Equal(call(url), http.StatusOK)
	is.Equal(near.count(), 2) // returned to service
	stop()
}
