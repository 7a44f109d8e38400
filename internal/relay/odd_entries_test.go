package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
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
