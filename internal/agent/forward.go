package agent

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
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/gate"
	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

// maxAnswerBytes is the maximum size of an engine's unstreamed answer, which is
// buffered until its weights set is checked.
const maxAnswerBytes = 16 << 20

var (
	errCancelled   = errors.New("attempt cancelled")
	errWrongSet    = errors.New("engine answered with a weights set other than the pinned one")
	errOtherAnswer = errors.New("engine sent data of another answer")
	errCutShort    = errors.New("answer is incomplete or malformed")
	errTooLarge    = errors.New("answer exceeds the size limit")

	errCallerGone = errors.New("entry closed the connection")
)

// newBackendClient returns the client for forwarded attempts. For a plain
// service, it opens a connection for each call: net/http resends some requests
// when a reused connection fails, but a call must run at most once.
func newBackendClient(kind wire.EndpointKind, n network.Network) *http.Client {
	transport := network.HTTPTransport(n)
	transport.DisableKeepAlives = kind == wire.KindService
	return &http.Client{
		Transport:     network.CheckStatuses(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// forward handles the request of an entry to run an attempt.
func (a *Agent) forward(w http.ResponseWriter, r *http.Request) {
	t, err := parseAttempt(w, r, int64(a.cfg.Settings.MaxBody))
	w.Header().Set(wire.HeaderAttempt, t.id)
	if err == nil && a.isEngine() {
		err = t.prepareChat()
	}
	if err != nil {
		a.refuse(w, http.StatusBadRequest, gate.Decision{Reason: reasonInvalid, ProvesNotRun: true})
		return
	}
	ctx, cancel := attemptContext(r.Context(), t.deadline)
	defer cancel(nil)
	if d := a.begin(ctx, t, cancel); d.Verdict != gate.Start {
		a.refuse(w, statusOf(d.Reason), d)
		return
	}
	a.run(ctx, w, r, t)
}

func attemptContext(parent context.Context, deadline time.Duration) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	if deadline <= 0 {
		return ctx, cancel
	}
	timer := time.AfterFunc(deadline, func() { cancel(context.DeadlineExceeded) })
	return ctx, func(cause error) { timer.Stop(); cancel(cause) }
}

func statusOf(reason gate.Reason) int {
	switch reason {
	case gate.SetNotLoaded, reasonModelWithdrawn, gate.AlreadySeen, gate.AttemptFenced, gate.TooOld, reasonGateRestarted:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// refuse sends an error response for an attempt. The outcome is "not run" only
// if the decision proves it, and unknown otherwise.
func (a *Agent) refuse(w http.ResponseWriter, status int, d gate.Decision) {
	result := outcome.Unknown
	if d.ProvesNotRun {
		result = outcome.NotRun
	}
	a.metrics.refusals.Inc(d.Reason)
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(result))
	h.Set(wire.HeaderReason, string(d.Reason))
	h.Set("Retry-After", "1")
	http.Error(w, string(d.Reason), status)
}

// begin asks the gate to start an attempt. An exclusive attempt waits here
// until it may run.
func (a *Agent) begin(ctx context.Context, t *attempt, cancel context.CancelCauseFunc) gate.Decision {
	for {
		d, ended := a.tryBegin(t, cancel)
		if d.Verdict != gate.Wait {
			return d
		}
		timer := time.NewTimer(exclusiveRetryInterval)
		select {
		case <-ended:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			a.state.mu.Lock()
			a.state.gate.CancelWait(t.request.ID)
			a.state.mu.Unlock()
			return gate.Decision{Reason: reasonCallerGone, ProvesNotRun: true}
		}
	}
}

const exclusiveRetryInterval = 100 * time.Millisecond

func (a *Agent) tryBegin(t *attempt, cancel context.CancelCauseFunc) (gate.Decision, <-chan struct{}) {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if t.incarnation != 0 && t.incarnation != a.incarnation {
		return gate.Decision{Reason: reasonGateRestarted}, s.ended
	}
	c := s.conditions(now)
	if c.Refusal == "" && a.isEngine() && !s.serves(t.model, t.request.Set) {
		c.Refusal = reasonModelWithdrawn
	}
	d := s.gate.Begin(t.request, c, now)
	if d.Verdict == gate.Start {
		s.health.started(t.request.ID, inFlightAttempt{started: now, lastToken: now, setID: t.request.Set, stream: t.stream, cancel: cancel})
	}
	return d, s.ended
}

// run sends a started attempt to the backend and relays the answer.
func (a *Agent) run(ctx context.Context, w http.ResponseWriter, r *http.Request, t *attempt) {
	request, err := a.backendRequest(ctx, r, t)
	if err != nil {
		a.refuseUnsent(w, http.StatusBadRequest, t, reasonInvalid)
		return
	}
	// The process may have been paused since the gate's decision, so the lease
	// is checked again.
	if reason, ok := a.checkLease(); !ok {
		a.refuseUnsent(w, http.StatusServiceUnavailable, t, reason)
		return
	}
	response, err := a.backend.Do(request)
	if err != nil {
		a.sendFailed(ctx, w, t, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if a.isEngine() && response.StatusCode == http.StatusNotFound {
		a.requestPoll()
		a.refuseUnsent(w, http.StatusConflict, t, gate.SetNotLoaded)
		return
	}
	a.relayAnswer(ctx, w, t, response)
}

func (a *Agent) checkLease() (gate.Reason, bool) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return a.state.mayServe(time.Now())
}

// refuseUnsent refuses an attempt that the gate started but the backend never
// ran.
func (a *Agent) refuseUnsent(w http.ResponseWriter, status int, t *attempt, reason gate.Reason) {
	a.state.cancelStart(t.request.ID)
	a.refuse(w, status, gate.Decision{Reason: reason, ProvesNotRun: true})
}

// sendFailed handles an attempt without a response from the backend.
func (a *Agent) sendFailed(ctx context.Context, w http.ResponseWriter, t *attempt, err error) {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		a.requestPoll()
		a.refuseUnsent(w, http.StatusServiceUnavailable, t, reasonUnreachable)
		return
	}
	a.recordFailure(ctx, t, err)
	a.refuse(w, http.StatusBadGateway, gate.Decision{Reason: wire.ReasonBackendBroken})
}

// recordFailure records an attempt without a complete answer. A connection
// broken by the backend may mean that the backend crashed. This also holds for
// an attempt that was cancelled first, because the entry cancels the copies of
// a request that crashed another endpoint.
func (a *Agent) recordFailure(ctx context.Context, t *attempt, err error) {
	reason := failureReason(ctx, err)
	a.metrics.failures.Inc(reason)
	a.log.WithFields(log.Fields{"attempt": t.id, "reason": reason}).WithError(err).Info("attempt_failed")
	switch reason {
	case "cut-short", "cancelled", "caller-gone", "deadline":
		a.crashes.recordBroken(gate.Attempt{ID: t.request.ID, Fingerprint: t.request.Fingerprint, Exclusive: t.request.Exclusive})
	}
	a.state.finish(t.request.ID, false)
	if reason == "wrong-set" {
		a.requestPoll()
	}
}

func failureReason(ctx context.Context, err error) string {
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return "cancelled"
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return "deadline"
	case ctx.Err() != nil, errors.Is(err, errCallerGone):
		return "caller-gone"
	case errors.Is(err, errWrongSet):
		return "wrong-set"
	case errors.Is(err, errOtherAnswer):
		return "crossed"
	case errors.Is(err, errTooLarge):
		return "too-large"
	}
	return "cut-short"
}

// backendRequest builds the request to the engine or service.
func (a *Agent) backendRequest(ctx context.Context, r *http.Request, t *attempt) (*http.Request, error) {
	url := a.cfg.Settings.Backend + strings.TrimPrefix(r.URL.RequestURI(), wire.PathGateForward)
	request, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(t.body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // prevents net/http from resending the request
	if a.isEngine() {
		request.Header.Set("Content-Type", "application/json")
		if t.priority != "" {
			request.Header.Set(engine.HeaderPriority, t.priority)
		}
		return request, nil
	}
	copyHeader(request.Header, r.Header)
	return request, nil
}

// connectionHeaders are the headers that are not forwarded, because they apply
// to one connection or are for the system's own processes.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "Content-Length": true, "Accept-Encoding": true,
	wire.HeaderOutcome: true, wire.HeaderReason: true, wire.HeaderGateIncarnation: true, wire.HeaderAttempt: true,
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[http.CanonicalHeaderKey(name)] {
			to[name] = append([]string(nil), values...)
		}
	}
}

// relayAnswer forwards the backend's answer to the entry. After a failure past
// the first byte, it aborts the connection, so that the entry cannot mistake a
// partial answer for a complete one.
func (a *Agent) relayAnswer(ctx context.Context, w http.ResponseWriter, t *attempt, response *http.Response) {
	started, err := false, error(nil)
	switch {
	case !a.isEngine():
		started, err = true, a.relayService(w, response)
	case response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		s := &stream{agent: a, w: w, attempt: t, header: response.Header}
		err = s.relay(response.Body)
		started = s.headerSent
	default:
		err = a.relayUnstreamed(w, t, response)
	}
	if err == nil {
		a.recordCompletion(t)
		return
	}
	a.recordFailure(ctx, t, err)
	if started {
		panic(http.ErrAbortHandler)
	}
	a.refuse(w, http.StatusBadGateway, gate.Decision{Reason: gate.Reason(failureReason(ctx, err))})
}

func (a *Agent) recordCompletion(t *attempt) {
	a.state.finish(t.request.ID, true)
	a.metrics.completed.Inc()
	if t.request.Exclusive && t.request.Fingerprint != "" {
		a.crashes.clearSuspect(t.request.Fingerprint)
	}
}

// relayService forwards a service's answer without buffering it.
func (a *Agent) relayService(w http.ResponseWriter, response *http.Response) error {
	copyHeader(w.Header(), response.Header)
	if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.Header().Set(wire.HeaderOutcome, string(outcome.Done))
	w.WriteHeader(response.StatusCode)
	flusher := http.NewResponseController(w)
	buffer := make([]byte, 16<<10)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return errors.Join(errCallerGone, err)
			}
			if err := flusher.Flush(); err != nil {
				return errors.Join(errCallerGone, err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayUnstreamed buffers an engine's answer until it is complete and its
// weights set is checked, then forwards it.
func (a *Agent) relayUnstreamed(w http.ResponseWriter, t *attempt, response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxAnswerBytes {
		return errTooLarge
	}
	if response.StatusCode < http.StatusMultipleChoices {
		var origin answerOrigin
		if err := json.Unmarshal(data, &origin); err != nil {
			return fmt.Errorf("%w: %w", errCutShort, err)
		}
		if err := t.checkOrigin(response.Header, origin); err != nil {
			return err
		}
		w.Header().Set(wire.HeaderWeightsSet, t.request.Set)
		a.recordProgress(t) // not for error responses, which show no progress
	}
	h := w.Header()
	copyHeader(h, response.Header)
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(wire.HeaderOutcome, string(outcome.Done))
	w.WriteHeader(response.StatusCode)
	if _, err = w.Write(data); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

func (a *Agent) recordProgress(t *attempt) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.state.health.recordProgress(t.request.ID, time.Now())
}

// answerOrigin holds the fields of an answer that identify the request and the
// weights set that it belongs to.
type answerOrigin struct {
	ID          string `json:"id"`
	Model       string `json:"model"`
	Fingerprint string `json:"system_fingerprint"`
}

// checkOrigin checks that an answer has the attempt's weights set and model.
func (t *attempt) checkOrigin(h http.Header, origin answerOrigin) error {
	if set := h.Get(engine.HeaderWeightsSet); set != t.request.Set || origin.Fingerprint != t.request.Set {
		return errWrongSet
	}
	if origin.Model != "" && origin.Model != t.model {
		return errOtherAnswer
	}
	return nil
}
