package control

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/raft"
)

// zoneOfID returns the zone of a replica in these tests: the first letter of its ID.
func zoneOfID(id string) string {
	if strings.HasPrefix(id, "?") {
		return ""
	}
	return id[:1]
}

// zoneWorld is a membership with the replicas that are present, as the leader sees it.
type zoneWorld struct {
	voters, learners []string
	silent           []string // members that sent nothing for a long time
	present          []string
	leader           string
}

func (w zoneWorld) status() raft.Status {
	s := raft.Status{Role: raft.Leader, LastIndex: 100, Progress: map[string]raft.PeerStatus{}}
	s.Membership = raft.Membership{Voters: w.voters, Learners: w.learners}
	for _, id := range slices.Concat(w.voters, w.learners) {
		if id == w.leader {
			continue
		}
		peer := raft.PeerStatus{Match: 100}
		if slices.Contains(w.silent, id) {
			peer.TicksSinceMessage = 200
		}
		s.Progress[id] = peer
	}
	return s
}

func (w zoneWorld) policy(target, zoneLosses int) repairPolicy {
	return repairPolicy{self: w.leader, voterLossTicks: 100, targetVoters: target, maxReplicas: defaultMaxReplicas, zoneLosses: zoneLosses, zone: zoneOfID}
}

func (w zoneWorld) next(target, zoneLosses int) (raft.ConfChange, bool) {
	present := map[string]hello{}
	for _, id := range w.present {
		if id != w.leader {
			present[replicaName(id)] = hello{ID: id, Name: replicaName(id), Address: "x", Zone: zoneOfID(id)}
		}
	}
	return w.policy(target, zoneLosses).nextChange(w.status(), present)
}

// apply makes a change.
func (w *zoneWorld) apply(c raft.ConfChange) {
	without := func(list []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(id string) bool { return id == c.ID })
	}
	w.voters, w.learners = without(w.voters), without(w.learners)
	switch c.Kind {
	case raft.AddLearner:
		w.learners = append(w.learners, c.ID)
	case raft.PromoteLearner:
		w.voters = append(w.voters, c.ID)
	}
}

// perZone returns the number of voters in the zone with the most of them.
func perZone(voters []string) int {
	counts, most := map[string]int{}, 0
	for _, id := range voters {
		counts[zoneOfID(id)]++
		most = max(most, counts[zoneOfID(id)])
	}
	return most
}

// Guards against voters whose loss with one zone would leave no majority, and against changes
// where zones do not matter.
func TestRepairPolicySpreadsVoters(t *testing.T) {
	list := func(ids string) []string { return strings.Fields(ids) }
	for name, c := range map[string]struct {
		world  zoneWorld
		target int
		losses int
		want   string
	}{
		"grows in the emptiest zone":         {zoneWorld{voters: list("a1.1 b1.1 b2.1"), learners: list("b3.1 a2.1 c1.1")}, 5, 1, "promote c1.1"},
		"regardless of zones":                {zoneWorld{voters: list("a1.1 b1.1 b2.1"), learners: list("b3.1 a2.1 c1.1")}, 5, 0, "promote b3.1"},
		"waits for a replica of another":     {zoneWorld{voters: list("a1.1 b1.1 b2.1"), learners: list("b3.1"), present: list("b1.1 b2.1 b3.1 c1.1")}, 5, 1, "add-learner c1.1"},
		"no other zone is present":           {zoneWorld{voters: list("a1.1 b1.1 b2.1"), learners: list("b3.1"), present: list("b1.1 b2.1 b3.1")}, 5, 1, "promote b3.1"},
		"crowded zone":                       {zoneWorld{voters: list("a1.1 b1.1 b2.1 b3.1 c1.1"), learners: list("b4.1 a2.1")}, 5, 1, "promote a2.1"},
		"crowded zone, regardless":           {zoneWorld{voters: list("a1.1 b1.1 b2.1 b3.1 c1.1"), learners: list("b4.1 a2.1")}, 5, 0, "none"},
		"crowded zone after the promotion":   {zoneWorld{voters: list("a1.1 b1.1 b2.1 b3.1 c1.1 a2.1"), learners: list("b4.1")}, 5, 1, "remove b1.1"},
		"crowded zone of the leader":         {zoneWorld{voters: list("b1.1 a1.1 b2.1 b3.1 c1.1 a2.1"), leader: "b1.1"}, 5, 1, "remove b2.1"},
		"crowded zone, nothing elsewhere":    {zoneWorld{voters: list("a1.1 b1.1 b2.1 b3.1 a2.1"), learners: list("b4.1 a3.1")}, 5, 1, "none"},
		"crowded zone, below the target":     {zoneWorld{voters: list("a1.1 b1.1 b2.1 b3.1"), learners: list("c1.1")}, 5, 1, "promote c1.1"},
		"crowded zone and a lost voter":      {zoneWorld{voters: list("a1.1 b1.1 b2.1 b3.1 c1.1"), learners: list("a2.1 c2.1"), silent: list("c1.1")}, 5, 1, "promote c2.1"},
		"lost voter, crowded zone only":      {zoneWorld{voters: list("a1.1 a2.1 b1.1 b2.1 c1.1"), learners: list("b3.1"), silent: list("c1.1"), present: list("b3.1 c2.1")}, 5, 1, "promote b3.1"},
		"lost voter is not counted":          {zoneWorld{voters: list("a1.1 b1.1 b2.1 c1.1 c2.1"), learners: list("a2.1 b3.1"), silent: list("b1.1")}, 5, 1, "promote a2.1"},
		"zone with two voters lost":          {zoneWorld{voters: list("a1.1 a2.1 b1.1 b2.1 c1.1"), learners: list("a3.1 c2.1"), silent: list("b1.1 b2.1")}, 5, 1, "remove b1.1"},
		"zone with two voters lost, next":    {zoneWorld{voters: list("a1.1 a2.1 b2.1 c1.1"), learners: list("a3.1 c2.1"), silent: list("b2.1")}, 5, 1, "promote c2.1"},
		"well spread":                        {zoneWorld{voters: list("a1.1 a2.1 b1.1 b2.1 c1.1"), learners: list("a3.1 b3.1 c2.1")}, 5, 1, "none"},
		"three in three zones":               {zoneWorld{voters: list("a1.1 a2.1 b1.1"), learners: list("b2.1 c1.1")}, 3, 1, "promote c1.1"},
		"three in three zones, then":         {zoneWorld{voters: list("a1.1 a2.1 b1.1 c1.1"), learners: list("b2.1")}, 3, 1, "remove a2.1"},
		"two zones may be lost":              {zoneWorld{voters: list("a1.1 a2.1 b1.1 c1.1 d1.1"), learners: list("e1.1")}, 5, 2, "promote e1.1"},
		"unknown zone is promoted last":      {zoneWorld{voters: list("a1.1 b1.1 c1.1"), learners: list("?x.1 a2.1")}, 5, 1, "promote a2.1"},
		"unknown zone is not removed":        {zoneWorld{voters: list("a1.1 ?x.1 ?y.1 ?z.1 b1.1 b2.1")}, 5, 1, "none"},
		"joins from the emptiest zone first": {zoneWorld{voters: list("a1.1 b1.1 c1.1"), learners: list("a2.1"), present: list("a3.1 b2.1"), silent: list("a2.1")}, 3, 1, "remove a2.1"},
		"joins from the emptiest zone":       {zoneWorld{voters: list("a1.1 b1.1 c1.1 a2.1 b2.1"), present: list("a3.1 b3.1 c2.1")}, 5, 1, "add-learner c2.1"},
		"joins regardless":                   {zoneWorld{voters: list("a1.1 b1.1 c1.1 a2.1 b2.1"), present: list("a3.1 b3.1 c2.1")}, 5, 0, "add-learner a3.1"},
	} {
		if c.world.leader == "" {
			c.world.leader = "a1.1"
		}
		got := "none"
		if change, ok := c.world.next(c.target, c.losses); ok {
			got = fmt.Sprintf("%v %s", change.Kind, change.ID)
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Guards against membership changes that never end, that leave the voters badly spread although
// replicas of other zones are present, or that take a vote away before another one is in place.
func TestVotersEndUpSpread(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var all []string
		replicas := map[string]int{}
		for _, zone := range []string{"a", "b", "c"} {
			replicas[zone] = rapid.IntRange(0, 3).Draw(rt, zone)
			for i := range replicas[zone] {
				all = append(all, fmt.Sprintf("%s%d.1", zone, i+1))
			}
		}
		if len(all) < minVoters {
			return
		}
		initial := rapid.Permutation(all).Draw(rt, "order")[:rapid.IntRange(minVoters, min(5, len(all))).Draw(rt, "initial")]
		w := zoneWorld{voters: initial, present: all, leader: initial[0]}
		const target = 5
		best := 0 // voters that fit into the zones with two in each
		for _, n := range replicas {
			best += min(2, n)
		}
		changes := 0
		for ; ; changes++ {
			c, ok := w.next(target, 1)
			if !ok {
				break
			}
			before := len(w.voters)
			if c.Kind == raft.RemoveReplica && slices.Contains(w.voters, c.ID) && before <= target {
				rt.Fatalf("removes %s of %d voters, none of which is lost", c.ID, before)
			}
			if c.ID == w.leader {
				rt.Fatal("changes the leader")
			}
			w.apply(c)
			if changes > 60 {
				rt.Fatalf("no end: voters %v, learners %v", w.voters, w.learners)
			}
		}
		if len(w.voters) != min(target, len(all)) {
			rt.Fatalf("%d voters of %d replicas", len(w.voters), len(all))
		}
		if best >= target && perZone(w.voters) > 2 {
			rt.Fatalf("voters %v, although 2 in each zone were possible", w.voters)
		}
	})
}

// Guards against losing what was accepted when a whole zone is lost with its disks: three voters
// in three zones grow to five, spread as 2, 2 and 1, and any zone may be lost.
func TestLossOfZoneWithItsDisks(t *testing.T) {
	for _, lost := range []string{"a", "b", "c"} {
		for _, comeBack := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, comes back %v", lost, comeBack), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { loseZone(t, lost, comeBack) })
			})
		}
	}
}

// newZones returns a cluster whose replicas are named by zone and number. The first replicas of
// the zones are the initial voters.
func newZones(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := newCluster(t, names...)
	initial, zones := map[string]string{}, map[string]string{}
	for _, name := range names {
		zones[name[:1]] = "r"
		if name[1:] == "1" {
			initial[name] = c.session[name]
		}
	}
	c.change = func(name string, s *Settings, _ *Options) {
		s.Zone, s.Voters, s.TargetVoters, s.ZoneLosses, s.Zones = name[:1], initial, 5, 1, zones
	}
	return c
}

// Guards against an entry that learns of an evacuation too late because all replicas that it
// follows, those of its own zone, are cut off from the others when the order is given.
func TestEntryOfZoneThatIsCutOffLearnsOfEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newZones(t, "z1", "z2", "z3", "b1", "b2", "c1", "c2") // startFollower uses zone z
		c.startAll()
		c.eventually("five voters", func() bool { return c.leader() != nil && len(c.leader().Status().Voters) == 5 })
		c.eventually("spread", func() bool { return perZone(c.leader().Status().Voters) == 2 })
		client, stop := c.startFollower("entry", wire.RoleEntry, c.names...)
		defer stop()
		c.eventually("leader outside the zone of the entry", func() bool {
			l := c.leader()
			if l != nil && l.name[:1] == "z" {
				l.replica.enqueueOp(func() { l.replica.node.TransferLeadership() })
				time.Sleep(time.Second)
				return false
			}
			return l != nil
		})
		time.Sleep(10 * time.Second)
		var rest []string
		for _, name := range c.names {
			if name[:1] != "z" {
				rest = append(rest, name)
			}
			is.Equal(c.daemons[name].fleet.follows("entry"), name[:1] == "z")
		}
		for _, name := range c.names[:3] {
			c.net.SetIsolated(name, rest, true)
		}
		// The leader is elsewhere, so the order is acknowledged before the entry notices anything.
		is.NoErr(c.leader().Evacuate(t.Context(), "b", true))
		acknowledged := time.Now()
		c.eventually("entry knows", func() bool { return slices.Equal(client.Evacuated(), []string{"b"}) })
		t.Logf("learned %v after the acknowledgement", time.Since(acknowledged))
		is.True(time.Since(acknowledged) < 5*time.Second) // evacuate_ms
	})
}

func loseZone(t *testing.T, lost string, comeBack bool) {
	is := is.New(t)
	c := newZones(t, "a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3")
	names := c.names
	c.startAll()
	spread := func(voters int, most int) func() bool {
		return func() bool {
			l := c.leader()
			if l == nil {
				return false
			}
			s := l.Status()
			alive := 0
			for _, id := range s.Voters {
				if d := c.daemons[replicaName(id)]; d != nil && d.Status().ID == id {
					alive++
				}
			}
			return !s.MembershipPending && len(s.Voters) == voters && alive == voters && perZone(s.Voters) <= most
		}
	}
	c.eventually("five voters, at most two in a zone", spread(5, 2))
	is.Equal(c.submit(1).Status, "accepted")
	c.order("a", true)
	revision := c.leader().replica.View().Evacuations.Revision
	for _, name := range names {
		if name[:1] == lost {
			c.daemons[name].kill()
			delete(c.daemons, name)
			is.NoErr(os.RemoveAll(filepath.Join(c.dir, name)))
		}
	}
	c.eventually("a leader in the other zones", func() bool {
		l := c.leader()
		return l != nil && l.confirmedLeader(t)
	})
	is.Equal(c.leader().replica.View().Evacuations.Evacuated(), []string{"a"})
	is.Equal(c.leader().replica.View().Evacuations.Revision, revision)
	is.Equal(c.submit(1).Status, "accepted") // the same note
	is.Equal(c.submit(2).Status, "accepted")
	c.order("a", false)
	c.eventually("five voters in two zones", spread(5, 3))
	if !comeBack {
		return
	}
	for _, name := range names {
		if name[:1] == lost {
			c.start(name)
		}
	}
	c.eventually("spread over three zones again", spread(5, 2))
	is.Equal(c.submit(3).Status, "accepted")
	c.waitForRevision(3)
}

// confirmedLeader reports whether a quorum confirms this replica.
func (i *instance) confirmedLeader(t *testing.T) bool {
	_, err := i.currentRouting(t.Context())
	return i.replica.View().Raft.Leader != "" && (err == nil || strings.Contains(err.Error(), "no routing document"))
}

// Guards against voters that stay where the first replicas happened to be: all initial voters in
// one zone.
func TestBadlySpreadVotersAreRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "a1", "a2", "a3", "b1", "c1", "c2")
		initial := map[string]string{"a1": c.session["a1"], "a2": c.session["a2"], "a3": c.session["a3"]}
		c.change = func(name string, s *Settings, _ *Options) {
			s.Zone, s.Voters, s.TargetVoters, s.ZoneLosses = name[:1], initial, 5, 1
		}
		for _, name := range []string{"a1", "a2", "a3"} {
			c.start(name)
		}
		c.eventually("leader", func() bool { return c.leader() != nil })
		is.Equal(c.submit(1).Status, "accepted")
		for _, name := range []string{"b1", "c1", "c2"} {
			c.start(name)
		}
		c.eventually("spread", func() bool {
			l := c.leader()
			return l != nil && len(l.Status().Voters) == 5 && perZone(l.Status().Voters) == 2
		})
		time.Sleep(20 * time.Second)
		is.Equal(len(c.leader().Status().Voters), 5)
		is.Equal(perZone(c.leader().Status().Voters), 2)
		is.Equal(c.submit(2).Status, "accepted")
		c.waitForRevision(2)
	})
}

// Guards against a replica of nine that is no member: it knows no leader, so an order that is sent
// to it is refused after 0.9 s, too late to be confirmed elsewhere within 1 s.
func TestOrdersAreConfirmedByEachOfNineReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newZones(t, "a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3")
		c.startAll()
		time.Sleep(20 * time.Second)
		for i, name := range c.names {
			ordered := time.Now()
			is.NoErr(c.daemons[name].Evacuate(t.Context(), "a", i%2 == 0))
			is.True(time.Since(ordered) < 500*time.Millisecond)
			time.Sleep(time.Second) // replicas learn of the commit
		}
	})
}
