package agent

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
)

type agentMetrics struct {
	refusals  *prometheus.CounterVec
	failures  *prometheus.CounterVec
	orders    *prometheus.CounterVec
	completed prometheus.Counter
	crashes   prometheus.Counter
}

func newMetrics(registry prometheus.Registerer, s *state, bytes *transport.ByteCounts) *agentMetrics {
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: metrics.Namespace, Subsystem: "agent", Name: name, Help: help}
	}
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts(opts(name, help)), labels)
	}
	m := &agentMetrics{
		refusals:  vector("refusals_total", "Attempts refused before start, by reason.", "reason"),
		failures:  vector("attempt_failures_total", "Attempts without a whole answer, by reason.", "reason"),
		orders:    vector("orders_total", "Orders to the engine, by action and result.", "action", "result"),
		completed: prometheus.NewCounter(prometheus.CounterOpts(opts("attempts_completed_total", "Attempts with a whole answer."))),
		crashes:   prometheus.NewCounter(prometheus.CounterOpts(opts("backend_crashes_total", "Crashes of the engine or service with requests in flight."))),
	}
	gauge := func(name, help string, value func() float64) prometheus.GaugeFunc {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts(opts(name, help)), func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return value()
		})
	}
	payload := func(direction string, value *atomic.Int64) prometheus.CounterFunc {
		o := opts("control_bytes_total", "Payload of the sessions to control replicas.")
		o.ConstLabels = prometheus.Labels{"direction": direction}
		return prometheus.NewCounterFunc(prometheus.CounterOpts(o), func() float64 { return float64(value.Load()) })
	}
	registry.MustRegister(
		payload("sent", &bytes.Sent), payload("received", &bytes.Received),
		m.refusals, m.failures, m.orders, m.completed, m.crashes,
		gauge("in_flight", "Attempts in progress.", func() float64 { return float64(s.gate.InFlight()) }),
		gauge("revision", "Catalogue revision acted on.", func() float64 { return float64(s.catalogue.Revision) }),
		gauge("lease_seconds", "Time left of the confirmation lease; negative once it has expired.", func() float64 {
			if until := s.lease.Until(); !until.IsZero() {
				return time.Until(until).Seconds()
			}
			return 0
		}),
		gauge("transfer_pressure", "Pressure of token latency on transfers, 0 to 1.", func() float64 { return s.health.gaps.pressure }),
	)
	return m
}
