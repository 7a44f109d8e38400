package agent

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbhill/rhubarbhill/confirm"
	"github.com/rhubarbhill/rhubarbhill/gate"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// refusalReasons lists the reasons for refusing an attempt.
var refusalReasons = []gate.Reason{
	gate.Draining, gate.AtCapacity, gate.SetNotLoaded, gate.ExclusiveBusy, gate.ExclusiveRunning,
	gate.AlreadySeen, gate.AttemptFenced, gate.TooOld, gate.TooManyEntries,
	gate.Reason(confirm.NeverConfirmed), gate.Reason(confirm.LeaseExpired), gate.Reason(confirm.Behind),
	reasonNoCatalogue, reasonNotReady, reasonModelWithdrawn, reasonUnreachable, reasonCallerGone, reasonInvalid,
	reasonGateRestarted, wire.ReasonBackendBroken,
}

// failureReasons lists the results of failureReason.
var failureReasons = []string{"cancelled", "deadline", "caller-gone", "wrong-set", "crossed", "too-large", "cut-short"}

type agentMetrics struct {
	refusals  metrics.ReasonCounter[gate.Reason]
	failures  metrics.ReasonCounter[string]
	orders    *prometheus.CounterVec
	completed prometheus.Counter
	crashes   prometheus.Counter
}

func newMetrics(registry prometheus.Registerer, s *state, bytes *transport.ByteCounts, weights WeightsTransfer) *agentMetrics {
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: metrics.Namespace, Subsystem: "agent", Name: name, Help: help}
	}
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts(opts(name, help)), labels)
	}
	m := &agentMetrics{
		refusals:  metrics.NewReasonCounter(registry, "agent", "refusals_total", "Attempts refused, by reason.", refusalReasons),
		failures:  metrics.NewReasonCounter(registry, "agent", "attempt_failures_total", "Attempts without a whole answer, by reason.", failureReasons),
		orders:    vector("orders_total", "Orders to the engine, by action and result.", "action", "result"),
		completed: prometheus.NewCounter(prometheus.CounterOpts(opts("attempts_completed_total", "Attempts with a whole answer."))),
		crashes:   prometheus.NewCounter(prometheus.CounterOpts(opts("backend_crashes_total", "Crashes of the engine or service with requests in flight."))),
	}
	for _, action := range []string{"load", "unload"} {
		for _, result := range []string{"done", "failed"} {
			m.orders.WithLabelValues(action, result)
		}
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
	transferred := func(source string, value func(wire.RolloutProgress) int64) prometheus.GaugeFunc {
		o := opts("transfer_bytes", "Bytes fetched for the sets in transfer or held, by source.")
		o.ConstLabels = prometheus.Labels{"source": source}
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts(o), func() float64 {
			total := int64(0)
			if weights != nil {
				for _, p := range weights.Progress() {
					total += value(p)
				}
			}
			return float64(total)
		})
	}
	registry.MustRegister(
		transferred("origin", func(p wire.RolloutProgress) int64 { return p.OriginBytes }),
		transferred("peer", func(p wire.RolloutProgress) int64 { return p.PeerBytes }),
		payload("sent", &bytes.Sent), payload("received", &bytes.Received),
		m.orders, m.completed, m.crashes,
		gauge("in_flight", "Attempts in progress.", func() float64 { return float64(s.gate.InFlight()) }),
		gauge("revision", "Catalogue revision acted on.", func() float64 { return float64(s.catalogue.Revision) }),
		gauge("lease_seconds", "Time left of the confirmation lease; negative once it has expired.", func() float64 {
			if until := s.lease.ServeUntil(); !until.IsZero() {
				return time.Until(until).Seconds()
			}
			return 0
		}),
		gauge("transfer_pressure", "Pressure of token latency on transfers, 0 to 1.", func() float64 { return s.health.throttle.pressure }),
	)
	return m
}
