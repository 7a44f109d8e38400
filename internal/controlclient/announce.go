package controlclient

import (
	"bytes"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// sentAnnounce is a full announcement that was sent.
type sentAnnounce struct {
	sequence uint64
	content  []byte // encoded, without the fields of KeepAlive
}

// Announce sends an announcement on every open session and returns the number
// of sessions that it was queued on. An announcement that repeats the last one
// is sent as KeepAlive to replicas that support it.
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

// repeatedContent encodes the fields that KeepAlive omits. The encoding is
// compared instead of a copy, since a copy would share the sets and rollouts
// with the caller, who may change them.
func repeatedContent(a wire.Announce) []byte {
	a.Sequence, a.InFlight = 0, 0
	content, err := wire.Marshal(a)
	if err != nil {
		return nil
	}
	return content
}

// announce sends an announcement on a session in the shortest form possible.
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

// lastAnnounce returns the last full announcement on a session, or nil if the
// replica does not support KeepAlive.
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
