package wire

// HTTP headers of the caller API and of the protocol between entries and gates.
const (
	HeaderOutcome      = "Rhubarb-Outcome"
	HeaderReason       = "Rhubarb-Reason"
	HeaderWeightsSet   = "Rhubarb-Weights-Set"
	HeaderAttempt      = "Rhubarb-Attempt"
	HeaderOrganisation = "Rhubarb-Organisation"
	HeaderDeadline     = "Rhubarb-Deadline-Ms"
	HeaderIdempotent   = "Rhubarb-Idempotent"
	HeaderPriority     = "Rhubarb-Priority"
	HeaderFingerprint  = "Rhubarb-Fingerprint"
	// HeaderAlone marks a request suspected of crashing backends: the gate runs no
	// other request at the same time.
	HeaderAlone = "Rhubarb-Alone"
	// HeaderResumeFrom is the number of tokens that the caller already has.
	HeaderResumeFrom     = "Rhubarb-Resume-From"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderGateIncarnation is the announced incarnation of the agent that an
	// attempt or a fence is addressed to. Without it a fence does not prove that the
	// attempt did not run: an earlier process of the agent may have run it.
	HeaderGateIncarnation = "Rhubarb-Gate-Incarnation"
)

// ReasonBackendBroken is the gate's Rhubarb-Reason for an attempt whose backend
// broke the connection: the backend may have crashed.
const ReasonBackendBroken = "backend-broken"

// States of the backend after it broke the connection of an attempt, in the
// response to GET PathGateAttempts. The response has no state for other attempts.
const (
	BackendPending = "pending" // not determined yet
	BackendAlive   = "alive"   // the same process still responds
	BackendCrashed = "crashed"
)

// Paths of the gate, served by the agent on its gate address. The path of the
// caller's request is appended to PathGateForward.
const (
	PathGateForward  = "/gate"
	PathGateAttempts = "/gate-attempts/" // {attempt}: GET state, POST fence, DELETE cancel
)

// Paths of chunks, manifests and objects. The comments name what serves each: an
// agent, the weight store or the origin.
const (
	PathChunks    = "/chunks/"    // {sha256 hex}: agents
	PathManifests = "/manifests/" // {sha256 hex}: agents, store, origin
	PathObjects   = "/objects/"   // {file name}, Range allowed: store, origin
)

// PathSession is the path of the WebSocket endpoint, the same in every process.
const PathSession = "/session"
