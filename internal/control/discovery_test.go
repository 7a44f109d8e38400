package control

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// seededCluster is a cluster whose replicas find each other from seeds. The name of a
// replica is its IP address.
type seededCluster struct {
	*cluster
	seeds map[string][]string // by replica
	joins map[string]bool     // whether a replica only joins
}

func newSeededCluster(t *testing.T) *seededCluster {
	c := &seededCluster{cluster: newCluster(t), seeds: map[string][]string{}, joins: map[string]bool{}}
	c.change = func(name string, s *Settings, _ *Options) {
		s.Voters, s.Seeds, s.JoinOnly = nil, seedAddresses(c.seeds[name]), c.joins[name]
		s.TargetVoters = 5
		s.VoterLoss = settings.Duration(4 * time.Second)
	}
	return c
}

// seedAddresses returns the addresses of replicas in the form of the settings, whose port
// is not that of the sessions.
func seedAddresses(names []string) []string {
	list := make([]string, len(names))
	for i, name := range names {
		list[i] = net.JoinHostPort(name, "8000")
	}
	return list
}

// join starts an empty replica that joins through the given seeds.
func (c *seededCluster) join(name string, seeds ...string) {
	c.joins[name] = true
	c.add(name, seeds...)
}

// add starts an empty replica with the given seeds.
func (c *seededCluster) add(name string, seeds ...string) {
	c.names = append(c.names, name)
	c.session[name] = net.JoinHostPort(name, "1")
	c.seeds[name] = seeds
	c.start(name)
}

// startFive starts a new cluster of five voters.
func (c *seededCluster) startFive() { c.startVoters(5) }

// startVoters starts a new cluster, whose seeds are up to three of its voters.
func (c *seededCluster) startVoters(n int) {
	for i := range n {
		c.add(fmt.Sprintf("10.0.0.%d", i+1), "10.0.0.1", "10.0.0.3", fmt.Sprintf("10.0.0.%d", n))
	}
	c.eventually("all are voters", func() bool { return c.votersAre(c.running()) })
}

func (c *seededCluster) running() []string {
	var names []string
	for name := range c.daemons {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// followers returns the names of the running replicas except the leader.
func (c *seededCluster) followers() []string {
	leader := c.leader().name
	return slices.DeleteFunc(c.running(), func(name string) bool { return name == leader })
}

// votersAre reports whether the leader's voters are the named replicas.
func (c *seededCluster) votersAre(names []string) bool {
	l := c.leader()
	if l == nil || l.Status().MembershipPending {
		return false
	}
	var voters []string
	for _, id := range l.Status().Voters {
		voters = append(voters, replicaName(id))
	}
	slices.Sort(voters)
	return slices.Equal(voters, names)
}

func (c *seededCluster) remove(name string) {
	c.daemons[name].kill()
	delete(c.daemons, name)
}

// Guards against successors that never become members because the leader is not among
// their seeds: each replacement then costs a member, until accepted notes can be neither
// read nor changed.
func TestSuccessorsJoinWithoutLeaderAmongSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSeededCluster(t)
		c.startFive()
		is.Equal(c.submit(1).Status, "accepted")
		for round := range 6 {
			others := c.followers()
			c.remove(others[0])
			time.Sleep(time.Second)
			// The seeds are the newest replicas, some of which may still be joining.
			c.join(fmt.Sprintf("10.0.1.%d", round+1), others[1:]...)
			time.Sleep(10 * time.Second)
			is.True(c.votersAre(c.running())) // the successor has replaced the lost voter
			is.Equal(c.submit(round+2).Status, "accepted")
		}
		c.waitForRevision(7)
	})
}

// Guards against a joining replica that waits for ever because its seeds are themselves
// joining, start at the same time, or stopped and were exchanged in its settings.
func TestReplicaJoinsThroughSeedsThatAreNoMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSeededCluster(t)
		c.startFive()
		is.Equal(c.submit(1).Status, "accepted")
		others := c.followers()
		c.remove(others[0])
		c.join("10.0.1.3", "10.0.1.2") // its only seed starts later
		c.join("10.0.1.2", "10.0.1.1")
		c.join("10.0.1.1", others[1])
		c.join("10.0.1.4", others[0]) // its only seed is gone
		isMember := func(name string) bool {
			s := c.leader().Status()
			return slices.ContainsFunc(slices.Concat(s.Voters, s.Learners), func(id string) bool { return replicaName(id) == name })
		}
		time.Sleep(10 * time.Second)
		for i := 1; i <= 3; i++ {
			is.True(isMember(fmt.Sprintf("10.0.1.%d", i)))
		}
		is.True(!isMember("10.0.1.4"))
		s := DefaultSettings()
		s.SessionListen, s.Seeds = c.session["10.0.1.4"], seedAddresses([]string{"10.0.1.3"})
		c.daemons["10.0.1.4"].Reload(&s)
		time.Sleep(5 * time.Second)
		is.True(isMember("10.0.1.4"))
	})
}

// Guards against members that miss each other after a restart of all, because each dials
// only its seeds and these no longer exist.
func TestMembersFindEachOtherWithoutSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSeededCluster(t)
		c.startFive()
		is.Equal(c.submit(1).Status, "accepted")
		names := c.running()
		for _, name := range names {
			c.daemons[name].kill()
		}
		for _, name := range names {
			c.seeds[name], c.joins[name] = []string{"10.0.9.9"}, true
			c.start(name)
		}
		time.Sleep(5 * time.Second)
		is.True(c.leader() != nil)
		is.Equal(c.submit(2).Status, "accepted")
	})
}

// Guards against a cluster that is full of replicas that are gone for good: learners that
// left must give way to new replicas.
func TestLostLearnersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSeededCluster(t)
		c.startFive()
		for round := range 6 {
			name := fmt.Sprintf("10.0.1.%d", round+1)
			c.join(name, "10.0.0.2")
			time.Sleep(5 * time.Second)
			is.Equal(len(c.leader().Status().Learners), 1)
			c.remove(name)
			time.Sleep(10 * time.Second)
			is.Equal(len(c.leader().Status().Learners), 0)
		}
	})
}

// Draws replacements, restarts and cuts in any order, with seeds drawn from all running
// replicas, and checks that every replica in touch becomes a member, and that accepted notes
// are kept as long as at most one disk is lost at a time. It guards against orders of events
// in which replicas miss each other.
func TestReplacementsInAnyOrder(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { replaceInAnyOrder(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func replaceInAnyOrder(t *testing.T, rng *rand.Rand) {
	is := is.New(t)
	c := newSeededCluster(t)
	c.startVoters(3 + 2*rng.IntN(2))
	note := 1
	is.Equal(c.submit(note).Status, "accepted")
	var events []string
	defer func() {
		if t.Failed() {
			t.Log(strings.Join(events, "; "))
		}
	}()
	for round := range 12 {
		running := c.running()
		rng.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
		switch kind := rng.IntN(4); kind {
		case 0, 1: // one is replaced at another address
			c.remove(running[0])
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			name := fmt.Sprintf("10.0.1.%d", round+1)
			c.join(name, running[1:2+rng.IntN(3)]...)
			events = append(events, fmt.Sprintf("%s replaces %s through %v", name, running[0], c.seeds[name]))
		case 2: // all restart; the seeds of each are one replica
			for _, name := range running {
				c.daemons[name].kill()
			}
			for _, name := range running {
				c.seeds[name], c.joins[name] = []string{running[0]}, true
				c.start(name)
			}
			events = append(events, "all restart")
		case 3: // one is cut off for a while
			c.net.SetIsolated(running[0], running[1:], true)
			time.Sleep(time.Duration(rng.IntN(8000)) * time.Millisecond)
			c.net.SetIsolated(running[0], running[1:], false)
			events = append(events, "cut of "+running[0])
		}
		time.Sleep(12 * time.Second)
		if !c.votersAre(c.running()) {
			t.Fatalf("the voters are not the running replicas %v", c.running())
		}
		note++
		is.Equal(c.submit(note).Status, "accepted")
	}
	c.waitForRevision(uint64(note))
}
