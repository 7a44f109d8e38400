package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/operator"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
)

var (
	// ErrUnknownZone means that a zone is neither in the settings nor evacuated.
	ErrUnknownZone = wire.ErrUnknownZone
	// ErrLateOrder means that an order may have been overtaken by a newer one before this
	// replica read it, or that its caller has left. It was not proposed.
	ErrLateOrder = errors.New("the order may be late; send it again")
)

const (
	// orderSettleTime is the time between the receipt of an order and its proposal. The end of
	// a connection that its caller has closed, and a pause that has just ended, are noticed
	// within it. A longer time delays every acknowledgement, which is due within 1 s.
	orderSettleTime = 50 * time.Millisecond
	// orderPause is the shortest pause of the process that makes orders late. Operators wait
	// for 1 s for an answer, so the caller of an order that waited for less is still there.
	orderPause = 500 * time.Millisecond
	// orderDistrust is how long after a pause orders are refused. Orders that arrived during
	// the pause are read within milliseconds of its end; a process that was paused because
	// the machine is busy catches up within a second.
	orderDistrust = time.Second
	// pauseCheckInterval is the interval at which the process notices that it runs. It is far
	// below orderPause.
	pauseCheckInterval = 50 * time.Millisecond
	maxOrderBytes      = 4 << 10
)

// pauseDetector tells whether the process stood still recently. It compares both the monotonic
// and the wall clock, because the monotonic clock does not count a suspension of the machine.
type pauseDetector struct {
	mu      sync.Mutex
	last    time.Time // of the last Tick
	resumed time.Time // end of the last pause; zero if there was none
}

// Tick records that the process runs. It is called every pauseCheckInterval.
func (p *pauseDetector) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pausedSinceLast(now) {
		p.resumed = now
	}
	p.last = now
}

// pausedSinceLast reports whether the process stood still after the last Tick. The caller
// holds mu.
func (p *pauseDetector) pausedSinceLast(now time.Time) bool {
	if p.last.IsZero() {
		return false
	}
	return max(now.Sub(p.last), now.Round(0).Sub(p.last.Round(0))) >= orderPause
}

// Paused reports whether the process stands still now, as far as Tick tells, or did within
// orderDistrust.
func (p *pauseDetector) Paused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedSinceLast(now) || !p.resumed.IsZero() && now.Sub(p.resumed) < orderDistrust
}

// Run calls Tick until done is closed.
func (p *pauseDetector) Run(done <-chan struct{}) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		p.Tick(time.Now())
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// Answers to evacuation orders, as values of a label.
const (
	orderAccepted    = "accepted"
	orderRepeated    = "repeated"
	orderUnknownZone = "unknown-zone"
	orderLate        = "late"
	orderNotAccepted = "not-accepted"
	orderUnknown     = "unknown"
)

// Evacuate commits the start or the end of the evacuation of a zone. The context must end when
// the caller leaves. An order that is already in force is acknowledged again. It returns
// ErrUnknownZone for a zone that is not in the settings; after any other error, the order must
// be sent again.
func (d *Daemon) Evacuate(ctx context.Context, zone string, evacuate bool) error {
	result, err := d.orderEvacuation(ctx, zone, evacuate)
	answer := orderAccepted
	switch {
	case errors.Is(err, ErrUnknownZone):
		answer = orderUnknownZone
	case errors.Is(err, ErrLateOrder):
		answer = orderLate
	case errors.Is(err, ErrNotAccepted):
		answer = orderNotAccepted
	case err != nil:
		answer = orderUnknown
	case result.Repeated:
		answer = orderRepeated
	}
	d.metrics.evacuationOrders.WithLabelValues(answer).Inc()
	d.log.WithFields(log.Fields{
		"zone": zone, "evacuate": evacuate, "answer": answer, "revision": result.Number, "error": errorText(err),
	}).Info("evacuation_ordered")
	return err
}

func (d *Daemon) orderEvacuation(ctx context.Context, zone string, evacuate bool) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	// Read before anything else: whatever this replica learns from now on may be newer than
	// the order.
	known := d.replica.View().Evacuations
	known.Revision = max(known.Revision, d.knownEvacuations.Load())
	_, configured := d.settings.Zones[zone]
	if _, ordered := known.Zones[zone]; !configured && !ordered {
		return ledger.Result{}, oops.In("control").With("zone", zone).Wrap(ErrUnknownZone)
	}
	if d.pauses.Paused(time.Now()) {
		return ledger.Result{}, oops.In("control").Wrapf(ErrLateOrder, "this replica was paused")
	}
	if !pause(ctx.Done(), orderSettleTime) {
		return ledger.Result{}, oops.In("control").Wrapf(ErrLateOrder, "the caller has left")
	}
	if d.pauses.Paused(time.Now()) {
		return ledger.Result{}, oops.In("control").Wrapf(ErrLateOrder, "this replica was paused")
	}
	result, err := d.commit(ctx, ledger.Command{Evacuation: &ledger.SetEvacuation{Zone: zone, Evacuated: evacuate, KnownRevision: known.Revision}})
	// The leader may answer before this replica has applied the order. The next order, which
	// its caller sends after the answer, must not count as a late one.
	for held := d.knownEvacuations.Load(); result.Number > held && !d.knownEvacuations.CompareAndSwap(held, result.Number); {
		held = d.knownEvacuations.Load()
	}
	return result, err
}

// postEvacuation starts or ends the evacuation of a zone.
func (d *Daemon) postEvacuation(w http.ResponseWriter, r *http.Request) {
	var order operator.EvacuationOrder
	// Reading the body to its end lets the server notice that the caller leaves.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err == nil {
		err = json.Unmarshal(data, &order)
	}
	if err != nil {
		respond(w, http.StatusBadRequest, operator.NoteAnswer{Status: operator.NoteInvalid, Reason: err.Error()})
		return
	}
	err = d.Evacuate(r.Context(), order.Zone, order.Evacuate)
	switch {
	case err == nil:
		respond(w, http.StatusOK, operator.NoteAnswer{Status: operator.NoteAccepted})
	case errors.Is(err, ErrUnknownZone):
		respond(w, http.StatusUnprocessableEntity, operator.NoteAnswer{Status: operator.NoteRefused, Reason: err.Error()})
	case errors.Is(err, ErrLateOrder), errors.Is(err, ErrNotAccepted):
		respond(w, http.StatusServiceUnavailable, operator.NoteAnswer{Status: operator.NoteNotRun, Reason: err.Error()})
	default:
		respond(w, http.StatusGatewayTimeout, operator.NoteAnswer{Status: operator.NoteUnknown, Reason: err.Error()})
	}
}

// zoneEvacuations lists the evacuated zones for the status.
func zoneEvacuations(e ledger.Evacuations, now time.Time) []operator.ZoneEvacuation {
	var list []operator.ZoneEvacuation
	for _, zone := range e.Evacuated() {
		since := time.UnixMilli(e.Zones[zone].AtMs)
		list = append(list, operator.ZoneEvacuation{Zone: zone, Since: since.UTC(), AgeMs: max(0, now.Sub(since).Milliseconds())})
	}
	return list
}
