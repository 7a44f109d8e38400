package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/internal/operator"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/raft"
)

const subsystem = "control"

// daemonMetrics holds the counters of the daemon.
type daemonMetrics struct {
	notes, proposals *prometheus.CounterVec
	evacuationOrders *prometheus.CounterVec
	malformed        prometheus.Counter
}

func newDaemonMetrics(r *prometheus.Registry) *daemonMetrics {
	counters := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help,
		}, []string{label})
	}
	m := &daemonMetrics{
		notes:            counters("notes_total", "Submitted notes by answer.", "answer"),
		proposals:        counters("proposals_total", "Proposals of entries and agents by answer.", "answer"),
		evacuationOrders: counters("evacuation_orders_total", "Orders to start or end the evacuation of a zone, by answer.", "answer"),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: "malformed_messages_total",
			Help: "Messages that could not be decoded.",
		}),
	}
	for _, answer := range []string{
		operator.NoteAccepted, operator.NoteRefused, operator.NoteConflict, operator.NoteInvalid, operator.NoteUnknown, operator.NoteNotRun,
	} {
		m.notes.WithLabelValues(answer)
	}
	for _, answer := range []string{wire.ProposeCommitted, wire.ProposeNotRun, wire.ProposeUnknown} {
		m.proposals.WithLabelValues(answer)
	}
	for _, answer := range []string{orderAccepted, orderRepeated, orderUnknownZone, orderLate, orderNotAccepted, orderUnknown} {
		m.evacuationOrders.WithLabelValues(answer)
	}
	r.MustRegister(m.notes, m.proposals, m.evacuationOrders, m.malformed)
	return m
}

// registerGauges registers gauges that read the published view.
func (m *daemonMetrics) registerGauges(r *prometheus.Registry, d *Daemon) {
	gauge := func(name, help string, value func(v *View) float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help,
		}, func() float64 { return value(d.replica.View()) }))
	}
	boolValue := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	gauge("revision", "Last accepted note.", func(v *View) float64 { return float64(v.Catalogue.Revision) })
	gauge("term", "Raft term.", func(v *View) float64 { return float64(v.Raft.Term) })
	gauge("commit_index", "Committed log index.", func(v *View) float64 { return float64(v.Raft.Commit) })
	gauge("leader", "1 while this replica leads.", func(v *View) float64 { return boolValue(v.Raft.Role == raft.Leader) })
	gauge("voters", "Voters of the newest membership.", func(v *View) float64 { return float64(len(v.Raft.Membership.Voters)) })
	gauge("learners", "Learners of the newest membership.", func(v *View) float64 { return float64(len(v.Raft.Membership.Learners)) })
	gauge("evacuated_zones", "Zones that are evacuated.", func(v *View) float64 { return float64(len(v.Evacuations.Evacuated())) })
	gauge("disk_failed", "1 while this replica cannot store anything.", func(v *View) float64 { return boolValue(v.DiskError != nil) })
	gauge("claims", "Claims within retention.", func(v *View) float64 { return float64(v.LedgerSizes.Claims) })
	gauge("expired_keys", "Keys remembered past retention.", func(v *View) float64 { return float64(v.LedgerSizes.ExpiredKeys) })
	gauge("suspects", "Suspected and quarantined requests.", func(v *View) float64 { return float64(v.LedgerSizes.Suspects) })
	gauge("endpoints", "Endpoints present.", func(*View) float64 { return float64(len(d.hub.LiveEndpoints())) })
}
