package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

// Causes for ending an attempt from this side.
var (
	errStalled  = errors.New("no progress on the endpoint")
	errFinished = errors.New("attempt finished")
	// errSuspect ends the copies of a request that has become a suspect.
	errSuspect = errors.New("the request is suspected of crashing endpoints")
)

const maxHeaderBytes = 64 << 10

// dialError marks an error before anything was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// newGateClient returns the client for gates. With reuse false each request
// gets its own connection: net/http resends a request with an Idempotency-Key
// by itself when a reused connection fails, which a call that must run at most
// once cannot allow.
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
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call is a caller's request on its way through the entry.
type call struct {
	ctx          context.Context
	method       string
	path         string // path and query, as the endpoint sees them
	header       http.Header
	body         []byte
	organisation string
	pool         string
	stream       bool
	toEngine       bool
	fingerprint  string
	exclusive        bool     // suspected: runs with no neighbour
	reservationHolder  string   // of the single run of a suspect, over all entries
	avoid        []string // endpoints lost to this request
	affinity     uint64
	priority     string
	deadline     time.Time
	arrived      time.Time

	weightsSet     string // pinned weights set
	exclude map[string]bool
	relayedTokens  int    // tokens that the caller already has
	lastAttempt    string // identifier of the last attempt
	// waitUntil bounds the wait for a free endpoint, once one began.
	waitUntil time.Time
	mayHaveRun       bool // an attempt may have started
}

func (c *call) lowPriority() bool {
	n, err := strconv.Atoi(c.priority)
	return err == nil && n < 0
}

// attemptBody is the caller's body, with the token index once a stream resumes.
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

// attempt is one try at running a call on one endpoint.
type attempt struct {
	id       string
	endpoint string
	gate     gateAddress
	weightsSet      string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	response *http.Response
	timer    *time.Timer // ends an attempt without stream
}

// gateAddress is where an attempt is sent. The incarnation tells a restarted
// gate from the one that the attempt was meant for.
type gateAddress struct {
	address     string
	incarnation uint64
}

func (g gateAddress) url(path string) string { return "http://" + g.address + path }

func (g gateAddress) setHeader(h http.Header) {
	h.Set(wire.HeaderGateIncarnation, strconv.FormatUint(g.incarnation, 10))
}

// attemptFailure says why an attempt gave no whole answer.
type attemptFailure struct {
	reason outcome.Reason
	result balancer.Result
	// mayHaveStarted is false only when it is proved that the attempt has not begun.
	mayHaveStarted bool
	// connectionLost is true when the connection broke while the attempt may have run.
	connectionLost bool
	// modelWithdrawn is true when the gate refused because a note withdrew the model.
	modelWithdrawn bool
	// atCapacity is true when the gate refused for lack of capacity only.
	atCapacity bool
	// gateRefused is true when the failure is a gate's refusal, the answer to the
	// attempt itself.
	gateRefused  bool
	endpoint string
	gate     gateAddress
	id       string
}

// startAttempt places a call on an endpoint and sends it as the attempt id. The
// answer's header has been checked to belong to this attempt.
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
		// After the start was recorded, so that no copy slips between the check
		// and the cancelling of copies.
		e.finishAttempt(a, balancer.Cancelled)
		return nil, &attemptFailure{reason: outcome.SuspectCopy, result: balancer.Cancelled, endpoint: a.endpoint}
	}
	if !c.stream { // its progress is invisible
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

// startNextAttempt is open with a new identifier.
func (e *Entry) startNextAttempt(c *call) (*attempt, *attemptFailure) {
	return e.startAttempt(c, e.attempts.Next().String(), e.client)
}

// finishAttempt records how the attempt ended and releases its connection.
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
	request.GetBody = nil // no resend inside net/http
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

// transportFailure classifies an error of the connection to the gate.
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

// rejectedFailure is the failure of an attempt whose answer must not be passed on.
func (a *attempt) rejectedFailure(reason outcome.Reason) *attemptFailure {
	return &attemptFailure{reason: reason, result: balancer.Failed, mayHaveStarted: true, endpoint: a.endpoint, gate: a.gate, id: a.id}
}

// Reasons of gates that the entry tells apart.
const (
	gateAtCapacity     = "at-capacity"
	gateRestarted      = "gate-restarted"
	gateModelWithdrawn = "model-withdrawn"
)

// gateRefusal returns the failure of an attempt that the gate refused before
// its start, nil for any other answer. A gate that restarted cannot itself
// vouch for what its earlier process did, but an attempt is sent only once, so
// its refusal is proof.
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

// checkHeaders decides from status and headers whether the answer is a refusal,
// belongs to this attempt, and comes from the pinned weights set. An answer
// that the gate does not call whole is none, streams aside.
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

// readBody reads an answer to its end. A cut answer is an error.
func (a *attempt) readBody(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a.response.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.New("answer is larger than the limit")
	}
	return data, nil
}
