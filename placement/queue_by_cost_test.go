package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

// kind is a kind of request of a load, and what its callers get.
type kind struct {
	priority  int
	prompt    int
	objective time.Duration
	demand    float64 // as a multiple of the capacity

	asked, onTime, late, refused int
	refusedLate                  int // refused after more than an eighth of the objective
}

func (k *kind) served() float64       { return float64(k.onTime+k.late) / float64(k.asked) }
func (k *kind) servedOnTime() float64 { return float64(k.onTime) / float64(k.asked) }

// rankedLoad plays a load of several kinds of requests through a broker. Streams hold
// their slots for 0.3 to 1.7 times the mean service time. Callers do not come back.
type rankedLoad struct {
	simulation
	broker  *placement.Broker
	kinds   []*kind
	pending map[uint64]pendingRequest
	next    uint64
}

type pendingRequest struct {
	kind    *kind
	arrived time.Time
}

func playRanked(engines int, length time.Duration, kinds ...*kind) {
	var endpoints []placement.Endpoint
	for i := range engines {
		endpoints = append(endpoints, endpoint(string(rune('a'+i))))
	}
	l := &rankedLoad{
		simulation: simulation{engines: engines, random: rand.New(rand.NewPCG(5, 6)), now: start},
		broker:     broker(endpoints...), kinds: kinds, pending: map[uint64]pendingRequest{},
	}
	service := time.Duration(engine.ServiceMs() * float64(time.Millisecond))
	end := l.now.Add(length)
	for _, k := range kinds {
		gap := float64(service) / (k.demand * float64(engines*engine.Slots))
		var arrive func()
		arrive = func() {
			if l.now.After(end) {
				return
			}
			l.ask(k)
			l.after(time.Duration(l.random.ExpFloat64()*gap), arrive)
		}
		arrive()
	}
	var tick func()
	tick = func() {
		l.broker.Tick(l.now)
		if len(l.pending) > 0 || !l.now.After(end) {
			l.after(10*time.Millisecond, tick)
		}
	}
	tick()
	for l.events.Len() > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
		l.settle(service)
	}
}

func (l *rankedLoad) ask(k *kind) {
	const maxWaitShare = 0.3
	k.asked++
	l.next++
	l.pending[l.next] = pendingRequest{k, l.now}
	l.broker.RequestSlot(placement.SlotRequest{
		SlotRequestID: placement.SlotRequestID{Entry: "x", Sequence: l.next},
		Request:       placement.Request{PromptTokens: k.prompt, Zone: "a", Priority: k.priority},
		MaxWait:       time.Duration(maxWaitShare * float64(k.objective)), TimeLeft: k.objective,
	}, l.now)
}

// settle handles the responses of the broker.
func (l *rankedLoad) settle(service time.Duration) {
	for _, a := range l.broker.TakeResponses() {
		p, ok := l.pending[a.RequestID.Sequence]
		if !ok || a.Verdict == placement.Queued {
			continue
		}
		delete(l.pending, a.RequestID.Sequence)
		waited := l.now.Sub(p.arrived)
		if a.Verdict != placement.Placed {
			p.kind.refused++
			if waited > p.kind.objective/8 {
				p.kind.refusedLate++
			}
			continue
		}
		if waited+a.Choice.TTFT <= p.kind.objective {
			p.kind.onTime++
		} else {
			p.kind.late++
		}
		l.after(a.Choice.TTFT, func() { l.broker.FirstEvent(a.RequestID, 0, l.now) })
		lasts := time.Duration((0.3 + 1.4*l.random.Float64()) * float64(service)) // the mean is service
		l.after(lasts, func() { l.broker.End(a.RequestID, placement.Success, l.now) })
	}
}

func urgentAndNot(urgentDemand, otherDemand float64) (urgent, other *kind) {
	urgent = &kind{priority: 0, prompt: 1290, objective: 400 * time.Millisecond, demand: urgentDemand}
	other = &kind{priority: 2, prompt: 607, objective: 800 * time.Millisecond, demand: otherDemand}
	return urgent, other
}

// Guards against serving the most urgent requests worst. Their prompts are long and their
// objective is narrow, so any order by deadline or by what fits prefers the others. The urgent
// requests alone need 0.6 of the capacity, all together 1.4 times the capacity.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	is := is.New(t)
	urgent, other := urgentAndNot(0.6, 0.8)
	playRanked(12, 20*time.Second, urgent, other)
	t.Logf("urgent: %+v; other: %+v", *urgent, *other)
	is.True(urgent.served() >= 0.98)
	is.True(urgent.served() >= other.served())
	is.True(urgent.servedOnTime() >= other.servedOnTime())
	is.True(other.served() >= 0.3) // what the urgent ones leave is used
	// What cannot be served is refused at once.
	is.True(float64(other.refusedLate) <= 0.25*float64(other.refused))
}

// Guards against starving the least urgent requests for as long as urgent ones need more than
// the capacity, and against serving them at the expense of most urgent ones.
func TestLeastUrgentRequestsKeepMinimumShare(t *testing.T) {
	is := is.New(t)
	urgent, other := urgentAndNot(1.5, 0.4)
	playRanked(12, 20*time.Second, urgent, other)
	t.Logf("urgent: %+v; other: %+v", *urgent, *other)
	is.True(other.served() > 0.05)
	is.True(urgent.served() > 0.5)
}

// Guards against requests that wait although more urgent ones have taken their place in the
// queue: they must be refused at once, with the time until a slot is expected.
func TestDisplacedRequestsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	for i := range 16 {
		running := slotRequest("x", uint64(i+1))
		running.Priority = 2
		b.RequestSlot(running, start)
	}
	other := slotRequest("x", 100)
	other.Priority, other.MaxWait = 2, 150*time.Millisecond
	b.RequestSlot(other, start)
	is.Equal(verdicts(b.TakeResponses())[100], placement.Queued)
	var displaced []placement.SlotResponse
	for i := range 40 {
		b.RequestSlot(slotRequest("x", uint64(200+i)), start)
		for _, a := range b.TakeResponses() {
			if a.RequestID.Sequence == 100 {
				displaced = append(displaced, a)
			}
		}
	}
	is.Equal(len(displaced), 1)
	is.Equal(displaced[0].Verdict, placement.Displaced)
	is.True(displaced[0].Ahead > 0)
	is.True(displaced[0].SlotInterval > 0)
	_, granted := b.Counts()
	is.Equal(granted, 16) // what runs is not touched
}

// Guards against a broker that treats requests of equal priority differently than one that
// knows no priorities.
func TestEqualPrioritiesKeepOrderByDeadline(t *testing.T) {
	is := is.New(t)
	for _, priority := range []int{0, 3} {
		b := broker(endpoint("e"))
		for i := range 16 {
			running := slotRequest("x", uint64(i+1))
			running.Priority = priority
			b.RequestSlot(running, start)
		}
		for i, wait := range []time.Duration{300, 200, 250} {
			a := slotRequest("x", uint64(101+i))
			a.MaxWait, a.Priority = wait*time.Millisecond, priority
			b.RequestSlot(a, start)
		}
		b.TakeResponses()
		var order []uint64
		for i := range 3 {
			b.End(placement.SlotRequestID{Entry: "x", Sequence: uint64(i + 1)}, placement.Success, start.Add(10*time.Millisecond))
			for _, a := range b.TakeResponses() {
				order = append(order, a.RequestID.Sequence)
			}
		}
		is.Equal(order, []uint64{102, 103, 101})
	}
}

// Guards against an entry without a broker that lets urgent requests wait behind less urgent
// ones whose deadline is earlier.
func TestWaitQueueOrdersByPriority(t *testing.T) {
	is := is.New(t)
	var q placement.WaitQueue[string]
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	q.Push(2, at(10), "digest")
	q.Push(0, at(300), "summary")
	q.Push(0, at(200), "earlier summary")
	is.Equal(q.Ahead(0), 2)
	is.Equal(q.Ahead(1), 2)
	is.Equal(q.Ahead(2), 3)
	is.True(q.ServedWithin(0, 300*time.Millisecond, 100*time.Millisecond))
	is.True(!q.ServedWithin(2, 300*time.Millisecond, 100*time.Millisecond))
	var order []string
	for {
		next, _, ok := q.Pop()
		if !ok {
			break
		}
		order = append(order, next)
	}
	is.Equal(order, []string{"earlier summary", "summary", "digest"})
}

// Guards against counting slots for a priority that were released long ago: it would get no
// minimum share any more.
func TestReleasedSlotsDoNotCountForMinimumShare(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	request := func(sequence uint64, priority int) {
		a := slotRequest("x", sequence)
		a.Priority, a.MaxWait = priority, time.Minute
		b.RequestSlot(a, start.Add(time.Second))
	}
	for i := range 16 {
		request(uint64(1+i), 2)
	}
	b.Reconcile("x", nil, start.Add(2*time.Second)) // the entry holds none of them
	for i := range 17 {
		request(uint64(101+i), 0)
	}
	request(201, 2)
	waiting, granted := b.Counts()
	is.Equal([]int{waiting, granted}, []int{2, 16})
	b.TakeResponses()
	b.End(placement.SlotRequestID{Entry: "x", Sequence: 101}, placement.Success, start.Add(2*time.Second))
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{201: placement.Placed})
}

// Guards against minimum shares that add up: with many priorities, the most urgent requests would
// get none of the slots that become free.
func TestMinimumSharesOfManyPriorities(t *testing.T) {
	is := is.New(t)
	urgent, _ := urgentAndNot(1.5, 0)
	kinds := []*kind{urgent}
	for i := range 20 {
		kinds = append(kinds, &kind{priority: 1 + i, prompt: 607, objective: 20 * time.Second, demand: 0.8})
	}
	playRanked(12, 20*time.Second, kinds...)
	others, worst := 0.0, 1.0
	for _, k := range kinds[1:] {
		others += k.served() / float64(len(kinds)-1)
		worst = min(worst, k.served())
	}
	t.Logf("urgent: %+v; mean of the others %.3f, worst %.3f", *urgent, others, worst)
	is.True(urgent.served() > 0.45)
	is.True(worst > 0)
}

// Guards against a request that is queued or refused, although it could start, behind requests
// that may not use the free slot.
func TestUnusableSlotsAreLeftToOthers(t *testing.T) {
	is := is.New(t)
	newer := endpoint("newer")
	newer.WeightsVersion = 2
	b := broker(endpoint("older"), newer)
	request := func(sequence, minVersion uint64, exclude ...string) {
		a := slotRequest("x", sequence)
		a.MinVersion, a.Exclude, a.MaxWait = minVersion, exclude, time.Second
		b.RequestSlot(a, start)
	}
	for i := range 16 {
		request(uint64(1+i), 2)
	}
	request(101, 2)
	request(102, 0, "older")
	waiting, _ := b.Counts()
	is.Equal(waiting, 2)
	b.TakeResponses()
	request(200, 0)
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{200: placement.Placed})
}

// Guards against a request that turns out to be late on arrival and starts before a more urgent
// late one that waits for the same slot.
func TestLateArrivalsDoNotOvertake(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	b.RequestSlot(slotRequest("x", 1), start)
	perSecond := 1.0
	b.RecordRateLimit(placement.SlotRequestID{Entry: "x", Sequence: 1}, &perSecond, start)
	b.End(placement.SlotRequestID{Entry: "x", Sequence: 1}, placement.Success, start)
	urgent := slotRequest("x", 100)
	urgent.Late = true
	b.RequestSlot(urgent, start.Add(500*time.Millisecond))
	waiting, _ := b.Counts()
	is.Equal(waiting, 1)
	b.TakeResponses()

	permitDue := start.Add(time.Second)
	other := slotRequest("x", 200)
	other.Priority, other.TimeLeft = 2, time.Millisecond // it cannot be on time
	b.RequestSlot(other, permitDue)
	is.True(verdicts(b.TakeResponses())[200] != placement.Placed)
	b.Tick(permitDue)
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{100: placement.Placed})
}

// Guards against a slot that stays free because the first requests of the queue may not use it,
// though a later one may.
func TestExclusionsDoNotKeepSlotsIdle(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("a"), endpoint("b"))
	request := func(sequence uint64, exclude ...string) {
		r := slotRequest("x", sequence)
		r.Exclude, r.MaxWait = exclude, 2*time.Second
		b.RequestSlot(r, start)
	}
	for i := range 16 {
		request(uint64(1+i), "b")
		request(uint64(101+i), "a")
	}
	for i := range 10 {
		request(uint64(201+i), "b")
	}
	request(300)
	waiting, granted := b.Counts()
	is.Equal([]int{waiting, granted}, []int{11, 32})
	b.TakeResponses()
	b.End(placement.SlotRequestID{Entry: "x", Sequence: 101}, placement.Success, start) // a slot of b
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{300: placement.Placed})
}

// Guards against refusing a request on arrival that would get the next free slot by the minimum
// share of its priority.
func TestMinimumShareIsNotRefused(t *testing.T) {
	is := is.New(t)
	b := broker(endpoint("e"))
	for i := range 17 { // 16 run, one is queued
		b.RequestSlot(slotRequest("x", uint64(1+i)), start)
	}
	other := slotRequest("x", 100)
	other.Priority = 2
	b.TakeResponses()
	b.RequestSlot(other, start.Add(time.Millisecond))
	is.Equal(verdicts(b.TakeResponses())[100], placement.Queued)
	b.End(placement.SlotRequestID{Entry: "x", Sequence: 1}, placement.Success, start.Add(10*time.Millisecond))
	is.Equal(verdicts(b.TakeResponses()), map[uint64]placement.Verdict{100: placement.Placed})
}
