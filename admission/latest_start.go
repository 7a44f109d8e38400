package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// queueRef refers to a waiting request by its index in the queue of its
// organisation.
type queueRef struct {
	organisation *organisation
	name         string
	index        int
	latestStart  time.Time
}

func (p queueRef) request() *waitingRequest { return &p.organisation.queue[p.index] }

func (c *Controller) remove(p queueRef) {
	p.organisation.queue = slices.Delete(p.organisation.queue, p.index, p.index+1)
	c.waiting--
}

// startMargin returns how long before the end of MaxQueueWait a request is planned to
// start at the latest. The margin is needed because slots become free at random
// times and service time estimates are means.
func (c *Controller) startMargin() time.Duration { return c.cfg.MaxQueueWait / 4 }

// latestStart returns the latest time at which a waiting request should get a
// slot, so that it neither exceeds MaxQueueWait nor misses its deadline.
func (c *Controller) latestStart(w waitingRequest) time.Time {
	byWait := w.arrived.Add(c.cfg.MaxQueueWait - c.startMargin())
	byDeadline := w.Deadline.Add(-time.Duration(c.meanService * float64(time.Second)))
	if byDeadline.Before(byWait) {
		return byDeadline
	}
	return byWait
}

// byLatestStart returns the waiting requests that may get a slot, in the order of their
// latest starts (earliest deadline first). Requests of organisations at their own
// limit are left out: they do not wait for slots of the pool.
func (c *Controller) byLatestStart() []queueRef {
	list := make([]queueRef, 0, c.waiting)
	for name, o := range c.organisations {
		if o.inFlight >= c.localLimit(name) {
			continue
		}
		for i, w := range o.queue {
			list = append(list, queueRef{o, name, i, c.latestStart(w)})
		}
	}
	slices.SortFunc(list, func(a, b queueRef) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.request().ID, b.request().ID))
	})
	return list
}

// poolWait returns the time that the entry's slots need to serve the given number
// of requests, of any organisation.
func (c *Controller) poolWait(ahead int, allocation Allocation) time.Duration {
	return time.Duration(float64(ahead) / float64(usableSlots(allocation)) * float64(c.serviceTime()))
}

// slack returns the shortest time by which a request starts before its latest
// start if slots are granted in the given order.
func (c *Controller) slack(ordered []queueRef, allocation Allocation, now time.Time) time.Duration {
	least := c.cfg.MaxQueueWait
	for i, p := range ordered {
		least = min(least, p.latestStart.Sub(now.Add(c.poolWait(i+1, allocation))))
	}
	return least
}

// minSlack returns the slack below which slots are granted in the order of latest
// starts instead of by fair shares. Slots granted together become free together,
// so the next one can be a whole service time away. Until a service time is
// known, there is no estimate of the slack to act on.
func (c *Controller) minSlack() time.Duration {
	if c.meanService == 0 {
		return math.MinInt64
	}
	return min(c.serviceTime(), c.cfg.MaxQueueWait/2)
}

// overShareWaitLimit returns the wait for the pool's slots above which only
// organisations within their shares may queue more requests, given the longest
// permitted wait. The remaining quarter is left to those organisations and allows
// for slots that other entries reclaim.
func overShareWaitLimit(longest time.Duration) time.Duration { return longest * 3 / 4 }

// share returns an organisation's part of the pool's slots over all entries when
// they are divided by weight among the organisations with requests.
func (c *Controller) share(name string, allocation Allocation) float64 {
	total := 0.0
	for other := range allocation.ByOrganisation {
		total += c.weight(other)
	}
	return float64(c.slots) * c.weight(name) / total
}

// withinShare reports whether an organisation's demand, current or recent, is at
// most its share. Requests are in the system for their wait and their service
// time, so by Little's law the same arrival rate means more requests in the system
// when there is a queue, and the share is scaled up accordingly.
func (c *Controller) withinShare(name string, allocation Allocation, now time.Time) bool {
	if c.hasCredit(name, 1, allocation, now) {
		return true
	}
	planned := c.cfg.MaxQueueWait - c.startMargin()
	if c.poolWait(c.waiting-1, allocation) <= planned && c.hasCredit(name, creditWaits, allocation, now) {
		return true
	}
	wait := min(c.poolWait(c.waiting, allocation), overShareWaitLimit(c.cfg.MaxQueueWait))
	queued := float64(wait) / float64(c.serviceTime())
	return c.demand(name) <= c.share(name, allocation)*(1+queued)
}

// demand returns the number of an organisation's requests at all entries, waiting
// or in flight.
func (c *Controller) demand(name string) float64 {
	n := c.usage(name).Demand()
	for _, report := range c.peers {
		n += report[name].Demand()
	}
	return float64(n)
}

// shed refuses waiting requests as soon as the pool can no longer serve them
// within MaxQueueWait, so that no caller waits for a refusal that is already certain.
// A request can be late only because of requests before it in the order of latest
// starts, so one of those, or the late request itself, is refused.
func (c *Controller) shed(allocation Allocation, now time.Time) []Refusal {
	if c.meanService == 0 {
		return nil
	}
	var refused []Refusal
	for {
		// Organisations far below their share get the next slots in any case.
		ordered := slices.DeleteFunc(c.byLatestStart(), func(p queueRef) bool { return c.underserved(p.name, allocation) })
		late := c.firstLate(ordered, allocation, now)
		if late < 0 {
			return refused
		}
		p := c.newestOfLargest(ordered[:late+1])
		retry := max(minRetryAfter, c.expectedWait(p.name, len(p.organisation.queue), allocation))
		refused = append(refused, Refusal{p.request().ID, OverShare, retry})
		c.remove(p)
		c.forgetIdle(p.name)
	}
}

// firstLate returns the index of the first request that would start later than its
// latest start by more than startMargin, or -1 if there is none.
func (c *Controller) firstLate(ordered []queueRef, allocation Allocation, now time.Time) int {
	for i, p := range ordered {
		if now.Add(c.poolWait(i+1, allocation)).After(p.latestStart.Add(c.startMargin())) {
			return i
		}
	}
	return -1
}

// newestOfLargest returns the newest request of the organisation with the largest
// demand relative to its weight.
func (c *Controller) newestOfLargest(ordered []queueRef) queueRef {
	size := func(p queueRef) float64 { return c.demand(p.name) / c.weight(p.name) }
	return slices.MaxFunc(ordered, func(a, b queueRef) int {
		return cmp.Or(cmp.Compare(size(a), size(b)), cmp.Compare(a.request().ID, b.request().ID))
	})
}
