package placement

import "time"

// Result is the outcome of a request, as evidence of the health of its endpoint.
type Result uint8

// Results of a request.
const (
	Neutral       Result = iota // no evidence, e.g. the caller disconnected
	Success                     // complete answer
	Refused                     // the endpoint refused the request without running it
	ConnectFailed               // no connection
	Broken                      // the answer was cut short or malformed
	TimedOut                    // no data before the timeout
	ErrorStatus                 // the endpoint returned an error status
)

// String returns the name of the result in log fields.
func (r Result) String() string {
	names := [...]string{"neutral", "success", "refused", "failed", "broken", "silent", "error-status"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

const (
	// failureWeight is the weight of the newest result in the moving average of
	// failures: about the last ten results count.
	failureWeight = 0.2
	// ejectRate is the failure rate from which an endpoint is ejected. Plain services
	// that work normally fail up to about one request in six.
	ejectRate = 0.45
	// errorWeight is the weight of an error status relative to a failed connection.
	errorWeight = 0.7

	ejectFirst   = 500 * time.Millisecond
	ejectMaximum = 6 * time.Second
	// refusedPause is how long an endpoint gets no requests after it refused one: about
	// the length of a pass, after which it may have a free slot.
	refusedPause = 100 * time.Millisecond
	// crashWindow is the time between two broken answers within which the endpoint is
	// assumed to have crashed: a crash ends all its connections at once.
	crashWindow = 50 * time.Millisecond
)

// health is a circuit breaker for one endpoint, driven by the results of requests.
type health struct {
	failureRate float64 // moving average, 0 to 1
	ejections   int     // consecutive
	pausedUntil time.Time
	// probation is set after an ejection until a request succeeds; meanwhile the
	// endpoint gets one request at a time.
	probation bool
	brokenAt  time.Time // time of the last broken answer
	// silentUntil is the end of an ejection for a silence that has not ended; zero for none.
	silentUntil time.Time
}

// obstacle returns why an endpoint with so many running requests may get no other.
func (h *health) obstacle(running int, now time.Time) Obstacle {
	switch {
	case now.Before(h.pausedUntil) && h.probation:
		return ObstacleEjected
	case now.Before(h.pausedUntil):
		return ObstacleRefused
	case h.probation && running > 0:
		return ObstacleProbation
	}
	return ObstacleNone
}

// observe records a result and returns how long the endpoint is ejected for it.
func (h *health) observe(r Result, now time.Time) time.Duration {
	value := 0.0
	switch r {
	case Neutral:
		return 0
	case Refused:
		h.pausedUntil = later(h.pausedUntil, now.Add(refusedPause))
		return 0
	case Success:
		h.probation, h.ejections = false, 0
	case ErrorStatus:
		value = errorWeight
	case ConnectFailed, Broken, TimedOut:
		value = 1
	}
	crashed := false
	if r == Broken {
		crashed = now.Sub(h.brokenAt) < crashWindow
		h.brokenAt = now
	}
	h.failureRate += failureWeight * (value - h.failureRate)
	if r != ConnectFailed && r != TimedOut && !crashed && h.failureRate < ejectRate && !(value == 1 && h.probation) {
		return 0
	}
	if value == 0 || now.Before(h.pausedUntil) {
		return 0
	}
	pause := min(ejectFirst<<min(h.ejections, 8), ejectMaximum)
	h.ejections++
	h.probation = true
	h.pausedUntil = now.Add(pause)
	return pause
}

// observeSilence records that the endpoint is silent and returns how long it is ejected for it.
func (h *health) observeSilence(now time.Time) time.Duration {
	ejected := h.observe(TimedOut, now)
	if ejected > 0 {
		h.silentUntil = h.pausedUntil
	}
	return ejected
}

// endSilence ends an ejection for a silence: the endpoint has sent again.
func (h *health) endSilence() {
	if h.silentUntil.IsZero() {
		return
	}
	if h.pausedUntil.Equal(h.silentUntil) {
		h.pausedUntil = time.Time{}
	}
	h.probation, h.ejections, h.silentUntil = false, max(0, h.ejections-1), time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
