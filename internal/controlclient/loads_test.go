package controlclient

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

var loadStart = time.Unix(1_000, 0)

// testSources has the replicas x, y and z open, preferred in this order.
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

// Guards against loads that several replicas send, requests that repeat, and
// requests that are not repeated on a new session or after a failed send.
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

// Guards against a replica that is connected but sends nothing, and against one
// that is chosen again at once after it stalled.
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
	// When every replica stalls, the one that stalled longest ago is tried.
	l.closed("z")
	now = now.Add(loadStallTimeout + time.Millisecond)
	is.Equal(l.plan(now), map[string][]string{"x": {"a", "b"}, "y": nil})
}

// Guards against an endpoint whose load stays unknown because the replica that
// sends loads does not hear from it, and against asking all replicas for ever.
func TestSilentEndpointsAreRequestedFromOtherReplicas(t *testing.T) {
	is := is.New(t)
	l := testSources()
	l.plan(loadStart)
	is.True(l.received("x", wire.Loads{Check: true, Silent: []string{"b"}}, loadStart))
	is.Equal(l.plan(loadStart), map[string][]string{"y": {"b"}, "z": {"b"}})
	is.True(!l.received("x", wire.Loads{Check: true, Silent: []string{"b"}}, loadStart))
	is.True(!l.received("x", wire.Loads{}, loadStart)) // a change says nothing about silence
	is.Equal(len(l.plan(loadStart)), 0)
	is.True(l.received("x", wire.Loads{Check: true}, loadStart))
	is.Equal(l.plan(loadStart), map[string][]string{"y": nil, "z": nil})
}
