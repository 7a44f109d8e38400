package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
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
	streamPosition
	w       http.ResponseWriter
	flusher http.Flusher
}

// streamPosition is how far a stream has come.
type streamPosition struct {
	started     bool // the head of the answer was passed on
	begun       bool // an event that is no comment was passed on
	lastEventID string
	version     uint64
	contentType string // of the first answer
}

// streamSend is one send of a stream to an endpoint.
type streamSend struct {
	choice  placement.Choice
	ctx     context.Context
	cancel  context.CancelFunc // closes the connection
	attempt *attempt           // nil until the head of the answer has arrived
	events  *eventReader
	// ahead are events that were read but not passed on; aheadEnd is true if the stream
	// ends with the last of them.
	ahead    []event
	aheadEnd bool
	begun    bool // an event has arrived
	// continued is true once an event was found to come after the last one passed on.
	continued bool
}

// newStreamSend returns a send that ends with ctx.
func newStreamSend(ctx context.Context, c placement.Choice) *streamSend {
	send := &streamSend{choice: c}
	send.ctx, send.cancel = context.WithCancel(ctx)
	return send
}

// opened records the head of the answer.
func (send *streamSend) opened(a *attempt, p streamPosition) {
	send.attempt, send.events, send.continued = a, newEventReader(a.response.Body, a.budget), !p.begun
}

// releaseEvents returns what was taken for events, if all that were read are passed on.
func (send *streamSend) releaseEvents() {
	if send.events != nil && len(send.ahead) == 0 {
		send.events.release()
	}
}

// close closes the connection.
func (send *streamSend) close() {
	send.ahead = nil
	send.releaseEvents()
	if send.attempt != nil {
		send.attempt.close()
	}
	send.cancel()
}

var (
	// errNotResumed means that an endpoint did not resume a stream after its last event.
	errNotResumed = errors.New("endpoint did not resume the stream after its last event")
	// errResumeRefused means that an endpoint answered the request to resume a stream with
	// something else than a stream.
	errResumeRefused = errors.New("endpoint refused to resume the stream")
	// errNotRun means that the endpoint stated that the request did not run.
	errNotRun = errors.New("endpoint did not run the request")
)

// next returns the next event and whether it is the end of the stream. An endpoint that resumes
// a stream must begin after its last event.
func (send *streamSend) next(p streamPosition) (ev event, end bool, err error) {
	if len(send.ahead) > 0 {
		ev, send.ahead = send.ahead[0], send.ahead[1:]
		return ev, send.aheadEnd && len(send.ahead) == 0, nil
	}
	send.attempt.conn.limitReads(maxEventBytes + maxHeadBytes)
	ev, err = send.events.next()
	switch {
	case errors.Is(err, io.EOF) && send.attempt.endsWithConnection() && (!send.begun || len(ev.data) > 0):
		// The connection ended inside an event, or before the first one.
		return event{}, false, errors.Join(errConnectionBroken, io.ErrUnexpectedEOF)
	case errors.Is(err, io.EOF):
		return ev, true, nil
	case err != nil:
		return event{}, false, readError(err)
	}
	send.begun = true
	if !send.continued && ev.hasContent() {
		if !isAfter(ev.id, p.lastEventID) {
			return event{}, false, fmt.Errorf("%w: event %q follows %q", errNotResumed, ev.id, p.lastEventID)
		}
		send.continued = true
	}
	return ev, false, nil
}

// readAhead reads up to the first event with data, or to the end of the stream.
func (send *streamSend) readAhead(p streamPosition) error {
	var list []event
	for {
		ev, end, err := send.next(p)
		if err != nil {
			return err
		}
		list = append(list, ev)
		if send.events.held > maxAheadBytes {
			return errors.Join(errConnectionBroken, errEventTooLong)
		}
		if end || ev.hasContent() {
			send.ahead, send.aheadEnd = list, end
			return nil
		}
	}
}

// sendStream sends the request for a stream to an endpoint and passes the events on. If the
// endpoint fails or is silent, the stream continues on another one within the same answer, if the
// route allows it.
func (h *handler) sendStream(w http.ResponseWriter, q *request, c placement.Choice) (result, Reason) {
	flusher, _ := w.(http.Flusher)
	s := &streamState{w: w, flusher: flusher}
	s.lastEventID = q.call.LastEvent
	defer q.limitWrites(w)()
	watch := newSilenceWatch(h, q, &s.streamPosition)
	defer watch.close()
	send := newStreamSend(q.ctx, c)
	for {
		r, reason, err := h.relaySend(q, send, s, watch)
		if err == nil {
			send.ahead = nil
			send.releaseEvents()
			send.cancel()
			return r, reason
		}
		r, reason, found := h.endStreamSend(q, send, err, watch)
		switch {
		case reason == "" && s.started: // the caller disconnected or the deadline passed
			h.abort(q, r.refusal.reason, errRequestEnded)
		case reason == "":
			return r, ""
		case found != nil:
			send = found.result
		case !s.started:
			return r, reason
		default:
			c, ok := h.placeAgain(q, s.streamPosition, reason)
			if !ok {
				h.abort(q, StreamBroken, err)
			}
			send = newStreamSend(q.ctx, c)
		}
	}
}

// endStreamSend ends a send that has failed, or whose stream was taken over by another endpoint.
// If a search has found one, the request continues there. The reason is empty if the caller
// disconnected or the deadline passed.
func (h *handler) endStreamSend(q *request, send *streamSend, err error, watch *silenceWatch) (r result, reason Reason, found *search) {
	takenOver, silent := watch.lost()
	if q.silent = silent; takenOver {
		h.endTakenOver(q, send)
		reason = RetryTimedOut
	} else {
		r, reason = h.endFailedSend(q, send, err)
	}
	send.close()
	found = watch.takeResult()
	if reason == "" {
		found.discard(h)
		return r, "", nil
	}
	if found != nil {
		q.adopt(found.request)
	}
	return r, reason, found
}

// relaySend opens a send, unless it is open already, and passes the events on until the stream
// ends.
func (h *handler) relaySend(q *request, send *streamSend, s *streamState, watch *silenceWatch) (result, Reason, error) {
	watch.begin(send)
	if send.attempt == nil {
		watch.arm()
		a, err := h.roundTrip(send.ctx, q, send.choice, h.streamForwarding(q, send, s.streamPosition))
		watch.hold()
		if err != nil {
			return result{}, "", err
		}
		if err := h.open(q, send, a, s.streamPosition); err != nil {
			return result{}, "", err
		}
		if status := a.response.StatusCode; status != http.StatusOK {
			failed := status >= http.StatusInternalServerError || impliesNotRun(status)
			if failed && watch.awaitSearch() || !failed && !watch.claim() {
				return result{}, "", errTakenOver
			}
			r, reason := h.relayBuffered(s.w, q, send.choice, a)
			return r, reason, nil
		}
	}
	if !s.started {
		s.version, s.contentType = send.attempt.answer.Version, contentType(send.attempt)
	}
	if err := h.relayEvents(q, send, s, watch); err != nil {
		return result{}, "", err
	}
	send.attempt.complete = true
	send.attempt.release()
	h.endSend(q, send.choice, placement.Success, nil)
	h.recordSound(q, send.attempt.began)
	return result{}, "", nil
}

// streamForwarding returns what the endpoint of a send is told in headers.
func (h *handler) streamForwarding(q *request, send *streamSend, p streamPosition) protocol.Forwarding {
	lastEvent := ""
	if p.started {
		lastEvent = p.lastEventID
	}
	return h.forwarding(q, send.choice, lastEvent)
}

// open records the head of the answer to a send. If the send resumes a stream, the answer must be
// one of the same kind.
func (h *handler) open(q *request, send *streamSend, a *attempt, p streamPosition) error {
	send.opened(a, p)
	h.recordAnswer(q, send.choice, a)
	if a.answer.NotRun {
		return errNotRun
	}
	q.sends++
	if p.started && (a.response.StatusCode != http.StatusOK || contentType(a) != p.contentType) {
		return fmt.Errorf("%w: status %s, content type %q", errResumeRefused, a.response.Status, contentType(a))
	}
	return nil
}

// endFailedSend records the end of a send that failed. The reason is empty if the caller
// disconnected or the deadline passed.
func (h *handler) endFailedSend(q *request, send *streamSend, err error) (result, Reason) {
	lost := result{refusal: &refusal{status: http.StatusBadGateway, reason: AnswerLost}}
	switch {
	case send.attempt == nil:
		return h.handleSendError(q, send.choice, err)
	case errors.Is(err, errNotRun):
		a := send.attempt
		send.attempt = nil // handleNotRun returns its connection to the pool
		return h.handleNotRun(q, send.choice, a)
	case q.ctx.Err() != nil || errors.Is(err, errRequestEnded):
		return h.handleRequestEnd(q, send.choice)
	case errors.Is(err, errResumeRefused):
		h.endSend(q, send.choice, placement.ErrorStatus, err)
		return lost, RetryErrorStatus
	}
	reason, attemptResult := RetryBroken, placement.Broken
	if errors.Is(err, errReadTimeout) {
		reason, attemptResult = h.readTimeoutResult(q)
	}
	h.endSend(q, send.choice, attemptResult, err)
	return lost, reason
}

// relayEvents passes on complete events until the stream ends.
func (h *handler) relayEvents(q *request, send *streamSend, s *streamState, watch *silenceWatch) error {
	a, first := send.attempt, true
	for {
		watch.arm()
		ev, end, err := send.next(s.streamPosition)
		if err != nil {
			watch.hold()
			return err
		}
		if !watch.claim() {
			return errTakenOver
		}
		if end {
			s.start(a)
			if _, err := s.w.Write(ev.data); err != nil {
				return errors.Join(errRequestEnded, err)
			}
			return nil
		}
		if first && ev.hasContent() {
			first, a.began = false, time.Now()
			h.dispatcher.firstEvent(q, send.choice.ID, time.Since(q.placedAt)-send.choice.ModelTTFT)
			q.inPrefill = false
			if err := a.conn.setReadDeadline(q.readDeadline(), nil); err != nil {
				return errors.Join(errConnectionBroken, err)
			}
			if q.record.firstEvent == 0 {
				q.record.firstEvent = time.Since(q.arrived)
			}
		}
		now := time.Now()
		q.record.event(now)
		if !first && now.Sub(a.began) >= soundDelay {
			h.recordSound(q, a.began)
		}
		s.start(a)
		if _, err := s.w.Write(ev.data); err != nil {
			return errors.Join(errRequestEnded, err)
		}
		s.begun = s.begun || ev.hasContent()
		if ev.id != "" {
			s.lastEventID = ev.id
		}
		send.releaseEvents()
		if !send.buffered() {
			s.flush()
		}
	}
}

// buffered reports whether another complete event has been read, so that the caller can postpone
// a flush.
func (send *streamSend) buffered() bool { return len(send.ahead) > 0 || send.events.buffered() }

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

// placeAgain selects another endpoint for a stream whose endpoint has failed or is silent, and
// reports whether there is one.
func (h *handler) placeAgain(q *request, p streamPosition, reason Reason) (placement.Choice, bool) {
	if p.begun && p.lastEventID == "" {
		h.recordNotRepeated(q, NoEventID)
		return placement.Choice{}, false
	}
	withdrawn := q.record.withdrawn
	if !h.mayRetry(q, reason) {
		return placement.Choice{}, false
	}
	q.resumed = p.started
	c, refused := h.place(q, p.version)
	if refused != nil {
		if q.record.withdrawn > withdrawn {
			h.returnRetry(q)
		}
		h.recordNotRepeated(q, refused.reason)
		return c, false
	}
	q.record.retries = append(q.record.retries, string(reason))
	h.metrics.retried.Inc(reason)
	q.tried = append(q.tried, c.ID)
	return c, true
}
