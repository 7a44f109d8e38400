package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/rhubarbhill/rhubarbhill/routing"
)

const (
	budgetRatio  = 0.2
	budgetSlack  = 100
	budgetWindow = 10 * time.Second
)

// budgetFleet is several entries that share a retry budget, and what they sent.
type budgetFleet struct {
	rng      *rand.Rand
	entries  []*dispatcher
	table    *routing.Table
	requests []time.Time
	repeats  []time.Time
	events   []string
	started  time.Time
	// recoveries are the faults that have not passed yet.
	recoveries []recovery
}

// recovery is when entries know all others again.
type recovery struct {
	at      time.Time
	entries []int
}

func (f *budgetFleet) log(format string, args ...any) {
	f.events = append(f.events, fmt.Sprintf("%v %s", time.Since(f.started), fmt.Sprintf(format, args...)))
}

// start starts an entry that knows the given number of entries.
func (f *budgetFleet) start(i, known int) {
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	f.entries[i] = newDispatcher(budgetRatio, budgetSlack, newSlotCoordinator(fmt.Sprint("entry-", i), "a", logger, func(string, peerMessage) {}))
	f.learn(i, known)
}

// learn tells an entry how many entries there are.
func (f *budgetFleet) learn(i, known int) {
	f.entries[i].update(f.table, nil, known)
	f.entries[i].shareRetries(known)
}

// load sends requests to the entries for a while. If they fail, each is repeated up to twice
// as far as the budget allows.
func (f *budgetFleet) load(length, interval time.Duration, fail bool) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		f.recover()
		f.requests = append(f.requests, time.Now())
		d := f.entries[f.rng.IntN(len(f.entries))]
		d.depositRetry(plainService)
		for range 2 {
			if fail && d.withdrawRetry(plainService) {
				f.repeats = append(f.repeats, time.Now())
			}
		}
	}
}

// disturb draws one entry or all, which know only themselves for a while. The fault passes
// while the load goes on.
func (f *budgetFleet) disturb(kind string, longest time.Duration, fault func(entry, known int)) {
	affected := []int{f.rng.IntN(len(f.entries))}
	if f.rng.IntN(3) == 0 {
		affected = f.rng.Perm(len(f.entries))
	}
	length := time.Duration(f.rng.Int64N(int64(longest)))
	f.log("entries %v: %s, they know the others after %v", affected, kind, length)
	for _, i := range affected {
		fault(i, 1)
	}
	f.recoveries = append(f.recoveries, recovery{time.Now().Add(length), affected})
}

// recover tells the others to the entries whose faults have passed.
func (f *budgetFleet) recover() {
	f.recoveries = slices.DeleteFunc(f.recoveries, func(r recovery) bool {
		due := !time.Now().Before(r.at)
		for _, i := range r.entries {
			if due {
				f.learn(i, len(f.entries))
			}
		}
		return due
	})
}

// check checks the budget in every window that begins with a repeat.
func (f *budgetFleet) check(t *testing.T) {
	t.Helper()
	count := func(list []time.Time, from time.Time) int {
		first, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(list, from.Add(budgetWindow), time.Time.Compare)
		return end - first
	}
	for _, from := range f.repeats {
		n, sent := count(f.repeats, from), 0
		for _, shift := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			sent = max(sent, count(f.requests, from.Add(-shift)))
		}
		if allowed := budgetRatio*float64(sent) + budgetSlack; float64(n) > allowed {
			t.Errorf("%d repeats within %v from %v, allowed %.0f", n, budgetWindow, from.Sub(f.started), allowed)
			for _, e := range f.events {
				t.Log(e)
			}
			return
		}
	}
}

func newBudgetFleet(seed uint64, entries int) *budgetFleet {
	f := &budgetFleet{
		rng: rand.New(rand.NewPCG(seed, 1)), entries: make([]*dispatcher, entries), table: routing.Compile(testDocument()), started: time.Now(),
	}
	for i := range f.entries {
		f.start(i, entries)
	}
	return f
}

// Guards against entries that exceed the retry budget together because a process starts with
// a burst that its predecessor has spent.
func TestRetryBudgetOverRestarts(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 2))
				f := newBudgetFleet(seed, 2+rng.IntN(15))
				interval := time.Duration(1+rng.IntN(40)) * time.Millisecond
				for range 12 {
					f.disturb("killed", 4*time.Second, f.start)
					f.load(time.Duration(rng.IntN(4000))*time.Millisecond, interval, rng.IntN(3) > 0)
				}
				f.check(t)
			})
		})
	}
}

// Guards against entries that exceed the retry budget together because each divides the burst
// by one while it has lost the list of entries.
func TestRetryBudgetWithLostLists(t *testing.T) {
	for _, entries := range []int{4, 8, 16} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newBudgetFleet(uint64(entries), entries)
				for i := range f.entries {
					f.learn(i, 1)
				}
				f.load(8*time.Second, 2*time.Millisecond, false)
				f.load(2*time.Second, 2*time.Millisecond, true)
				for i := range f.entries {
					f.learn(i, entries)
				}
				f.load(10*time.Second, 2*time.Millisecond, true)
				f.check(t)
			})
		})
	}
}
