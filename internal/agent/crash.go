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
	// awaitAttemptsTimeout is how long attempts may take to notice a crash.
	awaitAttemptsTimeout       = time.Second
	awaitAttemptsPoll   = 20 * time.Millisecond
	proposeTimeout    = 5 * time.Second
	proposeRetryPause = 500 * time.Millisecond
	// proposeRetries bounds the effort for one report; the requests are
	// suspected again if they crash the next endpoint.
	proposeRetries = 20
	// crashRetention is how long announcements name the last crash: long enough
	// for a new leader to be found and the report to be committed.
	crashRetention = time.Minute
)

// crashReporter finds out which requests were in flight when the backend crashed.
type crashReporter struct {
	agent *Agent

	mu        sync.Mutex
	broken  map[gate.ID]brokenAttempt
	backendStates  map[gate.ID]backendState // on broken attempts, for crashAnnounced
	brokenCount     uint64              // attempts so far
	incidents uint64
	last      *wire.Crash
	lastAt    time.Time
	// proposals end when the agent stops.
	proposals context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

type brokenAttempt struct {
	attempt gate.Attempt
	number  uint64 // orders it against reports asked for; see mark
}

// backendState is what became of the backend under a broken attempt.
type backendState struct {
	state string
	at      time.Time
}

func newCrashReporter(a *Agent) *crashReporter {
	ctx, stop := context.WithCancel(context.Background())
	return &crashReporter{agent: a, broken: map[gate.ID]brokenAttempt{}, backendStates: map[gate.ID]backendState{}, proposals: ctx, stop: stop}
}

// recordBroken notes an attempt whose connection the backend broke, and asks for a
// report that tells a crash from an answer cut short.
func (c *crashReporter) recordBroken(attempt gate.Attempt) {
	c.mu.Lock()
	c.brokenCount++
	c.broken[attempt.ID] = brokenAttempt{attempt, c.brokenCount}
	c.mu.Unlock()
	c.agent.requestPoll()
}

// brokenTotal returns the number of attempts that have broken so far. Take it before a
// report of the backend is asked for.
func (c *crashReporter) brokenTotal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.brokenCount
}

// backendAlive forgets attempts that broke before a report of the same backend
// process was asked for.
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

// setBackendState needs mu. It also forgets old verdicts.
func (c *crashReporter) setBackendState(id gate.ID, backend string) {
	now := time.Now()
	for old, v := range c.backendStates {
		if now.Sub(v.at) > crashRetention {
			delete(c.backendStates, old)
		}
	}
	c.backendStates[id] = backendState{backend, now}
}

// backendState says what became of the backend under an attempt, and nothing of one
// that did not break.
func (c *crashReporter) backendState(id gate.ID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, waiting := c.broken[id]; waiting {
		return wire.BackendPending
	}
	return c.backendStates[id].state
}

// backendCrashed reports the attempts that the crash of the backend broke.
// started identifies the backend's process, if it says so.
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
	c.last, c.lastAt = &wire.Crash{Incident: incident, Fingerprints: fingerprints}, time.Now()
	c.mu.Unlock()
	a.state.notify()
	a.metrics.crashes.Inc()
	a.log.WithFields(log.Fields{"incident": incident, "requests": len(fingerprints)}).Error("backend_crashed")
	c.propose(ledger.Command{Crash: &ledger.ReportCrash{
		Incident: incident, Endpoint: a.cfg.Settings.Endpoint, Fingerprints: fingerprints, Exclusive: exclusive,
	}})
}

// recentCrash is the crash that announcements name now.
func (c *crashReporter) recentCrash(now time.Time) *wire.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastAt) > crashRetention {
		return nil
	}
	return c.last
}

// awaitAttempts waits until the attempts in flight have noticed the crash.
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

// clearSuspect reports that a suspect finished when it ran alone.
func (c *crashReporter) clearSuspect(fingerprint string) {
	c.propose(ledger.Command{Clear: &ledger.ClearSuspect{Fingerprint: fingerprint}})
}

// propose commits a command in the background. Both commands are idempotent,
// so an unknown result is retried.
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
			if errors.Is(err, controlclient.ErrUnknown) {
				level.Debug("crash_proposal_unknown")
			} else {
				level.Warn("crash_proposal_failed")
			}
			time.Sleep(proposeRetryPause)
		}
	})
}

// close ends proposals in progress.
func (c *crashReporter) close() {
	c.stop()
	c.wg.Wait()
}
