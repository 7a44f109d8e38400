package admission

import "time"

// Defaults of a RetryBudget.
const (
	DefaultRetryRatio     = 0.1
	DefaultRetryPerSecond = 1.0
	DefaultRetryBurst     = 20.0
)

// RetryBudget limits retries to a share of the requests, so that retries do
// not multiply an overload.
type RetryBudget struct {
	// Ratio is the number of retries earned by each request. Default 0.1. A
	// higher ratio masks more failures and adds more load during them.
	Ratio float64
	// PerSecond is earned with time, so that an entry with few requests can
	// retry at all. Default 1.
	PerSecond float64
	// Burst bounds what is saved up. Default 20.
	Burst float64

	tokens float64
	last   time.Time
}

// NewRetryBudget returns a full budget with the given ratio.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{
		Ratio: ratio, PerSecond: DefaultRetryPerSecond, Burst: DefaultRetryBurst, tokens: DefaultRetryBurst,
	}
}

// Earn records a first attempt.
func (b *RetryBudget) Earn() { b.tokens = min(b.Burst, b.tokens+b.Ratio) }

// Take spends one retry, or reports that none is left.
func (b *RetryBudget) Take(now time.Time) bool {
	if !b.last.IsZero() {
		b.tokens = min(b.Burst, b.tokens+b.PerSecond*max(0, now.Sub(b.last).Seconds()))
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
