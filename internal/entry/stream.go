package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

const (
	streamContentType = "text/event-stream"
	dataPrefix        = "data:"
	endMarker         = "[DONE]"
	maxEventBytes     = 1 << 20
	streamBufferBytes = 16 << 10
)

var errEventTooLarge = errors.New("event is larger than the limit")

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), streamContentType)
}

// eventReader splits a stream into server-sent events. It returns only events
// terminated by an empty line, so a truncated event never reaches a caller.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, streamBufferBytes)}
}

// next returns one event including its terminating empty line, and its data.
func (er *eventReader) next() (raw, data []byte, err error) {
	for {
		line, err := er.readLine(maxEventBytes - len(raw))
		if err != nil {
			return nil, nil, err
		}
		raw = append(raw, line...)
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(raw)) == 0 {
				raw = nil // empty lines between events
				continue
			}
			return raw, data, nil
		}
		if rest, ok := bytes.CutPrefix(text, []byte(dataPrefix)); ok {
			if data != nil {
				data = append(data, '\n')
			}
			data = append(data, bytes.TrimPrefix(rest, []byte(" "))...)
		}
	}
}

func (er *eventReader) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := er.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// chatChunk holds the event fields that the entry reads.
//
// The OpenAI protocol does not number tokens, so a token that an engine repeats or
// skips within one connection cannot be detected. Engines that send token_index,
// the counterpart of resume_from_token, are checked: each event with text then
// carries one token and its index in the whole response.
type chatChunk struct {
	ID          string `json:"id"`
	TokenIndex  *int   `json:"token_index"`
	Fingerprint string `json:"system_fingerprint"`
	Choices     []struct {
		Delta        json.RawMessage `json:"delta"`
		FinishReason *string         `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

func (c chatChunk) finished() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil
}

// hasToken reports whether the event contains generated text or a tool call.
func (c chatChunk) hasToken() bool {
	if len(c.Choices) == 0 {
		return false
	}
	var delta map[string]json.RawMessage
	if json.Unmarshal(c.Choices[0].Delta, &delta) != nil {
		return false
	}
	for name, value := range delta {
		text := string(value)
		if name != "role" && text != "null" && text != `""` {
			return true
		}
	}
	return false
}

// streamRelay writes one stream to a caller, assembled from one or more attempts.
type streamRelay struct {
	w          http.ResponseWriter
	metrics    *entryMetrics
	arrived    time.Time
	started    bool
	finished   bool // the event with finish_reason has been relayed
	attempts   int
	responseID string // identifier in the first attempt's events, kept on a resume
}

func (s *streamRelay) start(a *attempt) {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", streamContentType)
	h.Set("Cache-Control", "no-cache")
	h.Set(wire.HeaderAttempt, a.id)
	h.Set(wire.HeaderWeightsSet, a.weightsSet)
	// The outcome is known only at the end of a stream.
	h.Set("Trailer", wire.HeaderOutcome+", "+wire.HeaderReason)
	s.metrics.firstToken.Observe(time.Since(s.arrived).Seconds())
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamRelay) writeEvent(event []byte) error {
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// finish writes the end marker and sets the outcome to done.
func (s *streamRelay) finish(event []byte) error {
	err := s.writeEvent(event)
	s.w.Header().Set(wire.HeaderOutcome, string(outcome.Done))
	return err
}

// fail ends the stream with an error event instead of the end marker.
func (s *streamRelay) fail(final *apiError) {
	data, err := json.Marshal(final.body())
	if err != nil {
		return
	}
	_ = s.writeEvent([]byte(dataPrefix + " " + string(data) + "\n\n"))
	s.w.Header().Set(wire.HeaderOutcome, string(final.outcome))
	s.w.Header().Set(wire.HeaderReason, string(final.reason))
}

// relayStream relays the events of one attempt until the end marker.
func (e *Entry) relayStream(c *call, a *attempt, relay *streamRelay) *attemptFailure {
	relay.attempts++
	events := newEventReader(a.response.Body)
	for {
		raw, data, err := events.next()
		if err != nil {
			f := a.transportFailure(err)
			e.finishAttempt(a, f.result)
			return f
		}
		e.fleet.recordProgress(a.endpoint, a.id, time.Now())
		if string(data) == endMarker {
			e.finishAttempt(a, balancer.Completed)
			relay.start(a)
			_ = relay.finish(raw)
			e.metrics.countAnswer(outcome.Done, "")
			return nil
		}
		if f := e.relayEvent(c, a, relay, raw, data); f != nil {
			e.finishAttempt(a, f.result)
			return f
		}
	}
}

// relayEvent checks and relays one event.
func (e *Entry) relayEvent(c *call, a *attempt, relay *streamRelay, raw, data []byte) *attemptFailure {
	if data == nil {
		return nil // a comment, which only keeps the connection open
	}
	var chunk chatChunk
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		return a.rejectedFailure(outcome.EngineError)
	}
	if chunk.Fingerprint != "" && chunk.Fingerprint != a.weightsSet {
		e.metrics.countDropped(outcome.WrongSet)
		return a.rejectedFailure(outcome.WrongSet)
	}
	if relay.finished && (chunk.finished() || chunk.hasToken()) {
		return nil // repeated by an attempt resumed after the last token
	}
	if relay.attempts > 1 {
		raw = withResponseID(raw, data, relay.responseID)
	} else if relay.responseID == "" {
		relay.responseID = chunk.ID
	}
	if f := e.checkTokenIndex(c, a, chunk); f != nil {
		return f
	}
	relay.start(a)
	if err := relay.writeEvent(raw); err != nil {
		return &attemptFailure{reason: outcome.CallerGone, result: balancer.Cancelled, mayHaveStarted: true, endpoint: a.endpoint}
	}
	if chunk.hasToken() {
		c.relayedTokens++
	}
	relay.finished = relay.finished || chunk.finished()
	return nil
}

// checkTokenIndex rejects a token that is out of order before it is relayed.
func (e *Entry) checkTokenIndex(c *call, a *attempt, chunk chatChunk) *attemptFailure {
	if chunk.TokenIndex == nil || !chunk.hasToken() || *chunk.TokenIndex == c.relayedTokens {
		return nil
	}
	reason := outcome.SkippedToken
	if *chunk.TokenIndex < c.relayedTokens {
		reason = outcome.RepeatedToken
	}
	e.metrics.countDropped(reason)
	return a.rejectedFailure(reason)
}

// withResponseID returns an event of a resumed stream with the identifier of the
// first attempt.
func withResponseID(raw, data []byte, id string) []byte {
	var fields map[string]json.RawMessage
	if id == "" || json.Unmarshal(data, &fields) != nil || fields == nil { // "null" is decoded without an error
		return raw
	}
	quoted, err := json.Marshal(id)
	if err != nil {
		return raw
	}
	fields["id"] = quoted
	changed, err := json.Marshal(fields)
	if err != nil {
		return raw
	}
	return []byte(dataPrefix + " " + string(changed) + "\n\n")
}
