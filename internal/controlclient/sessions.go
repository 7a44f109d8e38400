package controlclient

import (
	"sync"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// sessionStates holds, by replica, the data that short messages leave out. It
// is valid for one session: the replica does not know it on a new session.
type sessionStates struct {
	mu     sync.Mutex
	states map[string]*sessionState
}

type sessionState struct {
	session       *transport.Session
	lastFullReply *wire.ConfirmReply // last full confirmation reply
	lastAnnounce  *sentAnnounce      // last full announcement
}

// opened creates the state of a new session.
func (l *sessionStates) opened(address string, s *transport.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		l.states = map[string]*sessionState{}
	}
	l.states[address] = &sessionState{session: s}
}

// current returns the state of a session, or nil if it is not the newest: a
// late use of an ended session must not replace the state of the next one. The
// caller holds mu.
func (l *sessionStates) current(address string, s *transport.Session) *sessionState {
	if state := l.states[address]; state != nil && state.session == s {
		return state
	}
	return nil
}

// expand completes a short reply from the last full reply. It returns false if
// the short reply does not belong to that one; it must then not count for its
// voters.
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
