package agent

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	maxEventBytes  = 1 << 20
	endMarker      = "[DONE]"
	dataPrefix     = "data:"
	streamReadSize = 16 << 10
)

// stream forwards the server-sent events of one answer. Each event is checked
// before its first byte is sent.
type stream struct {
	agent      *Agent
	w          http.ResponseWriter
	attempt    *attempt
	header     http.Header
	headerSent bool
	id         string // ID of the first event; an event with a different ID belongs to another answer
	// checkedPrefix is the part of the last parsed event before its choices, if
	// that part contains all fields of answerOrigin. An event that starts with
	// the same bytes has the same origin and is not parsed.
	checkedPrefix []byte
}

// relay forwards all events of body. It returns nil only after it has forwarded
// the end marker.
func (s *stream) relay(body io.Reader) error {
	reader := bufio.NewReaderSize(body, streamReadSize)
	for {
		raw, data, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			return errCutShort
		}
		if err != nil {
			return err
		}
		done := string(data) == endMarker
		if !done && len(data) > 0 {
			if err := s.checkEvent(data); err != nil {
				return err
			}
		}
		if err := s.forwardEvent(raw); err != nil {
			return err
		}
		if done {
			return nil
		}
	}
}

func (s *stream) checkEvent(data []byte) error {
	if len(s.checkedPrefix) > 0 && bytes.HasPrefix(data, s.checkedPrefix) {
		s.agent.recordProgress(s.attempt)
		return nil
	}
	var origin answerOrigin
	if err := json.Unmarshal(data, &origin); err != nil {
		return fmt.Errorf("%w: %w", errCutShort, err)
	}
	if err := s.attempt.checkOrigin(s.header, origin); err != nil {
		return err
	}
	if s.id == "" {
		s.id = origin.ID
	}
	if origin.ID != s.id {
		return errOtherAnswer
	}
	s.checkedPrefix = originPrefix(s.checkedPrefix[:0], data, origin)
	s.agent.recordProgress(s.attempt)
	return nil
}

// originPrefix appends the part of an event before its choices to buffer, or
// nothing if that part alone does not contain the fields of origin.
func originPrefix(buffer, data []byte, origin answerOrigin) []byte {
	end := bytes.Index(data, []byte(`,"choices":[`))
	if end < 0 {
		return buffer
	}
	var parsed answerOrigin
	if json.Unmarshal(append(append(buffer, data[:end]...), '}'), &parsed) != nil || parsed != origin {
		return buffer
	}
	return append(buffer, data[:end+len(`,"choices":[`)]...)
}

func (s *stream) forwardEvent(raw []byte) error {
	if !s.headerSent {
		h := s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		h.Set(wire.HeaderWeightsSet, s.attempt.request.Set)
		s.w.WriteHeader(http.StatusOK)
		s.headerSent = true
	}
	if _, err := s.w.Write(raw); err != nil {
		return errors.Join(errCallerGone, err)
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// readEvent returns the next event including its closing empty line, and its
// data. An incomplete event at the end of the stream is not returned.
func readEvent(r *bufio.Reader) (raw, data []byte, err error) {
	for {
		line, err := readLine(r, maxEventBytes-len(raw))
		if err != nil {
			return nil, nil, err
		}
		raw = append(raw, line...)
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
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

func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, errTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
