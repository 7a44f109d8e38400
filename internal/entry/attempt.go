package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

// Causes with which the entry cancels an attempt.
var (
	errStalled  = errors.New("no progress on the endpoint")
	errFinished = errors.New("attempt finished")
	// errSuspect cancels the concurrent copies of a request that has become a
	// suspect.
	errSuspect = errors.New("the request is suspected of crashing endpoints")
)

const maxHeaderBytes = 64 << 10

// dialError marks a failure to connect, before anything was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// newGateClient returns an HTTP client for gates. With reuse false, each request
// gets its own connection: when a reused connection fails, net/http resends a
// request that has an Idempotency-Key by itself, and a call that must run at most
// once cannot allow that.
func newGateClient(n network.Network, reuse bool) *http.Client {
	transport := network.HTTPTransport(n)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, kind, address string) (net.Conn, error) {
		conn, err := dial(ctx, kind, address)
		if err != nil {
			return nil, dialError{err}
		}
		return conn, nil
	}
	transport.DisableKeepAlives = !reuse
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return &http.Client{
		Transport:     network.CheckStatuses(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call is a caller's request and the state of its attempts.
type call struct {
	ctx               context.Context
	method            string
	path              string // path and query as sent to the endpoint
	header            http.Header
	body              []byte
	organisation      string
	pool              string
	stream            bool
	toEngine          bool
	fingerprint       string
	exclusive         bool     // a suspect: runs on an endpoint with no other request
	reservationHolder string   // holder of the reservation for an exclusive run, if any
	avoid             []string // endpoints that crashed or broke off while running the request
	affinity          uint64
	priority          string
	deadline          time.Time
	arrived           time.Time

	weightsSet    string // weights set that the call is pinned to
	exclude       map[string]bool
	relayedTokens int    // tokens already sent to the caller
	lastAttempt   string // identifier of the last attempt
	// waitUntil is the time at which a wait for a free endpoint ends. It is zero
	// until the first such wait.
	waitUntil  time.Time
	mayHaveRun bool // an attempt may have started
}

func (c *call) lowPriority() bool {
	n, err := strconv.Atoi(c.priority)
	return err == nil && n < 0
}

// attemptBody returns the caller's body, with resume_from_token added when a
// stream resumes.
func (c *call) attemptBody() []byte {
	if c.relayedTokens == 0 {
		return c.body
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(c.body, &fields) != nil || fields == nil { // "null" is decoded without an error
		return c.body
	}
	fields["resume_from_token"] = json.RawMessage(strconv.Itoa(c.relayedTokens))
	changed, err := json.Marshal(fields)
	if err != nil {
		return c.body
	}
	return changed
}

// attempt is one execution of a call on one endpoint.
type attempt struct {
	id         string
	endpoint   string
	gate       gateAddress
	weightsSet string
	ctx        context.Context
	cancel     context.CancelCauseFunc
	response   *http.Response
	timer      *time.Timer // cancels a non-streaming attempt
}

// gateAddress is the gate that an attempt is sent to. The incarnation identifies
// its process, so that a restarted gate can refuse attempts meant for its
// predecessor.
type gateAddress struct {
	address     string
	incarnation uint64
}

func (g gateAddress) url(path string) string { return "http://" + g.address + path }

func (g gateAddress) setHeader(h http.Header) {
	h.Set(wire.HeaderGateIncarnation, strconv.FormatUint(g.incarnation, 10))
}

// attemptFailure describes why an attempt gave no complete response.
type attemptFailure struct {
	reason outcome.Reason
	result balancer.Result
	// mayHaveStarted is false only when it is certain that the attempt never ran.
	mayHaveStarted bool
	// connectionLost is true when the connection broke while the attempt may have
	// been running.
	connectionLost bool
	// modelWithdrawn is true when the gate refused because a release note withdrew
	// the model.
	modelWithdrawn bool
	// atCapacity is true when the gate refused only for lack of capacity.
	atCapacity bool
	// gateRefused is true when the gate answered the attempt itself with a refusal.
	gateRefused bool
	endpoint    string
	gate        gateAddress
	id          string
}

// startAttempt selects an endpoint and sends the call to it as the attempt id. It
// returns once the response headers have been read and checked.
func (e *Entry) startAttempt(c *call, id string, client *http.Client) (*attempt, *attemptFailure) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	a := &attempt{id: id, ctx: ctx, cancel: cancel}
	running := &runningAttempt{cancel: cancel}
	if !c.exclusive {
		running.fingerprint = c.fingerprint
	}
	if !e.gateQueue.mayStart(c) {
		cancel(errFinished)
		return nil, &attemptFailure{reason: outcome.NoEndpoint, result: balancer.Refused}
	}
	choice, gate, ok := e.fleet.startAttempt(balancer.Request{
		Pool: c.pool, WeightsSet: c.weightsSet, PrefixHash: c.affinity, Exclude: c.exclude, LowPriority: c.lowPriority(),
	}, a.id, c.stream, running, time.Now())
	if !ok {
		cancel(errFinished)
		return nil, &attemptFailure{reason: outcome.NoEndpoint, result: balancer.Refused}
	}
	e.gateQueue.leave(c)
	a.endpoint, a.weightsSet, a.gate = choice.ID, choice.WeightsSet, gate
	if c.toEngine && !c.exclusive && e.suspects.isSuspect(c.fingerprint, time.Now()) {
		// This check follows the recording of the start: a copy that starts just
		// before its request becomes a suspect is found by cancelCopies, and one
		// that starts after is stopped here.
		e.finishAttempt(a, balancer.Cancelled)
		return nil, &attemptFailure{reason: outcome.SuspectCopy, result: balancer.Cancelled, endpoint: a.endpoint}
	}
	if !c.stream { // its progress cannot be observed
		a.timer = time.AfterFunc(e.settings.PlainTimeout.Std(), func() { cancel(errStalled) })
	}
	c.lastAttempt = a.id
	failure := e.sendAttempt(c, a, client)
	if failure != nil {
		failure.gate, failure.id = a.gate, a.id
		e.finishAttempt(a, failure.result)
		return nil, failure
	}
	return a, nil
}

// startNextAttempt starts an attempt with a new identifier.
func (e *Entry) startNextAttempt(c *call) (*attempt, *attemptFailure) {
	return e.startAttempt(c, e.attempts.Next().String(), e.client)
}

// finishAttempt records the result of an attempt and closes its response.
func (e *Entry) finishAttempt(a *attempt, result balancer.Result) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cancel(errFinished)
	a.closeBody()
	e.fleet.finishAttempt(a.endpoint, a.id, result, time.Now())
	e.gateQueue.wakeFirst()
}

func (a *attempt) closeBody() {
	if a.response != nil {
		_ = a.response.Body.Close()
	}
}

func (e *Entry) sendAttempt(c *call, a *attempt, client *http.Client) *attemptFailure {
	request, err := e.gateRequest(c, a)
	if err != nil {
		return &attemptFailure{reason: outcome.InvalidHeader, result: balancer.Cancelled, endpoint: a.endpoint}
	}
	response, err := client.Do(request)
	if err != nil {
		return a.transportFailure(err)
	}
	a.response = response
	return e.checkHeaders(c, a)
}

func (e *Entry) gateRequest(c *call, a *attempt) (*http.Request, error) {
	request, err := http.NewRequestWithContext(a.ctx, c.method, a.gate.url(wire.PathGateForward+c.path), bytes.NewReader(c.attemptBody()))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // keeps net/http from resending the request
	request.Header = c.header.Clone()
	h := request.Header
	h.Set("Authorization", "Bearer "+e.processToken.Secret())
	h.Set(wire.HeaderAttempt, a.id)
	a.gate.setHeader(h)
	setIf(h, wire.HeaderWeightsSet, a.weightsSet)
	setIf(h, wire.HeaderFingerprint, c.fingerprint)
	setIf(h, wire.HeaderPriority, c.priority)
	setIf(h, wire.HeaderOrganisation, c.organisation)
	if c.exclusive {
		h.Set(wire.HeaderAlone, "true")
	}
	if c.relayedTokens > 0 {
		h.Set(wire.HeaderResumeFrom, strconv.Itoa(c.relayedTokens))
	}
	h.Set(wire.HeaderDeadline, strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
	return request, nil
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// transportFailure classifies an error on the connection to the gate.
func (a *attempt) transportFailure(err error) *attemptFailure {
	f := &attemptFailure{reason: outcome.CutShort, result: balancer.Failed, mayHaveStarted: true, connectionLost: true, endpoint: a.endpoint, gate: a.gate, id: a.id}
	cause := context.Cause(a.ctx)
	var notSent dialError
	switch {
	case errors.Is(cause, errStalled):
		f.reason, f.connectionLost = outcome.Stalled, false
	case errors.Is(cause, errSuspect):
		f.reason, f.result, f.connectionLost = outcome.SuspectCopy, balancer.Cancelled, false
	case errors.Is(cause, context.DeadlineExceeded):
		f.reason, f.result, f.connectionLost = outcome.Deadline, balancer.Cancelled, false
	case cause != nil:
		f.reason, f.result, f.connectionLost = outcome.CallerGone, balancer.Cancelled, false
	case errors.As(err, &notSent):
		f.reason, f.mayHaveStarted, f.connectionLost = outcome.ConnectFailed, false, false
		if errors.Is(err, syscall.ECONNREFUSED) {
			f.result = balancer.Unreachable
		}
	}
	return f
}

// rejectedFailure returns the failure of an attempt whose response must not reach
// the caller.
func (a *attempt) rejectedFailure(reason outcome.Reason) *attemptFailure {
	return &attemptFailure{reason: reason, result: balancer.Failed, mayHaveStarted: true, endpoint: a.endpoint, gate: a.gate, id: a.id}
}

// Refusal reasons of gates that the entry handles specially.
const (
	gateAtCapacity     = "at-capacity"
	gateRestarted      = "gate-restarted"
	gateModelWithdrawn = "model-withdrawn"
)

// gateRefusal returns a failure when the gate refused the attempt before its
// start, and nil for any other response. A restarted gate does not know what its
// earlier process ran, but an attempt is sent only once, so its refusal proves
// that the attempt did not run.
func (a *attempt) gateRefusal(h http.Header) *attemptFailure {
	reason := h.Get(wire.HeaderReason)
	if h.Get(wire.HeaderOutcome) != string(outcome.NotRun) && reason != gateRestarted {
		return nil
	}
	f := &attemptFailure{
		reason: outcome.GateRefused, result: balancer.Refused, endpoint: a.endpoint, gate: a.gate, id: a.id,
		gateRefused: true, modelWithdrawn: reason == gateModelWithdrawn, atCapacity: reason == gateAtCapacity,
	}
	if a.response.StatusCode == http.StatusConflict && reason != gateRestarted {
		f.reason = outcome.SetNotLoaded
	}
	return f
}

// checkHeaders returns a failure when the response is a refusal, belongs to
// another attempt or comes from another weights set than the pinned one. A
// response that is not a stream must also have the outcome "done".
func (e *Entry) checkHeaders(c *call, a *attempt) *attemptFailure {
	h := a.response.Header
	if h.Get(wire.HeaderAttempt) != a.id {
		e.metrics.countDropped(outcome.WrongAttempt)
		return a.rejectedFailure(outcome.WrongAttempt)
	}
	if f := a.gateRefusal(h); f != nil {
		return f
	}
	if c.toEngine && a.response.StatusCode < http.StatusMultipleChoices && h.Get(wire.HeaderWeightsSet) != a.weightsSet {
		e.metrics.countDropped(outcome.WrongSet)
		return a.rejectedFailure(outcome.WrongSet)
	}
	incomplete := !isEventStream(h) && h.Get(wire.HeaderOutcome) != string(outcome.Done)
	if incomplete || c.toEngine && a.response.StatusCode >= http.StatusInternalServerError {
		f := a.rejectedFailure(outcome.EngineError)
		f.connectionLost = h.Get(wire.HeaderReason) == wire.ReasonBackendBroken
		return f
	}
	return nil
}

// readBody reads the whole response body. It returns an error if the body is
// truncated or longer than limit.
func (a *attempt) readBody(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a.response.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("response body is larger than %d bytes", limit)
	}
	return data, nil
}
