package placement

import (
	"math"
	"time"
)

const (
	// paceWeight is the weight of the newest report in the moving average of an endpoint's pace.
	// Servers that share their machines change it many times a second, so a single report says
	// little.
	paceWeight = 0.3
	// paceHalfLife is the half-life of the average without new reports, so that an endpoint that
	// is avoided for its pace is tried again.
	paceHalfLife = time.Second
	// minPace and maxPace bound the reports that are averaged. An endpoint beyond them would get
	// all requests or none.
	minPace, maxPace = 0.5, 8
	// absurdPace and its reciprocal are beyond what a machine that works can report. Such a report
	// is ignored.
	absurdPace = 100
)

// pace is the moving average of how long work takes at an endpoint relative to the usual time.
type pace struct {
	excess float64 // above 1, the usual pace
	at     time.Time
}

// observe counts a report; 0 is none.
func (p *pace) observe(reported float64, now time.Time) {
	if !(reported >= 1.0/absurdPace && reported <= absurdPace) {
		return
	}
	held := p.factor(now) - 1
	p.excess, p.at = held+paceWeight*(min(max(reported, minPace), maxPace)-1-held), now
}

// factor returns by how much work is expected to take longer than usual.
func (p *pace) factor(now time.Time) float64 {
	if p.excess == 0 {
		return 1
	}
	return 1 + p.excess*math.Exp2(-float64(now.Sub(p.at))/float64(paceHalfLife))
}

// RecordPace records how long work takes at an endpoint relative to the usual time, as it reported
// with an answer; 0 if it reported nothing.
func (p *Pool) RecordPace(id string, reported float64, now time.Time) {
	if s := p.endpoints[id]; s != nil {
		s.pace.observe(reported, now)
	}
}

// RecordPace records the pace that the endpoint of a granted request reported with its answer.
func (b *Broker) RecordPace(id SlotRequestID, reported float64, now time.Time) {
	if g, ok := b.grants[id]; ok {
		b.pool.RecordPace(g.endpoint, reported, now)
	}
}

// slowed returns how long work takes at an endpoint with this load that usually takes ms.
func (l Load) slowed(ms float64) float64 {
	if l.pace == 0 {
		return ms
	}
	return ms * l.pace
}

// plainTTFTMs predicts the time to the answer of a plain service beyond that of an idle endpoint
// at the usual pace.
func (l Load) plainTTFTMs() float64 {
	return max(0, l.slowed(plainServiceMs*float64(l.Running+1))-plainServiceMs)
}
