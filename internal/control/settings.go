package control

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// Defaults of the settings.
const (
	defaultTick          = 50 * time.Millisecond
	defaultVoterLoss     = 15 * time.Second
	minVoterLoss         = time.Second
	defaultLease         = 2 * time.Second
	defaultSnapshotEvery = 2000
	defaultMaxReplicas   = 8
)

// Settings of the control daemon.
type Settings struct {
	settings.Common `yaml:",inline"`

	Replica           string `yaml:"replica"`
	SessionListen     string `yaml:"session_listen"`
	OperatorListen    string `yaml:"operator_listen"`
	OperatorTokenFile string `yaml:"operator_token_file"`
	DataDir           string `yaml:"data_dir"`
	// Advertise is the session address given to others. Default session_listen.
	Advertise string `yaml:"advertise"`
	// Voters maps the names of the first voters to their session addresses. A
	// replica that is not listed joins as a learner.
	Voters map[string]string `yaml:"voters"`

	// VoterLoss is the silence after which a voter is replaced or removed.
	// Shorter repairs sooner; longer keeps a voter through a restart. Default
	// 15 s.
	VoterLoss settings.Duration `yaml:"voter_loss"`
	// TargetVoters is the number of voters to return to after a repair.
	// Default: the number of first voters.
	TargetVoters int `yaml:"target_voters"`
	// SnapshotEvery is the number of log entries between snapshots. Fewer make
	// restarts faster and cost more writing. Default 2000.
	SnapshotEvery uint64 `yaml:"snapshot_every"`
	// Grace is the agents' grace setting: how long they serve without
	// confirmation. The in-force report waits for it. Default 0 s.
	Grace settings.Duration `yaml:"grace"`
}

// DefaultSettings returns settings with defaults filled in.
func DefaultSettings() Settings {
	return Settings{
		Common:        settings.DefaultCommon(),
		VoterLoss:     settings.Duration(defaultVoterLoss),
		SnapshotEvery: defaultSnapshotEvery,
	}
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	var p settings.Problems
	p.CheckCommon(s.Common)
	p.Required("replica", s.Replica)
	p.WritableFolder("data_dir", s.DataDir)
	p.Address("session_listen", s.SessionListen)
	p.Address("operator_listen", s.OperatorListen)
	p.Token("operator_token_file", s.OperatorTokenFile)
	if s.Advertise != "" {
		p.Address("advertise", s.Advertise)
	}
	if len(s.Voters) == 0 {
		p.Add("voters", "needs the names and session addresses of the first voters")
	}
	for name, address := range s.Voters {
		p.Address("voters."+name, address)
	}
	if s.VoterLoss.Std() < minVoterLoss {
		p.Add("voter_loss", "must be %s or more, got %s", minVoterLoss, s.VoterLoss.Std())
	}
	if s.SnapshotEvery == 0 {
		p.Add("snapshot_every", "must be above 0")
	}
	if s.TargetVoters < 0 {
		p.Add("target_voters", "must not be negative")
	}
	return p.Err()
}

func (s *Settings) advertised() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.SessionListen
}

func (s *Settings) targetVoters() int {
	if s.TargetVoters > 0 {
		return s.TargetVoters
	}
	return len(s.Voters)
}
