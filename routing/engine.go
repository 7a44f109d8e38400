package routing

import (
	"fmt"
	"math"
)

const (
	// causalShare accounts for causal attention: each token attends only to the tokens
	// before it.
	causalShare         = 0.5
	million             = 1e6
	thousand            = 1e3
	defaultStride       = 1
	defaultAnswerTokens = 100
)

// maxEngineNumber is far above any number that describes an engine. Products of two such
// numbers, and their sums over all endpoints, do not overflow.
const maxEngineNumber = math.MaxInt32

// validate returns an error that describes the first number out of range. E may be nil.
func (e *Engine) validate() error {
	if e == nil {
		return nil
	}
	for _, n := range []struct {
		name  string
		value float64
	}{
		{"slots", float64(e.Slots)},
		{"KV cache capacity", float64(e.KVCapacityTokens)},
		{"stride", float64(e.Stride)},
		{"step duration", e.StepMs},
		{"step duration per request", e.PerRequestMs},
		{"step duration per context token", e.PerThousandTokensMs},
		{"prefill rate", e.PrefillPerSecond},
		{"attention time", e.AttentionMs},
		{"prefill chunk", float64(e.PrefillChunkTokens)},
		{"number of layers", float64(e.Layers)},
		{"number of weight chunks", float64(e.WeightChunks)},
		{"size of a weight chunk", float64(e.WeightChunkBytes)},
		{"mean prompt length", float64(e.MeanPromptTokens)},
		{"mean answer length", float64(e.MeanAnswerTokens)},
	} {
		if !(n.value >= 0 && n.value <= maxEngineNumber) { // also true for NaN
			return fmt.Errorf("engine: %s %g is out of range", n.name, n.value)
		}
	}
	return nil
}

// PrefillMs returns the time in milliseconds to prefill prompts with the given total
// number of tokens.
func (e *Engine) PrefillMs(tokens int) float64 {
	if e.PrefillPerSecond <= 0 {
		return 0
	}
	n := float64(tokens)
	usual := float64(max(1, e.MeanPromptTokens))
	// Attention is computed within one prompt: a total above the mean length stands for
	// several prompts.
	return n/e.PrefillPerSecond*thousand + e.AttentionMs*n*min(n, usual)*causalShare/million
}

// DecodePassMs returns the time in milliseconds of the decode steps of a pass with the
// given number of requests in decode.
func (e *Engine) DecodePassMs(writers int) float64 {
	context := float64(e.MeanPromptTokens+e.MeanAnswerTokens/2) / thousand
	step := e.StepMs + float64(writers)*(e.PerRequestMs+context*e.PerThousandTokensMs)
	return step * float64(max(defaultStride, e.Stride))
}

// ServiceMs returns the time in milliseconds for which a request of mean length holds a
// slot when all slots are in use.
func (e *Engine) ServiceMs() float64 {
	answer := e.MeanAnswerTokens
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	passes := float64(answer) / float64(max(defaultStride, e.Stride))
	readPerPass := e.PrefillMs(e.MeanPromptTokens) * float64(e.Slots) / max(1, passes)
	return passes * (e.DecodePassMs(e.Slots) + readPerPass)
}
