package agent

import (
	"context"
	"errors"
	"net/url"
	"reflect"
	"syscall"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	enginePollInterval = time.Second
	enginePollTimeout  = 2 * time.Second
	progressInterval   = 500 * time.Millisecond
)

// requestPoll requests a poll of the backend before the next interval.
func (a *Agent) requestPoll() {
	select {
	case a.pollNow <- struct{}{}:
	default:
	}
}

// pollLoop polls the backend at intervals and on request.
func (a *Agent) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(enginePollInterval)
	defer ticker.Stop()
	for {
		a.pollBackend(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.pollNow:
		}
	}
}

// pollBackend stores the backend's status and detects a crash since the last
// poll.
func (a *Agent) pollBackend(ctx context.Context) {
	brokenBefore := a.crashes.brokenTotal()
	rctx, cancel := context.WithTimeout(ctx, enginePollTimeout)
	defer cancel()
	sets, err := a.backendStatus(rctx)
	if ctx.Err() != nil {
		return
	}
	previous := a.storeStatus(sets, err)
	restarted := err == nil && previous.Started != 0 && sets.Started != previous.Started
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	switch {
	case restarted || refused:
		a.crashes.backendCrashed(ctx, previous.Started)
	case err == nil:
		a.crashes.backendAlive(brokenBefore)
	}
}

func (a *Agent) backendStatus(ctx context.Context) (engine.Status, error) {
	if a.isEngine() {
		return a.engine.Status(ctx)
	}
	backend, err := url.Parse(a.cfg.Settings.Backend)
	if err != nil {
		return engine.Status{}, err
	}
	conn, err := network.OrSystem(a.cfg.Network).DialContext(ctx, "tcp", backend.Host)
	if err != nil {
		return engine.Status{}, err
	}
	return engine.Status{}, conn.Close()
}

// storeStatus stores the result of a poll and returns the previous status. An
// engine that does not answer keeps its last status but is not ready.
func (a *Agent) storeStatus(sets engine.Status, err error) engine.Status {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, wasReachable := s.engine, s.reachable
	s.reachable = err == nil
	if err == nil {
		s.engine = sets
	}
	if s.reachable != wasReachable || !reflect.DeepEqual(previous.Sets, s.engine.Sets) || previous.Started != s.engine.Started {
		s.notify()
		a.reconciler.trigger()
	}
	return previous
}

// progressLoop checks whether the engine makes progress and adjusts the pressure
// on transfers.
func (a *Agent) progressLoop(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !a.isEngine() {
			continue
		}
		a.checkFullBatch()
		a.probe(ctx)
		a.adjustPressure()
	}
}

// probe requests one token if the engine has been idle or without progress for
// too long.
func (a *Agent) probe(ctx context.Context) {
	set, ok := a.probeTarget()
	if !ok {
		return
	}
	start := time.Now()
	pctx, cancel := context.WithTimeout(ctx, a.cfg.Settings.ProbeTimeout.Std())
	err := a.engine.Probe(pctx, set)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if a.recordProbe(err == nil, start) {
		a.log.WithField("progress", err == nil).WithError(err).Warn("engine_progress_changed")
		a.state.notify()
	}
}

// recordProbe records the result of a probe and reports whether the health has
// changed. A failed probe is ignored while the batch is full of requests without
// streaming, because the probe may have waited for a free slot.
func (a *Agent) recordProbe(ok bool, start time.Time) (changed bool) {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok && s.gate.InFlight() >= s.gate.Capacity() && !s.health.hasStream() {
		return false
	}
	return s.health.recordProbe(ok, start, time.Now())
}

// checkFullBatch detects a hang while the batch is full and a probe would have
// to wait for a free slot.
func (a *Agent) checkFullBatch() {
	s := a.state
	s.mu.Lock()
	hung := s.gate.InFlight() >= s.gate.Capacity() && s.health.checkOverdue(time.Now())
	s.mu.Unlock()
	if hung {
		a.log.WithField("progress", false).Warn("engine_progress_changed")
		s.notify()
	}
}

func (a *Agent) probeTarget() (wire.LoadedSet, bool) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	sets := a.state.servable()
	if !a.state.reachable || len(sets) == 0 || !a.state.health.needsProbe(time.Now()) {
		return wire.LoadedSet{}, false
	}
	return sets[0], true
}

func (a *Agent) adjustPressure() {
	transferring := a.reconciler.transferring()
	a.state.mu.Lock()
	pressure := a.state.health.throttle.update(transferring)
	a.state.mu.Unlock()
	a.cfg.Transfer.SetPressure(pressure)
}
