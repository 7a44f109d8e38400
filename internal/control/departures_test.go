package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// testServer returns a check-in of a server named i-N, whose address is its own.
func testServer(id string, started, sequence uint64) wire.Server {
	s := server(id, started, sequence)
	s.Address = "10.1.0." + strings.TrimPrefix(id, "i-") + ":1"
	return s
}

func lists(client *fleetclient.Client, id string) bool {
	return slices.ContainsFunc(client.ServerList(), func(s wire.Server) bool { return s.ID == id })
}

// Guards against an entry that was away while a server left: its replicas send it a full table
// when it returns, in which the server is only missing.
func TestDepartureReachesEntryThatWasAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startFiveReplicas(t)
		client, stop := c.startFollower("entry", wire.RoleEntry, "v1", "v2", "v3")
		defer stop()
		c.daemons["v4"].CheckIn(testServer("i-1", 1, 1))
		c.eventually("server known", func() bool { return lists(client, "i-1") })
		c.net.SetIsolated("entry", c.names, true)
		time.Sleep(4 * time.Second)
		c.daemons["v4"].Depart("i-1", 1)
		is.True(lists(client, "i-1"))
		time.Sleep(time.Second)
		c.net.SetIsolated("entry", c.names, false)
		time.Sleep(3 * time.Second)
		is.True(!lists(client, "i-1"))
		is.True(client.HasLeft("i-1", 1))
	})
}

// Guards against a departure that is known only to the replica at which the server
// deregistered, and is lost with it before a replica that was away returns.
func TestDepartureOutlivesItsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startFiveReplicas(t)
		c.daemons["v1"].CheckIn(testServer("i-1", 1, 1))
		time.Sleep(time.Second)
		c.net.SetIsolated("v5", []string{"v1", "v2", "v3", "v4"}, true)
		time.Sleep(4 * time.Second) // the sessions to it end
		c.daemons["v1"].Depart("i-1", 1)
		time.Sleep(time.Second)
		c.daemons["v1"].kill()
		delete(c.daemons, "v1")
		time.Sleep(time.Second)
		c.net.SetIsolated("v5", []string{"v1", "v2", "v3", "v4"}, false)
		time.Sleep(4 * time.Second)
		r := mergedServers(c.daemons["v5"].fleet).All()
		is.Equal(len(r), 1)
		is.True(r[0].Gone)
		// A check-in that was sent before the departure does not list the server again.
		c.daemons["v5"].CheckIn(testServer("i-1", 1, 2))
		is.Equal(len(mergedServers(c.daemons["v5"].fleet).Live()), 0)
	})
}

// Guards against an acknowledged departure that is lost with the replica that acknowledged it in
// the next moment: the acknowledgement waits until another replica holds the departure, and one
// that reaches no other replica gives none.
func TestAcknowledgedDepartureIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startFiveReplicas(t)
		client, stop := c.startFollower("entry", wire.RoleEntry, "v2", "v3", "v4")
		defer stop()
		for i := range 2 {
			c.daemons["v1"].CheckIn(testServer(fmt.Sprint("i-", i), 1, 1))
		}
		c.eventually("servers known", func() bool { return lists(client, "i-0") && lists(client, "i-1") })
		c.net.SetIsolated("v1", []string{"v2", "v3", "v4", "v5"}, true)
		c.daemons["v1"].Depart("i-0", 1)
		before := time.Now()
		is.True(errors.Is(c.daemons["v1"].AwaitShared(t.Context(), "i-0"), ErrNotShared))
		is.True(time.Since(before) < time.Second) // the server calls another replica then
		c.net.SetIsolated("v1", []string{"v2", "v3", "v4", "v5"}, false)
		time.Sleep(4 * time.Second)
		before = time.Now()
		c.daemons["v1"].Depart("i-1", 1)
		is.NoErr(c.daemons["v1"].AwaitShared(t.Context(), "i-1"))
		is.True(time.Since(before) < 200*time.Millisecond)
		c.daemons["v1"].kill()
		delete(c.daemons, "v1")
		time.Sleep(time.Second)
		is.True(client.HasLeft("i-0", 1) && client.HasLeft("i-1", 1))
		// Draining is a departure that is announced.
		s := testServer("i-2", 1, 1)
		is.NoErr(c.daemons["v2"].CheckIn(s))
		s.Sequence, s.Draining = 2, true
		is.NoErr(c.daemons["v2"].CheckIn(s))
		is.NoErr(c.daemons["v2"].AwaitShared(t.Context(), "i-2"))
	})
}

// A replica without others has nobody to share a departure with.
func TestSingleReplicaAcknowledgesDepartures(t *testing.T) {
	is := is.New(t)
	f := newTestFleet()
	f.Depart("i-1", 1, time.Now())
	is.NoErr(f.AwaitShared(t.Context(), "i-1"))
}

// Draws cuts, restarts and freezes of replicas and entries around departures and late check-ins,
// and checks for every entry in touch that a server that has left is not listed any more. It
// guards against orders of events in which a departure is forgotten or does not reach somebody.
func TestDeparturesInAnyOrder(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDepartures(t, rand.New(rand.NewPCG(seed, 1)))
				defer d.stop()
				for range 12 {
					d.round()
				}
			})
		})
	}
}

// departures plays a fleet of servers that check in, leave and return.
type departures struct {
	*cluster
	t       *testing.T
	rng     *rand.Rand
	clients map[string]*fleetclient.Client
	stops   []func()
	servers map[string]wire.Server // last check-in, by ID
	left    map[string]bool
	leftAt  map[string]time.Time
	// awayUntil is when a replica or entry was last back in touch; in the future while it is away.
	awayUntil map[string]time.Time
	events    []string
}

const (
	drainBound      = 2 * time.Second
	stabilityWindow = 3 * time.Second
)

func newDepartures(t *testing.T, rng *rand.Rand) *departures {
	d := &departures{
		cluster: startFiveReplicas(t), t: t, rng: rng, clients: map[string]*fleetclient.Client{}, servers: map[string]wire.Server{},
		left: map[string]bool{}, leftAt: map[string]time.Time{}, awayUntil: map[string]time.Time{},
	}
	for i := range 3 {
		name := fmt.Sprint("entry-", i)
		client, stop := d.startFollower(name, wire.RoleEntry, "v1", "v3", "v5")
		d.clients[name], d.stops = client, append(d.stops, stop)
	}
	for i := range 6 {
		id := fmt.Sprint("i-", i)
		d.servers[id] = testServer(id, 1, 1)
	}
	d.pass(2 * time.Second)
	return d
}

func (d *departures) stop() {
	if d.t.Failed() {
		d.t.Log(strings.Join(d.events, "; "))
	}
	for _, stop := range d.stops {
		stop()
	}
}

// pass lets time pass, in which servers check in with any replica that is not away.
func (d *departures) pass(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, id := range []string{"i-0", "i-1", "i-2", "i-3", "i-4", "i-5"} {
			if s := d.servers[id]; !d.left[id] && d.rng.IntN(4) == 0 {
				s.Sequence++
				d.servers[id] = s
				if r := d.presentReplica(); r != nil {
					_ = r.CheckIn(s)
				}
			}
		}
		d.check()
	}
}

// presentReplica returns a replica in touch.
func (d *departures) presentReplica() *instance {
	for _, i := range d.rng.Perm(len(d.names)) {
		if name := d.names[i]; d.daemons[name] != nil && d.inTouch(name) {
			return d.daemons[name]
		}
	}
	return nil
}

func (d *departures) inTouch(name string) bool {
	return time.Since(d.awayUntil[name]) > stabilityWindow
}

// coreStable reports whether all replicas were in touch for the stability window.
func (d *departures) coreStable() bool {
	return !slices.ContainsFunc(d.names, func(name string) bool { return !d.inTouch(name) })
}

func (d *departures) check() {
	if !d.coreStable() {
		return
	}
	for name, client := range d.clients {
		for id, left := range d.left {
			if s := d.servers[id]; left && d.inTouch(name) && time.Since(d.leftAt[id]) > drainBound && (lists(client, id) || !client.HasLeft(id, s.Started)) && time.Since(d.leftAt[id]) < 50*time.Second {
				d.t.Fatalf("%s lists %s, which left %s ago", name, id, time.Since(d.leftAt[id]))
			}
		}
	}
}

func (d *departures) away(name string) {
	d.awayUntil[name] = time.Now().Add(time.Hour)
	d.events = append(d.events, fmt.Sprint(time.Now().Format("04:05.000 "), name, " away"))
}

func (d *departures) back(name string) {
	d.awayUntil[name] = time.Now()
	d.events = append(d.events, fmt.Sprint(time.Now().Format("04:05.000 "), name, " back"))
}

func (d *departures) round() {
	everybody := append(slices.Clone(d.names), "entry-0", "entry-1", "entry-2")
	victim := everybody[d.rng.IntN(len(everybody))]
	others := slices.DeleteFunc(slices.Clone(everybody), func(name string) bool { return name == victim })
	end := func() { d.net.SetIsolated(victim, others, false) }
	d.away(victim)
	switch kind := d.rng.IntN(3); {
	case kind == 0 && strings.HasPrefix(victim, "v"):
		d.daemons[victim].kill()
		delete(d.daemons, victim)
		end = func() { d.start(victim) }
	case kind == 1:
		d.net.Freeze(victim)
		end = func() { d.net.Thaw(victim) }
	default:
		d.net.SetIsolated(victim, others, true)
	}
	d.pass(time.Duration(d.rng.IntN(3000)) * time.Millisecond)
	d.leaveOne()
	d.pass(time.Duration(d.rng.IntN(5000)) * time.Millisecond)
	end()
	d.back(victim)
	if d.rng.IntN(2) == 0 {
		d.leaveOne()
	}
	d.pass(5 * time.Second)
	for id := range d.left { // it returns under its name and address
		if d.left[id] && d.rng.IntN(3) == 0 {
			s := d.servers[id]
			s.Started, s.Sequence = s.Started+1, 1
			d.servers[id], d.left[id] = s, false
		}
	}
}

// leaveOne lets a server deregister with a replica in touch. A check-in that was sent before
// arrives at another replica after that.
func (d *departures) leaveOne() {
	r := d.presentReplica()
	id := fmt.Sprint("i-", d.rng.IntN(6))
	if r == nil || d.left[id] {
		return
	}
	s := d.servers[id]
	r.Depart(id, s.Started)
	d.left[id], d.leftAt[id] = true, time.Now()
	d.events = append(d.events, fmt.Sprint(time.Now().Format("04:05.000 "), id, " leaves at ", r.name))
	time.Sleep(time.Duration(d.rng.IntN(1000)) * time.Millisecond)
	if late := d.presentReplica(); late != nil {
		_ = late.CheckIn(s)
	}
}
