package controlclient

import (
	"sync"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// sessionStates holds what short messages leave out, by replica. It belongs to
// one session: the other side of a new one knows nothing of it.
type sessionStates struct {
	mu     sync.Mutex
	states map[string]*sessionState
}

type sessionState struct {
	session   *transport.Session
	lastFullReply      *wire.ConfirmReply // the last full reply
	lastAnnounce *sentAnnounce         // the last whole announcement
}

// opened starts the state of a new session.
func (l *sessionStates) opened(address string, s *transport.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		l.states = map[string]*sessionState{}
	}
	l.states[address] = &sessionState{session: s}
}

// current returns the state current a session, or nil when it is not the newest: a late
// use current an ended session must not replace the state current the next. The caller
// holds mu.
func (l *sessionStates) current(address string, s *transport.Session) *sessionState {
	if state := l.states[address]; state != nil && state.session == s {
		return state
	}
	return nil
}

// expand completes a short reply. It reports false for one that does not follow
// the last full reply: it must not count for that reply's voters.
func (l *sessionStates) expand(address string, s *transport.Session, r *wire.ConfirmReply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.current(address, s)
	if !r.Short {
		if state != nil {
			full := *r
			state.lastFullReply = &full
		}
		return true
	}
	if state == nil || state.lastFullReply == nil || state.lastFullReply.VoterIndex != r.VoterIndex {
		return false
	}
	r.Replica, r.Voters = state.lastFullReply.Replica, state.lastFullReply.Voters
	return true
}

// RequestConfirmation asks every replica for its revision.
func (c *Client) RequestConfirmation(mark uint64) {
	c.Broadcast(wire.ConfirmRequest{Mark: mark, Short: true})
}
