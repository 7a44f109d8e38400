package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// Defaults of Settings.
const (
	defaultGrace        = 8 * time.Second
	defaultWeightsBound = 8 * time.Second
	defaultRetryRatio   = 0.1
	defaultRetrySlack   = 20
	defaultMaxPause     = time.Hour
	defaultColdOverage  = 1
	defaultColdSlack    = 1
)

// Settings are the settings of the relay daemon.
type Settings struct {
	settings.Common `yaml:",inline"`

	// Listen is the address for callers; Advertise is the address given to them, by
	// default Listen.
	Listen    string `yaml:"listen"`
	Advertise string `yaml:"advertise"`
	// ReadyListen is the address of the readiness port.
	ReadyListen string `yaml:"ready_listen"`
	// PeerListen is the UDP address for messages from other entries.
	PeerListen string `yaml:"peer_listen"`
	// Controls are the session addresses of the control replicas. If they are not
	// known, Seeds are addresses of replicas whose session port is SessionPort.
	Controls    []string `yaml:"controls"`
	Seeds       []string `yaml:"seeds"`
	SessionPort int      `yaml:"session_port"`

	// Grace is the time from a stop signal to the end of the process. A shorter time
	// ends the process sooner but cuts longer streams. Default 8 s.
	Grace settings.Duration `yaml:"grace"`
	// WeightsBound is the time after a new version of the weights is named after which
	// no request may begin on older weights. Default 8 s.
	WeightsBound settings.Duration `yaml:"weights_bound"`
	// RetryRatio is the share of the requests of a service that may be retried, over
	// all entries. Default 0.1.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetrySlack is the number of additional retries that are allowed in a burst, over
	// all entries. Default 20.
	RetrySlack float64 `yaml:"retry_slack"`
	// MaxPause limits the time for which an endpoint that refuses a request can keep this
	// entry from sending it others. A shorter limit brings an endpoint back sooner that
	// states an absurd time, but disregards those that mean it. Default 1 h.
	MaxPause settings.Duration `yaml:"max_pause"`
	// Zones maps each availability zone to its region. Requests that are bound to regions are
	// sent to no endpoint of a zone that is not listed. Default empty.
	Zones map[string]string `yaml:"zones"`
	// ColdOverage and ColdSlack bound the requests that a cold endpoint gets in any second from
	// all entries: ColdOverage times the rate that the routing document states, plus ColdSlack.
	// Lower values are safer for endpoints that crash; higher ones use more of their capacity.
	// Default 1 and 1.
	ColdOverage float64 `yaml:"cold_overage"`
	ColdSlack   float64 `yaml:"cold_slack"`
	// Memory is the memory of the instance, from which the limits of the runtime and of what is
	// held for callers follow. A higher value serves more large bodies at once, and above the real
	// memory the operating system may end the process. Default 0, which reads it from the control
	// group of the process or from the machine.
	Memory settings.Size `yaml:"memory"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Common: settings.DefaultCommon(), Grace: settings.Duration(defaultGrace),
		WeightsBound: settings.Duration(defaultWeightsBound), RetryRatio: defaultRetryRatio, RetrySlack: defaultRetrySlack,
		MaxPause: settings.Duration(defaultMaxPause), ColdOverage: defaultColdOverage, ColdSlack: defaultColdSlack,
	}
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	var p settings.Problems
	p.CheckCommon(s.Common)
	p.Address("listen", s.Listen)
	p.Address("peer_listen", s.PeerListen)
	for name, address := range map[string]string{"advertise": s.Advertise, "ready_listen": s.ReadyListen} {
		if address != "" {
			p.Address(name, address)
		}
	}
	p.CheckSeeds(s.Controls, s.Seeds, s.SessionPort)
	p.Positive("grace", int64(s.Grace))
	p.Positive("weights_bound", int64(s.WeightsBound))
	p.Positive("max_pause", int64(s.MaxPause))
	if known := knownRegions(s.Zones); len(known) > maxRegions || slices.ContainsFunc(slices.Collect(maps.Keys(known)), func(name string) bool { return len(name) > maxRegionBytes }) {
		p.Add("zones", "may name up to %d regions of up to %d bytes", maxRegions, maxRegionBytes)
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		p.Add("retry_ratio", "must be from 0 to 1, got %v", s.RetryRatio)
	}
	if !(s.ColdOverage > 0) || s.ColdSlack < 0 {
		p.Add("cold_overage", "must be above 0, and cold_slack not negative; got %v and %v", s.ColdOverage, s.ColdSlack)
	}
	if s.RetrySlack < 0 {
		p.Add("retry_slack", "must not be negative, got %v", s.RetrySlack)
	}
	return p.Err()
}

func (s *Settings) advertised() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Listen
}

// SessionAddresses returns the session addresses of the control replicas.
func (s *Settings) SessionAddresses() []string {
	return settings.SessionAddresses(s.Controls, s.Seeds, s.SessionPort)
}
