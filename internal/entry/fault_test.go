package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/internal/entry/entrytest"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

type fault = entrytest.Fault

// faultCases lists the faults of a chat attempt at every step.
var faultCases = []fault{
	{Step: entrytest.StepReceived, Kind: entrytest.Kill},
	{Step: entrytest.StepReceived, Kind: entrytest.Stall},
	{Kind: entrytest.Refuse},
	{Kind: entrytest.SetMissing},
	{Step: entrytest.StepStarted, Kind: entrytest.Kill},
	{Step: entrytest.StepStarted, Kind: entrytest.Stall},
	{Kind: entrytest.EngineError},
	{Kind: entrytest.WrongAttempt},
	{Step: entrytest.StepHeader, Kind: entrytest.WrongSet},
	{Step: entrytest.StepHeader, Kind: entrytest.Kill},
	{Step: entrytest.StepHeader, Kind: entrytest.Stall},
	{Step: entrytest.StepToken, Kind: entrytest.Kill, Token: 1},
	{Step: entrytest.StepToken, Kind: entrytest.Kill, Token: 5},
	{Step: entrytest.StepToken, Kind: entrytest.Stall, Token: 3},
	{Step: entrytest.StepToken, Kind: entrytest.EndEarly, Token: 2},
	{Step: entrytest.StepToken, Kind: entrytest.WrongSet, Token: 4},
	{Step: entrytest.StepToken, Kind: entrytest.ErrorEvent, Token: 2},
	{Step: entrytest.StepToken, Kind: entrytest.RepeatToken, Token: 3},
	{Step: entrytest.StepToken, Kind: entrytest.SkipToken, Token: 3},
	{Step: entrytest.StepLast, Kind: entrytest.Kill},
	{Step: entrytest.StepLast, Kind: entrytest.EndEarly},
	{Step: entrytest.StepLast, Kind: entrytest.Stall},
	{Step: entrytest.StepLast, Kind: entrytest.DuplicateEnd},
}

func isProbe(body string) bool { return strings.Contains(body, `"max_tokens":1`) }

// failFirst injects f into the first n attempts over all gates, except probes.
func failFirst(f fault, n int32, gates ...*entrytest.Gate) {
	var seen atomic.Int32
	for _, g := range gates {
		g.Fault = func(_ *http.Request, body string) fault {
			if !isProbe(body) && seen.Add(1) <= n {
				return f
			}
			return fault{}
		}
	}
}

func faultName(f fault) string { return fmt.Sprintf("%s-%s-%d", f.Kind, f.Step, f.Token) }

// checkResponse returns an error unless the response is complete or reported as
// incomplete. A stream with the end marker and a response with status 200 must have
// the whole text; anything else must have an error and an outcome other than "done".
func checkResponse(a answer, stream bool) error {
	whole := entrytest.AnswerText(6)
	switch {
	case a.err != nil:
		return a.err
	case stream && a.done && (a.text != whole || a.errorCode != "" || a.outcome() != "done"):
		return fmt.Errorf("end marker after %q, error %q, outcome %q", a.text, a.errorCode, a.outcome())
	case stream && a.status == http.StatusOK && !a.done && (a.errorCode == "" || a.outcome() == "done"):
		return fmt.Errorf("stream ended silently after %q with outcome %q", a.text, a.outcome())
	case !strings.HasPrefix(whole, a.text):
		return fmt.Errorf("text %q is not a prefix of %q", a.text, whole)
	case !stream && a.status == http.StatusOK && !strings.Contains(a.body, whole):
		return fmt.Errorf("status 200 with %q", a.body)
	case a.status != http.StatusOK && a.outcome() != "unknown" && a.outcome() != "not-run":
		return fmt.Errorf("status %d with outcome %q", a.status, a.outcome())
	}
	return nil
}

// Guards against a single fault at any step that is visible to the caller, as an
// error or as a response that is truncated, or that is from another attempt or
// weights set.
func TestOneFaultIsMasked(t *testing.T) {
	for _, f := range faultCases {
		for _, stream := range []bool{true, false} {
			runVirtual(t, fmt.Sprintf("%s-stream=%v", faultName(f), stream), func(t *testing.T) {
				gates := []*entrytest.Gate{engineGate("g1"), engineGate("g2"), engineGate("g3")}
				failFirst(f, 1, gates...)
				c := newCluster(t, gates...)
				e := c.addEntry(func(s *Settings) { s.PlainTimeout = s.StallTimeout })
				a := e.chat(stream, "hello")
				c.is.NoErr(checkResponse(a, stream))
				c.is.Equal(a.status, http.StatusOK)
				c.is.Equal(a.outcome(), "done")
				c.is.True(!stream || a.done && a.text == entrytest.AnswerText(6))
			})
		}
	}
}

// Guards against faults on every endpoint that are reported as a complete response,
// or as "not run" although an attempt ran.
func TestFaultEverywhereIsReported(t *testing.T) {
	for _, f := range faultCases {
		if f.Kind == entrytest.DuplicateEnd {
			continue // harmless, see TestOneFaultIsMasked
		}
		for _, stream := range []bool{true, false} {
			runVirtual(t, fmt.Sprintf("%s-stream=%v", faultName(f), stream), func(t *testing.T) {
				gates := []*entrytest.Gate{engineGate("g1"), engineGate("g2"), engineGate("g3")}
				failFirst(f, 1<<30, gates...)
				c := newCluster(t, gates...)
				e := c.addEntry(func(s *Settings) { s.PlainTimeout, s.QueueWait = s.StallTimeout, s.StallTimeout })
				a := e.chat(stream, "hello")
				c.is.NoErr(checkResponse(a, stream))
				if stream || f.Step != entrytest.StepToken && f.Step != entrytest.StepLast || f.Kind == entrytest.EndEarly {
					c.is.True(!a.done)
				}
				started := 0
				for _, g := range gates {
					n, _, _, _ := g.AttemptCounts()
					started += n
				}
				if a.outcome() == "not-run" {
					c.is.Equal(started, 0)
				}
			})
		}
	}
}

// Guards against incomplete or mixed responses that are reported as complete, under
// any sequence of faults.
func TestAnyFaultSequenceIsReported(t *testing.T) { synctest.Test(t, testAnyFaultSequenceIsReported) }

func testAnyFaultSequenceIsReported(t *testing.T) {
	gates := []*entrytest.Gate{engineGate("g1"), engineGate("g2"), engineGate("g3")}
	var sequence atomic.Pointer[[]fault]
	var at atomic.Int32
	for _, g := range gates {
		g.Fault = func(_ *http.Request, body string) fault {
			if isProbe(body) {
				return fault{}
			}
			if i := int(at.Add(1)) - 1; i < len(*sequence.Load()) {
				return (*sequence.Load())[i]
			}
			return fault{}
		}
	}
	sequence.Store(&[]fault{})
	c := newCluster(t, gates...)
	e := c.addEntry(func(s *Settings) {
		s.StallTimeout, s.PlainTimeout, s.QueueWait = Duration(50*time.Millisecond), Duration(50*time.Millisecond), Duration(100*time.Millisecond)
		s.EjectedShare, s.RetryRatio = 0.01, 1
	})
	n := 0
	rapid.Check(withoutDeadline{t}, func(rt *rapid.T) {
		n++ // new content each time, so that earlier runs do not make the request a suspect
		faults := rapid.SliceOfN(rapid.SampledFrom(faultCases), 0, 4).Draw(rt, "faults")
		stream := rapid.Bool().Draw(rt, "stream")
		sequence.Store(&faults)
		at.Store(0)
		if err := checkResponse(e.chat(stream, fmt.Sprint(n)), stream); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a stream that is resumed with tokens of another weights set.
func TestStreamResumesOnSameSetOnly(t *testing.T) { synctest.Test(t, testStreamResumesOnSameSetOnly) }

func testStreamResumesOnSameSetOnly(t *testing.T) {
	other := engineGate("g2")
	other.Set = "sha256:set-two"
	first := engineGate("g1")
	first.Fault = func(_ *http.Request, body string) fault {
		if isProbe(body) {
			return fault{}
		}
		return fault{Step: entrytest.StepToken, Kind: entrytest.Kill, Token: 3}
	}
	first.Zone, other.Zone = "z1", "z2" // the entry prefers its own zone
	c := newCluster(t, first, other)
	e := c.addEntry()
	a := e.chat(true, "hello")
	c.is.NoErr(checkResponse(a, true))
	c.is.True(!a.done)
	c.is.Equal(a.text, entrytest.AnswerText(3))
	c.is.Equal(a.outcome(), "unknown")
}

// Guards against a token repeated or skipped within one connection that reaches the
// caller, or is not counted in the metrics.
func TestTokenOutOfOrderIsCounted(t *testing.T) {
	for kind, reason := range map[string]outcome.Reason{
		entrytest.RepeatToken: outcome.RepeatedToken, entrytest.SkipToken: outcome.SkippedToken,
	} {
		runVirtual(t, kind, func(t *testing.T) {
			gates := []*entrytest.Gate{engineGate("g1"), engineGate("g2")}
			failFirst(fault{Step: entrytest.StepToken, Kind: kind, Token: 3}, 1, gates...)
			c := newCluster(t, gates...)
			e := c.addEntry()
			a := e.chat(true, "hello")
			c.is.Equal(a.text, entrytest.AnswerText(6))
			c.is.True(a.done)
			c.is.Equal(e.counterValue("dropped_answers_total", reason), 1.0)
			c.is.Equal(e.counterValue("retries_total", reason), 1.0)
		})
	}
}

// counterValue returns the value of one of the entry's counters for a reason.
func (e *testEntry) counterValue(name string, reason outcome.Reason) float64 {
	families, _ := e.registry.Gather()
	for _, f := range families {
		if f.GetName() != "rhubarb_entry_"+name {
			continue
		}
		for _, m := range f.GetMetric() {
			if m.GetLabel()[0].GetValue() == string(reason) {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// Guards against a stream resumed from a wrong token index, which loses or repeats
// tokens.
func TestResumeSendsTokenIndex(t *testing.T) { synctest.Test(t, testResumeSendsTokenIndex) }

func testResumeSendsTokenIndex(t *testing.T) {
	gates := []*entrytest.Gate{engineGate("g1"), engineGate("g2")}
	var resumed atomic.Value
	var seen atomic.Int32
	for _, g := range gates {
		g.Fault = func(r *http.Request, body string) fault {
			if isProbe(body) {
				return fault{}
			}
			if seen.Add(1) == 1 {
				return fault{Step: entrytest.StepToken, Kind: entrytest.Kill, Token: 4}
			}
			resumed.Store(r.Header.Get(wire.HeaderResumeFrom))
			return fault{}
		}
	}
	c := newCluster(t, gates...)
	a := c.addEntry().chat(true, "hello")
	c.is.True(a.done)
	c.is.Equal(a.text, entrytest.AnswerText(6))
	c.is.Equal(resumed.Load(), "4")
}

// Guards against an endpoint that reports itself as ready but does not respond, and
// still receives requests.
func TestSilentEndpointIsEjected(t *testing.T) { synctest.Test(t, testSilentEndpointIsEjected) }

func testSilentEndpointIsEjected(t *testing.T) {
	unresponsive := engineGate("g1")
	unresponsive.Fault = func(*http.Request, string) fault {
		return fault{Step: entrytest.StepStarted, Kind: entrytest.Stall}
	}
	c := newCluster(t, unresponsive, engineGate("g2"), engineGate("g3"))
	e := c.addEntry(func(s *Settings) { s.ProbeInterval = Duration(100 * time.Millisecond) })
	c.eventually("the unresponsive endpoint is ejected without any request", func() bool {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		return e.fleet.balancer.Ejected("g1")
	})
	for i := range 20 {
		started := time.Now()
		a := e.chat(true, fmt.Sprint(i))
		c.is.True(a.done)
		c.is.True(time.Since(started) < time.Duration(e.settings.StallTimeout)) // no request had to wait for the stall timeout
	}
}

// Guards against retries that multiply the load while all endpoints fail.
func TestRetryBudgetBounds(t *testing.T) { synctest.Test(t, testRetryBudgetBounds) }

func testRetryBudgetBounds(t *testing.T) {
	gates := []*entrytest.Gate{engineGate("g1"), engineGate("g2"), engineGate("g3")}
	for _, g := range gates {
		g.Fault = func(_ *http.Request, body string) fault {
			if isProbe(body) {
				return fault{}
			}
			return fault{Kind: entrytest.EngineError}
		}
	}
	c := newCluster(t, gates...)
	e := c.addEntry(func(s *Settings) { s.EjectedShare = 0.01 })
	const requests = 100
	for i := range requests {
		c.is.True(e.chat(false, fmt.Sprint(i)).outcome() != "done")
	}
	attempts := 0
	for _, g := range gates {
		n, _, _, probes := g.AttemptCounts()
		attempts += n - probes
	}
	t.Logf("%d attempts for %d requests", attempts, requests)
	// A retry ratio of 0.1, a burst of 20 and 1 retry per second over a few seconds.
	c.is.True(attempts <= requests+requests/10+20+10)
}
