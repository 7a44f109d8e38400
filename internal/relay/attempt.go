package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/placement"
)

var (
	// errNotSent means that no byte of the request was sent.
	errNotSent = errors.New("request was not sent")
	// errConnectionBroken means that the connection ended or the endpoint sent bytes
	// that are not a valid answer. The request may have run.
	errConnectionBroken = errors.New("answer broke off")
	// errReadTimeout means that no byte arrived before the read deadline.
	errReadTimeout = errors.New("endpoint is silent")
	// errOldWeights means that the request was not sent because the weights of the
	// endpoint may no longer be used: opening the connection took too long, this process was
	// paused after the endpoint was selected, or it is not known which weights an engine has.
	errOldWeights = errors.New("weights of the endpoint are superseded or unknown")
	// errEndpointLeft means that the request was not sent because the endpoint has left, or
	// has announced that it will. A broker that is cut off grants the slots of such endpoints.
	errEndpointLeft = errors.New("endpoint has left the fleet")
	// errEndpointPaused means that the request was not sent because the endpoint wants no
	// requests from this entry for a while. It may have said so after it was selected.
	errEndpointPaused = errors.New("endpoint wants no requests for a while")
	// errPermitExpired means that the request was not sent because the permit of the broker
	// was granted too long ago. It would exceed the rate of the endpoint together with
	// requests that were granted later.
	errPermitExpired = errors.New("permit of the broker has expired")
	// errRequestEnded means that the caller disconnected or the deadline of the request
	// passed.
	errRequestEnded = errors.New("request ended")
	// errEndedUnsent means the same, before any byte was sent.
	errEndedUnsent = fmt.Errorf("%w before it was sent", errRequestEnded)
)

const (
	// maxInlineBody is the size of the longest body that is written before the answer
	// is read. It fits into the socket buffers, so the write does not block if the
	// endpoint answers without reading the body.
	maxInlineBody = 16 << 10
	// maxSendDelay is the longest time from the selection of an endpoint to the first
	// byte sent. Opening a connection usually takes up to 10 ms.
	maxSendDelay = 50 * time.Millisecond
	// refusalBodyTimeout is the longest wait for the body of a refusal, whose head says all
	// that matters. The body usually arrives with the head.
	refusalBodyTimeout = 50 * time.Millisecond
	// maxStrayAnswers limits how many answers, interim answers and answers to other
	// requests included, are read before giving up on the answer to this request.
	maxStrayAnswers = 3
)

// attempt is one attempt to send a request to an endpoint.
type attempt struct {
	key         string // key of the endpoint in the connection pool
	conn        *backendConn
	pool        *connPool
	budget      *network.Budget
	request     *request
	stopWatch   func() bool // stops closing the connection when the request context ends
	bodyWritten chan error  // receives the result of writing a long body; nil for a short one
	response    *http.Response
	answer      protocol.Answer
	began       time.Time // time of the first event of a stream
	// complete is true once the body was read to its end.
	complete bool
}

// roundTrip sends a request and reads the head of the answer.
func (h *handler) roundTrip(ctx context.Context, q *request, c placement.Choice, f protocol.Forwarding) (*attempt, error) {
	a := &attempt{key: connKey(c.Endpoint), pool: h.conns, budget: h.budget, request: q}
	conn, err := h.conns.get(ctx, a.key, c.Address, q.call.ID)
	if err != nil {
		if ctx.Err() != nil {
			return nil, errEndedUnsent
		}
		return nil, errors.Join(errNotSent, err)
	}
	h.recordWeights(q)
	if h.mustNotRun(q, time.Now()) {
		h.conns.putUnused(a.key, conn)
		return nil, errOldWeights
	}
	if h.hasLeft(q.service, c) {
		_ = conn.Close()
		return nil, errEndpointLeft
	}
	if h.fleet.IsEvacuated(c.Zone) {
		_ = conn.Close()
		return nil, errZoneEvacuated
	}
	if !h.regionAllowed(q, c) {
		h.conns.putUnused(a.key, conn)
		return nil, errRegionNotAllowed
	}
	if h.dispatcher.paused(q.service, c) {
		h.conns.putUnused(a.key, conn)
		return nil, errEndpointPaused
	}
	if !c.PermitUntil.IsZero() && time.Now().After(c.PermitUntil) {
		h.conns.putUnused(a.key, conn)
		return nil, errPermitExpired
	}
	a.conn = conn
	a.stopWatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = a.exchange(h, q, f)
	if err == nil {
		return a, nil
	}
	a.close()
	if ctx.Err() != nil {
		return nil, errRequestEnded
	}
	return nil, err
}

func connKey(e placement.Endpoint) string { return fmt.Sprintf("%s/%d", e.ID, e.Incarnation) }

func (a *attempt) exchange(h *handler, q *request, f protocol.Forwarding) error {
	head := q.encodeHead(h.protocol, f)
	a.conn.recordID(q.call.ID)
	if err := a.conn.SetWriteDeadline(h.writeDeadline(q)); err != nil {
		return errors.Join(errNotSent, err)
	}
	first := head
	if len(q.body) <= maxInlineBody {
		first = append(head, q.body...)
	}
	n, err := a.conn.Write(first)
	if err != nil {
		return h.writeError(q, n, err)
	}
	if len(q.body) > maxInlineBody {
		if err := a.conn.SetWriteDeadline(q.deadline); err != nil { // the reads are limited from now on
			return errors.Join(errConnectionBroken, err)
		}
		a.bodyWritten = make(chan error, 1)
		go func() {
			_, err := a.conn.Write(q.body)
			a.bodyWritten <- err
		}()
	}
	if err := a.awaitBegin(h, q); err != nil {
		return errors.Join(errConnectionBroken, err)
	}
	return a.readHead(h, q)
}

// writeError returns the error of an attempt whose request was written up to its byte n.
func (h *handler) writeError(q *request, n int, err error) error {
	tooLate := errors.Is(err, os.ErrDeadlineExceeded) && h.beginsTooLate(q, time.Now())
	switch {
	case tooLate && n == 0:
		return errors.Join(errOldWeights, err)
	case tooLate:
		return errors.Join(errReadTimeout, err)
	case n == 0:
		return errors.Join(errNotSent, err)
	}
	return errors.Join(errConnectionBroken, err)
}

// awaitBegin limits the reads up to the first event of the answer.
func (a *attempt) awaitBegin(h *handler, q *request) error {
	return a.conn.setReadDeadline(h.beginDeadline(q, time.Now()), func() (time.Time, bool) {
		now := time.Now()
		if end := q.readDeadline(); h.beginsTooLate(q, now) || !end.IsZero() && !now.Before(end) {
			return time.Time{}, false
		}
		return h.beginDeadline(q, now), true
	})
}

// readHead reads answers up to the one to this request and skips late answers to other
// requests. An answer without a request ID is accepted only if it states that the
// request did not run and is the first on its connection: later, it may repeat the
// answer to an earlier request.
func (a *attempt) readHead(h *handler, q *request) error {
	a.conn.limitReads(maxHeadBytes)
	first := !a.conn.reused
	for range maxStrayAnswers {
		response, err := readResponseHead(a.conn, q.method)
		if err != nil {
			return readError(err)
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		answer := h.protocol.Answer(response.StatusCode, response.Header)
		if answer.RequestID == q.call.ID || answer.RequestID == "" && answer.NotRun && first {
			if _, encoded := response.Header["Content-Encoding"]; encoded && !answer.NotRun {
				return fmt.Errorf("%w: the body is encoded, which callers do not ask for", errConnectionBroken)
			}
			a.response, a.answer = response, answer
			if a.endsWithConnection() {
				response.Body = &unboundedBody{response.Body, a}
			}
			a.conn.limitReads(maxBufferedAnswer + maxHeadBytes) // maxHeadBytes allows for the chunk framing
			return nil
		}
		first = false
		h.metrics.stray.Inc()
		if answer.RequestID == "" || response.Close {
			return fmt.Errorf("%w: got an answer to request %q", errConnectionBroken, answer.RequestID)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return readError(err)
		}
	}
	return fmt.Errorf("%w: no answer to this request among the first %d", errConnectionBroken, maxStrayAnswers)
}

// endsWithConnection reports whether the answer has neither a length nor chunks, so that
// its body ends with the connection.
func (a *attempt) endsWithConnection() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
}

// unboundedBody is a body that ends with the connection. The operating system reports a
// reset to one call only, which may be the write of the request's body; reads then end
// without an error.
type unboundedBody struct {
	io.ReadCloser
	attempt *attempt
}

func (b *unboundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) || b.attempt.bodyWritten == nil {
		return n, err
	}
	if writeErr := <-b.attempt.bodyWritten; writeErr != nil {
		err = errors.Join(errConnectionBroken, writeErr)
	}
	b.attempt.bodyWritten = nil
	return n, err
}

func readError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errors.Join(errReadTimeout, err)
	}
	return errors.Join(errConnectionBroken, err)
}

// readBody reads the body of the answer to its end, or up to limit bytes, or up to the end of the
// memory budget.
func (a *attempt) readBody(limit int64) ([]byte, error) {
	var data []byte
	for int64(len(data)) < limit {
		if len(data) == cap(data) {
			size := min(limit, max(readBufferSize, 2*int64(cap(data))))
			if size > readBufferSize && !a.take(size) {
				return data, nil
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := a.response.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			a.complete = int64(len(data)) < limit
			return data, nil
		}
		if err != nil {
			return data, readError(err)
		}
	}
	return data, nil
}

// take takes n bytes of the memory budget until the end of the request, and reports whether there
// were as many.
func (a *attempt) take(n int64) bool {
	if !a.budget.Take(n) {
		return false
	}
	a.request.answerBytes += n
	return true
}

// discardRefusal reads the body of a refusal, so that the connection can be reused.
func (a *attempt) discardRefusal() error {
	if err := a.conn.setReadDeadline(time.Now().Add(refusalBodyTimeout), nil); err != nil {
		return errors.Join(errConnectionBroken, err)
	}
	_, err := a.readBody(maxBufferedAnswer)
	return err
}

// release returns the connection to the pool if nothing is outstanding on it, and
// closes it otherwise.
func (a *attempt) release() {
	reusable := a.complete && !a.response.Close && a.answer.RequestID != "" && a.conn.buffered() == 0
	if a.bodyWritten != nil {
		select {
		case err := <-a.bodyWritten:
			reusable = reusable && err == nil
		default:
			reusable = false // the body is still being written
		}
	}
	if !a.stopWatch() || !reusable {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.key, a.conn, a.answer.IdleTimeout)
}

// close closes the connection.
func (a *attempt) close() {
	a.stopWatch()
	_ = a.conn.Close()
}

// encodeHead encodes the request line and the headers. Path and query are forwarded
// byte for byte.
func (q *request) encodeHead(p protocol.HeaderCodec, f protocol.Forwarding) []byte {
	header := q.header.Clone()
	p.Forward(header, f)
	header.Del("Content-Length")
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.method, q.target, q.host)
	if len(q.body) > 0 || hasBody(q.method) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	_ = header.Write(&b) // a bytes.Buffer never fails
	b.WriteString("\r\n")
	return b.Bytes()
}
