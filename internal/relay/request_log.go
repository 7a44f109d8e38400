package relay

import (
	"time"

	"github.com/apex/log"
)

// recordEnd logs the end of a request and updates the metrics.
func (h *handler) recordEnd(q *request, outcome string, reason Reason, status int) {
	now := time.Now()
	fields := log.Fields{
		"request": q.call.ID, "outcome": outcome, "ms": now.Sub(q.arrived).Milliseconds(),
		"endpoint": q.record.endpoint, "sends": q.sends, "not_run": q.notRun,
		"predicted_ms": q.record.predictedTTFT.Milliseconds(), "running": q.record.load.Running, "unread": q.record.load.PrefillTokens,
		"late": q.late, "waited_ms": q.record.queueWait.Milliseconds(), "prompt": q.call.PromptTokens,
	}
	if q.route != nil {
		fields["route"], fields["service"] = q.route.Name, q.service
		h.metrics.observe(q.route.Kind, outcome, now.Sub(q.arrived), q.record.firstEvent)
	}
	if q.record.broker != "" {
		fields["broker"], fields["asks"] = q.record.broker, q.record.slotRequests
		if q.record.slotInterval > 0 {
			fields["slot_interval_ms"], fields["ahead"] = q.record.slotInterval.Milliseconds(), q.record.ahead
		}
	}
	if q.spent > 0 {
		fields["spent_ms"] = q.spent.Milliseconds()
	}
	if q.regions.Bound {
		fields["regions"] = q.regions.Names
	}
	if q.table != nil {
		fields["routing"] = q.table.Document.Version
	}
	if q.record.firstEvent > 0 {
		fields["first_ms"] = q.record.firstEvent.Milliseconds()
		if q.record.events > 0 {
			fields["events"], fields["answer_tokens"], fields["hint"] = q.record.events, q.call.AnswerTokens, q.call.LengthHint
		}
		if q.record.maxEventGap > 0 {
			fields["pause_ms"] = q.record.maxEventGap.Milliseconds()
		}
	}
	if q.record.rateLimit != nil {
		fields["rate_limit"] = *q.record.rateLimit
	}
	if len(q.record.retries) > 0 {
		fields["retries"], fields["tried"] = q.record.retries, q.tried
	}
	if q.record.budgetRefused {
		fields["budget_refused"] = true
	}
	if q.record.notRepeated != "" && outcome != "done" {
		fields["not_repeated"] = string(q.record.notRepeated)
	}
	h.addWeights(fields, q)
	if d := h.drain.Load(); d != nil {
		fields["drain"], fields["drain_ms"] = d.phase(), now.Sub(d.begin).Milliseconds()
	}
	if q.record.quarantined != "" {
		fields["part_id"] = q.record.quarantined
	}
	if reason != "" {
		fields["reason"], fields["status"] = string(reason), status
		fields["left_ms"] = q.timeLeft().Milliseconds()
		if q.sends > 0 {
			fields["silent_ms"] = q.silence(now).Milliseconds()
		}
	}
	h.log.WithFields(fields).Info("request_ended")
}

// addWeights adds the fields of the last send if it was to weights that this entry knows to be
// superseded.
func (h *handler) addWeights(fields log.Fields, q *request) {
	r := q.weights
	if r == nil || r.sentAt.IsZero() {
		return
	}
	since := h.fleet.SupersededAt(q.model(), r.version)
	if since.IsZero() {
		return
	}
	fields["version"], fields["required"], fields["required_soon"] = r.version, r.required, r.requiredSoon
	fields["superseded_ms"] = r.sentAt.Sub(since).Milliseconds()
	fields["begin_left_ms"] = since.Add(h.beginBound).Sub(r.sentAt).Milliseconds()
}
