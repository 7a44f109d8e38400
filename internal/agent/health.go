package agent

import (
	"context"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/gate"
)

// health tracks the progress of an engine. It is part of state and guarded by
// the mutex of state.
type health struct {
	stallAfter    time.Duration
	probeInterval time.Duration

	running      map[gate.ID]*inFlightAttempt
	lastProgress time.Time // last token, unstreamed answer or successful probe
	failed       bool      // the engine makes no progress

	throttle transferThrottle
	// answerTimes holds the durations of the last unstreamed answers.
	answerTimes durationWindow
}

// inFlightAttempt is an attempt that runs on the backend.
type inFlightAttempt struct {
	started, lastToken time.Time
	setID              string
	stream             bool // the answer is streamed, so each token shows progress
	tokens             int
	cancel             context.CancelCauseFunc
}

func newHealth(s Settings) health {
	return health{
		stallAfter: s.StallAfter.Std(), probeInterval: s.ProbeInterval.Std(),
		running:  map[gate.ID]*inFlightAttempt{},
		throttle: transferThrottle{limit: s.TokenLatency.Std()},
	}
}

func (h *health) started(id gate.ID, f inFlightAttempt) { h.running[id] = &f }

// recordProgress records a token of a streamed attempt, or the complete answer
// of an unstreamed one.
func (h *health) recordProgress(id gate.ID, now time.Time) {
	h.lastProgress, h.failed = now, false
	f, ok := h.running[id]
	if !ok {
		return
	}
	if !f.stream {
		h.answerTimes.add(now.Sub(f.started))
	}
	if f.tokens > 0 {
		h.throttle.add(now.Sub(f.lastToken))
	}
	f.tokens++
	f.lastToken = now
}

func (h *health) ended(id gate.ID) { delete(h.running, id) }

// needsProbe reports whether the engine must be probed: it counts as failed, has
// running attempts but made no progress for stallAfter, or was idle for
// probeInterval.
func (h *health) needsProbe(now time.Time) bool {
	if h.failed {
		return true
	}
	since, limit := h.lastProgress, h.probeInterval
	if len(h.running) > 0 {
		oldest := h.oldestStart()
		if oldest.After(since) {
			since = oldest
		}
		limit = h.stallAfter
	}
	return now.Sub(since) >= limit
}

func (h *health) oldestStart() time.Time {
	var oldest time.Time
	for _, f := range h.running {
		if oldest.IsZero() || f.started.Before(oldest) {
			oldest = f.started
		}
	}
	return oldest
}

// recordProbe records the result of a probe that started at start. A failed
// probe is ignored if there was progress since then.
func (h *health) recordProbe(ok bool, start, now time.Time) (changed bool) {
	failed := !ok && !h.lastProgress.After(start)
	changed = failed != h.failed
	h.failed = failed
	if ok {
		h.lastProgress = now
	}
	return changed
}

// hasStream reports whether any running attempt is streamed.
func (h *health) hasStream() bool {
	for _, f := range h.running {
		if f.stream {
			return true
		}
	}
	return false
}

// inFlight returns the number of running attempts that are pinned to a set.
func (h *health) inFlight(setID string) int {
	n := 0
	for _, f := range h.running {
		if f.setID == setID {
			n++
		}
	}
	return n
}

const (
	answerSamples = 32
	// overdueFactor, times the longest of the last answers, is the time that a
	// full batch without streams may take until its next answer. If the limit
	// is too short for a batch of longer answers, the endpoint only refuses new
	// attempts until one of them ends.
	overdueFactor = 2
	// minOverdue prevents a short pause of the engine from counting as a hang
	// when answers are short.
	minOverdue = 2 * time.Second
)

// durationWindow is a ring buffer of the last samples.
type durationWindow struct {
	samples [answerSamples]time.Duration
	next    int
}

func (d *durationWindow) add(sample time.Duration) {
	d.samples[d.next%answerSamples] = sample
	d.next++
}

// longest returns the longest sample, or zero without samples.
func (d *durationWindow) longest() time.Duration { return slices.Max(d.samples[:]) }

// checkOverdue detects a hang of a full batch of unstreamed requests, where a
// probe would have to wait for a free slot and shows nothing. It marks the
// engine as failed and returns true if no request has ended for much longer
// than the last answers took. Without earlier answers to compare with, or if
// the engine has already failed, it returns false.
func (h *health) checkOverdue(now time.Time) bool {
	longest := h.answerTimes.longest()
	if h.failed || longest == 0 || len(h.running) == 0 || h.hasStream() {
		return false
	}
	since := h.lastProgress
	if oldest := h.oldestStart(); oldest.After(since) {
		since = oldest
	}
	h.failed = now.Sub(since) >= max(minOverdue, overdueFactor*longest)
	return h.failed
}

const (
	latencySamples   = 256
	pressureIncrease = 0.25
	pressureDecrease = 0.05
	// baselineTolerance is the factor over the baseline without transfers that
	// the design allows during a rollout.
	baselineTolerance = 1.1
	// baselineWeight is the weight of a new sample in the moving average.
	baselineWeight = 0.2
	// minLatencySamples is the minimum number of samples for a percentile.
	minLatencySamples = 20
	latencyQuantile   = 0.95
	// minLatencyLimit prevents jitter on very fast engines from slowing
	// transfers.
	minLatencyLimit = 5 * time.Millisecond
)

// transferThrottle derives the pressure on transfers, 0 to 1, from the times
// between tokens. During transfers, the pressure rises fast while the 95th
// percentile is above the limit. Otherwise it falls slowly.
type transferThrottle struct {
	limit    time.Duration
	samples  []time.Duration
	baseline time.Duration // moving average of the percentile without transfers
	pressure float64
}

func (t *transferThrottle) add(gap time.Duration) {
	if len(t.samples) < latencySamples {
		t.samples = append(t.samples, gap)
	}
}

// update evaluates the samples since the last call and returns the new pressure.
func (t *transferThrottle) update(transferring bool) float64 {
	if len(t.samples) < minLatencySamples {
		t.pressure = max(0, t.pressure-pressureDecrease)
		return t.pressure
	}
	slices.Sort(t.samples)
	p95 := t.samples[int(float64(len(t.samples))*latencyQuantile)]
	t.samples = t.samples[:0]
	if !transferring {
		t.updateBaseline(p95)
	}
	if transferring && p95 > t.effectiveLimit() {
		t.pressure = min(1, t.pressure+pressureIncrease)
	} else {
		t.pressure = max(0, t.pressure-pressureDecrease)
	}
	return t.pressure
}

func (t *transferThrottle) updateBaseline(p95 time.Duration) {
	if t.baseline == 0 {
		t.baseline = p95
		return
	}
	t.baseline += time.Duration(baselineWeight * float64(p95-t.baseline))
}

func (t *transferThrottle) effectiveLimit() time.Duration {
	if t.baseline == 0 {
		return t.limit
	}
	return min(t.limit, max(minLatencyLimit, time.Duration(baselineTolerance*float64(t.baseline))))
}
