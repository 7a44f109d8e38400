package relay

import (
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// beginCheckInterval is how often a request that has not begun is checked against the bound of its
// weights. A newer version may be named after the request was sent, and an age that a replica
// states too short is corrected later.
const beginCheckInterval = 100 * time.Millisecond

// weightsRecord is what this entry knows of the weights of an endpoint at a send.
type weightsRecord struct {
	version uint64 // of the endpoint; zero if it has none
	// The other fields are for the log.
	required, requiredSoon uint64
	sentAt                 time.Time // when its connection was open; zero before
}

// model returns the model on whose weights a request runs: the one that it states, or the first one
// of the engines of its service if they have no such model.
func (q *request) model() string {
	if q.table == nil {
		return q.call.Model
	}
	s := q.table.Service(q.service)
	if s == nil || s.Engine == nil || len(s.Engine.Models) == 0 || slices.Contains(s.Engine.Models, q.call.Model) {
		return q.call.Model
	}
	return s.Engine.Models[0]
}

// recordWeights records what this entry knows of the weights of an endpoint when a request is sent
// to it.
func (h *handler) recordWeights(q *request) {
	r := q.weights
	if r == nil || r.version == 0 {
		return
	}
	r.required, r.requiredSoon = h.requiredVersion(q, h.weightsBound), h.requiredVersion(q, h.softWeightsBound)
	r.sentAt = time.Now()
}

// supersededAt returns when the weights of the endpoint that was selected for a request were
// superseded by what this entry knows now; zero if they were not.
func (h *handler) supersededAt(q *request) time.Time {
	if q.weights == nil || q.weights.version == 0 {
		return time.Time{}
	}
	return h.fleet.SupersededAt(q.model(), q.weights.version)
}

// mustNotRun reports whether a request may not be sent to the endpoint that was selected for it,
// because its weights are superseded, or not known although it is an engine.
func (h *handler) mustNotRun(q *request, now time.Time) bool {
	if q.weights != nil && q.weights.version == 0 {
		s := q.table.Service(q.service)
		return s != nil && s.Engine != nil
	}
	since := h.supersededAt(q)
	return !since.IsZero() && now.After(since.Add(h.weightsBound+maxSendDelay))
}

// beginsTooLate reports whether a request must have begun by now on the weights of the endpoint
// that was selected for it, and has not.
func (h *handler) beginsTooLate(q *request, now time.Time) bool {
	since := h.supersededAt(q)
	return q.inPrefill && !since.IsZero() && !now.Before(since.Add(h.beginBound))
}

// readDeadline returns the deadline for reads of the rest of an answer. A stream has none: the end
// of its context closes the connection.
func (q *request) readDeadline() time.Time {
	if q.route.Kind == routing.Stream {
		return time.Time{}
	}
	return q.deadline
}

// writeDeadline returns the deadline for the write of a request: its own, or if it comes first the
// time by which it must have begun.
func (h *handler) writeDeadline(q *request) time.Time {
	if since := h.supersededAt(q); !since.IsZero() && since.Add(h.beginBound).Before(q.deadline) {
		return since.Add(h.beginBound)
	}
	return q.deadline
}

// beginDeadline returns the deadline for reads up to the first event of an answer: readDeadline, or
// if it comes first the time by which the request must have begun, or has to be checked again.
func (h *handler) beginDeadline(q *request, now time.Time) time.Time {
	deadline := q.readDeadline()
	if q.weights == nil || q.weights.version == 0 || !q.inPrefill {
		return deadline
	}
	next := now.Add(beginCheckInterval)
	if since := h.supersededAt(q); !since.IsZero() && since.Add(h.beginBound).Before(next) {
		next = since.Add(h.beginBound)
	}
	if deadline.IsZero() || next.Before(deadline) {
		return next
	}
	return deadline
}

// readTimeoutResult returns the retry reason after a read timeout and the result to record for the
// endpoint.
func (h *handler) readTimeoutResult(q *request) (Reason, placement.Result) {
	if h.beginsTooLate(q, time.Now()) {
		h.metrics.abandoned.Inc()
		return RetryOldWeights, placement.Neutral
	}
	return RetryTimedOut, placement.TimedOut
}
