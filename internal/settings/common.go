package settings

import (
	"net"
	"slices"
	"strconv"
)

// Common holds the settings that every daemon has. Daemons embed it inline.
type Common struct {
	// Instance names the machine.
	Instance string `yaml:"instance"`
	Zone     string `yaml:"zone"` // availability zone
	Region   string `yaml:"region"`
	// LogLevel is debug, info, warn, error or fatal. Default info.
	LogLevel string `yaml:"log_level"`
	// AdminListen serves metrics and health checks without a token. It must be
	// a loopback address. Default empty, which serves neither.
	AdminListen string `yaml:"admin_listen"`
	// MetricsListen serves the same without a token on an address that a collector
	// of the platform reaches. Default empty, which serves nothing.
	MetricsListen string `yaml:"metrics_listen"`
	// ProcessTokenFile holds the token by which the system's processes know
	// each other.
	ProcessTokenFile string `yaml:"process_token_file"`
}

const defaultLogLevel = "info"

// DefaultCommon returns the defaults.
func DefaultCommon() Common { return Common{LogLevel: defaultLogLevel} }

// CheckCommon records the problems of c.
func (p *Problems) CheckCommon(c Common) {
	p.Required("instance", c.Instance)
	p.Required("zone", c.Zone)
	p.Required("region", c.Region)
	p.LogLevel("log_level", c.LogLevel)
	if c.AdminListen != "" {
		p.Loopback("admin_listen", c.AdminListen)
	}
	if c.MetricsListen != "" {
		p.Address("metrics_listen", c.MetricsListen)
	}
	p.TokenFile("process_token_file", c.ProcessTokenFile)
}

// CheckSeeds records the problems of the ways to find control replicas: session
// addresses, or addresses of replicas whose session port is given.
func (p *Problems) CheckSeeds(controls, seeds []string, sessionPort int) {
	switch {
	case len(controls) > 0 && len(seeds) > 0:
		p.Add("seeds", "must be empty where controls are given")
	case len(controls) > 0:
		p.Addresses("controls", controls)
	case len(seeds) > 0:
		p.Addresses("seeds", seeds)
		if sessionPort <= 0 || sessionPort > maxPort {
			p.Add("session_port", "must be from 1 to %d, got %d", maxPort, sessionPort)
		}
	default:
		p.Add("controls", "needs addresses of control replicas, or seeds")
	}
}

const maxPort = 65535

// SessionAddresses returns the session addresses of control replicas for settings
// that CheckSeeds accepted.
func SessionAddresses(controls, seeds []string, sessionPort int) []string {
	list := slices.Clone(controls)
	for _, seed := range seeds {
		host, _, _ := net.SplitHostPort(seed)
		list = append(list, net.JoinHostPort(host, strconv.Itoa(sessionPort)))
	}
	return list
}
