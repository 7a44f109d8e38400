package logging

import (
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
)

const (
	// maxQueuedLines bounds the lines that wait for the output. At a few hundred
	// requests a second it bridges an output that stalls for several seconds.
	maxQueuedLines = 4096
	// flushInterval is how long a line may wait for others to be written together.
	flushInterval = 100 * time.Millisecond
	bufferBytes   = 32 << 10
)

// AsyncHandler is a handler that never waits for its output: lines beyond a bound are
// dropped, counted, and reported in a line of their own.
type AsyncHandler struct {
	out     io.Writer
	lines   chan *log.Entry
	dropped atomic.Int64
	stop    chan struct{}
	done    sync.WaitGroup
}

// SetupAsync directs logs to standard output as JSON lines through a Bounded
// handler. Close writes what waits.
func SetupAsync(program, instance, level string, tokens ...auth.Token) (*log.Entry, *AsyncHandler, error) {
	b := NewAsyncHandler(os.Stdout)
	entry, err := setupHandler(b, program, instance, level, tokens)
	if err != nil {
		b.Close()
	}
	return entry, b, err
}

// NewAsyncHandler starts a handler that writes JSON lines to out.
func NewAsyncHandler(out io.Writer) *AsyncHandler {
	b := &AsyncHandler{out: out, lines: make(chan *log.Entry, maxQueuedLines), stop: make(chan struct{})}
	b.done.Go(b.run)
	return b
}

// HandleLog implements log.Handler.
func (h *AsyncHandler) HandleLog(e *log.Entry) error {
	select {
	case h.lines <- e:
	default:
		h.dropped.Add(1)
	}
	return nil
}

// Close writes the lines that wait and ends the handler.
func (h *AsyncHandler) Close() {
	close(h.stop)
	h.done.Wait()
}

func (h *AsyncHandler) run() {
	buffer := &batch{out: h.out}
	handler := json.New(buffer)
	write := func(e *log.Entry) { _ = handler.HandleLog(e) } // an output that fails has no other place to be reported
	for {
		select {
		case e := <-h.lines:
			write(e)
			if len(buffer.data) < bufferBytes && len(h.lines) == 0 {
				time.Sleep(flushInterval)
			}
			for len(h.lines) > 0 && len(buffer.data) < bufferBytes {
				write(<-h.lines)
			}
			h.reportDropped(write)
			buffer.flush()
		case <-h.stop:
			for len(h.lines) > 0 {
				write(<-h.lines)
			}
			h.reportDropped(write)
			buffer.flush()
			return
		}
	}
}

func (h *AsyncHandler) reportDropped(write func(*log.Entry)) {
	if n := h.dropped.Swap(0); n > 0 {
		write(&log.Entry{
			Level: log.WarnLevel, Timestamp: time.Now(), Message: "log_lines_dropped", Fields: log.Fields{"lines": n},
		})
	}
}

// batch collects lines, so that several cost one write.
type batch struct {
	out  io.Writer
	data []byte
}

// Write implements io.Writer.
func (b *batch) Write(p []byte) (int, error) {
	b.data = append(b.data, p...)
	return len(p), nil
}

func (b *batch) flush() {
	if len(b.data) > 0 {
		_, _ = b.out.Write(b.data) // see run
		b.data = b.data[:0]
	}
}
