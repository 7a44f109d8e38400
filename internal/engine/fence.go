package engine

import "time"

const (
	// fenceTermShift leaves the low 40 bits for the start time in milliseconds
	// plus the number of orders since then. Counted from fenceEpoch, this is
	// enough until 2058.
	fenceTermShift = 40
	fenceMask      = 1<<fenceTermShift - 1
)

var fenceEpoch = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

// FencingTokens issues fencing tokens that increase across agent restarts and
// terms. It is not safe for concurrent use.
type FencingTokens struct {
	start uint64 // milliseconds since fenceEpoch
	last  uint64
}

// NewFencingTokens returns a token source for an agent that started at start.
func NewFencingTokens(start time.Time) *FencingTokens {
	return &FencingTokens{start: uint64(max(1, start.Sub(fenceEpoch).Milliseconds())) & fenceMask}
}

// Next returns a token that is higher than all earlier ones of this source, than
// the token that the engine reports, and than the tokens of agents that started
// earlier in the same term. The reported token matters if the clock was set back
// between two agent starts.
func (f *FencingTokens) Next(term, reported uint64) uint64 {
	f.last = max(term<<fenceTermShift|f.start, f.last+1, reported+1)
	return f.last
}
