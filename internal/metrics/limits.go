package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbhill/rhubarbhill/internal/memory"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

// NewGuard returns the guard of a process whose machine has the given memory, 0 if it is not
// set, and registers its metrics.
func NewGuard(r prometheus.Registerer, subsystem string, machine int64) *network.Guard {
	limited := NewReasonCounter(r, subsystem, "callers_limited_total", "Connections of callers closed and bodies given up because of a limit, by reason.", network.LimitReasons())
	budget := network.NewBudget(memory.ForCallers(machine))
	if r != nil {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: Namespace, Subsystem: subsystem, Name: "caller_bytes", Help: "Bytes held for callers, of the memory budget.",
		}, func() float64 { return float64(budget.Used()) }))
	}
	return network.NewGuard(budget, func(reason string) { limited.Inc(reason) })
}
