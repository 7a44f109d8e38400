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

// Config sets up a Transfer. Zero values take the defaults.
type Config struct {
	CacheDir string // the engine's model cache folder; required
	// StoreURL and OriginURL are base URLs without a trailing slash. Either may
	// be empty; with both empty chunks come from peers only.
	StoreURL, OriginURL string

	Endpoint, Region, Zone string // of this instance; required, Zone may be empty

	Objective   swarm.Objective   // default time
	RegionLinks swarm.RegionLinks // default never

	// DownloadRate and UploadRate bound chunk traffic in bytes per second
	// (default 1 GiB/s). Lower leaves more of the link to live requests and
	// delays rollouts.
	DownloadRate, UploadRate float64
	// MinimumRate is what SetPressure leaves of them (default 2 MiB/s), so that a
	// rollout still ends.
	MinimumRate float64
	// HaveInterval is the time between reports of held chunks to a peer
	// (default 250 ms). Longer costs fewer messages and delays the spread.
	HaveInterval time.Duration
	// ReadTimeout ends a fetch that receives no byte for this time (default 5 s).
	ReadTimeout time.Duration
	// ChunkTimeout ends a fetch that takes longer in total (default 2 min). It
	// bounds the harm of a source that sends a few bytes at a time.
	ChunkTimeout time.Duration

	// MaxManifestFetches bounds the manifests of one set, the model's and those of
	// its adapters, that are fetched at the same time (default 4). More shorten
	// rollouts of sets with many small adapters, and cost one session per peer
	// and manifest.
	MaxManifestFetches int
	// MaxChunkFetches bounds the chunks fetched at the same time in total (default
	// 12, what one manifest takes at most).
	MaxChunkFetches int

	// Swarm overrides limits of the scheduler; its Self, Objective,
	// RegionLinks and HasStore are set from the fields above.
	Swarm swarm.Config

	Network network.Network // default the operating system's

	Token auth.Token    // of the system's processes; required to serve peers
	Log   log.Interface // default discards
}

// Errors of this package.
var (
	ErrInvalidConfig     = errors.New("invalid transfer configuration")
	ErrNotCached  = errors.New("weights set is not complete in the cache")
	ErrCancelled  = errors.New("transfer cancelled")
	ErrInvalidSet = errors.New("weights set cannot be assembled")
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
		return errors.Join(ErrInvalidConfig, errors.New("cache folder, endpoint and region are required"))
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
