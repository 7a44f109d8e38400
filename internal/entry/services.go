package entry

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/outcome"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const pathServices = "/services/"

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// entryHeaders are set or consumed by the entry and not forwarded.
var entryHeaders = []string{
	"Authorization", wire.HeaderOutcome, wire.HeaderReason, wire.HeaderAttempt, wire.HeaderWeightsSet,
	wire.HeaderFingerprint, wire.HeaderAlone, wire.HeaderResumeFrom, wire.HeaderDeadline, wire.HeaderPriority,
}

// dropLocal drops the headers that are not forwarded between caller and endpoint.
func dropLocal(h http.Header) {
	for _, names := range h["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for _, name := range entryHeaders {
		h.Del(name)
	}
}

func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	c, refused := e.newServiceCall(w, r)
	if refused != nil {
		e.refuse(w, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	result := callResult{}
	// The headers of the caller are changed and not copied: heads of many short lines are large.
	c.header = r.Header
	if idempotent(r) {
		dropLocal(c.header)
		result = e.runService(c)
	} else {
		claim, refused := newClaim(c, r.Header)
		if refused != nil {
			e.refuse(w, refused)
			return
		}
		dropLocal(c.header)
		result = e.runOnce(&claimedCall{call: c, claim: claim})
	}
	o, reason := result.outcome()
	e.metrics.countAnswer(o, reason)
	if o == outcome.NotRun {
		e.metrics.countRefusal(reason)
	}
	result.write(w)
}

// idempotent reports whether a call may be retried, because of its method or
// because the caller says so.
func idempotent(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return r.Header.Get(wire.HeaderIdempotent) == "true"
}

const (
	maxKeyBytes = 255
	// anonymousOrganisation owns the claims of callers without an organisation.
	anonymousOrganisation = "anonymous"
)

// newClaim validates the idempotency key and returns the claim for the call.
func newClaim(c *call, h http.Header) (ledger.Claim, *apiError) {
	key := h.Get(wire.HeaderIdempotencyKey)
	switch {
	case key == "":
		return ledger.Claim{}, refusal(http.StatusBadRequest, outcome.MissingKey,
			"this call is not idempotent and needs an "+wire.HeaderIdempotencyKey+" header; send the same key when repeating it")
	case len(key) > maxKeyBytes:
		return ledger.Claim{}, refusal(http.StatusBadRequest, outcome.InvalidHeader,
			wire.HeaderIdempotencyKey+" is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	content := append([]byte(c.method+" "+c.pool+" "+c.path+"\n"), c.body...)
	return ledger.Claim{
		Organisation: claimOrganisation(h), Key: key,
		RequestDigest: release.DigestOf(content), KeyTimeMs: keyTimeMs(key),
	}, nil
}

// claimOrganisation returns the organisation that owns the keys of a caller.
func claimOrganisation(h http.Header) string {
	return cmp.Or(h.Get(wire.HeaderOrganisation), anonymousOrganisation)
}

const (
	uuidLength        = 36
	uuidVersionAt     = 14
	uuidTimestampHex  = 12
	uuidTimestampDash = 8
)

// keyTimeMs returns the creation time of a key in Unix milliseconds if it is a
// version 7 UUID, which contains it, and zero otherwise. The ledger uses it to
// refuse keys older than its retention, whose claims it has already dropped.
func keyTimeMs(key string) int64 {
	if len(key) != uuidLength || key[uuidVersionAt] != '7' || key[uuidTimestampDash] != '-' {
		return 0
	}
	digits := key[:uuidTimestampDash] + key[uuidTimestampDash+1:uuidTimestampHex+1]
	ms, err := strconv.ParseInt(digits, 16, 64)
	if err != nil {
		return 0
	}
	return ms
}

func (e *Entry) newServiceCall(w http.ResponseWriter, r *http.Request) (*call, *apiError) {
	c, refused := e.newCall(w, r)
	if refused != nil {
		return nil, refused
	}
	service := mux.Vars(r)["service"]
	c.pool = servicePrefix + service
	if !e.fleet.serves(c.pool) {
		return nil, refusal(http.StatusNotFound, outcome.UnknownService,
			"no endpoint announces the service "+strconv.Quote(service)).withRetryAfter(time.Second)
	}
	c.path = strings.TrimPrefix(r.URL.EscapedPath(), pathServices+service)
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	return c, nil
}

// serviceResponse is the complete response of a service.
type serviceResponse struct {
	status  int
	header  http.Header
	body    []byte
	attempt string
}

func (s *serviceResponse) write(w http.ResponseWriter) {
	h := w.Header()
	forwarded := s.header.Clone()
	dropLocal(forwarded)
	maps.Copy(h, forwarded)
	h.Set(wire.HeaderOutcome, string(outcome.Done))
	h.Set(wire.HeaderAttempt, s.attempt)
	h.Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body)
}

// runService runs an idempotent call and retries it while that is allowed.
func (e *Entry) runService(c *call) callResult {
	s, refused := e.admitter.acquire(c.ctx, c)
	if refused != nil {
		return callResult{failure: refused}
	}
	completed := false
	defer func() { s.release(completed) }()
	defer e.gateQueue.leave(c)
	for attempts := 1; ; {
		response, failure := e.attemptService(c, e.attempts.Next().String(), e.client)
		if failure == nil {
			completed = true
			return callResult{response: response, attempt: c.lastAttempt}
		}
		if failure.mayHaveStarted {
			c.mayHaveRun = true
			attempts++
		}
		if final := e.afterFailure(c, failure, attempts); final != nil {
			return callResult{failure: final, attempt: c.lastAttempt}
		}
	}
}

// attemptService makes one attempt and reads its complete response.
func (e *Entry) attemptService(c *call, id string, client *http.Client) (*serviceResponse, *attemptFailure) {
	a, failure := e.startAttempt(c, id, client)
	if failure != nil {
		return nil, failure
	}
	data, err := a.readBody(maxAnswerBytes)
	if err != nil {
		f := a.transportFailure(err)
		e.finishAttempt(a, f.result)
		return nil, f
	}
	e.finishAttempt(a, balancer.Completed)
	return &serviceResponse{status: a.response.StatusCode, header: a.response.Header, body: data, attempt: a.id}, nil
}
