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
	run(t, func(r *rig) {
		r.engine.Chat = func(w http.ResponseWriter, _ *http.Request, set string) {
			agenttest.Tokens(w, set, 0, 1)
			time.Sleep(5 * time.Second)
			agenttest.Tokens(w, set, 1, 2)
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}
	}, func(r *rig) {
		is := is.New(r.t)
		hold := make(chan struct{})
		r.weights.setHold(hold)
		r.accept(testCatalogue(2, "2"))
		time.Sleep(time.Second)
		id := r.nextID()
		var wg sync.WaitGroup
		wg.Go(func() { is.True(r.askID(id, setID("1")).whole()) })
		time.Sleep(time.Second)
		close(hold)
		time.Sleep(time.Second)
		is.Equal(r.ask(setID("1")).reason, "set-not-loaded")
		is.True(r.ask(setID("2")).whole())
		wg.Wait()
		is.Equal(r.last().Revision, uint64(2))
	})
}

// Guards against a withdrawn model that is served until its unload, and against
// an unload that interrupts requests in progress.
func TestWithdrawnModelIsRefusedAtOnceAndUnloadedLater(t *testing.T) {
	run(t, func(r *rig) {
		r.engine.Chat = func(w http.ResponseWriter, _ *http.Request, set string) {
			agenttest.Tokens(w, set, 0, 1)
			time.Sleep(4 * time.Second)
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}
	}, func(r *rig) {
		is := is.New(r.t)
		id := r.nextID()
		var wg sync.WaitGroup
		wg.Go(func() { is.True(r.askID(id, setID("1")).whole()) })
		time.Sleep(time.Second)
		r.accept(testCatalogue(2, ""))
		time.Sleep(50 * time.Millisecond)
		is.Equal(r.ask(setID("1")).reason, "model-withdrawn")
		time.Sleep(time.Second)
		is.Equal(len(r.engine.Ordered()), 1) // the load only
		wg.Wait()
		time.Sleep(2 * time.Second)
		is.Equal(r.engine.Ordered()[1].Action, engine.ActionUnload)
		is.Equal(len(r.last().Sets), 0)
	})
}

// Guards against fencing tokens that an engine refuses after an agent restart,
// and against loading again what the engine already holds.
func TestRestartAdoptsAndFencesAbove(t *testing.T) {
	run(t, nil, func(r *rig) {
		is := is.New(r.t)
		r.stop()
		r.start()
		time.Sleep(3 * time.Second)
		is.True(r.ask(setID("1")).whole())
		is.Equal(len(r.engine.Ordered()), 1)
		r.accept(testCatalogue(2, "2"))
		time.Sleep(2 * time.Second)
		is.True(r.ask(setID("2")).whole())
		is.True(r.engine.Ordered()[1].Fence > r.engine.Ordered()[0].Fence)
	})
}

// Guards against an agent stopped between verify, order and read-back: the next
// one loads exactly what is missing.
func TestRestartAroundAnOrder(t *testing.T) {
	for _, step := range []string{"verified", "ordered", "loaded"} {
		t.Run(step, func(t *testing.T) {
			reached := make(chan struct{}, 8)
			run(t, func(r *rig) {
				r.settings.OrderTimeout = settings.Duration(5 * time.Second)
				switch step {
				case "verified":
					r.weights.hold = make(chan struct{})
				case "ordered": // lost on the way
					r.engine.Order = func(engine.Order) int { reached <- struct{}{}; time.Sleep(8 * time.Second); return 500 }
				case "loaded": // done, but the answer is lost
					r.engine.Order = func(o engine.Order) int { reached <- struct{}{}; return 0 }
				}
			}, func(r *rig) {
				is := is.New(r.t)
				if step != "verified" {
					<-reached
				}
				r.kill()
				r.engine.Change(func(e *agenttest.Engine) { e.Order = nil })
				r.weights.setHold(nil)
				r.start()
				time.Sleep(10 * time.Second)
				is.True(r.ask(setID("1")).whole())
				want := map[string]int{"verified": 1, "ordered": 2, "loaded": 1}[step]
				is.Equal(len(r.engine.Ordered()), want)
			})
		})
	}
}

// Guards against orders without a lease or a reason: an engine that ignores
// tokens must get none from an agent that is cut off, resumed from a pause, or
// behind, and none for a set that was withdrawn meanwhile.
func TestNoOrderWithoutLease(t *testing.T) {
	cases := map[string]func(r *rig){
		"cut off": func(r *rig) { r.net.SetIsolated(agentHost, []string{"c0", "c1", "c2"}, true) },
		"behind":  func(r *rig) { r.each(func(c *agenttest.Control) { c.Revision = 9 }) },
		"paused across its lease after the first check": func(r *rig) {
			r.engine.Change(func(e *agenttest.Engine) { e.ReportDelay = 4 * time.Second })
			close(r.weights.hold)
			time.Sleep(100 * time.Millisecond) // the order waits for a report
			r.net.SetIsolated(agentHost, []string{"c0", "c1", "c2", "c3"}, true)
		},
		"withdrawn after the first check": func(r *rig) {
			r.engine.Change(func(e *agenttest.Engine) { e.ReportDelay = time.Second })
			close(r.weights.hold)
			time.Sleep(100 * time.Millisecond)
			r.accept(testCatalogue(2, ""))
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, func(r *rig) { r.engine.ChecksFence = false; r.weights.hold = make(chan struct{}) }, func(r *rig) {
				is := is.New(r.t)
				fault(r)
				time.Sleep(3 * time.Second)
				select {
				case <-r.weights.hold:
				default:
					close(r.weights.hold)
				}
				time.Sleep(10 * time.Second)
				is.Equal(len(r.engine.Ordered()), 0)
			})
		})
	}
}

// Guards against a set that counts as live because an order was answered: only
// what the engine reports afterwards does. A refused order is repeated.
func TestReadBackDecides(t *testing.T) {
	for name, status := range map[string]int{
		"accepted but not done": http.StatusOK,
		"stale fence":           http.StatusConflict,
		"files refused":         http.StatusUnprocessableEntity,
		"engine error":          http.StatusInternalServerError,
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(r *rig) {
				r.engine.Order = func(engine.Order) int { return status }
			}, func(r *rig) {
				is := is.New(r.t)
				is.Equal(r.ask(setID("1")).reason, "set-not-loaded")
				is.Equal(len(r.last().Sets), 0)
				r.engine.Change(func(e *agenttest.Engine) { e.Order = nil })
				time.Sleep(5 * time.Second)
				is.True(r.ask(setID("1")).whole())
				if status == http.StatusUnprocessableEntity {
					is.True(r.weights.fetches() > 1) // verified again
				}
			})
		})
	}
}

// Guards against a late switch that an agent does not notice: an order delayed
// past its timeout takes effect, and the agent goes by the engine's report.
func TestDelayedOrderIsNoticed(t *testing.T) {
	run(t, func(r *rig) { r.settings.OrderTimeout = settings.Duration(2 * time.Second) }, func(r *rig) {
		is := is.New(r.t)
		r.engine.Change(func(e *agenttest.Engine) {
			e.Order = func(engine.Order) int { time.Sleep(4 * time.Second); return 0 }
		})
		r.accept(testCatalogue(2, "2"))
		time.Sleep(3 * time.Second)
		is.True(r.ask(setID("1")).whole()) // still the old one
		time.Sleep(5 * time.Second)
		is.True(r.ask(setID("2")).whole())
		is.Equal(r.last().Sets, []wire.LoadedSet{{Model: "m", Version: "2", SetID: setID("2")}})
	})
}

// Guards against transfers that slow live answers down, and against transfers
// that stay slow afterwards.
func TestTransfersBackOffWhenTokensSlowDown(t *testing.T) {
	is := is.New(t)
	l := latencies{limit: 72 * time.Millisecond}
	fill := func(gap time.Duration) {
		for range 100 {
			l.add(gap)
		}
	}
	fill(20 * time.Millisecond)
	is.Equal(l.next(false), 0.0)
	fill(25 * time.Millisecond) // 1.25 times the quiet baseline
	is.Equal(l.next(true), pressureIncrease)
	for range 10 {
		fill(80 * time.Millisecond)
		l.next(true)
	}
	is.Equal(l.pressure, 1.0)
	for range 20 {
		fill(20 * time.Millisecond)
		l.next(true)
	}
	is.True(l.pressure < 0.01)
}
