package placement

import (
	"math"
	"time"
)

// NextSlot predicts the time until a suitable endpoint can take another request: the
// mean service time divided by the number of slots. An endpoint with a rate limit
// contributes at most that rate, which all sharers divide among themselves.
func (p *Pool) NextSlot(r Request, now time.Time) time.Duration {
	slots, serviceMs := p.cfg.Slots, float64(plainServiceMs)
	if e := p.engine; e != nil {
		slots = e.Slots
		serviceMs = e.ServiceMs()
	}
	slotsPerMs := float64(max(1, slots)) / serviceMs
	var perMs float64
	wait := time.Duration(math.MaxInt64) // until the first permit of an endpoint with a rate limit
	unlimited := false
	for _, s := range p.endpoints {
		if !p.suitable(s, r, now) {
			continue
		}
		l := p.rateLimits[s.ID]
		if !l.limited() {
			unlimited = true
			perMs += slotsPerMs
			continue
		}
		if p.noPermits || l.cold.limits() && p.noColdPermits {
			continue
		}
		wait = min(wait, p.nextPermit(l).Sub(now))
		perMs += min(slotsPerMs, float64(time.Millisecond)/float64(l.longestInterval())/float64(p.sharers))
	}
	if perMs == 0 {
		return noEndpointPause
	}
	interval := milliseconds(1 / perMs)
	if unlimited {
		return interval
	}
	return max(interval, wait)
}

// noEndpointPause is the retry delay when no endpoint is suitable: about the time that a
// server takes to check in with the registry again.
const noEndpointPause = time.Second
