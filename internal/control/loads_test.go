package control

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/controlclient"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// maxLoadDelay is how long a follower may be without the load of an endpoint.
const maxLoadDelay = 2 * time.Second

// loadFollower is an entry that follows loads, with what it has received.
type loadFollower struct {
	client *controlclient.Client
	stop   func()

	mu       sync.Mutex
	loads    map[string]wire.Load
	source   string // replica that sent the last load
	members  int    // announcements received in member updates
	received int    // loads received
}

func (c *cluster) loadFollower(host string) *loadFollower {
	f := &loadFollower{loads: map[string]wire.Load{}}
	f.client, f.stop = c.clientOn(host, controlclient.Config{
		Members:   true,
		OnMembers: f.onMembers,
		OnLoads:   f.onLoads,
	})
	return f
}

func (f *loadFollower) onMembers(_ string, m wire.Members) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members += len(m.Updated)
}

func (f *loadFollower) onLoads(replica string, m wire.Loads) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range m.Changed {
		f.loads[l.Endpoint] = l
		f.source = replica
		f.received++
	}
}

func (f *loadFollower) load(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads[endpoint].InFlight
}

func (f *loadFollower) counts() (loads, members int, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received, f.members, f.source
}

// loadAnnouncer is an agent that announces itself every second.
type loadAnnouncer struct {
	client *controlclient.Client
	mu     sync.Mutex
	next   wire.Announce
	done   chan struct{}
	wg     sync.WaitGroup
	stop   func()
}

func (c *cluster) loadAnnouncer(endpoint string) *loadAnnouncer {
	a := &loadAnnouncer{done: make(chan struct{})}
	a.next = wire.Announce{Endpoint: endpoint, Incarnation: 2, Kind: wire.KindEngine, Capacity: 8, Ready: true}
	var stop func()
	a.client, stop = c.clientOn(endpoint, controlclient.Config{})
	a.wg.Go(func() {
		for {
			a.announce(func(*wire.Announce) {})
			select {
			case <-a.done:
				return
			case <-time.After(time.Second):
			}
		}
	})
	a.stop = func() { close(a.done); a.wg.Wait(); stop() }
	return a
}

func (a *loadAnnouncer) announce(change func(*wire.Announce)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next.Sequence++
	change(&a.next)
	a.client.Announce(a.next)
}

// last returns the last announcement sent.
func (a *loadAnnouncer) last() wire.Announce {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.next
}

func (a *loadAnnouncer) setLoad(n int) {
	a.announce(func(next *wire.Announce) { next.InFlight = n })
}

// Load changes must not go to entries that do not use the endpoint, come from
// several replicas, or be sent with the endpoint table. Late, duplicate and
// reordered announcements must not restore an old load.
func TestLoadGoesToFollowersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, nil)
		a, b := c.loadAnnouncer("a"), c.loadAnnouncer("b")
		defer a.stop()
		defer b.stop()
		f := c.loadFollower("entry")
		defer f.stop()
		f.client.FollowLoads([]string{"a"})
		// Halfway between two announcements: a late announcement must not
		// arrive before the one that it repeats.
		time.Sleep(time.Second + membersFlushInterval/2)
		loads, members, _ := f.counts()
		is.Equal(loads, 1) // the current load, at once
		for i := range 10 {
			a.setLoad(8 * (i % 2))
			b.setLoad(8 * (i % 2))
			time.Sleep(2 * membersFlushInterval)
		}
		more, sameMembers, _ := f.counts()
		is.Equal(sameMembers, members)
		is.Equal(more, loads+9) // the first of the ten changed nothing
		is.Equal(f.load("a"), 8)
		is.Equal(f.load("b"), 0)

		other, stop := c.clientOn("other", controlclient.Config{}) // a second session
		defer stop()
		late := a.last()
		late.InFlight = 0
		for _, change := range []func(){
			func() {},                  // duplicate
			func() { late.Sequence-- }, // reordered
			func() { late.Incarnation, late.Sequence = 1, 9999 }, // of a process that has ended
		} {
			change()
			other.Broadcast(late)
			time.Sleep(2 * membersFlushInterval)
			is.Equal(f.load("a"), 8)
		}
		a.setLoad(0) // the load in a late announcement does not count as sent
		time.Sleep(2 * membersFlushInterval)
		is.Equal(f.load("a"), 0)

		// A restart is sent to all entries with its load; loads of the new
		// process follow.
		a.announce(func(next *wire.Announce) { next.Incarnation, next.Sequence, next.InFlight = 3, 1, 0 })
		time.Sleep(2 * membersFlushInterval)
		_, afterRestart, _ := f.counts()
		is.Equal(afterRestart, members+len(c.names))
		a.setLoad(8)
		time.Sleep(2 * membersFlushInterval)
		is.Equal(f.load("a"), 8)
		is.Equal(f.loads["a"].Incarnation, uint64(3))
	})
}

// An entry must receive loads again after the replica that sent them stopped,
// was cut off silently from the entry or from the agents, or after the entry
// restarted.
func TestLoadsFailOver(t *testing.T) {
	for _, fault := range []struct {
		name   string
		inject func(c *cluster, f **loadFollower, replica string)
	}{
		{"replica killed", func(c *cluster, _ **loadFollower, replica string) { c.daemons[replica].kill() }},
		{"replica restarted", func(c *cluster, _ **loadFollower, replica string) {
			c.daemons[replica].kill()
			c.start(replica)
		}},
		{"replica silent towards the entry", func(c *cluster, _ **loadFollower, replica string) { c.net.Cut(replica, "entry") }},
		{"one agent cut off from the replica", func(c *cluster, _ **loadFollower, replica string) { c.net.Cut("a", replica) }},
		{"entry restarted", func(c *cluster, f **loadFollower, _ string) {
			(*f).stop()
			*f = c.loadFollower("entry")
			(*f).client.FollowLoads([]string{"a", "b"})
		}},
	} {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startCluster(t, nil)
				a, b := c.loadAnnouncer("a"), c.loadAnnouncer("b")
				defer a.stop()
				defer b.stop()
				f := c.loadFollower("entry")
				defer func() { f.stop() }()
				f.client.FollowLoads([]string{"a", "b"})
				time.Sleep(time.Second)
				a.setLoad(4)
				time.Sleep(time.Second)
				is.Equal(f.load("a"), 4)
				_, _, source := f.counts()
				fault.inject(c, &f, c.nameOf(source))
				a.setLoad(8)
				b.setLoad(8)
				time.Sleep(maxLoadDelay)
				is.Equal(f.load("a"), 8)
				is.Equal(f.load("b"), 8)
			})
		})
	}
}

// nameOf returns the name of the replica with a session address.
func (c *cluster) nameOf(address string) string {
	for name, session := range c.session {
		if session == address {
			return name
		}
	}
	return ""
}
