package admission

import "time"

// creditWaits is the credit, in QueueWaits of an organisation's share, while
// the line has room. With 1, organisations that ask for 95% of their shares lost
// 4% of their requests to their own bursts, with 4 less than 1%.
const creditWaits = 4

// credit is what an organisation has left of its share: it grows at the rate at
// which the pool serves the share and each accepted request takes one.
type credit struct {
	spent float64 // below the full credit
	at    time.Time
}

// shareRate is the number of requests a second that the pool serves on this
// entry's part of an organisation's share.
func (c *Controller) shareRate(name string, division Division) float64 {
	entries := float64(len(c.peers) + 1)
	return c.share(name, division) / entries / c.serviceTime().Seconds()
}

// spent is what is missing of an organisation's full credit.
func (c *Controller) spent(name string, division Division, now time.Time) float64 {
	held := c.credits[name]
	return max(0, held.spent-now.Sub(held.at).Seconds()*c.shareRate(name, division))
}

// hasCredit reports whether an organisation asked for less than its share
// lately: it then has spent less than what its share serves within some
// QueueWaits. One that asks for more all the time has spent all.
func (c *Controller) hasCredit(name string, waits float64, division Division, now time.Time) bool {
	full := waits * c.shareRate(name, division) * c.cfg.QueueWait.Seconds()
	return c.spent(name, division, now)+1 <= full
}

// takeCredit counts an accepted request. It forgets the organisations whose
// credit is full again, so that names from callers do not pile up.
func (c *Controller) takeCredit(name string, division Division, now time.Time) {
	if now.Sub(c.creditsPruned) > c.cfg.QueueWait {
		c.creditsPruned = now
		for other := range c.credits {
			if c.spent(other, division, now) == 0 {
				delete(c.credits, other)
			}
		}
	}
	c.credits[name] = credit{c.spent(name, division, now) + 1, now}
}
