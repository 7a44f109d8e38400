package fleetclient

import "time"

// noRoutingPeriod is how long replicas must have had no routing document for the next one to be
// the first. Replicas that have restarted know a leader some time before they have applied their
// log again.
const noRoutingPeriod = 2 * time.Second

// firstRouting tells whether the replicas had no routing document when this process started.
type firstRouting struct {
	noneSince time.Time // when a replica with a leader reported first that there is none
	decided   bool      // a replica has reported a document
	seen      bool
}

func (f *firstRouting) observe(version uint64, leaderless bool, now time.Time) {
	switch {
	case f.decided:
	case version > 0:
		f.decided = true
		f.seen = !f.noneSince.IsZero() && now.Sub(f.noneSince) >= noRoutingPeriod
	case !leaderless && f.noneSince.IsZero():
		f.noneSince = now
	}
}

// SawFirstRouting reports whether the first routing document of the fleet came into force while
// this process was running. It is false if the process started at about that time.
func (c *Client) SawFirstRouting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstRouting.seen
}
