package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func one(string) float64 { return 1 }

// Guards against shares that exceed demand, leave usable slots unallocated, or
// leave an organisation's demand unmet while another gets a larger share.
func TestFairSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := float64(rapid.IntRange(0, 100).Draw(t, "slots"))
		demands, total := map[string]float64{}, 0.0
		for i, d := range rapid.SliceOfN(rapid.IntRange(0, 60), 1, 10).Draw(t, "demands") {
			demands[fmt.Sprint(i)] = float64(d)
			total += float64(d)
		}
		shares := FairShares(slots, demands, one)
		used, largest := 0.0, 0.0
		for name, share := range shares {
			if share > demands[name]+1e-9 {
				t.Fatalf("organisation %s gets a share of %v, more than its demand of %v", name, share, demands[name])
			}
			used += share
			largest = max(largest, share)
		}
		if math.Abs(used-min(slots, total)) > 1e-6 {
			t.Fatalf("%v of %v slots allocated, total demand %v", used, slots, total)
		}
		for name, share := range shares {
			if share < demands[name]-1e-9 && share < largest-1e-6 {
				t.Fatalf("demand of organisation %s is not met by its share of %v while another gets %v", name, share, largest)
			}
		}
	})
}

// Guards against parts of the entries that do not add up to the pool's slots.
func TestPartsOfAllEntriesFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 100).Draw(t, "slots")
		reports := map[string]Report{}
		for e := range rapid.IntRange(1, 5).Draw(t, "entries") {
			r := Report{}
			for o := range 4 {
				r[fmt.Sprint(o)] = Usage{InFlight: rapid.IntRange(0, 20).Draw(t, "inflight"), Waiting: rapid.IntRange(0, 20).Draw(t, "waiting")}
			}
			reports[fmt.Sprint(e)] = r
		}
		sum := 0.0
		for name := range reports {
			sum += Allocate(slots, name, reports, one).Slots
		}
		if math.Abs(sum-float64(slots)) > 1e-6 {
			t.Fatalf("parts of all entries add up to %v slots, want %d", sum, slots)
		}
	})
}

func request(id uint64, organisation string) Request {
	return Request{ID: id, Organisation: organisation, Deadline: epoch.Add(time.Hour)}
}

// Guards against a small organisation that waits behind the queue of a large one.
func TestFreeSlotGoesToTheSmallest(t *testing.T) {
	is := is.New(t)
	c := New(Config{Entry: "a"})
	c.SetSlots(4)
	for id := range uint64(8) {
		admitted, refused := c.Submit(request(id, "large"), epoch)
		is.Equal(admitted, id < 4)
		is.True(refused == nil)
	}
	admitted, _ := c.Submit(request(100, "small"), epoch)
	is.True(!admitted)
	c.Done("large", time.Second)
	granted, _ := c.Dispatch(epoch)
	is.Equal(granted, []uint64{100})
}

// Guards against requests that are queued although they cannot be served in time,
// and against refusals without a time after which to retry.
func TestRefusalIsAtOnce(t *testing.T) {
	is := is.New(t)
	c := New(Config{Entry: "a", MaxQueueWait: time.Second})
	_, refused := c.Submit(request(1, "org"), epoch)
	is.Equal(refused.Cause, NoSlots)
	c.SetSlots(1)
	admitted, _ := c.Submit(request(2, "org"), epoch)
	is.True(admitted)
	c.Done("org", 400*time.Millisecond) // sets the mean service time
	is.True(firstOf(c.Submit(request(3, "org"), epoch)))
	short := request(4, "org")
	short.Deadline = epoch.Add(300 * time.Millisecond)
	_, refused = c.Submit(short, epoch)
	is.Equal(refused.Cause, DeadlineTooShort)
	for id := uint64(5); id < 7; id++ { // expected waits of 0.4 and 0.8 s
		_, refused = c.Submit(request(id, "org"), epoch)
		is.True(refused == nil)
	}
	_, refused = c.Submit(request(7, "org"), epoch)
	is.Equal(refused.Cause, OverShare)
	is.True(refused.RetryAfter >= time.Second)
	// The slot is never freed: waiting requests are refused after MaxQueueWait.
	_, expired := c.Dispatch(epoch.Add(1100 * time.Millisecond))
	is.Equal(len(expired), 2)
}

// Guards against requests without an organisation that get more slots than the
// pool has, or wait and never get one.
func TestUnnamedOrganisationIsAdmittedLikeOthers(t *testing.T) {
	is := is.New(t)
	c := New(Config{Entry: "a"})
	c.SetSlots(1)
	is.True(firstOf(c.Submit(request(1, ""), epoch)))
	is.True(!firstOf(c.Submit(request(2, ""), epoch)))
	c.Done("", 100*time.Millisecond)
	granted, _ := c.Dispatch(epoch)
	is.Equal(granted, []uint64{2})
}

func firstOf(admitted bool, _ *Refusal) bool { return admitted }

// Guards against slots that leak or are granted twice, over random sequences of
// arrivals, completions and cancellations.
func TestControllerKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		c := New(Config{Entry: "a", MaxQueueWait: time.Second})
		c.SetSlots(slots)
		now, next := epoch, uint64(0)
		waiting, running := map[uint64]string{}, []string{}
		advance := func() {
			granted, refused := c.Dispatch(now)
			for _, id := range granted {
				running = append(running, waiting[id])
				delete(waiting, id)
			}
			for _, r := range refused {
				delete(waiting, r.ID)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				next++
				r := request(next, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"))
				admitted, refused := c.Submit(r, now)
				if admitted {
					running = append(running, r.Organisation)
				} else if refused == nil {
					waiting[r.ID] = r.Organisation
				}
			},
			"done": func(t *rapid.T) {
				if len(running) > 0 {
					c.Done(running[0], 50*time.Millisecond)
					running = running[1:]
					advance()
				}
			},
			"leave": func(t *rapid.T) {
				for id, organisation := range waiting {
					c.Cancel(id, organisation)
					delete(waiting, id)
					break
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				advance()
			},
			"": func(t *rapid.T) {
				if len(running) > slots {
					t.Fatalf("%d requests in flight on %d slots", len(running), slots)
				}
				if len(waiting) > 0 && len(running) == 0 {
					t.Fatal("requests wait while all slots are free")
				}
				if len(running)+len(waiting) == 0 && len(c.organisations) > 0 {
					t.Fatalf("%d organisations kept without requests", len(c.organisations))
				}
				if c.inFlight != len(running) || c.waiting != len(waiting) {
					t.Fatalf("%d in flight and %d waiting, want %d and %d", c.inFlight, c.waiting, len(running), len(waiting))
				}
			},
		})
	})
}

// Guards against an organisation's limit that is exceeded when several entries
// rebalance at the same time, and against allowances that stay at entries without
// demand.
func TestLimitOverEntries(t *testing.T) {
	const limit, entries = 12, 3
	rapid.Check(t, func(t *rapid.T) {
		var cs []*Controller
		for i := range entries {
			c := New(Config{Entry: fmt.Sprint(i), Entries: entries, Limits: map[string]Limit{"org": {MaxInFlight: limit}}})
			c.SetSlots(1000)
			cs = append(cs, c)
		}
		id := uint64(0)
		total := func() (n int) {
			for _, c := range cs {
				n += c.usage("org").InFlight
			}
			return n
		}
		round := func(reports []Report) {
			for i, c := range cs {
				peers := map[string]Report{}
				for j := range cs {
					if j != i {
						peers[fmt.Sprint(j)] = reports[j]
					}
				}
				c.SetPeerReports(peers)
				c.Rebalance(entries)
				c.Dispatch(epoch)
			}
		}
		snapshot := func() (reports []Report) {
			for _, c := range cs {
				reports = append(reports, c.Report())
			}
			return reports
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				c := rapid.SampledFrom(cs).Draw(t, "entry")
				for range rapid.IntRange(1, 10).Draw(t, "n") {
					id++
					c.Submit(request(id, "org"), epoch)
				}
			},
			"done": func(t *rapid.T) {
				c := rapid.SampledFrom(cs).Draw(t, "entry")
				for range min(c.usage("org").InFlight, rapid.IntRange(1, 10).Draw(t, "n")) {
					c.Done("org", time.Millisecond)
				}
				c.Dispatch(epoch)
			},
			"round": func(*rapid.T) { round(snapshot()) },
			"": func(t *rapid.T) {
				if n := total(); n > limit {
					t.Fatalf("%d requests in flight over all entries, limit %d", n, limit)
				}
			},
		})
		// The only entry with demand gets nearly the whole limit, and an entry
		// that has new demand while the others use the whole limit gets a part.
		for _, c := range cs {
			c.Dispatch(epoch.Add(2 * time.Hour)) // refuses all waiting requests
			for c.usage("org").InFlight > 0 {
				c.Done("org", time.Millisecond)
			}
		}
		for range 40 {
			round(snapshot())
			for {
				id++
				if admitted, _ := cs[0].Submit(request(id, "org"), epoch); !admitted {
					break
				}
			}
		}
		if n := cs[0].usage("org").InFlight; n < limit-2 {
			t.Fatalf("the only entry with demand uses %d of a limit of %d, want at least %d", n, limit, limit-2)
		}
		cs[1].Submit(request(id+1, "org"), epoch)
		for range 40 {
			round(snapshot())
			cs[0].Done("org", time.Millisecond)
			if total() > limit {
				t.Fatalf("%d requests in flight over all entries, limit %d", total(), limit)
			}
		}
		if cs[1].usage("org").InFlight == 0 {
			t.Fatal("the second entry with demand gets no part of the limit")
		}
	})
}

// Guards against more retries than the ratio and the burst allow.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(0.1)
	taken := 0
	for range 1000 {
		b.Deposit()
		if b.TryWithdraw(epoch) {
			taken++
		}
	}
	is.True(taken <= 100+DefaultRetryBurst)
	is.True(!b.TryWithdraw(epoch))
	is.True(b.TryWithdraw(epoch.Add(2 * time.Second))) // PerSecond has added tokens
}
