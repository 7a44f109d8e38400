package network

import (
	"errors"
	"net"
	"os"
	"time"
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
	// answerBuffer is the size asked for the send buffer of a connection, of which the operating
	// system uses twice as much. A write goes on when a third of it is free, which takes 1.5 s on
	// a link of 30 KB/s. Without a limit, it may grow to several megabytes.
	answerBuffer = 64 << 10
	// newConnTime is how long a connection that waits for a head is spared while answers that are
	// not read make room. A request that was sent at once would otherwise be lost.
	newConnTime = time.Second
)

// answerState is the progress of the answers on a connection.
type answerState struct {
	writing  bool
	since    time.Time     // when the write in progress began
	waited   time.Duration // in writes, less what written bytes made up for; never negative
	deadline time.Time     // that the server has set
}

// limitBuffer limits the memory of the operating system for answers on a connection.
func limitBuffer(c net.Conn) {
	if b, ok := c.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = b.SetWriteBuffer(answerBuffer) // fails only if the connection is closed
	}
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
	a.waited = max(0, a.waited+now.Sub(a.since)-time.Duration(n)*time.Second/minAnswerRate)
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

// longestStalled returns the connection whose answer has made no progress for longest, or nil. The
// mutex must be held.
func (g *Guard) longestStalled() (found *guardedConn, since time.Time) {
	for c := range g.conns {
		if at, stalled := c.stalledSince(); stalled && (found == nil || at.Before(since)) {
			found, since = c, at
		}
	}
	return found, since
}

// makeRoom closes the connection that has been idle for longest, or else the one whose answer has
// made no progress for longest. It reports false if there is neither. The mutex must be held.
func (g *Guard) makeRoom() bool {
	for {
		idle, idleSince := g.longestIdle()
		if idle == nil || time.Since(idleSince) < newConnTime {
			stalled, since := g.longestStalled()
			switch {
			case stalled != nil && stalled.closeStalled(since):
				delete(g.conns, stalled)
				g.limited(LimitSlowAnswer)
				return true
			case stalled != nil:
				continue // it has made progress
			case idle == nil:
				return false
			}
		}
		if idle.closeIdle() {
			delete(g.conns, idle)
			g.limited(LimitConnections)
			return true
		}
	}
}
