package fleetclient

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against an older set that replaces a newer one, whichever replica sends it, and
// against using endpoints before a replica with a leader has sent the set.
func TestNewestEvacuationsApply(t *testing.T) {
	is := is.New(t)
	c := testClient()
	is.True(!c.EvacuationsKnown())
	is.True(c.IsEvacuated("a")) // not known yet
	for _, step := range []struct {
		message wire.Fleet
		known   bool
		zones   []string
	}{
		{wire.Fleet{Leaderless: true}, false, nil},
		{wire.Fleet{Leaderless: true, Evacuated: []string{"b"}, EvacuationRevision: 2}, false, []string{"b"}},
		{wire.Fleet{}, true, []string{"b"}}, // a replica that lags
		{wire.Fleet{Evacuated: []string{"a", "b"}, EvacuationRevision: 3}, true, []string{"a", "b"}},
		{wire.Fleet{Leaderless: true, Evacuated: []string{"b"}, EvacuationRevision: 2}, true, []string{"a", "b"}},
		{wire.Fleet{EvacuationRevision: 2}, true, []string{"a", "b"}},
		{wire.Fleet{Leaderless: true, EvacuationRevision: 5}, true, nil},
		{wire.Fleet{Evacuated: []string{"a"}, EvacuationRevision: 4}, true, nil},
	} {
		c.receiveFleet("replica-1", step.message)
		is.Equal(c.EvacuationsKnown(), step.known)
		is.Equal(len(c.Evacuated()), len(step.zones))
		for i, zone := range step.zones {
			is.Equal(c.Evacuated()[i], zone)
			is.True(c.IsEvacuated(zone))
		}
		is.Equal(c.IsEvacuated("c"), !step.known)
	}
}

// Guards against an entry without endpoints in a deployment without evacuations: the first
// message makes the empty set known.
func TestFirstMessageMakesEvacuationsKnown(t *testing.T) {
	is := is.New(t)
	c := testClient()
	c.receiveFleet("replica-1", wire.Fleet{RoutingVersion: 1})
	is.True(c.EvacuationsKnown())
	is.Equal(len(c.Evacuated()), 0)
	is.True(!c.IsEvacuated("a"))
}
