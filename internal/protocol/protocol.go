// Package protocol holds what a caller's request, an endpoint's answer and an
// engine's report say, apart from the names that a platform gives to it.
package protocol

import (
	"net/http"
	"time"
)

// Call is what a caller's request says about itself.
type Call struct {
	ID  string // of this client attempt
	Key string // empty without one
	// Timeout is how long the caller waits from the request's arrival on; zero
	// when it does not say.
	Timeout time.Duration
	Model    string
	// Prompt names the parts of the prompt.
	Prompt       string
	PromptTokens int
	AnswerTokens int // the most that may be written
	LengthHint   int // the caller's guess of the tokens written; zero without one
	// LastEvent is the identifier of the last event that the caller has of a
	// stream that it resumes.
	LastEvent string
}

// Forwarding is what is told to the endpoint that a request is sent to.
type Forwarding struct {
	Endpoint     string
	Timeout     time.Duration
	Organisation string // empty for none
	LastEvent    string // empty: as the caller sent it
	// Version of the weights that the request must run on; zero for any.
	Version uint64
}

// Load is what an endpoint says of its work.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is what an endpoint's answer says about itself.
type Answer struct {
	RequestID string
	// NotRun is true for a refusal after which the request never runs.
	NotRun bool
	// Misdirected is true when another endpoint has the address, or the weights
	// have another version.
	Misdirected bool
	Signed      bool // carries the endpoint's signature
	Version     uint64
	Load        *Load
	// IdleTimeout is how long the endpoint keeps the connection idle; zero when it
	// does not say.
	IdleTimeout time.Duration
}

// HeaderCodec translates the headers between a caller and an endpoint.
type HeaderCodec interface {
	// Call reads a request's headers.
	Call(h http.Header) Call
	// Forward changes a copy of the caller's headers into those for an endpoint.
	Forward(h http.Header, f Forwarding)
	// Answer reads an answer's headers.
	Answer(status int, h http.Header) Answer
}

// ServedLayers is a range of layers that an engine holds.
type ServedLayers struct {
	From    int    `cbor:"1,keyasint"`
	To      int    `cbor:"2,keyasint"` // exclusive
	Version uint64 `cbor:"3,keyasint"`
}

// Report is an engine's state.
type Report struct {
	Layers  map[string][]ServedLayers // by model
	Loading bool
	Orders  uint64 // accepted since the engine started
	Running int
	Waiting int
	// Started is the engine's start, Unix milliseconds.
	Started uint64
}

// HasAllLayers reports whether the layers [0, total) of one version are all there.
func HasAllLayers(layers []ServedLayers, version uint64, total int) bool {
	have := make([]bool, total)
	for _, l := range layers {
		if l.Version != version {
			continue
		}
		for i := max(0, l.From); i < min(total, l.To); i++ {
			have[i] = true
		}
	}
	for _, h := range have {
		if !h {
			return false
		}
	}
	return total > 0
}

// NewestCompleteVersion returns the newest version of which all layers are held; zero for
// none.
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
