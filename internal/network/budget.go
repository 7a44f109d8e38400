package network

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of ReadBody, besides http.MaxBytesError. The request was not run. The answer must
// close the connection; ReadBody has set the header for it.
var (
	// ErrMemoryBudget means that the process holds as many bytes for callers as it may.
	ErrMemoryBudget = errors.New("memory budget for callers is used up")
	// ErrBodyTooSlow means that a body made no progress for too long, or too little.
	ErrBodyTooSlow = errors.New("body arrives too slowly")
)

const (
	// bodyStep is the size of the buffers that a body is read into. A body holds only steps that
	// it has begun to fill, whatever length it announces. The first one is smaller, because most
	// bodies are.
	bodyStep      = 64 << 10
	firstBodyStep = 8 << 10
	// stallTimeout is how long a body may be without a byte. Callers send a body at once, and
	// slow links carry 30 KB/s.
	stallTimeout = 10 * time.Second
	// shortStallTimeout is the same while more than half of the budget is in use, and
	// evictTimeout while another body needs bytes that the budget does not have.
	shortStallTimeout = 2 * time.Second
	evictTimeout      = 250 * time.Millisecond
	// minBodyRate is the least average rate of a body in bytes per second after stallTimeout. The
	// slowest links have thirty times as much.
	minBodyRate = 1 << 10
	// budgetWait is how long a body waits for bytes of the budget before it is refused. The
	// caller cannot send meanwhile.
	budgetWait = time.Second
	budgetPoll = 10 * time.Millisecond
	// largeBodyShare is the share of the budget that is open to bodies beyond their first step.
	// The rest lets ordinary requests in while large bodies use up their share.
	largeBodyShare = 0.875
	// connCost is the number of bytes held for a connection: the buffers of net/http for reads
	// and writes, the stack of a goroutine, and their state.
	connCost = 16 << 10
	// connShare is the share of the budget that connections may take. They are let in also while
	// bodies use up the budget, and bodies then get less.
	connShare = 0.5
)

// Budget counts the bytes that a process holds for callers, before they are allocated. A nil
// Budget has no limit.
type Budget struct {
	limit int64

	mu     sync.Mutex
	used   int64
	bodies map[*heldBody]bool // being read
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, bodies: map[*heldBody]bool{}}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Take takes n bytes and reports whether there were as many.
func (b *Budget) Take(n int64) bool { return b.take(n, largeBodyShare) }

// Release returns n bytes.
func (b *Budget) Release(n int64) { b.release(n) }

// take takes n bytes and reports whether there were as many within a share of the budget.
func (b *Budget) take(n int64, share float64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > int64(share*float64(b.limit)) {
		return false
	}
	b.used += n
	return true
}

// charge takes n bytes, also beyond the limit, so that bodies get less.
func (b *Budget) charge(n int64) { b.release(-n) }

// release returns n bytes.
func (b *Budget) release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// takeStep takes n bytes for a body at a time. It ends bodies that are not making progress, and
// reports whether n bytes were taken.
func (b *Budget) takeStep(h *heldBody, n int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := largeBodyShare
	if h.bytes == 0 {
		share = 1
	}
	enough := b.used+n <= int64(share*float64(b.limit))
	timeout := stallTimeout
	switch {
	case !enough:
		timeout = evictTimeout
	case b.used+n > b.limit/2:
		timeout = shortStallTimeout
	}
	for other := range b.bodies {
		if other != h && other.progress.Before(now.Add(-timeout)) {
			delete(b.bodies, other)
			other.stop()
		}
	}
	if !enough {
		h.progress = now // it waits for the budget and not for its caller
		return false
	}
	b.used += n
	h.bytes += n
	return true
}

// heldBody is the body of a request, from its first byte to the end of the request.
type heldBody struct {
	budget *Budget
	// end fails reads of the body. It may be called at any time.
	end     func()
	limited func(reason string)
	begun   time.Time
	waited  time.Duration // for the budget
	read    int64
	ended   atomic.Bool // end was called

	// Guarded by the mutex of the budget.
	bytes    int64     // taken
	progress time.Time // last time when bytes arrived
}

type heldKey struct{}

// ReadBody reads a body of at most limit bytes. If the server of the request has a Guard, the
// bytes count against its budget until the handler returns. Errors are those of r.Body, a
// http.MaxBytesError, ErrMemoryBudget and ErrBodyTooSlow.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	h, _ := r.Context().Value(heldKey{}).(*heldBody)
	if h == nil || h.budget == nil {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	if r.ContentLength > limit {
		// A caller that is still sending when the connection is closed may not get the answer.
		if r.Header.Get("Expect") == "" {
			_, _ = io.CopyN(io.Discard, r.Body, limit)
		}
		closeAfterAnswer(w)
		return nil, &http.MaxBytesError{Limit: limit}
	}
	data, err := h.readAll(r.Context(), http.MaxBytesReader(w, r.Body, limit))
	if errors.Is(err, ErrMemoryBudget) {
		h.limited(LimitMemory)
	}
	if err != nil {
		closeAfterAnswer(w)
		h.stop() // the rest is not read
	}
	return data, err
}

// stop fails the current and all later reads of the body.
func (h *heldBody) stop() {
	h.ended.Store(true)
	h.end()
}

func closeAfterAnswer(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// readAll reads a body in steps and joins them.
func (h *heldBody) readAll(ctx context.Context, body io.Reader) ([]byte, error) {
	h.budget.mu.Lock()
	h.budget.bodies[h] = true
	h.budget.mu.Unlock()
	defer h.leave()
	var steps [][]byte
	size := int64(firstBodyStep)
	total := 0
	for {
		if err := h.await(ctx, size); err != nil {
			return nil, err
		}
		step := make([]byte, size)
		n, err := io.ReadFull(body, step)
		steps, total, size = append(steps, step[:n]), total+n, bodyStep
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && h.atEnd(body) {
			break
		}
		if err != nil {
			return nil, bodyError(err)
		}
	}
	if len(steps) == 1 {
		return steps[0], nil
	}
	h.leave() // it is complete
	stepped := h.taken()
	if err := h.await(ctx, int64(total)); err != nil {
		return nil, err
	}
	joined := make([]byte, 0, total)
	for _, step := range steps {
		joined = append(joined, step...)
	}
	h.give(stepped)
	return joined, nil
}

// leave takes the body off the list of those that are being read.
func (h *heldBody) leave() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.bodies, h)
}

// atEnd reports whether a short read was due to the end of the body, and not to a connection
// that was closed in the middle of it.
func (h *heldBody) atEnd(body io.Reader) bool {
	_, err := body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// await takes n bytes of the budget, for which it waits up to budgetWait.
func (h *heldBody) await(ctx context.Context, n int64) error {
	begun := time.Now()
	for {
		now := time.Now()
		if h.budget.takeStep(h, n, now) {
			h.waited += now.Sub(begun)
			return nil
		}
		if now.Sub(begun) >= budgetWait {
			return fmt.Errorf("%w: %d bytes are in use", ErrMemoryBudget, h.budget.Used())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(budgetPoll):
		}
	}
}

func (h *heldBody) taken() int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes
}

// give returns n of the bytes taken.
func (h *heldBody) give(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.bytes -= n
	h.budget.used -= n
}

// advance records that n bytes have arrived.
func (h *heldBody) advance(n int, now time.Time) {
	h.read += int64(n)
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progress = now
}

// deadline returns when the next byte must have arrived.
func (h *heldBody) deadline(now time.Time) time.Time {
	byRate := h.begun.Add(h.waited + stallTimeout + time.Duration(h.read)*time.Second/minBodyRate)
	if byStall := now.Add(stallTimeout); byStall.Before(byRate) {
		return byStall
	}
	return byRate
}

func bodyError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errors.Join(ErrBodyTooSlow, err)
	}
	return err
}
