package admission

import "time"

const (
	// maxTimeouts is the maximum number of distinct times that are counted.
	maxTimeouts = 32
	// countWindow is the number of requests at which all counts are halved, so
	// that recent requests weigh more.
	countWindow = 1024
	// initialTimeoutShare is the share of all requests that must state a time for it to
	// count as an initial timeout.
	initialTimeoutShare = 0.1
	// minRequests is the number of requests needed before any is classified as
	// a retry.
	minRequests = 20
)

// RetryDetector distinguishes the retries of callers from first attempts by the
// remaining time that requests state. Callers of the same kind start with the same
// timeout, to the millisecond; a caller that retries after a refusal has less time
// left, of any value. An entry therefore needs no knowledge of refusals by other
// entries.
//
// If initial timeouts vary too much for one to be common, every request counts as
// a first attempt.
type RetryDetector struct {
	// MinRetryDelay is the shortest time after which a caller retries. A request
	// that states less than an initial timeout by a smaller difference is a first
	// attempt.
	MinRetryDelay time.Duration

	counts map[time.Duration]int
	total  int
}

// Observe records the remaining time that a request states and returns the time that
// its caller spent on earlier attempts, zero for a first attempt.
func (a *RetryDetector) Observe(left time.Duration) time.Duration {
	if left <= 0 {
		return 0 // the request states none
	}
	left = left.Truncate(time.Millisecond)
	a.count(left)
	if a.total < minRequests {
		return 0
	}
	var spent time.Duration
	for value, n := range a.counts {
		if float64(n) < initialTimeoutShare*float64(a.total) || value < left {
			continue
		}
		if value == left {
			return 0
		}
		if since := value - left; since >= a.MinRetryDelay && (spent == 0 || since < spent) {
			spent = since
		}
	}
	return spent
}

// count increments the count of a value. If the table is full, it decrements all
// counts instead, so that frequent values remain (Misra-Gries).
func (a *RetryDetector) count(value time.Duration) {
	if a.counts == nil {
		a.counts = map[time.Duration]int{}
	}
	a.total++
	if a.total >= countWindow {
		a.total /= 2
		for v := range a.counts {
			a.counts[v] /= 2
		}
	}
	if _, known := a.counts[value]; known || len(a.counts) < maxTimeouts {
		a.counts[value]++
		return
	}
	for v := range a.counts {
		if a.counts[v]--; a.counts[v] <= 0 {
			delete(a.counts, v)
		}
	}
}
