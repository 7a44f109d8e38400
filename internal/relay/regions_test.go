package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// changingState is a fleetState whose table changes.
type changingState struct {
	fixedState
	current atomic.Pointer[routing.Table]
}

func (c *changingState) Table() *routing.Table { return c.current.Load() }

// regionalServer is an endpoint in a region.
type regionalServer struct {
	*server
	region string
}

const testSlots = 4

// newBoundEntry starts a relay handler in front of servers in regions. The first server is
// preferred. The routes and the organisation of the document have the given lists.
func newBoundEntry(t *testing.T, engine *routing.Engine, route, organisation []string, servers ...regionalServer) (*handler, *changingState, string) {
	t.Helper()
	plain := make([]*server, len(servers))
	var endpoints []placement.Endpoint
	for i, s := range servers {
		plain[i] = s.server
		endpoints = append(endpoints, placement.Endpoint{
			ID: fmt.Sprintf("i-%d", i), Incarnation: 1, Address: s.listener.Addr().String(), Slots: testSlots, WeightsVersion: 1,
			Zone: map[bool]string{true: "near", false: "far"}[i == 0], Region: s.region,
		})
	}
	h, url := newEntry(t, plain...)
	h.regions = map[string]bool{"r1": true, "r2": true, "r3": true}
	state := &changingState{}
	state.current.Store(boundTable(engine, route, organisation))
	h.fleet = state
	h.dispatcher.update(state.Table(), map[string][]placement.Endpoint{"dispatch": endpoints}, 1)
	return h, state, url
}

func boundTable(engine *routing.Engine, route, organisation []string) *routing.Table {
	d := testDocument()
	for i := range d.Routes {
		d.Routes[i].Regions = route
	}
	d.Organisations[0].Regions, d.Services[0].Engine = organisation, engine
	return routing.Compile(d)
}

// Guards against serving a request in a region that its route or its organisation does not allow,
// or in an unknown one, and against a refusal that is late, not true or without its reason.
func TestBoundRequests(t *testing.T) {
	for name, c := range map[string]struct {
		route, organisation []string
		want                int // index of the endpoint; -1 for a refusal
	}{
		"not bound":            {nil, nil, 0},
		"empty lists":          {[]string{}, []string{}, 0},
		"route":                {[]string{"r2"}, nil, 2},
		"organisation":         {nil, []string{"r2"}, 2},
		"both":                 {[]string{"r1", "r2"}, []string{"r2", "r3"}, 2},
		"empty intersection":   {[]string{"r1"}, []string{"r2"}, -1},
		"region of no zone":    {[]string{"nowhere"}, nil, -1},
		"region of no server":  {[]string{"r3"}, nil, -1},
		"one of them is known": {[]string{"nowhere", "r2"}, nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unknown, first, second := newServer(t, ok), newServer(t, ok), newServer(t, ok)
			servers := []*server{unknown, first, second}
			_, _, url := newBoundEntry(t, nil, c.route, c.organisation, regionalServer{unknown, ""}, regionalServer{first, "r1"}, regionalServer{second, "r2"})
			before := time.Now()
			response, body, err := send(t, url, "/safe/look", http.MethodPost, "plan", nil)
			is.NoErr(err)
			for i, s := range servers {
				is.Equal(s.count(), map[bool]int{true: 1, false: 0}[i == c.want])
			}
			if c.want >= 0 {
				is.Equal(response.StatusCode, http.StatusOK)
				return
			}
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.True(response.Header.Get("Retry-After") != "")
			is.Equal(body, string(NoAllowedRegion)+"\n")
			is.True(time.Since(before) < 100*time.Millisecond) // less than the 150 ms that it may wait
		})
	}
}

// Guards against a second attempt, or a stream that resumes, outside the allowed regions.
func TestRetriesStayInAllowedRegions(t *testing.T) {
	broken := func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "first")
		chunk(conn, eventText(1))
		return false
	}
	resumes := func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "second")
		chunk(conn, eventText(2))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	}
	for name, c := range map[string]struct {
		path          string
		first, second reply
		inside        bool // another endpoint is in the allowed region
	}{
		"second attempt":            {"/safe/look", closeWithoutAnswer, ok, true},
		"no second attempt":         {"/safe/look", closeWithoutAnswer, ok, false},
		"refused by the endpoint":   {"/unsafe/book", notRun, ok, true},
		"resumed stream":            {"/stream/quote", broken, resumes, true},
		"stream that cannot resume": {"/stream/quote", broken, resumes, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, outside, inside := newServer(t, c.first), newServer(t, c.second), newServer(t, c.second)
			servers := []regionalServer{{first, "r1"}, {outside, "r2"}}
			if c.inside {
				servers = append(servers, regionalServer{inside, "r1"})
			}
			h, _, url := newBoundEntry(t, nil, []string{"r1"}, nil, servers...)
			if c.inside { // else the first endpoint is the only one
				h.dispatcher.pools["dispatch"].Begin("i-2", placement.Prefill{}) // so that the first one is chosen first
			}
			response, body, err := send(t, url, c.path, http.MethodPost, "plan", nil)
			is.Equal(first.count(), 1)
			is.Equal(outside.count(), 0)
			is.Equal(inside.count(), map[bool]int{true: 1, false: 0}[c.inside])
			switch {
			case !c.inside && strings.HasPrefix(c.path, "/stream/"):
				is.True(err != nil) // the connection is closed: the answer is not complete
			case !c.inside:
				is.Equal(response.StatusCode, http.StatusBadGateway) // the request may have run
			case strings.HasPrefix(c.path, "/stream/"):
				is.NoErr(err)
				is.Equal(body, eventText(1)+eventText(2))
			default:
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
			}
		})
	}
}

// Guards against a search for another endpoint outside the allowed regions while the endpoint of a
// stream is silent.
func TestTakeoverStaysInAllowedRegions(t *testing.T) {
	is := is.New(t)
	silent := newServer(t, func(conn net.Conn, r *http.Request) bool {
		time.Sleep(streamSilence + takeoverInterval/2)
		_, _ = fmt.Fprintf(conn, streamHead, r.Header.Get("X-Request-Id"), "first")
		chunk(conn, eventText(1))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	outside := newServer(t, ok)
	_, _, url := newBoundEntry(t, nil, nil, []string{"r1"}, regionalServer{silent, "r1"}, regionalServer{outside, "r2"})
	_, body, err := send(t, url, "/stream/quote", http.MethodPost, "plan", nil)
	is.NoErr(err)
	is.Equal(body, eventText(1))
	is.Equal(outside.count(), 0)
}

// Guards against a change of the lists that is not in force for requests that wait, or that were
// just given an endpoint.
func TestListsChangeWhileRequestsWait(t *testing.T) {
	for name, c := range map[string]struct {
		before, after []string
		status        int
	}{
		"stricter":     {nil, []string{"r2"}, http.StatusServiceUnavailable},
		"disjoint":     {[]string{"r1"}, []string{"r2"}, http.StatusServiceUnavailable},
		"wider":        {[]string{"r1"}, nil, http.StatusOK},
		"still inside": {[]string{"r1"}, []string{"r2", "r1"}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, ok)
			h, state, url := newBoundEntry(t, nil, c.before, nil, regionalServer{s, "r1"})
			pool := h.dispatcher.pools["dispatch"]
			for range testSlots {
				pool.Begin("i-0", placement.Prefill{})
			}
			var wg sync.WaitGroup
			wg.Go(func() {
				response, body, err := send(t, url, "/safe/look", http.MethodPost, "plan", nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, c.status)
				is.Equal(body == string(NoAllowedRegion)+"\n", c.status != http.StatusOK)
			})
			for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
				h.dispatcher.mu.Lock()
				waiting = pool.queue.Len()
				h.dispatcher.mu.Unlock()
			}
			state.current.Store(boundTable(nil, c.after, nil))
			h.dispatcher.end(&request{service: "dispatch"}, placement.Choice{Endpoint: placement.Endpoint{ID: "i-0", Incarnation: 1}}, placement.Success)
			wg.Wait()
			is.Equal(s.count(), map[bool]int{true: 1, false: 0}[c.status == http.StatusOK])
		})
	}
}

// Guards against sending a request to an endpoint outside the allowed regions because the broker,
// which knows of no regions or has other settings, has granted its slot. The slot is returned.
func TestGrantOutsideAllowedRegionsIsReturned(t *testing.T) {
	is := is.New(t)
	outside, inside, unlisted := newServer(t, ok), newServer(t, ok), newServer(t, ok)
	engine := &routing.Engine{Slots: testSlots, StepMs: 1, PrefillPerSecond: 1e6}
	h, state, url := newBoundEntry(t, engine, []string{"r1"}, nil, regionalServer{outside, "r2"}, regionalServer{inside, "r1"})
	grants := []*server{outside, unlisted, inside}
	ids := []string{"i-0", "i-9", "i-1"}
	var mu sync.Mutex
	granted, returned := 0, 0
	slots := h.dispatcher.slots
	slots.send = func(to string, m peerMessage) {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range m.Events {
			if e.Ended && e.Result == placement.Neutral {
				returned++
			}
		}
		if m.SlotRequest == nil {
			return
		}
		response := &slotResponseMessage{
			Sequence: m.SlotRequest.Sequence, Verdict: placement.Placed, Endpoint: ids[granted], Incarnation: 1,
			Address: grants[granted].listener.Addr().String(), Zone: "near", WeightsVersion: 1,
		}
		granted++
		go slots.receive(peerMessage{From: to, Service: m.Service, Group: m.Group, SlotResponse: response})
	}
	endpoints := []placement.Endpoint{{ID: "i-0", Incarnation: 1, Zone: "near", Region: "r2"}, {ID: "i-1", Incarnation: 1, Zone: "far", Region: "r1"}}
	slots.update(state.Table(), map[string][]placement.Endpoint{"dispatch": endpoints}, []placement.Entry{{Name: "entry-2", Zone: "near"}}, time.Now())
	response, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(outside.count(), 0)
	is.Equal(unlisted.count(), 0) // its region is not known here, whatever the broker says of its zone
	is.Equal(inside.count(), 1)
	slots.flushEvents(time.Now())
	mu.Lock()
	defer mu.Unlock()
	is.Equal(returned, 2)
}

// Guards against requests that wait for a full region and keep others from free slots elsewhere,
// and against a free slot that no waiting request learns of.
func TestFullRegionDelaysNoOtherLocally(t *testing.T) {
	is := is.New(t)
	busy, free := newServer(t, ok), newServer(t, ok)
	h, state, url := newBoundEntry(t, nil, []string{"r1"}, nil, regionalServer{busy, "r1"}, regionalServer{free, "r2"})
	pool := h.dispatcher.pools["dispatch"]
	for range testSlots {
		pool.Begin("i-0", placement.Prefill{})
	}
	pool.Begin("i-1", placement.Prefill{}) // in use, but not full
	waiting := func(n int) {
		for found := -1; found != n; time.Sleep(time.Millisecond) {
			h.dispatcher.mu.Lock()
			found = pool.queue.Len()
			h.dispatcher.mu.Unlock()
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		response, _, err := send(t, url, "/safe/look", http.MethodPost, "plan", nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	})
	waiting(1)
	state.current.Store(boundTable(nil, []string{"r2"}, nil))
	before := time.Now()
	response, _, err := send(t, url, "/safe/look", http.MethodPost, "plan", func(r *http.Request) { r.Header.Set("X-Request-Id", "other") })
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(time.Since(before) < 50*time.Millisecond)
	wg.Wait()
	is.Equal(busy.count(), 0)
}

// Guards against slot requests that lose their regions on the way, above all those that no region
// may serve, and against messages with more regions than any deployment has.
func TestRegionsOfSlotRequests(t *testing.T) {
	is := is.New(t)
	for _, r := range []placement.Regions{{}, {Bound: true}, {Bound: true, Names: []string{"r1", "r2"}}} {
		data, err := wire.Marshal(peerMessage{SlotRequest: newSlotRequestMessage(placement.SlotRequest{Request: placement.Request{Regions: r}}, time.Now())})
		is.NoErr(err)
		var m peerMessage
		is.NoErr(wire.Unmarshal(data, &m))
		is.True(m.valid())
		is.Equal(m.SlotRequest.slotRequest("x", nil, time.Now()).Regions, r)
	}
	m := peerMessage{SlotRequest: &slotRequestMessage{Regions: &regionsMessage{Names: make([]string, maxRegions+1)}}}
	is.True(!m.valid())
	m.SlotRequest.Regions.Names = []string{strings.Repeat("r", maxRegionBytes+1)}
	is.True(!m.valid())
	m = peerMessage{Summary: &summaryMessage{Regions: []regionSlotsMessage{{Region: "r1", FreeSlots: -1}}}}
	is.True(!m.valid())
}

// Guards against asking the broker of a group without endpoints in the allowed regions, which would
// refuse the request although another group could queue it.
func TestBoundRequestsAskGroupsWithAllowedEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engines = 102
		n, cancel := newPeerNetwork(t, 4, engines, "a", "b")
		defer cancel()
		n.setRegions(engines, map[string]string{"a": "r1", "b": "r2"})
		placed := 0
		for i := range engines / 2 * engineSlots {
			entry := fmt.Sprint("entry-", i%4)
			a := placement.SlotRequest{Request: placement.Request{PromptTokens: 500, Zone: "a", Regions: placement.Regions{Bound: true, Names: []string{"r2"}}}, MaxWait: 100 * time.Millisecond}
			p, ok := n.slots[entry].requestSlot(t.Context(), "quotes", n.slots[entry].zone, a)
			is.True(ok)
			if p.response.Verdict == placement.Placed {
				placed++
				is.Equal(p.choice.Zone, "b")
			}
		}
		is.Equal(placed, engines/2*engineSlots) // all slots of the region, although no broker has announced free ones at first
	})
}

// Guards against endpoints of a zone that the settings do not list, whose region must stay unknown,
// and against settings whose regions do not fit into a message.
func TestZones(t *testing.T) {
	is := is.New(t)
	d := &Daemon{settings: DefaultSettings()}
	d.settings.Zones = map[string]string{"a": "r1", "b": "r2"}
	for zone, region := range map[string]string{"a": "r1", "b": "r2", "c": "", "": ""} {
		is.Equal(d.endpoint(wire.Server{ID: "i-1", Zone: zone}, nil).Region, region)
	}
	for i := range maxRegions + 1 {
		d.settings.Zones[fmt.Sprint("zone-", i)] = fmt.Sprint("region-", i)
	}
	is.True(strings.Contains(d.settings.Check().Error(), "zones"))
}

// Guards against an entry that forgets the regions when no broker responds and it places requests to
// engines by itself, and against waiting for a broker that could grant nothing.
func TestBoundRequestsWithoutBroker(t *testing.T) {
	for name, c := range map[string]struct {
		regions []string
		status  int
		asked   bool // a broker
	}{
		"endpoint inside":    {[]string{"r1"}, http.StatusOK, true},
		"no endpoint inside": {[]string{"r3"}, http.StatusServiceUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			outside, inside := newServer(t, ok), newServer(t, ok)
			engine := &routing.Engine{Slots: testSlots, StepMs: 1, PrefillPerSecond: 1e6}
			h, state, url := newBoundEntry(t, engine, c.regions, nil, regionalServer{outside, "r2"}, regionalServer{inside, "r1"})
			var asked atomic.Bool
			h.dispatcher.slots.send = func(string, peerMessage) { asked.Store(true) }
			endpoints := []placement.Endpoint{{ID: "i-0", Incarnation: 1, Zone: "near", Region: "r2"}, {ID: "i-1", Incarnation: 1, Zone: "far", Region: "r1"}}
			h.dispatcher.slots.update(state.Table(), map[string][]placement.Endpoint{"dispatch": endpoints}, []placement.Entry{{Name: "entry-2", Zone: "near"}}, time.Now())
			asked.Store(false) // the first report was sent
			response, _, err := send(t, url, "/unsafe/book", http.MethodPost, "order", nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			is.Equal(outside.count(), 0)
			is.Equal(inside.count(), map[bool]int{true: 1, false: 0}[c.status == http.StatusOK])
			is.Equal(asked.Load(), c.asked)
		})
	}
}

// Guards against refusing grants of an endpoint that has restarted, of which the broker hears first,
// and against trusting its region at an address where it is not listed.
func TestRegionOfRestartedEndpoint(t *testing.T) {
	is := is.New(t)
	s := newServer(t, ok)
	h, state, _ := newBoundEntry(t, nil, []string{"r1"}, nil, regionalServer{s, "r1"})
	route := &state.Table().Document.Routes[0]
	q := &request{route: route, service: "dispatch", table: state.Table(), regions: h.regionsIn(state.Table(), route, testKey)}
	c := placement.Choice{Endpoint: placement.Endpoint{ID: "i-0", Incarnation: 2, Address: s.listener.Addr().String(), Region: "r1"}}
	is.True(h.regionAllowed(q, c))
	c.Address = "10.0.0.9:1"
	is.True(!h.regionAllowed(q, c))
}

// setRegions lists engines with their regions at all entries.
func (n *peerNetwork) setRegions(engines int, regions map[string]string) {
	zones := []string{"a", "b"}
	table := routing.Compile(&routing.Document{Services: []routing.Service{{Name: "quotes", Engine: &routing.Engine{
		Slots: engineSlots, Stride: 5, StepMs: 13.3, PrefillPerSecond: 12700, PrefillChunkTokens: 2048, MeanPromptTokens: 1000, MeanAnswerTokens: 75,
	}}}})
	var list []placement.Endpoint
	for i := range engines {
		zone := zones[i%len(zones)]
		list = append(list, placement.Endpoint{ID: fmt.Sprint("engine-", i), Incarnation: 1, Address: "x", Zone: zone, Region: regions[zone], WeightsVersion: 1})
	}
	var entries []placement.Entry
	for i := range len(n.slots) {
		entries = append(entries, placement.Entry{Name: fmt.Sprint("entry-", i), Zone: zones[i%len(zones)]})
	}
	for _, s := range n.slots {
		s.update(table, map[string][]placement.Endpoint{"quotes": list}, entries, time.Now())
	}
}
