package stager

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// Settings are the settings of a stager.
type Settings struct {
	settings.Common `yaml:",inline"`

	// Engine is the address of the engine on this instance.
	Engine string `yaml:"engine"`
	// Service is the service that the engine belongs to.
	Service string `yaml:"service"`
	// PeerListen is the address on which pieces are served to other stagers.
	PeerListen string `yaml:"peer_listen"`
	// Link is the rate of this instance's network link. Uploads of weights use at most
	// nine tenths of it, since the engine's answers share the link. Default 1 Gbit/s.
	Link settings.Rate `yaml:"link"`
	// WeightsBound is the time after a version is named from which no request may start
	// on older weights. The engines' loads are spread over this time. Default 8 s.
	WeightsBound settings.Duration `yaml:"weights_bound"`
	// Controls are session addresses of control replicas. Seeds are addresses of
	// replicas whose session addresses are not known: SessionPort replaces their port.
	Controls    []string `yaml:"controls"`
	Seeds       []string `yaml:"seeds"`
	SessionPort int      `yaml:"session_port"`
	// Memory is the memory of the instance, from which the limit of the runtime follows. Above the
	// real memory, the operating system may end the process. Default 0, which reads it from the control
	// group of the process or from the machine.
	Memory settings.Size `yaml:"memory"`
}

// DefaultSettings returns settings with defaults filled in.
func DefaultSettings() Settings {
	return Settings{Common: settings.DefaultCommon(), Link: defaultLink, WeightsBound: settings.Duration(defaultWeightsBound)}
}

const defaultWeightsBound = 8 * time.Second

const defaultLink = settings.Rate(1_000_000_000 / 8) // bytes per second

// Check implements settings.Checker.
func (s *Settings) Check() error {
	var p settings.Problems
	p.CheckCommon(s.Common)
	p.Address("engine", s.Engine)
	p.Required("service", s.Service)
	p.Address("peer_listen", s.PeerListen)
	p.Positive("link", int64(s.Link))
	p.Positive("weights_bound", int64(s.WeightsBound))
	p.CheckSeeds(s.Controls, s.Seeds, s.SessionPort)
	return p.Err()
}

// SessionAddresses returns the session addresses of the control replicas.
func (s *Settings) SessionAddresses() []string {
	return settings.SessionAddresses(s.Controls, s.Seeds, s.SessionPort)
}
