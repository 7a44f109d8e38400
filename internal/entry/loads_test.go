package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against an old load that replaces a newer one, a load of an earlier
// incarnation that is applied, and a load that restores or hides the readiness in an
// announcement from another replica.
func TestLoadsAreKeptApartFromTheTable(t *testing.T) {
	is := is.New(t)
	f := newFleet(balancer.Config{}, subsetRule{threshold: 64})
	now := time.Unix(1_000, 0)
	table := func(incarnation, sequence uint64, inFlight int, ready bool) {
		a := serviceAnnounce("a", incarnation, sequence, inFlight)
		a.Ready = ready
		is.Equal(f.update(map[string]wire.Announce{"a": a}, now), []string{"a"})
	}
	load := func(incarnation, sequence uint64, inFlight int) {
		f.applyLoads([]wire.Load{{Endpoint: "a", Incarnation: incarnation, Sequence: sequence, InFlight: inFlight}}, now)
	}
	freeSlots := func() int {
		free, _ := f.balancer.PoolSlots(servicePrefix+"orders", now)
		return free
	}
	table(2, 5, 0, true)
	is.Equal(freeSlots(), 8)
	load(2, 7, 6)
	is.Equal(freeSlots(), 2)
	load(2, 6, 0) // out of order
	load(1, 99, 0)
	is.Equal(freeSlots(), 2)
	table(2, 6, 1, true) // an older announcement, from a replica that lags
	is.Equal(freeSlots(), 2)
	table(2, 6, 1, false) // became not ready before the load report
	is.Equal(freeSlots(), 0)
	table(2, 8, 3, true)
	is.Equal(freeSlots(), 5)
	load(3, 1, 8) // the restart has not been announced yet
	is.Equal(freeSlots(), 5)
	table(3, 1, 0, true)
	load(3, 2, 7)
	is.Equal(f.balancer.Slots(), 8)
	is.Equal(f.loads["a"].InFlight, 7)
	f.applyLoads([]wire.Load{{Endpoint: "unknown", Incarnation: 1}}, now)
	is.Equal(len(f.loads), 1)
}

func serviceAnnounce(id string, incarnation, sequence uint64, inFlight int) wire.Announce {
	return wire.Announce{
		Endpoint: id, Incarnation: incarnation, Sequence: sequence, Kind: wire.KindService, Service: "orders",
		Capacity: 8, InFlight: inFlight, Ready: true, Confirmed: true,
	}
}
