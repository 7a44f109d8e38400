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

// takeoverInterval is the time between two attempts to find another endpoint for a stream whose
// endpoint is silent.
const takeoverInterval = 500 * time.Millisecond

// silenceWatch finds another endpoint for a stream whose endpoint is silent. The endpoint keeps its
// connection until the other one has sent an event, so that a silence alone never ends an answer:
// whichever sends first continues the stream.
//
// The goroutine that relays the stream changes the request only between hold and arm; the watch
// copies it only between arm and hold.
type silenceWatch struct {
	h *handler
	q *request
	s *streamState

	mu      sync.Mutex
	timer   *time.Timer // nil until it was set for the first time
	fireAt  time.Time   // when the timer fires; zero if it is not set
	armed   bool
	silent  bool      // the endpoint has been silent for streamSilence since its last event
	due     time.Time // when to look for another endpoint; zero if the silence has not begun
	send    *streamSend
	current *takeover // running, or ended and not yet added to the request
}

// takeover is the search for another endpoint.
type takeover struct {
	request       *request // copy of the request, with the state of the send to the other endpoint
	sends, notRun int      // of the request when it was copied
	position      streamPosition
	cancel        context.CancelFunc
	done          chan struct{}
	// The silenceWatch guards the fields below.
	stopped bool        // the silent endpoint has sent an event
	ended   bool        // no other endpoint was found
	send    *streamSend // whose first event has arrived
}

func newSilenceWatch(h *handler, q *request, s *streamState) *silenceWatch {
	return &silenceWatch{h: h, q: q, s: s}
}

// begin watches another send.
func (w *silenceWatch) begin(send *streamSend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.send, w.silent, w.due = send, false, time.Time{}
}

// arm lets the watch look for another endpoint once the silence has lasted for streamSilence. The
// sends of a search that was stopped are added to the request before.
func (w *silenceWatch) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.current; t != nil && t.stopped {
		w.current = nil
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
	w.armed, w.silent, w.due = false, false, time.Time{}
	switch {
	case w.current == nil:
		return true
	case w.current.send != nil:
		return false
	}
	if !w.current.stopped && !w.current.ended {
		w.h.metrics.takeovers.WithLabelValues(takeoverStopped).Inc()
	}
	w.current.stopped = true
	w.current.cancel()
	return true
}

// wait waits for the end of a search that is running, and reports whether it has found another
// endpoint.
func (w *silenceWatch) wait() bool {
	w.mu.Lock()
	w.armed = false
	t := w.current
	w.mu.Unlock()
	if t == nil {
		return false
	}
	<-t.done
	return t.send != nil
}

// await waits for the end of a search that is running, and returns it if it has found another
// endpoint. Its sends are added to the request.
func (w *silenceWatch) await() *takeover {
	w.mu.Lock()
	w.armed = false
	t := w.current
	w.current = nil
	w.mu.Unlock()
	if t == nil {
		return nil
	}
	<-t.done
	w.q.addSends(t)
	if t.send == nil {
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
	if t := w.current; t != nil {
		t.stopped = true
		t.cancel()
	}
	w.mu.Unlock()
	w.await().discard(w.h)
}

// fire looks for another endpoint if the silence has lasted long enough.
func (w *silenceWatch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	late := now.Sub(w.fireAt)
	w.fireAt = time.Time{}
	switch {
	case !w.armed || w.current != nil && !w.current.ended:
		return
	case late >= minReportedDelay:
		// This process did not run. What the endpoint has sent meanwhile is still to be read.
		w.due = now.Add(takeoverInterval)
		fallthrough
	case now.Before(w.due):
		w.setTimer(w.due.Sub(now))
		return
	}
	t := w.newTakeover()
	if !w.silent {
		w.silent = true
		w.h.log.WithFields(log.Fields{
			"request": w.q.call.ID, "endpoint": w.send.choice.ID, "started": w.send.choice.Incarnation,
			"events": w.q.record.events, "silent_ms": w.q.silence(now).Milliseconds(), "sends": t.request.sends,
		}).Info("endpoint_silent")
	}
	w.current = t
	go w.run(t)
}

// newTakeover copies the request. The caller holds mu.
func (w *silenceWatch) newTakeover() *takeover {
	t := &takeover{position: w.s.streamPosition, done: make(chan struct{})}
	ctx, cancel := context.WithCancel(w.q.ctx)
	t.cancel = cancel
	last := w.current
	if last == nil {
		t.request = w.q.copyFor(ctx)
		if w.send.attempt == nil { // sent, and not yet counted
			t.request.sends++
		}
		t.sends, t.notRun = t.request.sends, t.request.notRun
		return t
	}
	t.request = last.request.copyFor(ctx)
	t.sends, t.notRun = last.sends, last.notRun
	return t
}

// run looks for another endpoint and closes the connection to the silent one if the other one
// continues the stream first.
func (w *silenceWatch) run(t *takeover) {
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
		w.h.endUnused(t.request, send)
	default:
		t.send = send
		w.h.metrics.takeovers.WithLabelValues(takeoverDone).Inc()
		w.send.cancel()
	}
}

// openElsewhere sends a request to other endpoints until one has sent an event, or the end of the
// stream. It returns nil if no other endpoint may be asked, or the context of the request ends.
func (h *handler) openElsewhere(q *request, p streamPosition) *streamSend {
	for reason := RetryTimedOut; ; {
		c, ok := h.placeAgain(q, p, reason)
		if !ok {
			return nil
		}
		send := newStreamSend(q.ctx, c)
		a, err := h.roundTrip(send.ctx, q, c, h.streamForwarding(q, send, p))
		if err == nil {
			err = h.open(q, send, a, p)
		}
		if err == nil && a.response.StatusCode != http.StatusOK {
			err = fmt.Errorf("%w: status %s", errResumeRefused, a.response.Status)
		}
		if err == nil {
			err = send.readAhead(p)
		}
		if err == nil {
			return send
		}
		_, reason = h.endFailedSend(q, send, err)
		send.close()
		if reason == "" {
			return nil
		}
	}
}

// discard ends the send of a takeover that is not used. The takeover may be nil.
func (t *takeover) discard(h *handler) {
	if t != nil && t.send != nil {
		h.endUnused(t.request, t.send)
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
	n.ctx, n.sendState, n.beside = ctx, sendState{}, true
	n.tried, n.record.retries = slices.Clone(q.tried), slices.Clone(q.record.retries)
	return &n
}

// addSends adds the sends of a takeover to the request.
func (q *request) addSends(t *takeover) {
	n := t.request
	q.sends += n.sends - t.sends
	q.notRun += n.notRun - t.notRun
	q.tried, q.record.retries = n.tried, n.record.retries
	q.record.budgetRefused = q.record.budgetRefused || n.record.budgetRefused
	q.record.notRepeated = n.record.notRepeated
}

// adopt continues a request at the endpoint of its copy.
func (q *request) adopt(n *request) {
	q.sendState, q.resumed, q.late = n.sendState, n.resumed, n.late
	q.record.endpoint, q.record.incarnation = n.record.endpoint, n.record.incarnation
	q.record.predictedTTFT, q.record.load, q.record.rateLimit = n.record.predictedTTFT, n.record.load, n.record.rateLimit
}
