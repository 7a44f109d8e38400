package entry

import (
	"fmt"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// Defaults of Settings.
const (
	defaultAddressTTL = 2 * time.Second
	// maxAddressTTL plus peerExpiry is the 3 s after which a draining server
	// receives no new work.
	maxAddressTTL        = 3*time.Second - peerExpiry
	defaultDeadline      = 30 * time.Second
	defaultQueueWait     = 800 * time.Millisecond
	defaultStallTimeout  = 2 * time.Second
	defaultPlainTimeout  = 30 * time.Second
	defaultProbeInterval = 2 * time.Second
	defaultSubsetAbove   = 64
	defaultSubsetSize    = 32
	defaultEjectedShare  = 0.34
	defaultRetryRatio    = 0.1
	defaultMaxBody       = 4 << 20
)

// Peer is an entry that callers may use.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"` // IP and port
	Zone    string `yaml:"zone"`
}

// OrganisationSettings holds the settings of one organisation.
type OrganisationSettings struct {
	// Weight is the organisation's weight in fair sharing. Default 1. A higher
	// weight gives more slots under contention, at the expense of others.
	Weight float64 `yaml:"weight"`
	// MaxInFlight limits the requests in flight over all entries. Default 0, which
	// means no limit beyond the fair share.
	MaxInFlight int `yaml:"max_in_flight"`
	// TokenFile holds the organisation's own token. If set, no other token is
	// accepted for the organisation. Default empty: the caller token and the name in
	// Rhubarb-Organisation are sufficient.
	TokenFile string `yaml:"token_file"`
}

// Settings configures an entry.
type Settings struct {
	settings.Common `yaml:",inline"`

	CallerTokenFile string   `yaml:"caller_token_file"`
	Listen          string   `yaml:"listen"`
	Advertise       string   `yaml:"advertise"`
	Controls        []string `yaml:"controls"`

	// Entries lists all entries; this one may be omitted. Default: this one only.
	// Callers receive the addresses of the listed entries.
	Entries []Peer `yaml:"entries"`
	// AddressTTL is how long callers may use an address list. Default and maximum
	// 2 s, because a stopping entry stays in such lists until then. A shorter TTL
	// shortens a graceful stop and causes more lookups.
	AddressTTL Duration `yaml:"address_ttl"`
	// Deadline applies to requests without Rhubarb-Deadline-Ms. Default 30 s.
	Deadline Duration `yaml:"deadline"`
	// QueueWait is the longest expected wait for a slot with which a request is
	// still queued. Default 800 ms, so that a first token within 1.3 s remains
	// possible. A longer wait causes fewer refusals and later first tokens under
	// overload.
	QueueWait Duration `yaml:"queue_wait"`
	// StallTimeout is the time without a token after which a stream is resumed on
	// another endpoint. Default 2 s. A shorter time resumes streams sooner and
	// mistakes the pause of a long prefill for a stall.
	StallTimeout Duration `yaml:"stall_timeout"`
	// PlainTimeout is the time without a response after which a non-streaming
	// request is retried. Default 30 s, because the progress of such requests cannot
	// be observed.
	PlainTimeout Duration `yaml:"plain_timeout"`
	// ProbeInterval is the idle time after which an endpoint is probed with a short
	// generation. Default 2 s. A shorter interval detects failed endpoints sooner and
	// causes more probes.
	ProbeInterval Duration `yaml:"probe_interval"`
	// SubsetAbove is the fleet size above which this entry uses a subset of
	// SubsetSize endpoints per pool. Defaults 64 and 32. A larger subset balances load
	// better and needs more connections and probes.
	SubsetAbove int `yaml:"subset_above"`
	SubsetSize  int `yaml:"subset_size"`
	// EjectedShare is the largest share of a pool that may be ejected.
	// Default 0.34. A higher share isolates more simultaneous failures and may
	// overload the remaining endpoints.
	EjectedShare float64 `yaml:"ejected_share"`
	// RetryRatio is the number of retries that each request adds to the retry budget.
	// Default 0.1. A higher ratio hides more failures and adds more load during them.
	RetryRatio float64 `yaml:"retry_ratio"`
	// MaxBody limits the size of a request body. Default 4MiB. A larger limit needs
	// more memory per request in flight.
	MaxBody settings.Size `yaml:"max_body"`
	// Memory is the memory of the instance, from which the limits of the runtime and of what is
	// held for callers follow. A higher value serves more large bodies at once, and above the real
	// memory the operating system may end the process. Default 0, which reads it from the control
	// group of the process or from the machine.
	Memory settings.Size `yaml:"memory"`
	// Organisations holds the settings of organisations by name.
	Organisations map[string]OrganisationSettings `yaml:"organisations"`
}

// Duration is the duration type of the settings.
type Duration = settings.Duration

// DefaultSettings returns settings with all defaults set.
func DefaultSettings() Settings {
	return Settings{
		Common:        settings.DefaultCommon(),
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
		MaxBody:       defaultMaxBody,
	}
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	var p settings.Problems
	p.CheckCommon(s.Common)
	p.TokenFile("caller_token_file", s.CallerTokenFile)
	p.Address("listen", s.Listen)
	p.Address("advertise", s.Advertise)
	p.Addresses("controls", s.Controls)
	s.checkEntries(&p)
	s.checkNumbers(&p)
	return p.Err()
}

func (s *Settings) checkEntries(p *settings.Problems) {
	seen := map[string]bool{}
	for i, peer := range s.Entries {
		field := fmt.Sprintf("entries[%d]", i)
		if peer.Name == "" || peer.Zone == "" {
			p.Add(field, "needs name and zone")
		}
		if seen[peer.Name] {
			p.Add(field, "name %q occurs twice", peer.Name)
		}
		seen[peer.Name] = true
		p.Address(field+".address", peer.Address)
		if peer.Name == s.Instance && peer.Address != s.Advertise {
			p.Add(field+".address", "%s differs from advertise %s", peer.Address, s.Advertise)
		}
	}
}

func (s *Settings) checkNumbers(p *settings.Problems) {
	p.Positive("address_ttl", int64(s.AddressTTL))
	p.Positive("deadline", int64(s.Deadline))
	p.Positive("queue_wait", int64(s.QueueWait))
	p.Positive("stall_timeout", int64(s.StallTimeout))
	p.Positive("plain_timeout", int64(s.PlainTimeout))
	p.Positive("probe_interval", int64(s.ProbeInterval))
	p.Positive("max_body", int64(s.MaxBody))
	if s.AddressTTL.Std() > maxAddressTTL {
		p.Add("address_ttl", "must be at most %s, so that a stopping entry receives no new work after 3 s", maxAddressTTL)
	}
	if s.SubsetSize < 1 || s.SubsetAbove < s.SubsetSize {
		p.Add("subset_size", "must be at least 1 and at most subset_above")
	}
	if s.EjectedShare < 0 || s.EjectedShare > 1 {
		p.Add("ejected_share", "must be between 0 and 1")
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		p.Add("retry_ratio", "must be between 0 and 1")
	}
	for name, o := range s.Organisations {
		if o.Weight < 0 || o.MaxInFlight < 0 {
			p.Add("organisations."+name, "weight and max_in_flight must not be negative")
		}
		if o.TokenFile != "" {
			p.TokenFile("organisations."+name+".token_file", o.TokenFile)
		}
	}
}
