package ledger

import "github.com/rhubarbhill/rhubarbhill/release"

// Command is one entry of the replicated log. Exactly one of the pointers is
// set. AtMs is the leader's clock when it proposed the command, in Unix
// milliseconds; it is the only clock that Apply sees.
type Command struct {
	AtMs     int64         `cbor:"1,keyasint"`
	Note     *SubmitNote   `cbor:"2,keyasint,omitempty"`
	Claim    *Claim        `cbor:"3,keyasint,omitempty"`
	Complete *Complete     `cbor:"4,keyasint,omitempty"`
	Crash    *ReportCrash  `cbor:"5,keyasint,omitempty"`
	Clear    *ClearSuspect `cbor:"6,keyasint,omitempty"`
	Lookup   *Lookup       `cbor:"7,keyasint,omitempty"`
	Routing  *SetRouting   `cbor:"8,keyasint,omitempty"`
	Weights  *NameWeights  `cbor:"9,keyasint,omitempty"`
}

// SetRouting submits a routing document that was validated. Document is stored
// as it is.
type SetRouting struct {
	Version  uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

// NameWeights names the version of a model's weights that must be in place.
type NameWeights struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// SubmitNote submits a release note in canonical form.
type SubmitNote struct {
	Number    uint64         `cbor:"1,keyasint"`
	Digest    release.Digest `cbor:"2,keyasint"`
	Canonical []byte         `cbor:"3,keyasint"`
}

// Claim reserves the single attempt of a non-idempotent call. Owner is the
// attempt identifier. RequestDigest covers method, path and body: the same key
// with another digest is a conflict. KeyTimeMs is when the caller first used
// the key, if it says so; zero otherwise.
type Claim struct {
	Organisation  string         `cbor:"1,keyasint"`
	Key           string         `cbor:"2,keyasint"`
	RequestDigest release.Digest `cbor:"3,keyasint"`
	Owner         string         `cbor:"4,keyasint"`
	KeyTimeMs     int64          `cbor:"5,keyasint,omitempty"`
}

// Lookup asks for the claim of a key and changes nothing. As an entry of the
// log its answer is not older than the question.
type Lookup struct {
	Organisation string `cbor:"1,keyasint"`
	Key          string `cbor:"2,keyasint"`
}

// Complete records the first result of a claimed call. With Outcome "not-run"
// the claim is released, so that the caller may send the call again.
type Complete struct {
	Organisation string `cbor:"1,keyasint"`
	Key          string `cbor:"2,keyasint"`
	Owner        string `cbor:"3,keyasint"`
	Outcome      string `cbor:"4,keyasint"`
	Status       int    `cbor:"5,keyasint,omitempty"`
	ContentType  string `cbor:"6,keyasint,omitempty"`
	Body         []byte `cbor:"7,keyasint,omitempty"` // at most MaxResultBytes
}

// MaxResultBytes bounds a recorded answer; a larger one is recorded as done
// without its body.
const MaxResultBytes = 64 << 10

// ReportCrash reports the fingerprints that were in flight when an engine
// crashed. Incident makes the report idempotent.
type ReportCrash struct {
	Incident     string   `cbor:"1,keyasint"`
	Endpoint     string   `cbor:"2,keyasint"`
	Fingerprints []string `cbor:"3,keyasint"`
	// Alone is true when the only request in flight was run alone.
	Alone bool `cbor:"4,keyasint,omitempty"`
}

// ClearSuspect ends the suspicion of a request that finished when run alone.
type ClearSuspect struct {
	Fingerprint string `cbor:"1,keyasint"`
}

// Status says how Apply answered a command.
type Status string

// Statuses of a Result.
const (
	StatusAccepted  Status = "accepted"  // note in the log, or claim granted to Owner
	StatusRefused   Status = "refused"   // Reason says why; nothing changed
	StatusDuplicate Status = "duplicate" // claim: held by another attempt, no result yet
	StatusCompleted Status = "completed" // claim: the first result is in Complete
	StatusConflict  Status = "conflict"  // same number or key with other content
	StatusExpired   Status = "expired"   // key past its retention, never run again
)

// Result is the answer to a command, equal on every replica.
type Result struct {
	Status   Status         `cbor:"1,keyasint" json:"status"`
	Reason   string         `cbor:"2,keyasint,omitempty" json:"reason,omitempty"`
	Number   uint64         `cbor:"3,keyasint,omitempty" json:"number,omitempty"` // accepted rival or expected number
	Digest   release.Digest `cbor:"4,keyasint,omitempty" json:"digest,omitempty"` // of the accepted rival
	Owner    string         `cbor:"5,keyasint,omitempty" json:"owner,omitempty"`
	Complete *Complete      `cbor:"6,keyasint,omitempty" json:"-"`
	// Repeated is true for a note that had been accepted before.
	Repeated bool `cbor:"7,keyasint,omitempty" json:"repeated,omitempty"`
}
