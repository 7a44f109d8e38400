package metrics

import "github.com/prometheus/client_golang/prometheus"

// ReasonCounter counts events by a reason R. Every known reason is visible from the
// start, with 0, so that an alert can tell "never happened" from "not there".
type ReasonCounter[R ~string] struct{ vector *prometheus.CounterVec }

// NewReasonCounter registers a counter with the label reason. A reason outside the
// known ones is counted too, and appears with its first event. A nil
// Registerer leaves the counter unregistered.
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
