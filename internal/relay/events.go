package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("event is too long")

// eventReader reads whole events of a text/event-stream.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, readBufferSize)}
}

// event is the bytes of one event, its blank line included, with its identifier.
type event struct {
	data []byte
	id   string
}

// next returns the next whole event, or io.EOF at the end of a whole stream. What
// is left of an event that was cut is not returned.
func (e *eventReader) next() (event, error) {
	var ev event
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
		case err != nil:
			return event{}, err
		}
		if len(ev.data) > maxEventBytes {
			return event{}, errEventTooLong
		}
		text := strings.TrimRight(string(line), "\r\n")
		if id, ok := strings.CutPrefix(text, "id:"); ok {
			ev.id = strings.TrimSpace(id)
		}
		if text == "" {
			return ev, nil
		}
	}
}

// buffered reports whether more bytes are at hand, so that they can be sent
// together.
func (e *eventReader) buffered() bool { return e.reader.Buffered() > 0 }
