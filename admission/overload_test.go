package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// overload simulates a pool under random arrivals, in virtual time.
type overload struct {
	random  *rand.Rand
	c       *Controller
	now     time.Time
	arrived map[uint64]time.Time // of waiting requests
	names   map[uint64]string
	running []run
	late    int // number of refusals after a wait of more than lateRefusal
	refused map[string]int
	offered map[string]int
	done    int
}

type run struct {
	name       string
	start, end time.Time
}

const (
	lateRefusal    = 50 * time.Millisecond
	overloadSlots  = 16
	meanService    = 200 * time.Millisecond
	overloadPeriod = 30 * time.Second
)

func newOverload(seed uint64) *overload {
	o := &overload{
		random: rand.New(rand.NewPCG(seed, 1)), c: New(Config{Entry: "a", MaxQueueWait: 500 * time.Millisecond}), now: epoch,
		arrived: map[uint64]time.Time{}, names: map[uint64]string{}, refused: map[string]int{}, offered: map[string]int{},
	}
	o.c.SetSlots(overloadSlots)
	return o
}

// start runs a request for 0.75 to 1.25 times the mean service time.
func (o *overload) start(name string) {
	length := time.Duration((0.75 + o.random.Float64()/2) * float64(meanService))
	o.running = append(o.running, run{name, o.now, o.now.Add(length)})
	slices.SortFunc(o.running, func(a, b run) int { return a.end.Compare(b.end) })
}

func (o *overload) refuse(r Refusal, name string, waited time.Duration) {
	o.refused[name]++
	if waited > lateRefusal {
		o.late++
	}
}

func (o *overload) arrive(id uint64, name string) {
	o.offered[name]++
	r := Request{ID: id, Organisation: name, Deadline: o.now.Add(time.Second)}
	switch admitted, refused := o.c.Submit(r, o.now); {
	case admitted:
		o.start(name)
		return
	case refused != nil:
		o.refuse(*refused, name, 0)
		return
	}
	o.arrived[id], o.names[id] = o.now, name
	o.advance()
}

func (o *overload) advance() {
	granted, refused := o.c.Dispatch(o.now)
	for _, id := range granted {
		o.start(o.names[id])
		delete(o.arrived, id)
	}
	for _, r := range refused {
		o.refuse(r, o.names[r.ID], o.now.Sub(o.arrived[r.ID]))
		delete(o.arrived, r.ID)
	}
}

// finishUntil advances the time to t and finishes the requests that end by then.
func (o *overload) finishUntil(t time.Time) {
	for len(o.running) > 0 && !o.running[0].end.After(t) {
		r := o.running[0]
		o.running = o.running[1:]
		o.now = r.end
		o.done++
		o.c.Done(r.name, r.end.Sub(r.start))
		o.advance()
	}
	o.now = t
}

// offer generates Poisson arrivals at a multiple of the pool's capacity: 60% from
// a large organisation, 2% from a small one and the rest from eight medium ones.
func (o *overload) offer(factor float64) {
	rate := factor * overloadSlots / meanService.Seconds()
	end := epoch.Add(overloadPeriod)
	for id := uint64(1); o.now.Before(end); id++ {
		gap := time.Duration(o.random.ExpFloat64() / rate * float64(time.Second))
		o.finishUntil(o.now.Add(gap))
		name := fmt.Sprint("medium-", o.random.IntN(8))
		switch x := o.random.Float64(); {
		case x < 0.6:
			name = "large"
		case x < 0.62:
			name = "small"
		}
		o.arrive(id, name)
	}
}

// Guards against requests that are queued on a share that other organisations then
// reclaim, so that they are refused only after the longest wait, and against a
// small organisation that loses its share because of that.
func TestRefusalsUnderOverloadAreAtOnce(t *testing.T) {
	for _, factor := range []float64{1, 2, 3} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			late, total := 0, 0
			for seed := range uint64(3) {
				o := newOverload(seed)
				o.offer(factor)
				late += o.late
				for _, n := range o.refused {
					total += n
				}
				served := 1 - float64(o.refused["small"])/float64(o.offered["small"])
				goodput := float64(o.done) / overloadPeriod.Seconds() * meanService.Seconds() / overloadSlots
				t.Logf("seed %d: %d of %d refusals late up to this seed, %.3f of the small organisation's requests served, goodput %.3f of capacity", seed, late, total, served, goodput)
				if served < 0.97 {
					t.Errorf("%.3f of the small organisation's requests served, want at least 0.97, as its demand is below its share", served)
				}
				if goodput < 0.95 {
					t.Errorf("goodput is %.3f of the capacity, want at least 0.95", goodput)
				}
			}
			if late*200 > total {
				t.Errorf("%d of %d refusals came after a wait of more than %v, want at most 0.5%%", late, total, lateRefusal)
			}
		})
	}
}
