package swarm

import "time"

const (
	adjustInterval = 250 * time.Millisecond
	rateGrowth     = 1.5
	// peakDecay is the decay of the peak rate per adjustment.
	peakDecay = 0.9
	// maxRateCut is the fraction by which the rate drops at full pressure.
	maxRateCut = 0.5
)

// RateController limits the rate of transfers so that they yield to live traffic. Under
// pressure the rate drops in proportion, starting from the recent peak rate;
// without pressure it grows back in steps. Starting from the current rate
// instead would throttle an instance to nothing while it waits for chunks.
type RateController struct {
	limit, floor float64
	rate         float64
	peak         float64 // recent peak of the actual rate
	at           time.Duration
	moved        int64
}

// NewRateController returns a controller with rates from floor to limit, in bytes
// per second, that starts at limit.
func NewRateController(limit, floor float64) *RateController {
	return &RateController{limit: limit, floor: min(floor, limit), rate: limit}
}

// Adjust updates and returns the rate in bytes per second. pressure ranges from
// 0 to 1; moved is the total number of bytes transferred so far.
func (p *RateController) Adjust(now time.Duration, pressure float64, moved int64) float64 {
	elapsed := now - p.at
	if elapsed < adjustInterval {
		return p.rate
	}
	actual := float64(moved-p.moved) / elapsed.Seconds()
	p.at, p.moved = now, moved
	p.peak = max(actual, p.peak*peakDecay)
	switch {
	case !(pressure > 0): // also for NaN
		p.rate = min(p.limit, p.rate*rateGrowth)
	case p.peak > 0:
		p.rate = max(p.floor, min(p.rate, p.peak)*(1-maxRateCut*min(1, pressure)))
	}
	return p.rate
}
