package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// place is the place of a waiting request: a position in the queue of its
// organisation.
type place struct {
	organisation *organisation
	name         string
	position     int
	latest       time.Time
}

func (p place) request() *waiting { return &p.organisation.queue[p.position] }

func (c *Controller) remove(p place) {
	p.organisation.queue = slices.Delete(p.organisation.queue, p.position, p.position+1)
	c.waiting--
}

// reserve is the part of QueueWait by which the line is planned to be earlier:
// slots come free at random, and estimates are means.
func (c *Controller) reserve() time.Duration { return c.cfg.QueueWait / 4 }

// latestStart is when a waiting request is planned to get a slot at the latest.
func (c *Controller) latestStart(w waiting) time.Time {
	byWait := w.since.Add(c.cfg.QueueWait - c.reserve())
	byDeadline := w.Deadline.Add(-time.Duration(c.service * float64(time.Second)))
	if byDeadline.Before(byWait) {
		return byDeadline
	}
	return byWait
}

// line returns the waiting requests that may be granted a slot, in the order of
// their latest starts. Those held by their organisation's own limit are left
// out: they wait for its slots, not for the pool's.
func (c *Controller) line() []place {
	list := make([]place, 0, c.waiting)
	for name, o := range c.organisations {
		if o.inFlight >= c.limit(name) {
			continue
		}
		for i, w := range o.queue {
			list = append(list, place{o, name, i, c.latestStart(w)})
		}
	}
	slices.SortFunc(list, func(a, b place) int {
		return cmp.Or(a.latest.Compare(b.latest), cmp.Compare(a.request().ID, b.request().ID))
	})
	return list
}

// poolWait is the time until the entry's slots have served the requests ahead,
// whichever organisation they belong to.
func (c *Controller) poolWait(ahead int, division Division) time.Duration {
	return time.Duration(float64(ahead) / float64(usable(division)) * float64(c.serviceTime()))
}

// slack is the least time by which a request of the line starts before its
// latest start, when slots are granted in the order of the line.
func (c *Controller) slack(line []place, division Division, now time.Time) time.Duration {
	least := c.cfg.QueueWait
	for i, p := range line {
		least = min(least, p.latest.Sub(now.Add(c.poolWait(i+1, division))))
	}
	return least
}

// guard is the slack below which slots are granted in the order of the line.
// Slots granted together come free together, so the next one can be a whole
// service time away. Before a service time is known there is no estimate to
// act on.
func (c *Controller) guard() time.Duration {
	if c.service == 0 {
		return math.MinInt64
	}
	return min(c.serviceTime(), c.cfg.QueueWait/2)
}

// queueable is the wait for the pool's slots above which only organisations
// within their shares may queue more, for a longest permitted wait. The rest is
// left to them, and to slots that other entries take back.
func queueable(longest time.Duration) time.Duration { return longest * 3 / 4 }

// share is the number of slots, over all entries, that an equal division by
// weight among the organisations with requests gives to one of them.
func (c *Controller) share(name string, division Division) float64 {
	total := 0.0
	for other := range division.Parts {
		total += c.weight(other)
	}
	return float64(c.slots) * c.weight(name) / total
}

// withinShare reports whether an organisation asks for no more than its share,
// now or lately. Requests that arrive at a rate are in the system for the wait
// and the service, so a queue raises the number that belongs to the same share.
func (c *Controller) withinShare(name string, division Division, now time.Time) bool {
	if c.hasCredit(name, 1, division, now) {
		return true
	}
	planned := c.cfg.QueueWait - c.reserve()
	if c.poolWait(c.waiting-1, division) <= planned && c.hasCredit(name, creditWaits, division, now) {
		return true
	}
	wait := min(c.poolWait(c.waiting, division), queueable(c.cfg.QueueWait))
	queued := float64(wait) / float64(c.serviceTime())
	return c.demand(name) <= c.share(name, division)*(1+queued)
}

// demand is the number of an organisation's requests at all entries.
func (c *Controller) demand(name string) float64 {
	n := c.usage(name).Demand()
	for _, report := range c.peers {
		n += report[name].Demand()
	}
	return float64(n)
}

// shed refuses waiting requests as soon as the pool cannot serve them within
// QueueWait any more, so that nobody waits for an answer that is already
// decided. Only what lies before a request in the line can make it late.
func (c *Controller) shed(division Division, now time.Time) []Refusal {
	if c.service == 0 {
		return nil
	}
	var refused []Refusal
	for {
		// An organisation that precedes others gets the next slot in any case.
		line := slices.DeleteFunc(c.line(), func(p place) bool { return c.precedes(p.name, division) })
		late := c.firstLate(line, division, now)
		if late < 0 {
			return refused
		}
		p := c.newestOfLargest(line[:late+1])
		retry := max(minRetryAfter, c.expectedWait(p.name, len(p.organisation.queue), division))
		refused = append(refused, Refusal{p.request().ID, OverShare, retry})
		c.remove(p)
		c.forgetIdle(p.name)
	}
}

// firstLate returns the position of the first request of the line that would
// start after its latest start by more than the reserve, -1 if there is none.
func (c *Controller) firstLate(line []place, division Division, now time.Time) int {
	for i, p := range line {
		if now.Add(c.poolWait(i+1, division)).After(p.latest.Add(c.reserve())) {
			return i
		}
	}
	return -1
}

// newestOfLargest returns the newest request in the line of the organisation
// whose demand is the largest for its weight.
func (c *Controller) newestOfLargest(line []place) place {
	size := func(p place) float64 { return c.demand(p.name) / c.weight(p.name) }
	return slices.MaxFunc(line, func(a, b place) int {
		return cmp.Or(cmp.Compare(size(a), size(b)), cmp.Compare(a.request().ID, b.request().ID))
	})
}
