package admission

import "time"

// creditWaits is the size of the burst credit, in multiples of what an
// organisation's share serves in one MaxQueueWait, while the expected wait for the
// pool is short. With 1, organisations with a demand of 95% of their shares had
// 4% of their requests refused because of their own bursts; with 4, less than 1%.
const creditWaits = 4

// credit is the state of an organisation's burst credit, a token bucket that
// refills at the rate at which the pool serves the organisation's share. Each
// accepted request takes one token.
type credit struct {
	spent   float64   // tokens missing from the full credit
	updated time.Time // when spent was computed
}

// shareRate returns the number of requests per second that the pool serves on
// this entry's part of an organisation's share.
func (c *Controller) shareRate(name string, allocation Allocation) float64 {
	entries := float64(len(c.peers) + 1)
	return c.share(name, allocation) / entries / c.serviceTime().Seconds()
}

// spent returns the tokens missing from an organisation's full credit.
func (c *Controller) spent(name string, allocation Allocation, now time.Time) float64 {
	held := c.credits[name]
	return max(0, held.spent-now.Sub(held.updated).Seconds()*c.shareRate(name, allocation))
}

// hasCredit reports whether an organisation has at least one token left of a
// credit that covers the given multiple of MaxQueueWait. That is so if its recent
// demand was below its share; constant demand above the share uses up the credit.
func (c *Controller) hasCredit(name string, waits float64, allocation Allocation, now time.Time) bool {
	full := waits * c.shareRate(name, allocation) * c.cfg.MaxQueueWait.Seconds()
	return c.spent(name, allocation, now)+1 <= full
}

// takeCredit takes the token of an accepted request. It drops the organisations
// whose credit is full again, because their names come from callers and would
// accumulate without bound.
func (c *Controller) takeCredit(name string, allocation Allocation, now time.Time) {
	if now.Sub(c.creditsPruned) > c.cfg.MaxQueueWait {
		c.creditsPruned = now
		for other := range c.credits {
			if c.spent(other, allocation, now) == 0 {
				delete(c.credits, other)
			}
		}
	}
	c.credits[name] = credit{c.spent(name, allocation, now) + 1, now}
}
