package agent

import (
	"context"
	"net/http"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// Weights fetches and verifies weights sets and serves chunks to peers.
type Weights interface {
	// SetPeers replaces the list of agents that fetch the same weights.
	SetPeers(peers []Peer)
	// Fetch returns the folder of a set once every chunk is verified.
	Fetch(ctx context.Context, set release.WeightsSet) (dir string, err error)
	Progress() []wire.RolloutProgress
	PeerHandler() http.Handler
	Cancel(setID string)
	// Prune removes sets that are not in keep.
	Prune(keep []string) error
	// SetPressure slows transfers: 0 leaves the full rate, 1 the minimum.
	SetPressure(x float64)
}

// Peer is another agent with the same role.
type Peer struct {
	Endpoint, Region, Zone string
	ChunkAddress           string
}
