package transfer

import (
	"cmp"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// Config configures a Transfer. Zero values select the defaults.
type Config struct {
	CacheDir string // root of the cache, where the engine reads its models; required
	// StoreURL and OriginURL are the base URLs of the regional store and the
	// origin, without a trailing slash. Either may be empty; if both are, chunks
	// come from peers only.
	StoreURL, OriginURL string

	Endpoint, Region, Zone string // of this instance; required, Zone may be empty

	Objective   swarm.Objective   // default time
	RegionLinks swarm.RegionLinks // default never

	// DownloadRate and UploadRate limit chunk traffic in bytes per second
	// (default 1 GiB/s). Lower values leave more bandwidth to live requests but
	// slow down rollouts.
	DownloadRate, UploadRate float64
	// MinimumRate is the lowest rate that SetPressure reduces either limit to
	// (default 2 MiB/s), so that a rollout still completes under load.
	MinimumRate float64
	// HaveInterval is the time between reports to a peer of the chunks held here
	// (default 250 ms). A longer interval saves messages but delays distribution.
	HaveInterval time.Duration
	// ReadTimeout aborts a fetch that has received no data for this long (default
	// 5 s).
	ReadTimeout time.Duration
	// ChunkTimeout limits the total time of a chunk fetch (default 2 min). It
	// catches sources that send a few bytes at a time and so never reach
	// ReadTimeout.
	ChunkTimeout time.Duration

	// MaxManifestFetches limits how many manifests of one set, the model's and
	// its adapters', have their chunks fetched concurrently (default 4). Higher
	// values speed up rollouts of sets with many small adapters but need one
	// session per peer and manifest.
	MaxManifestFetches int
	// MaxChunkFetches limits concurrent chunk fetches over all sets (default 12,
	// the most that a single manifest uses).
	MaxChunkFetches int

	// Swarm overrides limits of the scheduler. Its Self, Objective, RegionLinks
	// and HasStore are overwritten from the fields above.
	Swarm swarm.Config

	Network network.Network // default: the operating system's network

	Token auth.Token    // authenticates processes of the platform; required to serve peers
	Log   log.Interface // default: discards all entries
}

// Errors of this package.
var (
	ErrInvalidConfig = errors.New("invalid transfer configuration")
	ErrNotCached     = errors.New("weights set is not complete in the cache")
	ErrCancelled     = errors.New("transfer cancelled")
	ErrInvalidSet    = errors.New("weights set cannot be assembled")
)

const (
	defaultRate         = 1 << 30
	defaultMinimumRate  = 2 << 20
	defaultHaveInterval = 250 * time.Millisecond
	defaultReadTimeout  = 5 * time.Second
	defaultChunkTimeout = 2 * time.Minute

	defaultManifestFetches = 4
	defaultChunkFetches    = 12
)

func (c *Config) setDefaults() error {
	if c.CacheDir == "" || c.Endpoint == "" || c.Region == "" {
		return errors.Join(ErrInvalidConfig, errors.New("cache directory, endpoint and region are required"))
	}
	c.DownloadRate = cmp.Or(c.DownloadRate, defaultRate)
	c.UploadRate = cmp.Or(c.UploadRate, defaultRate)
	c.MinimumRate = cmp.Or(c.MinimumRate, defaultMinimumRate)
	c.HaveInterval = cmp.Or(c.HaveInterval, defaultHaveInterval)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, defaultReadTimeout)
	c.ChunkTimeout = cmp.Or(c.ChunkTimeout, defaultChunkTimeout)
	c.MaxManifestFetches = cmp.Or(c.MaxManifestFetches, defaultManifestFetches)
	c.MaxChunkFetches = cmp.Or(c.MaxChunkFetches, defaultChunkFetches)
	if c.Objective == "" {
		c.Objective = swarm.ObjectiveTime
	}
	if c.RegionLinks == "" {
		c.RegionLinks = swarm.RegionLinksNever
	}
	if c.Log == nil {
		c.Log = &log.Logger{Handler: discard{}, Level: log.FatalLevel}
	}
	c.Swarm.Self = swarm.Node{ID: c.Endpoint, Region: c.Region, Zone: c.Zone}
	c.Swarm.Objective, c.Swarm.RegionLinks = c.Objective, c.RegionLinks
	c.Swarm.HasStore = c.StoreURL != ""
	return nil
}

type discard struct{}

func (discard) HandleLog(*log.Entry) error { return nil }
