package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against an entry that takes itself for the only one while the replicas that listed the
// others are replaced: it drops their addresses and grants slots that they use.
func TestOtherEntriesAreKeptWhileReplicasAreReplaced(t *testing.T) {
	for _, lost := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startFiveReplicas(t)
				const entries = 4
				for _, name := range c.names {
					c.net.SetDelay("entry-0", name, 3*time.Millisecond)
				}
				var clients []*fleetclient.Client
				for i := range entries {
					client, stop := c.startFollower(fmt.Sprint("entry-", i), wire.RoleEntry, "v1", "v2", "v3", "v4", "v5")
					defer stop()
					clients = append(clients, client)
				}
				c.eventually("all entries are listed", func() bool { return len(clients[0].Processes()) == entries })
				time.Sleep(5 * time.Second)
				var followed []*instance
				for _, name := range c.names {
					if d := c.daemons[name]; d.fleet.asks("entry-0") {
						followed = append([]*instance{d}, followed...) // those asked for processes first
					} else if d.fleet.follows("entry-0") {
						followed = append(followed, d)
					}
				}
				for _, d := range followed[:lost] {
					d.kill()
				}
				fewest := entries
				var short time.Duration
				for range 3000 {
					time.Sleep(time.Millisecond)
					n := len(clients[0].Processes())
					fewest = min(fewest, n)
					if n < entries {
						short += time.Millisecond
					}
				}
				t.Logf("fewest entries listed: %d; too few for %v", fewest, short)
				is.Equal(fewest, entries)
			})
		})
	}
}

// follows reports whether a process has a session to this replica.
func (f *fleet) follows(name string) bool {
	_, ok := f.followerOf(name)
	return ok
}

// asks reports whether a process asks this replica for the others of its role.
func (f *fleet) asks(name string) bool {
	p, ok := f.followerOf(name)
	return ok && p.Peers
}

func (f *fleet) followerOf(name string) (wire.Process, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, follower := range f.followers {
		if follower.process.Name == name {
			return follower.process, true
		}
	}
	return wire.Process{}, false
}
