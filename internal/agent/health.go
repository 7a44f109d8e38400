package agent

import (
	"context"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/gate"
)

// health judges an engine by its progress. It is part of state and guarded by
// its lock.
type health struct {
	stallAfter    time.Duration
	probeInterval time.Duration

	running  map[gate.ID]*inFlightAttempt
	progress time.Time // last token, whole answer or successful probe
	failed   bool      // the last judgement

	throttle transferThrottle
	// answerTimes holds the durations of the last answers without stream.
	answerTimes durationWindow
}

// inFlightAttempt is an attempt in progress on the backend.
type inFlightAttempt struct {
	started, last time.Time
	setID         string
	stream        bool // its tokens are seen
	tokens        int
	cancel        context.CancelCauseFunc
}

func newHealth(s Settings) health {
	return health{
		stallAfter: s.StallAfter.Std(), probeInterval: s.ProbeInterval.Std(),
		running:  map[gate.ID]*inFlightAttempt{},
		throttle: transferThrottle{limit: s.TokenLatency.Std()},
	}
}

func (h *health) started(id gate.ID, f inFlightAttempt) { h.running[id] = &f }

// recordProgress records progress of an attempt.
func (h *health) recordProgress(id gate.ID, now time.Time) {
	h.progress, h.failed = now, false
	f, ok := h.running[id]
	if !ok {
		return
	}
	if !f.stream {
		h.answerTimes.add(now.Sub(f.started))
	}
	if f.tokens > 0 {
		h.throttle.add(now.Sub(f.last))
	}
	f.tokens++
	f.last = now
}

func (h *health) ended(id gate.ID) { delete(h.running, id) }

// needsProbe reports whether a probe has to decide: work in flight without a
// token for the stall time, or nothing known for the probe interval.
func (h *health) needsProbe(now time.Time) bool {
	if h.failed {
		return true
	}
	since, limit := h.progress, h.probeInterval
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

// recordProbe records the result of a probe that started at the given time. Tokens
// since then outweigh a failed probe.
func (h *health) recordProbe(ok bool, start, now time.Time) (changed bool) {
	failed := !ok && !h.progress.After(start)
	changed = failed != h.failed
	h.failed = failed
	if ok {
		h.progress = now
	}
	return changed
}

// hasStream reports whether the progress of an attempt in flight can be seen.
func (h *health) hasStream() bool {
	for _, f := range h.running {
		if f.stream {
			return true
		}
	}
	return false
}

// inFlight counts attempts in progress that are pinned to a set.
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
	// overdueFactor is how much longer than the longest of the last answers a
	// full batch without streams may take until its next answer. A batch of
	// longer answers than before is only closed to new work until one ends.
	overdueFactor = 2
	// minOverdue keeps short answers from making a pause of the engine a hang.
	minOverdue = 2 * time.Second
)

// durationWindow holds the last samples.
type durationWindow struct {
	samples [answerSamples]time.Duration
	next    int
}

func (d *durationWindow) add(sample time.Duration) {
	d.samples[d.next%answerSamples] = sample
	d.next++
}

// longest returns zero without samples.
func (d *durationWindow) longest() time.Duration { return slices.Max(d.samples[:]) }

// checkOverdue judges a full batch of requests whose tokens are not seen. A probe
// would have to wait for a slot there, so it says nothing. It reports whether
// the engine newly counts as failed: nothing has ended for far longer than the
// last answers took. Without an answer to compare with it judges nothing.
func (h *health) checkOverdue(now time.Time) bool {
	longest := h.answerTimes.longest()
	if h.failed || longest == 0 || len(h.running) == 0 || h.hasStream() {
		return false
	}
	since := h.progress
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
	// baselineTolerance is the growth over the quiet baseline that the design's
	// target allows during a rollout.
	baselineTolerance = 1.1
	// baselineWeight is the weight of a new sample in the moving average.
	baselineWeight = 0.2
	// minLatencySamples is the least number of gaps that give a percentile.
	minLatencySamples = 20
	latencyQuantile   = 0.95
	// minLatencyLimit keeps jitter on very fast engines from counting.
	minLatencyLimit = 5 * time.Millisecond
)

// transferThrottle turns times between tokens into a pressure on transfers: it rises
// fast while the 95th percentile is above the limit and falls slowly.
type transferThrottle struct {
	limit    time.Duration
	samples  []time.Duration
	baseline time.Duration // percentile without transfers
	pressure float64
}

func (t *transferThrottle) add(gap time.Duration) {
	if len(t.samples) < latencySamples {
		t.samples = append(t.samples, gap)
	}
}

// update evaluates the samples since the last call.
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
