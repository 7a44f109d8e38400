package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

type entryMetrics struct {
	answers    *prometheus.CounterVec
	refusals   metrics.ReasonCounter[outcome.Reason]
	retries    metrics.ReasonCounter[outcome.Reason]
	dropped    metrics.ReasonCounter[outcome.Reason]
	resumed    prometheus.Counter
	inFlight   prometheus.Gauge
	firstToken prometheus.Histogram
	claims     prometheus.Histogram
}

func newMetrics(registry prometheus.Registerer) *entryMetrics {
	reasons := func(name, help string, known []outcome.Reason) metrics.ReasonCounter[outcome.Reason] {
		return metrics.NewReasonCounter(registry, "entry", name, help, known)
	}
	// The reason of an attempt becomes that of its request when the attempt may not
	// be retried.
	all := append(outcome.RefusalReasons(), outcome.AttemptReasons()...)
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Subsystem: "entry", Name: name, Help: help,
		}, labels)
	}
	histogram := func(name, help string, buckets []float64) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metrics.Namespace, Subsystem: "entry", Name: name, Help: help, Buckets: buckets,
		})
	}
	m := &entryMetrics{
		answers:  counter("answers_total", "Answers to callers by outcome and reason.", "outcome", "reason"),
		refusals: reasons("refusals_total", "Requests answered as not run, by reason.", all),
		retries:  reasons("retries_total", "Attempts repeated on another endpoint, by reason.", outcome.AttemptReasons()),
		dropped: reasons("dropped_answers_total", "Answers of endpoints dropped as not belonging to the attempt, by reason.",
			[]outcome.Reason{outcome.WrongAttempt, outcome.WrongSet, outcome.RepeatedToken, outcome.SkippedToken}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Subsystem: "entry", Name: "streams_resumed_total",
			Help: "Streams continued on another endpoint after their first token.",
		}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Subsystem: "entry", Name: "requests_in_flight",
			Help: "Requests of callers in progress.",
		}),
		firstToken: histogram("first_token_seconds", "Time from a request's arrival to its first event.", prometheus.ExponentialBuckets(0.01, 1.6, 14)),
		claims:     histogram("claim_seconds", "Time to commit a claim.", prometheus.ExponentialBuckets(0.001, 2, 12)),
	}
	if registry != nil {
		registry.MustRegister(m.answers, m.resumed, m.inFlight, m.firstToken, m.claims)
	}
	return m
}

func (m *entryMetrics) countAnswer(o outcome.Outcome, r outcome.Reason) {
	m.answers.WithLabelValues(string(o), string(r)).Inc()
}

func (m *entryMetrics) countRefusal(r outcome.Reason) { m.refusals.Inc(r) }
func (m *entryMetrics) countRetry(r outcome.Reason)   { m.retries.Inc(r) }
func (m *entryMetrics) countDropped(r outcome.Reason) { m.dropped.Inc(r) }
