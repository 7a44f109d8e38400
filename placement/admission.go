package placement

import (
	"math"
	"slices"
	"time"
)

// The decisions of this file answer a lasting load beyond the capacity: which requests start
// although more urgent ones wait, and which are refused at once because their turn cannot come.

// minimumShare is the share of the slots of a group up to which each priority is served even
// while more urgent requests wait. Without it, a lasting overload by urgent requests would
// starve all others. With this one, about a third of the requests of a kind that asks for a
// quarter of the capacity is served. A higher share delays urgent requests.
const minimumShare = 0.08

// maxMinimumShares limits the minimum shares of all priorities together. There may be a hundred,
// whose shares would add up to all slots. Three priorities have their full share.
const maxMinimumShares = 3 * minimumShare

// mustQueue reports whether a new request may not start at an endpoint now, because a queued one
// that could start there comes before it.
func (b *Broker) mustQueue(a SlotRequest, c Choice, now time.Time) bool {
	s := b.pool.endpoints[c.ID]
	couldStart := func(r Request) bool {
		return b.pool.suitable(s, r, now) && b.pool.beginsInTime(s, b.pool.load(s, now), &r, now)
	}
	return b.queue.precedes(a, couldStart) && !(b.outranked(a) && b.belowMinimumShare(a, b.pool.totalSlots(now)))
}

// outranked reports whether a request may need the minimum share of its priority: more urgent
// requests wait, and it can still be on time.
func (b *Broker) outranked(a SlotRequest) bool {
	return b.queue.len() > 0 && !a.Late && b.queue.waiting[0].Priority < a.Priority
}

// belowMinimumShare reports whether the priority of a request that is outranked holds less than
// its minimum share of the slots.
func (b *Broker) belowMinimumShare(a SlotRequest, slots int) bool {
	share := min(minimumShare, maxMinimumShares/float64(b.outrankedPriorities(a)))
	if float64(b.held[a.Priority]) >= share*float64(slots) {
		return false
	}
	total := 0.0
	for priority, held := range b.held {
		if priority > b.queue.waiting[0].Priority {
			total += min(float64(held), minimumShare*float64(slots))
		}
	}
	return total < maxMinimumShares*float64(slots)
}

// outrankedPriorities returns the number of priorities of the queued requests that are outranked,
// and of a.
func (b *Broker) outrankedPriorities(a SlotRequest) int {
	seen := map[int]bool{a.Priority: true}
	for _, w := range b.queue.waiting {
		if b.outranked(w.SlotRequest) {
			seen[w.Priority] = true
		}
	}
	return len(seen)
}

// serveMinimumShares grants slots to the priorities that hold less than their minimum share
// while more urgent requests wait.
func (b *Broker) serveMinimumShares(now time.Time) {
	if !slices.ContainsFunc(b.queue.waiting, func(w queuedRequest) bool { return b.outranked(w.SlotRequest) }) || !b.pool.hasFreeSlot(now) {
		return
	}
	slots := b.pool.totalSlots(now)
	var granted []SlotRequestID
	tried := map[int]bool{}
	for _, w := range b.queue.waiting {
		if tried[w.Priority] || !b.outranked(w.SlotRequest) || !b.belowMinimumShare(w.SlotRequest, slots) {
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
	// Most queued requests may use the same endpoints, and each prediction looks at all of them.
	known := map[intervalKey]time.Duration{}
	interval := func(w queuedRequest) time.Duration {
		key := intervalKey{w.urgency(), w.usableKey()}
		if _, ok := known[key]; !ok {
			known[key] = b.slotInterval(w.SlotRequest, now)
		}
		return known[key]
	}
	removed, ahead := b.queue.removeUnservable(a, interval, now)
	for i, w := range removed {
		b.refuse(w.SlotRequest, Displaced, interval(w), ahead[i])
	}
}

// intervalKey is what slotInterval depends on besides the state of the broker.
type intervalKey struct {
	urgency
	usableKey
}

// slotInterval predicts the time between two slots that become free for requests as urgent as
// a: those that more urgent requests are expected to take are left out. Late requests come in
// waves, after capacity was lost, and their recent rate says nothing about the next second.
func (b *Broker) slotInterval(a SlotRequest, now time.Time) time.Duration {
	interval := b.pool.NextSlot(a.Request, now)
	if a.Late {
		return interval
	}
	taken := min(maxTakenShare, b.arrivals.moreUrgent(a.urgency(), now)*interval.Seconds())
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

// moreUrgent returns the rate per second of requests of the same class of service and a higher
// priority than u.
func (a *arrivals) moreUrgent(u urgency, now time.Time) float64 {
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
