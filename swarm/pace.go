package swarm

import "time"

const (
	paceInterval = 250 * time.Millisecond
	paceGrowth   = 1.5
	// paceMemory is how much of the highest rate is remembered per adjustment.
	paceMemory = 0.9
	// paceCut is the share of the rate given up at full pressure.
	paceCut = 0.5
)

// Pace sets the rate of transfers beside live traffic: it falls in proportion
// to the pressure, from the highest rate moved of late, and grows back step by
// step. Falling from the rate of the moment would stop an instance that waits
// for chunks.
type Pace struct {
	limit, floor float64
	rate         float64
	peak         float64 // highest rate moved of late
	at           time.Duration
	moved        int64
}

// NewPace returns a pace between floor and limit, in bytes per second, that
// starts at the limit.
func NewPace(limit, floor float64) *Pace {
	return &Pace{limit: limit, floor: min(floor, limit), rate: limit}
}

// Adjust returns the rate in bytes per second. pressure is from 0 to 1, moved
// the count of bytes moved so far.
func (p *Pace) Adjust(now time.Duration, pressure float64, moved int64) float64 {
	elapsed := now - p.at
	if elapsed < paceInterval {
		return p.rate
	}
	actual := float64(moved-p.moved) / elapsed.Seconds()
	p.at, p.moved = now, moved
	p.peak = max(actual, p.peak*paceMemory)
	switch {
	case !(pressure > 0): // also for NaN
		p.rate = min(p.limit, p.rate*paceGrowth)
	case p.peak > 0:
		p.rate = max(p.floor, min(p.rate, p.peak)*(1-paceCut*min(1, pressure)))
	}
	return p.rate
}
