package transport

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	dialTimeout    = time.Second
	redialInterval = 200 * time.Millisecond
	redialMaximum  = time.Second
)

// Dialer keeps one session to an address open until its context ends.
type Dialer struct {
	Address string // IP and port
	Token   string // bearer token of the system's processes
	Handler Handler
	// Opened, when set, is called on each new session before it is used.
	Opened func(s *Session)
	// Failed, when set, is told of each failed attempt and each lost session.
	Failed func(err error)
	// Bytes, when set, counts payload.
	Bytes *ByteCounts

	mu      sync.Mutex
	session *Session
}

// Session returns the open session, or nil.
func (d *Dialer) Session() *Session {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.session
}

// Run dials and serves sessions until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	wait := redialInterval
	for ctx.Err() == nil {
		started := time.Now()
		err := d.serveOnce(ctx)
		if d.Failed != nil && ctx.Err() == nil {
			d.Failed(err)
		}
		if time.Since(started) > redialMaximum {
			wait = redialInterval
		}
		jitter := time.Duration(rand.Int64N(int64(wait)))
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + jitter):
		}
		wait = min(wait*2, redialMaximum)
	}
}

func (d *Dialer) serveOnce(ctx context.Context) error {
	s, sctx, err := dial(ctx, d.Address, d.Token, d.Handler, d.Bytes)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.session = s
	d.mu.Unlock()
	if d.Opened != nil {
		d.Opened(s)
	}
	err = s.run(sctx)
	d.mu.Lock()
	d.session = nil
	d.mu.Unlock()
	return err
}

func dial(ctx context.Context, address, token string, handler Handler, bytes *ByteCounts) (*Session, context.Context, error) {
	dctx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	header := http.Header{"Authorization": {"Bearer " + token}}
	conn, _, err := websocket.Dial(dctx, "ws://"+address+wire.PathSession, &websocket.DialOptions{
		HTTPHeader:      header,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, nil, oops.In("transport").With("address", address).Wrap(err)
	}
	s := newSession(conn, address, handler, bytes)
	sctx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	return s, sctx, nil
}

// Connect opens one session without redialling. The caller closes it.
func Connect(ctx context.Context, address, token string, handler Handler) (*Session, error) {
	s, sctx, err := dial(ctx, address, token, handler, nil)
	if err != nil {
		return nil, err
	}
	go func() { _ = s.run(sctx) }()
	return s, nil
}
