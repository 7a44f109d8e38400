package control

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// Default values and limits of the settings.
const (
	defaultTick          = 50 * time.Millisecond
	defaultVoterLoss     = 15 * time.Second
	minVoterLoss         = time.Second
	defaultHeartbeat     = time.Second
	defaultLease         = 2 * time.Second
	defaultSnapshotEvery = 2000
	// defaultMaxReplicas is the number of instances that are reserved for control. A replica that
	// is no member knows no leader: it refuses orders, and its followers go elsewhere.
	defaultMaxReplicas = 9
)

// Settings holds the settings of the control daemon.
type Settings struct {
	settings.Common `yaml:",inline"`

	// Memory is the memory of the instance, from which the limits of the runtime and of what is
	// held for callers follow. A higher value serves more large bodies at once, and above the real
	// memory the operating system may end the process. Default 0, which reads it from the control
	// group of the process or from the machine.
	Memory settings.Size `yaml:"memory"`

	Replica           string `yaml:"replica"`
	SessionListen     string `yaml:"session_listen"`
	OperatorListen    string `yaml:"operator_listen"`
	OperatorTokenFile string `yaml:"operator_token_file"`
	DataDir           string `yaml:"data_dir"`
	// Advertise is the session address that is announced to others. Default
	// session_listen.
	Advertise string `yaml:"advertise"`
	// Voters maps the names of the initial voters to their session addresses. A
	// replica that is not listed joins as a learner.
	Voters map[string]string `yaml:"voters"`

	// Seeds lists addresses of replicas. It is used instead of Voters where
	// names and session ports are not known: a replica's name is its IP
	// address, and its session port is that of session_listen. A reload puts changed
	// seeds in force.
	Seeds []string `yaml:"seeds"`
	// JoinOnly prevents this replica from bootstrapping a new cluster: it joins
	// the cluster of the seeds.
	JoinOnly bool `yaml:"join_only"`

	// RegistryListen is the address for check-ins of servers and for operators,
	// in the format of the platform. Default empty: not served.
	RegistryListen string `yaml:"registry_listen"`
	// DirectoryListen is the address where callers ask which entries to use.
	// Default empty: not served.
	DirectoryListen string `yaml:"directory_listen"`
	// Heartbeat is the interval between two check-ins of a server. A server
	// that misses several is removed. Default 1 s.
	Heartbeat settings.Duration `yaml:"heartbeat"`

	// Zones maps each availability zone to its region. Orders to evacuate other zones are
	// refused. Default empty.
	Zones map[string]string `yaml:"zones"`
	// ZoneLosses is the number of zones whose loss the deployment tolerates. If it is above 0,
	// the voters are spread so that the loss of any one zone leaves a majority. Default 0:
	// voters are chosen regardless of their zone.
	ZoneLosses int `yaml:"zone_losses"`

	// VoterLoss is the time without a message after which a voter is replaced
	// or removed. A shorter time repairs sooner; a longer one keeps a voter
	// through a restart. Default 15 s.
	VoterLoss settings.Duration `yaml:"voter_loss"`
	// TargetVoters is the number of voters to restore after a failure. Default:
	// the number of initial voters.
	TargetVoters int `yaml:"target_voters"`
	// SnapshotEvery is the number of log entries between snapshots. A lower
	// number makes restarts faster and costs more disk writes. Default 2000.
	SnapshotEvery uint64 `yaml:"snapshot_every"`
	// Grace is the grace setting of the agents: how long they serve without a
	// confirmation. The in-force report takes it into account. Default 0 s.
	Grace settings.Duration `yaml:"grace"`
}

// DefaultSettings returns the default settings.
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
	p.WritableDir("data_dir", s.DataDir)
	p.Address("session_listen", s.SessionListen)
	p.Address("operator_listen", s.OperatorListen)
	p.TokenFile("operator_token_file", s.OperatorTokenFile)
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
		p.Add("seeds", "must be empty when voters is set")
	}
	if len(s.Voters) == 0 && len(s.Seeds) == 0 {
		p.Add("voters", "is required: the names and session addresses of the initial voters")
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
	if _, unnamed := s.Zones[""]; unnamed {
		p.Add("zones", "must not contain a zone without a name")
	}
	for _, zone := range slices.Sorted(maps.Keys(s.Zones)) {
		if s.Zones[zone] == "" {
			p.Add("zones."+zone, "is required: the region of the zone")
		}
	}
	if s.ZoneLosses < 0 {
		p.Add("zone_losses", "must not be negative")
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

// initialVoters returns the session addresses of the initial voters by name.
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

// seedAddresses returns the session addresses that a replica dials to find the others.
func (s *Settings) seedAddresses() []string {
	return slices.Sorted(maps.Values(s.initialVoters()))
}
