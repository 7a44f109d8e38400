package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/membership"
)

func newTestFleet() *fleet {
	v := &View{Weights: map[string][]ledger.WeightsVersion{}}
	return newFleet(func() *View { return v }, "replica-1", time.Second, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
}

// mergedServers returns the server table that is sent to followers.
func mergedServers(f *fleet) *membership.Table[wire.Server] {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rebuild(time.Now())
	return f.servers
}

func server(id string, started, sequence uint64) wire.Server {
	return wire.Server{ID: id, Started: started, Sequence: sequence, Service: "quote", Address: "10.0.0.1:1"}
}

// Late check-ins must not restore a server that has deregistered, or an earlier
// incarnation of one that has restarted.
func TestLateCheckIns(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newTestFleet()
	f.CheckIn(server("i-1", 100, 5), now)
	f.CheckIn(server("i-1", 100, 4), now.Add(3*time.Second)) // late: does not extend its expiry
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

// A deregistration without the start time must be recorded even if this replica
// does not know the server, because another replica may.
func TestDeregisterUnknownServer(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newTestFleet()
	before := mergedServers(f).Version()
	f.Depart("i-1", 0, now)
	is.True(mergedServers(f).Version() != before)
	f.CheckIn(server("i-1", uint64(now.Add(-time.Minute).UnixMilli()), 7), now)
	_, ok := mergedServers(f).Get("i-1")
	is.True(!ok)
}

// Entries must learn from the stager, not only from the next check-in, that an
// engine is loading or has new weights. The state of an engine that has
// restarted since must not be used.
func TestStagersReportEngineState(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newTestFleet()
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
	is.True(mergedServers(f).Version() > before) // sent to entries
	f.CheckIn(server("i-1", 100, 2), now)
	is.True(current().Loading) // a check-in does not report it
	report(wire.EngineState{Started: 100, Model: "m", Version: 2, Layers: 16})
	is.True(!current().Loading)
	is.Equal(current().Models[0].Layers[0].Version, uint64(2))
	f.CheckIn(server("i-1", 200, 1), now)
	is.Equal(len(current().Models), 0)
}

// A change must not send the full list: with 107 stagers and 9 replicas full
// lists filled the links between regions.
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
	changed.WeightsVersion = 2
	var first, second wire.Fleet
	list(a, b).addChangesSince(nil, &first)
	is.True(first.Whole)
	is.Equal(first.Processes, []wire.Process{a, b})
	list(changed, c).addChangesSince(list(a, b), &second)
	is.True(!second.Whole)
	is.Equal(second.Processes, []wire.Process{changed, c})
	is.Equal(second.Left, []string{"a"})
}

// The age of named weights must not start again when the replica restarts.
func TestAgeOfNamedWeights(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newTestFleet()
	key := weightsKey{"m", 2}
	is.True(f.age(key, now.Add(-8*time.Second).UnixMilli(), now) >= 7900*time.Millisecond)
	// The wall clock was set back by more than the age: the monotonic clock
	// counts.
	is.Equal(f.age(key, now.Add(time.Hour).UnixMilli(), now.Add(5*time.Second)), 5*time.Second)
}

// Guards against messages that grow with each version ever named, and against naming a successor of weights later than it was.
func TestNamedWeightsInMessages(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newTestFleet()
	v := &View{Weights: map[string][]ledger.WeightsVersion{}}
	for version := range uint64(40) {
		at := now.Add(-wire.WeightsRetention - 10*time.Second + time.Duration(version)*time.Second)
		v.Weights["m"] = append(v.Weights["m"], ledger.WeightsVersion{Version: version + 2, AtMs: at.UnixMilli()})
	}
	list, _ := f.namedWeights(v, now)
	is.Equal(list[0].Version, uint64(12)) // the newest one beyond the retention
	is.True(list[0].AgeMs >= (wire.WeightsRetention + 10*time.Second).Milliseconds())
	is.Equal(len(list), 30)
	for i, w := range list[1:] {
		is.Equal(w.Version, uint64(13+i))
		is.True(w.AgeMs/1000 == int64((wire.WeightsRetention-time.Duration(1+i)*time.Second)/time.Second))
	}
}

// Callers must not get addresses of entries that accept no callers any more,
// but must get some while every ready entry is draining.
func TestAddressesOfEntries(t *testing.T) {
	is := is.New(t)
	d := &Daemon{fleet: newTestFleet()}
	add := func(p wire.Process) {
		p.Role = wire.RoleEntry
		d.fleet.RegisterProcess(new(transport.Session), p)
	}
	add(wire.Process{Name: "starting", Address: "1"})
	add(wire.Process{Name: "stopping", Address: "2", Ready: true, Draining: true})
	add(wire.Process{Name: "stopped", Address: "3", Draining: true})
	addresses, ttl := d.Addresses("", "", "")
	is.Equal(addresses, []string{"2"})
	is.True(ttl > 0)
	add(wire.Process{Name: "ready", Address: "4", Ready: true})
	addresses, _ = d.Addresses("", "", "")
	is.Equal(addresses, []string{"4"})
}

// Weights must be trusted only once their load was verified, also while the stager is
// restarting, silent or unknown. What was verified must not be forgotten with it, which
// would take the engine out of service.
func TestOnlyVerifiedWeightsAreTrusted(t *testing.T) {
	now := time.Now()
	engine := func(version, orders, verified uint64) wire.EngineState {
		return wire.EngineState{Started: 100, Model: "m", Layers: 16, Version: version, Orders: orders, Verified: verified}
	}
	other := engine(2, 1, 1)
	other.Started = 90
	for name, c := range map[string]struct {
		version uint64 // that the engine's own check-in states
		reports []wire.EngineState
		gone    bool // the stager is not in touch any more
		want    bool
	}{
		"first weights, no stager":                {1, nil, false, true},
		"later weights, no stager":                {2, nil, false, false},
		"first weights":                           {1, []wire.EngineState{engine(1, 0, 0)}, false, true},
		"loaded and not verified":                 {2, []wire.EngineState{engine(2, 1, 0)}, false, false},
		"loaded and verified":                     {2, []wire.EngineState{engine(2, 1, 0), engine(2, 1, 1)}, false, true},
		"another order":                           {2, []wire.EngineState{engine(2, 1, 1), engine(2, 2, 1)}, false, false},
		"stager has restarted":                    {2, []wire.EngineState{engine(2, 1, 1), {}, engine(2, 1, 0)}, false, true},
		"stager has restarted, engine not polled": {2, []wire.EngineState{engine(2, 1, 1), {}}, false, true},
		"stager is gone":                          {2, []wire.EngineState{engine(2, 1, 1)}, true, true},
		"stager is gone, loaded since":            {3, []wire.EngineState{engine(2, 1, 1)}, true, false},
		"stager is gone, not verified":            {2, []wire.EngineState{engine(2, 1, 0)}, true, false},
		"engine has restarted":                    {2, []wire.EngineState{other}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet()
			s := server("i-1", 100, 1)
			s.Models = []wire.ServerModel{{Name: "m", Layers: []protocol.ServedLayers{{From: 0, To: 16, Version: c.version}}}}
			is.NoErr(f.CheckIn(s, now))
			session := new(transport.Session)
			for _, e := range c.reports {
				f.RegisterProcess(session, wire.Process{Name: "side-1", Role: wire.RoleStager, Address: s.Address, Engine: e})
				mergedServers(f)
			}
			if c.gone {
				f.CloseSession(session)
			}
			r, ok := mergedServers(f).Get("i-1")
			is.True(ok)
			is.Equal(r.Report.TrustedWeights(), c.want)
		})
	}
}

// The states of engines must not fill the memory when servers are replaced all day.
func TestEngineStatesOfGoneServersAreDropped(t *testing.T) {
	is := is.New(t)
	f := newTestFleet()
	session := new(transport.Session)
	now := time.Now()
	for i := range 100 {
		now = now.Add(time.Minute)
		s := server("i-1", uint64(100+i), 1)
		s.Address = fmt.Sprintf("10.0.1.%d:1", i)
		is.NoErr(f.CheckIn(s, now))
		f.RegisterProcess(session, wire.Process{Name: "side-1", Role: wire.RoleStager, Address: s.Address, Engine: wire.EngineState{Started: s.Started, Orders: 1}})
		mergedServers(f)
	}
	is.Equal(len(f.engines), 1)
}

// Guards against entries that do not learn that a server has become cold again, and against one
// message to all entries for each step of a countdown.
func TestColdServersArePassedOn(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := newTestFleet()
	version := mergedServers(f).Version()
	sequence := uint64(0)
	checkIn := func(after time.Duration, coldMs int64) (passedOn bool) {
		now = now.Add(after)
		sequence++
		s := server("i-1", 100, sequence)
		s.ColdMs = coldMs
		is.NoErr(f.CheckIn(s, now))
		before := version
		version = mergedServers(f).Version()
		return version != before
	}
	is.True(checkIn(0, 0))
	is.True(!checkIn(time.Second, 0))
	is.True(checkIn(time.Second, 8000))
	is.True(!checkIn(time.Second, 7000))
	is.True(!checkIn(2*time.Second, 5200)) // a check-in may be late
	is.True(checkIn(time.Second, 5200))    // it remains cold for longer
	is.True(checkIn(time.Second, 9000))
	is.True(checkIn(9*time.Second, 0))
	is.True(!checkIn(time.Second, 0))
	is.True(checkIn(time.Second, 9000)) // the same time as before
}
