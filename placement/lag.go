package placement

import (
	"math"
	"time"
)

const (
	// lagWeight is the weight of the newest first event in the moving average of an
	// endpoint: about the last three count.
	lagWeight = 0.3
	// lagHalfLife is the half-life of the average without new events, so that an
	// endpoint that is avoided for its lag is tried again.
	lagHalfLife = time.Second
	// timeoutLag is recorded for an endpoint that timed out.
	timeoutLag = time.Second
	// timelyMaxLag is the largest lag of a first event that counts as on time: requests
	// that other entries send at the same moment cause up to about this much.
	timelyMaxLag = 300 * time.Millisecond
	// timelyTTL is how long a first event on time is evidence that requests reach the
	// endpoint without delay.
	timelyTTL = time.Second
)

// lag is the moving average by which first events of an endpoint arrive later than
// modelled. It detects slow endpoints, and links with low bandwidth or packet loss, that
// look healthy otherwise.
type lag struct {
	meanMs   float64
	at       time.Time // of the last first event
	timelyAt time.Time // equal to at if that event was on time, else zero
}

func (l *lag) observe(late time.Duration, now time.Time) {
	lateMs := max(0, float64(late)/float64(time.Millisecond))
	held := l.ms(now)
	l.meanMs, l.at = held+lagWeight*(lateMs-held), now
	l.timelyAt = time.Time{}
	if late <= timelyMaxLag {
		l.timelyAt = now
	}
}

// ms returns the expected lag in milliseconds.
func (l *lag) ms(now time.Time) float64 {
	if l.meanMs == 0 {
		return 0
	}
	return l.meanMs * math.Exp2(-float64(now.Sub(l.at))/float64(lagHalfLife))
}

// timely reports whether the last first event was recent and on time.
func (l *lag) timely(now time.Time) bool {
	return !l.timelyAt.IsZero() && now.Sub(l.timelyAt) < timelyTTL
}
