package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
)

const (
	maxAnswerBytes = 32 << 20
	retryPause     = 200 * time.Millisecond
	contentYAML    = "application/yaml"
)

// Errors of the client. Each has its own exit code.
var (
	ErrRefused     = errors.New("refused")
	ErrUnknown     = errors.New("outcome unknown: send the same order again")
	ErrBadInput    = errors.New("bad input")
	ErrUnreachable = errors.New("no control replica reached")
	ErrNotInForce  = errors.New("accepted, but not in force in time")
)

// Client calls the operator API of any of several control replicas.
type Client struct {
	// Replicas are the operator addresses, IP and port.
	Replicas []string
	Token    auth.Token
	// AttemptTimeout limits one call to one replica.
	AttemptTimeout time.Duration
	HTTP           *http.Client

	mu       sync.Mutex
	failures map[string]time.Time // time of the last failure of each replica that has not answered since
}

// answer is the HTTP response of one replica.
type answer struct {
	status  int
	body    []byte
	current bool // HeaderCurrent is not "false"
}

// call sends one request to one replica. sent is false only if the request cannot
// have reached it.
func (c *Client) call(ctx context.Context, replica, method, path string, body []byte) (a answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
	defer cancel()
	// The error does not show whether the deadline passed before the connection
	// was open, so a trace records whether anything can have been sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+replica+path, bytes.NewReader(body))
	if err != nil {
		return a, false, oops.In("operator").Wrapf(ErrBadInput, "%v", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Token.Secret())
	if body != nil {
		request.Header.Set("Content-Type", contentYAML)
	}
	response, err := c.HTTP.Do(request)
	c.recordResult(replica, err == nil)
	if err != nil {
		return a, connected.Load(), oops.In("operator").Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.current = response.StatusCode, response.Header.Get(HeaderCurrent) != "false"
	a.body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return a, true, oops.In("operator").Wrap(err)
}

// replicasByFailure returns the replicas, those that failed most recently last: a
// paused replica accepts connections and costs a whole AttemptTimeout each time.
func (c *Client) replicasByFailure() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	order := slices.Clone(c.Replicas)
	slices.SortStableFunc(order, func(a, b string) int { return c.failures[a].Compare(c.failures[b]) })
	return order
}

// recordResult records whether a replica answered.
func (c *Client) recordResult(replica string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures == nil {
		c.failures = map[string]time.Time{}
	}
	if answered {
		delete(c.failures, replica)
		return
	}
	c.failures[replica] = time.Now()
}

// Document is the result of Get.
type Document struct {
	Text    []byte // JSON
	Replica string
	// Current is false if no replica could confirm that its answer is the latest
	// state; Text is then the last known state of Replica.
	Current bool
}

// Get reads a document into out, preferably from a replica whose answer is current.
func (c *Client) Get(ctx context.Context, path string, query url.Values, out any) (Document, error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var best Document
	last := ErrUnreachable
	for _, replica := range c.replicasByFailure() {
		a, _, err := c.call(ctx, replica, http.MethodGet, path, nil)
		switch {
		case err != nil:
			last = oops.In("operator").Wrapf(ErrUnreachable, "%s: %v", replica, err)
		case a.status >= http.StatusInternalServerError:
			last = oops.In("operator").Wrapf(ErrUnreachable, "%s: status %d: %s", replica, a.status, a.body)
		case a.status != http.StatusOK:
			return best, clientError(replica, a)
		case a.current || best.Text == nil:
			best = Document{Text: a.body, Replica: replica, Current: a.current}
		}
		if best.Current {
			break
		}
	}
	if best.Text == nil {
		return best, last
	}
	return best, oops.In("operator").With("replica", best.Replica).Wrap(json.Unmarshal(best.Text, out))
}

// clientError translates an answer with a 4xx status to an error.
func clientError(replica string, a answer) error {
	notJSON := !json.Valid(a.body)
	switch {
	case a.status == http.StatusNotFound && notJSON, a.status == http.StatusMethodNotAllowed:
		return oops.In("operator").Wrapf(ErrBadInput, "%s: status %d: not the operator port of a control replica", replica, a.status)
	case a.status == http.StatusNotFound:
		return oops.In("operator").Wrapf(ErrRefused, "no such key is known")
	case a.status == http.StatusGone:
		return oops.In("operator").Wrapf(ErrRefused, "the key has expired")
	}
	switch a.status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden:
		return oops.In("operator").Wrapf(ErrBadInput, "%s: status %d: %s", replica, a.status, bytes.TrimSpace(a.body))
	}
	return oops.In("operator").Wrapf(ErrRefused, "%s: status %d: %s", replica, a.status, bytes.TrimSpace(a.body))
}

// Check asks a replica whether a note would be accepted now.
func (c *Client) Check(ctx context.Context, note []byte) (NoteAnswer, error) {
	last := ErrUnreachable
	for _, replica := range c.replicasByFailure() {
		a, _, err := c.call(ctx, replica, http.MethodPost, PathNotesCheck, note)
		if err != nil || a.status >= http.StatusInternalServerError {
			last = oops.In("operator").Wrapf(ErrUnreachable, "%s: status %d: %v", replica, a.status, err)
			continue
		}
		n, err := parseNoteAnswer(replica, a)
		if n.Status == NoteInvalid && a.status == http.StatusUnprocessableEntity {
			err = oops.In("operator").With("replica", replica).Wrapf(ErrRefused, "note does not fit the catalogue")
		}
		return n, err
	}
	return NoteAnswer{}, last
}

// Submit sends a note to one replica after another until one gives a final answer
// or ctx ends. After a lost or "unknown" answer, sending the same note again is safe,
// since submission is idempotent.
func (c *Client) Submit(ctx context.Context, note []byte) (NoteAnswer, error) {
	return c.submit(ctx, PathNotes, note)
}

// Evacuate orders the start or the end of the evacuation of a zone as Submit does a note.
func (c *Client) Evacuate(ctx context.Context, order EvacuationOrder) (NoteAnswer, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return NoteAnswer{}, oops.In("operator").Wrap(err)
	}
	return c.submit(ctx, PathEvacuations, body)
}

func (c *Client) submit(ctx context.Context, path string, body []byte) (NoteAnswer, error) {
	mayBeAccepted := false
	var last error
	for {
		for _, replica := range c.replicasByFailure() {
			a, sent, err := c.call(ctx, replica, http.MethodPost, path, body)
			if err != nil {
				mayBeAccepted = mayBeAccepted || sent
				last = oops.In("operator").Wrapf(err, "%s", replica)
				continue
			}
			result, err := parseNoteAnswer(replica, a)
			if isFinal(err, mayBeAccepted) {
				return result, err
			}
			mayBeAccepted = mayBeAccepted || errors.Is(err, ErrUnknown)
			last = err
		}
		select {
		case <-ctx.Done():
			if mayBeAccepted {
				return NoteAnswer{Status: NoteUnknown}, oops.In("operator").Wrapf(ErrUnknown, "%v", last)
			}
			return NoteAnswer{}, oops.In("operator").Wrapf(ErrUnreachable, "%v", last)
		case <-time.After(retryPause):
		}
	}
}

// isFinal reports whether a replica's answer determines the outcome of the note. If
// an earlier answer was lost, a rejection of the request by one replica, because of
// its token or version, does not.
func isFinal(err error, mayBeAccepted bool) bool {
	if errors.Is(err, ErrBadInput) {
		return !mayBeAccepted
	}
	return !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrUnreachable)
}

// parseNoteAnswer translates a replica's answer about a note. Without a known note
// status, the outcome is unknown unless the HTTP status is 4xx.
func parseNoteAnswer(replica string, a answer) (NoteAnswer, error) {
	var n NoteAnswer
	if err := json.Unmarshal(a.body, &n); err != nil {
		n = NoteAnswer{Reason: string(bytes.TrimSpace(a.body))}
	}
	problem := oops.In("operator").With("replica", replica)
	switch n.Status {
	case NoteAccepted, NoteValid:
		return n, nil
	case NoteRefused, NoteConflict:
		return n, problem.Wrapf(ErrRefused, "%s", n.Reason)
	case NoteInvalid:
		return n, problem.Wrapf(ErrBadInput, "%s", n.Reason)
	case NoteNotRun:
		return n, problem.Wrapf(ErrUnreachable, "%s: %s", replica, n.Reason)
	case NoteUnknown:
		return n, problem.Wrapf(ErrUnknown, "%s: %s", replica, n.Reason)
	}
	if a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError {
		return n, clientError(replica, a)
	}
	return n, problem.Wrapf(ErrUnknown, "%s: status %d", replica, a.status)
}

// WaitInForce polls until a revision is in force on every known instance.
func (c *Client) WaitInForce(ctx context.Context, revision uint64, poll time.Duration) error {
	for {
		var status Status
		_, err := c.Get(ctx, PathStatus, nil, &status)
		if err == nil && status.InForceRevision >= revision {
			return nil
		}
		select {
		case <-ctx.Done():
			return oops.In("operator").Wrapf(ErrNotInForce, "revision %d, in force %d, last error %v", revision, status.InForceRevision, err)
		case <-time.After(poll):
		}
	}
}
