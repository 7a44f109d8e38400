package agent

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/agent/agenttest"
	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against an old version that is no longer served before the new one is
// loaded, and against a switch that interrupts running attempts.
func TestChangedModelSwitchesAfterLoad(t *testing.T) {
	runHarness(t, func(r *harness) {
		r.engine.OnChat = func(w http.ResponseWriter, _ *http.Request, set string) {
			agenttest.WriteTokens(w, set, 0, 1)
			time.Sleep(5 * time.Second)
			agenttest.WriteTokens(w, set, 1, 2)
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}
	}, func(r *harness) {
		is := is.New(r.t)
		hold := make(chan struct{})
		r.transfer.setRelease(hold)
		r.setCatalogue(testCatalogue(2, "2"))
		time.Sleep(time.Second)
		id := r.nextID()
		var wg sync.WaitGroup
		wg.Go(func() { is.True(r.sendID(id, setID("1")).complete()) })
		time.Sleep(time.Second)
		close(hold)
		time.Sleep(time.Second)
		is.Equal(r.send(setID("1")).reason, "set-not-loaded")
		is.True(r.send(setID("2")).complete())
		wg.Wait()
		is.Equal(r.lastAnnouncement().Revision, uint64(2))
	})
}

// Guards against a withdrawn model that is served until it is unloaded, and
// against an unload that interrupts running attempts.
func TestWithdrawnModelIsRefusedAtOnceAndUnloadedLater(t *testing.T) {
	runHarness(t, func(r *harness) {
		r.engine.OnChat = func(w http.ResponseWriter, _ *http.Request, set string) {
			agenttest.WriteTokens(w, set, 0, 1)
			time.Sleep(4 * time.Second)
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}
	}, func(r *harness) {
		is := is.New(r.t)
		id := r.nextID()
		var wg sync.WaitGroup
		wg.Go(func() { is.True(r.sendID(id, setID("1")).complete()) })
		time.Sleep(time.Second)
		r.setCatalogue(testCatalogue(2, ""))
		time.Sleep(50 * time.Millisecond)
		is.Equal(r.send(setID("1")).reason, "model-withdrawn")
		time.Sleep(time.Second)
		is.Equal(len(r.engine.ReceivedOrders()), 1) // the load only
		wg.Wait()
		time.Sleep(2 * time.Second)
		is.Equal(r.engine.ReceivedOrders()[1].Action, engine.ActionUnload)
		is.Equal(len(r.lastAnnouncement().Sets), 0)
	})
}

// Guards against an agent that, after a restart, sends stale fencing tokens or
// loads a set that the engine has already loaded.
func TestRestartKeepsLoadedSetsAndRaisesToken(t *testing.T) {
	runHarness(t, nil, func(r *harness) {
		is := is.New(r.t)
		r.stop()
		r.start()
		time.Sleep(3 * time.Second)
		is.True(r.send(setID("1")).complete())
		is.Equal(len(r.engine.ReceivedOrders()), 1)
		r.setCatalogue(testCatalogue(2, "2"))
		time.Sleep(2 * time.Second)
		is.True(r.send(setID("2")).complete())
		is.True(r.engine.ReceivedOrders()[1].FencingToken > r.engine.ReceivedOrders()[0].FencingToken)
	})
}

// Guards against a missing or repeated load after an agent was killed once the
// set was verified, ordered or loaded: the next agent loads exactly what is
// missing.
func TestRestartAroundAnOrder(t *testing.T) {
	for _, step := range []string{"verified", "ordered", "loaded"} {
		t.Run(step, func(t *testing.T) {
			reached := make(chan struct{}, 8)
			runHarness(t, func(r *harness) {
				r.settings.OrderTimeout = settings.Duration(5 * time.Second)
				switch step {
				case "verified":
					r.transfer.release = make(chan struct{})
				case "ordered": // the order is lost
					r.engine.OnOrder = func(engine.Order) int { reached <- struct{}{}; time.Sleep(8 * time.Second); return 500 }
				case "loaded": // the order is carried out, but the response is lost
					r.engine.OnOrder = func(o engine.Order) int { reached <- struct{}{}; return 0 }
				}
			}, func(r *harness) {
				is := is.New(r.t)
				if step != "verified" {
					<-reached
				}
				r.kill()
				r.engine.Change(func(e *agenttest.Engine) { e.OnOrder = nil })
				r.transfer.setRelease(nil)
				r.start()
				time.Sleep(10 * time.Second)
				is.True(r.send(setID("1")).complete())
				want := map[string]int{"verified": 1, "ordered": 2, "loaded": 1}[step]
				is.Equal(len(r.engine.ReceivedOrders()), want)
			})
		})
	}
}

// Guards against orders to an engine that ignores fencing tokens, from an agent
// that is partitioned, resumed from a pause, or behind, or for a set that has
// been withdrawn in the meantime.
func TestNoOrderWithoutLease(t *testing.T) {
	cases := map[string]func(r *harness){
		"cut off": func(r *harness) { r.net.SetIsolated(agentHost, []string{"c0", "c1", "c2"}, true) },
		"behind":  func(r *harness) { r.changeControls(func(c *agenttest.Control) { c.Revision = 9 }) },
		"paused across its lease after the first check": func(r *harness) {
			r.engine.Change(func(e *agenttest.Engine) { e.ReportDelay = 4 * time.Second })
			close(r.transfer.release)
			time.Sleep(100 * time.Millisecond) // the order waits for the status
			r.net.SetIsolated(agentHost, []string{"c0", "c1", "c2", "c3"}, true)
		},
		"withdrawn after the first check": func(r *harness) {
			r.engine.Change(func(e *agenttest.Engine) { e.ReportDelay = time.Second })
			close(r.transfer.release)
			time.Sleep(100 * time.Millisecond)
			r.setCatalogue(testCatalogue(2, ""))
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(r *harness) { r.engine.EnforcesFencing = false; r.transfer.release = make(chan struct{}) }, func(r *harness) {
				is := is.New(r.t)
				fault(r)
				time.Sleep(3 * time.Second)
				select {
				case <-r.transfer.release:
				default:
					close(r.transfer.release)
				}
				time.Sleep(10 * time.Second)
				is.Equal(len(r.engine.ReceivedOrders()), 0)
			})
		})
	}
}

// Guards against a set that counts as live because its order succeeded,
// although the engine's status does not list it, and against a failed order
// that is not repeated.
func TestStatusAfterOrderDecides(t *testing.T) {
	for name, status := range map[string]int{
		"accepted but not done": http.StatusOK,
		"stale fence":           http.StatusConflict,
		"files refused":         http.StatusUnprocessableEntity,
		"engine error":          http.StatusInternalServerError,
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(r *harness) {
				r.engine.OnOrder = func(engine.Order) int { return status }
			}, func(r *harness) {
				is := is.New(r.t)
				is.Equal(r.send(setID("1")).reason, "set-not-loaded")
				is.Equal(len(r.lastAnnouncement().Sets), 0)
				r.engine.Change(func(e *agenttest.Engine) { e.OnOrder = nil })
				time.Sleep(5 * time.Second)
				is.True(r.send(setID("1")).complete())
				if status == http.StatusUnprocessableEntity {
					is.True(r.transfer.fetches() > 1) // the files were verified again
				}
			})
		})
	}
}

// Guards against an agent that does not detect the effect of an order that the
// engine carries out after the order timeout. The agent must follow the
// engine's status.
func TestDelayedOrderIsNoticed(t *testing.T) {
	runHarness(t, func(r *harness) { r.settings.OrderTimeout = settings.Duration(2 * time.Second) }, func(r *harness) {
		is := is.New(r.t)
		r.engine.Change(func(e *agenttest.Engine) {
			e.OnOrder = func(engine.Order) int { time.Sleep(4 * time.Second); return 0 }
		})
		r.setCatalogue(testCatalogue(2, "2"))
		time.Sleep(3 * time.Second)
		is.True(r.send(setID("1")).complete()) // still the old version
		time.Sleep(5 * time.Second)
		is.True(r.send(setID("2")).complete())
		is.Equal(r.lastAnnouncement().Sets, []wire.LoadedSet{{Model: "m", Version: "2", SetID: setID("2")}})
	})
}

// Guards against transfers that slow live answers down, and against transfers
// that stay slow after token latency has recovered.
func TestTransfersBackOffWhenTokensSlowDown(t *testing.T) {
	is := is.New(t)
	l := transferThrottle{limit: 72 * time.Millisecond}
	fill := func(gap time.Duration) {
		for range 100 {
			l.add(gap)
		}
	}
	fill(20 * time.Millisecond)
	is.Equal(l.update(false), 0.0)
	fill(25 * time.Millisecond) // 1.25 times the baseline without transfers
	is.Equal(l.update(true), pressureIncrease)
	for range 10 {
		fill(80 * time.Millisecond)
		l.update(true)
	}
	is.Equal(l.pressure, 1.0)
	for range 20 {
		fill(20 * time.Millisecond)
		l.update(true)
	}
	is.True(l.pressure < 0.01)
}
