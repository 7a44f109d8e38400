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
	// claimTimeout bounds the commit of a claim, a leader election included.
	claimTimeout = 3 * time.Second
	// claimTry bounds one try: an answer can be lost with its session.
	claimTry = time.Second
	// completeTimeout bounds the commit of a result in the background.
	completeTimeout = 30 * time.Second
	// completeWait is how long a caller waits for the commit of its result.
	completeWait = time.Second
	// fenceTimeout bounds the fencing of an attempt.
	fenceTimeout = 2 * time.Second
	// Intervals at which a duplicate asks for the first result.
	duplicatePollFirst = 50 * time.Millisecond
	duplicatePollMax   = time.Second
)

// callResult is the final result of a non-idempotent call: an answer, or an
// error with its outcome.
type callResult struct {
	answer  *serviceAnswer
	failure *answerError
	attempt string
}

func (r callResult) write(w http.ResponseWriter) {
	if r.failure != nil {
		r.failure.write(w, r.attempt)
		return
	}
	r.answer.write(w)
}

func (r callResult) outcome() (outcome.Outcome, outcome.Reason) {
	if r.failure != nil {
		return r.failure.outcome, r.failure.reason
	}
	return outcome.Done, ""
}

// flight is one non-idempotent call in progress at this entry. Duplicates wait
// for its result.
type flight struct {
	digest release.Digest
	done   chan struct{}
	result callResult
}

// flights holds the calls in progress by organisation and key.
type flights struct {
	mu     sync.Mutex
	byKey  map[string]*flight
	owners map[string]bool // attempts in progress, by identifier
}

func newFlights() *flights {
	return &flights{byKey: map[string]*flight{}, owners: map[string]bool{}}
}

// join returns the flight of a key and whether the caller has to run it.
func (f *flights) join(key string, digest release.Digest) (*flight, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.byKey[key]; held != nil {
		return held, false
	}
	fresh := &flight{digest: digest, done: make(chan struct{})}
	f.byKey[key] = fresh
	return fresh, true
}

// land publishes the result of a flight.
func (f *flights) land(key string, fl *flight, result callResult) {
	f.mu.Lock()
	delete(f.byKey, key)
	f.mu.Unlock()
	fl.result = result
	close(fl.done)
}

// setOwner records whether an attempt is in progress.
func (f *flights) setOwner(id string, running bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if running {
		f.owners[id] = true
	} else {
		delete(f.owners, id)
	}
}

func (f *flights) owns(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners[id]
}

// claimedCall is a call with its claim.
type claimedCall struct {
	*call
	claim ledger.Claim
}

func (c *claimedCall) flightKey() string { return c.claim.Organisation + "\x00" + c.claim.Key }

// runOnce runs a non-idempotent call or gets the result of the attempt that
// does. The attempt outlives the caller: once dispatched it cannot be undone,
// and its result is recorded for duplicates.
func (e *Entry) runOnce(c *claimedCall) callResult {
	key := c.flightKey()
	fl, first := e.flights.join(key, c.claim.RequestDigest)
	if !first && fl.digest != c.claim.RequestDigest {
		return callResult{failure: keyConflict()}
	}
	if first {
		e.inBackground(func(ctx context.Context) {
			e.flights.land(key, fl, e.claimAndRun(ctx, c))
		})
	}
	select {
	case <-fl.done:
		return fl.result
	case <-c.ctx.Done():
		return callResult{failure: &answerError{
			status: http.StatusGatewayTimeout, outcome: outcome.Unknown, reason: outcome.StillRunning,
			message: "the call has not finished before the deadline; send it again with the same key for its result",
		}}
	}
}

func keyConflict() *answerError {
	return refusal(http.StatusConflict, outcome.KeyConflict, "the idempotency key was used for another request")
}

// claimAndRun takes a slot, claims the key and runs the single attempt.
func (e *Entry) claimAndRun(ctx context.Context, c *claimedCall) callResult {
	waiting := c.ctx // the caller's: before dispatch the call ends with it
	s, refused := e.admitter.acquire(waiting, c.call)
	if refused != nil {
		return callResult{failure: refused}
	}
	served := false
	defer func() { s.release(served) }()
	c.claim.Owner = e.attempts.Next().String()
	e.flights.setOwner(c.claim.Owner, true)
	defer e.flights.setOwner(c.claim.Owner, false)
	result, granted := e.takeClaim(ctx, c)
	if granted {
		e.log.WithField("attempt", c.claim.Owner).Debug("claim_granted")
	}
	if !granted {
		s.release(false)
		if result == nil {
			return e.awaitFirst(c)
		}
		return *result
	}
	r := e.runClaimed(ctx, c)
	served = r.failure == nil
	e.recordResult(ctx, c, r)
	return r
}

// takeClaim commits the claim. It returns granted, or a final result, or
// neither when another attempt holds the key.
func (e *Entry) takeClaim(ctx context.Context, c *claimedCall) (result *callResult, granted bool) {
	started := time.Now()
	answer, err := e.proposeClaim(ctx, c.claim)
	e.metrics.claims.Observe(time.Since(started).Seconds())
	switch {
	case errors.Is(err, controlclient.ErrOutcomeUnknown):
		// Never dispatched, so the call has not run. The claim may exist.
		e.releaseClaim(c.claim)
		return &callResult{failure: claimsUnavailable("it is not known whether the claim was recorded; the call was not sent")}, false
	case err != nil:
		return &callResult{failure: claimsUnavailable("claims cannot be recorded now")}, false
	}
	return e.readClaim(answer, c.claim)
}

func claimsUnavailable(message string) *answerError {
	return refusal(http.StatusServiceUnavailable, outcome.ClaimsUnavailable, message).withRetryAfter(time.Second)
}

// readClaim turns the ledger's answer into a result.
func (e *Entry) readClaim(answer ledger.Result, claim ledger.Claim) (result *callResult, granted bool) {
	switch answer.Status {
	case ledger.StatusAccepted:
		if answer.Owner == claim.Owner {
			return nil, true
		}
	case ledger.StatusDuplicate:
		return nil, answer.Owner == claim.Owner
	case ledger.StatusCompleted:
		if answer.Complete != nil {
			r := recordedResult(*answer.Complete)
			return &r, false
		}
	case ledger.StatusConflict:
		return &callResult{failure: keyConflict()}, false
	case ledger.StatusExpired:
		return &callResult{failure: refusal(http.StatusGone, outcome.KeyExpired,
			"the idempotency key is past its retention of 24 h; the call is not run under it")}, false
	}
	return &callResult{failure: claimsUnavailable("the claim was refused: " + answer.Reason)}, false
}

// proposeClaim commits a claim. A lost answer is asked for again: the ledger
// answers the same owner in the same way.
func (e *Entry) proposeClaim(ctx context.Context, claim ledger.Claim) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	uncertain := false
	for {
		try, cancelTry := context.WithTimeout(ctx, claimTry)
		result, err := e.control.Propose(try, ledger.Command{Claim: &claim})
		cancelTry()
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
		case <-time.After(duplicatePollFirst):
		}
	}
}

// recordedResult is the first result of a call, out of the log.
func recordedResult(c ledger.CompleteClaim) callResult {
	r := callResult{attempt: c.Owner}
	if outcome.Outcome(c.Outcome) != outcome.Done {
		r.failure = &answerError{
			status: http.StatusBadGateway, outcome: outcome.Outcome(c.Outcome), reason: outcome.CutShort,
			message: "the first attempt under this key ended without a whole answer; it is not known whether it ran",
		}
		return r
	}
	r.answer = &serviceAnswer{status: c.Status, header: http.Header{}, body: c.Body, attempt: c.Owner}
	if c.ContentType != "" {
		r.answer.header.Set("Content-Type", c.ContentType)
	}
	return r
}

// runClaimed runs the single attempt under a granted claim.
func (e *Entry) runClaimed(ctx context.Context, c *claimedCall) callResult {
	ctx, cancel := context.WithTimeoutCause(ctx, time.Duration(e.settings.PlainTimeout), context.DeadlineExceeded)
	defer cancel()
	waiting := c.ctx
	run := *c.call
	run.ctx = ctx
	defer e.gateQueue.leave(&run)
	for {
		if waiting.Err() != nil { // still before dispatch
			return callResult{failure: refusal(http.StatusServiceUnavailable, outcome.CallerGone,
				"the caller closed the connection or its deadline passed before the call was sent")}
		}
		answer, f := e.tryService(&run, c.claim.Owner, e.onceClient)
		switch {
		case f == nil:
			return callResult{answer: answer, attempt: c.claim.Owner}
		case f.reason == outcome.NoEndpoint:
			if final := e.awaitEndpoint(&run); final != nil {
				return callResult{failure: final}
			}
		case f.reason == outcome.ConnectFailed: // nothing was sent
			run.exclude[f.endpoint] = true
			e.metrics.retried(f.reason)
		default:
			return callResult{failure: e.settleOnce(f), attempt: c.claim.Owner}
		}
	}
}

// settleOnce finds out whether a failed attempt can have run. Only a gate's
// statement that it never will counts as "not run". A refusal states that, also
// from a restarted gate, which cannot say what its predecessor did: onceClient
// sends the attempt once, on a connection of its own, so that the process which
// answered is the only one that got it.
func (e *Entry) settleOnce(f *attemptFailure) *answerError {
	if f.refused {
		return neverStarted(f.reason)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	state, err := e.attemptState(ctx, http.MethodPost, f.gate, f.id)
	if err == nil && (state == stateFenced || state == stateRefused) {
		return neverStarted(f.reason)
	}
	return &answerError{
		status: http.StatusBadGateway, outcome: outcome.Unknown, reason: f.reason,
		message: "the call was sent and gave no whole answer; it is not known whether it ran",
	}
}

func neverStarted(reason outcome.Reason) *answerError {
	return refusal(http.StatusServiceUnavailable, reason, "the endpoint did not start the call and never will").withRetryAfter(time.Second)
}

// recordResult commits the result. The caller's answer waits for it only
// briefly; the commit goes on in the background.
func (e *Entry) recordResult(ctx context.Context, c *claimedCall, r callResult) {
	o, _ := r.outcome()
	complete := ledger.CompleteClaim{
		Organisation: c.claim.Organisation, Key: c.claim.Key, Owner: c.claim.Owner, Outcome: string(o),
	}
	if r.answer != nil {
		complete.Status, complete.ContentType = r.answer.status, r.answer.header.Get("Content-Type")
		if len(r.answer.body) <= ledger.MaxResultBytes {
			complete.Body = r.answer.body
		}
	}
	recorded := make(chan struct{})
	e.inBackground(func(ctx context.Context) {
		defer close(recorded)
		e.proposeComplete(ctx, complete)
	})
	select {
	case <-recorded:
	case <-time.After(completeWait):
	case <-ctx.Done():
	}
}

// releaseClaim gives back a claim under which nothing was sent.
func (e *Entry) releaseClaim(claim ledger.Claim) {
	e.inBackground(func(ctx context.Context) {
		e.proposeComplete(ctx, ledger.CompleteClaim{
			Organisation: claim.Organisation, Key: claim.Key, Owner: claim.Owner, Outcome: string(outcome.NotRun),
		})
	})
}

// proposeComplete commits until an answer arrives: the first result counts, so
// repeating is harmless.
func (e *Entry) proposeComplete(ctx context.Context, complete ledger.CompleteClaim) {
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		try, cancelTry := context.WithTimeout(ctx, claimTry)
		_, err := e.control.Propose(try, ledger.Command{Complete: &complete})
		cancelTry()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(duplicatePollFirst):
		}
	}
	e.log.WithField("attempt", complete.Owner).Warn("claim_result_not_recorded")
}

// awaitFirst waits for the result of the attempt that holds the key, as long
// as its entry works on it.
func (e *Entry) awaitFirst(c *claimedCall) callResult {
	poll := duplicatePollFirst
	for {
		answer, err := e.proposeClaim(c.ctx, c.claim)
		if err != nil {
			e.releaseClaim(c.claim) // in case it was granted just now
			return e.firstUnknown(c, outcome.ClaimsUnavailable, "the first result cannot be read now")
		}
		result, granted := e.readClaim(answer, c.claim)
		switch {
		case result != nil:
			return *result
		case granted:
			// The holder released the key just now. Running here would need a
			// slot again, so the caller is asked to come back.
			e.releaseClaim(c.claim)
			return callResult{failure: refusal(http.StatusServiceUnavailable, outcome.GateRefused,
				"the first attempt under this key did not run; send the call again").withRetryAfter(time.Second)}
		case !e.ownerWorks(c.ctx, answer.Owner):
			// The owner may have recorded its result just before it ended.
			if answer, err = e.proposeClaim(c.ctx, c.claim); err == nil && answer.Status == ledger.StatusCompleted {
				continue
			}
			return e.firstUnknown(c, outcome.OwnerLost, "the entry that ran the call under this key was lost; it is not known whether it ran")
		}
		select {
		case <-time.After(poll):
			poll = min(2*poll, duplicatePollMax)
		case <-c.ctx.Done():
			return e.firstUnknown(c, outcome.StillRunning, "the first attempt under this key has not finished")
		}
	}
}

func (e *Entry) firstUnknown(c *claimedCall, reason outcome.Reason, message string) callResult {
	return callResult{attempt: c.claim.Owner, failure: (&answerError{
		status: http.StatusBadGateway, outcome: outcome.Unknown, reason: reason, message: message,
	}).withRetryAfter(time.Second)}
}

// ownerWorks asks the entry that issued an attempt whether it is in progress.
// No answer counts as no.
func (e *Entry) ownerWorks(ctx context.Context, owner string) bool {
	id, err := outcome.ParseAttemptID(owner)
	if err != nil {
		return false
	}
	if id.Entry == e.settings.Instance {
		return e.flights.owns(owner)
	}
	peer, known := e.peers.find(id.Entry)
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer ownerAnswer
	return e.getFromPeer(ctx, peer, pathOwners+owner, &answer) == nil && answer.Running
}

// pathOwners is served to other entries, with the process token.
const pathOwners = "/entry/attempts/"

type ownerAnswer struct {
	Running bool `json:"running"`
}
