package network

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// answerStallTimeout is how long an answer may wait in all for its caller to read. Links may
	// stand still for 8 s, and TCP may send again only after as long once more.
	answerStallTimeout = 20 * time.Second
	// minAnswerRate is the rate in bytes per second at which written bytes make up for time that
	// an answer has waited. The slowest links have thirty times as much.
	minAnswerRate = 1 << 10
	// answerStep is the most that is written at once, so that progress is seen.
	answerStep = 16 << 10
	// maxUnsent is how many bytes the operating system takes beyond what the caller has room for.
	// By default it takes hundreds of kilobytes, so that a caller that does not read keeps the
	// process busy until they are used up.
	maxUnsent = 8 << 10
	// unsentPoll is the time between two looks at the unsent bytes of earlier answers.
	unsentPoll = 10 * time.Millisecond
	// newConnTime is how long a connection that waits for a head is spared while answers that are
	// not read make room. A request that was sent at once would otherwise be lost.
	newConnTime = time.Second
	// roomSample is the least number of connections among which one is chosen to make room.
	roomSample = 64
)

// answerState is the progress of the answers on a connection.
type answerState struct {
	writing  bool
	since    time.Time     // when the write in progress began
	waited   time.Duration // in writes, less what written bytes made up for; never negative
	deadline time.Time     // that the server has set
}

// limitUnsent limits what the operating system buffers of answers.
func limitUnsent(c net.Conn) {
	withDescriptor(c, func(fd int) {
		// Without the option, answers that are not read are noticed later.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
}

// unsent returns how many bytes of answers the operating system has not sent yet, because their
// caller or the link has no room.
func unsent(c net.Conn) (bytes int) {
	withDescriptor(c, func(fd int) {
		const closed = 7 // TCP_CLOSE
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State != closed {
			bytes = int(info.Notsent_bytes)
		}
	})
	return bytes
}

// withDescriptor calls do unless c is closed or has no descriptor, as in tests.
func withDescriptor(c net.Conn, do func(fd int)) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if control, err := raw.SyscallConn(); err == nil {
		_ = control.Control(func(fd uintptr) { do(int(fd)) })
	}
}

type guardedKey struct{}

// awaitSent waits until earlier answers were sent, and reports whether the request may run. A caller
// that sends requests without reading the answers would otherwise keep endpoints busy.
func awaitSent(ctx context.Context) bool {
	c, ok := ctx.Value(guardedKey{}).(*guardedConn)
	if !ok {
		return true
	}
	left := unsent(c.Conn)
	if left == 0 {
		return true
	}
	c.beginWrite()
	for left > 0 {
		time.Sleep(unsentPoll)
		now := unsent(c.Conn)
		if c.isTooSlow(left - now) {
			c.guard.remove(c)
			return false
		}
		left = now
	}
	c.endWrite(0, nil)
	return true
}

// isTooSlow records that n bytes of earlier answers were sent. It reports whether the connection is
// closed, which it does if the caller reads too slowly.
func (c *guardedConn) isTooSlow(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return true
	}
	now, a := time.Now(), &c.answer
	if n > 0 {
		a.advance(n, now)
		a.since = now
	}
	if a.waited+now.Sub(a.since) < answerStallTimeout {
		return false
	}
	c.guard.limited(LimitSlowAnswer)
	c.dropAnswer()
	return true
}

// Write implements net.Conn. It fails if the caller does not read its answer.
func (c *guardedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.beginWrite()
		n, err := c.Conn.Write(p[written:min(len(p), written+answerStep)])
		written += n
		again, dropped := c.endWrite(n, err)
		if dropped {
			c.guard.remove(c)
		}
		if err != nil && !again || err == nil && written == len(p) {
			return written, err
		}
	}
}

func (c *guardedConn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer.writing, c.answer.since = true, time.Now()
	_ = c.applyWriteDeadline() // fails only if the connection is closed
}

// endWrite records a write of n bytes. It reports whether a write that failed can go on, and
// whether the connection was closed because its caller reads too slowly.
func (c *guardedConn) endWrite(n int, err error) (again, dropped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, a := time.Now(), &c.answer
	a.advance(n, now)
	a.writing = false
	serverLimit := !a.deadline.IsZero() && !now.Before(a.deadline)
	if c.closed || !errors.Is(err, os.ErrDeadlineExceeded) || serverLimit {
		return false, false
	}
	if a.waited < answerStallTimeout {
		return true, false
	}
	c.guard.limited(LimitSlowAnswer)
	c.dropAnswer()
	return false, true
}

// advance records that n bytes were sent since the write began.
func (a *answerState) advance(n int, now time.Time) {
	a.waited = max(0, a.waited+now.Sub(a.since)-time.Duration(n)*time.Second/minAnswerRate)
}

// SetWriteDeadline implements net.Conn. The earlier of this deadline and that of the guard applies.
func (c *guardedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer.deadline = t
	if !c.answer.writing {
		return nil // the next write applies it
	}
	return c.applyWriteDeadline()
}

// applyWriteDeadline limits the write in progress. The mutex must be held.
func (c *guardedConn) applyWriteDeadline() error {
	a := &c.answer
	deadline := a.since.Add(answerStallTimeout - a.waited)
	if !a.deadline.IsZero() && a.deadline.Before(deadline) {
		deadline = a.deadline
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// dropAnswer closes the connection without sending what it has buffered, for which the operating
// system would keep it for minutes. The mutex must be held.
func (c *guardedConn) dropAnswer() {
	c.setClosed()
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Conn.Close()
}

// stalledSince returns when the write in progress began.
func (c *guardedConn) stalledSince() (since time.Time, stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.since, c.answer.writing && !c.closed
}

// closeStalled closes the connection unless its answer has made progress since the given time, and
// reports whether it did.
func (c *guardedConn) closeStalled(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.answer.writing || c.closed || !c.answer.since.Equal(since) {
		return false
	}
	c.dropAnswer()
	return true
}

// candidates returns a connection that has been idle for long and one whose answer has made no
// progress for long, or nil. Of many connections it looks at roomSample, in random order, because
// callers may open thousands of them a second. The mutex must be held.
func (g *Guard) candidates() (idle, stalled *guardedConn, idleSince, stalledSince time.Time) {
	looked, now := 0, time.Now()
	for c := range g.conns {
		if at, ok := c.idleSince(); ok && (idle == nil || at.Before(idleSince)) {
			idle, idleSince = c, at
		}
		if at, ok := c.stalledSince(); ok && (stalled == nil || at.Before(stalledSince)) {
			stalled, stalledSince = c, at
		}
		looked++
		if looked >= roomSample && (stalled != nil || idle != nil && now.Sub(idleSince) >= newConnTime) {
			break
		}
	}
	return idle, stalled, idleSince, stalledSince
}

// makeRoom closes a connection that has been idle for long, or else one whose answer has made no
// progress for long. It reports false if there is neither. The mutex must be held.
func (g *Guard) makeRoom() bool {
	for {
		idle, stalled, idleSince, stalledSince := g.candidates()
		spare := idle == nil || time.Since(idleSince) < newConnTime
		switch {
		case spare && stalled != nil:
			if stalled.closeStalled(stalledSince) {
				delete(g.conns, stalled)
				g.limited(LimitSlowAnswer)
				return true
			}
		case idle == nil:
			return false
		case idle.closeIdle():
			delete(g.conns, idle)
			g.limited(LimitConnections)
			return true
		}
	}
}
