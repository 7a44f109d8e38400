package engine

import "time"

const (
	// fenceTermShift leaves 40 bits for the start in milliseconds and the
	// orders since: enough until 2058 from fenceEpoch on.
	fenceTermShift = 40
	fenceMask      = 1<<fenceTermShift - 1
)

var fenceEpoch = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

// FencingTokens issues fencing tokens that increase over agent restarts and terms. It
// is not safe for concurrent use.
type FencingTokens struct {
	start uint64 // milliseconds since fenceEpoch
	last  uint64
}

// NewFencingTokens returns a source of tokens for an agent that started at start.
func NewFencingTokens(start time.Time) *FencingTokens {
	return &FencingTokens{start: uint64(max(1, start.Sub(fenceEpoch).Milliseconds())) & fenceMask}
}

// Next returns a token above all earlier ones, above the one that the engine
// reports, and above those of agents started before within the same term. The
// engine's report covers a clock that was set back.
func (f *FencingTokens) Next(term, reported uint64) uint64 {
	f.last = max(term<<fenceTermShift|f.start, f.last+1, reported+1)
	return f.last
}
