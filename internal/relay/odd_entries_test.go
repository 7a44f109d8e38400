package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Tests of odd entries that other writers leave among those of the servers.

// Guards against an entry that ends when a routing document states a number of layers that
// no engine has.
func TestOddLayerCountOfDocument(t *testing.T) {
	s := wire.Server{ID: "i-1", Service: "quotes", Models: []wire.ServerModel{{Name: "m", Layers: []protocol.ServedLayers{{From: 0, To: 16, Version: 1}}}}}
	for _, layers := range []int{-1, 0, 1 << 62} {
		is := is.New(t)
		e := endpointOf(s, &routing.Service{Name: "quotes", Engine: &routing.Engine{Layers: layers}})
		is.Equal(e.WeightsVersion, uint64(0))
	}
}

// Guards against memory that grows with each service name that an odd check-in states.
func TestUnknownServicesTakeNoMemory(t *testing.T) {
	is := is.New(t)
	good := newServer(t, ok)
	h, url := newEntry(t, good)
	table := h.fleet.Table()
	for i := range 100 {
		endpoints := map[string][]placement.Endpoint{
			"dispatch":              {{ID: "i-0", Incarnation: 1, Address: good.listener.Addr().String(), Zone: "near", Slots: 4}},
			fmt.Sprint("odd-", i):   {{ID: "i-1", Incarnation: 1, Address: "10.0.0.1:1", Slots: 4}},
			fmt.Sprint("odd-\n", i): {{ID: "i-2", Incarnation: 1, Address: "10.0.0.2:1", Slots: 4}},
		}
		h.dispatcher.update(table, endpoints, 1)
		h.dispatcher.slots.update(table, endpoints, []placement.Entry{{Name: "entry-1", Zone: "near"}}, time.Now())
	}
	is.Equal(len(h.dispatcher.pools), 1)
	is.Equal(len(h.dispatcher.slots.services), 1)
	response, _, err := send(t, url, "/safe/a", http.MethodGet, "", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}
