package network

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
	// evictTimeout while another body needs bytes that the budget does not have. A body that waits
	// gives way to the first of the queue after giveWayTimeout, by which bodies that stand still
	// have been ended and budgetWait is not over.
	shortStallTimeout = 2 * time.Second
	evictTimeout      = 250 * time.Millisecond
	giveWayTimeout    = 2 * evictTimeout
	// revokeTimeout is how long a body without a byte keeps bytes that it has not used while another
	// body needs them.
	revokeTimeout = evictTimeout / 2
	// minBodyRate is the least average rate of a body in bytes per second after stallTimeout. The
	// slowest links have thirty times as much.
	minBodyRate = 1 << 10
	// sustainedBodyRate is the rate in bytes per second at which a body counts as making progress
	// without a break. The slowest links have 30 KB/s, and may carry several requests at once. With
	// any byte as progress, callers that send single bytes keep the budget for themselves.
	sustainedBodyRate = 8 << 10
	// budgetWait is how long a body waits in all for bytes of the budget before it is refused, up
	// to twice as long near the head of the queue, and as long again to be joined. The caller cannot send meanwhile.
	budgetWait = time.Second
	budgetPoll = 10 * time.Millisecond
	// nearHead is the number of bodies at the head of the queue that may wait longer. A sound body
	// that came 100 ms after 16 others which stood still was refused in 40 of 150 runs without it.
	nearHead = 16
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

// heldBody is the body of a request, from its first byte to the end of the request.
type heldBody struct {
	budget *Budget
	// end fails reads of the body. It may be called at any time, but not with the mutex of the
	// budget: it takes that of the connection, with which bytes are returned.
	end     func()
	limited func(reason string)
	begun   time.Time
	read    int64
	ended   atomic.Bool // end was called

	bodyState // guarded by the mutex of the budget
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
			h.discard(r.Context(), r.Body, limit)
		}
		closeAfterAnswer(w)
		return nil, &http.MaxBytesError{Limit: limit}
	}
	data, err := h.readAll(r.Context(), http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if errors.Is(err, ErrMemoryBudget) {
		h.limited(LimitMemory)
	}
	if err != nil {
		closeAfterAnswer(w)
		h.stop() // the rest is not read
	}
	return data, err
}

// Hold takes n bytes more for what the handler of a request makes of its body, until the handler
// returns. It waits like ReadBody. After ErrMemoryBudget, the answer must close the connection; Hold
// has set the header for it.
func Hold(w http.ResponseWriter, r *http.Request, n int64) error {
	h, _ := r.Context().Value(heldKey{}).(*heldBody)
	if h == nil || h.budget == nil {
		return nil
	}
	h.budget.complete(h)
	err := h.await(r.Context(), n)
	if errors.Is(err, ErrMemoryBudget) {
		h.limited(LimitMemory)
		closeAfterAnswer(w)
	}
	return err
}

// stop fails the current and all later reads of the body.
func (h *heldBody) stop() {
	h.ended.Store(true)
	h.end()
}

func closeAfterAnswer(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// discard reads up to limit bytes, into one buffer of io.Discard.
func (h *heldBody) discard(ctx context.Context, body io.Reader, limit int64) {
	h.budget.enter(h, limit, time.Now())
	defer h.budget.leave(h)
	if h.await(ctx, firstBodyStep) == nil {
		_, _ = io.CopyN(io.Discard, body, limit)
	}
}

// readAll reads a body in steps and joins them.
func (h *heldBody) readAll(ctx context.Context, body io.Reader, length int64) ([]byte, error) {
	h.budget.enter(h, length, time.Now())
	defer h.budget.leave(h)
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
	h.budget.complete(h)
	if err := h.await(ctx, int64(total)); err != nil {
		return nil, err
	}
	joined := make([]byte, 0, total)
	for _, step := range steps {
		joined = append(joined, step...)
	}
	h.budget.joined(h, int64(total))
	return joined, nil
}

// atEnd reports whether a short read was due to the end of the body, and not to a connection
// that was closed in the middle of it.
func (h *heldBody) atEnd(body io.Reader) bool {
	_, err := body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// await takes n bytes of the budget, for which it waits until they are granted or the body has to
// give way.
func (h *heldBody) await(ctx context.Context, n int64) error {
	h.budget.ask(h, n, time.Now())
	defer h.budget.withdraw(h)
	for {
		answer, ended := h.budget.review(h, time.Now())
		for _, other := range ended {
			other.stop()
		}
		switch answer {
		case granted:
			return nil
		case refused:
			return fmt.Errorf("%w: %d bytes are in use", ErrMemoryBudget, h.budget.Used())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.changed:
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
	h.budget.giveBack(h, n)
}

// advance records that n bytes have arrived.
func (h *heldBody) advance(n int, now time.Time) {
	h.read += int64(n)
	if h.budget == nil {
		return
	}
	h.budget.advance(h, int64(n), now)
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
