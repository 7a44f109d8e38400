package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/quarantine"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

const (
	// streamSilence is how long a stream may be without events until another endpoint is
	// asked to continue it. A pass of a fully loaded engine takes up to 0.5 s; callers
	// abandon a stream after 2 s or more without events.
	streamSilence = 1500 * time.Millisecond
	// maxNotSent is the number of attempts that did not run after which a request that
	// could not be sent is no longer retried.
	maxNotSent = 4
	// maxNotRun is the number of attempts that did not run after which a request that
	// an endpoint refused is no longer retried.
	maxNotRun = 3
	// maxBufferedAnswer limits the answers that are read completely before they are
	// passed on, so that the request can be retried if the connection breaks.
	maxBufferedAnswer = 1 << 20
)

// fleetState is the state of the fleet that a handler needs.
type fleetState interface {
	// Table returns the routing table in force, or nil.
	Table() *routing.Table
	// RequiredWeights returns the newest version of a model's weights that was named at
	// least age ago, or zero for none.
	RequiredWeights(model string, age time.Duration) uint64
	// SupersededAt returns when a version of a model's weights newer than the given one
	// was named, or the zero time if none was.
	SupersededAt(model string, version uint64) time.Time
	// HasLeft reports whether an incarnation of an endpoint has deregistered.
	HasLeft(id string, incarnation uint64) bool
	// IsEvacuated reports whether the endpoints of a zone must get no requests.
	IsEvacuated(zone string) bool
	// NamedWeights lists the named versions of a model that are still remembered.
	NamedWeights(model string) []fleetclient.NamedVersion
}

// handler serves the requests of callers.
type handler struct {
	protocol   protocol.HeaderCodec
	fleet      fleetState
	dispatcher *dispatcher
	guard      *crashGuard
	conns      *connPool
	budget     *network.Budget // nil for no limit
	metrics    *relayMetrics
	log        log.Interface
	zone       string
	regions    map[string]bool // that zones belong to, see knownRegions
	// Limits on the time since newer weights were named. After softWeightsBound, a
	// request is sent to older weights only if first events there arrive as predicted;
	// after weightsBound it is not sent to them at all; after beginBound it must not
	// begin on them.
	softWeightsBound, weightsBound, beginBound time.Duration
	// maxPause limits the pauses that endpoints state.
	maxPause time.Duration
	start    startPhase
	// drain is nil until the drain starts.
	drain atomic.Pointer[drainPhase]
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, refused := h.admit(w, r)
	defer func() { h.budget.Release(q.answerBytes) }()
	if refused == nil {
		refused = h.refuseLate(q)
	}
	if refused == nil {
		ctx, cancel := context.WithDeadline(q.ctx, q.deadline)
		defer cancel()
		q.ctx = ctx
		h.metrics.retryBudget.WithLabelValues(q.service, budgetEarned).Add(h.dispatcher.depositRetry(q.service))
		refused = h.serve(w, q)
		if refused != nil && q.sends > 0 && impliesNotRun(refused.status) {
			refused = &refusal{status: http.StatusBadGateway, reason: AnswerLost}
		}
		if refused != nil && q.cutByStop() {
			refused.reason = GracePeriodOver
		}
	}
	if refused == nil {
		h.recordEnd(q, "done", "", http.StatusOK)
		return
	}
	h.refuse(w, q, *refused)
}

// refuse sends the entry's own final answer.
func (h *handler) refuse(w http.ResponseWriter, q *request, r refusal) {
	h.metrics.refused.Inc(r.reason)
	h.recordEnd(q, "refused", r.reason, r.status)
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(string(r.reason) + "\n")) // fails only if the caller disconnected
}

// serve sends a request to endpoints until there is a final answer. It returns nil if
// the answer was passed on.
func (h *handler) serve(w http.ResponseWriter, q *request) *refusal {
	var lastFailure *bufferedAnswer // error answer of an endpoint, passed on if no retry succeeds
	withdrawn := false              // a retry for which nothing was sent yet
	for {
		choice, refused := h.place(q, 0)
		if refused != nil {
			if withdrawn {
				h.returnRetry(q)
			}
			if lastFailure != nil {
				return lastFailure.write(w)
			}
			return refused
		}
		result, retryReason := h.send(w, q, choice)
		if result.failure != nil {
			lastFailure = result.failure
		}
		if retryReason == "" {
			return result.refusal
		}
		withdrawn = withdrawn && q.unsent
		before := q.record.withdrawn
		if !h.mayRetry(q, retryReason) {
			if withdrawn {
				h.returnRetry(q)
			}
			if lastFailure != nil {
				return lastFailure.write(w)
			}
			return result.refusal
		}
		withdrawn = withdrawn || q.record.withdrawn > before
		q.record.retries = append(q.record.retries, string(retryReason))
		h.metrics.retried.Inc(retryReason)
	}
}

// result is the result of one attempt.
type result struct {
	refusal *refusal        // final answer unless the request is retried
	failure *bufferedAnswer // error answer of the endpoint
}

// mayRetry reports whether a request may be sent to another endpoint. A request that
// may have run is retried only if the route allows it.
func (h *handler) mayRetry(q *request, reason Reason) bool {
	if q.ctx.Err() != nil {
		return false
	}
	switch reason {
	case RetryNotSent, RetryEndpointLeft, RetryZoneEvacuated, RetryEndpointPaused, RetryRegionNotAllowed, RetryPermitExpired:
		return q.notRun < maxNotSent
	case RetryOldWeights:
		if q.unsent {
			return q.notRun < maxNotSent
		}
		return h.mayRepeat(q)
	case RetryNotRun:
		return q.notRun < maxNotRun && h.withdrawRetry(q)
	default:
		return h.mayRepeat(q)
	}
}

// mayRepeat reports whether a request that may have run may be sent again.
func (h *handler) mayRepeat(q *request) bool {
	reason := Reason("")
	switch {
	case !q.route.Repeatable():
		reason = NotRepeatable
	case q.sends >= q.route.MaxAttempts:
		reason = AttemptsUsed
	case !h.withdrawRetry(q):
		reason = BudgetUsed
	}
	h.recordNotRepeated(q, reason)
	return reason == ""
}

// recordNotRepeated records why a request is not sent again, or that it is if the reason is
// empty.
func (h *handler) recordNotRepeated(q *request, reason Reason) {
	if reason != "" && reason != q.record.notRepeated { // repeated by each search of a silent stream
		h.metrics.notRepeated.Inc(reason)
	}
	q.record.notRepeated = reason
}

// withdrawRetry takes one retry from the budget of the request's service and reports whether
// there was one.
func (h *handler) withdrawRetry(q *request) bool {
	ok := h.dispatcher.withdrawRetry(q.service)
	event := budgetRefused
	if ok {
		event = budgetSpent
		q.record.withdrawn++
	}
	h.metrics.retryBudget.WithLabelValues(q.service, event).Inc()
	q.record.budgetRefused = q.record.budgetRefused || !ok
	return ok
}

// returnRetry returns the retry that was withdrawn last to the budget: nothing was sent.
func (h *handler) returnRetry(q *request) {
	h.dispatcher.returnRetry(q.service)
	h.metrics.retryBudget.WithLabelValues(q.service, budgetReturned).Inc()
}

// place selects an endpoint, waiting briefly for a slot. The preferred version of the
// weights is zero for no preference.
func (h *handler) place(q *request, preferred uint64) (placement.Choice, *refusal) {
	suspicion := h.guard.check(q, time.Now())
	if suspicion.Quarantined {
		return placement.Choice{}, q.quarantineRefusal(suspicion)
	}
	before := time.Now()
	r := h.placementRequest(q, preferred, suspicion)
	choice, refused := h.dispatcher.place(q, r)
	q.placedAt = time.Now()
	q.record.queueWait += q.placedAt.Sub(before)
	if refused != nil {
		return choice, refused
	}
	if suspicion = h.guard.check(q, q.placedAt); suspicion.Quarantined { // while it waited
		h.dispatcher.end(q, choice, placement.Neutral)
		return choice, q.quarantineRefusal(suspicion)
	}
	q.proven, q.unsent, q.silent = false, false, false
	q.record.endpoint, q.record.predictedTTFT, q.record.load = choice.ID, choice.TTFT, choice.Load
	q.record.incarnation = choice.Incarnation
	q.weights = &weightsRecord{version: choice.WeightsVersion}
	return choice, nil
}

// placementRequest returns the request for package placement with what this entry knows now.
func (h *handler) placementRequest(q *request, preferred uint64, suspicion quarantine.PartVerdict) placement.Request {
	version, softVersion := h.requiredVersion(q, h.weightsBound), h.requiredVersion(q, h.softWeightsBound)
	r := q.placementRequest(h.zone, version, softVersion, preferred)
	now := time.Now()
	r.Bounds, r.SoftBounds = h.weightsBounds(q, h.beginBound, now), h.weightsBounds(q, h.softWeightsBound, now)
	r.Regions = h.allowedRegions(q)
	r.Suspects, r.Serialized = toUint64(suspicion.Suspects[:min(len(suspicion.Suspects), maxSuspectsSent)]), suspicion.Repeated
	return r
}

// weightsBounds returns the times at which limits on weights that were superseded recently are
// reached after now: the time by which a request must have begun on them, for an age of beginBound.
func (h *handler) weightsBounds(q *request, age time.Duration, now time.Time) []placement.WeightsBound {
	var list []placement.WeightsBound
	for _, w := range h.fleet.NamedWeights(q.model()) {
		if by := w.Since.Add(age); by.After(now) {
			list = append(list, placement.WeightsBound{Version: w.Version, By: by})
		}
	}
	return list
}

// requiredVersion returns the newest version of the weights of the request's model that
// was named at least age ago, or zero for none.
func (h *handler) requiredVersion(q *request, age time.Duration) uint64 {
	return h.fleet.RequiredWeights(q.model(), age)
}

// hasLeft reports whether this entry knows that an endpoint has left or will. It is asked right
// before a request is sent, whoever selected the endpoint: a broker may be cut off, and time has
// passed since.
func (h *handler) hasLeft(service string, c placement.Choice) bool {
	return h.fleet.HasLeft(c.ID, c.Incarnation) || h.dispatcher.hasLeft(service, c)
}

// forwarding returns what the endpoint is told in headers.
func (h *handler) forwarding(q *request, c placement.Choice, lastEvent string) protocol.Forwarding {
	// An engine refuses a request for another version than it holds. Without the version, an
	// engine that has loaded others since this entry last heard of it would answer with weights
	// that nobody may have verified yet.
	return protocol.Forwarding{
		Endpoint: c.ID, Timeout: q.timeLeft(), Organisation: q.organisation, LastEvent: lastEvent, Version: c.WeightsVersion,
		Priority: q.table.Level(q.priority), Prioritized: q.table.Ranked(),
	}
}

// send sends a request to one endpoint and passes its answer on. The reason is that for
// a retry, or empty if the request has its final answer.
func (h *handler) send(w http.ResponseWriter, q *request, c placement.Choice) (result, Reason) {
	q.tried = append(q.tried, c.ID)
	if q.route.Kind == routing.Stream {
		return h.sendStream(w, q, c)
	}
	a, err := h.roundTrip(q.ctx, q, c, h.forwarding(q, c, ""))
	if err != nil {
		return h.handleSendError(q, c, err)
	}
	h.recordAnswer(q, c, a)
	if a.answer.NotRun {
		return h.handleNotRun(q, c, a)
	}
	q.sends++
	return h.relayBuffered(w, q, c, a)
}

// recordAnswer records what an endpoint states about itself in the head of an answer.
func (h *handler) recordAnswer(q *request, c placement.Choice, a *attempt) {
	if load := a.answer.Load; load != nil {
		h.dispatcher.recordLoad(q, c.ID, *load)
	}
	h.recordPause(q, c, a)
	q.record.coldFor = a.answer.ColdFor
	h.dispatcher.recordCold(q, c)
	limit, err := a.answer.RateLimit, a.answer.RateLimitErr
	if err != nil { // the limit known so far stays in force
		h.metrics.malformedRateLimit.Inc()
		h.log.WithError(err).WithFields(log.Fields{"request": q.call.ID, "endpoint": c.ID}).Warn("rate_limit_malformed")
		return
	}
	q.record.rateLimit = limit
	if limit != nil {
		h.metrics.rateLimited.Inc()
	}
	if h.dispatcher.recordRateLimit(q, c, limit) {
		logRateLimit(h.log, c.ID, limit, log.Fields{"request": q.call.ID, "service": q.service, "started": c.Incarnation})
	}
}

// recordPause records the pause that an endpoint states in a refusal.
func (h *handler) recordPause(q *request, c placement.Choice, a *attempt) {
	pause, err := a.answer.Pause, a.answer.PauseErr
	if err != nil {
		h.metrics.malformedPauses.Inc()
		h.log.WithError(err).WithFields(log.Fields{"request": q.call.ID, "endpoint": c.ID}).Warn("pause_malformed")
	}
	if pause == 0 {
		return
	}
	pause = min(pause, h.maxPause)
	h.dispatcher.pause(q.service, c, pause)
	h.metrics.pauses.Inc()
	h.log.WithFields(log.Fields{
		"request": q.call.ID, "service": q.service, "endpoint": c.ID, "started": c.Incarnation, "for_ms": pause.Milliseconds(),
	}).Info("pause_named")
}

// logRateLimit logs that the rate limit of an endpoint has changed; perSecond is nil if
// it has ended.
func logRateLimit(logger log.Interface, endpoint string, perSecond *float64, fields log.Fields) {
	entry := logger.WithFields(fields).WithField("endpoint", endpoint)
	if perSecond == nil {
		entry.Info("rate_limit_ended")
		return
	}
	entry.WithField("per_second", *perSecond).Info("rate_limit_named")
}

// handleSendError handles an attempt without an answer.
func (h *handler) handleSendError(q *request, c placement.Choice, err error) (result, Reason) {
	switch {
	case errors.Is(err, errOldWeights):
		return h.handleNotSent(q, c, placement.Neutral, err), RetryOldWeights
	case errors.Is(err, errEndpointLeft):
		return h.handleNotSent(q, c, placement.Neutral, err), RetryEndpointLeft
	case errors.Is(err, errZoneEvacuated):
		return h.handleNotSent(q, c, placement.Neutral, err), RetryZoneEvacuated
	case errors.Is(err, errEndpointPaused):
		return h.handleNotSent(q, c, placement.Neutral, err), RetryEndpointPaused
	case errors.Is(err, errRegionNotAllowed):
		r := h.handleNotSent(q, c, placement.Neutral, err)
		r.refusal.reason = NoAllowedRegion
		return r, RetryRegionNotAllowed
	case errors.Is(err, errPermitExpired):
		return h.handleNotSent(q, c, placement.Neutral, err), RetryPermitExpired
	case errors.Is(err, errNotSent):
		return h.handleNotSent(q, c, placement.ConnectFailed, err), RetryNotSent
	case errors.Is(err, errRequestEnded) || q.ctx.Err() != nil:
		if !errors.Is(err, errEndedUnsent) {
			q.sends++
		}
		return h.handleRequestEnd(q, c)
	case errors.Is(err, errReadTimeout):
		q.sends++
		reason, attemptResult := h.readTimeoutResult(q)
		h.endSend(q, c, attemptResult, err)
		return result{refusal: &refusal{status: http.StatusGatewayTimeout, reason: AnswerLost}}, reason
	default:
		q.sends++
		h.endSend(q, c, placement.Broken, err)
		return result{refusal: &refusal{status: http.StatusBadGateway, reason: AnswerLost}}, RetryBroken
	}
}

// handleNotSent handles an attempt of which no byte was sent.
func (h *handler) handleNotSent(q *request, c placement.Choice, r placement.Result, err error) result {
	q.notRun++
	q.unsent = true
	h.endSend(q, c, r, err)
	return result{refusal: &refusal{status: http.StatusServiceUnavailable, reason: NoEndpoint, retryAfter: h.dispatcher.retryAfter(q)}}
}

// handleRequestEnd handles an attempt that ended because the caller disconnected or the
// deadline passed.
func (h *handler) handleRequestEnd(q *request, c placement.Choice) (result, Reason) {
	if errors.Is(q.ctx.Err(), context.DeadlineExceeded) {
		h.endSend(q, c, h.deadlineResult(q), errRequestEnded)
		return result{refusal: &refusal{status: http.StatusGatewayTimeout, reason: DeadlineExceeded}}, ""
	}
	r := placement.Neutral
	if q.silent {
		r = placement.TimedOut
	}
	h.endSend(q, c, r, errRequestEnded)
	return result{refusal: &refusal{status: http.StatusGatewayTimeout, reason: CallerGone}}, ""
}

// deadlineResult returns the result to record for the endpoint of a request that
// reached its deadline.
func (h *handler) deadlineResult(q *request) placement.Result {
	if q.record.firstEvent > 0 && !q.silent {
		return placement.Neutral
	}
	return placement.TimedOut
}

// handleNotRun handles an answer that states that the request did not run.
func (h *handler) handleNotRun(q *request, c placement.Choice, a *attempt) (result, Reason) {
	q.notRun++
	status := a.response.StatusCode
	err := a.discardRefusal()
	a.release()
	if err == nil {
		err = errors.New("endpoint did not run the request: status " + strconv.Itoa(status))
	}
	h.endSend(q, c, placement.Refused, err)
	return result{refusal: &refusal{status: http.StatusServiceUnavailable, reason: EndpointsRefused, retryAfter: h.dispatcher.retryAfter(q)}}, RetryNotRun
}

// endSend records the end of an attempt and logs a failure.
func (h *handler) endSend(q *request, c placement.Choice, r placement.Result, err error) {
	inPrefill := q.inPrefill
	ejected := h.dispatcher.end(q, c, r)
	crashed := r == placement.Broken && !q.proven && !h.dispatcher.leaves(q.service, c) && h.conns.refusesConnections(q.ctx, c.Address)
	if err == nil || r == placement.Neutral && errors.Is(err, errRequestEnded) {
		return
	}
	fields := log.Fields{
		"request": q.call.ID, "endpoint": c.ID, "address": c.Address, "started": c.Incarnation,
		"predicted_ms": c.TTFT.Milliseconds(), "running": c.Load.Running, "sends": q.sends,
		"events": q.record.events, "silent_ms": q.silence(time.Now()).Milliseconds(), "version": c.WeightsVersion,
	}
	h.addWeights(fields, q)
	if r == placement.Broken {
		fields["in_prefill"], fields["crashed"] = inPrefill, crashed
	}
	if crashed {
		shared := q.sharedParts()
		fields["parts"] = shared[:min(len(shared), maxLoggedParts)]
		h.metrics.crashes.Inc()
		h.guard.recordCrash(q, c, time.Now())
	}
	if ejected > 0 {
		fields["ejected_ms"] = ejected.Milliseconds()
		h.metrics.ejected.Inc()
	}
	h.log.WithFields(fields).WithError(err).Warn("send_failed")
}

// recordSound records once for each attempt that a request began and did not crash its
// endpoint.
func (h *handler) recordSound(q *request, began time.Time) {
	if !q.proven {
		q.proven = true
		h.guard.recordSound(q, began, time.Now())
	}
}

// bufferedAnswer is an answer of an endpoint that was read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *bufferedAnswer) write(w http.ResponseWriter) *refusal {
	header := w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // fails only if the caller disconnected
	return nil
}

// relayBuffered reads an answer that is not a stream completely and passes it on,
// unless it is longer than maxBufferedAnswer or the request should be retried.
func (h *handler) relayBuffered(w http.ResponseWriter, q *request, c placement.Choice, a *attempt) (result, Reason) {
	status := a.response.StatusCode
	var body []byte
	err := a.conn.setReadDeadline(q.deadline, nil) // the request has begun in time
	if err == nil {
		body, err = a.readBody(maxBufferedAnswer)
	}
	if err != nil {
		a.close()
		if q.ctx.Err() != nil {
			return h.handleRequestEnd(q, c)
		}
		h.endSend(q, c, placement.Broken, err)
		return result{refusal: &refusal{status: http.StatusBadGateway, reason: AnswerLost}}, RetryBroken
	}
	if !a.complete && !impliesNotRun(status) {
		return h.relayUnbuffered(w, q, c, a, body)
	}
	answer := &bufferedAnswer{status: status, header: a.response.Header, body: body}
	a.release()
	if status >= http.StatusInternalServerError || impliesNotRun(status) {
		h.endSend(q, c, placement.ErrorStatus, errors.New("endpoint answered with status "+strconv.Itoa(status)))
		if impliesNotRun(status) {
			// Callers take the status to mean that the request did not run, but the
			// endpoint did not say so.
			return result{refusal: &refusal{status: http.StatusBadGateway, reason: EndpointError}}, RetryErrorStatus
		}
		return result{failure: answer, refusal: nil}, RetryErrorStatus
	}
	h.endSend(q, c, placement.Success, nil)
	if status < http.StatusMultipleChoices {
		h.recordSound(q, q.placedAt)
	} else {
		h.guard.recordRejected(q, q.placedAt, time.Now())
	}
	q.record.firstEvent = time.Since(q.arrived)
	return result{refusal: answer.write(w)}, ""
}

// impliesNotRun reports whether callers take a status to mean that the request did not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// relayUnbuffered passes on an answer that is too long to buffer. The first bytes of
// its body were already read.
func (h *handler) relayUnbuffered(w http.ResponseWriter, q *request, c placement.Choice, a *attempt, first []byte) (result, Reason) {
	copyHeader(w.Header(), a.response.Header)
	defer q.limitWrites(w)()
	w.WriteHeader(a.response.StatusCode)
	err := copyBody(w, first, a)
	a.close()
	if err != nil && (q.ctx.Err() != nil || errors.Is(err, errRequestEnded)) {
		r, _ := h.handleRequestEnd(q, c)
		h.abort(q, r.refusal.reason, err)
	}
	if err != nil {
		h.endSend(q, c, placement.Broken, err)
		h.abort(q, AnswerLost, err)
	}
	h.endSend(q, c, placement.Success, nil)
	h.recordSound(q, q.placedAt)
	return result{}, ""
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// abort ends an answer that cannot be completed. It closes the connection to the
// caller, so that the truncated answer does not look complete.
func (h *handler) abort(q *request, reason Reason, err error) {
	if q.cutByStop() {
		reason = GracePeriodOver
	}
	h.metrics.refused.Inc(reason)
	h.log.WithField("request", q.call.ID).WithError(err).Warn("answer_aborted")
	h.recordEnd(q, "aborted", reason, 0)
	panic(http.ErrAbortHandler)
}
