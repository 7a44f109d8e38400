package transport

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Errors of this package.
var (
	ErrClosed        = errors.New("session closed")
	ErrSendQueueFull = errors.New("send queue full")
)

const (
	sendQueueFrames = 1024
	pingInterval    = time.Second
	// pingTimeout limits how long a network partition without errors goes
	// undetected.
	pingTimeout = 2 * time.Second
	// maxSilentIntervals is the number of ping intervals without a frame or ping
	// after which the accepting side closes a session. Only the dialing side sends
	// pings.
	maxSilentIntervals = 3
	writeTimeout       = 2 * time.Second
)

// Handler is called for each message that is not a reply. Calls for one session
// are sequential, and a handler that blocks also blocks reading from the session.
type Handler func(ctx context.Context, s *Session, env wire.Envelope)

// Session is one WebSocket connection. Its methods are safe for concurrent use.
type Session struct {
	conn    *websocket.Conn
	handler Handler
	peer    string
	queue   chan []byte
	nextID  atomic.Uint64

	mu              sync.Mutex
	pendingRequests map[uint64]chan wire.Envelope

	cancel context.CancelFunc
	done   chan struct{}
	bytes  *ByteCounts
	// activity is incremented for each frame and ping received from the peer.
	activity atomic.Uint64
}

// ByteCounts counts payload bytes in both directions.
type ByteCounts struct {
	Sent, Received atomic.Int64
	// ReceivedByType counts received bytes by message type.
	ReceivedByType [wire.TypeCount]atomic.Int64
}

func (b *ByteCounts) received(t wire.Type, bytes int) {
	if int(t) < len(b.ReceivedByType) {
		b.ReceivedByType[t].Add(int64(bytes))
	}
}

func newSession(conn *websocket.Conn, peer string, handler Handler, bytes *ByteCounts) *Session {
	conn.SetReadLimit(wire.MaxFrameBytes)
	if bytes == nil {
		bytes = &ByteCounts{}
	}
	s := &Session{
		conn: conn, handler: handler, peer: peer, bytes: bytes,
		queue:           make(chan []byte, sendQueueFrames),
		pendingRequests: map[uint64]chan wire.Envelope{},
		done:            make(chan struct{}),
	}
	s.recordActivity()
	return s
}

// recordActivity records that a frame or ping was received from the peer.
func (s *Session) recordActivity() { s.activity.Add(1) }

// Peer returns the dialled address, or the remote address of an accepted session.
func (s *Session) Peer() string { return s.peer }

// Done returns a channel that is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// Close starts closing the session. Done is closed once it has ended.
func (s *Session) Close() {
	s.cancel()
}

// run reads and writes messages until the connection fails or ctx ends. It runs
// watch concurrently, which must cancel the session if the peer becomes silent.
func (s *Session) run(ctx context.Context, watch func(context.Context)) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.writeLoop(ctx) })
	wg.Go(func() { watch(ctx) })
	err := s.readLoop(ctx)
	s.cancel()
	_ = s.conn.CloseNow()
	wg.Wait()
	close(s.done)
	return err
}

func (s *Session) readLoop(ctx context.Context) error {
	for {
		kind, frame, err := s.conn.Read(ctx)
		if err != nil {
			return oops.In("transport").With("peer", s.peer).Wrap(err)
		}
		s.recordActivity()
		s.bytes.Received.Add(int64(len(frame)))
		if kind != websocket.MessageBinary {
			return oops.In("transport").With("peer", s.peer).Errorf("received a text frame, expected a binary frame")
		}
		env, err := wire.Decode(frame)
		if err != nil {
			return err
		}
		s.bytes.received(env.Type, len(frame))
		if env.ReplyTo != 0 {
			s.deliverReply(env)
			continue
		}
		s.handler(ctx, s, env)
	}
}

func (s *Session) deliverReply(env wire.Envelope) {
	s.mu.Lock()
	ch, ok := s.pendingRequests[env.ReplyTo]
	delete(s.pendingRequests, env.ReplyTo)
	s.mu.Unlock()
	if ok {
		ch <- env
	}
}

func (s *Session) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case frame := <-s.queue:
			wctx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := s.conn.Write(wctx, websocket.MessageBinary, frame)
			cancel()
			if err != nil {
				s.cancel()
				return
			}
			s.bytes.Sent.Add(int64(len(frame)))
		}
	}
}

func (s *Session) pingLoop(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			pctx, cancel := context.WithTimeout(ctx, pingTimeout)
			err := s.conn.Ping(pctx)
			cancel()
			if err != nil {
				s.cancel()
				return
			}
		}
	}
}

// Send queues msg for sending. It never blocks: if the queue is full, it returns
// ErrSendQueueFull.
func (s *Session) Send(msg wire.Message) error {
	return s.send(msg, 0, 0)
}

// Reply queues msg as the reply to the request env.
func (s *Session) Reply(env wire.Envelope, msg wire.Message) error {
	return s.send(msg, 0, env.ID)
}

// Request sends msg, waits for the reply and decodes it into out. A wire.Error
// reply is returned as an error.
func (s *Session) Request(ctx context.Context, msg wire.Message, out any) error {
	id := s.nextID.Add(1)
	ch := make(chan wire.Envelope, 1)
	s.mu.Lock()
	s.pendingRequests[id] = ch
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pendingRequests, id)
		s.mu.Unlock()
	}()
	if err := s.send(msg, id, 0); err != nil {
		return err
	}
	select {
	case env := <-ch:
		return decodeReply(env, out)
	case <-s.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func decodeReply(env wire.Envelope, out any) error {
	if env.Type != wire.TypeError {
		return env.Into(out)
	}
	var failure wire.Error
	if err := env.Into(&failure); err != nil {
		return err
	}
	return failure
}

func (s *Session) send(msg wire.Message, id, replyTo uint64) error {
	frame, err := wire.Encode(msg, id, replyTo)
	if err != nil {
		return err
	}
	return s.SendFrame(frame)
}

// SendFrame queues a frame from wire.Encode, with the same errors as Send. A frame
// may be sent on several sessions and must not be modified.
func (s *Session) SendFrame(frame []byte) error {
	select {
	case <-s.done:
		return ErrClosed
	default:
	}
	select {
	case s.queue <- frame:
		return nil
	default:
		return ErrSendQueueFull
	}
}
