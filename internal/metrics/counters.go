package metrics

import "github.com/prometheus/client_golang/prometheus"

// ReasonCounter counts events by a reason R. Every known reason is exported as 0
// from the start, so that an alert can distinguish "never happened" from "missing".
type ReasonCounter[R ~string] struct{ vector *prometheus.CounterVec }

// NewReasonCounter registers a counter with the label reason. A reason that is not
// in known is counted too, and is exported from its first event on. With a nil
// Registerer the counter is not registered.
func NewReasonCounter[R ~string](r prometheus.Registerer, subsystem, name, help string, known []R) ReasonCounter[R] {
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: Namespace, Subsystem: subsystem, Name: name, Help: help,
	}, []string{"reason"})
	for _, reason := range known {
		vector.WithLabelValues(string(reason))
	}
	if r != nil {
		r.MustRegister(vector)
	}
	return ReasonCounter[R]{vector}
}

// Inc counts one event.
func (c ReasonCounter[R]) Inc(reason R) { c.vector.WithLabelValues(string(reason)).Inc() }
