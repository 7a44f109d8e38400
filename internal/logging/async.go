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
	// maxQueuedLines is the capacity of the queue of lines. At a few hundred
	// requests per second it covers an output that blocks for several seconds.
	maxQueuedLines = 4096
	// flushInterval is how long a line may wait for others to share its write.
	flushInterval = 100 * time.Millisecond
	bufferBytes   = 32 << 10
)

// AsyncHandler is a log handler that never blocks on its output. Lines that do
// not fit into its queue are dropped, and their number is logged as
// log_lines_dropped.
type AsyncHandler struct {
	out     io.Writer
	lines   chan *log.Entry
	dropped atomic.Int64
	stop    chan struct{}
	done    sync.WaitGroup
}

// SetupAsync directs logs to standard output as JSON lines through an
// AsyncHandler. Close writes the lines that are still queued.
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

// Close writes the queued lines and stops the handler.
func (h *AsyncHandler) Close() {
	close(h.stop)
	h.done.Wait()
}

func (h *AsyncHandler) run() {
	buffer := &batch{out: h.out}
	handler := json.New(buffer)
	write := func(e *log.Entry) { _ = handler.HandleLog(e) } // there is nowhere else to report a failing output
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

// batch buffers lines, so that several take a single write.
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
		_, _ = b.out.Write(b.data) // an error is ignored, as in run
		b.data = b.data[:0]
	}
}
