package control

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// An agent must not lack the voters of a short confirmation: on a new session,
// after a change of voters, after a reply that was not sent, or because it does
// not support short replies.
func TestConfirmationsIncludeVotersWhenNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, nil)
		replies := make(chan wire.ConfirmReply, 10)
		connect := func() *transport.Session {
			s, err := (&transport.Dialer{
				Address: c.session["c1"], Token: c.token.Secret(), Network: c.net.Host("agent"),
				Handler: func(_ context.Context, _ *transport.Session, env wire.Envelope) {
					var r wire.ConfirmReply
					is.NoErr(env.Into(&r))
					replies <- r
				},
			}).Connect(t.Context())
			is.NoErr(err)
			return s
		}
		ask := func(s *transport.Session, short bool) wire.ConfirmReply {
			is.NoErr(s.Send(wire.ConfirmRequest{Mark: 1, Short: short}))
			return <-replies
		}
		isFull := func(r wire.ConfirmReply) bool { return !r.Short && r.Replica != "" && len(r.Voters) > 0 }
		s := connect()
		is.True(isFull(ask(s, true)))
		r := ask(s, true)
		is.True(r.Short && r.Replica == "" && r.Voters == nil && r.Addresses == nil)
		is.True(isFull(ask(s, false)))

		again := connect()
		is.True(isFull(ask(again, true)))
		again.Close()

		before := c.daemons["c1"].replica.View().Raft.CommittedMembership
		c.others("c1")[0].kill() // removed from the voters after voter_loss
		c.eventually("fewer voters", func() bool {
			now := c.daemons["c1"].replica.View().Raft.CommittedMembership
			return now.Index != before.Index && !slices.Equal(now.Voters, before.Voters)
		})
		time.Sleep(time.Second)
		is.True(isFull(ask(s, true)))
		is.True(ask(s, true).Short)
		s.Close()
		<-s.Done()

		// A closed session takes the place of one whose queue is full.
		d := c.daemons["c1"]
		d.sendConfirmReply(s, wire.ConfirmRequest{Short: true})
		is.True(d.sentConfirmTo(s) == nil)
	})
}
