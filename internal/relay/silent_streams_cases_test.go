package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// eventGap is a usual time between two events.
const eventGap = 100 * time.Millisecond

// servePlan returns a plan with the usual gaps before the head, each event and the end, except at
// some steps.
func servePlan(kind int, gaps map[int]time.Duration) streamPlan {
	const steps = 8
	p := streamPlan{kind: kind, status: http.StatusInternalServerError, halves: make([]time.Duration, steps)}
	for i := range steps {
		p.gaps = append(p.gaps, eventGap)
		if gap, ok := gaps[i]; ok {
			p.gaps[i] = gap
		}
	}
	return p
}

// newFixedCase returns a case of one request for a stream of three events, with a plan for each
// endpoint.
func newFixedCase(plans ...streamPlan) *silenceCase {
	c := &silenceCase{plans: plans, tokens: 100, grace: 3 * time.Second, coverage: &silenceCoverage{counts: map[string]int{}}}
	for i := range plans {
		plans[i].gaps, plans[i].halves = plans[i].gaps[:5], plans[i].halves[:5]
		c.endpoints = append(c.endpoints, &silentEndpoint{index: i, id: fmt.Sprint("i-", i), address: fmt.Sprintf("10.0.1.%d:80", i), slots: readySlots})
	}
	c.calls = []*streamCall{{id: "call", resumable: true, ids: true, attempts: 3, events: 3, timeout: 12 * time.Second, start: time.Second}}
	return c
}

// play plays the case, and returns the request and the indices of the endpoints that its events
// came from.
func (c *silenceCase) play(t *testing.T) (s *streamCall, sources string) {
	t.Helper()
	for _, f := range c.run(t) {
		t.Error(f)
	}
	s = c.calls[0]
	for _, e := range s.got {
		sources += strings.TrimPrefix(strings.Split(e.visit, "/")[1], "i-")
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(strings.Join(c.trace, "\n"))
		}
	})
	return s, sources
}

func (v *visit) sentAt(n int) time.Time {
	for _, e := range v.sent {
		if e.n == n {
			return e.at
		}
	}
	return time.Time{}
}

// Guards against a silence that ends an answer because no other endpoint may continue it.
func TestSilenceEndsNoAnswer(t *testing.T) {
	steps := map[string]int{"before the head": 0, "before the first event": 1, "between events": 2, "before the end": 4}
	for when, step := range steps {
		for why, limit := range map[string]func(c *silenceCase, s *streamCall){
			"no other endpoint":           func(c *silenceCase, _ *streamCall) { c.plans, c.endpoints = c.plans[:1], c.endpoints[:1] },
			"retry budget is empty":       func(c *silenceCase, _ *streamCall) { c.tokens = 0 },
			"max_attempts is used up":     func(_ *silenceCase, s *streamCall) { s.attempts = 1 },
			"route may not be resumed":    func(_ *silenceCase, s *streamCall) { s.resumable = false },
			"other endpoint has no slot":  func(c *silenceCase, _ *streamCall) { c.endpoints[1].slots, c.endpoints[1].occupied = 1, 1 },
			"other endpoint is not there": func(c *silenceCase, _ *streamCall) { c.endpoints[1].unreachable = true },
			"events have no ID": func(c *silenceCase, s *streamCall) {
				s.ids = false
				if step < 2 { // another endpoint may begin the stream
					s.resumable = false
				}
			},
		} {
			t.Run(when+"/"+why, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := newFixedCase(servePlan(planServe, map[int]time.Duration{step: 2 * time.Second}), servePlan(planServe, nil))
					limit(c, c.calls[0])
					s, sources := c.play(t)
					is.Equal(s.status, http.StatusOK)
					is.NoErr(s.err) // the answer is whole
					is.Equal(sources, "000")
					is.Equal(len(s.visits), 1)
				})
			})
		}
	}
}

// Guards against an answer that ends before its deadline, or looks complete, because its endpoint
// sends nothing more.
func TestSilenceWithoutEndLastsToDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		limit  time.Duration // stated by the caller; zero for none
		step   int
		status int
		events int
	}{
		"timeout of the route":   {0, 2, http.StatusOK, 1},
		"deadline of the caller": {5 * time.Second, 2, http.StatusOK, 1},
		"before the head":        {5 * time.Second, 0, http.StatusGatewayTimeout, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				plan := servePlan(planSilent, nil)
				plan.step = c.step
				fixed := newFixedCase(plan)
				fixed.calls[0].limit = c.limit
				s, _ := fixed.play(t)
				is.Equal(s.status, c.status)
				is.Equal(len(s.got), c.events)
				is.Equal(s.err == nil, c.status != http.StatusOK)
				is.Equal(s.ended, s.deadline())
			})
		})
	}
}

// Guards against a second answer that runs on after the silent endpoint has continued.
func TestSilentEndpointContinuesFirst(t *testing.T) {
	for when, step := range map[string]int{"before the first event": 1, "between events": 3, "before the end": 4} {
		t.Run(when, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				// The head of the other endpoint arrives before the silence ends, its event or end after it.
				other := map[int]time.Duration{1: time.Second, 4: time.Second}
				c := newFixedCase(servePlan(planServe, map[int]time.Duration{step: 2 * time.Second}), servePlan(planServe, other))
				s, sources := c.play(t)
				is.NoErr(s.err)
				is.Equal(sources, "000")
				is.Equal(len(s.visits), 2)
				is.True(s.visits[0].closed.IsZero())
				is.Equal(s.visits[1].closed, s.visits[0].sentAt(step))
			})
		})
	}
}

// Guards against a silent endpoint whose connection is closed before another one has sent the next
// event, and against one that is left at work after that.
func TestOtherEndpointContinuesFirst(t *testing.T) {
	for when, c := range map[string]struct {
		step    int
		sources string
	}{
		"before the head":        {0, "111"},
		"before the first event": {1, "111"},
		"between events":         {3, "001"},
		"before the end":         {4, "000"},
	} {
		t.Run(when, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fixed := newFixedCase(servePlan(planServe, map[int]time.Duration{c.step: 8 * time.Second}), servePlan(planServe, map[int]time.Duration{1: time.Second}))
				if c.step == 4 { // the other one has only the end to send
					fixed.plans[1].gaps[4] = time.Second
				}
				s, sources := fixed.play(t)
				is.NoErr(s.err)
				is.Equal(sources, c.sources)
				is.Equal(len(s.visits), 2)
				is.Equal(s.visits[0].closed, s.visits[1].sentAt(max(c.step, 1)))
				is.True(s.visits[1].closed.IsZero())
			})
		})
	}
}

// Guards against a takeover that ends an answer, or changes it, when the other endpoint refuses or
// answers wrongly.
func TestFailedTakeoverLeavesStream(t *testing.T) {
	for name, kind := range map[string]int{
		"refuses": planNotRun, "error status": planStatus, "garbage": planGarbage, "breaks off": planBreak, "sends nothing": planSilent,
		"begins anew": planFromStart, "repeats the last event": planRepeat, "no event ID": planNoID, "other content type": planOtherType, "other request ID": planOtherID,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				other := servePlan(kind, nil)
				other.step = 1
				c := newFixedCase(servePlan(planServe, map[int]time.Duration{3: 3 * time.Second}), other)
				s, sources := c.play(t)
				is.NoErr(s.err)
				is.Equal(sources, "000")
				is.Equal(s.stamp, s.visits[0].name)
				is.Equal(len(s.visits), 2)
				is.True(s.visits[0].closed.IsZero())
			})
		})
	}
}

// Guards against endpoints that work on for a caller that has left while another endpoint was sought.
func TestCallerLeavesDuringTakeover(t *testing.T) {
	for when, step := range map[string]int{"before the head": 0, "before the first event": 1, "between events": 2} {
		t.Run(when, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newFixedCase(servePlan(planSilent, nil), servePlan(planSilent, nil))
				c.plans[0].step, c.plans[1].step = step, 1
				c.calls[0].leave = 3 * time.Second
				s, _ := c.play(t)
				is.Equal(len(s.visits), 2)
				for _, v := range s.visits {
					is.Equal(v.closed, s.left)
				}
			})
		})
	}
}

// Guards against a sound run that is given up because the endpoint that was silent before it fails.
func TestFailureOfSilentEndpointLeavesTakeover(t *testing.T) {
	for name, kind := range map[string]int{"refuses": planNotRun, "error status": planStatus, "garbage": planGarbage, "breaks off": planBreak} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				silent := servePlan(kind, map[int]time.Duration{0: 2 * time.Second})
				c := newFixedCase(silent, servePlan(planServe, map[int]time.Duration{1: time.Second}))
				c.calls[0].attempts = 2
				s, sources := c.play(t)
				is.Equal(s.status, http.StatusOK)
				is.NoErr(s.err)
				is.Equal(sources, "111")
				is.Equal(s.stamp, s.visits[1].name)
				is.Equal(len(s.visits), 2)
			})
		})
	}
}

// Guards against a search for another endpoint because the caller reads slowly.
func TestSlowCallerIsNoSilence(t *testing.T) {
	for _, delay := range []time.Duration{1600 * time.Millisecond, 1900 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newFixedCase(servePlan(planServe, nil), servePlan(planServe, nil))
				c.calls[0].readDelay = delay
				s, sources := c.play(t)
				is.NoErr(s.err)
				is.Equal(sources, "000")
				is.Equal(len(s.visits), 1)
			})
		})
	}
}

// Guards against the time that a caller took to read, which counts as silence of the endpoint that
// continues the stream.
func TestSlowCallerShortensNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := servePlan(planServe, map[int]time.Duration{1: 1200 * time.Millisecond})
		c := newFixedCase(servePlan(planBreak, nil), slow, slow)
		c.plans[0].step = 2
		c.calls[0].readDelay = 2500 * time.Millisecond
		s, sources := c.play(t)
		is.NoErr(s.err)
		is.True(sources == "011" || sources == "022") // either may be asked
		is.Equal(len(s.visits), 2)
	})
}

// Guards against attempts and endpoints that count as used by a search that ended before it had
// sent anything.
func TestStoppedSearchUsesNoAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// The second event arrives while the connection to the other endpoint is being opened.
		c := newFixedCase(servePlan(planServe, map[int]time.Duration{2: streamSilence + 10*time.Millisecond, 3: 8 * time.Second}), servePlan(planServe, nil))
		c.delay, c.calls[0].attempts = 20*time.Millisecond, 2
		s, sources := c.play(t)
		is.NoErr(s.err)
		is.Equal(sources, "001")
		is.Equal(len(s.visits), 2)
	})
}

// Guards against slots of engines that stay taken when a search ends just as its slot is granted.
func TestStoppedSearchReturnsSlot(t *testing.T) {
	for name, leave := range map[string]time.Duration{"endpoint continues": 0, "caller leaves": 2*eventGap + streamSilence} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFixedCase(servePlan(planServe, map[int]time.Duration{2: streamSilence, 3: streamSilence}), servePlan(planSilent, nil))
				c.engine, c.endpoints[0].slots, c.endpoints[1].slots = true, 100, 100
				c.calls = nil
				for i := range 30 {
					c.calls = append(c.calls, &streamCall{
						index: i, id: fmt.Sprint("call-", i), resumable: true, ids: true, attempts: 3, events: 3, timeout: 12 * time.Second,
						start: time.Second + time.Duration(i)*time.Millisecond, leave: leave,
					})
				}
				c.play(t)
			})
		})
	}
}
