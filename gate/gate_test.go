package gate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/gate"
)

var (
	now  = time.Unix(1_000, 0)
	open = gate.Conditions{Sets: []string{"set-1"}}
)

func id(counter uint64) gate.ID { return gate.ID{Entry: "entry", Start: 1, Counter: counter} }

func request(counter uint64) gate.Request { return gate.Request{ID: id(counter), Set: "set-1"} }

func Example() {
	g := gate.New(gate.Config{Capacity: 1})
	fmt.Println(g.Begin(request(1), open, now).Verdict == gate.Start)
	fmt.Println(g.Begin(request(2), open, now).Reason)
	g.Finish(id(1), true)
	fmt.Println(g.Fence(id(3), true, now), g.Begin(request(3), open, now).Reason)
	fmt.Println(g.Lookup(id(1)))
	// Output:
	// true
	// at-capacity
	// fenced attempt-fenced
	// done
}

// Guards against reporting an attempt as proved not to have run when an earlier
// process start of the gate may have run it, or when its identifier is repeated.
func TestProofOfNotRun(t *testing.T) {
	is := is.New(t)
	g := gate.New(gate.Config{})
	is.Equal(g.Fence(id(1), false, now), gate.Unknown)
	is.True(!g.Begin(request(1), open, now).ProvesNotRun)
	is.Equal(g.Fence(id(1), true, now), gate.Fenced)
	g.Begin(request(2), open, now)
	is.True(!g.Begin(request(2), open, now).ProvesNotRun)
	g.CancelStart(id(2))
	is.Equal(g.Fence(id(2), true, now), gate.Refused)
	is.Equal(g.InFlight(), 0)
	is.True(g.Begin(request(3), gate.Conditions{Refusal: "lease-expired"}, now).ProvesNotRun)
	is.Equal(g.Begin(gate.Request{ID: id(4), Set: "set-2"}, open, now).Reason, gate.SetNotLoaded)
	is.Equal(g.Begin(gate.Request{ID: id(5)}, open, now).Reason, gate.SetNotLoaded)
}

// Guards against an exclusive attempt that never starts on a busy endpoint, and
// against one that blocks the endpoint indefinitely.
func TestExclusiveAttemptWaitsForOthers(t *testing.T) {
	is := is.New(t)
	g := gate.New(gate.Config{Capacity: 4})
	g.Begin(request(1), open, now)
	alone := request(2)
	alone.Exclusive = true
	is.Equal(g.Begin(alone, open, now).Verdict, gate.Wait)
	is.Equal(g.Begin(request(3), open, now).Reason, gate.ExclusiveRunning)
	g.Finish(id(1), true)
	is.Equal(g.Begin(alone, open, now).Verdict, gate.Start)
	is.Equal(g.Begin(request(4), open, now).Reason, gate.ExclusiveRunning)
	g.Finish(id(2), true)

	g.Begin(request(5), open, now)
	alone.ID = id(6)
	is.Equal(g.Begin(alone, open, now).Verdict, gate.Wait)
	later := now.Add(3 * time.Second)
	is.Equal(g.Begin(request(7), open, later).Verdict, gate.Start)
	alone.ID = id(8)
	is.Equal(g.Begin(alone, open, later).Verdict, gate.Wait)
	is.Equal(g.Begin(alone, open, later.Add(3*time.Second)).Reason, gate.ExclusiveBusy)
}

// Guards against unbounded memory growth with the number of attempts or entries.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	g := gate.New(gate.Config{MaxRecords: 10, MaxEntries: 2})
	for counter := uint64(1); counter <= 100; counter++ {
		is.Equal(g.Begin(request(counter), open, now).Verdict, gate.Start)
		g.Finish(id(counter), true)
	}
	is.Equal(g.Lookup(id(90)), gate.Unknown)
	is.Equal(g.Lookup(id(91)), gate.Done)
	is.Equal(g.Begin(request(90), open, now).Reason, gate.TooOld)
	is.Equal(g.Fence(id(90), true, now), gate.Unknown)
	other := gate.Request{ID: gate.ID{Entry: "second", Start: 1, Counter: 1}, Set: "set-1"}
	is.Equal(g.Begin(other, open, now).Verdict, gate.Start)
	other.ID.Entry = "third"
	is.Equal(g.Begin(other, open, now).Reason, gate.TooManyEntries)
}

// Checks the start rules under random orders of starts, ends, fences, repeated
// identifiers and restarts of entries: no identifier starts twice or after it was
// reported as not run, and no start violates capacity, exclusive runs, conditions
// or draining.
func TestStartRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity, notice = 3, 2 * time.Second
		g := gate.New(gate.Config{Capacity: capacity, MaxRecords: 4, DrainDelay: notice})
		clock, drainAt := now, time.Time{}
		started, never, running := map[gate.ID]bool{}, map[gate.ID]bool{}, map[gate.ID]bool{}
		drawID := func(t *rapid.T) gate.ID {
			return gate.ID{
				Entry:   rapid.SampledFrom([]string{"x", "y"}).Draw(t, "entry"),
				Start:   rapid.Uint64Range(1, 2).Draw(t, "start"),
				Counter: rapid.Uint64Range(1, 9).Draw(t, "counter"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				r := gate.Request{ID: drawID(t), Set: rapid.SampledFrom([]string{"set-1", "set-2", ""}).Draw(t, "set")}
				r.Exclusive = rapid.IntRange(0, 3).Draw(t, "alone") == 0
				c := gate.Conditions{
					Refusal: rapid.SampledFrom([]gate.Reason{"", "", "lease-expired"}).Draw(t, "refusal"),
					Sets:    []string{"set-1"},
				}
				d := g.Begin(r, c, clock)
				if d.Verdict != gate.Start {
					if d.ProvesNotRun && started[r.ID] {
						t.Fatalf("%v was reported as not run after it had started", r.ID)
					}
					never[r.ID] = never[r.ID] || d.ProvesNotRun
					return
				}
				drained := !drainAt.IsZero() && clock.Sub(drainAt) >= notice
				if started[r.ID] || never[r.ID] || drained || c.Refusal != "" || r.Set != "set-1" || len(running) >= capacity {
					t.Fatalf("%v must not start: started before %v, reported as not run %v, drained %v, %+v", r.ID, started[r.ID], never[r.ID], drained, c)
				}
				for other, alone := range running {
					if alone || r.Exclusive {
						t.Fatalf("%v runs at the same time as %v, and one of them is exclusive", r.ID, other)
					}
				}
				started[r.ID], running[r.ID] = true, r.Exclusive
			},
			"finish": func(t *rapid.T) {
				attempt := drawID(t)
				g.Finish(attempt, rapid.Bool().Draw(t, "whole"))
				delete(running, attempt)
			},
			"fence": func(t *rapid.T) {
				attempt := drawID(t)
				state := g.Fence(attempt, rapid.Bool().Draw(t, "same start"), clock)
				if started[attempt] && (state == gate.Fenced || state == gate.Refused) {
					t.Fatalf("%v has started and is reported as %s", attempt, state)
				}
				never[attempt] = never[attempt] || state == gate.Fenced || state == gate.Refused
			},
			"wait": func(t *rapid.T) {
				clock = clock.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "now") == 0 && drainAt.IsZero() {
					drainAt = clock
				}
				if !drainAt.IsZero() {
					g.Drain(clock)
				}
			},
			"": func(t *rapid.T) {
				if g.InFlight() != len(running) || len(g.Attempts()) != len(running) {
					t.Fatalf("in flight %d, attempts %d, want %d", g.InFlight(), len(g.Attempts()), len(running))
				}
			},
		})
	})
}
