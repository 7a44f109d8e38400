package main

import "time"

const (
	faultStart   = 10 * time.Second
	settleTime   = 15 * time.Second // observed after the fault's end
	electionTime = 750 * time.Millisecond
	restartDown  = 2 * time.Second
	restartEvery = 5 * time.Second
	// Withdrawals are frequent around the start of a fault, so that one is
	// accepted just after an instance was confirmed. The odd interval keeps them
	// out of step with the confirmations.
	noteOften    = 107 * time.Millisecond
	noteOftenFor = 3 * time.Second
	noteSeldom   = 31 * time.Second
)

// fault changes the world at its start, and schedules its end.
type fault struct {
	name  string
	lasts time.Duration
	start func(w *world, lasts time.Duration)
	// steady faults leave the leader its quorum, so notes go on. In others the
	// next note comes once a new leader may have been elected.
	steady bool
	// halfSent has a note accepted at the moment of the fault that the last
	// voter has not received and that nobody was told of.
	halfSent bool
	// unaccepted has a note submitted to the leader before it steps down.
	unaccepted bool
}

// Voters 0 and 1 are in region 0, voter 2 in region 1, voter 3 in region 2.
var faults = []fault{
	{name: "leader lost", lasts: time.Minute, start: stop(1, 0)},
	{name: "one voter lost", lasts: time.Minute, start: stop(0, 3), steady: true},
	{name: "two voters lost, other regions", lasts: 10 * time.Minute, start: stop(none, 2, 3)},
	{name: "two voters lost, same region", lasts: 10 * time.Minute, start: stop(none, 0, 1)},
	{name: "two voters lost, same region, a note half sent", lasts: 10 * time.Minute, start: stop(none, 0, 1), halfSent: true},
	{name: "region with two voters cut off", lasts: time.Hour, start: cut(none, around(0))},
	{name: "region with two voters cut off, a note submitted there", lasts: time.Hour, start: cut(none, around(0)), unaccepted: true},
	{name: "region with one voter cut off", lasts: time.Hour, start: cut(0, around(2)), steady: true},
	{name: "all regions cut from each other", lasts: time.Hour, start: cut(none, between)},
	{name: "silent one-way cut of the leader", lasts: time.Minute, start: muteLeader},
	{name: "all voters restarted in turn", lasts: voterCount * restartEvery, start: restartAll, steady: true},
	{name: "one agent paused", lasts: 5 * time.Second, start: pauseAgent, steady: true},
}

// noteTimes are the times of withdrawals.
func (f fault) noteTimes() (times []time.Duration) {
	for at := tick; at < faultStart-noteOften; at += noteOften {
		times = append(times, at)
	}
	next := faultStart + tick
	if !f.steady {
		next += electionTime
	}
	for at := next; at < faultStart+noteOftenFor; at += noteOften {
		times = append(times, at)
	}
	for at := faultStart + noteSeldom; at < faultStart+f.lasts; at += noteSeldom {
		times = append(times, at)
	}
	if f.unaccepted {
		times = append(times, faultStart+electionTime/2)
	}
	return times
}

// stop loses voters for good; the next leader is elected meanwhile.
func stop(next int, voters ...int) func(*world, time.Duration) {
	return func(w *world, _ time.Duration) {
		for _, v := range voters {
			w.voters[v].down = true
		}
		w.after(electionTime, func() { w.lead(next) })
	}
}

// cut separates regions.
func cut(next int, separate func(from, to int) bool) func(*world, time.Duration) {
	return func(w *world, lasts time.Duration) {
		w.cut = separate
		w.after(electionTime, func() { w.lead(next) })
		w.after(lasts, w.heal)
	}
}

func around(region int) func(from, to int) bool {
	return func(from, to int) bool { return (from == region) != (to == region) }
}

func between(from, to int) bool { return from != to }

func muteLeader(w *world, lasts time.Duration) {
	w.muted = w.leader
	w.after(electionTime, func() { w.lead(1) })
	w.after(lasts, w.heal)
}

func (w *world) heal() {
	w.cut, w.muted, w.healed = whole, none, w.now
	w.after(electionTime, func() { w.lead(max(0, w.leader)) })
	w.after(redialTime, w.askAll)
}

// restartAll stops each voter for a while; the leader hands over first.
func restartAll(w *world, _ time.Duration) {
	w.lead(voterCount - 1)
	for v, s := range w.voters {
		begin := time.Duration(v) * restartEvery
		w.after(begin, func() {
			if w.leader == v {
				w.lead(0)
			}
			s.down = true
		})
		w.after(begin+restartDown, func() { s.down, s.up = false, w.now })
		w.after(begin+restartDown+redialTime, func() { w.replicate(); w.askAll() })
	}
}

func pauseAgent(w *world, lasts time.Duration) {
	a := w.agents[0]
	a.paused = true
	w.after(lasts, func() { a.paused, a.resumed = false, w.now })
	w.after(lasts+firstRedial, func() { w.ask(a) })
}
