package loadtool

import "bytes"

const (
	maxEventBytes = 4 << 20
	doneMarker    = "[DONE]"
)

// streamObserver parses a copy of a stream of server-sent events and records
// whether the end marker arrived, which the client library does not report.
type streamObserver struct {
	line    []byte // start of an incomplete line
	data    []byte
	hasData bool
	lastCR  bool
	events  int
	done    bool // the end marker arrived as a separate event
}

// Write implements io.Writer and never fails.
func (o *streamObserver) Write(p []byte) (int, error) {
	n := len(p)
	for len(p) > 0 {
		if o.lastCR && p[0] == '\n' { // second byte of a CRLF line ending
			p = p[1:]
			o.lastCR = false
			continue
		}
		end := bytes.IndexAny(p, "\r\n")
		if end < 0 {
			o.keep(p)
			return n, nil
		}
		o.keep(p[:end])
		o.lastCR = p[end] == '\r'
		p = p[end+1:]
		o.endLine()
	}
	return n, nil
}

// keep appends to the incomplete line. Data beyond maxEventBytes is dropped.
func (o *streamObserver) keep(p []byte) {
	if len(p) > 0 {
		o.lastCR = false
	}
	if len(o.line)+len(o.data)+len(p) > maxEventBytes {
		return
	}
	o.line = append(o.line, p...)
}

func (o *streamObserver) endLine() {
	line := o.line
	o.line = o.line[:0]
	if len(line) == 0 {
		o.endEvent()
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return
	}
	if o.hasData {
		o.data = append(o.data, '\n')
	}
	o.data = append(o.data, bytes.TrimPrefix(value, []byte(" "))...)
	o.hasData = true
}

func (o *streamObserver) endEvent() {
	if !o.hasData {
		return
	}
	o.events++
	o.done = o.done || string(o.data) == doneMarker
	o.data, o.hasData = o.data[:0], false
}
