package controlclient

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

var loadStart = time.Unix(1_000, 0)

// testSources returns sources with open sessions to the replicas x, y and z,
// preferred in this order.
func testSources() *loadSources {
	l := newLoadSources()
	var next uint64
	l.rank = func() uint64 { next++; return next }
	for _, address := range []string{"x", "y", "z"} {
		l.opened(address)
	}
	l.follow([]string{"b", "a"})
	return l
}

// Loads must be requested from one replica only. A request must not be
// repeated, except on a new session or after a failed send.
func TestLoadsAreRequestedFromOneReplica(t *testing.T) {
	is := is.New(t)
	l := testSources()
	all := []string{"a", "b"}
	is.Equal(l.plan(loadStart), map[string][]string{"x": all})
	is.Equal(len(l.plan(loadStart)), 0)
	l.opened("x")
	is.Equal(l.plan(loadStart), map[string][]string{"x": all})
	l.requestFailed("x")
	is.Equal(l.plan(loadStart), map[string][]string{"x": all})
	l.closed("x")
	is.Equal(l.plan(loadStart), map[string][]string{"y": all})
	l.opened("x")
	is.Equal(l.plan(loadStart), map[string][]string{"x": all, "y": nil})
	l.follow([]string{"c"})
	is.Equal(l.plan(loadStart), map[string][]string{"x": {"c"}})
}

// A replica that is connected but sends nothing must be replaced, and must not
// be chosen again right after it stalled.
func TestStalledReplicaIsReplaced(t *testing.T) {
	is := is.New(t)
	l := testSources()
	l.plan(loadStart)
	now := loadStart.Add(loadStallTimeout)
	is.Equal(len(l.plan(now)), 0)
	now = now.Add(time.Millisecond)
	is.Equal(l.plan(now), map[string][]string{"x": nil, "y": {"a", "b"}})
	l.opened("x")
	for range 10 {
		now = now.Add(wire.LoadCheckInterval)
		l.received("y", wire.Loads{Check: true}, now)
		is.Equal(len(l.plan(now)), 0)
	}
	// When every replica has stalled, the one that stalled longest ago is used.
	l.closed("z")
	now = now.Add(loadStallTimeout + time.Millisecond)
	is.Equal(l.plan(now), map[string][]string{"x": {"a", "b"}, "y": nil})
}

// The load of an endpoint that the primary does not hear from must be requested
// from the other replicas, and only as long as it is silent.
func TestSilentEndpointsAreRequestedFromOtherReplicas(t *testing.T) {
	is := is.New(t)
	l := testSources()
	l.plan(loadStart)
	is.True(l.received("x", wire.Loads{Check: true, Silent: []string{"b"}}, loadStart))
	is.Equal(l.plan(loadStart), map[string][]string{"y": {"b"}, "z": {"b"}})
	is.True(!l.received("x", wire.Loads{Check: true, Silent: []string{"b"}}, loadStart))
	is.True(!l.received("x", wire.Loads{}, loadStart)) // a change of load has no information on silence
	is.Equal(len(l.plan(loadStart)), 0)
	is.True(l.received("x", wire.Loads{Check: true}, loadStart))
	is.Equal(l.plan(loadStart), map[string][]string{"y": nil, "z": nil})
}
