package placement

import (
	"math"
	"time"
)

// minimumShare is the share of the slots of a group up to which each priority is served even
// while more urgent requests wait. Without it, a lasting overload by urgent requests would
// starve all others. With this one, about a third of the requests of a kind that asks for a
// quarter of the capacity is served. A higher share delays urgent requests.
const minimumShare = 0.08

// mustQueue reports whether a new request may not start at an endpoint now, because a queued one
// that could start there comes before it.
func (b *Broker) mustQueue(a SlotRequest, c Choice, now time.Time) bool {
	return b.queue.precedes(a, c.Region) && !b.belowMinimumShare(a, now)
}

// belowMinimumShare reports whether the priority of a request holds less than its minimum share
// of the slots.
func (b *Broker) belowMinimumShare(a SlotRequest, now time.Time) bool {
	if b.queue.len() == 0 || a.Late || b.queue.waiting[0].Priority >= a.Priority {
		return false
	}
	held := 0
	for _, g := range b.grants {
		if g.priority == a.Priority {
			held++
		}
	}
	return float64(held) < minimumShare*float64(b.pool.totalSlots(now))
}

// serveMinimumShares grants slots to the priorities that hold less than their minimum share
// while more urgent requests wait.
func (b *Broker) serveMinimumShares(now time.Time) {
	if b.queue.len() == 0 {
		return
	}
	var granted []SlotRequestID
	tried := map[int]bool{}
	for _, w := range b.queue.waiting {
		if tried[w.Priority] || !b.belowMinimumShare(w.SlotRequest, now) {
			tried[w.Priority] = true
			continue
		}
		choice, verdict := b.pool.Place(w.Request, now)
		if verdict != Placed {
			tried[w.Priority] = true
			continue
		}
		b.grant(w.SlotRequest, choice, now)
		granted = append(granted, w.SlotRequestID)
	}
	for _, id := range granted {
		b.queue.remove(func(w queuedRequest) bool { return w.SlotRequestID == id })
	}
}

// refuseDisplaced refuses the queued requests that get no slot in time because a more urgent one
// was queued before them. They are told at once instead of at the end of their wait.
func (b *Broker) refuseDisplaced(a SlotRequest, now time.Time) {
	interval := func(w queuedRequest) time.Duration { return b.slotInterval(w.SlotRequest, now) }
	hopeless, ahead := b.queue.removeHopeless(a, interval, now)
	for i, w := range hopeless {
		b.refuse(w.SlotRequest, Displaced, interval(w), ahead[i])
	}
}

// slotInterval predicts the time between two slots that become free for requests as urgent as
// a: those that more urgent requests are expected to take are left out. Late requests come in
// waves, after capacity was lost, and their recent rate says nothing about the next second.
func (b *Broker) slotInterval(a SlotRequest, now time.Time) time.Duration {
	interval := b.pool.NextSlot(a.Request, now)
	if a.Late {
		return interval
	}
	taken := min(maxTakenShare, b.arrivals.morePressing(a.urgency(), now)*interval.Seconds())
	return time.Duration(float64(interval) / (1 - taken))
}

const (
	// arrivalWindow is the time constant of the arrival rates. Bursts last for seconds; a shorter
	// one follows chance.
	arrivalWindow = 500 * time.Millisecond
	// maxTakenShare limits the share of the free slots that more urgent requests are expected to
	// take, since the minimum share is left to the others.
	maxTakenShare = 1 - minimumShare
)

// arrivals holds the recent arrival rates of requests for slots by urgency. They tell less urgent
// requests how much of the capacity will be left for them.
type arrivals struct{ rates map[urgency]*decayingRate }

// decayingRate is a rate of events as a count that decays exponentially.
type decayingRate struct {
	count float64
	at    time.Time
}

func (r *decayingRate) perSecond(now time.Time) float64 {
	return r.count * math.Exp(-float64(now.Sub(r.at))/float64(arrivalWindow)) / arrivalWindow.Seconds()
}

func (a *arrivals) record(u urgency, now time.Time) {
	if a.rates == nil {
		a.rates = map[urgency]*decayingRate{}
	}
	r := a.rates[u]
	if r == nil {
		r = &decayingRate{at: now}
		a.rates[u] = r
	}
	r.count, r.at = r.perSecond(now)*arrivalWindow.Seconds()+1, now
}

// morePressing returns the rate per second of requests of the same class of service and a higher
// priority than u.
func (a *arrivals) morePressing(u urgency, now time.Time) float64 {
	total := 0.0
	for o, r := range a.rates {
		if o.class == u.class && o.rank < u.rank {
			total += r.perSecond(now)
		}
	}
	return total
}

// totalSlots returns the number of slots of the endpoints that accept requests.
func (p *Pool) totalSlots(now time.Time) int {
	n := 0
	for _, s := range p.endpoints {
		if p.suitable(s, Request{}, now) {
			n += p.slots(s)
		}
	}
	return n
}
