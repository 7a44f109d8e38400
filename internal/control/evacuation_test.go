package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/operator"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
)

var testZones = map[string]string{"za": "r1", "zb": "r1", "zc": "r2"}

// startZonedCluster starts four replicas that know the testZones.
func startZonedCluster(t *testing.T, disks map[string]*faultyDisk) *cluster {
	t.Helper()
	c := newCluster(t, fourNames...)
	c.change = func(name string, s *Settings, o *Options) {
		s.Zones, s.SnapshotEvery = testZones, 3
		if disks != nil {
			if disks[name] == nil {
				disks[name] = &faultyDisk{}
			}
			o.Storage.FileOps = disks[name]
		}
	}
	c.startAll()
	c.eventually("leader", func() bool { return c.leader() != nil })
	return c
}

// order sends an order to one replica after the other until it is acknowledged, as operators
// do.
func (c *cluster) order(zone string, evacuate bool) {
	c.t.Helper()
	started, next := time.Now(), 0
	for {
		for _, name := range c.names {
			d := c.daemons[name]
			if d == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := d.Evacuate(ctx, zone, evacuate)
			cancel()
			if err == nil {
				return
			}
			if errors.Is(err, ErrUnknownZone) {
				c.t.Fatal(err)
			}
			next++
		}
		if time.Since(started) > 5*time.Second { // ack_ms
			c.t.Fatalf("no acknowledgement after %d tries", next)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *cluster) evacuatedAre(zones ...string) bool {
	for _, d := range c.daemons {
		if !slices.Equal(d.replica.View().Evacuations.Evacuated(), zones) {
			return false
		}
	}
	return true
}

// Guards against an order that is lost, applied twice or refused after the leader crashed at
// any step between receiving and acknowledging it.
func TestEvacuationSurvivesLeaderCrash(t *testing.T) {
	for _, step := range []string{"received", "proposed", "synced", "committed", "acknowledged"} {
		for _, via := range []string{"leader", "follower"} {
			t.Run(step+" "+via, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					disks := map[string]*faultyDisk{}
					c := startZonedCluster(t, disks)
					l := c.leader()
					crash := func() { c.net.Stop(l.name); l.abort() }
					switch step {
					case "received":
						crash()
					case "proposed":
						disks[l.name].onSync.Store(&crash)
					case "synced":
						disks[l.name].onSynced.Store(&crash)
					case "committed":
						applied := l.replica.cfg.OnApply
						l.replica.cfg.OnApply = func(k ledger.Command, r ledger.Result) { crash(); applied(k, r) }
					}
					to := l
					if via == "follower" {
						to = c.others(l.name)[0]
					}
					first := to.Evacuate(t.Context(), "za", true)
					is.True(!errors.Is(first, ErrUnknownZone)) // no clear refusal
					l.kill()
					delete(c.daemons, l.name)
					c.order("za", true)
					c.eventually("in force everywhere", func() bool { return c.leader() != nil && c.evacuatedAre("za") })
					is.Equal(c.leader().replica.View().Evacuations.Revision, uint64(1)) // applied once
					disks[l.name] = nil
					c.start(l.name)
					c.order("za", false)
					c.order("za", false)
					c.eventually("finished everywhere", func() bool { return c.evacuatedAre() })
				})
			})
		}
	}
}

// Guards against losing acknowledged orders when all replicas restart, from the log and from
// snapshots, and against entries that do not learn of them.
func TestEvacuationSurvivesRestartOfAllReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startZonedCluster(t, nil)
		client, stop := c.startFollower("entry", wire.RoleEntry, fourNames...)
		defer func() { stop() }()
		c.eventually("the empty set is known", client.EvacuationsKnown)
		learns := func(zones ...string) {
			t.Helper()
			c.eventually(fmt.Sprint("entry knows ", zones), func() bool { return slices.Equal(client.Evacuated(), zones) })
		}
		c.order("zb", true)
		learns("zb")
		for range 6 { // more than the entries between two snapshots
			c.order("zc", true)
			acknowledged := time.Now()
			learns("zb", "zc")
			is.True(time.Since(acknowledged) < 100*time.Millisecond) // at once, not with other changes
			c.order("zc", false)
			learns("zb")
		}
		c.order("za", true)
		learns("za", "zb")
		revision := c.leader().replica.View().Evacuations.Revision
		for _, name := range c.names {
			c.daemons[name].kill()
		}
		is.Equal(client.Evacuated(), []string{"za", "zb"})
		stop() // the entry restarts as well
		client, stop = c.startFollower("entry", wire.RoleEntry, fourNames...)
		is.True(!client.EvacuationsKnown())
		c.startAll()
		learns("za", "zb")
		c.eventually("all replicas", func() bool { return c.leader() != nil && c.evacuatedAre("za", "zb") })
		is.Equal(c.leader().replica.View().Evacuations.Revision, revision)
		is.Equal(len(c.leader().Status().Evacuated), 2)
		c.order("zb", false)
		learns("za")
	})
}

// Guards against accepting an order for a zone that does not exist, and against a zone that can
// no longer be returned to service because it was removed from the settings.
func TestUnknownZoneIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startZonedCluster(t, nil)
		l := c.leader()
		for _, zone := range []string{"", "zd", "r1", "za "} {
			is.True(errors.Is(l.Evacuate(t.Context(), zone, true), ErrUnknownZone))
		}
		is.Equal(l.replica.View().Evacuations.Revision, uint64(0))
		c.order("za", true)
		l.settings.Zones = nil
		is.NoErr(l.Evacuate(t.Context(), "za", false))
		is.True(errors.Is(l.Evacuate(t.Context(), "zb", false), ErrUnknownZone))
	})
}

// Guards against a late order that undoes a newer one: one whose caller has left, one that a
// replica reads after a pause, and one that is proposed after a newer one was committed.
func TestLateOrdersChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startZonedCluster(t, nil)
		l := c.leader()
		f := c.others(l.name)[0]
		c.order("za", true)
		c.order("za", false)
		c.eventually("finished", func() bool { return c.evacuatedAre() })
		late := func(d *instance, ctx context.Context) {
			t.Helper()
			err := d.Evacuate(ctx, "za", true)
			is.True(errors.Is(err, ErrLateOrder))
			is.True(c.evacuatedAre())
		}
		left, leave := context.WithCancel(t.Context())
		leave()
		late(f, left)
		leaving, leave := context.WithCancel(t.Context())
		time.AfterFunc(orderSettleTime/2, leave)
		late(f, leaving)

		f.pauses.mu.Lock()
		f.pauses.last = time.Now().Add(-orderPause) // the process has just resumed
		f.pauses.mu.Unlock()
		late(f, t.Context())
		time.Sleep(pauseCheckInterval)
		late(f, t.Context())
		time.Sleep(orderDistrust)
		is.NoErr(f.Evacuate(t.Context(), "zb", true)) // trusted again
		c.order("zb", false)

		// A proposal that waits for a leader which stands still.
		revision := l.replica.View().Evacuations.Revision
		stale := ledger.Command{Evacuation: &ledger.SetEvacuation{Zone: "za", Evacuated: true, KnownRevision: revision}}
		c.order("za", true)
		c.order("za", false)
		_, err := f.commit(t.Context(), stale)
		is.True(errors.Is(err, ErrNotAccepted))
		c.eventually("still in service", func() bool { return c.evacuatedAre() })
		is.NoErr(f.Evacuate(t.Context(), "za", true)) // a new order is accepted
	})
}

// Guards against refusing an order as late that follows at once on the answer to another one, while
// the replica that has passed both on to the leader has not applied the first.
func TestOrdersThatFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startZonedCluster(t, nil)
		f := c.others(c.leader().name)[0]
		for i := range 10 {
			// The replica applies nothing while its loop is busy.
			resume := make(chan struct{})
			f.replica.enqueueOp(func() { <-resume })
			err := f.Evacuate(t.Context(), "za", i%2 == 0)
			close(resume)
			is.NoErr(err)
		}
		c.eventually("finished", func() bool { return c.evacuatedAre() })
	})
}

// Guards against a pause that is not noticed, or that is noticed for ever.
func TestPauseDetector(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var p pauseDetector
	is.True(!p.Paused(at(0)))
	p.Tick(at(0))
	p.Tick(at(400)) // a busy machine
	is.True(!p.Paused(at(450)))
	is.True(p.Paused(at(900))) // asked before the first Tick after the pause
	p.Tick(at(900))
	is.True(p.Paused(at(1000)))
	for ms := 950; ms <= 1900; ms += 50 {
		p.Tick(at(ms))
	}
	is.True(!p.Paused(at(1900)))
	// The monotonic clock stood still while the machine was suspended: a time without a
	// monotonic reading is compared by the wall clock.
	is.True(p.Paused(at(1900 + 3000).Round(0)))
}

// Guards against an acknowledged order that is not in force after any sequence of orders,
// resends and restarts of replicas.
func TestEvacuationsInDrawnOrder(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				c := startZonedCluster(t, nil)
				client, stop := c.startFollower("entry", wire.RoleEntry, fourNames...)
				defer stop()
				want := map[string]bool{}
				zones := []string{"za", "zb", "zc"}
				for range 25 {
					zone := zones[rng.IntN(len(zones))]
					switch rng.IntN(6) {
					case 0:
						c.order(zone, want[zone]) // resent
					case 1:
						name := c.names[rng.IntN(len(c.names))]
						c.daemons[name].kill()
						delete(c.daemons, name)
						c.order(zone, !want[zone])
						want[zone] = !want[zone]
						c.start(name)
					case 2:
						c.eventually("leader", func() bool { return c.leader() != nil })
						l := c.leader()
						l.replica.enqueueOp(func() { l.replica.node.TransferLeadership() })
						c.order(zone, !want[zone])
						want[zone] = !want[zone]
					default:
						c.order(zone, !want[zone])
						want[zone] = !want[zone]
					}
				}
				var evacuated []string
				for _, zone := range zones {
					if want[zone] {
						evacuated = append(evacuated, zone)
					}
				}
				c.eventually("in force everywhere", func() bool {
					return c.evacuatedAre(evacuated...) && slices.Equal(client.Evacuated(), evacuated)
				})
			})
		})
	}
}

// Guards against answers of the operator API that do not say whether to send an order again.
func TestEvacuationOverOperatorAPI(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startZonedCluster(t, nil)
		h := c.leader().operatorHandler()
		for _, step := range []struct {
			body   string
			status int
			answer string
		}{
			{`{"zone":"za","evacuate":true}`, http.StatusOK, operator.NoteAccepted},
			{`{"zone":"za","evacuate":true}`, http.StatusOK, operator.NoteAccepted},
			{`{"zone":"zx","evacuate":true}`, http.StatusUnprocessableEntity, operator.NoteRefused},
			{`{`, http.StatusBadRequest, operator.NoteInvalid},
		} {
			status, body := call(c, h, http.MethodPost, operator.PathEvacuations, step.body)
			var answer operator.NoteAnswer
			is.NoErr(json.Unmarshal([]byte(body), &answer))
			is.Equal(status, step.status)
			is.Equal(answer.Status, step.answer)
		}
		time.Sleep(3 * time.Second)
		var status operator.Status
		_, body := call(c, h, http.MethodGet, operator.PathStatus, "")
		is.NoErr(json.Unmarshal([]byte(body), &status))
		is.Equal(len(status.Evacuated), 1)
		is.Equal(status.Evacuated[0].Zone, "za")
		is.True(status.Evacuated[0].AgeMs >= 3000)
		l := c.leader()
		for _, d := range c.others(l.name) {
			d.kill()
			delete(c.daemons, d.name)
		}
		code, body := call(c, h, http.MethodPost, operator.PathEvacuations, `{"zone":"za","evacuate":false}`)
		is.True(code == http.StatusGatewayTimeout || code == http.StatusServiceUnavailable)
		is.True(body != "")
	})
}

// Guards against settings with which zones cannot be named or counted.
func TestZoneSettings(t *testing.T) {
	is := is.New(t)
	problems := func(change func(s *Settings)) string {
		s := DefaultSettings()
		change(&s)
		return s.Check().Error() // other settings are required
	}
	for _, c := range []struct {
		change func(s *Settings)
		want   string
		found  bool
	}{
		{func(s *Settings) { s.Zones = map[string]string{"": "r"} }, "zone without a name", true},
		{func(s *Settings) { s.Zones = map[string]string{"a": ""} }, "zones.a", true},
		{func(s *Settings) { s.ZoneLosses = -1 }, "zone_losses", true},
		{func(s *Settings) { s.Zones, s.ZoneLosses = testZones, 1 }, "zones", false},
		{func(s *Settings) { s.Zones, s.ZoneLosses = testZones, 1 }, "zone_losses", false},
	} {
		is.Equal(strings.Contains(problems(c.change), c.want), c.found)
	}
}
