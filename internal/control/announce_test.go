package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/controlclient"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// An endpoint must not expire because its keep-alives are not recognised as
// repeated announcements: after its start, a change, or the restart of a
// replica. A keep-alive must not hide a change or restart of the endpoint.
func TestRepeatedAnnouncementsUseKeepAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, nil)
		client, stop := c.client(controlclient.Config{})
		defer stop()
		a := wire.Announce{
			Endpoint: "e1", Incarnation: 1, Kind: wire.KindEngine, Capacity: 8,
			Sets: []wire.LoadedSet{{Model: "m", Version: "1", SetID: "s"}},
		}
		announceFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
				client.RequestConfirmation(a.Sequence)
				a.Sequence++
				client.Announce(a)
			}
		}
		held := func() {
			t.Helper()
			for name, d := range c.daemons {
				live := d.hub.LiveEndpoints()
				is.Equal(len(live), 1)
				if live[0].Sequence != a.Sequence || live[0].InFlight != a.InFlight || live[0].Ready != a.Ready ||
					live[0].Incarnation != a.Incarnation || live[0].Sets[0] != a.Sets[0] {
					t.Errorf("%s: %+v, want %+v", name, live[0], a)
				}
			}
		}
		announceFor(5 * time.Second)
		held()
		a.InFlight = 3
		announceFor(5 * time.Second)
		held()
		a.Ready = true
		announceFor(time.Second)
		held()
		a.Sets[0].SetID = "t" // changed in place, in the caller's slice
		announceFor(5 * time.Second)
		held()
		a.Incarnation, a.Sequence = 2, 0
		announceFor(time.Second)
		held()
		c.daemons["c1"].kill()
		c.start("c1")
		announceFor(5 * time.Second)
		held()
		short := 0
		for _, d := range c.daemons {
			d.lastAnnounces.Range(func(_, last any) bool {
				if last.(*wire.Announce).Sequence != a.Sequence {
					short++
				}
				return true
			})
		}
		is.Equal(short, len(c.names))
	})
}

// A keep-alive must not be applied to an announcement other than its base, and
// must not be ignored forever.
func TestKeepAliveWithoutBaseClosesSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, nil)
		for _, sent := range [][]wire.Message{
			{wire.KeepAlive{Base: 1, Sequence: 2}},
			{wire.Announce{Endpoint: "e", Incarnation: 1, Sequence: 5}, wire.KeepAlive{Base: 4, Sequence: 6}},
		} {
			s, err := (&transport.Dialer{
				Address: c.session["c1"], Token: c.token.Secret(), Network: c.net.Host("agent"),
				Handler: func(context.Context, *transport.Session, wire.Envelope) {},
			}).Connect(t.Context())
			is.NoErr(err)
			for _, m := range sent {
				is.NoErr(s.Send(m))
			}
			select {
			case <-s.Done():
			case <-time.After(time.Second):
				t.Error("the session is still open")
				s.Close()
			}
			for _, a := range c.daemons["c1"].hub.LiveEndpoints() {
				is.Equal(a.Sequence, uint64(5))
			}
		}
	})
}
