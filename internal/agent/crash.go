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
	// crashSettle is how long attempts may take to notice a crash.
	crashSettle       = time.Second
	crashSettlePoll   = 20 * time.Millisecond
	proposeTimeout    = 5 * time.Second
	proposeRetryPause = 500 * time.Millisecond
	// proposeRetries bounds the effort for one report; the requests are
	// suspected again if they crash the next endpoint.
	proposeRetries = 20
	// crashAnnounced is how long announcements name the last crash: long enough
	// for a new leader to be found and the report to be committed.
	crashAnnounced = time.Minute
)

// crashes finds out which requests were in flight when the backend crashed.
type crashes struct {
	agent *Agent

	mu        sync.Mutex
	attempts  map[gate.ID]brokenAttempt
	verdicts  map[gate.ID]verdict // on broken attempts, for crashAnnounced
	broke     uint64              // attempts so far
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

// verdict is what became of the backend under a broken attempt.
type verdict struct {
	backend string
	at      time.Time
}

func newCrashes(a *Agent) *crashes {
	ctx, stop := context.WithCancel(context.Background())
	return &crashes{agent: a, attempts: map[gate.ID]brokenAttempt{}, verdicts: map[gate.ID]verdict{}, proposals: ctx, stop: stop}
}

// broken notes an attempt whose connection the backend broke, and asks for a
// report that tells a crash from an answer cut short.
func (c *crashes) broken(attempt gate.Attempt) {
	c.mu.Lock()
	c.broke++
	c.attempts[attempt.ID] = brokenAttempt{attempt, c.broke}
	c.mu.Unlock()
	c.agent.refreshEngine()
}

// mark returns the number of attempts that have broken so far. Take it before a
// report of the backend is asked for.
func (c *crashes) mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broke
}

// backendAlive forgets attempts that broke before a report of the same backend
// process was asked for.
func (c *crashes) backendAlive(asked uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, b := range c.attempts {
		if b.number <= asked {
			delete(c.attempts, id)
			c.decide(id, wire.BackendAlive)
		}
	}
}

// decide needs mu. It also forgets old verdicts.
func (c *crashes) decide(id gate.ID, backend string) {
	now := time.Now()
	for old, v := range c.verdicts {
		if now.Sub(v.at) > crashAnnounced {
			delete(c.verdicts, old)
		}
	}
	c.verdicts[id] = verdict{backend, now}
}

// verdict says what became of the backend under an attempt, and nothing of one
// that did not break.
func (c *crashes) verdict(id gate.ID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, waiting := c.attempts[id]; waiting {
		return wire.BackendPending
	}
	return c.verdicts[id].backend
}

// backendCrashed reports the attempts that the crash of the backend broke.
// started identifies the backend's process, if it says so.
func (c *crashes) backendCrashed(ctx context.Context, started int64) {
	c.settle(ctx)
	c.mu.Lock()
	var fingerprints []string
	alone := len(c.attempts) == 1
	for id, b := range c.attempts {
		c.decide(id, wire.BackendCrashed)
		alone = alone && b.attempt.Exclusive
		if b.attempt.Fingerprint != "" {
			fingerprints = append(fingerprints, b.attempt.Fingerprint)
		}
	}
	clear(c.attempts)
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
		Incident: incident, Endpoint: a.cfg.Settings.Endpoint, Fingerprints: fingerprints, Exclusive: alone,
	}})
}

// announced is the crash that announcements name now.
func (c *crashes) announced(now time.Time) *wire.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastAt) > crashAnnounced {
		return nil
	}
	return c.last
}

// settle waits until the attempts in flight have noticed the crash.
func (c *crashes) settle(ctx context.Context) {
	end := time.Now().Add(crashSettle)
	for time.Now().Before(end) && ctx.Err() == nil {
		c.agent.state.mu.Lock()
		running := c.agent.state.gate.InFlight()
		c.agent.state.mu.Unlock()
		if running == 0 {
			return
		}
		time.Sleep(crashSettlePoll)
	}
}

// cleared reports that a suspect finished when it ran alone.
func (c *crashes) cleared(fingerprint string) {
	c.propose(ledger.Command{Clear: &ledger.ClearSuspect{Fingerprint: fingerprint}})
}

// propose commits a command in the background. Both commands are idempotent,
// so an unknown result is retried.
func (c *crashes) propose(cmd ledger.Command) {
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

// close ends proposals in progress.
func (c *crashes) close() {
	c.stop()
	c.wg.Wait()
}
