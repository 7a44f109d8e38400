package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/outcome"
	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

const (
	pathChat       = "/v1/chat/completions"
	maxAnswerBytes = 32 << 20
	// affinityBytes is the length of the prefix of the messages that selects the
	// preferred endpoint: long enough to distinguish system prompts, short enough
	// to be the same for all requests of a conversation.
	affinityBytes = 512
	// maxAttempts limits the attempts of one request that may have run.
	maxAttempts = 4
	// fullRetryInterval is the interval between attempts to find a free slot while
	// all gates are full.
	fullRetryInterval = 20 * time.Millisecond
)

// chatBody holds the request fields that the entry reads.
type chatBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	c, refused := e.newChatCall(w, r)
	if refused != nil {
		e.refuse(w, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	e.runChat(w, c)
}

// newChatCall validates a chat request and converts it to a call.
func (e *Entry) newChatCall(w http.ResponseWriter, r *http.Request) (*call, *apiError) {
	c, refused := e.newCall(w, r)
	if refused != nil {
		return nil, refused
	}
	if len(c.body) == 0 {
		return nil, refusal(http.StatusBadRequest, outcome.EmptyBody, "the request body is empty; send a JSON object with model and messages")
	}
	var body chatBody
	if err := json.Unmarshal(c.body, &body); err != nil {
		return nil, refusal(http.StatusBadRequest, outcome.InvalidBody, "the request body is not valid: "+err.Error())
	}
	if body.Model == "" {
		return nil, refusal(http.StatusBadRequest, outcome.MissingModel, "the request has no model field")
	}
	catalogue, known := e.directory.current()
	if !known {
		return nil, refusal(http.StatusServiceUnavailable, outcome.NoCatalogue,
			"this entry has not yet received the catalogue from control").withRetryAfter(time.Second)
	}
	set, ok := catalogue.Resolve(body.Model)
	if !ok {
		return nil, refusal(http.StatusNotFound, outcome.UnknownModel, "no accepted release note lists the model "+strconv.Quote(body.Model))
	}
	c.path = pathChat
	c.fingerprint = quarantine.Fingerprint(pathChat, c.body)
	c.toEngine, c.stream = true, body.Stream
	c.pool = set.Model.Name
	c.affinity = balancer.HashPrefix(body.Messages[:min(len(body.Messages), affinityBytes)])
	c.header = http.Header{"Content-Type": {"application/json"}, "Accept": r.Header.Values("Accept")}
	return c, nil
}

// newCall reads the headers and the body that all kinds of call have in common.
func (e *Entry) newCall(w http.ResponseWriter, r *http.Request) (*call, *apiError) {
	now := time.Now()
	c := &call{
		method: r.Method, organisation: r.Header.Get(wire.HeaderOrganisation),
		priority: r.Header.Get(wire.HeaderPriority),
		arrived:  now, deadline: now.Add(time.Duration(e.settings.Deadline)),
		exclude: map[string]bool{},
	}
	if text := r.Header.Get(wire.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return nil, refusal(http.StatusBadRequest, outcome.InvalidHeader, wire.HeaderDeadline+" is not a positive number of milliseconds")
		}
		c.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if c.priority != "" {
		if _, err := strconv.Atoi(c.priority); err != nil {
			return nil, refusal(http.StatusBadRequest, outcome.InvalidHeader, wire.HeaderPriority+" is not a whole number")
		}
	}
	body, err := network.ReadBody(w, r, int64(e.settings.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal(http.StatusRequestEntityTooLarge, outcome.BodyTooLarge,
			"the request body is larger than "+strconv.FormatInt(int64(e.settings.MaxBody), 10)+" bytes")
	case errors.Is(err, network.ErrMemoryBudget):
		return nil, refusal(http.StatusServiceUnavailable, outcome.MemoryBudget, "this entry holds as much for callers as it may").withRetryAfter(time.Second)
	case errors.Is(err, network.ErrBodyTooSlow):
		return nil, refusal(http.StatusRequestTimeout, outcome.BodyTooSlow, "the request body did not arrive in time")
	case err != nil:
		return nil, refusal(http.StatusBadRequest, outcome.InvalidBody, "the request body could not be read")
	}
	c.body = body
	return c, nil
}

// runChat admits the call and makes attempts until one gives a complete response
// or no further attempt is allowed.
func (e *Entry) runChat(w http.ResponseWriter, c *call) {
	relay := &streamRelay{w: w, metrics: e.metrics, arrived: c.arrived}
	e.awaitCrashSettle(c)
	final := e.checkSuspect(c)
	var s *slot
	if final == nil {
		s, final = e.admitter.acquire(c.ctx, c)
	}
	if final == nil {
		final = e.attemptChat(w, c, relay)
		s.release(final == nil)
	}
	e.finishSuspect(c, final == nil)
	if final != nil {
		e.sendFailure(w, c, relay, final)
	}
}

// attemptChat makes attempts and returns nil after a complete response.
func (e *Entry) attemptChat(w http.ResponseWriter, c *call, relay *streamRelay) *apiError {
	defer e.gateQueue.leave(c)
	for attempts := 1; ; {
		a, failure := e.startNextAttempt(c)
		if failure == nil {
			failure = e.relayResponse(w, c, a, relay)
		}
		if failure == nil {
			return nil
		}
		if failure.mayHaveStarted {
			c.mayHaveRun = true
			attempts++
		}
		if final := e.afterFailure(c, failure, attempts); final != nil {
			return final
		}
		if failure.mayHaveStarted && relay.started {
			e.metrics.resumed.Inc()
		}
	}
}

// sleep waits for d or until the context of the call ends.
func (c *call) sleep(d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}

// afterFailure decides whether the call may be retried. It returns nil after
// preparing the next attempt, or the final error.
func (e *Entry) afterFailure(c *call, f *attemptFailure, attempts int) *apiError {
	// After a response cut short by an endpoint that is still running there is no
	// need to wait for other crashes.
	crashed := f.connectionLost && c.toEngine && e.handleLoss(c, f)
	if crashed || f.reason == outcome.SuspectCopy {
		e.awaitCrashSettle(c)
	}
	if f.connectionLost && c.toEngine || f.reason == outcome.SuspectCopy {
		if final := e.checkSuspect(c); final != nil {
			return final
		}
	}
	if c.ctx.Err() != nil {
		if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
			return c.failure(http.StatusGatewayTimeout, outcome.Deadline, "the deadline has passed")
		}
		return c.failure(http.StatusServiceUnavailable, outcome.CallerGone, "the caller closed the connection")
	}
	if f.reason == outcome.NoEndpoint {
		return e.awaitEndpoint(c)
	}
	if f.reason == outcome.SetNotLoaded && !c.mayHaveRun {
		c.weightsSet = "" // nothing ran, so the call may use another weights set
	}
	if f.modelWithdrawn {
		return c.failure(http.StatusNotFound, outcome.UnknownModel, "the model was withdrawn by a release note")
	}
	if !f.atCapacity {
		c.exclude[f.endpoint] = true
	}
	switch {
	case !f.mayHaveStarted: // no work was lost, so the retry budget does not apply
	case attempts > maxAttempts:
		return c.failure(http.StatusBadGateway, outcome.RetriesExhausted,
			"attempts on several endpoints failed, the last one with "+string(f.reason)).withRetryAfter(time.Second)
	case !e.admitter.takeRetry():
		return c.failure(http.StatusBadGateway, outcome.RetryBudget,
			"the attempt failed with "+string(f.reason)+" and too many requests are being retried").withRetryAfter(time.Second)
	}
	e.metrics.countRetry(f.reason)
	return nil
}

// awaitEndpoint waits until the next attempt to find a free endpoint. It returns
// the final error when no endpoint can serve the call or the wait took too long.
func (e *Entry) awaitEndpoint(c *call) *apiError {
	if c.mayHaveRun && c.weightsSet != "" && !e.fleet.hasWeightsSet(c.pool, c.weightsSet, c.avoid) {
		return c.failure(http.StatusBadGateway, outcome.WeightsSetGone,
			"no other endpoint has the weights set that the request began with").withRetryAfter(time.Second)
	}
	if !e.fleet.serves(c.pool) {
		return c.failure(http.StatusServiceUnavailable, outcome.NoEndpoint, "no endpoint serves this pool now").withRetryAfter(time.Second)
	}
	if c.waitUntil.IsZero() {
		c.waitUntil = time.Now().Add(time.Duration(e.settings.QueueWait))
	}
	if time.Now().After(c.waitUntil) {
		return c.failure(http.StatusServiceUnavailable, outcome.NoEndpoint, "no endpoint of this pool is free").withRetryAfter(time.Second)
	}
	clear(c.exclude)
	for _, endpoint := range c.avoid {
		c.exclude[endpoint] = true
	}
	select {
	case <-e.gateQueue.join(c):
	case <-time.After(fullRetryInterval):
	case <-c.ctx.Done():
	}
	return nil
}

// failure returns the final error of a call. Its outcome is "not run" only when
// no attempt can have started.
func (c *call) failure(status int, reason outcome.Reason, message string) *apiError {
	o := outcome.Unknown
	if !c.mayHaveRun {
		o = outcome.NotRun
	}
	return &apiError{status: status, outcome: o, reason: reason, message: message}
}

// relayResponse relays the response of one attempt to the caller.
func (e *Entry) relayResponse(w http.ResponseWriter, c *call, a *attempt, relay *streamRelay) *attemptFailure {
	c.weightsSet = a.weightsSet
	if isEventStream(a.response.Header) {
		return e.relayStream(c, a, relay)
	}
	if relay.started {
		// A stream that has begun cannot continue with a non-streaming response.
		e.finishAttempt(a, balancer.Failed)
		return a.rejectedFailure(outcome.EngineError)
	}
	return e.relayBuffered(w, c, a)
}

// relayBuffered relays a non-streaming response after reading it completely.
func (e *Entry) relayBuffered(w http.ResponseWriter, c *call, a *attempt) *attemptFailure {
	data, err := a.readBody(maxAnswerBytes)
	if err != nil {
		f := a.transportFailure(err)
		e.finishAttempt(a, f.result)
		return f
	}
	if f := e.checkBody(a, data); f != nil {
		e.finishAttempt(a, f.result)
		return f
	}
	e.finishAttempt(a, balancer.Completed)
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(outcome.Done))
	h.Set(wire.HeaderAttempt, a.id)
	h.Set(wire.HeaderWeightsSet, a.weightsSet)
	copyIf(h, a.response.Header, "Content-Type")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	e.metrics.countAnswer(outcome.Done, "")
	e.metrics.firstToken.Observe(time.Since(c.arrived).Seconds())
	w.WriteHeader(a.response.StatusCode)
	_, _ = w.Write(data)
	return nil
}

// checkBody rejects a response that is truncated or from another weights set.
func (e *Entry) checkBody(a *attempt, data []byte) *attemptFailure {
	if a.response.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	var answer struct {
		Fingerprint string `json:"system_fingerprint"`
	}
	if json.Unmarshal(data, &answer) != nil {
		return a.rejectedFailure(outcome.CutShort)
	}
	if answer.Fingerprint != "" && answer.Fingerprint != a.weightsSet {
		e.metrics.countDropped(outcome.WrongSet)
		return a.rejectedFailure(outcome.WrongSet)
	}
	return nil
}

func copyIf(to, from http.Header, name string) {
	if value := from.Get(name); value != "" {
		to.Set(name, value)
	}
}

// sendFailure sends the final error of a call, as a response or a stream event.
func (e *Entry) sendFailure(w http.ResponseWriter, c *call, relay *streamRelay, final *apiError) {
	e.metrics.countAnswer(final.outcome, final.reason)
	if final.outcome == outcome.NotRun {
		e.metrics.countRefusal(final.reason)
	}
	if relay.started {
		relay.fail(final)
		return
	}
	final.write(w, c.lastAttempt)
}

func (e *Entry) refuse(w http.ResponseWriter, refused *apiError) {
	e.metrics.countRefusal(refused.reason)
	e.metrics.countAnswer(refused.outcome, refused.reason)
	refused.write(w, "")
}
