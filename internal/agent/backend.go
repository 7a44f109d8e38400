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

// refreshEngine asks for a new report soon.
func (a *Agent) refreshEngine() {
	select {
	case a.pollEngine <- struct{}{}:
	default:
	}
}

// engineLoop keeps the report of the backend up to date.
func (a *Agent) engineLoop(ctx context.Context) {
	ticker := time.NewTicker(enginePollInterval)
	defer ticker.Stop()
	for {
		a.pollBackend(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.pollEngine:
		}
	}
}

// pollBackend takes in one report and looks for a crash since the last one.
func (a *Agent) pollBackend(ctx context.Context) {
	asked := a.crashes.mark()
	rctx, cancel := context.WithTimeout(ctx, enginePollTimeout)
	defer cancel()
	sets, err := a.reportOf(rctx)
	if ctx.Err() != nil {
		return
	}
	previous := a.takeReport(sets, err)
	restarted := err == nil && previous.Started != 0 && sets.Started != previous.Started
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	switch {
	case restarted || refused:
		a.crashes.backendCrashed(ctx, previous.Started)
	case err == nil:
		a.crashes.backendAlive(asked)
	}
}

func (a *Agent) reportOf(ctx context.Context) (engine.Sets, error) {
	if a.isEngine() {
		return a.engine.Sets(ctx)
	}
	backend, err := url.Parse(a.cfg.Settings.Backend)
	if err != nil {
		return engine.Sets{}, err
	}
	conn, err := network.OrSystem(a.cfg.Network).DialContext(ctx, "tcp", backend.Host)
	if err != nil {
		return engine.Sets{}, err
	}
	return engine.Sets{}, conn.Close()
}

// takeReport stores a report and returns the one before. An engine that does
// not answer keeps its last report, but is not ready.
func (a *Agent) takeReport(sets engine.Sets, err error) engine.Sets {
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
		a.orders.wake()
	}
	return previous
}

// progressLoop judges the engine by its progress and sets the pressure on
// transfers.
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
		a.judgeFullBatch()
		a.probe(ctx)
		a.adjustPressure()
	}
}

// probe generates one token when the engine is idle or suspicious.
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
	if a.judge(err == nil, start) {
		a.log.WithField("progress", err == nil).WithError(err).Warn("engine_progress_changed")
		a.state.notify()
	}
}

// judge takes in the result of a probe. A failed probe says nothing while the
// batch is full of requests whose tokens are not seen: it may have had to wait.
func (a *Agent) judge(ok bool, start time.Time) (changed bool) {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok && s.gate.InFlight() >= s.gate.Capacity() && !s.health.visible() {
		return false
	}
	return s.health.probed(ok, start, time.Now())
}

// judgeFullBatch notices a hang that a probe cannot.
func (a *Agent) judgeFullBatch() {
	s := a.state
	s.mu.Lock()
	hung := s.gate.InFlight() >= s.gate.Capacity() && s.health.overdue(time.Now())
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
	if !a.state.reachable || len(sets) == 0 || !a.state.health.suspicious(time.Now()) {
		return wire.LoadedSet{}, false
	}
	return sets[0], true
}

func (a *Agent) adjustPressure() {
	transferring := a.orders.transferring()
	a.state.mu.Lock()
	pressure := a.state.health.gaps.next(transferring)
	a.state.mu.Unlock()
	a.cfg.Weights.SetPressure(pressure)
}
