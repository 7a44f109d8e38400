package routing_test

import (
	"errors"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Guards against accepting engine numbers with which every process that uses the document
// computes sizes and times that are negative or overflow.
func TestValidateRefusesOddEngineNumbers(t *testing.T) {
	engine := func() *routing.Engine {
		return &routing.Engine{
			Slots: 16, KVCapacityTokens: 1180000, Stride: 5, StepMs: 8.87, PerRequestMs: 0.0388, PerThousandTokensMs: 0.0227,
			PrefillPerSecond: 19100, AttentionMs: 1.47, PrefillChunkTokens: 2048, Layers: 16, WeightChunks: 64, WeightChunkBytes: 32768,
			MeanPromptTokens: 977, MeanAnswerTokens: 94,
		}
	}
	d := valid()
	d.Services[1].Engine = engine()
	is.New(t).NoErr(d.Validate())
	for name, change := range map[string]func(e *routing.Engine){
		"negative layers": func(e *routing.Engine) { e.Layers = -1 },
		"huge layers":     func(e *routing.Engine) { e.Layers = math.MaxInt },
		"negative slots":  func(e *routing.Engine) { e.Slots = -16 },
		"huge slots":      func(e *routing.Engine) { e.Slots = math.MaxInt },
		"negative stride": func(e *routing.Engine) { e.Stride = math.MinInt },
		"negative chunks": func(e *routing.Engine) { e.WeightChunks = -64 },
		"huge chunk":      func(e *routing.Engine) { e.PrefillChunkTokens = math.MaxInt },
		"negative prompt": func(e *routing.Engine) { e.MeanPromptTokens = -1 },
		"huge answer":     func(e *routing.Engine) { e.MeanAnswerTokens = math.MaxInt },
		"negative step":   func(e *routing.Engine) { e.StepMs = -1 },
		"huge step":       func(e *routing.Engine) { e.StepMs = math.MaxFloat64 },
		"not a number":    func(e *routing.Engine) { e.AttentionMs = math.NaN() },
		"negative rate":   func(e *routing.Engine) { e.PrefillPerSecond = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := valid()
			d.Services[1].Engine = engine()
			change(d.Services[1].Engine)
			is.True(errors.Is(d.Validate(), routing.ErrInvalid))
		})
	}
}

// Guards against accepting limits, durations and weights that no deployment means: sums
// of weights that overflow send every request to one service, and durations above this
// one overflow where they are added.
func TestValidateRefusesOddRouteNumbers(t *testing.T) {
	for name, change := range map[string]func(d *routing.Document){
		"huge timeout":            func(d *routing.Document) { d.Routes[0].Timeout = math.MaxInt64 },
		"negative objective":      func(d *routing.Document) { d.Routes[0].Objective = -1 },
		"huge objective":          func(d *routing.Document) { d.Routes[0].Objective = math.MaxInt64 },
		"negative gap":            func(d *routing.Document) { d.Routes[0].GapObjective = -1 },
		"huge weight":             func(d *routing.Document) { d.Routes[0].Targets[0].Weight = math.MaxInt },
		"weights that overflow":   func(d *routing.Document) { d.Routes[1].Targets[0].Weight, d.Routes[1].Targets[1].Weight = 1<<62, 1<<62 },
		"negative connections":    func(d *routing.Document) { d.Services[0].MaxConnections = -1 },
		"negative header bytes":   func(d *routing.Document) { d.Limits.HeaderBytes = -1 },
		"negative body bytes":     func(d *routing.Document) { d.Limits.BodyBytes = -1 },
		"negative header timeout": func(d *routing.Document) { d.Limits.HeaderTimeout = -1 },
		"huge idle timeout":       func(d *routing.Document) { d.Limits.IdleTimeout = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := valid()
			change(d)
			is.True(errors.Is(d.Validate(), routing.ErrInvalid))
		})
	}
}
