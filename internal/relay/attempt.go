package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/placement"
)

var (
	// errNotSent means that no byte of the request left this process.
	errNotSent = errors.New("request was not sent")
	// errConnectionBroken means that the connection ended or carried bytes that are no
	// answer. The request may have run.
	errConnectionBroken = errors.New("answer broke off")
	// errReadTimeout means that no byte came within the time in which one should.
	errReadTimeout = errors.New("endpoint is silent")
	// errOldWeights means that the request was not sent because the endpoint's weights
	// may not be used any more: a connection took its time to open, or this process
	// stood still since the endpoint was chosen.
	errOldWeights = errors.New("weights are out of date")
	// errRequestEnded means that the caller left or its time is over.
	errRequestEnded = errors.New("request ended")
)

const (
	// maxInlineBody is the longest body that is written before the answer is read.
	// Socket buffers take it whole, so an endpoint that answers before it has read
	// the body does not block the write.
	maxInlineBody = 16 << 10
	// maxSendDelay is the time from the choice of an endpoint to the first byte, at most:
	// a usual connection takes up to about 10 ms to open.
	maxSendDelay = 50 * time.Millisecond
	// maxStrayAnswers bounds the answers to other requests that are skipped while
	// waiting for the own one.
	maxStrayAnswers = 3
)

// attempt is one send of a request to one endpoint.
type attempt struct {
	key         string // of the endpoint in the connection pool
	conn        *backendConn
	pool        *connPool
	stopWatch   func() bool // ends the close on the end of the request
	bodyWritten chan error  // of a long body; nil when it is written
	response    *http.Response
	answer      protocol.Answer
	// complete is true once the body was read to its end.
	complete bool
}

// roundTrip sends a request and reads the head of the answer.
func (h *handler) roundTrip(ctx context.Context, q *request, c placement.Choice, f protocol.Forwarding, readTimeout time.Duration) (*attempt, error) {
	a := &attempt{key: connKey(c.Endpoint), pool: h.conns}
	conn, err := h.conns.get(ctx, a.key, c.Address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, errRequestEnded
		}
		return nil, errors.Join(errNotSent, err)
	}
	if !q.sendBy.IsZero() && time.Now().After(q.sendBy) {
		h.conns.put(a.key, conn, 0)
		return nil, errOldWeights
	}
	a.conn = conn
	a.stopWatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = a.exchange(h, q, f, readTimeout)
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

func (a *attempt) exchange(h *handler, q *request, f protocol.Forwarding, readTimeout time.Duration) error {
	head := q.encodeHead(h.protocol, f)
	if err := a.conn.SetWriteDeadline(q.deadline); err != nil {
		return errors.Join(errNotSent, err)
	}
	first := head
	if len(q.body) <= maxInlineBody {
		first = append(head, q.body...)
	}
	if n, err := a.conn.Write(first); err != nil {
		if n == 0 {
			return errors.Join(errNotSent, err)
		}
		return errors.Join(errConnectionBroken, err)
	}
	if len(q.body) > maxInlineBody {
		a.bodyWritten = make(chan error, 1)
		go func() {
			_, err := a.conn.Write(q.body)
			a.bodyWritten <- err
		}()
	}
	if err := a.conn.SetReadDeadline(q.readDeadline(readTimeout)); err != nil {
		return errors.Join(errConnectionBroken, err)
	}
	return a.readHead(h, q)
}

// readHead reads answers until the one to this request. An answer that names
// another request arrived late; one without a name is taken only as a refusal.
func (a *attempt) readHead(h *handler, q *request) error {
	a.conn.limitReads(maxHeadBytes)
	for range maxStrayAnswers {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: q.method})
		if err != nil {
			return readError(err)
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		answer := h.protocol.Answer(response.StatusCode, response.Header)
		if answer.RequestID == q.call.ID || answer.RequestID == "" && answer.NotRun {
			a.response, a.answer = response, answer
			a.conn.limitReads(maxBufferedAnswer + maxHeadBytes) // and the framing of its parts
			return nil
		}
		h.metrics.stray.Inc()
		if answer.RequestID == "" || response.Close {
			return fmt.Errorf("%w: answer to request %q", errConnectionBroken, answer.RequestID)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return readError(err)
		}
	}
	return fmt.Errorf("%w: only answers to other requests", errConnectionBroken)
}

func readError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errors.Join(errReadTimeout, err)
	}
	return errors.Join(errConnectionBroken, err)
}

// readBody reads the answer's readBody to its end, or up to limit bytes.
func (a *attempt) readBody(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a.response.Body, limit))
	if err != nil {
		return data, readError(err)
	}
	a.complete = int64(len(data)) < limit
	return data, nil
}

// release returns the connection to the pool if nothing is outstanding on it.
func (a *attempt) release() {
	reusable := a.complete && !a.response.Close && a.answer.RequestID != "" && a.conn.reader.Buffered() == 0
	if a.bodyWritten != nil {
		select {
		case err := <-a.bodyWritten:
			reusable = reusable && err == nil
		default:
			reusable = false // the endpoint still waits for the rest of the body
		}
	}
	if !a.stopWatch() || !reusable {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.key, a.conn, a.answer.KeepIdle)
}

// close gives the connection up.
func (a *attempt) close() {
	a.stopWatch()
	_ = a.conn.Close()
}

// encodeHead is the request line and headers as they are sent. The path and query are
// the caller's bytes.
func (q *request) encodeHead(p protocol.Caller, f protocol.Forwarding) []byte {
	header := q.header.Clone()
	p.Forward(header, f)
	header.Del("Content-Length")
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.method, q.target, q.host)
	if len(q.body) > 0 || q.method == http.MethodPost || q.method == http.MethodPut || q.method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	_ = header.Write(&b) // a buffer takes every write
	b.WriteString("\r\n")
	return b.Bytes()
}
