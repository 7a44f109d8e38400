package relay

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against taking a part of a line that is longer than the read buffer for a line:
// as the blank line at the end of the event, or as its ID.
func TestLongLinesOfEvents(t *testing.T) {
	for name, data := range map[string]string{
		"line fills the buffer":         "data:" + strings.Repeat("x", readBufferSize-len("data:")),
		"line fills the buffer twice":   "data:" + strings.Repeat("x", 2*readBufferSize-len("data:")),
		"rest looks like an ID":         "data:" + strings.Repeat("x", readBufferSize-len("data:")) + "id: 9",
		"line fills the buffer with CR": "data:" + strings.Repeat("x", readBufferSize-len("data:")) + "\r",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			event := "id: 2\n" + data + "\n\n"
			reader := newEventReader(strings.NewReader(event))
			ev, err := reader.next()
			is.NoErr(err)
			is.Equal(len(ev.data), len(event))
			is.Equal(ev.id, "2")
			_, err = reader.next()
			is.Equal(err, io.EOF)
		})
	}
}
