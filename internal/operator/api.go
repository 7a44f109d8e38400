package operator

import (
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// Paths of the operator API.
const (
	PathNotes       = "/v1/notes"
	PathNotesCheck  = "/v1/notes:check"
	PathStatus      = "/v1/status"
	PathEndpoints   = "/v1/endpoints"
	PathQuarantine  = "/v1/quarantine"
	PathOutcomes    = "/v1/outcomes/" // {key}?organisation=
	PathRollout     = "/v1/rollout"
	PathEvacuations = "/v1/evacuations"
)

// HeaderCurrent is "true" on an answer of a replica that has just confirmed its
// leadership with a quorum, and "false" on the last known state of another replica.
const HeaderCurrent = "Rhubarb-Current"

// Statuses of a NoteAnswer.
const (
	NoteAccepted = "accepted" // synced on a write quorum
	NoteRefused  = "refused"  // not accepted, and cannot be accepted unchanged
	NoteConflict = "conflict" // an accepted note has this number and another digest
	NoteInvalid  = "invalid"  // Problems lists the reasons
	NoteValid    = "valid"    // answer to a check
	NoteUnknown  = "unknown"  // may have been accepted; send the same note again
	NoteNotRun   = "not-run"  // not proposed; send the same note to another replica
)

// NoteAnswer answers POST PathNotes and POST PathNotesCheck.
type NoteAnswer struct {
	Status   string            `json:"status"`
	Number   uint64            `json:"number,omitempty"` // of the note, of the accepted note that it conflicts with, or the expected one
	Digest   release.Digest    `json:"digest,omitempty"` // of the note or of the accepted note that it conflicts with
	Reason   string            `json:"reason,omitempty"`
	Problems []release.Problem `json:"problems,omitempty"`
	Leader   string            `json:"leader,omitempty"`
}

// EvacuationOrder is the body of POST PathEvacuations. The answer is a NoteAnswer.
type EvacuationOrder struct {
	Zone string `json:"zone"`
	// Evacuate is true to start the evacuation and false to end it.
	Evacuate bool `json:"evacuate"`
}

// ZoneEvacuation is an evacuated zone.
type ZoneEvacuation struct {
	Zone  string    `json:"zone"`
	Since time.Time `json:"since"`
	AgeMs int64     `json:"age_ms"`
}

// Status answers GET PathStatus.
type Status struct {
	Replica  string   `json:"replica"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
	Revision uint64   `json:"revision"`
	// InForce is true when Revision is in force on every known instance;
	// InForceRevision is the highest one that is.
	InForce         bool   `json:"in_force"`
	InForceRevision uint64 `json:"in_force_revision"`
	// WaitingFor lists the instances that prevent Revision from being in force.
	WaitingFor []string           `json:"waiting_for,omitempty"`
	Digest     release.Digest     `json:"digest"`
	Catalogue  *release.Catalogue `json:"catalogue,omitempty"`
	Endpoints  []Endpoint         `json:"endpoints,omitempty"`
	Evacuated  []ZoneEvacuation   `json:"evacuated,omitempty"`
}

// Live returns how many endpoints serve the weights set of a model, and how many
// should.
func (s Status) Live(model string) (live, total int) {
	set, ok := s.Catalogue.WeightsSet(model)
	if !ok {
		return 0, 0
	}
	id := set.ID()
	for _, e := range s.Endpoints {
		if e.Kind != wire.KindEngine || e.Role != set.Model.Role {
			continue
		}
		total++
		if slices.ContainsFunc(e.Sets, func(l wire.LoadedSet) bool { return l.SetID == id }) {
			live++
		}
	}
	return live, total
}

// Endpoints answers GET PathEndpoints.
type Endpoints struct {
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is the last announcement of an endpoint.
type Endpoint struct {
	Endpoint    string                 `json:"endpoint"`
	Incarnation uint64                 `json:"incarnation"`
	Kind        wire.EndpointKind      `json:"kind"`
	Role        string                 `json:"role,omitempty"`
	Service     string                 `json:"service,omitempty"`
	Zone        string                 `json:"zone"`
	Region      string                 `json:"region"`
	GateAddress string                 `json:"gate_address"`
	Sets        []wire.LoadedSet       `json:"sets"`
	InFlight    int                    `json:"in_flight"`
	Capacity    int                    `json:"capacity"`
	Ready       bool                   `json:"ready"`
	Draining    bool                   `json:"draining"`
	Revision    uint64                 `json:"revision"`
	Confirmed   bool                   `json:"confirmed"`
	Rollouts    []wire.RolloutProgress `json:"rollouts,omitempty"`
}

// EndpointOf converts an announcement to an Endpoint.
func EndpointOf(a wire.Announce) Endpoint {
	return Endpoint{
		Endpoint: a.Endpoint, Incarnation: a.Incarnation, Kind: a.Kind, Role: a.Role, Service: a.Service,
		Zone: a.Zone, Region: a.Region, GateAddress: a.GateAddress, Sets: a.Sets, InFlight: a.InFlight,
		Capacity: a.Capacity, Ready: a.Ready, Draining: a.Draining, Revision: a.Revision,
		Confirmed: a.Confirmed, Rollouts: a.Rollouts,
	}
}

// Rollout answers GET PathRollout.
type Rollout struct {
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
	// Waiting lists instances that neither acknowledged the revision nor lost
	// their lease.
	Waiting []string     `json:"waiting_for,omitempty"`
	Sets    []RolloutSet `json:"sets"`
}

// RolloutSet is the progress of one weights set of the catalogue.
type RolloutSet struct {
	SetID     string            `json:"set_id"`
	Model     string            `json:"model"`
	Version   string            `json:"version"`
	Live      int               `json:"live"`
	Total     int               `json:"total"`
	Endpoints []RolloutEndpoint `json:"endpoints"`
}

// RolloutEndpoint is the progress of a set on one endpoint.
type RolloutEndpoint struct {
	Endpoint string `json:"endpoint"`
	wire.RolloutProgress
}

// Quarantine answers GET PathQuarantine with the suspected and quarantined requests.
type Quarantine struct {
	Requests []wire.QuarantinedRequest `json:"requests"`
}

// Outcome answers GET PathOutcomes.
type Outcome struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Outcome      string `json:"outcome"` // done, not-run, unknown; empty while the call runs
	Status       int    `json:"status,omitempty"`
	Owner        string `json:"owner,omitempty"`
}
