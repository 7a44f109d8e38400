package relay

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

// callerWriteSlack is how long after the deadline of a request its caller may take to read what
// was passed on. A caller that does not read would otherwise hold the slot of the endpoint for
// as long as its connection is open.
const callerWriteSlack = 200 * time.Millisecond

// limitWrites limits the time of writes to the caller while an answer is passed on that is not
// buffered. The returned function ends the limit.
func (q *request) limitWrites(w http.ResponseWriter) (end func()) {
	// Fails only if w has no connection, as in tests of the handler alone.
	c := http.NewResponseController(w)
	_ = c.SetWriteDeadline(q.deadline.Add(callerWriteSlack))
	return func() { _ = c.SetWriteDeadline(time.Time{}) }
}

// copyBody writes the start of a body and copies the rest. A failure of the caller's connection
// is an errRequestEnded.
func copyBody(w http.ResponseWriter, first []byte, a *attempt) error {
	if _, err := w.Write(first); err != nil {
		return errors.Join(errRequestEnded, err)
	}
	a.conn.limitReads(math.MaxInt64) // not buffered, and limited by the deadline of the request
	body := &errorReader{Reader: a.response.Body}
	if _, err := io.Copy(w, body); err != nil {
		if body.err == nil {
			err = errors.Join(errRequestEnded, err)
		}
		return err
	}
	return nil
}

// errorReader records the error other than io.EOF with which its reader fails.
type errorReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// streamState is the state of a stream to the caller.
type streamState struct {
	w           http.ResponseWriter
	flusher     http.Flusher
	started     bool
	lastEventID string
	version     uint64
	contentType string // of the first answer
}

// relayStream passes on the events of a stream. If the stream breaks, it resumes on
// another endpoint within the same answer, if the route allows it.
func (h *handler) relayStream(w http.ResponseWriter, q *request, c placement.Choice, a *attempt) (result, Reason) {
	flusher, _ := w.(http.Flusher)
	s := &streamState{w: w, flusher: flusher, lastEventID: q.call.LastEvent, version: a.answer.Version, contentType: contentType(a)}
	defer q.limitWrites(w)()
	for {
		err := h.relayEvents(q, c, a, s)
		if err == nil {
			a.complete = true
			a.release()
			h.endSend(q, c, placement.Success, nil)
			h.recordSound(q, a.began)
			return result{}, ""
		}
		a.close()
		if q.ctx.Err() != nil || errors.Is(err, errRequestEnded) {
			return h.endStream(q, c, s)
		}
		reason, attemptResult := RetryBroken, placement.Broken
		if errors.Is(err, errReadTimeout) {
			reason, attemptResult = q.readTimeoutResult()
		}
		h.endSend(q, c, attemptResult, err)
		if !s.started {
			return result{refusal: &refusal{status: http.StatusBadGateway, reason: AnswerLost}}, reason
		}
		if c, a = h.resume(q, s, reason); a == nil {
			h.abort(q, StreamBroken, err)
		}
	}
}

// endStream ends a stream whose caller disconnected or whose deadline passed.
func (h *handler) endStream(q *request, c placement.Choice, s *streamState) (result, Reason) {
	r, _ := h.handleRequestEnd(q, c)
	if s.started {
		h.abort(q, r.refusal.reason, errRequestEnded)
	}
	return r, ""
}

// errNotResumed means that an endpoint did not resume a stream after its last event.
var errNotResumed = errors.New("endpoint did not resume the stream after its last event")

// relayEvents passes on complete events until the stream ends. An endpoint that resumes a
// stream must begin after its last event.
func (h *handler) relayEvents(q *request, c placement.Choice, a *attempt, s *streamState) error {
	events := newEventReader(a.response.Body)
	first, continued := true, !s.started
	for {
		if err := a.conn.SetReadDeadline(q.readDeadline(streamReadTimeout)); err != nil {
			return errors.Join(errConnectionBroken, err)
		}
		a.conn.limitReads(maxEventBytes + maxHeadBytes)
		ev, err := events.next()
		switch {
		case errors.Is(err, io.EOF) && a.endsWithConnection() && (first || len(ev.data) > 0):
			// The connection ended inside an event, or before the first one.
			return errors.Join(errConnectionBroken, io.ErrUnexpectedEOF)
		case errors.Is(err, io.EOF):
			s.start(a)
			if _, err := s.w.Write(ev.data); err != nil {
				return errors.Join(errRequestEnded, err)
			}
			return nil
		case err != nil:
			return readError(err)
		}
		if !continued && (ev.hasData || ev.id != "") {
			if !isAfter(ev.id, s.lastEventID) {
				return fmt.Errorf("%w: event %q follows %q", errNotResumed, ev.id, s.lastEventID)
			}
			continued = true
		}
		if first {
			first, a.began = false, time.Now()
			h.dispatcher.firstEvent(q, c.ID, time.Since(q.placedAt)-c.ModelTTFT)
			q.inPrefill = false
			if q.record.firstEvent == 0 {
				q.record.firstEvent = time.Since(q.arrived)
			}
		}
		now := time.Now()
		q.record.event(now)
		if now.Sub(a.began) >= soundDelay {
			h.recordSound(q, a.began)
		}
		s.start(a)
		if _, err := s.w.Write(ev.data); err != nil {
			return errors.Join(errRequestEnded, err)
		}
		if ev.id != "" {
			s.lastEventID = ev.id
		}
		if !events.buffered() {
			s.flush()
		}
	}
}

// event records an event that was passed on.
func (r *record) event(now time.Time) {
	r.events++
	if !r.lastEvent.IsZero() {
		r.maxEventGap = max(r.maxEventGap, now.Sub(r.lastEvent))
	}
	r.lastEvent = now
}

// contentType returns the media type of an answer without its parameters.
func contentType(a *attempt) string {
	mediaType, _, _ := strings.Cut(a.response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(mediaType))
}

func (s *streamState) start(a *attempt) {
	if s.started {
		return
	}
	s.started = true
	copyHeader(s.w.Header(), a.response.Header)
	s.w.Header().Del("Content-Length")
	s.w.WriteHeader(a.response.StatusCode)
}

func (s *streamState) flush() {
	if s.flusher != nil {
		s.flusher.Flush()
	}
}

// resume resumes a stream on another endpoint. The attempt is nil if the stream cannot
// be resumed.
func (h *handler) resume(q *request, s *streamState, reason Reason) (placement.Choice, *attempt) {
	for {
		if s.lastEventID == "" {
			h.recordNotRepeated(q, NoEventID)
			return placement.Choice{}, nil
		}
		if !h.mayRetry(q, reason) {
			return placement.Choice{}, nil
		}
		q.record.retries = append(q.record.retries, string(reason))
		h.metrics.retried.Inc(reason)
		q.resumed = true
		c, refused := h.place(q, s.version)
		if refused != nil {
			h.recordNotRepeated(q, refused.reason)
			return c, nil
		}
		q.tried = append(q.tried, c.ID)
		a, err := h.roundTrip(q.ctx, q, c, h.forwarding(q, c, s.lastEventID), streamReadTimeout)
		if err != nil {
			var r result
			if r, reason = h.handleSendError(q, c, err); reason == "" || r.refusal == nil {
				return c, nil
			}
			continue
		}
		h.recordAnswer(q, c, a)
		if a.answer.NotRun {
			_, reason = h.handleNotRun(q, c, a)
			continue
		}
		q.sends++
		if a.response.StatusCode == http.StatusOK && contentType(a) == s.contentType {
			return c, a
		}
		a.close()
		h.endSend(q, c, placement.ErrorStatus, fmt.Errorf("endpoint refused to resume the stream: status %s, content type %q", a.response.Status, contentType(a)))
		reason = RetryErrorStatus
	}
}
