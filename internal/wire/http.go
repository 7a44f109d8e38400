package wire

// Headers of the caller API and of the entry-to-gate protocol.
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
	// HeaderAlone marks a suspected request: the gate runs it with no neighbour.
	HeaderAlone = "Rhubarb-Alone"
	// HeaderResumeFrom is the number of tokens the caller already has.
	HeaderResumeFrom     = "Rhubarb-Resume-From"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderGateIncarnation is the announced incarnation of the agent that an
	// attempt or a fence is meant for. A fence proves "not run" only with it:
	// an earlier process of the agent may have run the attempt.
	HeaderGateIncarnation = "Rhubarb-Gate-Incarnation"
)

// ReasonBackendBroken is the gate's Rhubarb-Reason for an attempt whose backend
// broke the connection: the backend may have crashed.
const ReasonBackendBroken = "backend-broken"

// What a gate says of its backend after a broken attempt, in the answer to GET
// PathGateAttempts. It says nothing of attempts that did not break.
const (
	BackendPending = "pending" // not known yet
	BackendAlive   = "alive"   // the same process still answers
	BackendCrashed = "crashed"
)

// Paths of the gate, served by the agent on its gate address. A caller's path
// is appended to PathGateForward.
const (
	PathGateForward  = "/gate"
	PathGateAttempts = "/gate-attempts/" // {attempt}: GET state, POST fence, DELETE cancel
)

// Paths of the chunk server of an agent, of the weight store and of the origin.
const (
	PathChunks    = "/chunks/"    // {sha256 hex}: agents
	PathManifests = "/manifests/" // {sha256 hex}: agents, store, origin
	PathObjects   = "/objects/"   // {file name}, Range allowed: store, origin
)

// PathSession is the WebSocket endpoint of every process.
const PathSession = "/session"
