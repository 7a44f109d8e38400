package wire

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/membership"
)

// Server is an endpoint without an agent in its request path: it checks in with
// any control replica, and entries send requests to it directly.
type Server struct {
	ID string `cbor:"1,keyasint"`
	// Started is the start of the server's process, Unix milliseconds. It tells
	// incarnations with the same identifier apart.
	Started  uint64        `cbor:"2,keyasint"`
	Sequence uint64        `cbor:"3,keyasint"` // increases within an incarnation
	Service  string        `cbor:"4,keyasint"`
	Address  string        `cbor:"5,keyasint"`
	Zone     string        `cbor:"6,keyasint"`
	Slots    int           `cbor:"7,keyasint,omitempty"`
	Draining bool          `cbor:"8,keyasint,omitempty"`
	Gone     bool          `cbor:"9,keyasint,omitempty"`
	Models   []ServerModel `cbor:"10,keyasint,omitempty"`
	// Loading is true while the server accepts no new requests because it loads weights.
	Loading bool `cbor:"11,keyasint,omitempty"`
	// LoadPending is true during the LoadNotice before a load is ordered.
	LoadPending bool `cbor:"12,keyasint,omitempty"`
	// Loads tells whether the weights of an engine were verified.
	Loads EngineLoads `cbor:"13,keyasint,omitempty"`
	// ColdMs is how long the server reports that it remains cold.
	ColdMs int64 `cbor:"14,keyasint,omitempty"`
	// ColdUntil is when that ends by the clock of the replica to which the server reported it. It
	// is zero if the server reported to another one.
	ColdUntil time.Time `cbor:"-"`
}

// EngineLoads tells up to which order the loads of an engine were verified. An engine takes
// the staged pieces as they are when it accepts an order, at any time after they were last
// verified, so its weights are trusted only once the pieces were verified after the order.
type EngineLoads struct {
	// Reported is false if no stager has reported the state of the engine.
	Reported bool   `cbor:"1,keyasint,omitempty"`
	Accepted uint64 `cbor:"2,keyasint,omitempty"` // orders accepted since the engine started
	Verified uint64 `cbor:"3,keyasint,omitempty"` // orders up to which the loads were verified
}

// TrustedWeights reports whether the weights of an engine were verified. Without a report of a
// stager, only the weights that engines may hold when they start are trusted.
func (s Server) TrustedWeights() bool {
	if s.Loads.Reported {
		return s.Loads.Accepted == s.Loads.Verified
	}
	for _, m := range s.Models {
		for _, l := range m.Layers {
			if l.Version > protocol.FirstVersion {
				return false
			}
		}
	}
	return true
}

// LoadNotice is the time before a load at which entries are told of it. The engine
// starts the load only when its requests have ended, and answers take 0.5 to 3 s, so
// entries no longer send it requests whose answers would outlast this time.
const LoadNotice = 1200 * time.Millisecond

// WithEngineState returns the server with the engine state that its stager reported,
// if that is the state of the same incarnation.
func (s Server) WithEngineState(e EngineState) Server {
	if e.Started == 0 || e.Started != s.Started {
		return s
	}
	s.Loading, s.LoadPending = e.Loading, e.LoadPending
	s.Loads = EngineLoads{Reported: true, Accepted: e.Orders, Verified: e.Verified}
	if e.Version != 0 {
		s.Models = []ServerModel{{Name: e.Model, Layers: []protocol.ServedLayers{{From: 0, To: e.Layers, Version: e.Version}}}}
	}
	return s
}

// ServerModel is a model of which a server has loaded layers.
type ServerModel struct {
	Name   string                  `cbor:"1,keyasint"`
	Layers []protocol.ServedLayers `cbor:"2,keyasint,omitempty"`
}

// SortModels sorts the models by name, so that equal states compare equal.
func (s *Server) SortModels() {
	slices.SortFunc(s.Models, func(a, b ServerModel) int { return cmp.Compare(a.Name, b.Name) })
}

// Record returns the check-in as a record of a membership table.
func (s Server) Record() membership.Record[Server] {
	return membership.Record[Server]{
		Endpoint: s.ID, Incarnation: s.Started, Sequence: s.Sequence, Draining: s.Draining, Gone: s.Gone, Report: s,
	}
}

// Servers contains all check-ins, or those changed since version Base, like Members.
type Servers struct {
	Epoch   uint64   `cbor:"1,keyasint"`
	Version uint64   `cbor:"2,keyasint"`
	Base    uint64   `cbor:"3,keyasint,omitempty"`
	Updated []Server `cbor:"4,keyasint,omitempty"`
	Removed []string `cbor:"5,keyasint,omitempty"`
}

// MessageType implements Message.
func (Servers) MessageType() Type { return TypeServers }

// ServersFrom converts an update of a membership table to a message.
func ServersFrom(u membership.Update[Server]) Servers {
	m := Servers{Epoch: u.Epoch, Version: u.Version, Base: u.Base, Removed: u.Removed}
	for _, r := range u.Updated {
		m.Updated = append(m.Updated, r.Report)
	}
	return m
}

// Update converts the message to an update of a membership view.
func (m Servers) Update() membership.Update[Server] {
	u := membership.Update[Server]{Epoch: m.Epoch, Version: m.Version, Base: m.Base, Removed: m.Removed}
	for _, s := range m.Updated {
		u.Updated = append(u.Updated, s.Record())
	}
	return u
}

// Role is the function of a process in the system.
type Role string

// Roles of processes that subscribe to the state of the fleet.
const (
	RoleEntry  Role = "entry"
	RoleStager Role = "stager"
)

// Process describes a process to a control replica. It is sent when a session opens
// and on each change, and is valid for as long as the session is open.
type Process struct {
	Name string `cbor:"1,keyasint"`
	Role Role   `cbor:"2,keyasint"`
	// Address is where callers of an entry connect, or where a stager serves
	// pieces of weights.
	Address string `cbor:"3,keyasint"`
	// PeerAddress receives messages of other processes of the same role.
	PeerAddress string `cbor:"4,keyasint,omitempty"`
	Zone        string `cbor:"5,keyasint"`
	Region      string `cbor:"6,keyasint"`
	// Ready is true while the process accepts callers; Draining is true from a stop
	// signal on. A stopping entry accepts callers for a short time after the signal.
	Ready    bool   `cbor:"7,keyasint,omitempty"`
	Draining bool   `cbor:"8,keyasint,omitempty"`
	Service  string `cbor:"9,keyasint,omitempty"` // of the engine beside a stager
	// Peers requests the processes of the same role. A process requests them from one
	// or two replicas only, since every replica knows all of them.
	Peers bool `cbor:"11,keyasint,omitempty"`
	// Revision increases with each Process message of a process, also across restarts:
	// replicas share the processes they know, and the highest revision is the current one.
	Revision uint64 `cbor:"13,keyasint,omitempty"`
	// WeightsVersion is the newest version of the weights of which a stager has a
	// complete copy.
	WeightsVersion uint64 `cbor:"10,keyasint,omitempty"`
	// Engine is the state of a stager's engine. It reaches replicas before the next
	// check-in of the engine.
	Engine EngineState `cbor:"12,keyasint,omitempty"`
}

// EngineState is the state of the engine at a stager's Address.
type EngineState struct {
	// Started is the start of the engine's process whose state this is, Unix
	// milliseconds; zero while the state is unknown.
	Started uint64 `cbor:"1,keyasint,omitempty"`
	// Loading is true from shortly before a load is ordered until it is done. The
	// engine accepts no new requests during that time.
	Loading bool   `cbor:"2,keyasint,omitempty"`
	Model   string `cbor:"3,keyasint,omitempty"`
	// Version is the version of which the engine has loaded all layers; zero for none.
	Version uint64 `cbor:"4,keyasint,omitempty"`
	Layers  int    `cbor:"5,keyasint,omitempty"` // number of layers of the model
	// LoadPending is true during the LoadNotice before a load is ordered.
	LoadPending bool `cbor:"6,keyasint,omitempty"`
	// Orders is the number of orders that the engine has accepted since its start. Verified
	// is the number up to which the staged pieces were verified after the order.
	Orders   uint64 `cbor:"7,keyasint,omitempty"`
	Verified uint64 `cbor:"8,keyasint,omitempty"`
}

// WithoutStager returns the state of an engine whose stager is not in touch and last reported
// e. The engine may have accepted another order since; the version that it reports itself shows
// whether it has.
func (s Server) WithoutStager(e EngineState) Server {
	if e.Started == 0 || e.Started != s.Started {
		return s
	}
	next := s.WithEngineState(e)
	next.LoadPending = false // a stager that is gone orders nothing
	for _, m := range s.Models {
		if v := protocol.NewestCompleteVersion(m.Layers, e.Layers); m.Name == e.Model && v != 0 && v != e.Version {
			next.Loads.Accepted++
		}
	}
	return next
}

// MessageType implements Message.
func (Process) MessageType() Type { return TypeProcess }

// WeightsRetention is how long a version of the weights stays in messages and in the memory of
// processes after the next one was named. It exceeds the time for which requests may begin on
// superseded weights.
const WeightsRetention = 5 * time.Minute

const (
	// MaxNamedWeights is the number of versions of a model's weights that the ledger and
	// processes keep.
	MaxNamedWeights = 64
	// exactNamedWeights is the number of newest versions that are not dropped.
	exactNamedWeights = 50
)

// WeightsToDrop returns which version of a list of more than MaxNamedWeights is to be dropped. The
// next version then counts as named when the dropped one was. named returns when a version was
// named, oldest version first, as the time since any fixed point.
//
// The oldest version is dropped if the next one was named WeightsRetention before the newest one,
// otherwise the one that was named the shortest time before the next one: it may be in use, and
// seems to be superseded earlier by that time.
func WeightsToDrop(count int, named func(int) time.Duration) int {
	if named(count-1)-named(1) >= WeightsRetention {
		return 0
	}
	drop := 0
	for i := range count - 1 - exactNamedWeights {
		if named(i+1)-named(i) < named(drop+1)-named(drop) {
			drop = i
		}
	}
	return drop
}

// NamedWeights is a version of a model's weights that the engines must load.
type NamedWeights struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// AgeMs is the time since the sending replica learned of the version, or of an earlier
	// version that is not listed.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

// Fleet informs a process of the accepted routing document, the named weights, the
// control replicas and the processes of its own role. With 100 stagers the list of
// processes takes 8 KB, so only the first message of a session contains all of it and
// later ones contain the changes.
type Fleet struct {
	RoutingVersion uint64         `cbor:"1,keyasint"`
	Weights        []NamedWeights `cbor:"2,keyasint,omitempty"`
	// Replicas are the control replicas; empty for no change.
	Replicas []Replica `cbor:"3,keyasint,omitempty"`
	// Whole is true when Processes is the complete list rather than changes to it.
	Whole     bool      `cbor:"4,keyasint,omitempty"`
	Processes []Process `cbor:"5,keyasint,omitempty"`
	Left      []string  `cbor:"6,keyasint,omitempty"` // names of processes that left
	// Leaderless is true while the replica knows no leader. It may be partitioned from
	// the others, so its messages may be out of date.
	Leaderless bool `cbor:"7,keyasint,omitempty"`
	// Evacuated lists the evacuated zones, sorted. EvacuationRevision increases with each change
	// of the list.
	Evacuated          []string `cbor:"8,keyasint,omitempty"`
	EvacuationRevision uint64   `cbor:"9,keyasint,omitempty"`
}

// ErrUnknownZone means that an order names a zone that the deployment does not have.
var ErrUnknownZone = errors.New("unknown zone")

// Replica is a control replica to which processes may connect.
type Replica struct {
	Address string `cbor:"1,keyasint"` // for sessions
	Zone    string `cbor:"2,keyasint,omitempty"`
}

// Share informs another replica of the servers that check in with this replica and of
// the processes connected to it: all of them, or the changes since the last Share of
// the session.
type Share struct {
	From      string    `cbor:"1,keyasint"` // name of the replica
	Servers   *Servers  `cbor:"2,keyasint,omitempty"`
	Whole     bool      `cbor:"3,keyasint,omitempty"` // Processes is the complete list
	Processes []Process `cbor:"4,keyasint,omitempty"`
	Left      []string  `cbor:"5,keyasint,omitempty"` // names of processes that left
}

// MessageType implements Message.
func (Share) MessageType() Type { return TypeShare }

// ShareAck confirms that the servers of a Share were applied.
type ShareAck struct {
	Version uint64 `cbor:"1,keyasint"` // of Share.Servers
}

// MessageType implements Message.
func (ShareAck) MessageType() Type { return TypeShareAck }

// MessageType implements Message.
func (Fleet) MessageType() Type { return TypeFleet }

// RoutingRequest asks for the routing document. With Confirm, the document comes from
// the leader, after a quorum has confirmed that it still leads.
type RoutingRequest struct {
	Confirm bool `cbor:"1,keyasint,omitempty"`
}

// MessageType implements Message.
func (RoutingRequest) MessageType() Type { return TypeRoutingRequest }

// Routing is a routing document, compressed with DEFLATE. Version 0 means that
// no document has been accepted yet.
type Routing struct {
	Version  uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint,omitempty"`
}

// MessageType implements Message.
func (Routing) MessageType() Type { return TypeRouting }

// WeightsRequest asks for the named weights with their ages at the time of the reply.
type WeightsRequest struct{}

// MessageType implements Message.
func (WeightsRequest) MessageType() Type { return TypeWeightsRequest }

// Weights is the reply to a WeightsRequest.
type Weights struct {
	Named []NamedWeights `cbor:"1,keyasint,omitempty"`
}

// MessageType implements Message.
func (Weights) MessageType() Type { return TypeWeights }
