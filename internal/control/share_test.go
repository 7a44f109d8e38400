package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// startFollower starts a process that follows the cluster through the given
// seeds.
func (c *cluster) startFollower(name string, role wire.Role, seeds ...string) (*fleetclient.Client, func()) {
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, c.session[s])
	}
	client := fleetclient.New(fleetclient.Config{
		Token: c.token.Secret(), Seeds: addresses, Network: c.net.Host(name), ConfirmFirst: true,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Decode: func(source []byte) (*routing.Document, error) {
			return &routing.Document{Version: uint64(len(source))}, nil
		},
	}, wire.Process{Name: name, Role: role, Address: name + ":1", PeerAddress: name + ":2", Zone: "z", Ready: true})
	ctx, cancel := context.WithCancel(c.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { client.Run(ctx) })
	return client, func() {
		cancel()
		wg.Wait()
	}
}

func startFiveReplicas(t *testing.T) *cluster {
	c := newCluster(t, "v1", "v2", "v3", "v4", "v5")
	c.startAll()
	c.eventually("a leader", func() bool { return c.leader() != nil && len(c.leader().Status().Voters) == 5 })
	return c
}

// A process must learn of the servers and processes of all replicas, not only
// of those that it follows. It must not open sessions to all replicas: their
// number would grow with the product of processes and replicas.
func TestFollowersOfFewReplicasSeeWholeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startFiveReplicas(t)
		const entries = 10
		var clients []*fleetclient.Client
		for i := range entries {
			client, stop := c.startFollower(fmt.Sprint("entry-", i), wire.RoleEntry, "v1", "v2", "v3")
			defer stop()
			clients = append(clients, client)
		}
		now := uint64(time.Now().UnixMilli())
		for i, name := range c.names {
			c.daemons[name].CheckIn(wire.Server{
				ID: fmt.Sprint("i-", i), Started: now, Sequence: 1, Service: "quote", Address: fmt.Sprintf("10.1.0.%d:1", i),
			})
		}
		c.eventually("all clients know the whole fleet", func() bool {
			for _, client := range clients {
				if len(client.ServerList()) != len(c.names) || len(client.Processes()) != entries {
					return false
				}
			}
			return true
		})
		for _, d := range c.daemons {
			addresses, _ := d.Addresses("", "", "")
			is.Equal(len(addresses), entries)
		}
		c.eventually("few sessions", func() bool {
			sessions := 0
			for _, d := range c.daemons {
				d.fleet.mu.Lock()
				sessions += len(d.fleet.followers)
				d.fleet.mu.Unlock()
			}
			return sessions == 3*entries
		})
		// A deregistration must be known everywhere at once, since the address
		// may be reused.
		c.daemons["v4"].Depart("i-1", now)
		time.Sleep(200 * time.Millisecond)
		for _, client := range clients {
			is.Equal(len(client.ServerList()), len(c.names)-1)
		}
	})
}

// Servers must be kept when the replica that they check in with has stopped or
// is cut off from the others for some seconds; otherwise their work would be
// abandoned.
func TestServersOfLostReplicaAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startFiveReplicas(t)
		client, stop := c.startFollower("entry", wire.RoleEntry, "v1", "v2", "v3")
		defer stop()
		c.daemons["v5"].CheckIn(wire.Server{ID: "i-1", Started: 1, Sequence: 1, Service: "quote", Address: "10.1.0.1:1"})
		c.eventually("server known", func() bool { return len(client.ServerList()) == 1 })
		c.daemons["v5"].kill()
		for range 8 {
			time.Sleep(time.Second)
			is.Equal(len(client.ServerList()), 1)
		}
		// The server checks in at another replica, and then falls silent.
		c.daemons["v1"].CheckIn(wire.Server{ID: "i-1", Started: 1, Sequence: 9, Service: "quote", Address: "10.1.0.1:1"})
		time.Sleep(8 * time.Second)
		is.Equal(len(client.ServerList()), 1)
		time.Sleep(20 * time.Second)
		is.Equal(len(client.ServerList()), 0)
	})
}

// A process must not act on an old routing document because the replicas that
// it follows are cut off from the others but still reach the process.
func TestFollowersLeavePartitionedReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startFiveReplicas(t)
		accept := func(by string, length int) {
			doc := &routing.Document{Version: uint64(length), Source: make([]byte, length)}
			c.eventually("accepted", func() bool { return c.daemons[by].ReplaceRouting(t.Context(), doc) == nil })
		}
		accept("v1", 100)
		client, stop := c.startFollower("entry", wire.RoleEntry, "v1", "v2", "v3")
		defer stop()
		c.eventually("document in use", func() bool { table := client.Table(); return table != nil && table.Document.Version == 100 })
		time.Sleep(5 * time.Second)
		// Two of the followed replicas lose the connection to the others, but
		// not to the process.
		var partitioned []string
		for _, name := range c.names {
			d := c.daemons[name]
			d.fleet.mu.Lock()
			if len(d.fleet.followers) > 0 && len(partitioned) < 2 {
				partitioned = append(partitioned, name)
			}
			d.fleet.mu.Unlock()
		}
		var rest []string
		for _, name := range c.names {
			if name != partitioned[0] && name != partitioned[1] {
				rest = append(rest, name)
			}
		}
		for _, name := range partitioned {
			c.net.SetIsolated(name, rest, true)
		}
		time.Sleep(3 * time.Second)
		accept(rest[0], 200)
		before := time.Now()
		c.eventually("newer document in use", func() bool { return client.Table().Document.Version == 200 })
		is.True(time.Since(before) <= 2*time.Second)
		c.eventually("three replicas with a leader are followed", func() bool {
			n := 0
			for _, name := range rest {
				d := c.daemons[name]
				d.fleet.mu.Lock()
				n += len(d.fleet.followers)
				d.fleet.mu.Unlock()
			}
			return n == 3
		})
	})
}

// An old state of a process that a replica with a dead session still shares
// must not replace the newer state.
func TestNewestProcessStateWins(t *testing.T) {
	is := is.New(t)
	f := newTestFleet()
	now := time.Now()
	ready := wire.Process{Name: "entry-1", Role: wire.RoleEntry, Address: "1", Ready: true, Revision: 5}
	stopping := ready
	stopping.Draining, stopping.Revision = true, 6
	share := func(from string, p wire.Process) {
		f.ApplyShare(nil, wire.Share{From: from, Whole: true, Processes: []wire.Process{p}}, now)
	}
	share("b", stopping)
	share("c", ready)
	is.Equal(len(f.Entries()), 1)
	is.True(f.Entries()[0].Draining)
}

// Flushes must leave CPU time while all processes start at the same time;
// without the pause no leader was elected for seconds.
func TestFlushPause(t *testing.T) {
	is := is.New(t)
	is.Equal(flushPause(0), minFlushPause)
	is.Equal(flushPause(time.Millisecond), minFlushPause)
	is.Equal(flushPause(20*time.Millisecond), 200*time.Millisecond)
	is.Equal(flushPause(time.Minute), maxFlushPause)
}
