package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// freeEventBytes are not taken from the memory budget, so that streams of usual events go on
	// while it is used up.
	freeEventBytes = readBufferSize
	// minEventBuffer is the size of the first buffer of an event.
	minEventBuffer = 256
	// maxAheadBytes limits the events that are read before one with data, as an endpoint may send
	// comments without end.
	maxAheadBytes = 4 * maxEventBytes
	// eventCost is what an event holds besides its bytes.
	eventCost = 128
)

var (
	errEventTooLong = errors.New("event is too long")
	// errNoEventMemory means that the memory budget has no room for what an endpoint has sent and
	// what is no event yet.
	errNoEventMemory = errors.New("no memory for a long event")
)

// eventReader reads whole events of a text/event-stream.
type eventReader struct {
	reader *bufio.Reader
	budget *network.Budget // nil for no limit
	held   int64           // bytes of events since the last release
	taken  int64           // from the budget
}

func newEventReader(r io.Reader, budget *network.Budget) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, readBufferSize), budget: budget}
}

// hold takes n bytes of the memory budget, except for the first freeEventBytes.
func (e *eventReader) hold(n int64) error {
	if needed := e.held + n - freeEventBytes - e.taken; needed > 0 {
		if !e.budget.Take(needed) {
			return errNoEventMemory
		}
		e.taken += needed
	}
	e.held += n
	return nil
}

// release returns what was taken for events that are not needed any more.
func (e *eventReader) release() {
	e.budget.Release(e.taken)
	e.held, e.taken = 0, 0
}

// grow returns a copy of data with room for n more bytes.
func (e *eventReader) grow(data []byte, n int) ([]byte, error) {
	size := max(len(data)+n, minEventBuffer, min(2*cap(data), maxEventBytes+readBufferSize))
	if err := e.hold(int64(size)); err != nil { // beside the old one, which the collector frees later
		return nil, err
	}
	return append(make([]byte, 0, size), data...), nil
}

// event holds the bytes of one event, including the blank line at its end, and its ID.
type event struct {
	data    []byte
	id      string
	hasData bool // has a data field; without one, it is a comment or a setting
}

// hasContent reports whether an event shows that its request has begun. An endpoint may send
// comments before that, to keep the connection open.
func (ev event) hasContent() bool { return ev.hasData || ev.id != "" }

// next returns the next complete event, or io.EOF at the end of the stream, with any blanks
// after the last event. It does not return a truncated event.
func (e *eventReader) next() (event, error) {
	var ev event
	lineStart := 0 // in ev.data
	if err := e.hold(eventCost); err != nil {
		return event{}, err
	}
	for {
		line, err := e.reader.ReadSlice('\n')
		if len(ev.data)+len(line) > cap(ev.data) {
			grown, err := e.grow(ev.data, len(line))
			if err != nil {
				return event{}, err
			}
			ev.data = grown
		}
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
