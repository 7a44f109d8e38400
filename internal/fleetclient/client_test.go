package fleetclient

import (
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against requests that start on outdated weights after the bound has passed. The
// bound counts from when the first newer version was named, not the newest one, and from
// the earliest time that any replica reports.
func TestSupersededAtFirstNewerVersion(t *testing.T) {
	is := is.New(t)
	c := New(Config{Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}, wire.Process{})
	now := time.Now()
	is.True(c.SupersededAt("m", 1).IsZero())
	c.recordWeights(wire.NamedWeights{Model: "m", Version: 2}, now.Add(-time.Second), "a")
	c.recordWeights(wire.NamedWeights{Model: "m", Version: 2}, now.Add(-4*time.Second), "b")
	c.recordWeights(wire.NamedWeights{Model: "m", Version: 3}, now, "a")
	is.Equal(c.SupersededAt("m", 1), now.Add(-4*time.Second))
	is.Equal(c.SupersededAt("m", 2), now)
	is.True(c.SupersededAt("m", 3).IsZero())
	is.True(c.SupersededAt("other", 1).IsZero())
	is.Equal(c.RequiredWeights("m", 3*time.Second), uint64(2))
	is.Equal(c.RequiredWeights("m", 5*time.Second), uint64(0))
}

// Guards against an engine that goes out of service, or whose unverified weights are used,
// because a replica has restarted and its stager has not reported to it yet.
func TestKnownLoadsOutliveReplica(t *testing.T) {
	is := is.New(t)
	c := testClient()
	engine := func(version uint64) []wire.ServerModel {
		return []wire.ServerModel{{Name: "m", Layers: []protocol.ServedLayers{{From: 0, To: 16, Version: version}}}}
	}
	list := func(epoch uint64, servers ...wire.Server) []wire.Server {
		c.receiveServers("replica-1", wire.Servers{Epoch: epoch, Version: 1, Updated: servers})
		return c.ServerList()
	}
	verified := wire.Server{ID: "i-1", Started: 1, Sequence: 1, Service: "quote", Address: "10.0.0.1:1", Models: engine(2), Loads: wire.EngineLoads{Reported: true, Accepted: 1, Verified: 1}}
	loading := wire.Server{ID: "i-2", Started: 1, Sequence: 1, Service: "quote", Address: "10.0.0.2:1", Models: engine(2), Loads: wire.EngineLoads{Reported: true, Accepted: 1}}
	for range 2 {
		listed := list(1, verified, loading)
		is.True(listed[0].TrustedWeights())
		is.True(!listed[1].TrustedWeights())
	}
	unknown := func(s wire.Server) wire.Server {
		s.Loads, s.Sequence = wire.EngineLoads{}, 2
		return s
	}
	for range 2 {
		listed := list(2, unknown(verified), unknown(loading))
		is.True(listed[0].TrustedWeights())
		is.True(!listed[1].TrustedWeights())
	}
	restarted := unknown(verified)
	restarted.Started = 2
	is.True(!list(3, restarted)[0].TrustedWeights()) // another incarnation
}

// Guards against requests that begin on superseded weights after the bound because the machine
// was suspended, which the monotonic clock does not count.
func TestSuspensionCountsForAgeOfWeights(t *testing.T) {
	is := is.New(t)
	var suspended time.Duration
	c := New(Config{
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Suspended: func() time.Duration { return suspended },
	}, wire.Process{})
	c.recordWeights(wire.NamedWeights{Model: "m", Version: 2}, time.Now(), "a")
	tick := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.correctAges()
	}
	suspended = minSuspension - 1 // the clocks are not read at the same moment
	tick()
	is.Equal(c.RequiredWeights("m", minSuspension), uint64(0))
	suspended = 3 * time.Second
	tick()
	tick() // counts once
	is.Equal(c.RequiredWeights("m", 3*time.Second), uint64(2))
	is.Equal(c.RequiredWeights("m", 4*time.Second), uint64(0))
}

// Guards against a correction on a machine that is never suspended.
func TestClocksAgree(t *testing.T) {
	is := is.New(t)
	before := timeSuspended()
	time.Sleep(50 * time.Millisecond)
	is.True(timeSuspended()-before < minSuspension)
}

// Guards against requests that begin on weights whose successor this process has forgotten or never recorded.
func TestSupersededAtOutlivesVersionsInSeries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		count := rapid.IntRange(1, 40).Draw(t, "versions")
		named, order := make([]time.Time, count), make([]int, count)
		at := now
		for i := range slices.Backward(named) {
			named[i], order[i] = at, i
			at = at.Add(-time.Duration(rapid.IntRange(0, 2_000).Draw(t, "gap ms")) * time.Millisecond)
		}
		c := New(Config{Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}, wire.Process{})
		for _, i := range rapid.Permutation(order).Draw(t, "order of arrival") {
			c.recordWeights(wire.NamedWeights{Model: "m", Version: uint64(i + 2)}, named[i], "a")
		}
		for i, since := range named {
			if got := c.SupersededAt("m", uint64(i+1)); !got.Equal(since) {
				t.Fatalf("version %d was superseded %v ago, known as %v ago", i+1, now.Sub(since), now.Sub(got))
			}
		}
	})
}

// Guards against versions that are kept forever, and against a successor of weights that seems younger once others were dropped.
func TestOldVersionsOfWeightsAreDropped(t *testing.T) {
	is := is.New(t)
	c := testClient()
	now := time.Now()
	record := func(version uint64, age time.Duration) {
		c.recordWeights(wire.NamedWeights{Model: "m", Version: version}, now.Add(-age), "a")
	}
	for version := range uint64(10) {
		record(version+2, wire.WeightsRetention+time.Duration(10-version)*time.Second)
	}
	is.Equal(len(c.NamedWeights("m")), 1)
	is.Equal(c.SupersededAt("m", 1), now.Add(-wire.WeightsRetention-10*time.Second))
	for version := range uint64(100) {
		record(version+12, time.Duration(100-version)*time.Millisecond)
	}
	is.Equal(len(c.NamedWeights("m")), wire.MaxNamedWeights)
	is.Equal(c.SupersededAt("m", 1), now.Add(-wire.WeightsRetention-10*time.Second))
	is.Equal(c.SupersededAt("m", 110), now.Add(-time.Millisecond))
	record(11, wire.WeightsRetention+20*time.Second) // a replica that is behind
	is.Equal(len(c.NamedWeights("m")), wire.MaxNamedWeights)
	is.Equal(c.SupersededAt("m", 1), now.Add(-wire.WeightsRetention-20*time.Second))
}

// Guards against weights in use that count as long superseded, so that no request is sent, because many versions followed within seconds.
func TestWeightsInUseOutliveBursts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testClient()
		now := time.Now()
		count := rapid.IntRange(1, 400).Draw(t, "versions")
		gap := time.Duration(rapid.IntRange(1, 7_000/count).Draw(t, "gap ms")) * time.Millisecond
		first := now.Add(-time.Duration(count) * gap)
		record := func(version uint64, at time.Time) {
			c.recordWeights(wire.NamedWeights{Model: "m", Version: version}, at, "a")
		}
		for range 2 { // a second message repeats the list
			record(2, now.Add(-24*time.Hour))
			for i := range count {
				record(uint64(i+3), first.Add(time.Duration(i)*gap))
			}
			if got := c.SupersededAt("m", 2); !got.Equal(first) {
				t.Fatalf("version 2 was superseded %v ago, known as %v ago", now.Sub(first), now.Sub(got))
			}
			if n := len(c.NamedWeights("m")); n > wire.MaxNamedWeights {
				t.Fatalf("%d versions are kept", n)
			}
			if c.RequiredWeights("m", 8*time.Second) != 2 {
				t.Fatal("a version that was just named is required")
			}
		}
	})
}
