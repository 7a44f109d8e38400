package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/gate"
	"github.com/rhubarbhill/rhubarbhill/internal/controlclient"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
)

const (
	// awaitAttemptsTimeout is the time that running attempts have to fail after
	// a crash of their backend.
	awaitAttemptsTimeout = time.Second
	awaitAttemptsPoll    = 20 * time.Millisecond
	proposeTimeout       = 5 * time.Second
	proposeRetryPause    = 500 * time.Millisecond
	// proposeRetries limits the retries of one proposal. If all fail, the
	// requests become suspects when they crash another endpoint.
	proposeRetries = 20
	// crashRetention is how long announcements include the last crash. It is
	// long enough for a leader election and for the crash report to be
	// committed.
	crashRetention = time.Minute
)

// crashReporter reports the requests that were in flight when the backend
// crashed.
type crashReporter struct {
	agent *Agent

	mu            sync.Mutex
	broken        map[gate.ID]brokenAttempt
	backendStates map[gate.ID]backendState // of broken attempts, kept for crashRetention
	brokenCount   uint64                   // broken attempts since the start
	incidents     uint64
	lastCrash     *wire.Crash
	lastCrashAt   time.Time
	// proposals is the context of all proposals, cancelled by close.
	proposals context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

type brokenAttempt struct {
	attempt gate.Attempt
	number  uint64 // brokenCount after this attempt; compared with brokenTotal
}

// backendState is the state of the backend after an attempt broke, one of the
// wire.Backend constants.
type backendState struct {
	state string
	at    time.Time
}

func newCrashReporter(a *Agent) *crashReporter {
	ctx, stop := context.WithCancel(context.Background())
	return &crashReporter{agent: a, broken: map[gate.ID]brokenAttempt{}, backendStates: map[gate.ID]backendState{}, proposals: ctx, stop: stop}
}

// recordBroken records an attempt whose connection to the backend broke, and
// requests a poll that tells a crash from an incomplete answer.
func (c *crashReporter) recordBroken(attempt gate.Attempt) {
	c.mu.Lock()
	c.brokenCount++
	c.broken[attempt.ID] = brokenAttempt{attempt, c.brokenCount}
	c.mu.Unlock()
	c.agent.requestPoll()
}

// brokenTotal returns the number of broken attempts since the start. It is read
// before the backend is polled.
func (c *crashReporter) brokenTotal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.brokenCount
}

// backendAlive handles a poll that found the same backend process running. The
// attempts that broke before that poll were not broken by a crash. brokenBefore
// is the brokenTotal from before the poll.
func (c *crashReporter) backendAlive(brokenBefore uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, b := range c.broken {
		if b.number <= brokenBefore {
			delete(c.broken, id)
			c.setBackendState(id, wire.BackendAlive)
		}
	}
}

// setBackendState records the state of the backend for a broken attempt and
// drops expired records. The caller holds mu.
func (c *crashReporter) setBackendState(id gate.ID, backend string) {
	now := time.Now()
	for old, v := range c.backendStates {
		if now.Sub(v.at) > crashRetention {
			delete(c.backendStates, old)
		}
	}
	c.backendStates[id] = backendState{backend, now}
}

// backendState returns the state of the backend for a broken attempt, and the
// empty string for any other attempt.
func (c *crashReporter) backendState(id gate.ID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, waiting := c.broken[id]; waiting {
		return wire.BackendPending
	}
	return c.backendStates[id].state
}

// backendCrashed reports the attempts that a crash of the backend broke. started
// identifies the crashed process of an engine and is zero for a plain service.
func (c *crashReporter) backendCrashed(ctx context.Context, started int64) {
	c.awaitAttempts(ctx)
	c.mu.Lock()
	var fingerprints []string
	exclusive := len(c.broken) == 1
	for id, b := range c.broken {
		c.setBackendState(id, wire.BackendCrashed)
		exclusive = exclusive && b.attempt.Exclusive
		if b.attempt.Fingerprint != "" {
			fingerprints = append(fingerprints, b.attempt.Fingerprint)
		}
	}
	clear(c.broken)
	c.incidents++
	a := c.agent
	incident := fmt.Sprintf("%s/%d/%d/%d", a.cfg.Settings.Endpoint, a.incarnation, started, c.incidents)
	c.mu.Unlock()
	if len(fingerprints) == 0 {
		return
	}
	slices.Sort(fingerprints)
	fingerprints = slices.Compact(fingerprints)
	c.mu.Lock()
	c.lastCrash, c.lastCrashAt = &wire.Crash{Incident: incident, Fingerprints: fingerprints}, time.Now()
	c.mu.Unlock()
	a.state.notify()
	a.metrics.crashes.Inc()
	a.log.WithFields(log.Fields{"incident": incident, "requests": len(fingerprints)}).Error("backend_crashed")
	c.propose(ledger.Command{Crash: &ledger.ReportCrash{
		Incident: incident, Endpoint: a.cfg.Settings.Endpoint, Fingerprints: fingerprints, Exclusive: exclusive,
	}})
}

// recentCrash returns the crash to include in announcements, or nil.
func (c *crashReporter) recentCrash(now time.Time) *wire.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastCrashAt) > crashRetention {
		return nil
	}
	return c.lastCrash
}

// awaitAttempts waits until the running attempts have failed because of the
// crash.
func (c *crashReporter) awaitAttempts(ctx context.Context) {
	end := time.Now().Add(awaitAttemptsTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		c.agent.state.mu.Lock()
		running := c.agent.state.gate.InFlight()
		c.agent.state.mu.Unlock()
		if running == 0 {
			return
		}
		time.Sleep(awaitAttemptsPoll)
	}
}

// clearSuspect reports that a suspect completed while running exclusively.
func (c *crashReporter) clearSuspect(fingerprint string) {
	c.propose(ledger.Command{Clear: &ledger.ClearSuspect{Fingerprint: fingerprint}})
}

// propose proposes a command in the background. Both commands are idempotent,
// so a proposal with an unknown result is retried.
func (c *crashReporter) propose(cmd ledger.Command) {
	c.wg.Go(func() {
		for range proposeRetries {
			pctx, cancel := context.WithTimeout(c.proposals, proposeTimeout)
			_, err := c.agent.control.Propose(pctx, cmd)
			cancel()
			if err == nil || c.proposals.Err() != nil {
				return
			}
			level := c.agent.log.WithError(err)
			if errors.Is(err, controlclient.ErrOutcomeUnknown) {
				level.Debug("crash_proposal_unknown")
			} else {
				level.Warn("crash_proposal_failed")
			}
			time.Sleep(proposeRetryPause)
		}
	})
}

// close cancels proposals in progress and waits for them to end.
func (c *crashReporter) close() {
	c.stop()
	c.wg.Wait()
}
