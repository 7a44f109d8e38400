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

// Guards against an old version that stops before the new one is loaded, and
// against requests in progress that a switch interrupts.
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

// Guards against a withdrawn model that is served until its unload, and against
// an unload that interrupts requests in progress.
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

// Guards against fencing tokens that an engine refuses after an agent restart,
// and against loading again what the engine already holds.
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

// Guards against an agent stopped between verify, order and read-back: the next
// one loads exactly what is missing.
func TestRestartAroundAnOrder(t *testing.T) {
	for _, step := range []string{"verified", "ordered", "loaded"} {
		t.Run(step, func(t *testing.T) {
			reached := make(chan struct{}, 8)
			runHarness(t, func(r *harness) {
				r.settings.OrderTimeout = settings.Duration(5 * time.Second)
				switch step {
				case "verified":
					r.transfer.release = make(chan struct{})
				case "ordered": // lost on the way
					r.engine.OnOrder = func(engine.Order) int { reached <- struct{}{}; time.Sleep(8 * time.Second); return 500 }
				case "loaded": // done, but the answer is lost
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

// Guards against orders without a lease or a reason: an engine that ignores
// tokens must get none from an agent that is cut off, resumed from a pause, or
// behind, and none for a set that was withdrawn meanwhile.
func TestNoOrderWithoutLease(t *testing.T) {
	cases := map[string]func(r *harness){
		"cut off": func(r *harness) { r.net.Isolate(agentHost, []string{"c0", "c1", "c2"}, true) },
		"behind":  func(r *harness) { r.changeControls(func(c *agenttest.Control) { c.Revision = 9 }) },
		"paused across its lease after the first check": func(r *harness) {
			r.engine.Change(func(e *agenttest.Engine) { e.ReportDelay = 4 * time.Second })
			close(r.transfer.release)
			time.Sleep(100 * time.Millisecond) // the order waits for a report
			r.net.Isolate(agentHost, []string{"c0", "c1", "c2", "c3"}, true)
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

// Guards against a set that counts as live because an order was answered: only
// what the engine reports afterwards does. A refused order is repeated.
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
					is.True(r.transfer.fetches() > 1) // verified again
				}
			})
		})
	}
}

// Guards against a late switch that an agent does not notice: an order delayed
// past its timeout takes effect, and the agent goes by the engine's report.
func TestDelayedOrderIsNoticed(t *testing.T) {
	runHarness(t, func(r *harness) { r.settings.OrderTimeout = settings.Duration(2 * time.Second) }, func(r *harness) {
		is := is.New(r.t)
		r.engine.Change(func(e *agenttest.Engine) {
			e.OnOrder = func(engine.Order) int { time.Sleep(4 * time.Second); return 0 }
		})
		r.setCatalogue(testCatalogue(2, "2"))
		time.Sleep(3 * time.Second)
		is.True(r.send(setID("1")).complete()) // still the old one
		time.Sleep(5 * time.Second)
		is.True(r.send(setID("2")).complete())
		is.Equal(r.lastAnnouncement().Sets, []wire.LoadedSet{{Model: "m", Version: "2", SetID: setID("2")}})
	})
}

// Guards against transfers that slow live answers down, and against transfers
// that stay slow afterwards.
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
	fill(25 * time.Millisecond) // 1.25 times the quiet baseline
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
