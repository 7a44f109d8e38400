package agent

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Defaults of Settings.
const (
	defaultStallAfter    = 5 * time.Second
	defaultProbeInterval = 5 * time.Second
	defaultProbeTimeout  = 3 * time.Second
	defaultOrderTimeout  = time.Minute
	defaultTokenLatency  = 72 * time.Millisecond
	defaultMaxBody       = 8 << 20
	defaultMemoryLimit   = 40 << 20
)

// Values of Settings.Objective and Settings.RegionLinks.
const (
	objectiveTime        = "time"
	objectiveOriginBytes = "origin-bytes"
	regionLinksNever     = "never"
	regionLinksOnce      = "once"
)

// Settings configures an agent.
type Settings struct {
	settings.Common `yaml:",inline"`

	Endpoint string            `yaml:"endpoint"`
	Kind     wire.EndpointKind `yaml:"kind"`
	Role     string            `yaml:"role"`    // engines: matched against a model's role
	Service  string            `yaml:"service"` // plain services: the service's name

	GateListen    string `yaml:"gate_listen"`
	PeerListen    string `yaml:"peer_listen"`
	AdvertiseGate string `yaml:"advertise_gate"`
	AdvertisePeer string `yaml:"advertise_peer"`
	// Backend is the URL of the engine or service.
	Backend string `yaml:"backend"`
	// Controls are the session addresses of all control replicas.
	Controls []string `yaml:"controls"`

	CacheDir string `yaml:"cache_dir"`
	Store    string `yaml:"store"`
	Origin   string `yaml:"origin"`
	// Objective is what transfers minimise: time or origin-bytes. Default time.
	Objective string `yaml:"objective"`
	// RegionLinks is never or once: how often a chunk may cross the link
	// between two regions. Default never.
	RegionLinks string `yaml:"region_links"`
	// DownloadRate and UploadRate limit the rate of transfers. Default 1 GiB/s.
	// A lower rate leaves more bandwidth to live requests but delays rollouts.
	DownloadRate settings.Rate `yaml:"download_rate"`
	UploadRate   settings.Rate `yaml:"upload_rate"`

	// Capacity is the maximum number of requests that run at the same time.
	Capacity int `yaml:"capacity"`
	// Grace is the time for which the endpoint keeps serving after the
	// confirmation lease has expired. Default 0 s. With a longer time, a
	// partitioned instance can serve a withdrawn model for that much longer.
	Grace settings.Duration `yaml:"grace"`
	// StallAfter is the time without a token, while requests are in flight,
	// after which the engine is probed. If the probe fails, the endpoint is not
	// ready. Default 5 s. A shorter time detects a hung engine sooner but can
	// take a long prefill for a hang.
	StallAfter settings.Duration `yaml:"stall_after"`
	// ProbeInterval is the idle time after which the engine is probed with a
	// request for one token. Default 5 s. A shorter interval costs engine time.
	ProbeInterval settings.Duration `yaml:"probe_interval"`
	// ProbeTimeout is the maximum duration of a probe. Default 3 s.
	ProbeTimeout settings.Duration `yaml:"probe_timeout"`
	// OrderTimeout is the maximum duration of an order to the engine. Default 1
	// min. A longer timeout suits slow loads but detects a lost order later. An
	// order also ends with the confirmation lease.
	OrderTimeout settings.Duration `yaml:"order_timeout"`
	// TokenLatency is the limit for the 95th percentile of the time between
	// tokens. Above it, transfers slow down. Default 72 ms.
	TokenLatency settings.Duration `yaml:"token_latency"`
	// MaxBody is the maximum size of a request body. Default 8 MiB.
	MaxBody settings.Size `yaml:"max_body"`
	// MemoryLimit is the soft memory limit of the Go runtime. Default 40 MiB.
	// Resident memory peaks 8 to 9 MiB above it, so 56 MiB exceeded the slot's
	// limit of 64 MB with the largest manifest. 0B sets no limit. A lower limit
	// costs CPU time for garbage collection when the live heap comes near it;
	// it does not limit the live heap itself.
	MemoryLimit settings.Size `yaml:"memory_limit"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Common:        settings.DefaultCommon(),
		Objective:     objectiveTime,
		RegionLinks:   regionLinksNever,
		StallAfter:    settings.Duration(defaultStallAfter),
		ProbeInterval: settings.Duration(defaultProbeInterval),
		ProbeTimeout:  settings.Duration(defaultProbeTimeout),
		OrderTimeout:  settings.Duration(defaultOrderTimeout),
		TokenLatency:  settings.Duration(defaultTokenLatency),
		MaxBody:       defaultMaxBody,
		MemoryLimit:   defaultMemoryLimit,
	}
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	var p settings.Problems
	p.CheckCommon(s.Common)
	p.Required("endpoint", s.Endpoint)
	p.OneOf("kind", string(s.Kind), string(wire.KindEngine), string(wire.KindService))
	p.Address("gate_listen", s.GateListen)
	p.Address("advertise_gate", s.AdvertiseGate)
	p.URL("backend", s.Backend)
	p.Addresses("controls", s.Controls)
	p.Positive("capacity", int64(s.Capacity))
	p.Positive("stall_after", int64(s.StallAfter))
	p.Positive("probe_interval", int64(s.ProbeInterval))
	p.Positive("probe_timeout", int64(s.ProbeTimeout))
	p.Positive("order_timeout", int64(s.OrderTimeout))
	p.Positive("token_latency", int64(s.TokenLatency))
	p.Positive("max_body", int64(s.MaxBody))
	if s.Kind == wire.KindService {
		p.Required("service", s.Service)
	} else {
		s.checkEngine(&p)
	}
	return p.Err()
}

func (s *Settings) checkEngine(p *settings.Problems) {
	p.Required("role", s.Role)
	p.Required("cache_dir", s.CacheDir)
	p.Address("peer_listen", s.PeerListen)
	p.Address("advertise_peer", s.AdvertisePeer)
	p.URL("origin", s.Origin)
	if s.Store != "" {
		p.URL("store", s.Store)
	}
	p.OneOf("objective", s.Objective, objectiveTime, objectiveOriginBytes)
	p.OneOf("region_links", s.RegionLinks, regionLinksNever, regionLinksOnce)
}
