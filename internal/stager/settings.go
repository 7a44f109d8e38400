package stager

import "github.com/rhubarbhill/rhubarbhill/internal/settings"

// Settings of the stager.
type Settings struct {
	settings.Common `yaml:",inline"`

	// Engine is the address of the engine on this instance.
	Engine string `yaml:"engine"`
	// Service is the service that the engine belongs to.
	Service string `yaml:"service"`
	// PeerListen serves pieces to other stagers.
	PeerListen string `yaml:"peer_listen"`
	// Controls are session addresses of control replicas. Seeds are addresses of
	// replicas whose session port is that of SessionPort, where the session
	// addresses are not known.
	Controls    []string `yaml:"controls"`
	Seeds       []string `yaml:"seeds"`
	SessionPort int      `yaml:"session_port"`
}

// DefaultSettings returns settings with defaults filled in.
func DefaultSettings() Settings { return Settings{Common: settings.DefaultCommon()} }

// Check implements settings.Checker.
func (s *Settings) Check() error {
	var p settings.Problems
	p.CheckCommon(s.Common)
	p.Address("engine", s.Engine)
	p.Required("service", s.Service)
	p.Address("peer_listen", s.PeerListen)
	p.CheckSeeds(s.Controls, s.Seeds, s.SessionPort)
	return p.Err()
}
