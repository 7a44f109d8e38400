package control

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/controlclient"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/membership"
)

// Load changes of a large fleet must not reach every agent, but agents must
// learn of new addresses and lost peers.
func TestPeerSubscribersGetNoLoadChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, nil)
		var entry, agent, removed atomic.Int64
		_, stopEntry := c.client(controlclient.Config{Members: true, OnMembers: func(string, wire.Members) { entry.Add(1) }})
		defer stopEntry()
		sender, stopAgent := c.client(controlclient.Config{Members: true, PeersOnly: true, OnMembers: func(_ string, m wire.Members) {
			agent.Add(1)
			removed.Add(int64(len(m.Removed)))
		}})
		defer stopAgent()
		announce := wire.Announce{Endpoint: "e1", Incarnation: 1, Kind: wire.KindEngine, Role: "quote", Capacity: 8}
		received := func(change func(a *wire.Announce)) (byEntry, byAgent int64) {
			entry.Store(0)
			agent.Store(0)
			change(&announce)
			announce.Sequence++
			sender.Broadcast(announce)
			time.Sleep(time.Second)
			return entry.Load(), agent.Load()
		}
		all := int64(len(c.names))
		byEntry, byAgent := received(func(*wire.Announce) {})
		is.Equal([]int64{byEntry, byAgent}, []int64{all, all})
		byEntry, byAgent = received(func(a *wire.Announce) { a.InFlight = 8; a.Ready = true })
		is.Equal([]int64{byEntry, byAgent}, []int64{all, 0})
		_, byAgent = received(func(a *wire.Announce) { a.ChunkAddress = "10.0.0.9:81" })
		is.True(byAgent == all)
		time.Sleep(4 * time.Second)
		is.Equal(removed.Load(), all)
	})
}

// The cached encoding of a full table must not be used after the table changed,
// for another table, or for a subscriber that needs a delta.
func TestEncodedTableIsReplacedOnChange(t *testing.T) {
	is := is.New(t)
	h := newHub(func() *View { return &View{} })
	now := time.Unix(1_000, 0)
	h.RecordAnnouncement(wire.Announce{Endpoint: "a", Incarnation: 1, Sequence: 1, ChunkAddress: "x"}, now)
	frame := func(table *membership.Table[wire.Announce], version uint64) wire.Members {
		t.Helper()
		env, err := wire.Decode(h.membersFrame(table, table.Since(h.epoch, version)))
		is.NoErr(err)
		var m wire.Members
		is.NoErr(env.Into(&m))
		return m
	}
	is.Equal(len(frame(h.table, 0).Updated), 1)
	is.Equal(&h.encodedTables[h.table].frame[0], &h.membersFrame(h.table, h.table.Since(h.epoch, 0))[0])
	h.RecordAnnouncement(wire.Announce{Endpoint: "a", Incarnation: 1, Sequence: 2, ChunkAddress: "x", Ready: true}, now)
	is.True(frame(h.table, 0).Updated[0].Ready)
	is.Equal(frame(h.peerTable, 0).Version, uint64(1))
	h.RecordAnnouncement(wire.Announce{Endpoint: "b", Incarnation: 1, Sequence: 1}, now)
	is.Equal(h.encodedTables[h.table].version, h.peerTable.Version()) // same version, different content
	is.Equal(len(frame(h.peerTable, 0).Updated), 2)
	is.Equal(len(frame(h.table, 0).Updated), 2)
	delta := frame(h.table, 2)
	is.Equal(delta.Base, uint64(2))
	is.Equal(len(delta.Updated), 1)
}
