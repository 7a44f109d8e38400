package relay

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// Defaults of Settings.
const (
	defaultGrace        = 8 * time.Second
	defaultWeightsBound = 8 * time.Second
	defaultRetryRatio   = 0.1
	defaultRetrySlack   = 20
)

// Settings of the relay daemon.
type Settings struct {
	settings.Common `yaml:",inline"`

	// Listen takes callers; Advertise is the address given to them, by default
	// Listen.
	Listen    string `yaml:"listen"`
	Advertise string `yaml:"advertise"`
	// ReadyListen answers readiness checks.
	ReadyListen string `yaml:"ready_listen"`
	// PeerListen takes messages of other entries, over UDP.
	PeerListen string `yaml:"peer_listen"`
	// Controls are session addresses of control replicas. Seeds are addresses of
	// replicas whose session port is SessionPort, where the session addresses are
	// not known.
	Controls    []string `yaml:"controls"`
	Seeds       []string `yaml:"seeds"`
	SessionPort int      `yaml:"session_port"`

	// Grace is the time from a stop signal to the end of the process. Shorter
	// ends sooner and cuts longer streams. Default 8 s.
	Grace settings.Duration `yaml:"grace"`
	// WeightsBound is the time after which a request may no longer begin on older
	// weights than the named ones. Default 8 s.
	WeightsBound settings.Duration `yaml:"weights_bound"`
	// RetryRatio is the share of a service's requests that may be sent once more,
	// over all entries. Default 0.1.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetrySlack is how many more may be sent in a burst, over all entries.
	// Default 20.
	RetrySlack float64 `yaml:"retry_slack"`
}

// DefaultSettings returns settings with defaults filled in.
func DefaultSettings() Settings {
	return Settings{
		Common: settings.DefaultCommon(), Grace: settings.Duration(defaultGrace),
		WeightsBound: settings.Duration(defaultWeightsBound), RetryRatio: defaultRetryRatio, RetrySlack: defaultRetrySlack,
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
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		p.Add("retry_ratio", "must be from 0 to 1, got %v", s.RetryRatio)
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
