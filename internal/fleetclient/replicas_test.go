package fleetclient

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against following too few replicas while some are down or partitioned, and too
// many otherwise.
func TestSelectReplicas(t *testing.T) {
	is := is.New(t)
	list := func(sound ...bool) []candidate {
		var candidates []candidate
		for i, s := range sound {
			candidates = append(candidates, candidate{address: fmt.Sprint(i), healthy: s})
		}
		return candidates
	}
	is.Equal(selectReplicas(list(true, true, true, true), 3), []string{"0", "1", "2"})
	is.Equal(selectReplicas(list(true, false, true, false, true, true), 3), []string{"0", "1", "2", "3", "4"})
	is.Equal(selectReplicas(list(false, false), 3), []string{"0", "1"})
	is.Equal(len(selectReplicas(nil, 3)), 0)
}

// Guards against all processes following the same replicas, and against traffic between
// availability zones when a replica is available in the same zone.
func TestProcessesSpreadOverReplicas(t *testing.T) {
	is := is.New(t)
	zones := []string{"a", "b", "c", "d", "e"}
	sessions := map[string]int{}
	const processes = 263
	for i := range processes {
		zone := zones[i%len(zones)]
		c := New(Config{Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}, wire.Process{Name: fmt.Sprint("p-", i), Zone: zone})
		for k := range 9 {
			c.addReplica(wire.Replica{Address: fmt.Sprint("r-", k), Zone: zones[k%len(zones)]}, time.Now())
		}
		c.updateFollowed(time.Now())
		is.Equal(len(c.followed), followCount)
		near := false
		for address := range c.followed {
			sessions[address]++
			near = near || c.knownReplicas[address].zone == zone
		}
		is.True(near)
	}
	for address, n := range sessions {
		if mean := processes * followCount / 9; n > mean*3/2 {
			t.Errorf("%s is followed by %d processes, %d on average", address, n, mean)
		}
	}
}

// Guards against all processes dialling all replicas at once when the followed ones are
// lost, for example after a power failure. The load would delay the leader election of
// the remaining replicas.
func TestReplacementsAreDialledOneAfterAnother(t *testing.T) {
	is := is.New(t)
	c := New(Config{Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}, wire.Process{Name: "p", Zone: "a"})
	now := time.Now()
	for k := range 9 {
		c.addReplica(wire.Replica{Address: fmt.Sprint("r-", k), Zone: "a"}, now)
	}
	c.updateFollowed(now)
	is.Equal(len(c.followed), followCount)
	at := now.Add(dialGrace + time.Millisecond)
	c.updateFollowed(at)
	is.Equal(len(c.followed), followCount+1)
	c.updateFollowed(at.Add(dialGrace / 2))
	is.Equal(len(c.followed), followCount+1)
	c.updateFollowed(at.Add(2 * dialGrace))
	is.Equal(len(c.followed), followCount+2)
}

// Guards against opening sessions to additional replicas during every leader election.
func TestReplicasAreKeptDuringElection(t *testing.T) {
	is := is.New(t)
	c := New(Config{Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}, wire.Process{Name: "p", Zone: "a"})
	now := time.Now()
	for k := range 5 {
		c.addReplica(wire.Replica{Address: fmt.Sprint("r-", k), Zone: "a"}, now)
	}
	c.updateFollowed(now)
	for address, r := range c.followed {
		r.open = true
		c.recordLeaderless(address, true)
	}
	c.updateFollowed(now.Add(time.Second))
	is.Equal(len(c.followed), followCount)
	c.updateFollowed(time.Now().Add(leaderlessTimeout + dialGrace))
	is.Equal(len(c.followed), followCount+1)
}

// Guards against a process that takes its lists for current although it is cut off, or follows only
// replicas that are.
func TestIsolated(t *testing.T) {
	is := is.New(t)
	c := New(Config{Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}, wire.Process{Name: "p", Zone: "a"})
	is.True(c.Isolated())
	c.followed["r-0"], c.followed["r-1"] = &replica{open: true, leaderlessSince: time.Now()}, &replica{}
	is.True(c.Isolated())
	c.followed["r-1"].open = true
	is.True(!c.Isolated())
}
