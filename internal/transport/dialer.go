package transport

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	dialTimeout    = time.Second
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = time.Second
)

// Dialer opens sessions to an address. Run keeps one open and reconnects when it is
// lost; Connect opens a single session.
type Dialer struct {
	Address string // IP and port
	Token   string // bearer token shared by the processes of the platform
	Handler Handler
	// OnOpen, if set, is called with each new session of Run before messages are
	// read from it.
	OnOpen func(s *Session)
	// OnFailure, if set, is called with the error of each failed connection attempt
	// and each lost session of Run.
	OnFailure func(err error)
	// Bytes, if set, counts the payload of all sessions.
	Bytes *ByteCounts
	// Network opens the connections. Nil selects the operating system's network.
	Network network.Network

	mu      sync.Mutex
	session *Session
}

// Session returns the open session of Run, or nil.
func (d *Dialer) Session() *Session {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.session
}

// Run keeps a session open until ctx ends. It reconnects after a jittered,
// exponentially growing delay, which starts over once a session has lasted longer
// than maxRedialDelay.
func (d *Dialer) Run(ctx context.Context) {
	wait := minRedialDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := d.serveOnce(ctx)
		if d.OnFailure != nil && ctx.Err() == nil {
			d.OnFailure(err)
		}
		if time.Since(started) > maxRedialDelay {
			wait = minRedialDelay
		}
		jitter := time.Duration(rand.Int64N(int64(wait)))
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + jitter):
		}
		wait = min(wait*2, maxRedialDelay)
	}
}

func (d *Dialer) serveOnce(ctx context.Context) error {
	s, sctx, err := dial(ctx, d)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.session = s
	d.mu.Unlock()
	if d.OnOpen != nil {
		d.OnOpen(s)
	}
	err = s.run(sctx, s.pingLoop)
	d.mu.Lock()
	d.session = nil
	d.mu.Unlock()
	return err
}

func dial(ctx context.Context, d *Dialer) (*Session, context.Context, error) {
	dctx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	// Each dial has its own HTTP transport, because the handshake takes the
	// connection out of the transport's control.
	client := &http.Client{Transport: network.HTTPTransport(d.Network)}
	conn, _, err := websocket.Dial(dctx, "ws://"+d.Address+wire.PathSession, &websocket.DialOptions{
		HTTPClient:      client,
		HTTPHeader:      http.Header{"Authorization": {"Bearer " + d.Token}},
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		client.CloseIdleConnections()
		return nil, nil, oops.In("transport").With("address", d.Address).Wrap(err)
	}
	s := newSession(conn, d.Address, d.Handler, d.Bytes)
	sctx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	return s, sctx, nil
}

// Connect opens one session and does not reconnect. The caller must close it.
func (d *Dialer) Connect(ctx context.Context) (*Session, error) {
	s, sctx, err := dial(ctx, d)
	if err != nil {
		return nil, err
	}
	go func() { _ = s.run(sctx, s.pingLoop) }()
	return s, nil
}
