package control

import (
	"fmt"
	"net"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// Defaults of the settings.
const (
	defaultTick          = 50 * time.Millisecond
	defaultVoterLoss     = 15 * time.Second
	minVoterLoss         = time.Second
	defaultHeartbeat     = time.Second
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

	// Seeds are addresses of replicas, in place of Voters where names and session
	// ports are not known: a replica's name is its IP address, and its session
	// port is that of session_listen.
	Seeds []string `yaml:"seeds"`
	// JoinOnly keeps this replica from forming a new cluster: it joins the one of
	// the seeds.
	JoinOnly bool `yaml:"join_only"`

	// RegistryListen serves servers that check in and operators in the format of
	// the platform. Default empty, which serves neither.
	RegistryListen string `yaml:"registry_listen"`
	// DirectoryListen tells callers which entries to use. Default empty.
	DirectoryListen string `yaml:"directory_listen"`
	// Heartbeat is the time between two check-ins of a server. A server that
	// misses several is taken out. Default 1 s.
	Heartbeat settings.Duration `yaml:"heartbeat"`

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
		Heartbeat:     settings.Duration(defaultHeartbeat),
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
	for i, seed := range s.Seeds {
		p.Address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	for name, address := range map[string]string{"registry_listen": s.RegistryListen, "directory_listen": s.DirectoryListen} {
		if address != "" {
			p.Address(name, address)
		}
	}
	if s.Heartbeat.Std() <= 0 {
		p.Add("heartbeat", "must be above 0, got %s", s.Heartbeat.Std())
	}
	if len(s.Voters) > 0 && len(s.Seeds) > 0 {
		p.Add("seeds", "must be empty where voters are given")
	}
	if len(s.Voters) == 0 && len(s.Seeds) == 0 {
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
	return len(s.initialVoters())
}

// initialVoters maps the names of the first voters to their session addresses.
func (s *Settings) initialVoters() map[string]string {
	if len(s.Seeds) == 0 {
		return s.Voters
	}
	_, port, _ := net.SplitHostPort(s.SessionListen) // checked by Check
	voters := map[string]string{}
	for _, seed := range s.Seeds {
		host, _, _ := net.SplitHostPort(seed)
		voters[host] = net.JoinHostPort(host, port)
	}
	return voters
}
