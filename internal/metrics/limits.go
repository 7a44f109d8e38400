package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbhill/rhubarbhill/internal/memory"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

// NewGuard returns the guard of a process whose machine has the given memory, 0 if it is not
// set, and registers its metrics.
func NewGuard(r prometheus.Registerer, subsystem string, machine int64) *network.Guard {
	return NewGuards(r, subsystem, machine, 1)[0]
}

// NewGuards is like NewGuard for n groups of listeners, each of which has an equal part of the
// memory and descriptors. The metrics are those of all groups.
func NewGuards(r prometheus.Registerer, subsystem string, machine int64, n int) []*network.Guard {
	limited := NewReasonCounter(r, subsystem, "callers_limited_total", "Connections of callers closed and bodies given up because of a limit, by reason.", network.LimitReasons())
	guards := make([]*network.Guard, n)
	for i := range guards {
		budget := network.NewBudget(memory.ForCallers(machine) / int64(n))
		guards[i] = network.NewPartialGuard(budget, n, func(reason string) { limited.Inc(reason) })
	}
	if r != nil {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: Namespace, Subsystem: subsystem, Name: "caller_bytes", Help: "Bytes held for callers, of the memory budget.",
		}, func() float64 {
			var used int64
			for _, g := range guards {
				used += g.Budget().Used()
			}
			return float64(used)
		}))
	}
	return guards
}
