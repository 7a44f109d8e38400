package main

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/confirm"
	"github.com/rhubarbhill/rhubarbhill/gate"
)

const (
	tick         = 500 * time.Microsecond // divides every delay
	pollInterval = 10 * time.Millisecond
	// redialTime is the mean wait before a lost session is dialled again, and
	// firstRedial the wait after a session that was open for long.
	redialTime  = time.Second
	firstRedial = 200 * time.Millisecond

	voterCount  = 4
	regionCount = 3
	none        = -1
	set         = "set"
)

var (
	epoch        = time.Unix(1_000_000, 0)
	voterNames   = []string{"0", "1", "2", "3"}
	voterRegions = []int{0, 0, 1, 2}
	entryRegions = []int{0, 0, 1, 2}
)

type voter struct {
	region            int
	down              bool
	up                time.Duration // of the last restart
	synced, committed uint64        // revisions
}

type agent struct {
	index, region int
	paused        bool
	resumed       time.Duration
	lease         *confirm.Lease
	gate          *gate.Gate
	acted         uint64 // revision acted on
}

// world is one run. Time is the offset from epoch.
type world struct {
	deployment
	rule   rule
	now    time.Duration
	queue  map[time.Duration][]func()
	voters []*voter
	agents []*agent

	leader  int
	term    uint64
	notes   map[uint64]time.Duration // by revision, when accepted
	cut     func(from, to int) bool  // between regions
	healed  time.Duration            // end of the last cut
	muted   int                      // voter whose messages are lost
	stalled bool                     // nothing from the first voter reaches the last one
	result  result
}

func run(d deployment, f fault, r rule) result {
	w := &world{
		deployment: d, rule: r, term: 1, muted: none, healed: -redialTime,
		queue: map[time.Duration][]func(){}, notes: map[uint64]time.Duration{},
		cut:    whole,
		result: result{refusing: make([]time.Duration, d.endpoints)},
	}
	for _, region := range voterRegions {
		w.voters = append(w.voters, &voter{region: region, up: -redialTime})
	}
	for i := range d.endpoints {
		a := &agent{index: i, region: i % regionCount, resumed: -firstRedial, lease: confirm.New(r.lease), gate: gate.New(gate.Config{MaxRecords: 16})}
		w.agents = append(w.agents, a)
		offset := time.Duration(i) * r.period / time.Duration(d.endpoints)
		w.every(r.period, offset.Truncate(tick), func() { w.ask(a) })
	}
	w.schedule(f)
	for ; w.now < faultStart+f.lasts+settleTime; w.now += tick {
		due := w.queue[w.now]
		delete(w.queue, w.now)
		for _, do := range due {
			do()
		}
	}
	return w.result
}

func (w *world) schedule(f fault) {
	w.every(pollInterval, faultStart, w.poll)
	number := 0
	w.every(time.Second/requestsPerSecond, faultStart, func() { w.request(number); number++ })
	for _, at := range f.noteTimes() {
		w.after(at.Truncate(tick), w.propose)
	}
	if f.halfSent {
		w.after(faultStart-2*w.regionDelay-tick, func() { w.stalled = true; w.propose() })
	}
	w.after(faultStart, func() { f.start(w, f.lasts) })
}

// after calls do once a time of at least one tick has passed.
func (w *world) after(d time.Duration, do func()) {
	at := w.now + d.Truncate(tick)
	if d == 0 && w.now > 0 {
		at = w.now + tick
	}
	w.queue[at] = append(w.queue[at], do)
}

func (w *world) every(period, first time.Duration, do func()) {
	w.after(first, func() {
		do()
		w.every(period, period, do)
	})
}

func (w *world) delay(a, b int) time.Duration {
	if a == b {
		return w.zoneDelay
	}
	return w.regionDelay
}

func whole(int, int) bool { return false }

// reaches reports whether messages from one voter reach another.
func (w *world) reaches(from, to int) bool {
	a, b := w.voters[from], w.voters[to]
	lost := from == w.muted || w.stalled && from == 0 && to == voterCount-1
	return !a.down && !b.down && !lost && !w.cut(a.region, b.region)
}

func (w *world) send(from, to int, do func()) {
	if from == to {
		return
	}
	w.after(w.delay(w.voters[from].region, w.voters[to].region), func() {
		if w.reaches(from, to) {
			do()
		}
	})
}

// session reports whether an agent has a session to a voter.
func (w *world) session(a *agent, v int) bool {
	s := w.voters[v]
	dialled := w.now >= s.up+redialTime && w.now >= a.resumed+firstRedial
	healed := s.region == a.region || w.now >= w.healed+redialTime
	return !a.paused && !s.down && dialled && healed && !w.cut(a.region, s.region)
}

// toAgent carries a message of a voter.
func (w *world) toAgent(a *agent, v int, do func()) {
	w.after(w.delay(a.region, w.voters[v].region), func() {
		if w.session(a, v) && v != w.muted {
			do()
		}
	})
}

func (w *world) askAll() {
	for _, a := range w.agents {
		w.ask(a)
	}
}

// ask puts the question of a new round to every voter.
func (w *world) ask(a *agent) {
	if a.paused {
		return
	}
	mark := a.lease.StartRound(epoch.Add(w.now))
	for v := range w.voters {
		w.after(w.delay(a.region, w.voters[v].region), func() {
			if w.session(a, v) {
				w.answer(a, v, mark)
			}
		})
	}
}

// answer is a voter's reply. A leader that confirms alone answers for a voter
// set of itself, numbered by its term.
func (w *world) answer(a *agent, v int, mark uint64) {
	s := w.voters[v]
	r := confirm.Reply{Round: mark, Replica: voterNames[v], Revision: s.committed, Unresolved: s.synced > s.committed, Voters: voterNames, VoterIndex: 1}
	if w.rule.fromLeader {
		if w.leader != v {
			return
		}
		r.Unresolved, r.Voters, r.VoterIndex = false, []string{r.Replica}, w.term
	}
	w.toAgent(a, v, func() {
		a.acted = max(a.acted, r.Revision) // a new session begins with the catalogue
		w.receive(a, r)
	})
}

func (w *world) receive(a *agent, r confirm.Reply) {
	a.lease.Receive(r)
	if !w.rule.refusedCounts || r.Unresolved {
		return
	}
	for v, s := range w.voters {
		if s.down {
			r.Replica = voterNames[v]
			a.lease.Receive(r)
		}
	}
}

// propose gives the leader one more withdrawal.
func (w *world) propose() {
	if w.leader != none && !w.voters[w.leader].down {
		w.voters[w.leader].synced++
		w.replicate()
	}
}

// replicate has the other voters store the leader's newest revision, which is
// accepted once a write quorum holds it.
func (w *world) replicate() {
	leader, revision, holders := w.leader, w.voters[w.leader].synced, 1
	stored := func() {
		holders++
		if holders == voterCount/2+1 {
			w.accept(leader, revision)
		}
	}
	for v, s := range w.voters {
		w.send(leader, v, func() {
			s.synced = max(s.synced, revision)
			w.send(v, leader, stored)
		})
	}
}

func (w *world) accept(leader int, revision uint64) {
	if _, known := w.notes[revision]; !known {
		w.notes[revision] = w.now
		if w.now >= faultStart {
			w.result.accepted++
		}
	}
	w.learn(leader, revision)
	for v := range w.voters {
		w.send(leader, v, func() { w.learn(v, revision) })
	}
}

// learn has a voter know what is accepted and tell the agents.
func (w *world) learn(v int, revision uint64) {
	w.voters[v].synced = max(w.voters[v].synced, revision)
	w.voters[v].committed = max(w.voters[v].committed, revision)
	for _, a := range w.agents {
		w.toAgent(a, v, func() { a.acted = max(a.acted, revision) })
	}
}

// lead makes a voter the leader, which commits what it holds.
func (w *world) lead(v int) {
	w.leader = v
	w.term++
	if v != none {
		w.replicate()
	}
}

// mayServe applies the rule.
func (w *world) mayServe(a *agent) (confirm.Reason, bool) {
	if w.rule.lastKnown && a.lease.Revision() > 0 {
		return "", true
	}
	return a.lease.Check(a.acted, epoch.Add(w.now))
}

// poll looks at each instance.
func (w *world) poll() {
	for _, a := range w.agents {
		_, ok := w.mayServe(a)
		accepted, behind := w.notes[a.acted+1]
		switch {
		case a.paused:
		case !ok:
			w.result.refusing[a.index] += pollInterval
			w.result.total += pollInterval
		case behind:
			w.result.served = max(w.result.served, w.now-accepted)
		}
	}
}

// request sends a request through an entry, which tries the endpoints within
// its reach one after another until one starts it.
func (w *world) request(number int) {
	region := entryRegions[number%len(entryRegions)]
	tried := 0
	for i := range w.agents {
		a := w.agents[(number+i)%len(w.agents)]
		if a.paused || w.cut(region, a.region) {
			continue
		}
		if w.begin(a, number) {
			return
		}
		tried++
		if tried == 1 {
			w.result.refused++
		}
	}
	w.result.lost++
}

// begin asks the gate of an instance.
func (w *world) begin(a *agent, number int) bool {
	reason, _ := w.mayServe(a)
	id := gate.ID{Entry: "entry", Start: 1, Counter: uint64(number) + 1}
	decision := a.gate.Begin(gate.Request{ID: id, Set: set}, gate.Conditions{Refusal: gate.Reason(reason), Sets: []string{set}}, epoch.Add(w.now))
	a.gate.Finish(id, true)
	return decision.Verdict == gate.Start
}
