package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/agent/agenttest"
	"github.com/rhubarbhill/rhubarbhill/internal/transfer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

var (
	peerTable = wire.Members{Epoch: 1, Version: 1, Updated: []wire.Announce{{
		Endpoint: "engine-2", Incarnation: 1, Kind: wire.KindEngine, Role: "quote", ChunkAddress: "10.0.2.1:81",
	}}}
	wantPeers = []transfer.Peer{{Endpoint: "engine-2", ChunkAddress: "10.0.2.1:81"}}
)

// Guards against a new or restarted agent that downloads from the origin what
// its peers hold, because its fetch starts before it knows the peers. The
// member table arrives up to 1.5 s after the catalogue.
func TestFetchStartsWithPeers(t *testing.T) {
	for _, delay := range []time.Duration{0, 10 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			runHarness(t, func(r *harness) {
				r.changeControls(func(c *agenttest.Control) {
					c.Members = nil
					if delay == 0 {
						c.Members = &peerTable
					}
				})
				time.AfterFunc(delay, func() {
					for _, c := range r.controls {
						c.Send(peerTable)
					}
				})
			}, func(r *harness) {
				is := is.New(r.t)
				is.Equal(r.transfer.peersAtFetches(), [][]transfer.Peer{wantPeers})
			})
		})
	}
}

// Guards against a fetch that never starts because the member table is missing.
func TestFetchStartsWithoutMemberTable(t *testing.T) {
	runHarness(t, func(r *harness) {
		r.changeControls(func(c *agenttest.Control) { c.Members = nil })
	}, func(r *harness) {
		is := is.New(r.t)
		is.Equal(len(r.transfer.peersAtFetches()), 1)
		is.True(r.send(setID("1")).complete())
	})
}

// Guards against a second fetch that starts with the peers of the first one
// although a newer member table has arrived.
func TestLaterFetchStartsWithNewestPeers(t *testing.T) {
	runHarness(t, nil, func(r *harness) {
		is := is.New(r.t)
		r.controls[0].Send(wire.Members{Epoch: 1, Version: 2, Base: 1, Updated: peerTable.Updated})
		time.Sleep(time.Millisecond)
		r.setCatalogue(testCatalogue(2, "2"))
		time.Sleep(time.Second)
		is.Equal(len(r.transfer.peersAtFetches()), 2)
		is.Equal(r.transfer.peersAtFetches()[1], wantPeers)
	})
}
