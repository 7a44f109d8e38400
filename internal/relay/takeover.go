package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

// takeoverInterval is the time between two searches for another endpoint while the endpoint of a
// stream is silent.
const takeoverInterval = 500 * time.Millisecond

// silenceWatch seeks another endpoint for a stream whose endpoint is silent. The endpoint keeps its
// connection until the other one has sent an event, so that a silence alone never ends an answer:
// whichever sends first continues the stream.
//
// The goroutine that relays the stream calls begin for each send, arm before it waits for the
// endpoint, and then claim if an event has come, or hold otherwise. After a send has failed it calls
// lost and takeResult. It may change the request and the position only between hold, claim or
// lost and the next arm, since the timer copies them at other times.
type silenceWatch struct {
	h        *handler
	q        *request
	position *streamPosition

	mu     sync.Mutex
	timer  *time.Timer // nil until it was set for the first time
	fireAt time.Time   // when the timer fires; zero if it is not set
	armed  bool
	silent bool      // the endpoint has been silent for streamSilence
	due    time.Time // when to seek another endpoint; zero if the silence has not begun
	send   *streamSend
	search *search // running, or ended and not yet added to the request; nil for none
}

// search seeks another endpoint for a stream.
type search struct {
	request       *request // copy of the request, with the state of the send to the other endpoint
	sends, notRun int      // of the request when it was copied first
	answerBytes   int64    // the same
	position      streamPosition
	cancel        context.CancelFunc
	done          chan struct{}
	// The silenceWatch guards the fields below until done is closed.
	stopped bool        // its result is not needed any more
	ended   bool        // no other endpoint was found
	result  *streamSend // has sent an event
}

func newSilenceWatch(h *handler, q *request, p *streamPosition) *silenceWatch {
	return &silenceWatch{h: h, q: q, position: p}
}

// begin watches another send.
func (w *silenceWatch) begin(send *streamSend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.send, w.silent, w.due = send, false, time.Time{}
}

// arm lets the watch seek another endpoint once the silence has lasted for streamSilence. The
// sends of a search that was stopped are added to the request before.
func (w *silenceWatch) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.search; t != nil && t.stopped {
		w.search = nil
		w.mu.Unlock()
		<-t.done
		w.q.addSends(t)
		w.mu.Lock()
	}
	w.armed = true
	if w.due.IsZero() { // a slow caller may have held up the event before
		w.due = time.Now().Add(streamSilence)
	}
	if w.fireAt.IsZero() {
		w.setTimer(max(0, time.Until(w.due)))
	}
}

// setTimer sets the timer. The caller holds mu.
func (w *silenceWatch) setTimer(after time.Duration) {
	w.fireAt = time.Now().Add(after)
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.fire)
		return
	}
	w.timer.Reset(after)
}

// hold keeps the watch from copying the request.
func (w *silenceWatch) hold() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
}

// claim ends a silence. It reports false if another endpoint has taken the stream over, and stops
// the search for one otherwise.
func (w *silenceWatch) claim() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	if w.search != nil && w.search.result != nil {
		return false
	}
	if w.silent {
		w.h.dispatcher.endSilence(w.q.service, w.send.choice)
	}
	w.silent, w.due = false, time.Time{}
	if w.search == nil {
		return true
	}
	if !w.search.stopped && !w.search.ended {
		w.h.metrics.takeovers.WithLabelValues(takeoverStopped).Inc()
	}
	w.search.stopped = true
	w.search.cancel()
	return true
}

// lost reports, for a send that has failed, whether another endpoint has taken the stream over,
// which closes the connection of the send, and whether its endpoint was silent.
func (w *silenceWatch) lost() (takenOver, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	return w.search != nil && w.search.result != nil, w.silent
}

// awaitSearch waits for the end of a search that is running, and reports whether it has found
// another endpoint.
func (w *silenceWatch) awaitSearch() bool {
	w.mu.Lock()
	w.armed = false
	t := w.search
	w.mu.Unlock()
	if t == nil {
		return false
	}
	<-t.done
	return t.result != nil
}

// takeResult waits for the end of a search that is running and adds its sends to the request.
// The search is returned if it has found another endpoint.
func (w *silenceWatch) takeResult() *search {
	found := w.awaitSearch()
	w.mu.Lock()
	t := w.search
	w.search = nil
	w.mu.Unlock()
	if t != nil {
		w.q.addSends(t)
	}
	if !found {
		return nil
	}
	return t
}

// close ends the watch.
func (w *silenceWatch) close() {
	w.mu.Lock()
	w.armed = false
	if w.timer != nil {
		w.timer.Stop()
	}
	if t := w.search; t != nil {
		t.stopped = true
		t.cancel()
	}
	w.mu.Unlock()
	w.takeResult().discard(w.h)
}

// fire starts a search if the silence has lasted long enough.
func (w *silenceWatch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	late := now.Sub(w.fireAt)
	w.fireAt = time.Time{}
	if !w.armed || w.search != nil && !w.search.ended {
		return
	}
	if late >= minReportedDelay {
		// This process did not run. What the endpoint has sent meanwhile is still to be read.
		if again := now.Add(takeoverInterval); again.After(w.due) {
			w.due = again
		}
	}
	if now.Before(w.due) {
		w.setTimer(w.due.Sub(now))
		return
	}
	if !w.silent {
		w.silent = true
		w.recordSilence(now)
	}
	if !w.q.route.Repeatable() || w.position.begun && w.position.lastEventID == "" {
		return // nobody else may continue the stream
	}
	w.search = w.newSearch()
	go w.run(w.search)
}

// recordSilence logs the silence of the endpoint, which gets no other requests for a while. The
// caller holds mu.
func (w *silenceWatch) recordSilence(now time.Time) {
	c := w.send.choice
	fields := log.Fields{
		"request": w.q.call.ID, "endpoint": c.ID, "started": c.Incarnation, "events": w.q.record.events,
		"silent_ms": w.q.silence(now).Milliseconds(), "sends": w.q.sends,
	}
	if ejected := w.h.dispatcher.recordSilence(w.q.service, c); ejected > 0 {
		fields["ejected_ms"] = ejected.Milliseconds()
		w.h.metrics.ejected.Inc()
	}
	w.h.log.WithFields(fields).Info("endpoint_silent")
}

// newSearch copies the request, or its copy of the search before. The caller holds mu.
func (w *silenceWatch) newSearch() *search {
	t := &search{position: *w.position, done: make(chan struct{})}
	ctx, cancel := context.WithCancel(w.q.ctx)
	t.cancel = cancel
	if last := w.search; last != nil {
		t.request = last.request.copyFor(ctx)
		t.sends, t.notRun, t.answerBytes = last.sends, last.notRun, last.answerBytes
		return t
	}
	t.request = w.q.copyFor(ctx)
	if w.send.attempt == nil { // sent, and not yet counted
		t.request.sends++
	}
	t.sends, t.notRun, t.answerBytes = t.request.sends, t.request.notRun, t.request.answerBytes
	return t
}

// run seeks another endpoint and closes the connection to the silent one if the other one
// continues the stream first.
func (w *silenceWatch) run(t *search) {
	defer close(t.done)
	send := w.h.openElsewhere(t.request, t.position)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case send == nil:
		t.ended = true
		t.cancel()
		if !t.stopped {
			w.h.metrics.takeovers.WithLabelValues(takeoverFailed).Inc()
			w.due = time.Now().Add(takeoverInterval)
			if w.armed && w.fireAt.IsZero() {
				w.setTimer(takeoverInterval)
			}
		}
	case t.stopped:
		t.ended = true
		w.h.endUnused(t.request, send)
	default:
		t.result = send
		w.h.metrics.takeovers.WithLabelValues(takeoverDone).Inc()
		w.send.cancel()
	}
}

// openElsewhere sends a request to other endpoints until one has sent an event, or the end of the
// stream. It returns nil if no other endpoint may be asked, or the context of the request ends.
// An endpoint that is silent in turn is treated like the first one.
func (h *handler) openElsewhere(q *request, p streamPosition) *streamSend {
	watch := newSilenceWatch(h, q, &p)
	defer watch.close()
	for reason := RetryTimedOut; ; {
		before := *q
		c, ok := h.placeAgain(q, p, reason)
		if !ok {
			return nil
		}
		for send := newStreamSend(q.ctx, c); ; {
			err := h.readAhead(q, send, p, watch)
			if err == nil {
				return send
			}
			var found *search
			if _, reason, found = h.endStreamSend(q, send, err, watch); reason == "" {
				if errors.Is(err, errEndedUnsent) {
					h.undoPlacement(q, &before)
				}
				return nil
			}
			if found == nil {
				break
			}
			send = found.result
		}
	}
}

// undoPlacement takes back that an endpoint was selected to which nothing was sent.
func (h *handler) undoPlacement(q, before *request) {
	if q.record.withdrawn > before.record.withdrawn {
		h.returnRetry(q)
	}
	q.tried, q.record.retries = before.tried, before.record.retries
}

// readAhead opens a send, unless it is open already, and reads up to its first event.
func (h *handler) readAhead(q *request, send *streamSend, p streamPosition, watch *silenceWatch) error {
	if send.attempt != nil { // its events were read by a search
		return nil
	}
	watch.begin(send)
	watch.arm()
	a, err := h.roundTrip(send.ctx, q, send.choice, h.streamForwarding(q, send, p))
	watch.hold()
	if err == nil {
		err = h.open(q, send, a, p)
	}
	if err != nil {
		return err
	}
	if a.response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %s", errResumeRefused, a.response.Status)
	}
	watch.arm()
	if err := send.readAhead(p); err != nil {
		return err
	}
	if !watch.claim() {
		return errTakenOver
	}
	return nil
}

// discard ends the send of a search that is not used. The search may be nil.
func (t *search) discard(h *handler) {
	if t != nil && t.result != nil {
		h.endUnused(t.request, t.result)
	}
}

// endUnused ends a send whose events are not passed on.
func (h *handler) endUnused(q *request, send *streamSend) {
	send.close()
	h.endSend(q, send.choice, placement.Neutral, errRequestEnded)
}

// endTakenOver records the end of a send to an endpoint that was silent until another one
// continued its stream.
func (h *handler) endTakenOver(q *request, send *streamSend) {
	if send.attempt == nil {
		q.sends++
	}
	h.endSend(q, send.choice, placement.TimedOut, errors.Join(errReadTimeout, errTakenOver))
}

// errTakenOver means that another endpoint has continued the stream of a silent one.
var errTakenOver = errors.New("another endpoint has continued the stream")

// copyFor returns a copy of a request for a send beside the current one.
func (q *request) copyFor(ctx context.Context) *request {
	n := *q
	n.ctx, n.sendState, n.sought = ctx, sendState{}, true
	n.tried, n.record.retries = slices.Clone(q.tried), slices.Clone(q.record.retries)
	return &n
}

// addSends adds the sends of a search, and the bytes that its answers hold, to the request.
func (q *request) addSends(t *search) {
	n := t.request
	q.sends += n.sends - t.sends
	q.notRun += n.notRun - t.notRun
	q.answerBytes += n.answerBytes - t.answerBytes
	q.tried, q.record.retries = n.tried, n.record.retries
	q.record.budgetRefused = q.record.budgetRefused || n.record.budgetRefused
	if !t.stopped {
		q.record.notRepeated = n.record.notRepeated
	}
}

// adopt continues a request at the endpoint of its copy.
func (q *request) adopt(n *request) {
	q.sendState, q.resumed, q.late = n.sendState, n.resumed, n.late
	q.record.endpoint, q.record.incarnation = n.record.endpoint, n.record.incarnation
	q.record.predictedTTFT, q.record.load, q.record.rateLimit = n.record.predictedTTFT, n.record.load, n.record.rateLimit
}
