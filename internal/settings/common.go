package settings

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
	p.Token("process_token_file", c.ProcessTokenFile)
}
