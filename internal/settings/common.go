package settings

import (
	"net"
	"slices"
	"strconv"
)

// Common holds the settings that all daemons share. Daemons embed it inline.
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
	// MetricsListen serves the same, also without a token, on an address that the
	// platform's metrics collector can reach. Default empty, which serves neither.
	MetricsListen string `yaml:"metrics_listen"`
	// ProcessTokenFile is the file with the token by which the system's processes
	// authenticate to each other.
	ProcessTokenFile string `yaml:"process_token_file"`
}

const defaultLogLevel = "info"

// DefaultCommon returns the default common settings.
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

// CheckSeeds records the problems of the addresses of control replicas: either
// controls holds session addresses, or seeds holds replica addresses whose session
// port is sessionPort.
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

// SessionAddresses returns the session addresses of the control replicas. The
// arguments must have passed CheckSeeds.
func SessionAddresses(controls, seeds []string, sessionPort int) []string {
	list := slices.Clone(controls)
	for _, seed := range seeds {
		host, _, _ := net.SplitHostPort(seed)
		list = append(list, net.JoinHostPort(host, strconv.Itoa(sessionPort)))
	}
	return list
}
