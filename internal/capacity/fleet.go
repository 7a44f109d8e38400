package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/controlclient"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	announceInterval = time.Second
	confirmInterval  = 500 * time.Millisecond
	settleTime       = 3 * time.Second
	fakeCapacity     = 8
	// fakeService makes the fakes one pool that entries do not probe.
	fakeService    = "fake"
	zonesPerRegion = 3
	zones          = 6
	subsetSize     = 32 // the entries' default
)

// fleet is a number of fake agents or entries with sessions to all replicas.
type fleet struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	bytes  transport.ByteCounts
}

func (f *fleet) stop() {
	f.cancel()
	f.wg.Wait()
}

func (f *fleet) total() int64 { return f.bytes.Sent.Load() + f.bytes.Received.Load() }

// startAgents starts n fake agents that announce and ask for confirmation as
// real ones do, with a load that changes at random.
func startAgents(ctx context.Context, n int, o options, token auth.Token) *fleet {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{cancel: cancel}
	for i := range n {
		f.wg.Go(func() { f.runAgent(ctx, i, o, token) })
	}
	return f
}

func (f *fleet) runAgent(ctx context.Context, i int, o options, token auth.Token) {
	client := controlclient.New(controlclient.Config{
		Name: fmt.Sprintf("fake-%d", i), Token: token.Secret(), Replicas: o.Controls, PeersOnly: true, ByteCounts: &f.bytes,
	})
	done := make(chan struct{})
	go func() { defer close(done); client.Run(ctx) }()
	announce := wire.Announce{
		Endpoint: fmt.Sprintf("fake-%d", i), Incarnation: uint64(time.Now().UnixNano()), Kind: wire.KindService, Service: fakeService,
		Zone: fmt.Sprintf("zone-%d", i%zones), Region: fmt.Sprintf("region-%d", i%zones/zonesPerRegion),
		GateAddress: "127.0.0.1:1", ChunkAddress: "127.0.0.1:2", Capacity: fakeCapacity, Ready: true, Confirmed: true,
	}
	time.Sleep(time.Duration(rand.Int64N(int64(announceInterval))))
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for round := uint64(0); ctx.Err() == nil; round++ {
		if round%uint64(announceInterval/confirmInterval) == 0 {
			announce.Sequence++
			announce.InFlight = rand.IntN(fakeCapacity + 1)
			client.Announce(announce)
		}
		client.RequestConfirmation(round)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	<-done
}

// startEntries starts n fake entries that follow the member table and the load of
// their subset of the fake agents, as real ones do.
func startEntries(ctx context.Context, n, agents int, o options, token auth.Token) *fleet {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{cancel: cancel}
	entries, endpoints := members("fake-entry", n), members("fake", agents)
	for _, self := range entries {
		client := controlclient.New(controlclient.Config{
			Name: self.Name, Token: token.Secret(), Replicas: o.Controls, Members: true, ByteCounts: &f.bytes,
			OnLoads: func(string, wire.Loads) {},
		})
		client.FollowLoads(balancer.Subset(self, entries, endpoints, subsetSize))
		f.wg.Go(func() { client.Run(ctx) })
	}
	return f
}

func members(prefix string, n int) []balancer.Member {
	var list []balancer.Member
	for i := range n {
		list = append(list, balancer.Member{Name: fmt.Sprintf("%s-%d", prefix, i), Zone: fmt.Sprintf("zone-%d", i%zones)})
	}
	return list
}

// measureAgents measures the control replicas against the number of agents.
func measureAgents(ctx context.Context, o options, token auth.Token) error {
	heading("Control replica, by number of endpoints")
	return measureCounts(o, "endpoint", o.AgentCounts, designEndpoints, func(n int) *fleet {
		return startAgents(ctx, n, o, token)
	})
}

// measureEntries measures the control replicas against the number of entries,
// with a fixed number of agents whose load changes every second.
func measureEntries(ctx context.Context, o options, token auth.Token) error {
	agents := o.AgentCounts[max(0, len(o.AgentCounts)-2)]
	heading(fmt.Sprintf("Control replica, by number of entries, with %d endpoints", agents))
	fixed := startAgents(ctx, agents, o, token)
	defer fixed.stop()
	return measureCounts(o, "entry", o.EntryCounts, designEntries, func(n int) *fleet {
		return startEntries(ctx, n, agents, o, token)
	})
}

// measureCounts measures the control replicas under fleets of several sizes.
func measureCounts(o options, member string, counts []int, design float64, start func(n int) *fleet) error {
	fmt.Printf("| number | %% of a core | MB | KB/s for each %s, all replicas | real entry, %% of a core | real entry, MB |\n|---|---|---|---|---|---|\n", member)
	cpu := series{name: "processor time", unit: "% of a core"}
	memory := series{name: "memory", unit: "MB"}
	for _, n := range counts {
		f := start(n)
		c, entry, perSecond, err := measureFleet(f, o)
		f.stop()
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.2f | %.1f | %.2f | %.2f | %.1f |\n",
			n, c.corePercent, c.megabytes, perSecond/float64(max(n, 1))/1e3, entry.corePercent, entry.megabytes)
		cpu.add(float64(n), c.corePercent)
		memory.add(float64(n), c.megabytes)
		time.Sleep(settleTime) // until the fakes have expired
	}
	fmt.Println(fitHeader)
	cpu.print(member, design)
	memory.print(member, design)
	return nil
}

// measureFleet measures the control replicas and the entry over one phase.
func measureFleet(f *fleet, o options) (control, entry cost, bytesPerSecond float64, err error) {
	time.Sleep(settleTime)
	controlMeter, err := startMeter(o.ControlPids...)
	if err != nil {
		return control, entry, 0, err
	}
	entryMeter, err := startMeter(o.EntryPid)
	if err != nil {
		return control, entry, 0, err
	}
	before, started := f.total(), time.Now()
	time.Sleep(o.Phase)
	bytesPerSecond = float64(f.total()-before) / time.Since(started).Seconds()
	if control, err = controlMeter.stop(); err != nil {
		return control, entry, 0, err
	}
	entry, err = entryMeter.stop()
	return control, entry, bytesPerSecond, err
}
