package admission

import "time"

// Defaults of a RetryBudget.
const (
	DefaultRetryRatio     = 0.1
	DefaultRetryPerSecond = 1.0
	DefaultRetryBurst     = 20.0
)

// RetryBudget is a token bucket that limits retries to a share of the requests,
// so that retries do not amplify an overload. The zero value with a Ratio and a Burst is an
// empty budget. It suits processes that share a bound: budgets that are full at the start would
// add up over restarts.
type RetryBudget struct {
	// Ratio is the number of tokens added by each request. Default 0.1. A
	// higher ratio hides more failures from callers but adds more load during
	// failures.
	Ratio float64
	// PerSecond is the number of tokens added each second, so that an entry
	// with few requests can retry too. Default 1.
	PerSecond float64
	// Burst is the capacity of the bucket. Default 20.
	Burst float64

	tokens float64
	last   time.Time // when tokens were last added by PerSecond
}

// NewRetryBudget returns a full budget with the given ratio.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{
		Ratio: ratio, PerSecond: DefaultRetryPerSecond, Burst: DefaultRetryBurst, tokens: DefaultRetryBurst,
	}
}

// Deposit adds the tokens of a first attempt and returns how many were added.
func (b *RetryBudget) Deposit() float64 {
	before := b.tokens
	b.tokens = min(b.Burst, b.tokens+b.Ratio)
	return max(0, b.tokens-before)
}

// TryWithdraw removes one token for a retry. It returns false if none is left.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	if !b.last.IsZero() {
		b.tokens += b.PerSecond * max(0, now.Sub(b.last).Seconds())
	}
	b.tokens, b.last = min(b.Burst, b.tokens), now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return adds a token again that was withdrawn for a retry that was not sent.
func (b *RetryBudget) Return() { b.tokens = min(b.Burst, b.tokens+1) }
