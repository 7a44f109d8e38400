package placement

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// minRequestRate is the lowest rate, in requests per second, to which an endpoint is
	// limited. A limit ends only with an answer that names none, so an endpoint that
	// accepts no requests still gets one every ten seconds.
	minRequestRate = 0.1
	// rateLimitMemory is how long the limit of an endpoint that is not listed any more,
	// or the end of a limit, is remembered. Endpoints are unlisted while control replicas
	// are lost; the end of a limit is passed on to brokers that know of the limit only.
	// It is longer than the window of a cold endpoint.
	rateLimitMemory = time.Minute
	// rateLimitBurst is the period for which unused permits are kept, since requests do
	// not arrive evenly. Limits are stated in requests per second.
	rateLimitBurst = time.Second
)

// schedule limits a rate of requests by a virtual schedule (generic cell rate algorithm).
type schedule struct {
	interval time.Duration // between two requests; zero for no limit
	burst    time.Duration // for which unused permits are kept
	permitAt time.Time     // when the next request may be sent
}

func (s *schedule) limits() bool { return s.interval > 0 }

// take counts a request.
func (s *schedule) take(now time.Time) {
	if s.limits() {
		s.permitAt = later(s.permitAt, now.Add(-s.burst)).Add(s.interval)
	}
}

// rateLimit limits the requests to an endpoint to the rate that it accepts from all
// entries together: the rate that it names in its answers, and the rate while it is cold.
type rateLimit struct {
	schedule            // of the rate that the endpoint has named
	incarnation uint64  // of the endpoint
	perSecond   float64 // as named; infinite if the endpoint has named no limit or it has ended
	// namedAt is the time from which on newer answers count: when the newest answer that
	// named the rate arrived, or if the rate was raised, when its request was sent. It is
	// zero if the endpoint has never named one.
	namedAt time.Time
	cold    schedule // while the endpoint is cold
}

func newRateLimit(incarnation uint64) *rateLimit {
	return &rateLimit{schedule: schedule{burst: rateLimitBurst}, incarnation: incarnation, perSecond: math.Inf(1)}
}

func (l *rateLimit) limited() bool { return l != nil && (l.limits() || l.cold.limits()) }

// nextPermit returns when the next request may be sent. If both limits apply, the stricter
// one counts.
func (l *rateLimit) nextPermit() time.Time {
	if !l.cold.limits() {
		return l.permitAt
	}
	if !l.limits() {
		return l.cold.permitAt
	}
	return later(l.permitAt, l.cold.permitAt)
}

// longestInterval returns the time between two requests under the stricter limit.
func (l *rateLimit) longestInterval() time.Duration { return max(l.interval, l.cold.interval) }

// requestInterval returns the time between two requests at a rate, or zero if perSecond
// is nil.
func requestInterval(perSecond *float64) time.Duration {
	if perSecond == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / max(*perSecond, minRequestRate))
}

// observe applies the rate that an answer names, or the end of the limit if perSecond is
// nil, and reports whether the rate changed. Answers overtake each other, so the endpoint
// may have named the rate at any time between sentAt and answeredAt: a lower rate applies
// unless a newer one is known, a higher one only if it is newer for certain. A limit
// begins without a burst, because another broker may have granted one.
func (l *rateLimit) observe(perSecond *float64, sentAt, answeredAt, now time.Time) bool {
	interval := requestInterval(perSecond)
	switch {
	case interval == l.interval:
		if l.limits() {
			l.namedAt = later(l.namedAt, answeredAt)
		}
		return false
	case interval > l.interval && !answeredAt.After(l.namedAt), interval < l.interval && sentAt.Before(l.namedAt):
		return false
	}
	begins := !l.limits()
	l.namedAt = answeredAt
	if interval < l.interval {
		l.namedAt = sentAt
	}
	l.interval, l.perSecond = interval, math.Inf(1)
	if perSecond != nil {
		l.perSecond = *perSecond
	}
	if due := now.Add(interval); begins || l.permitAt.After(due) {
		l.permitAt = due
	}
	return true
}

// RecordRateLimit records the request rate that an endpoint names in an answer, nil for
// none, and reports whether its limit changed. The request was sent at sentAt or later.
func (p *Pool) RecordRateLimit(id string, incarnation uint64, perSecond *float64, sentAt, now time.Time) bool {
	return p.recordRateLimit(id, incarnation, perSecond, sentAt, now, now)
}

// AddRateLimit records what another process knows of the limit of an endpoint and reports
// whether its limit changed.
func (p *Pool) AddRateLimit(n NamedRateLimit, now time.Time) bool {
	if l := p.rateLimits[n.Endpoint]; l != nil && l.perSecond == n.PerSecond {
		return false // the time is not taken over: it is later by the delay of each message
	}
	return p.recordRateLimit(n.Endpoint, n.Incarnation, n.Rate(), n.NamedAt, n.NamedAt, now)
}

func (p *Pool) recordRateLimit(id string, incarnation uint64, perSecond *float64, sentAt, answeredAt, now time.Time) bool {
	s := p.endpoints[id]
	if s == nil || s.Incarnation != incarnation {
		return false
	}
	l := p.rateLimits[id]
	if l == nil {
		if perSecond == nil {
			return false
		}
		l = newRateLimit(incarnation)
		p.rateLimits[id] = l
	}
	return l.observe(perSecond, sentAt, answeredAt, now)
}

// NamedRateLimit is the request rate that an endpoint has named.
type NamedRateLimit struct {
	Endpoint    string
	Zone        string // of the endpoint
	Incarnation uint64
	PerSecond   float64   // infinite if the limit has ended
	NamedAt     time.Time // answers to requests sent later are newer
}

// Ended reports whether the endpoint names no limit any more.
func (n NamedRateLimit) Ended() bool { return math.IsInf(n.PerSecond, 1) }

// Rate returns the named rate, or nil if the endpoint names no limit any more.
func (n NamedRateLimit) Rate() *float64 {
	if n.Ended() {
		return nil
	}
	return &n.PerSecond
}

// RateLimits lists the limits of the endpoints, and those that have ended recently,
// sorted by ID.
func (p *Pool) RateLimits() []NamedRateLimit {
	var list []NamedRateLimit
	for id, l := range p.rateLimits {
		if s := p.endpoints[id]; s != nil && !l.namedAt.IsZero() {
			list = append(list, NamedRateLimit{Endpoint: id, Zone: s.Zone, Incarnation: l.incarnation, PerSecond: l.perSecond, NamedAt: l.namedAt})
		}
	}
	slices.SortFunc(list, func(a, b NamedRateLimit) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// rateLimited reports whether a request sent to an endpoint now would exceed its limit.
func (p *Pool) rateLimited(s *endpointState, now time.Time) bool {
	l := p.rateLimits[s.ID]
	return l.limited() && (p.withheld(l, now) || now.Before(l.nextPermit()))
}

// withheld reports whether this pool grants no permits of an endpoint with a limit now.
func (p *Pool) withheld(l *rateLimit, now time.Time) bool {
	return p.noPermits || l.cold.limits() && (p.noColdPermits || now.Before(p.coldPermitsFrom))
}

// TakePermit counts a request that was granted against the rate limits of an endpoint, if it
// has any.
func (p *Pool) TakePermit(id string, now time.Time) {
	if s := p.endpoints[id]; s != nil {
		s.grantedAt = now
	}
	if l := p.rateLimits[id]; l != nil {
		l.take(now)
		l.cold.take(now)
	}
}

// DeferPermits selects an endpoint with a rate limit no earlier than at a time, because
// the broker that counts its requests has refused one.
func (p *Pool) DeferPermits(id string, until time.Time) {
	l := p.rateLimits[id]
	if l == nil {
		return
	}
	for _, limit := range []*schedule{&l.schedule, &l.cold} {
		if limit.limits() {
			limit.permitAt = later(limit.permitAt, until)
		}
	}
}

// RateLimited returns the sorted IDs of the endpoints with a rate limit in force.
func (p *Pool) RateLimited() []string {
	return p.ids(func(s *endpointState) bool { return p.rateLimits[s.ID].limited() })
}

// forgetRateLimits drops the limits of earlier incarnations, of endpoints that have not
// been listed for long, and those that ended long ago.
func (p *Pool) forgetRateLimits(now time.Time) {
	for id, l := range p.rateLimits {
		s := p.endpoints[id]
		unused := s == nil || !l.limited()
		if s != nil && s.Incarnation != l.incarnation || unused && now.Sub(later(l.namedAt, l.cold.permitAt)) > rateLimitMemory {
			delete(p.rateLimits, id)
		}
	}
}
