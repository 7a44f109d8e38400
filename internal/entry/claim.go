package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/controlclient"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/outcome"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	// claimTimeout limits the commit of a claim, including a leader election.
	claimTimeout = 3 * time.Second
	// claimAttemptTimeout limits one proposal, because the reply is lost when its
	// session ends.
	claimAttemptTimeout = time.Second
	// completeTimeout limits the commit of a result in the background.
	completeTimeout = 30 * time.Second
	// completeWait limits how long a caller waits for the commit of its result.
	completeWait = time.Second
	// fenceTimeout limits the query or fencing of an attempt at its gate.
	fenceTimeout = 2 * time.Second
	// Backoff range with which a duplicate polls for the result of the first call.
	duplicatePollMin = 50 * time.Millisecond
	duplicatePollMax = time.Second
)

// callResult is the final result of a service call: a response, or an error with
// its outcome.
type callResult struct {
	response *serviceResponse
	failure  *apiError
	attempt  string
}

func (r callResult) write(w http.ResponseWriter) {
	if r.failure != nil {
		r.failure.write(w, r.attempt)
		return
	}
	r.response.write(w)
}

func (r callResult) outcome() (outcome.Outcome, outcome.Reason) {
	if r.failure != nil {
		return r.failure.outcome, r.failure.reason
	}
	return outcome.Done, ""
}

// inFlightCall is a non-idempotent call in flight at this entry. Duplicates wait
// for its result.
type inFlightCall struct {
	digest release.Digest
	done   chan struct{}
	result callResult
}

// inFlightCalls holds the non-idempotent calls in flight at this entry. Calls with
// the same organisation and idempotency key share one result.
type inFlightCalls struct {
	mu      sync.Mutex
	byKey   map[string]*inFlightCall
	running map[string]bool // attempts in flight, by identifier
}

func newInFlightCalls() *inFlightCalls {
	return &inFlightCalls{byKey: map[string]*inFlightCall{}, running: map[string]bool{}}
}

// join returns the call in flight under a key. It reports true when it created the
// call, which the caller of join must then run.
func (f *inFlightCalls) join(key string, digest release.Digest) (*inFlightCall, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.byKey[key]; held != nil {
		return held, false
	}
	fresh := &inFlightCall{digest: digest, done: make(chan struct{})}
	f.byKey[key] = fresh
	return fresh, true
}

// finish publishes the result of a call and removes it.
func (f *inFlightCalls) finish(key string, c *inFlightCall, result callResult) {
	f.mu.Lock()
	delete(f.byKey, key)
	f.mu.Unlock()
	c.result = result
	close(c.done)
}

// setRunning records whether an attempt is in flight.
func (f *inFlightCalls) setRunning(id string, running bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if running {
		f.running[id] = true
	} else {
		delete(f.running, id)
	}
}

func (f *inFlightCalls) isRunning(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[id]
}

// claimedCall is a non-idempotent call with the claim of its idempotency key.
type claimedCall struct {
	*call
	claim ledger.Claim
}

func (c *claimedCall) claimKey() string { return c.claim.Organisation + "\x00" + c.claim.Key }

// runOnce runs a non-idempotent call, or waits for the result of the attempt that
// already runs it. The attempt continues when the caller disconnects: once sent it
// cannot be undone, and its result is recorded for duplicates.
func (e *Entry) runOnce(c *claimedCall) callResult {
	key := c.claimKey()
	inFlight, first := e.inFlightCalls.join(key, c.claim.RequestDigest)
	if !first && inFlight.digest != c.claim.RequestDigest {
		return callResult{failure: keyConflict()}
	}
	if first {
		e.runInBackground(func(ctx context.Context) {
			e.inFlightCalls.finish(key, inFlight, e.claimAndRun(ctx, c))
		})
	}
	select {
	case <-inFlight.done:
		return inFlight.result
	case <-c.ctx.Done():
		return callResult{failure: &apiError{
			status: http.StatusGatewayTimeout, outcome: outcome.Unknown, reason: outcome.StillRunning,
			message: "the call has not finished before the deadline; send it again with the same key for its result",
		}}
	}
}

func keyConflict() *apiError {
	return refusal(http.StatusConflict, outcome.KeyConflict, "the idempotency key was used for another request")
}

// claimAndRun acquires a slot, claims the key and runs the only attempt.
func (e *Entry) claimAndRun(ctx context.Context, c *claimedCall) callResult {
	callerCtx := c.ctx // ends the call until it is sent to an endpoint
	s, refused := e.admitter.acquire(callerCtx, c.call)
	if refused != nil {
		return callResult{failure: refused}
	}
	completed := false
	defer func() { s.release(completed) }()
	c.claim.Owner = e.attempts.Next().String()
	e.inFlightCalls.setRunning(c.claim.Owner, true)
	defer e.inFlightCalls.setRunning(c.claim.Owner, false)
	result, granted := e.acquireClaim(ctx, c)
	if granted {
		e.log.WithField("attempt", c.claim.Owner).Debug("claim_granted")
	}
	if !granted {
		s.release(false)
		if result == nil {
			return e.awaitFirstResult(c)
		}
		return *result
	}
	r := e.runClaimed(ctx, c)
	completed = r.failure == nil
	e.recordResult(ctx, c, r)
	return r
}

// acquireClaim commits the claim. It returns granted, or a final result, or
// neither when another attempt holds the claim.
func (e *Entry) acquireClaim(ctx context.Context, c *claimedCall) (result *callResult, granted bool) {
	started := time.Now()
	reply, err := e.proposeClaim(ctx, c.claim)
	e.metrics.claims.Observe(time.Since(started).Seconds())
	switch {
	case errors.Is(err, controlclient.ErrOutcomeUnknown):
		// The call was never sent, so it has not run, but the claim may exist.
		e.releaseClaim(c.claim)
		return &callResult{failure: claimsUnavailable("it is not known whether the claim was recorded; the call was not sent")}, false
	case err != nil:
		return &callResult{failure: claimsUnavailable("claims cannot be recorded now")}, false
	}
	return e.claimResult(reply, c.claim)
}

func claimsUnavailable(message string) *apiError {
	return refusal(http.StatusServiceUnavailable, outcome.ClaimsUnavailable, message).withRetryAfter(time.Second)
}

// claimResult interprets the ledger's reply to a claim. Its results are those of
// acquireClaim.
func (e *Entry) claimResult(reply ledger.Result, claim ledger.Claim) (result *callResult, granted bool) {
	switch reply.Status {
	case ledger.StatusAccepted:
		if reply.Owner == claim.Owner {
			return nil, true
		}
	case ledger.StatusDuplicate:
		return nil, reply.Owner == claim.Owner
	case ledger.StatusCompleted:
		if reply.Complete != nil {
			r := recordedResult(*reply.Complete)
			return &r, false
		}
	case ledger.StatusConflict:
		return &callResult{failure: keyConflict()}, false
	case ledger.StatusExpired:
		return &callResult{failure: refusal(http.StatusGone, outcome.KeyExpired,
			"the idempotency key is past its retention of 24 h; the call is not run under it")}, false
	}
	return &callResult{failure: claimsUnavailable("the claim was refused: " + reply.Reason)}, false
}

// proposeClaim commits a claim. It proposes again after a lost reply, which is safe
// because the ledger gives the same owner the same reply.
func (e *Entry) proposeClaim(ctx context.Context, claim ledger.Claim) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	uncertain := false
	for {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, claimAttemptTimeout)
		result, err := e.control.Propose(attemptCtx, ledger.Command{Claim: &claim})
		cancelAttempt()
		if err == nil {
			return result, nil
		}
		uncertain = uncertain || errors.Is(err, controlclient.ErrOutcomeUnknown)
		if ctx.Err() != nil || !uncertain && !errors.Is(err, controlclient.ErrNotCommitted) {
			if uncertain {
				return ledger.Result{}, controlclient.ErrOutcomeUnknown
			}
			return ledger.Result{}, err
		}
		if !errors.Is(err, controlclient.ErrOutcomeUnknown) && !uncertain {
			return ledger.Result{}, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(duplicatePollMin):
		}
	}
}

// recordedResult returns the result recorded in the replicated log.
func recordedResult(c ledger.CompleteClaim) callResult {
	r := callResult{attempt: c.Owner}
	if outcome.Outcome(c.Outcome) != outcome.Done {
		r.failure = &apiError{
			status: http.StatusBadGateway, outcome: outcome.Outcome(c.Outcome), reason: outcome.CutShort,
			message: "the first attempt under this key ended without a whole answer; it is not known whether it ran",
		}
		return r
	}
	r.response = &serviceResponse{status: c.Status, header: http.Header{}, body: c.Body, attempt: c.Owner}
	if c.ContentType != "" {
		r.response.header.Set("Content-Type", c.ContentType)
	}
	return r
}

// runClaimed sends the only attempt of a call whose claim was granted. It tries
// another endpoint only while nothing has been sent.
func (e *Entry) runClaimed(ctx context.Context, c *claimedCall) callResult {
	ctx, cancel := context.WithTimeoutCause(ctx, time.Duration(e.settings.PlainTimeout), context.DeadlineExceeded)
	defer cancel()
	callerCtx := c.ctx
	run := *c.call
	run.ctx = ctx
	defer e.gateQueue.leave(&run)
	for {
		if callerCtx.Err() != nil { // nothing has been sent yet
			return callResult{failure: refusal(http.StatusServiceUnavailable, outcome.CallerGone,
				"the caller closed the connection or its deadline passed before the call was sent")}
		}
		response, f := e.attemptService(&run, c.claim.Owner, e.onceClient)
		switch {
		case f == nil:
			return callResult{response: response, attempt: c.claim.Owner}
		case f.reason == outcome.NoEndpoint:
			if final := e.awaitEndpoint(&run); final != nil {
				return callResult{failure: final}
			}
		case f.reason == outcome.ConnectFailed: // nothing was sent
			run.exclude[f.endpoint] = true
			e.metrics.countRetry(f.reason)
		default:
			return callResult{failure: e.resolveFailure(f), attempt: c.claim.Owner}
		}
	}
}

// resolveFailure determines whether a failed attempt may have run. The outcome is
// "not run" only when the gate guarantees that the attempt will never run. A
// refusal is such a guarantee, even from a restarted gate that does not know what
// its predecessor ran: onceClient sends the attempt once, on its own connection, so
// the process that refused is the only one that received it.
func (e *Entry) resolveFailure(f *attemptFailure) *apiError {
	if f.gateRefused {
		return notStarted(f.reason)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	state, err := e.attemptState(ctx, http.MethodPost, f.gate, f.id)
	if err == nil && (state == stateFenced || state == stateRefused) {
		return notStarted(f.reason)
	}
	return &apiError{
		status: http.StatusBadGateway, outcome: outcome.Unknown, reason: f.reason,
		message: "the call was sent and gave no whole answer; it is not known whether it ran",
	}
}

func notStarted(reason outcome.Reason) *apiError {
	return refusal(http.StatusServiceUnavailable, reason, "the endpoint did not start the call and never will").withRetryAfter(time.Second)
}

// recordResult commits the result. The response to the caller is delayed by at most
// completeWait; the commit continues in the background.
func (e *Entry) recordResult(ctx context.Context, c *claimedCall, r callResult) {
	o, _ := r.outcome()
	complete := ledger.CompleteClaim{
		Organisation: c.claim.Organisation, Key: c.claim.Key, Owner: c.claim.Owner, Outcome: string(o),
	}
	if r.response != nil {
		complete.Status, complete.ContentType = r.response.status, r.response.header.Get("Content-Type")
		if len(r.response.body) <= ledger.MaxResultBytes {
			complete.Body = r.response.body
		}
	}
	recorded := make(chan struct{})
	e.runInBackground(func(ctx context.Context) {
		defer close(recorded)
		e.proposeComplete(ctx, complete)
	})
	select {
	case <-recorded:
	case <-time.After(completeWait):
	case <-ctx.Done():
	}
}

// releaseClaim releases a claim under which nothing was sent.
func (e *Entry) releaseClaim(claim ledger.Claim) {
	e.runInBackground(func(ctx context.Context) {
		e.proposeComplete(ctx, ledger.CompleteClaim{
			Organisation: claim.Organisation, Key: claim.Key, Owner: claim.Owner, Outcome: string(outcome.NotRun),
		})
	})
}

// proposeComplete proposes the result until a reply arrives. The ledger keeps the
// first result, so repeating is safe.
func (e *Entry) proposeComplete(ctx context.Context, complete ledger.CompleteClaim) {
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, claimAttemptTimeout)
		_, err := e.control.Propose(attemptCtx, ledger.Command{Complete: &complete})
		cancelAttempt()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(duplicatePollMin):
		}
	}
	e.log.WithField("attempt", complete.Owner).Warn("claim_result_not_recorded")
}

// awaitFirstResult polls for the result of the attempt that holds the claim, as
// long as its entry reports it as running.
func (e *Entry) awaitFirstResult(c *claimedCall) callResult {
	poll := duplicatePollMin
	for {
		reply, err := e.proposeClaim(c.ctx, c.claim)
		if err != nil {
			e.releaseClaim(c.claim) // in case it has just been granted
			return e.unknownResult(c, outcome.ClaimsUnavailable, "the first result cannot be read now")
		}
		result, granted := e.claimResult(reply, c.claim)
		switch {
		case result != nil:
			return *result
		case granted:
			// The holder has just released the claim. Running the call here would
			// need a new slot, so the caller is asked to retry.
			e.releaseClaim(c.claim)
			return callResult{failure: refusal(http.StatusServiceUnavailable, outcome.GateRefused,
				"the first attempt under this key did not run; send the call again").withRetryAfter(time.Second)}
		case !e.attemptRunning(c.ctx, reply.Owner):
			// The owner may have recorded its result just before it stopped.
			if reply, err = e.proposeClaim(c.ctx, c.claim); err == nil && reply.Status == ledger.StatusCompleted {
				continue
			}
			return e.unknownResult(c, outcome.OwnerLost, "the entry that ran the call under this key was lost; it is not known whether it ran")
		}
		select {
		case <-time.After(poll):
			poll = min(2*poll, duplicatePollMax)
		case <-c.ctx.Done():
			return e.unknownResult(c, outcome.StillRunning, "the first attempt under this key has not finished")
		}
	}
}

func (e *Entry) unknownResult(c *claimedCall, reason outcome.Reason, message string) callResult {
	return callResult{attempt: c.claim.Owner, failure: (&apiError{
		status: http.StatusBadGateway, outcome: outcome.Unknown, reason: reason, message: message,
	}).withRetryAfter(time.Second)}
}

// attemptRunning asks the entry that issued an attempt whether it is in flight. It
// returns false when that entry does not respond.
func (e *Entry) attemptRunning(ctx context.Context, owner string) bool {
	id, err := outcome.ParseAttemptID(owner)
	if err != nil {
		return false
	}
	if id.Entry == e.settings.Instance {
		return e.inFlightCalls.isRunning(owner)
	}
	peer, known := e.peers.find(id.Entry)
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var response attemptStatusResponse
	return e.getFromPeer(ctx, peer, pathAttempts+owner, &response) == nil && response.Running
}

// pathAttempts is served to other entries and requires the process token.
const pathAttempts = "/entry/attempts/"

type attemptStatusResponse struct {
	Running bool `json:"running"`
}
