package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

const (
	// stopMargin is the time between the end of the drain and that of the grace period.
	stopMargin = 600 * time.Millisecond
	// cutTimeout is how long requests that are cut may take to send an answer. They do so
	// within milliseconds; the rest of stopMargin is for the end of the process.
	cutTimeout = 250 * time.Millisecond
	// drainAccept is how long a draining relay accepts requests while other entries are
	// ready. It covers the time for which most callers cache addresses, plus their
	// lookups.
	drainAccept = 1300 * time.Millisecond
	// drainAcceptAlone applies if no other entry is ready. It leaves a stream of usual
	// length time to end within the grace period.
	drainAcceptAlone  = 2800 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// drainRetryAfter is the retry delay for a request that a draining relay refuses. The
	// caller opens a connection to another entry, which can serve it at once.
	drainRetryAfter = 50 * time.Millisecond
)

// errGracePeriodOver is the cause with which the contexts of requests are cancelled that
// outlast the drain.
var errGracePeriodOver = errors.New("grace period is over")

// drain announces that this entry is draining and still accepts requests from callers that
// cached its address. Then it closes the listener and waits for the requests in progress
// and those on connections that are still open. Those that outlast the drain are cancelled
// and get an answer that says so, unless their answer has begun.
func (d *Daemon) drain(callers *network.DrainServer, cut context.CancelCauseFunc) {
	begin := time.Now()
	end := begin.Add(d.settings.Grace.Std() - stopMargin)
	d.draining.Store(true)
	d.fleet.Announce(d.process(d.fleet.Table() != nil))
	d.log.Info("draining")
	d.handler.drain.Store(&drainPhase{begin: begin, end: end, accepting: true})
	callers.StartDrain()
	for time.Since(begin) < d.acceptPeriod() {
		time.Sleep(drainPollInterval)
	}
	d.handler.drain.Store(&drainPhase{begin: begin, end: end})
	d.fleet.Announce(d.process(false))
	d.log.Info("no_more_callers")
	err := shutdownBy(end, callers)
	if err == nil {
		return
	}
	d.log.WithError(err).Warn("requests_cut_by_stop")
	cut(errGracePeriodOver)
	_ = shutdownBy(end.Add(cutTimeout), callers) // Run closes what is left
}

func shutdownBy(deadline time.Time, s *network.DrainServer) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return s.Shutdown(ctx)
}

// acceptPeriod returns how long requests are accepted after a stop signal: as long as
// callers may cache the address, and longer if no other entry is ready.
func (d *Daemon) acceptPeriod() time.Duration {
	for _, p := range d.fleet.Processes() {
		if p.Name != d.settings.Instance && p.Ready && !p.Draining {
			return min(drainAccept, d.settings.Grace.Std()/4)
		}
	}
	return min(drainAcceptAlone, d.settings.Grace.Std()/3)
}

// drainPhase is the state of a drain.
type drainPhase struct {
	begin, end time.Time
	accepting  bool // callers that cached the address may still come
}

// phase returns the name of the phase for logs.
func (p *drainPhase) phase() string {
	if p.accepting {
		return "accepting"
	}
	return "finishing"
}

// refuseLate refuses a request that arrives during a drain and could outlast it. A request that
// cannot is served: that is sooner for its caller than a retry, and the drain waits for it.
// During the accept period, one that may be repeated is served as well: it rarely takes its whole
// time, and its caller can send it again if it does.
func (h *handler) refuseLate(q *request) *refusal {
	d := h.drain.Load()
	if d == nil || !q.deadline.After(d.end) || d.accepting && q.route.Repeatable() {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: Draining, retryAfter: drainRetryAfter}
}

// cutByStop reports whether a request was cancelled because it outlasted the drain.
func (q *request) cutByStop() bool { return errors.Is(context.Cause(q.ctx), errGracePeriodOver) }
