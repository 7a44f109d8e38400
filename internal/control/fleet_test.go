package control

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/membership"
)

func testFleet() *fleet {
	v := &View{Weights: map[string][]ledger.WeightsVersion{}}
	return newFleet(func() *View { return v }, "replica-1", time.Second, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
}

// mergedServers is the table that followers are told of.
func mergedServers(f *fleet) *membership.Table[wire.Server] {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild(time.Now())
	return f.servers
}

func server(id string, started, sequence uint64) wire.Server {
	return wire.Server{ID: id, Started: started, Sequence: sequence, Service: "quote", Address: "10.0.0.1:1"}
}

// Guards against late check-ins that bring back a server that has gone, or an
// earlier incarnation of one that has started again.
func TestLateCheckIns(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := testFleet()
	f.CheckIn(server("i-1", 100, 5), now)
	f.CheckIn(server("i-1", 100, 4), now.Add(3*time.Second)) // late: does not renew it
	is.Equal(f.localServers.Expire(now.Add(maxMissedHeartbeats*time.Second)), []string{"i-1"})

	f.CheckIn(server("i-2", 100, 5), now)
	f.CheckIn(server("i-2", 200, 1), now)
	f.CheckIn(server("i-2", 100, 9), now)
	held, ok := mergedServers(f).Get("i-2")
	is.True(ok)
	is.Equal(held.Incarnation, uint64(200))

	f.Depart("i-2", 200, now)
	f.CheckIn(server("i-2", 200, 2), now)
	_, ok = mergedServers(f).Get("i-2")
	is.True(!ok)
	f.CheckIn(server("i-2", 300, 1), now)
	_, ok = mergedServers(f).Get("i-2")
	is.True(ok)
}

// Guards against a departure without a process start that is lost, because this
// replica has not heard of the server before: another one may hold it.
func TestDeregisterUnknownServer(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := testFleet()
	before := mergedServers(f).Version()
	f.Depart("i-1", 0, now)
	is.True(mergedServers(f).Version() != before)
	f.CheckIn(server("i-1", uint64(now.Add(-time.Minute).UnixMilli()), 7), now)
	_, ok := mergedServers(f).Get("i-1")
	is.True(!ok)
}

// Guards against requests to an engine that loads, or to one whose new weights are
// known only at its next check-in; and against news of an engine that has started
// again since.
func TestStagersReportEngineState(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := testFleet()
	f.CheckIn(server("i-1", 100, 1), now)
	session := new(transport.Session)
	report := func(e wire.EngineState) {
		f.RegisterProcess(session, wire.Process{Name: "side-1", Role: wire.RoleStager, Address: "10.0.0.1:1", Engine: e})
	}
	current := func() wire.Server {
		r, ok := mergedServers(f).Get("i-1")
		is.True(ok)
		return r.Report
	}
	before := mergedServers(f).Version()
	report(wire.EngineState{Started: 100, Loading: true})
	is.True(current().Loading)
	is.True(mergedServers(f).Version() > before) // entries are told
	f.CheckIn(server("i-1", 100, 2), now)
	is.True(current().Loading) // a check-in does not know of it
	report(wire.EngineState{Started: 100, Model: "m", Version: 2, Layers: 16})
	is.True(!current().Loading)
	is.Equal(current().Models[0].Layers[0].Version, uint64(2))
	f.CheckIn(server("i-1", 200, 1), now)
	is.Equal(len(current().Models), 0)
}

// Guards against whole lists on each change: at 107 stagers and 9 replicas they
// filled the links between regions.
func TestFleetSendsChangesOnly(t *testing.T) {
	is := is.New(t)
	list := func(processes ...wire.Process) *processList {
		l := &processList{byName: map[string]wire.Process{}}
		for _, p := range processes {
			l.byName[p.Name] = p
		}
		return l
	}
	a, b, c := wire.Process{Name: "a"}, wire.Process{Name: "b"}, wire.Process{Name: "c"}
	changed := b
	changed.Holds = 2
	var first, second wire.Fleet
	list(a, b).addChangesSince(nil, &first)
	is.True(first.Whole)
	is.Equal(first.Processes, []wire.Process{a, b})
	list(changed, c).addChangesSince(list(a, b), &second)
	is.True(!second.Whole)
	is.Equal(second.Processes, []wire.Process{changed, c})
	is.Equal(second.Left, []string{"a"})
}

// Guards against an age of named weights that starts anew with the replica.
func TestAgeOfNamedWeights(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := testFleet()
	key := weightsKey{"m", 2}
	is.True(f.age(key, now.Add(-8*time.Second).UnixMilli(), now) >= 7900*time.Millisecond)
	// The time of day stepped back by more than the age: the steady clock counts.
	is.Equal(f.age(key, now.Add(time.Hour).UnixMilli(), now.Add(5*time.Second)), 5*time.Second)
}

// Guards against addresses of entries that take no callers any more, and against
// none at all while every entry is stopping.
func TestAddressesOfEntries(t *testing.T) {
	is := is.New(t)
	d := &Daemon{fleet: testFleet()}
	add := func(p wire.Process) {
		p.Role = wire.RoleEntry
		d.fleet.RegisterProcess(new(transport.Session), p)
	}
	add(wire.Process{Name: "starting", Address: "1"})
	add(wire.Process{Name: "stopping", Address: "2", Ready: true, Draining: true})
	add(wire.Process{Name: "stopped", Address: "3", Draining: true})
	addresses, ttl := d.Addresses("", "")
	is.Equal(addresses, []string{"2"})
	is.True(ttl > 0)
	add(wire.Process{Name: "ready", Address: "4", Ready: true})
	addresses, _ = d.Addresses("", "")
	is.Equal(addresses, []string{"4"})
}
