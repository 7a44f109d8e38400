package controlclient

import (
	"bytes"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// sentAnnounce is a whole announcement that was sent.
type sentAnnounce struct {
	sequence uint64
	content  []byte // encoded, without what KeepAlive carries
}

// Announce sends an announcement to every replica with an open session and
// returns how many it was queued for. One that repeats the last is sent as
// KeepAlive to replicas that take it.
func (c *Client) Announce(a wire.Announce) int {
	c.announceMu.Lock()
	defer c.announceMu.Unlock()
	content := repeatedContent(a)
	sent := 0
	for address, d := range c.dialersByAddress() {
		if s := d.Session(); s != nil && c.sessions.announce(address, s, a, content) == nil {
			sent++
		}
	}
	return sent
}

// repeatedContent encodes what KeepAlive leaves out. A copy would share the sets and
// rollouts with the caller, who may change them.
func repeatedContent(a wire.Announce) []byte {
	a.Sequence, a.InFlight = 0, 0
	content, err := wire.Marshal(a)
	if err != nil {
		return nil
	}
	return content
}

// announce sends an announcement on a session in the shortest form.
func (l *sessionStates) announce(address string, s *transport.Session, a wire.Announce, content []byte) error {
	base := l.lastAnnounce(address, s)
	if base != nil && content != nil && bytes.Equal(base.content, content) {
		return s.Send(wire.KeepAlive{Base: base.sequence, Sequence: a.Sequence, InFlight: a.InFlight})
	}
	err := s.Send(a)
	if err == nil {
		l.setLastAnnounce(address, s, &sentAnnounce{sequence: a.Sequence, content: content})
	}
	return err
}

// lastAnnounce returns the last whole announcement on a session, or nil when the
// replica takes no KeepAlive.
func (l *sessionStates) lastAnnounce(address string, s *transport.Session) *sentAnnounce {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.current(address, s)
	if state == nil || state.lastFullReply == nil || !state.lastFullReply.KeepAlives {
		return nil
	}
	return state.lastAnnounce
}

func (l *sessionStates) setLastAnnounce(address string, s *transport.Session, a *sentAnnounce) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.current(address, s); state != nil {
		state.lastAnnounce = a
	}
}
