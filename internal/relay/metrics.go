package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

const subsystem = "relay"

// latencyBuckets cover latency objectives of 150 to 500 ms and timeouts of up to 6 s.
var latencyBuckets = []float64{0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2, 3, 4, 6}

type relayMetrics struct {
	refused, retried, notRepeated metrics.ReasonCounter[Reason]
	stray, ejected                prometheus.Counter
	// abandoned counts sends to superseded weights that did not begin in time.
	abandoned prometheus.Counter
	// delays counts the times at which this process did not run, and delaySeconds how long.
	delays, delaySeconds prometheus.Counter
	crashes              prometheus.Counter
	quarantined          prometheus.Counter   // parts
	suspectParts         *prometheus.GaugeVec // by state
	// rateLimited, malformedRateLimit, pauses and malformedPauses count answers.
	rateLimited, malformedRateLimit, pauses, malformedPauses prometheus.Counter
	// retryBudget counts the tokens of the retry budget, by service and event.
	retryBudget *prometheus.CounterVec
	// coldEndpoints and coldRefused are by service.
	coldEndpoints *prometheus.GaugeVec
	coldRefused   *prometheus.CounterVec
	// takeovers counts the searches for another endpoint for a silent one's stream.
	takeovers *prometheus.CounterVec
	// retryBurst is the share of the burst of the retry budget that this entry may use, and
	// retrySharers the number of entries that it rests on.
	retryBurst, retrySharers prometheus.Gauge
	evacuatedZones           prometheus.Gauge
	ended                    *prometheus.CounterVec
	first, total             *prometheus.HistogramVec
}

func newRelayMetrics(r prometheus.Registerer) *relayMetrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help})
	}
	latency := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help, Buckets: latencyBuckets,
		}, []string{"kind"})
	}
	m := &relayMetrics{
		refused:      metrics.NewReasonCounter(r, subsystem, "refused_total", "Requests that ended without an endpoint's whole answer, by reason.", RefusalReasons()),
		retried:      metrics.NewReasonCounter(r, subsystem, "retried_total", "Sends of a request beyond its first, by reason.", RetryReasons()),
		notRepeated:  metrics.NewReasonCounter(r, subsystem, "not_repeated_total", "Requests that may have run and were not sent again after their endpoint failed, by reason.", NotRepeatedReasons()),
		delays:       counter("process_delays_total", "Times at which this process did not run for half a second or more."),
		delaySeconds: counter("process_delay_seconds_total", "Time for which this process did not run, of delays of half a second or more."),
		stray:        counter("stray_answers_total", "Answers that belong to another request, or to none."),
		abandoned:    counter("abandoned_sends_total", "Requests sent to superseded weights and given up because they had not begun in time. They may reach the endpoint later."),
		ejected:      counter("ejections_total", "Endpoints taken out for a time after failures."),
		crashes:      counter("crashes_total", "Requests without an event whose endpoint crashed."),
		quarantined:  counter("parts_quarantined_total", "Parts of requests that were quarantined because requests with them crash endpoints."),
		suspectParts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: "suspect_parts", Help: "Parts of requests that are quarantined, or suspect of crashing endpoints.",
		}, []string{"state"}),
		rateLimited:        counter("rate_limited_answers_total", "Answers in which an endpoint named a request rate limit."),
		malformedRateLimit: counter("malformed_rate_limits_total", "Answers with a request rate limit that could not be decoded."),
		pauses:             counter("pauses_named_total", "Answers 503 in which an endpoint named a pause."),
		malformedPauses:    counter("malformed_pauses_total", "Answers 503 with a pause that could not be decoded."),
		retryBudget: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: "retry_budget_total",
			Help: "Tokens of the retry budget: earned by requests, spent on retries, returned by retries that were not sent, and refused because none was left.",
		}, []string{"service", "event"}),
		takeovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: "takeovers_total", Help: "Streams whose endpoint was silent and for which another one was sought, by outcome.",
		}, []string{"outcome"}),
		coldEndpoints: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: "cold_endpoints", Help: "Endpoints that are cold and get requests by permit only, by service.",
		}, []string{"service"}),
		coldRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: "cold_permits_refused_total", Help: "Requests for a permit that a broker refused while endpoints of the service were cold, by service.",
		}, []string{"service"}),
		retryBurst:     gauge("retry_budget_burst", "Retries beyond its earned ones that this entry may send in a burst, by service."),
		retrySharers:   gauge("retry_budget_sharers", "Entries among which the burst of the retry budget is divided."),
		evacuatedZones: gauge("evacuated_zones", "Zones to which this entry sends nothing because they are evacuated."),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: "ended_total", Help: "Requests by kind of route and outcome.",
		}, []string{"kind", "outcome"}),
		first: latency("first_event_seconds", "Time from a request's arrival to its first event or answer."),
		total: latency("request_seconds", "Time from a request's arrival to its end."),
	}
	r.MustRegister(m.delays, m.delaySeconds, m.stray, m.ejected, m.abandoned, m.crashes, m.quarantined, m.suspectParts, m.rateLimited, m.malformedRateLimit, m.pauses, m.malformedPauses,
		m.retryBudget, m.coldEndpoints, m.coldRefused, m.takeovers, m.retryBurst, m.retrySharers, m.evacuatedZones, m.ended, m.first, m.total)
	return m
}

// Events of the retry budget, as values of a label.
const (
	budgetEarned   = "earned"
	budgetSpent    = "spent"
	budgetRefused  = "refused"
	budgetReturned = "returned"
)

// Outcomes of the search for another endpoint for a stream whose endpoint is silent.
const (
	takeoverDone    = "taken-over"
	takeoverStopped = "endpoint-continued"
	takeoverFailed  = "no-endpoint"
)

func (m *relayMetrics) observe(kind routing.Kind, outcome string, total, first time.Duration) {
	label := kind.String()
	m.ended.WithLabelValues(label, outcome).Inc()
	m.total.WithLabelValues(label).Observe(total.Seconds())
	if first > 0 {
		m.first.WithLabelValues(label).Observe(first.Seconds())
	}
}
