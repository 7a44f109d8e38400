package fleetclient

import (
	"time"

	"golang.org/x/sys/unix"
)

// timeSuspended returns how long the machine was suspended since it started. The monotonic
// clock, which measures the age of what this process knows, does not count that time.
func timeSuspended() time.Duration {
	var before, boot, after unix.Timespec
	for range clockReadings {
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0 // not supported: ages then lack the time of a suspension
		}
		if after.Nano()-before.Nano() < int64(minSuspension)/2 {
			break
		}
	}
	return time.Duration(boot.Nano() - after.Nano())
}

// clockReadings limits the attempts to read the clocks at about the same moment. A process that is
// stopped between two readings would see a suspension that was none.
const clockReadings = 3

// minSuspension is the shortest suspension that is corrected for. The clocks are read one after
// another.
const minSuspension = 20 * time.Millisecond

// correctAges adds the time of a suspension to the ages of the named versions. Requests would
// otherwise begin on superseded weights for that much longer. The caller holds mu.
func (c *Client) correctAges() {
	total := c.cfg.Suspended()
	suspended := total - c.suspended
	if suspended < minSuspension {
		return
	}
	c.suspended = total
	for _, versions := range c.weights {
		for i := range versions {
			versions[i].Since = versions[i].Since.Add(-suspended)
		}
	}
	c.cfg.Log.WithField("ms", suspended.Milliseconds()).Warn("machine_was_suspended")
}
