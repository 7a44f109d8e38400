package agent

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/agent/agenttest"
	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// hang streams one token and then blocks until the connection ends.
func hang(w http.ResponseWriter, r *http.Request, set string) {
	agenttest.WriteTokens(w, set, 0, 1)
	<-r.Context().Done()
}

// crash stops the engine and, after the given time, starts it again without
// loaded sets.
func (r *harness) crash(down time.Duration) {
	r.net.Stop(engineHost)
	r.engine.Change(func(e *agenttest.Engine) { e.Sets, e.FencingToken, e.Started, e.OnChat = nil, 0, e.Started+1, nil })
	time.Sleep(down)
	r.serve(engineHost, "10.0.1.2:80", r.engine)
}

// Guards against a crash that is not reported with the requests in flight, also
// when the engine has restarted before the next poll, and against one that is
// reported twice.
func TestCrashReportsRequestsInFlight(t *testing.T) {
	cases := map[string]func(r *harness){
		"back at once":     func(r *harness) { r.crash(0) },
		"down for a while": func(r *harness) { r.crash(5 * time.Second) },
		"restart reported before the connections break": func(r *harness) {
			r.engine.Change(func(e *agenttest.Engine) { e.Sets, e.FencingToken, e.Started, e.OnChat = nil, 0, e.Started+1, nil })
			r.agent.requestPoll()
			time.Sleep(300 * time.Millisecond)
			r.crash(0)
		},
	}
	for name, crash := range cases {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(r *harness) { r.engine.OnChat = hang }, func(r *harness) {
				is := is.New(r.t)
				var wg sync.WaitGroup
				for _, fingerprint := range []string{"a", "b", "c"} {
					id := r.nextID()
					wg.Go(func() {
						a := r.sendID(id, setID("1"), wire.HeaderFingerprint, fingerprint)
						if a.complete() || a.outcome == "not-run" {
							r.t.Errorf("answer after a crash: %+v", a)
						}
					})
				}
				time.Sleep(time.Second)
				crash(r)
				wg.Wait()
				time.Sleep(5 * time.Second)
				proposed := r.proposals()
				is.Equal(len(proposed), 1)
				is.Equal(proposed[0].Crash.Fingerprints, []string{"a", "b", "c"})
				is.Equal(proposed[0].Crash.Exclusive, false)
				is.Equal(proposed[0].Crash.Endpoint, "engine-1")
				is.True(r.send(setID("1")).complete()) // loaded again
			})
		})
	}
}

// Guards against a suspect that crashes the engine while running exclusively
// and is not reported as exclusive, and against attempts sent to an engine that
// is down.
func TestCrashOfASuspectAlone(t *testing.T) {
	runHarness(t, nil, func(r *harness) {
		is := is.New(r.t)
		r.engine.Change(func(e *agenttest.Engine) {
			e.OnChat = func(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) }
		})
		r.send(setID("1"), wire.HeaderFingerprint, "cut short without a crash")
		time.Sleep(2 * time.Second)
		r.engine.Change(func(e *agenttest.Engine) { e.OnChat = hang })
		id := r.nextID()
		var wg sync.WaitGroup
		wg.Go(func() { r.sendID(id, setID("1"), wire.HeaderFingerprint, "a", wire.HeaderAlone, "true") })
		time.Sleep(time.Second)
		r.net.Stop(engineHost)
		wg.Wait()
		a := r.send(setID("1"), wire.HeaderFingerprint, "innocent")
		is.Equal(a.outcome, "not-run")
		time.Sleep(2 * time.Second)
		is.True(!r.lastAnnouncement().Ready)
		is.Equal(r.send(setID("1")).reason, "endpoint-not-ready")
		proposed := r.proposals()
		is.Equal(len(proposed), 1)
		is.Equal(proposed[0].Crash.Fingerprints, []string{"a"})
		is.True(proposed[0].Crash.Exclusive)
	})
}

// Guards against an engine that reports its status but generates nothing, idle
// or with requests in flight, and stays ready; and against one that does not
// become ready again once it makes progress.
func TestEngineWithoutProgressIsNotReady(t *testing.T) {
	for name, busy := range map[string]bool{"idle": false, "with work in flight": true} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(r *harness) { r.settings.ProbeInterval = settings.Duration(4 * time.Second) }, func(r *harness) {
				is := is.New(r.t)
				r.engine.Change(func(e *agenttest.Engine) {
					e.OnChat = hang
					e.OnProbe = func(r *http.Request) { <-r.Context().Done() }
				})
				id := r.nextID()
				var wg sync.WaitGroup
				if busy {
					wg.Go(func() { r.sendID(id, setID("1"), wire.HeaderDeadline, "20000") })
				}
				time.Sleep(10 * time.Second)
				is.True(!r.lastAnnouncement().Ready)
				a := r.send(setID("1"))
				is.Equal(a.outcome, "not-run")
				is.Equal(a.reason, "endpoint-not-ready")
				r.engine.Change(func(e *agenttest.Engine) { e.OnChat, e.OnProbe = nil, nil })
				wg.Wait()
				time.Sleep(5 * time.Second)
				is.True(r.lastAnnouncement().Ready)
				is.True(r.send(setID("1")).complete())
			})
		})
	}
}

// Guards against a full engine that becomes not ready because a probe had to
// wait behind long unstreamed answers.
func TestFullEngineWithoutStreamsStaysReady(t *testing.T) {
	runHarness(t, func(r *harness) {
		r.engine.OnChat = func(w http.ResponseWriter, _ *http.Request, set string) {
			time.Sleep(20 * time.Second)
			w.Header().Set(engine.HeaderWeightsSet, set)
			_, _ = fmt.Fprintf(w, `{"system_fingerprint":%q}`, set)
		}
	}, func(r *harness) {
		is := is.New(r.t)
		r.engine.Change(func(e *agenttest.Engine) {
			e.OnProbe = func(r *http.Request) { <-r.Context().Done() }
		})
		var wg sync.WaitGroup
		for range r.settings.Capacity {
			id := r.nextID()
			wg.Go(func() {
				if a := r.sendUnstreamed(id, setID("1")); a.outcome != "done" || a.status != http.StatusOK {
					r.t.Errorf("%+v", a)
				}
			})
		}
		wg.Wait()
		announced := r.controls[0].Announced()[3:]
		is.True(!slices.ContainsFunc(announced, func(a wire.Announce) bool { return !a.Ready }))
	})
}

// Guards against a hang that is not detected until a slot becomes free, because
// the batch is full of unstreamed requests and a probe has to wait.
func TestHangOfAFullBatchWithoutStreamsIsNoticed(t *testing.T) {
	answer := func(w http.ResponseWriter, _ *http.Request, set string) {
		time.Sleep(time.Second)
		w.Header().Set(engine.HeaderWeightsSet, set)
		_, _ = fmt.Fprintf(w, `{"system_fingerprint":%q}`, set)
	}
	runHarness(t, func(r *harness) { r.engine.OnChat = answer }, func(r *harness) {
		is := is.New(r.t)
		var wg sync.WaitGroup
		batch := func() {
			for range r.settings.Capacity {
				id := r.nextID()
				wg.Go(func() { r.sendUnstreamed(id, setID("1")) })
			}
		}
		for range 3 {
			batch()
			wg.Wait()
		}
		is.True(r.lastAnnouncement().Ready)
		resume := make(chan struct{})
		end := sync.OnceFunc(func() { close(resume) })
		defer end()
		r.engine.Change(func(e *agenttest.Engine) {
			e.OnChat = func(w http.ResponseWriter, r *http.Request, set string) {
				<-resume
				answer(w, r, set)
			}
			e.OnProbe = func(r *http.Request) {
				select {
				case <-resume:
				case <-r.Context().Done():
				}
			}
		})
		batch()
		time.Sleep(4 * time.Second)
		is.True(!r.lastAnnouncement().Ready)
		is.Equal(r.send(setID("1")).reason, "endpoint-not-ready")
		end()
		wg.Wait()
		time.Sleep(3 * time.Second)
		is.True(r.lastAnnouncement().Ready)
		is.Equal(r.sendUnstreamed(r.nextID(), setID("1")).outcome, "done")
	})
}

// Guards against an engine that stays ready because its error responses count as
// progress.
func TestEngineThatOnlyFailsIsNotReady(t *testing.T) {
	runHarness(t, func(r *harness) {
		r.engine.OnChat = func(w http.ResponseWriter, _ *http.Request, _ string) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusInternalServerError)
		}
		r.settings.ProbeInterval = settings.Duration(4 * time.Second)
	}, func(r *harness) {
		is := is.New(r.t)
		r.engine.Change(func(e *agenttest.Engine) {
			e.OnProbe = func(*http.Request) { panic(http.ErrAbortHandler) }
		})
		is.Equal(r.send(setID("1")).status, http.StatusInternalServerError)
		for range 12 {
			time.Sleep(500 * time.Millisecond)
			r.send(setID("1"))
		}
		is.True(!r.lastAnnouncement().Ready)
	})
}

// Guards against a slow engine that becomes not ready although it makes
// progress, and against probes while tokens already show progress.
func TestEngineWithProgressStaysReady(t *testing.T) {
	runHarness(t, func(r *harness) {
		r.settings.ProbeInterval = settings.Duration(2 * time.Second)
		r.engine.OnChat = func(w http.ResponseWriter, _ *http.Request, set string) {
			for i := range 10 {
				agenttest.WriteTokens(w, set, i, i+1)
				time.Sleep(3 * time.Second)
			}
		}
	}, func(r *harness) {
		is := is.New(r.t)
		_, before := r.engine.RequestCounts()
		r.send(setID("1"))
		_, after := r.engine.RequestCounts()
		is.Equal(after, before)
		announced := r.controls[0].Announced()[3:]
		is.True(!slices.ContainsFunc(announced, func(a wire.Announce) bool { return !a.Ready }))
	})
}

// Guards against a planned stop that interrupts running attempts, accepts new
// ones after 3 s, or leaves the endpoint in the member table.
func TestPlannedStopUnderLoad(t *testing.T) {
	runHarness(t, func(r *harness) {
		r.engine.OnChat = func(w http.ResponseWriter, _ *http.Request, set string) {
			for i := range 8 {
				agenttest.WriteTokens(w, set, i, i+1)
				time.Sleep(time.Second)
			}
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
		}
	}, func(r *harness) {
		is := is.New(r.t)
		var mu sync.Mutex
		var accepted []time.Time
		counts := map[string]int{}
		ids := make(chan string, 1000)
		for range cap(ids) {
			ids <- r.nextID()
		}
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					begun := time.Now()
					a := r.sendID(<-ids, setID("1"))
					mu.Lock()
					switch {
					case a.complete():
						counts["whole"]++
						accepted = append(accepted, begun)
					case a.outcome == "not-run", a.status == 0: // refused by the gate or the closed port
						counts["refused"]++
					default:
						counts["cut"]++
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		time.Sleep(2 * time.Second)
		stopAt := time.Now()
		go func() {
			time.Sleep(200 * time.Millisecond)
			if !r.lastAnnouncement().Draining {
				r.t.Error("draining was not announced at once")
			}
		}()
		r.stop()
		close(stop)
		wg.Wait()
		is.Equal(counts["cut"], 0)
		is.True(counts["whole"] >= 4)
		latest := slices.MaxFunc(accepted, time.Time.Compare)
		is.True(latest.Sub(stopAt) < 3*time.Second)
		is.True(time.Since(stopAt) > 5*time.Second) // work in progress finished
		is.True(r.lastAnnouncement().Gone)
	})
}

// Guards against a plain service to which the gate's rules do not apply: calls
// without a lease, resent calls, incomplete answers mistaken for complete ones,
// and the system's own headers forwarded to the service.
func TestPlainService(t *testing.T) {
	var calls int
	var seen http.Header
	var fault func(w http.ResponseWriter)
	runHarness(t, func(r *harness) {
		r.settings.Kind, r.settings.Role, r.settings.Service = wire.KindService, "", "dispatch"
		r.transfer = nil
		r.servers[len(r.servers)-1].Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			calls++
			seen = req.Header
			if fault != nil {
				fault(w)
			}
			w.Header().Set("X-Service", "yes")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write([]byte(req.Method + " " + req.URL.RequestURI()))
		})
	}, func(r *harness) {
		is := is.New(r.t)
		call := func() answer {
			h := http.Header{wire.HeaderAttempt: {r.nextID()}, wire.HeaderIdempotencyKey: {"key"}}
			return r.do(http.MethodPut, "/gate/orders//7?x=%2F", "", h)
		}
		a := call()
		is.NoErr(a.err)
		is.Equal([]any{a.status, a.outcome, a.body}, []any{http.StatusCreated, "done", "PUT /orders//7?x=%2F"})
		is.Equal(seen.Get(wire.HeaderIdempotencyKey), "key")
		is.Equal(seen.Get("Authorization"), "")
		is.True(r.lastAnnouncement().Ready)

		fault = func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
		calls = 0
		a = call()
		is.Equal([]any{a.status, a.outcome, calls}, []any{http.StatusBadGateway, "unknown", 1})
		fault = func(w http.ResponseWriter) {
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		is.True(call().err != nil)
		r.net.SetIsolated(agentHost, []string{"c0", "c1", "c2"}, true)
		time.Sleep(3 * time.Second)
		is.Equal(call().outcome, "not-run")
	})
}
