// Package protocol defines the contents of a caller's request, an endpoint's answer
// and an engine's report, independent of the names that a platform uses for them.
package protocol

import (
	"net/http"
	"time"
)

// Call holds the parameters in the headers of a caller's request.
type Call struct {
	ID  string // request identifier of this attempt of the client
	Key string // API key; empty if none
	// Timeout is how long the caller waits from the request's arrival on; zero if
	// not given.
	Timeout time.Duration
	Model   string
	// PromptParts lists the parts of the prompt in order, by identifier. The last part
	// belongs to this request or its session alone.
	PromptParts  []string
	PromptTokens int
	AnswerTokens int // maximum length of the answer
	LengthHint   int // the caller's estimate of the answer's tokens; zero if not given
	// LastEvent is the identifier of the last event received of a stream that the
	// caller resumes.
	LastEvent string
}

// Forwarding holds the values that are set in the headers of a request to an endpoint.
type Forwarding struct {
	Endpoint     string
	Timeout      time.Duration
	Organisation string // empty if none
	LastEvent    string // empty to keep the value of the caller
	// Version is the version of the weights that the request must run on; zero for any.
	Version uint64
	// Priority is the rank of the request, 0 the highest. It is sent if Prioritized is true.
	Priority    int
	Prioritized bool
}

// Load is the load that an endpoint reports.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the endpoint now, relative to the usual time: 2 is half as
	// fast as usual. Zero means not stated.
	Pace float64
}

// Answer holds the values in the headers of an endpoint's answer.
type Answer struct {
	RequestID string
	// NotRun is true for a refusal that guarantees that the request is never run.
	NotRun bool
	// Misdirected is true if the address belongs to another endpoint, or the weights
	// have another version.
	Misdirected bool
	Signed      bool // carries the endpoint's signature
	Version     uint64
	Load        *Load
	// RateLimit is the number of requests per second that the endpoint accepts from all
	// entries together until it names another; nil if it names none.
	RateLimit *float64
	// RateLimitErr is set if the endpoint names a limit that cannot be decoded.
	RateLimitErr error
	// Pause is how long the endpoint wants no further request from this entry, as stated in a
	// refusal; zero if it states nothing.
	Pause time.Duration
	// PauseErr is set if the endpoint states a pause that cannot be decoded. Pause then is a
	// default.
	PauseErr error
	// IdleTimeout is how long the endpoint keeps an idle connection open; zero if not
	// given.
	IdleTimeout time.Duration
	// ColdFor is how long the endpoint remains cold; zero if it states nothing.
	ColdFor time.Duration
}

// HeaderCodec reads and writes the HTTP headers that a platform defines for requests
// and answers.
type HeaderCodec interface {
	// Call parses the headers of a request.
	Call(h http.Header) Call
	// Forward changes h, a copy of the caller's headers, into the headers for an
	// endpoint.
	Forward(h http.Header, f Forwarding)
	// Answer parses the headers of an answer.
	Answer(status int, h http.Header) Answer
}

// ServedLayers is a range of layers of one version that an engine has loaded.
type ServedLayers struct {
	From    int    `cbor:"1,keyasint"`
	To      int    `cbor:"2,keyasint"` // exclusive
	Version uint64 `cbor:"3,keyasint"`
}

// FirstVersion is the version of the weights that is in force until another is named.
// Engines may hold it when they start.
const FirstVersion = 1

// Report is the state that an engine reports.
type Report struct {
	Layers  map[string][]ServedLayers // by model
	Loading bool
	Orders  uint64 // accepted since the engine started
	Running int
	Waiting int
	// Pace is how long work takes at the engine now, relative to the usual time; zero if it is
	// not stated.
	Pace float64
	// Started is the start time of the engine in Unix milliseconds.
	Started uint64
}

// HasAllLayers reports whether layers covers [0, total) in the given version. The numbers
// come from other processes, so its cost depends on the number of ranges only.
func HasAllLayers(layers []ServedLayers, version uint64, total int) bool {
	covered := 0 // layers [0, covered) are present
	for covered < total {
		end := covered
		for _, l := range layers {
			if l.Version == version && l.From <= covered {
				end = max(end, l.To)
			}
		}
		if end == covered {
			return false
		}
		covered = end
	}
	return total > 0
}

// NewestCompleteVersion returns the newest version of which all layers are present,
// or zero if there is none.
func NewestCompleteVersion(layers []ServedLayers, total int) uint64 {
	var newest uint64
	for _, l := range layers {
		if l.Version > newest && HasAllLayers(layers, l.Version, total) {
			newest = l.Version
		}
	}
	return newest
}

// PieceList names the pieces of one version of a model's weights.
type PieceList struct {
	Model   string
	Version uint64
	Digests []string // hexadecimal SHA-256, in order
}
