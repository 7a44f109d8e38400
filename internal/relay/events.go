package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("event is too long")

// eventReader reads whole events of a text/event-stream.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, readBufferSize)}
}

// event holds the bytes of one event, including the blank line at its end, and its ID.
type event struct {
	data    []byte
	id      string
	hasData bool // has a data field; without one, it is a comment or a setting
}

// substantial reports whether an event shows that its request has begun. An endpoint may send
// comments before that, to keep the connection open.
func (ev event) substantial() bool { return ev.hasData || ev.id != "" }

// next returns the next complete event, or io.EOF at the end of the stream, with any blanks
// after the last event. It does not return a truncated event.
func (e *eventReader) next() (event, error) {
	var ev event
	lineStart := 0 // in ev.data
	for {
		line, err := e.reader.ReadSlice('\n')
		ev.data = append(ev.data, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.data) > maxEventBytes {
				return event{}, errEventTooLong
			}
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(ev.data)) > 0:
			return event{}, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return ev, io.EOF
		case err != nil:
			return event{}, err
		}
		if len(ev.data) > maxEventBytes {
			return event{}, errEventTooLong
		}
		text := strings.TrimRight(string(ev.data[lineStart:]), "\r\n")
		lineStart = len(ev.data)
		if id, ok := strings.CutPrefix(text, "id:"); ok {
			ev.id = strings.TrimSpace(id)
		}
		ev.hasData = ev.hasData || text == "data" || strings.HasPrefix(text, "data:")
		if text == "" {
			return ev, nil
		}
	}
}

// buffered reports whether another complete event is buffered, so that the caller can
// postpone a flush.
func (e *eventReader) buffered() bool {
	data, _ := e.reader.Peek(e.reader.Buffered()) // never fails for buffered bytes
	return bytes.Contains(data, []byte("\n\n")) || bytes.Contains(data, []byte("\n\r\n"))
}

// isAfter reports whether an event ID comes after another one. IDs that are numbers
// increase; of others, it is only known that they differ.
func isAfter(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	lastN, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != "" && id != last
	}
	return n > lastN
}
