package relay

import (
	"math/rand/v2"
	"time"
)

// Reason states why a request was refused, retried, or ended without a complete answer.
// Values appear in logs and metric labels and must not change.
type Reason string

// Reasons for refusing or ending a request.
const (
	// Starting means that the entry has just started and waits for the quarantined parts
	// that other entries know of.
	Starting  Reason = "starting"
	NoRouting Reason = "no-routing"
	// Draining means that the request arrived late in a drain and could have outlasted it.
	Draining Reason = "draining"
	// GracePeriodOver means that the request outlasted the drain.
	GracePeriodOver Reason = "grace-period-over"
	NoRoute         Reason = "no-route"
	UnknownKey      Reason = "unknown-key"
	BodyTooLarge    Reason = "body-too-large"
	BadBody         Reason = "bad-body"
	// MemoryBudget means that the entry holds as many bytes for callers as it may.
	MemoryBudget Reason = "memory-budget"
	// BodyTooSlow means that the body of the request did not arrive in time.
	BodyTooSlow Reason = "body-too-slow"
	NoEndpoint  Reason = "no-endpoint"
	NoSlot      Reason = "no-slot"
	// Displaced means that the request was queued and more urgent ones came before it, so that
	// it would have got no slot in time.
	Displaced        Reason = "displaced"
	EndpointsRefused Reason = "endpoints-refused"
	// RateLimited means that the endpoints with room have reached the request rate that
	// they accept.
	RateLimited Reason = "rate-limited"
	// EndpointsPaused means that all endpoints want no requests for longer than the request
	// may wait.
	EndpointsPaused  Reason = "endpoints-paused"
	CallerGone       Reason = "caller-gone"
	DeadlineExceeded Reason = "time-over"
	AnswerLost       Reason = "answer-lost"
	StreamBroken     Reason = "stream-broken"
	// CrashSuspect means that a request that may crash its endpoint could not wait until
	// another one of the kind had begun.
	CrashSuspect Reason = "crash-suspect"
	// Quarantined means that requests with a part of this one crash endpoints.
	Quarantined   Reason = "quarantined"
	EndpointError Reason = "endpoint-error"
	// NoAllowedRegion means that no endpoint is in a region in which the request may be served.
	NoAllowedRegion Reason = "no-allowed-region"
)

// Reasons for a retry.
const (
	RetryNotSent     Reason = "not-sent"
	RetryNotRun      Reason = "not-run"
	RetryBroken      Reason = "broken"
	RetryTimedOut    Reason = "silent"
	RetryErrorStatus Reason = "error-status"
	// RetryOldWeights means that the request did not begin in time on weights that were
	// superseded.
	RetryOldWeights Reason = "old-weights"
	// RetryEndpointLeft means that the endpoint had left the fleet, or announced that it
	// will, when the request was about to be sent.
	RetryEndpointLeft Reason = "endpoint-left"
	// RetryZoneEvacuated means that the zone of the endpoint was evacuated when the request was
	// about to be sent.
	RetryZoneEvacuated Reason = "zone-evacuated"
	// RetryEndpointPaused means that the endpoint wanted no requests when the request was
	// about to be sent.
	RetryEndpointPaused Reason = "endpoint-paused"
	// RetryRegionNotAllowed means that the endpoint was in none of the allowed regions when the
	// request was about to be sent.
	RetryRegionNotAllowed Reason = "region-not-allowed"
	// RetryPermitExpired means that the permit of the broker was too old when the request was
	// about to be sent.
	RetryPermitExpired Reason = "permit-expired"
)

// Reasons for not sending a request again that may have run, besides those for which it is
// refused a slot.
const (
	// NotRepeatable means that the route does not allow it.
	NotRepeatable Reason = "not-repeatable"
	// AttemptsUsed means that it was sent as often as the route allows.
	AttemptsUsed Reason = "attempts-used"
	// BudgetUsed means that the retry budget of the service had no token left.
	BudgetUsed Reason = "budget-used"
	// NoEventID means that the stream cannot be resumed, since no event had an ID.
	NoEventID Reason = "no-event-id"
)

// RefusalReasons lists the reasons for which a request ends without a complete answer
// from an endpoint.
func RefusalReasons() []Reason {
	return []Reason{
		Starting, NoRouting, Draining, GracePeriodOver, NoRoute, UnknownKey, BodyTooLarge, BadBody, MemoryBudget, BodyTooSlow, NoEndpoint, NoSlot, Displaced, EndpointsRefused, RateLimited, EndpointsPaused,
		CallerGone, DeadlineExceeded, AnswerLost, StreamBroken, CrashSuspect, Quarantined, EndpointError, NoAllowedRegion,
	}
}

// RetryReasons lists the reasons for a retry.
func RetryReasons() []Reason {
	return []Reason{RetryNotSent, RetryNotRun, RetryBroken, RetryTimedOut, RetryErrorStatus, RetryOldWeights, RetryEndpointLeft, RetryZoneEvacuated, RetryEndpointPaused, RetryRegionNotAllowed, RetryPermitExpired}
}

// NotRepeatedReasons lists the reasons for not sending a request again that may have run.
func NotRepeatedReasons() []Reason {
	return append([]Reason{NotRepeatable, AttemptsUsed, BudgetUsed, NoEventID}, RefusalReasons()...)
}

// refusal is a final answer by the entry itself.
type refusal struct {
	status     int
	reason     Reason
	retryAfter time.Duration // value of Retry-After; zero sends none
}

// spread adds jitter to Retry-After, so that callers do not return together.
func (r *refusal) spread() *refusal {
	if r != nil {
		r.retryAfter += rand.N(retryAfterJitter)
	}
	return r
}
