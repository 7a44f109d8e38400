package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

const pathServices = "/services/"

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// ownHeaders are set or consumed by the entry.
var ownHeaders = []string{
	"Authorization", wire.HeaderOutcome, wire.HeaderReason, wire.HeaderAttempt, wire.HeaderWeightsSet,
	wire.HeaderFingerprint, wire.HeaderAlone, wire.HeaderResumeFrom, wire.HeaderDeadline, wire.HeaderPriority,
}

// passedHeader copies the headers that belong to caller and endpoint.
func passedHeader(from http.Header) http.Header {
	h := from.Clone()
	for _, names := range from.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	for _, name := range ownHeaders {
		h.Del(name)
	}
	return h
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
	answer, final := e.runService(c, e.client)
	if final != nil {
		e.giveUp(w, c, &streamRelay{}, final)
		return
	}
	answer.write(w)
	e.metrics.answered(outcome.Done, "")
}

func (e *Entry) newServiceCall(w http.ResponseWriter, r *http.Request) (*call, *answerError) {
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
	c.header = passedHeader(r.Header)
	return c, nil
}

// serviceAnswer is the whole answer of a service.
type serviceAnswer struct {
	status  int
	header  http.Header
	body    []byte
	attempt string
}

func (s *serviceAnswer) write(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range passedHeader(s.header) {
		h[name] = values
	}
	h.Set(wire.HeaderOutcome, string(outcome.Done))
	h.Set(wire.HeaderAttempt, s.attempt)
	h.Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body)
}

// runService runs an idempotent call, repeating it while that is allowed.
func (e *Entry) runService(c *call, client *http.Client) (*serviceAnswer, *answerError) {
	for tries := 1; ; {
		answer, failure := e.tryService(c, client)
		if failure == nil {
			return answer, nil
		}
		if failure.started {
			c.ran = true
			tries++
		}
		if final := e.afterFailure(c, failure, tries); final != nil {
			return nil, final
		}
	}
}

// tryService makes one attempt and reads its answer to the end.
func (e *Entry) tryService(c *call, client *http.Client) (*serviceAnswer, *attemptFailure) {
	a, failure := e.open(c, client)
	if failure != nil {
		return nil, failure
	}
	data, err := a.readWhole(maxAnswerBytes)
	if err != nil {
		f := a.transportFailure(err)
		e.end(a, f.result)
		return nil, f
	}
	e.end(a, balancer.Completed)
	return &serviceAnswer{status: a.response.StatusCode, header: a.response.Header, body: data, attempt: a.id}, nil
}
