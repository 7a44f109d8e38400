package agent

import (
	"context"
	"net/http"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/transfer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// WeightsTransfer fetches and verifies weights sets and serves chunks to peers.
type WeightsTransfer interface {
	// SetPeers replaces the list of agents that fetch the same weights.
	SetPeers(peers []transfer.Peer)
	// Fetch downloads a set and returns its directory once every chunk is
	// verified.
	Fetch(ctx context.Context, set release.WeightsSet) (dir string, err error)
	// Progress returns the progress of the sets in transfer or held.
	Progress() []wire.RolloutProgress
	// PeerHandler returns the handler that serves chunks to peers.
	PeerHandler() http.Handler
	// Cancel ends the transfer of a set.
	Cancel(setID string)
	// Prune removes sets that are not in keep.
	Prune(keep []string) error
	// SetPressure slows transfers down: 0 allows the full rate, 1 the minimum
	// rate.
	SetPressure(x float64)
}

var _ WeightsTransfer = (*transfer.Transfer)(nil)

// OpenTransfer opens the cache directory of an engine's agent and returns its
// transfer. It returns nil for plain services.
func OpenTransfer(s Settings, token auth.Token, logger log.Interface) (WeightsTransfer, error) {
	if s.Kind != wire.KindEngine {
		return nil, nil
	}
	t, err := transfer.New(transfer.Config{
		CacheDir: s.CacheDir, StoreURL: s.Store, OriginURL: s.Origin,
		Endpoint: s.Endpoint, Region: s.Region, Zone: s.Zone,
		Objective: swarm.Objective(s.Objective), RegionLinks: swarm.RegionLinks(s.RegionLinks),
		DownloadRate: float64(s.DownloadRate), UploadRate: float64(s.UploadRate),
		Token: token, Log: logger,
	})
	return t, err
}
