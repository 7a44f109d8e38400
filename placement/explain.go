package placement

import (
	"cmp"
	"slices"
	"time"
)

// Hold is why a broker lets a request wait although an endpoint could take it.
type Hold uint8

// Holds of requests.
const (
	HoldNone Hold = iota
	// HoldQueue means that queued requests come before it.
	HoldQueue
	// HoldSuspect means that a request that may crash endpoints for the same cause has not begun
	// yet.
	HoldSuspect
)

// String returns the name of the hold in explanations.
func (h Hold) String() string {
	names := [...]string{"", "queue-first", "suspect-begins"}
	if int(h) < len(names) {
		return names[h]
	}
	return "unknown"
}

// String returns the name of the verdict in explanations.
func (v Verdict) String() string {
	names := [...]string{"placed", "full", "no-endpoint", "queued", "redirected", "rate-limited", "displaced", "no-allowed-region"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}

// EndpointExplanation tells how a request is judged at an endpoint.
type EndpointExplanation struct {
	Endpoint
	Load      Load
	Slots     int // that any request may use
	Usable    int // slots that this request may use
	InPrefill int // own requests without a first event
	// TTFT is the predicted time to the first event with the lag recently observed, and Lag that
	// lag alone. The others are added to rank the endpoints.
	TTFT, Lag, ZonePenalty, SuspectPenalty, VersionPenalty time.Duration
	// Pace is the estimate of how long work takes there, relative to the usual time. TTFT is with it.
	Pace float64
	// Obstacle is why the endpoint cannot take the request now, and Until when that ends at the
	// latest if it is known, or else zero.
	Obstacle Obstacle
	Until    time.Time
}

// RankCount is the number of queued requests of a rank.
type RankCount struct {
	// Class is "resumed", "on-time" or "late", or "any" in a queue that does not distinguish them.
	Class   string
	Rank    int
	Waiting int
}

// Explanation tells what a broker would do with a request for a slot, and why.
type Explanation struct {
	// Verdict is Placed, Redirected, Queued, or why the request would be refused.
	Verdict Verdict
	Choice  Choice
	Group   string // to ask next after a redirect
	Hold    Hold
	Late    bool // the request can no longer meet its latency objective
	// SlotInterval is the predicted time between two slots that become free, Ahead the number of
	// requests queued ahead, and MaxWait how long the request may wait.
	SlotInterval time.Duration
	Ahead        int
	MaxWait      time.Duration
	// Queue lists all queued requests by class and rank, in order of service.
	Queue []RankCount
	// Endpoints lists all endpoints in the order of preference, those with obstacles last.
	Endpoints []EndpointExplanation
	// Entries is the number of entries that the broker has heard of, and OldestReport the time
	// since the last message of the one that has been silent for longest.
	Entries      int
	OldestReport time.Duration
}

// Preview returns what Place would return, without jitter. It changes no state.
func (p *Pool) Preview(r Request, now time.Time) (Choice, Verdict) {
	return p.selectEndpoint(&r, 0, now)
}

// Explain tells how a request is judged at each endpoint. It changes no state. The endpoints are
// in the order in which Place prefers them without jitter, those with obstacles last.
func (p *Pool) Explain(r Request, now time.Time) []EndpointExplanation {
	list := make([]EndpointExplanation, 0, len(p.endpoints))
	scores := make(map[string]float64, len(p.endpoints))
	for _, s := range p.endpoints {
		t := p.predict(s, &r, now)
		scores[s.ID] = t.scoreMs()
		e := EndpointExplanation{
			Endpoint: s.Endpoint, Load: p.load(s, now), Slots: p.slots(s), Usable: p.usableSlots(s, &r), InPrefill: len(s.inPrefill),
			TTFT: milliseconds(t.modelMs + t.lagMs), Lag: milliseconds(t.lagMs),
			ZonePenalty: milliseconds(t.zoneMs), SuspectPenalty: milliseconds(t.suspectMs), VersionPenalty: milliseconds(t.versionMs),
			Pace: s.pace.factor(now), Obstacle: p.obstacle(s, &r, now),
		}
		e.Until = p.obstacleEnd(s, e.Obstacle)
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b EndpointExplanation) int {
		return cmp.Or(cmp.Compare(a.Obstacle, b.Obstacle), cmp.Compare(scores[a.ID], scores[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// obstacleEnd returns when an obstacle ends, or zero if that depends on events.
func (p *Pool) obstacleEnd(s *endpointState, o Obstacle) time.Time {
	switch o {
	case ObstaclePaused:
		return p.pauses[s.ID].until
	case ObstacleEjected, ObstacleRefused:
		return s.health.pausedUntil
	case ObstacleCold, ObstacleRateLimited:
		return p.nextPermit(p.rateLimits[s.ID])
	case ObstacleOutlastsLoad:
		return s.drainsAt.Add(drainGrace)
	}
	return time.Time{}
}

// Explain tells what RequestSlot would do with a new request, and why, if the limits of the entry
// that asks were added before. It changes no state.
func (b *Broker) Explain(a SlotRequest, limits []NamedRateLimit, now time.Time) Explanation {
	defer b.pool.tryRateLimits(limits, now)()
	d := b.decide(a.received(now), now)
	e := Explanation{
		Verdict: d.verdict, Choice: d.choice, Group: d.group, Hold: d.held, Late: d.request.Late,
		SlotInterval: d.interval, Ahead: d.ahead, MaxWait: d.request.longestWait(),
		Queue: b.queue.counts(), Endpoints: b.pool.Explain(d.request.Request, now), Entries: len(b.lastSeen),
	}
	if len(a.Suspects) > 0 {
		begin := b.suspectsBeginAt()
		for i := range e.Endpoints {
			if p := &e.Endpoints[i]; p.Obstacle == ObstacleNone && slices.Contains(begin, p.ID) {
				p.Obstacle = ObstacleSuspectBegins
			}
		}
		slices.SortStableFunc(e.Endpoints, func(a, b EndpointExplanation) int { return cmp.Compare(a.Obstacle, b.Obstacle) })
	}
	for _, seen := range b.lastSeen {
		e.OldestReport = max(e.OldestReport, now.Sub(seen))
	}
	return e
}

// tryRateLimits adds limits and returns a function that restores the ones before.
func (p *Pool) tryRateLimits(limits []NamedRateLimit, now time.Time) (restore func()) {
	before := map[string]*rateLimit{}
	for _, n := range limits {
		l, known := p.rateLimits[n.Endpoint]
		if _, tried := before[n.Endpoint]; !tried {
			before[n.Endpoint] = l
		}
		if known {
			changed := *l
			p.rateLimits[n.Endpoint] = &changed
		}
		p.AddRateLimit(n, now)
	}
	return func() {
		for id, l := range before {
			if l == nil {
				delete(p.rateLimits, id)
			} else {
				p.rateLimits[id] = l
			}
		}
	}
}

// counts returns the number of queued requests by class and rank, in order of service.
func (q *requestQueue) counts() []RankCount {
	classes := [...]string{classResumed: "resumed", classOnTime: "on-time", classLate: "late"}
	var list []RankCount
	for _, w := range q.waiting {
		u := w.urgency()
		if n := len(list); n > 0 && list[n-1].Class == classes[u.class] && list[n-1].Rank == u.rank {
			list[n-1].Waiting++
			continue
		}
		list = append(list, RankCount{Class: classes[u.class], Rank: u.rank, Waiting: 1})
	}
	return list
}
