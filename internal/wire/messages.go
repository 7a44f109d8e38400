package wire

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/release"
)

// EndpointKind distinguishes engines from other services.
type EndpointKind string

// Kinds of endpoint.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// Announce is an agent's report on its endpoint, sent to every control replica
// each second and on every change.
type Announce struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // process start, nanoseconds since the epoch
	Sequence    uint64 `cbor:"3,keyasint"` // increases within an incarnation

	Kind         EndpointKind `cbor:"4,keyasint"`
	Role         string       `cbor:"5,keyasint,omitempty"` // matched against a model's role
	Service      string       `cbor:"6,keyasint,omitempty"` // name, for KindService
	Zone         string       `cbor:"7,keyasint"`
	Region       string       `cbor:"8,keyasint"`
	GateAddress  string       `cbor:"9,keyasint"`
	ChunkAddress string       `cbor:"10,keyasint,omitempty"`

	Sets     []LoadedSet `cbor:"11,keyasint,omitempty"`
	InFlight int         `cbor:"12,keyasint"`
	Capacity int         `cbor:"13,keyasint"`
	Ready    bool        `cbor:"14,keyasint"`
	Draining bool        `cbor:"15,keyasint"`

	// Revision is the highest catalogue revision that the agent has applied.
	Revision uint64 `cbor:"16,keyasint"`
	// Confirmed is true while the agent holds its confirmation lease.
	Confirmed bool              `cbor:"17,keyasint"`
	Rollouts  []RolloutProgress `cbor:"18,keyasint,omitempty"`
	// Gone is true in the last announcement of a stopped agent.
	Gone bool `cbor:"19,keyasint,omitempty"`
	// Crash is the endpoint's last crash, reported for a minute. It reaches entries
	// without a commit, and therefore also while the log has no leader.
	Crash *Crash `cbor:"20,keyasint,omitempty"`
}

// Crash names the requests that were in flight when an engine crashed.
type Crash struct {
	Incident     string   `cbor:"1,keyasint"`
	Fingerprints []string `cbor:"2,keyasint"`
}

// SameIncident reports whether both are nil or describe the same crash.
func (c *Crash) SameIncident(other *Crash) bool {
	if c == nil || other == nil {
		return c == other
	}
	return c.Incident == other.Incident
}

// LoadedSet is a weights set that an engine serves.
type LoadedSet struct {
	Model   string `cbor:"1,keyasint" json:"model"`
	Version string `cbor:"2,keyasint" json:"version"`
	SetID   string `cbor:"3,keyasint" json:"set_id"`
}

// RolloutProgress reports the transfer of one weights set to one endpoint.
type RolloutProgress struct {
	SetID       string `cbor:"1,keyasint" json:"set_id"`
	ChunksHave  int    `cbor:"2,keyasint" json:"chunks_have"`
	ChunksTotal int    `cbor:"3,keyasint" json:"chunks_total"`
	OriginBytes int64  `cbor:"4,keyasint" json:"origin_bytes"`
	PeerBytes   int64  `cbor:"5,keyasint" json:"peer_bytes"`
	Phase       string `cbor:"6,keyasint" json:"phase"` // manifest, fetching, verified, loading, live, failed
	Detail      string `cbor:"7,keyasint,omitempty" json:"detail,omitempty"`
}

// KeepAlive is an announcement that differs only in Sequence and InFlight from
// the last Announce on the same session, whose sequence is Base.
type KeepAlive struct {
	Base     uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	InFlight int    `cbor:"3,keyasint,omitempty"`
}

// AnnounceReply acknowledges an announcement.
type AnnounceReply struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// ConfirmRequest asks a voter for its revision. Mark identifies the moment of
// sending on the agent's monotonic clock; the reply echoes it.
type ConfirmRequest struct {
	Mark uint64 `cbor:"1,keyasint"`
	// Short allows a short reply.
	Short bool `cbor:"2,keyasint,omitempty"`
}

// ConfirmReply is a voter's reply to a ConfirmRequest. A voter with Unresolved set holds a newer
// note or voter set that is not known to be committed and confirms no revision.
// Voters is the newest voter set that the voter knows to be committed; the
// reply counts only towards a read quorum of that same set.
type ConfirmReply struct {
	Mark       uint64   `cbor:"1,keyasint"`
	Replica    string   `cbor:"2,keyasint,omitempty"`
	Revision   uint64   `cbor:"3,keyasint"`
	Unresolved bool     `cbor:"4,keyasint,omitempty"`
	Voters     []string `cbor:"5,keyasint,omitempty"`
	VoterIndex uint64   `cbor:"6,keyasint"`
	// Addresses maps replicas, learners included, to their session addresses.
	// It is sent with the first reply of a session and after each change.
	Addresses map[string]string `cbor:"7,keyasint,omitempty"`
	// Term orders leaders' fencing numbers for engine orders.
	Term uint64 `cbor:"8,keyasint"`
	// Short is true in a reply that omits Replica and Voters: they are the same as in
	// the last full reply on this session, which has the same VoterIndex.
	Short bool `cbor:"9,keyasint,omitempty"`
	// KeepAlives is true in full replies of a replica that accepts KeepAlive.
	KeepAlives bool `cbor:"10,keyasint,omitempty"`
}

// Catalogue contains the state that results from the accepted notes. A delta is
// applied only when the receiver has revision Base and the result has digest Digest;
// otherwise the receiver subscribes again for the full state (Base 0).
type Catalogue struct {
	Revision uint64             `cbor:"1,keyasint"`
	Base     uint64             `cbor:"2,keyasint,omitempty"`
	Digest   release.Digest     `cbor:"3,keyasint"`
	Full     *release.Catalogue `cbor:"4,keyasint,omitempty"`
	Delta    *release.Delta     `cbor:"5,keyasint,omitempty"`
	// Quarantined lists quarantined and suspect requests, for entries.
	Quarantined []QuarantinedRequest `cbor:"6,keyasint,omitempty"`
}

// QuarantinedRequest is the fingerprint of a request that no endpoint runs before
// Until (Unix milliseconds). If Quarantined is false the request is only suspect: it
// runs, but with no other request on the endpoint at the same time.
type QuarantinedRequest struct {
	Fingerprint string   `cbor:"1,keyasint" json:"fingerprint"`
	Until       int64    `cbor:"2,keyasint" json:"until_unix_ms"`
	Quarantined bool     `cbor:"3,keyasint" json:"quarantined"` // false: suspect only
	Crashed     []string `cbor:"4,keyasint,omitempty" json:"crashed_endpoints,omitempty"`
}

// Members contains all endpoint announcements, or those changed since version Base.
// An announcement in which only the load differs does not count as changed: see
// Loads. Versions are comparable only within one run of the sending process, which
// Epoch identifies.
type Members struct {
	Epoch   uint64     `cbor:"1,keyasint"`
	Version uint64     `cbor:"2,keyasint"`
	Base    uint64     `cbor:"3,keyasint,omitempty"`
	Updated []Announce `cbor:"4,keyasint,omitempty"`
	Removed []string   `cbor:"5,keyasint,omitempty"`
}

// FollowLoads subscribes to the load of the listed endpoints at a control replica and
// replaces the previous list. An empty list ends the subscription.
type FollowLoads struct {
	Endpoints []string `cbor:"1,keyasint,omitempty"`
}

// Loads is sent to the subscriber of FollowLoads: at once with the load of every
// listed endpoint, then with changes. A message with Check set is sent every
// LoadCheckInterval, so that the subscriber detects a stalled stream.
type Loads struct {
	Changed []Load `cbor:"1,keyasint,omitempty"`
	Check   bool   `cbor:"2,keyasint,omitempty"`
	// Silent, in a check, lists the subscribed endpoints from which the replica has
	// received nothing recently: it may not know their current load.
	Silent []string `cbor:"3,keyasint,omitempty"`
}

// LoadCheckInterval is the time between two Loads messages with Check set.
const LoadCheckInterval = 500 * time.Millisecond

// Load is the number of requests in flight on an endpoint, with the incarnation and
// sequence of the announcement that reported it.
type Load struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Incarnation uint64
	Sequence    uint64
	InFlight    int
}

// Subscribe asks a control replica for catalogue and member updates.
type Subscribe struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"` // catalogue revision that the subscriber has
	Members  bool   `cbor:"3,keyasint"` // send member updates too
	Epoch    uint64 `cbor:"4,keyasint,omitempty"`
	Version  uint64 `cbor:"5,keyasint,omitempty"`
	// Peers, with Members, omits changes of load and readiness.
	Peers bool `cbor:"6,keyasint,omitempty"`
}

// Propose asks for a command to be committed. Command is a ledger command,
// encoded by package ledger.
type Propose struct {
	Command []byte `cbor:"1,keyasint"`
}

// Statuses of a ProposeReply.
const (
	ProposeCommitted = "committed" // Result contains the ledger's result
	ProposeNotRun    = "not-run"   // the command was not and will not be committed
	ProposeUnknown   = "unknown"   // the command may or may not be committed
)

// ProposeReply is the reply to a Propose. Leader is a hint: the replica to try next.
type ProposeReply struct {
	Status string `cbor:"1,keyasint"`
	Result []byte `cbor:"2,keyasint,omitempty"`
	Leader string `cbor:"3,keyasint,omitempty"`
	Detail string `cbor:"4,keyasint,omitempty"`
}

// Raft contains one message of the replicated log, encoded by package raft.
type Raft struct {
	Message []byte `cbor:"1,keyasint"`
}

// HaveRequest asks a peer which chunks of a manifest it has. With a non-zero
// Subscription the peer also sends later changes on the same session.
type HaveRequest struct {
	Manifest     release.Digest `cbor:"1,keyasint"`
	Endpoint     string         `cbor:"2,keyasint"`
	Subscription uint64         `cbor:"3,keyasint,omitempty"`
}

// Have lists the chunks of a manifest that a peer has, as a bitmap with bit i%8 of
// byte i/8 for chunk i. A change contains its subscription instead of the manifest,
// and the chunks added, or a complete bitmap when the peer started over.
type Have struct {
	Manifest     release.Digest `cbor:"1,keyasint,omitempty"`
	Endpoint     string         `cbor:"2,keyasint,omitempty"`
	Bitmap       []byte         `cbor:"3,keyasint,omitempty"`
	Subscription uint64         `cbor:"4,keyasint,omitempty"`
	Added        []uint32       `cbor:"5,keyasint,omitempty"`
}

// MessageType implementations.
func (Announce) MessageType() Type       { return TypeAnnounce }
func (KeepAlive) MessageType() Type      { return TypeKeepAlive }
func (AnnounceReply) MessageType() Type  { return TypeAnnounceReply }
func (ConfirmRequest) MessageType() Type { return TypeConfirmRequest }
func (ConfirmReply) MessageType() Type   { return TypeConfirmReply }
func (Catalogue) MessageType() Type      { return TypeCatalogue }
func (Members) MessageType() Type        { return TypeMembers }
func (Subscribe) MessageType() Type      { return TypeSubscribe }
func (FollowLoads) MessageType() Type    { return TypeFollowLoads }
func (Loads) MessageType() Type          { return TypeLoads }
func (Propose) MessageType() Type        { return TypePropose }
func (ProposeReply) MessageType() Type   { return TypeProposeReply }
func (Raft) MessageType() Type           { return TypeRaft }
func (HaveRequest) MessageType() Type    { return TypeHaveRequest }
func (Have) MessageType() Type           { return TypeHave }
