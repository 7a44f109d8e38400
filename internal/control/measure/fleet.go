package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/confirm"
	"github.com/rhubarbhill/rhubarbhill/internal/controlclient"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	confirmInterval  = 500 * time.Millisecond
	announceInterval = time.Second
	leaseTime        = 2 * time.Second
	// announceSpacing is that of package agent: changes within it go together.
	announceSpacing = 50 * time.Millisecond
)

// fleet is a number of fake agents.
type fleet struct {
	agents  []*agent
	cancel  context.CancelFunc
	running sync.WaitGroup
	counts  transport.ByteCounts
}

// agent subscribes, confirms and announces as a real one does, and acts on a
// catalogue as soon as it has it.
type agent struct {
	client *controlclient.Client

	mu        sync.Mutex
	lease     *confirm.Lease
	catalogue release.Catalogue
	announce  wire.Announce
	changed   chan struct{}
	inForce   map[uint64]time.Time // first time with this revision or a later one, and the lease
	reached   uint64
}

func startFleet(c *cluster, size int) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel}
	var addresses []string
	for _, name := range c.names {
		addresses = append(addresses, c.addresses[name])
	}
	for i := range size {
		a := &agent{lease: confirm.New(confirm.Config{Duration: leaseTime}), catalogue: release.NewCatalogue(), inForce: map[uint64]time.Time{}, changed: make(chan struct{}, 1)}
		a.announce = wire.Announce{
			Endpoint: fmt.Sprintf("endpoint-%d", i), Incarnation: 1, Kind: wire.KindEngine, Role: "quote",
			Zone: "zone", Region: "region", GateAddress: "127.0.0.1:1", Capacity: 8, Ready: true,
			Sets: []wire.LoadedSet{{Model: "quote-large", Version: "1", SetID: string(release.DigestOf([]byte("1")))}},
		}
		a.client = controlclient.New(controlclient.Config{
			Name: a.announce.Endpoint, Token: c.token.Secret(), Replicas: addresses, ByteCounts: &f.counts,
			Revision: a.revision, OnCatalogue: a.onCatalogue, OnConfirm: a.onConfirm,
		})
		f.agents = append(f.agents, a)
		f.running.Go(func() { a.client.Run(ctx) })
		f.running.Go(func() { a.run(ctx, time.Duration(i)*confirmInterval/time.Duration(size)) })
		f.running.Go(func() { a.announceLoop(ctx) })
	}
	return f
}

func (f *fleet) stop() {
	f.cancel()
	f.running.Wait()
}

func (f *fleet) bytes() int64 { return f.counts.Sent.Load() + f.counts.Received.Load() }

// wait returns when the last agent had a revision in force.
func (f *fleet) wait(revision uint64, limit time.Duration) (time.Time, error) {
	var last time.Time
	for i, a := range f.agents {
		err := poll(fmt.Sprintf("revision %d in force on agent %d", revision, i), limit, func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.reached < revision {
				return false
			}
			if at := a.inForce[revision]; at.After(last) {
				last = at
			}
			return true
		})
		if err != nil {
			return last, err
		}
	}
	return last, nil
}

func (a *agent) revision() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.catalogue.Revision
}

func (a *agent) onCatalogue(replica string, c wire.Catalogue) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Revision <= a.catalogue.Revision {
		return
	}
	switch {
	case c.Full != nil:
		a.catalogue = *c.Full
	case c.Delta != nil:
		next, err := c.Delta.Apply(a.catalogue)
		if err != nil {
			a.client.Resubscribe(replica)
			return
		}
		a.catalogue = next
	}
	a.settle(time.Now())
}

func (a *agent) onConfirm(_ string, r wire.ConfirmReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease.Receive(confirm.Reply{
		Round: r.Mark, Replica: r.Replica, Revision: r.Revision, Unresolved: r.Unresolved,
		Voters: r.Voters, VoterIndex: r.VoterIndex,
	})
	a.settle(time.Now())
}

// settle records revisions that came into force and announces a change. The
// caller holds the lock.
func (a *agent) settle(now time.Time) {
	_, serving := a.lease.Check(a.catalogue.Revision, now)
	if serving {
		for a.reached < a.catalogue.Revision {
			a.reached++
			a.inForce[a.reached] = now
		}
	}
	if a.announce.Revision != a.catalogue.Revision || a.announce.Confirmed != serving {
		a.announce.Revision, a.announce.Confirmed = a.catalogue.Revision, serving
		select {
		case a.changed <- struct{}{}:
		default:
		}
	}
}

func (a *agent) sendAnnounce() {
	a.announce.Sequence++
	a.client.Announce(a.announce)
}

func (a *agent) run(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(delay):
	}
	confirms := time.NewTicker(confirmInterval)
	defer confirms.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-confirms.C:
			a.mu.Lock()
			mark := a.lease.StartRound(now)
			a.settle(now)
			a.mu.Unlock()
			a.client.RequestConfirmation(mark)
		}
	}
}

func (a *agent) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a.mu.Lock()
		a.sendAnnounce()
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceSpacing):
		}
		select {
		case <-ctx.Done():
			return
		case <-a.changed:
		case <-ticker.C:
		}
	}
}
