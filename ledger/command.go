package ledger

import "github.com/rhubarbhill/rhubarbhill/release"

// Command is an entry of the replicated log. Exactly one of the pointers is set.
// AtMs is the leader's time when it proposed the command, in Unix milliseconds,
// and the only clock that Apply uses.
type Command struct {
	AtMs       int64              `cbor:"1,keyasint"`
	Note       *SubmitNote        `cbor:"2,keyasint,omitempty"`
	Claim      *Claim             `cbor:"3,keyasint,omitempty"`
	Complete   *CompleteClaim     `cbor:"4,keyasint,omitempty"`
	Crash      *ReportCrash       `cbor:"5,keyasint,omitempty"`
	Clear      *ClearSuspect      `cbor:"6,keyasint,omitempty"`
	Lookup     *LookupClaim       `cbor:"7,keyasint,omitempty"`
	Routing    *SetRouting        `cbor:"8,keyasint,omitempty"`
	Weights    *SetWeightsVersion `cbor:"9,keyasint,omitempty"`
	Evacuation *SetEvacuation     `cbor:"10,keyasint,omitempty"`
}

// SetRouting submits a validated routing document, which is stored unchanged.
type SetRouting struct {
	Version  uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

// SetWeightsVersion sets the version of a model's weights that must be in place.
type SetWeightsVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// SubmitNote submits a release note in canonical form.
type SubmitNote struct {
	Number    uint64         `cbor:"1,keyasint"`
	Digest    release.Digest `cbor:"2,keyasint"`
	Canonical []byte         `cbor:"3,keyasint"`
}

// Claim reserves the only attempt of a non-idempotent call. Owner is the attempt
// identifier. RequestDigest covers method, path and body; the same key with
// another digest is a conflict. KeyTimeMs is when the caller first used the key,
// or 0 if the caller does not state it.
type Claim struct {
	Organisation  string         `cbor:"1,keyasint"`
	Key           string         `cbor:"2,keyasint"`
	RequestDigest release.Digest `cbor:"3,keyasint"`
	Owner         string         `cbor:"4,keyasint"`
	KeyTimeMs     int64          `cbor:"5,keyasint,omitempty"`
}

// LookupClaim reads the claim of a key. It goes through the log, which makes the read
// linearizable.
type LookupClaim struct {
	Organisation string `cbor:"1,keyasint"`
	Key          string `cbor:"2,keyasint"`
}

// CompleteClaim records the first result of a claimed call. Outcome "not-run" releases
// the claim instead, so that the caller may send the call again.
type CompleteClaim struct {
	Organisation string `cbor:"1,keyasint"`
	Key          string `cbor:"2,keyasint"`
	Owner        string `cbor:"3,keyasint"`
	Outcome      string `cbor:"4,keyasint"`
	Status       int    `cbor:"5,keyasint,omitempty"`
	ContentType  string `cbor:"6,keyasint,omitempty"`
	Body         []byte `cbor:"7,keyasint,omitempty"` // at most MaxResultBytes
}

// MaxResultBytes is the maximum size of a recorded response body. A call with a
// larger one is recorded without the body.
const MaxResultBytes = 64 << 10

// ReportCrash reports the fingerprints of the requests that were in flight when
// an engine crashed. Incident identifies the crash and makes the report
// idempotent.
type ReportCrash struct {
	Incident     string   `cbor:"1,keyasint"`
	Endpoint     string   `cbor:"2,keyasint"`
	Fingerprints []string `cbor:"3,keyasint"`
	// Exclusive is true when the only request in flight was running exclusively.
	Exclusive bool `cbor:"4,keyasint,omitempty"`
}

// ClearSuspect clears a suspect that completed an exclusive run.
type ClearSuspect struct {
	Fingerprint string `cbor:"1,keyasint"`
}

// Status is the status of the result of a command.
type Status string

// Statuses of a Result.
const (
	StatusAccepted  Status = "accepted"  // note accepted, or claim granted to Owner
	StatusRefused   Status = "refused"   // nothing changed; Reason gives the cause
	StatusDuplicate Status = "duplicate" // claim held by another attempt, no result yet
	StatusCompleted Status = "completed" // claim completed; Complete is the first result
	StatusConflict  Status = "conflict"  // same number or key with other content, or overtaken by a newer order
	StatusExpired   Status = "expired"   // retention of the key has passed; the call never runs again
)

// Result is the result of a command, equal on every replica.
type Result struct {
	Status   Status         `cbor:"1,keyasint" json:"status"`
	Reason   string         `cbor:"2,keyasint,omitempty" json:"reason,omitempty"`
	Number   uint64         `cbor:"3,keyasint,omitempty" json:"number,omitempty"` // number of the accepted note, or expected number
	Digest   release.Digest `cbor:"4,keyasint,omitempty" json:"digest,omitempty"` // of the accepted note with this number
	Owner    string         `cbor:"5,keyasint,omitempty" json:"owner,omitempty"`
	Complete *CompleteClaim `cbor:"6,keyasint,omitempty" json:"-"`
	// Repeated is true for a note, routing document or weights version that had
	// been accepted before or is not newer than the accepted one, and for the evacuation
	// of a zone, or its end, that is already in force.
	Repeated bool `cbor:"7,keyasint,omitempty" json:"repeated,omitempty"`
}
