package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/agent/agenttest"
	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against answers that mix weights sets or requests, or are incomplete,
// and that a caller could mistake for complete ones.
func TestDamagedAnswersAreAborted(t *testing.T) {
	const other = "sha256:other"
	cases := map[string]struct {
		chat    func(w http.ResponseWriter, r *http.Request, set string)
		begun   bool // the entry sees part of the answer
		reason  string
		crashed bool
	}{
		"set swapped in mid-answer": {begun: true, chat: func(w http.ResponseWriter, _ *http.Request, set string) {
			agenttest.WriteTokens(w, set, 0, 2)
			agenttest.WriteToken(w, "answer", other, 2)
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}},
		"set swapped, named after the choices": {begun: true, chat: func(w http.ResponseWriter, _ *http.Request, set string) {
			agenttest.WriteTokens(w, set, 0, 0)
			for _, named := range []string{set, set, other} {
				_, _ = fmt.Fprintf(w, "data: {\"id\":\"answer\",\"choices\":[],\"system_fingerprint\":%q}\n\n", named)
			}
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}},
		"other set from the start": {reason: "wrong-set", chat: func(w http.ResponseWriter, _ *http.Request, _ string) {
			agenttest.WriteTokens(w, other, 0, 2)
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}},
		"other set in the header": {reason: "wrong-set", chat: func(w http.ResponseWriter, _ *http.Request, set string) {
			w.Header().Set(engine.HeaderWeightsSet, other)
			_, _ = fmt.Fprintf(w, `{"system_fingerprint":%q}`, set)
		}},
		"no set named": {reason: "wrong-set", chat: func(w http.ResponseWriter, _ *http.Request, _ string) {
			agenttest.WriteTokens(w, "", 0, 2)
		}},
		"whole answer of another set": {reason: "wrong-set", chat: func(w http.ResponseWriter, _ *http.Request, set string) {
			w.Header().Set(engine.HeaderWeightsSet, set)
			_, _ = fmt.Fprintf(w, `{"system_fingerprint":%q}`, other)
		}},
		"crossed": {begun: true, chat: func(w http.ResponseWriter, _ *http.Request, set string) {
			agenttest.WriteTokens(w, set, 0, 2)
			agenttest.WriteToken(w, "answer of another request", set, 2)
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}},
		"ended without marker": {begun: true, chat: func(w http.ResponseWriter, _ *http.Request, set string) {
			agenttest.WriteTokens(w, set, 0, 2)
		}},
		"connection cut": {begun: true, chat: func(w http.ResponseWriter, _ *http.Request, set string) {
			agenttest.WriteTokens(w, set, 0, 2)
			panic(http.ErrAbortHandler)
		}},
		"cut before the first byte": {reason: "backend-broken", chat: func(http.ResponseWriter, *http.Request, string) {
			panic(http.ErrAbortHandler)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(r *harness) { r.engine.OnChat = c.chat }, func(r *harness) {
				is := is.New(r.t)
				id := r.nextID()
				a := r.sendID(id, setID("1"))
				is.True(!a.complete())
				is.True(a.outcome != "not-run") // the engine may have run it
				if c.begun {
					is.True(a.err != nil) // the connection was aborted
				} else {
					is.Equal(a.status, http.StatusBadGateway)
					is.Equal(a.reason, c.reason)
				}
				is.Equal(r.attemptState(http.MethodGet, id, 0), "failed")
				time.Sleep(5 * time.Second)
				is.Equal(len(r.proposals()), 0) // the engine did not crash
			})
		})
	}
}

// Guards against late answers: an attempt is cancelled on the engine when its
// deadline passes, its entry disconnects or it is cancelled.
func TestCancelReachesTheEngine(t *testing.T) {
	cancelled := make(chan struct{}, 8)
	hang := func(w http.ResponseWriter, r *http.Request, set string) {
		agenttest.WriteTokens(w, set, 0, 1)
		<-r.Context().Done()
		cancelled <- struct{}{}
	}
	cases := map[string]func(r *harness, id string){
		"deadline": func(r *harness, id string) { r.sendID(id, setID("1"), wire.HeaderDeadline, "300") },
		"cancel": func(r *harness, id string) {
			time.AfterFunc(time.Second, func() { r.attemptState(http.MethodDelete, id, 0) })
			r.sendID(id, setID("1"))
		},
		"entry gone": func(r *harness, id string) {
			time.AfterFunc(time.Second, func() { r.net.Stop("entry") })
			r.sendID(id, setID("1"))
		},
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(r *harness) { r.engine.OnChat = hang }, func(r *harness) {
				id, begun := r.nextID(), time.Now()
				act(r, id)
				time.Sleep(2*time.Second - time.Since(begun))
				if late := time.Since(begun); late > 2*time.Second {
					r.t.Fatalf("attempt ended after %v", late)
				}
				select {
				case <-cancelled:
				default:
					r.t.Fatal("engine is still running the attempt")
				}
				is.New(r.t).Equal(r.attemptState(http.MethodGet, id, 0), "failed")
			})
		})
	}
}

// Guards against an error about a missing model that reaches the caller when the
// engine has lost its set, for example by a restart that the agent has not yet
// detected. The attempt must be reported as not run.
func TestLostSetIsNotRun(t *testing.T) {
	runHarness(t, nil, func(r *harness) {
		is := is.New(r.t)
		time.Sleep(100 * time.Millisecond) // between two polls
		r.engine.Change(func(e *agenttest.Engine) { e.Sets = nil })
		a := r.send(setID("1"))
		is.Equal([]string{a.outcome, a.reason}, []string{"not-run", "set-not-loaded"})
		time.Sleep(2 * time.Second)
		is.True(r.send(setID("1")).complete())
	})
}

// Guards against an attempt that runs after it was reported as not run, that
// runs twice, or that is reported as not run by an agent process that started
// later and cannot know.
func TestFencedAndRepeatedAttempts(t *testing.T) {
	runHarness(t, nil, func(r *harness) {
		is := is.New(r.t)
		incarnation := r.agent.incarnation
		id := r.nextID()
		is.Equal(r.attemptState(http.MethodPost, id, incarnation), "fenced")
		is.Equal(r.sendID(id, setID("1")).outcome, "not-run")
		id = r.nextID()
		is.True(r.sendID(id, setID("1")).complete())
		is.Equal(r.attemptState(http.MethodPost, id, incarnation), "done")
		is.Equal(r.sendID(id, setID("1")).outcome, "unknown")
		chats, _ := r.engine.RequestCounts()
		is.Equal(chats, 1)

		r.stop()
		r.start()
		time.Sleep(3 * time.Second)
		is.Equal(r.attemptState(http.MethodPost, id, incarnation), "unknown")
		late := r.sendID(r.nextID(), setID("1"), wire.HeaderGateIncarnation, fmt.Sprint(incarnation))
		is.Equal(late.reason, "gate-restarted")
		is.Equal(late.outcome, "unknown")
		chats, _ = r.engine.RequestCounts()
		is.Equal(chats, 1)
	})
}

// Guards against more running attempts than the capacity, and against a suspect
// that does not run exclusively.
func TestCapacityAndExclusiveRunning(t *testing.T) {
	var running, most, alone atomic.Int64
	runHarness(t, func(r *harness) {
		r.engine.OnChat = func(w http.ResponseWriter, req *http.Request, set string) {
			most.Store(max(most.Load(), running.Add(1)))
			time.Sleep(time.Second)
			if alone.Load() == 1 && running.Load() != 1 {
				r.t.Error("another attempt runs during an exclusive one")
			}
			running.Add(-1)
			agenttest.WriteTokens(w, set, 0, 1)
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}
	}, func(r *harness) {
		is := is.New(r.t)
		var wg sync.WaitGroup
		var whole, refused atomic.Int64
		for range 10 {
			id := r.nextID()
			wg.Go(func() {
				a := r.sendID(id, setID("1"))
				if a.complete() {
					whole.Add(1)
				} else if a.outcome == "not-run" && a.reason == "at-capacity" {
					refused.Add(1)
				}
			})
		}
		wg.Wait()
		is.Equal([]int64{whole.Load(), refused.Load(), most.Load()}, []int64{4, 6, 4})

		first, suspect, other := r.nextID(), r.nextID(), r.nextID()
		wg.Go(func() { is.True(r.sendID(first, setID("1")).complete()) })
		time.Sleep(500 * time.Millisecond)
		wg.Go(func() {
			a := r.sendID(suspect, setID("1"), wire.HeaderAlone, "true", wire.HeaderFingerprint, "f")
			is.True(a.complete())
		})
		time.Sleep(700 * time.Millisecond) // the first has finished
		alone.Store(1)
		is.Equal(r.sendID(other, setID("1")).reason, "exclusive-running")
		wg.Wait()
		time.Sleep(time.Second)
		proposed := r.proposals()
		is.Equal(len(proposed), 1)
		is.Equal(proposed[0].Clear.Fingerprint, "f")
	})
}

// Guards against a process that is paused between the gate's decision and
// sending the attempt, and then sends it although its lease has expired.
func TestPausedAttemptIsNotSentPastTheLease(t *testing.T) {
	runHarness(t, nil, func(r *harness) {
		is := is.New(r.t)
		request, err := http.NewRequest(http.MethodPost, "http://x"+wire.PathGateForward+engine.PathChat, nil)
		is.NoErr(err)
		id, err := parseID(r.nextID())
		is.NoErr(err)
		ctx, cancel := context.WithCancelCause(r.t.Context())
		defer cancel(nil)
		a := &attempt{model: "m", body: []byte(`{"model":"m"}`)}
		a.request.ID, a.request.Set = id, setID("1")
		d, _ := r.agent.tryBegin(a, cancel)
		is.Equal(d.Verdict.String(), "start")
		r.net.SetIsolated(agentHost, []string{"c0", "c1", "c2", "c3"}, true)
		time.Sleep(2500 * time.Millisecond)
		w := &recorder{header: http.Header{}}
		r.agent.run(ctx, w, request, a)
		is.Equal(w.header.Get(wire.HeaderOutcome), "not-run")
		chats, _ := r.engine.RequestCounts()
		is.Equal(chats, 0)
	})
}

type recorder struct{ header http.Header }

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) Write(p []byte) (int, error) { return len(p), nil }
func (r *recorder) WriteHeader(int)             {}
func (r *recorder) Flush()                      {}
