package placement

import (
	"math"
	"time"
)

const (
	// lagWeight is the share of the newest first event in an endpoint's lag: about
	// the last three count.
	lagWeight = 0.3
	// lagHalfLife lets an endpoint that is avoided for its lag be tried again.
	lagHalfLife = time.Second
	// silentLag is what an endpoint counts as that sent nothing in time.
	silentLag = time.Second
	// timelyWithin is the lag of a first event that came as predicted: what other
	// entries send at the same moment explains up to about this much.
	timelyWithin = 300 * time.Millisecond
	// timelyFor is how long such a first event says that requests arrive without
	// delay.
	timelyFor = time.Second
)

// lag is how much later than modelled the first events of an endpoint come. It
// answers endpoints that are slow, and links to them that are narrow or lose
// packets, while everything else about them looks sound.
type lag struct {
	meanMs   float64
	at       time.Time // of the last first event
	timelyAt time.Time // of the last one, if it came as predicted
}

func (l *lag) observe(late time.Duration, now time.Time) {
	lateMs := max(0, float64(late)/float64(time.Millisecond))
	held := l.ms(now)
	l.meanMs, l.at = held+lagWeight*(lateMs-held), now
	l.timelyAt = time.Time{}
	if late <= timelyWithin {
		l.timelyAt = now
	}
}

// ms is the lag to expect now, in milliseconds.
func (l *lag) ms(now time.Time) float64 {
	if l.meanMs == 0 {
		return 0
	}
	return l.meanMs * math.Exp2(-float64(now.Sub(l.at))/float64(lagHalfLife))
}

// timely reports whether the last first event came as predicted, just now.
func (l *lag) timely(now time.Time) bool {
	return !l.timelyAt.IsZero() && now.Sub(l.timelyAt) < timelyFor
}
