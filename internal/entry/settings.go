package entry

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/goccy/go-yaml"
)

// Defaults of Settings.
const (
	defaultAddressTTL = 2 * time.Second
	// maxAddressTTL and peerExpiry add up to the 3 s after which a draining
	// server receives no new work.
	maxAddressTTL        = 3*time.Second - peerExpiry
	defaultDeadline      = 30 * time.Second
	defaultQueueWait     = 2 * time.Second
	defaultStallTimeout  = 2 * time.Second
	defaultPlainTimeout  = 30 * time.Second
	defaultProbeInterval = 2 * time.Second
	defaultSubsetAbove   = 64
	defaultSubsetSize    = 32
	defaultEjectedShare  = 0.34
	defaultRetryRatio    = 0.1
	defaultMaxBody       = 4 << 20
	defaultLogLevel      = "info"
)

// Peer is an entry that callers may use.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"` // IP and port
	Zone    string `yaml:"zone"`
}

// OrganisationLimit overrides the defaults for one organisation.
type OrganisationLimit struct {
	// Weight is the organisation's part in a fair division. Default 1; a
	// higher weight gives more slots under contention at the others' expense.
	Weight float64 `yaml:"weight"`
	// MaxInFlight limits requests in progress over all entries. Default 0,
	// which means no limit beyond the fair share.
	MaxInFlight int `yaml:"max_in_flight"`
}

// Settings configures an entry.
type Settings struct {
	Instance         string   `yaml:"instance"`
	Zone             string   `yaml:"zone"`
	Region           string   `yaml:"region"`
	LogLevel         string   `yaml:"log_level"`
	AdminListen      string   `yaml:"admin_listen"`
	ProcessTokenFile string   `yaml:"process_token_file"`
	CallerTokenFile  string   `yaml:"caller_token_file"`
	Listen           string   `yaml:"listen"`
	Advertise        string   `yaml:"advertise"`
	Controls         []string `yaml:"controls"`

	// Entries lists all entries, this one included or not. Default: this one
	// only. Callers learn the addresses from it.
	Entries []Peer `yaml:"entries"`
	// AddressTTL is how long callers may use an address answer. Default 2 s,
	// which is also the most: a stopping entry is named by answers until then.
	// A shorter TTL lowers the time of a planned stop and costs look-ups.
	AddressTTL Duration `yaml:"address_ttl"`
	// Deadline applies to requests without Rhubarb-Deadline-Ms. Default 30 s.
	Deadline Duration `yaml:"deadline"`
	// QueueWait is the longest expected wait for a slot that is still
	// accepted. Default 2 s. A longer wait gives fewer refusals and later
	// first tokens under overload.
	QueueWait Duration `yaml:"queue_wait"`
	// StallTimeout is the time without a token after which a stream moves to
	// another endpoint. Default 2 s. A shorter time moves streams sooner and
	// misjudges engines that pause for long prefills.
	StallTimeout Duration `yaml:"stall_timeout"`
	// PlainTimeout is the time without an answer after which a request without
	// stream is moved. Default 30 s; progress is invisible on such requests.
	PlainTimeout Duration `yaml:"plain_timeout"`
	// ProbeInterval is the time without work after which an endpoint gets a
	// generation probe. Default 2 s. A shorter interval finds dead endpoints
	// sooner and costs one short generation each.
	ProbeInterval Duration `yaml:"probe_interval"`
	// SubsetAbove is the fleet size above which this entry uses a subset of
	// SubsetSize endpoints. Defaults 64 and 32. A larger subset spreads load
	// better and costs more connections and probes.
	SubsetAbove int `yaml:"subset_above"`
	SubsetSize  int `yaml:"subset_size"`
	// EjectedShare is the largest share of a pool that may be ejected.
	// Default 0.34. A higher share isolates more failures at once and risks
	// overloading the rest.
	EjectedShare float64 `yaml:"ejected_share"`
	// RetryRatio is the number of retries earned by each request. Default 0.1.
	// A higher ratio masks more failures and adds more load during them.
	RetryRatio float64 `yaml:"retry_ratio"`
	// MaxBodyBytes bounds a caller's body. Default 4194304.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// Organisations holds limits by organisation name.
	Organisations map[string]OrganisationLimit `yaml:"organisations"`
}

// Duration is a time.Duration written with a unit, such as "250ms".
type Duration time.Duration

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (d *Duration) UnmarshalYAML(data []byte) error {
	var text string
	if err := yaml.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit such as 250ms", text)
	}
	*d = Duration(parsed)
	return nil
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		LogLevel:      defaultLogLevel,
		AddressTTL:    Duration(defaultAddressTTL),
		Deadline:      Duration(defaultDeadline),
		QueueWait:     Duration(defaultQueueWait),
		StallTimeout:  Duration(defaultStallTimeout),
		PlainTimeout:  Duration(defaultPlainTimeout),
		ProbeInterval: Duration(defaultProbeInterval),
		SubsetAbove:   defaultSubsetAbove,
		SubsetSize:    defaultSubsetSize,
		EjectedShare:  defaultEjectedShare,
		RetryRatio:    defaultRetryRatio,
		MaxBodyBytes:  defaultMaxBody,
	}
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	var errs []error
	problem := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	for _, f := range []struct{ name, value string }{
		{"instance", s.Instance},
		{"zone", s.Zone},
		{"region", s.Region},
		{"process_token_file", s.ProcessTokenFile},
		{"caller_token_file", s.CallerTokenFile},
	} {
		if f.value == "" {
			problem(f.name, "is required")
		}
	}
	checkAddress(problem, "listen", s.Listen, true)
	checkAddress(problem, "advertise", s.Advertise, true)
	checkAddress(problem, "admin_listen", s.AdminListen, false)
	if len(s.Controls) == 0 {
		problem("controls", "needs at least one session address")
	}
	for i, address := range s.Controls {
		checkAddress(problem, fmt.Sprintf("controls[%d]", i), address, true)
	}
	s.checkEntries(problem)
	s.checkNumbers(problem)
	return errors.Join(errs...)
}

func (s *Settings) checkEntries(problem func(string, string, ...any)) {
	seen := map[string]bool{}
	for i, peer := range s.Entries {
		field := fmt.Sprintf("entries[%d]", i)
		if peer.Name == "" || peer.Zone == "" {
			problem(field, "needs name and zone")
		}
		if seen[peer.Name] {
			problem(field, "name %q occurs twice", peer.Name)
		}
		seen[peer.Name] = true
		checkAddress(problem, field+".address", peer.Address, true)
		if peer.Name == s.Instance && peer.Address != s.Advertise {
			problem(field+".address", "%s differs from advertise %s", peer.Address, s.Advertise)
		}
	}
}

func (s *Settings) checkNumbers(problem func(string, string, ...any)) {
	for _, f := range []struct {
		name  string
		value Duration
	}{
		{"address_ttl", s.AddressTTL},
		{"deadline", s.Deadline},
		{"queue_wait", s.QueueWait},
		{"stall_timeout", s.StallTimeout},
		{"plain_timeout", s.PlainTimeout},
		{"probe_interval", s.ProbeInterval},
	} {
		if f.value <= 0 {
			problem(f.name, "must be positive")
		}
	}
	if s.AddressTTL > Duration(maxAddressTTL) {
		problem("address_ttl", "must be at most %s, so that a stopping entry receives no new work after 3 s", maxAddressTTL)
	}
	if s.SubsetSize < 1 || s.SubsetAbove < s.SubsetSize {
		problem("subset_size", "must be at least 1 and at most subset_above")
	}
	if s.EjectedShare < 0 || s.EjectedShare > 1 {
		problem("ejected_share", "must be between 0 and 1")
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		problem("retry_ratio", "must be between 0 and 1")
	}
	if s.MaxBodyBytes < 1 {
		problem("max_body_bytes", "must be positive")
	}
	for name, o := range s.Organisations {
		if o.Weight < 0 || o.MaxInFlight < 0 {
			problem("organisations."+name, "weight and max_in_flight must not be negative")
		}
	}
}

func checkAddress(problem func(string, string, ...any), field, value string, required bool) {
	if value == "" {
		if required {
			problem(field, "is required")
		}
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		problem(field, "%q is not an IP address and port", value)
		return
	}
	if net.ParseIP(host) == nil {
		problem(field, "%q is not an IP address", host)
	}
}
