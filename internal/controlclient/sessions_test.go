package controlclient

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// A short confirmation must not count for the voters of another reply: of
// another voter set, an earlier session or another replica.
func TestShortRepliesAreExpandedWithinTheirSession(t *testing.T) {
	is := is.New(t)
	var states sessionStates
	first, second := &transport.Session{}, &transport.Session{}
	expanded := func(address string, s *transport.Session, r wire.ConfirmReply) (wire.ConfirmReply, bool) {
		ok := states.expand(address, s, &r)
		return r, ok
	}
	states.opened("x", first)
	states.opened("y", second)
	short := wire.ConfirmReply{Mark: 2, Revision: 7, VoterIndex: 5, Short: true}
	_, ok := expanded("x", first, short)
	is.True(!ok)
	_, ok = expanded("x", first, wire.ConfirmReply{Mark: 1, Replica: "rx", Voters: []string{"rx", "ry"}, VoterIndex: 5})
	is.True(ok)
	r, ok := expanded("x", first, short)
	is.True(ok)
	is.Equal(r.Replica, "rx")
	is.Equal(r.Voters, []string{"rx", "ry"})
	is.Equal(r.Revision, uint64(7))
	_, ok = expanded("y", second, short)
	is.True(!ok)
	states.opened("x", second)
	_, ok = expanded("x", second, short)
	is.True(!ok)
	_, ok = expanded("x", second, wire.ConfirmReply{Replica: "rx", Voters: []string{"rx"}, VoterIndex: 6})
	is.True(ok)
	_, ok = expanded("x", second, short)
	is.True(!ok)
}

// A late announcement on an ended session must not discard the state of the
// next session: every short reply on it would be dropped.
func TestLateUseOfEndedSessionKeepsNewState(t *testing.T) {
	is := is.New(t)
	var states sessionStates
	ended, next := &transport.Session{}, &transport.Session{}
	states.opened("x", ended)
	states.opened("x", next)
	is.True(states.expand("x", next, &wire.ConfirmReply{Replica: "rx", Voters: []string{"rx"}, VoterIndex: 5, KeepAlives: true}))
	is.True(states.lastAnnounce("x", ended) == nil)
	states.setLastAnnounce("x", ended, &sentAnnounce{sequence: 1})
	is.True(states.lastAnnounce("x", next) == nil)
	short := wire.ConfirmReply{VoterIndex: 5, Short: true}
	is.True(states.expand("x", next, &short))
	is.Equal(short.Replica, "rx")
}
