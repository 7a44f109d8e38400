package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// PermitTTL is how long after its grant a permit may be used. It is longer than the wait for
	// a broker that is silent, after which the next one is asked.
	PermitTTL = 150 * time.Millisecond
	// coldDelivery is by how much the delays of two requests on their way to an endpoint may
	// differ.
	coldDelivery = 100 * time.Millisecond
	// coldWindow is the time within which a broker grants an endpoint no more than its share of
	// the requests of one second. Requests that arrive within one second may have been granted
	// this far apart.
	coldWindow = time.Second + PermitTTL + coldDelivery
	// coldBrokers is the number of brokers that may grant permits of the same endpoint at the
	// same time: while the lists of entries differ, two may both be the first.
	coldBrokers = 2
	// coldBurst is the number of permits that may be kept. Permits are granted when messages
	// arrive and at intervals of some milliseconds, and would be lost without it.
	coldBurst = 0.5
	// coldStartMargin is by how much the clock of an endpoint may differ from that of this
	// process.
	coldStartMargin = 3 * time.Second
	// firstListPeriod is how long after the first endpoint was listed endpoints count as present
	// from the beginning. Control replicas that have restarted learn of them by check-ins, which
	// arrive every second.
	firstListPeriod = 2 * time.Second
	// maxReportedCold limits what an endpoint can report, so that an absurd value does not
	// restrict it for long.
	maxReportedCold = time.Hour
	// coldMemory is how long an endpoint that is not listed is remembered, so that it does not
	// count as started when it is listed again.
	coldMemory = 10 * time.Minute
)

// Cold describes when an endpoint is cold and how many requests it tolerates then. An
// endpoint is cold after a start, since it must fill its caches first.
type Cold struct {
	Until time.Time // not cold if it has passed
	// PerSecond bounds the requests that the endpoint may get in any second from all entries
	// together while it is cold. If it is 0, the endpoint is never cold.
	PerSecond float64
}

// ColdRule describes the cold endpoints of a service.
type ColdRule struct {
	Start     time.Duration // for which an endpoint is cold after its start
	PerSecond float64       // requests that a cold endpoint gets in any second at most
}

// ColdChange tells that an endpoint became cold, or if Cold is false, warm.
type ColdChange struct {
	Service, Endpoint string
	Cold              bool
	For               time.Duration // for which it is expected to be cold
}

// ColdTracker determines which endpoints are cold, from their lists and from what they report.
// There is one for each process, since pools are made and dropped when groups change. It never
// reads the clock and is not safe for concurrent use.
type ColdTracker struct {
	// SawFirstRouting is true if the first routing document came into force while this process was
	// running: endpoints that were present then are not cold, whenever they started. Otherwise this
	// process has started during traffic.
	SawFirstRouting bool

	firstListed time.Time // when the first endpoint was listed
	endpoints   map[string]*trackedEndpoint
}

type trackedEndpoint struct {
	service     string
	incarnation uint64
	evacuated   bool
	report      uint64 // newest one that was considered
	reported    time.Duration
	// startedUntil is the end of the cold time after the start or the end of an evacuation, and
	// reportedUntil the one that the endpoint reports.
	startedUntil, reportedUntil time.Time
	cold                        bool
	listedAt                    time.Time
}

func (e *trackedEndpoint) until() time.Time { return later(e.startedUntil, e.reportedUntil) }

// Update sets Cold of the endpoints of each service. It returns the changes, sorted by endpoint.
func (t *ColdTracker) Update(rule func(service string) ColdRule, endpoints map[string][]Endpoint, now time.Time) []ColdChange {
	if t.endpoints == nil {
		t.endpoints = map[string]*trackedEndpoint{}
	}
	var changes []ColdChange
	for _, service := range slices.Sorted(maps.Keys(endpoints)) {
		r := rule(service)
		for i := range endpoints[service] {
			e := &endpoints[service][i]
			if t.firstListed.IsZero() {
				t.firstListed = now
			}
			tracked := t.observe(*e, r, now)
			tracked.service = service
			e.Cold = Cold{Until: tracked.until(), PerSecond: r.PerSecond}
			cold := r.PerSecond > 0 && now.Before(tracked.until())
			if cold != tracked.cold {
				tracked.cold = cold
				changes = append(changes, ColdChange{Service: service, Endpoint: e.ID, Cold: cold, For: max(0, tracked.until().Sub(now))})
			}
		}
	}
	for id, e := range t.endpoints {
		if now.Sub(e.listedAt) > coldMemory {
			delete(t.endpoints, id)
		}
	}
	slices.SortFunc(changes, func(a, b ColdChange) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Endpoint, b.Endpoint))
	})
	return changes
}

func (t *ColdTracker) observe(e Endpoint, r ColdRule, now time.Time) *trackedEndpoint {
	tracked := t.endpoints[e.ID]
	if tracked == nil || tracked.incarnation != e.Incarnation {
		wasCold := tracked != nil && tracked.cold
		tracked = &trackedEndpoint{incarnation: e.Incarnation, evacuated: e.Evacuated, startedUntil: t.startedUntil(e, r, now), cold: wasCold}
		t.endpoints[e.ID] = tracked
	}
	if tracked.evacuated && !e.Evacuated {
		tracked.startedUntil = later(tracked.startedUntil, now.Add(r.Start))
	}
	tracked.evacuated, tracked.listedAt = e.Evacuated, now
	if e.Report != tracked.report || e.ColdFor != tracked.reported {
		tracked.report, tracked.reported = e.Report, e.ColdFor
		tracked.reportedUntil = now.Add(min(e.ColdFor, maxReportedCold))
	}
	return tracked
}

// startedUntil returns until when an endpoint that is listed for the first time is cold after its
// start. If this process has just started itself, the start that the endpoint states counts:
// Incarnation is then a Unix time in milliseconds.
func (t *ColdTracker) startedUntil(e Endpoint, r ColdRule, now time.Time) time.Time {
	if now.Sub(t.firstListed) >= firstListPeriod {
		return now.Add(r.Start)
	}
	if t.SawFirstRouting || e.Incarnation == 0 || e.Incarnation > math.MaxInt64 || r.Start <= 0 {
		return time.Time{}
	}
	// An endpoint with a clock that is ahead has not been running for a negative time.
	age := max(0, now.Sub(time.UnixMilli(int64(e.Incarnation))))
	return now.Add(r.Start + coldStartMargin - age)
}

// coldPermits is the state of a pool that concerns permits for cold endpoints.
type coldPermits struct {
	noColdPermits bool // cold endpoints may not be used
	// coldPermitsFrom is the time before which cold endpoints may not be used: the broker that
	// was the first one before may have granted permits until now.
	coldPermitsFrom time.Time
}

// coldState is the state of an endpoint that concerns its cold time.
type coldState struct {
	// statedUntil is until when the endpoint is cold by its own answers.
	statedUntil time.Time
	grantedAt   time.Time // last grant of a slot
	// unused is true if the endpoint got no requests before the last Update, since that was the
	// first one to list it or ended the evacuation of its zone.
	unused bool
}

// coldSchedule returns the schedule of the permits that one broker grants of a cold endpoint. Any
// period shorter than coldWindow contains at most the share of one broker.
func coldSchedule(perSecond float64) schedule {
	// k requests take at least (k-1) intervals less the burst. For share+1 of them, that is
	// coldWindow.
	share := max(1, math.Floor(perSecond/coldBrokers))
	interval := time.Duration(math.Ceil(float64(coldWindow) / (share - coldBurst)))
	return schedule{interval: interval, burst: time.Duration(coldBurst * float64(interval))}
}

// limitCold limits the requests to the endpoints that are cold.
func (p *Pool) limitCold(now time.Time) {
	for _, s := range p.endpoints {
		p.limitColdEndpoint(s, now)
	}
}

func (p *Pool) limitColdEndpoint(s *endpointState, now time.Time) {
	l := p.rateLimits[s.ID]
	until := later(s.Cold.Until, s.statedUntil)
	if s.Cold.PerSecond <= 0 || !now.Before(until) {
		if l != nil {
			l.cold.interval = 0
		}
		return
	}
	if l == nil {
		l = newRateLimit(s.Incarnation)
		p.rateLimits[s.ID] = l
	}
	next := coldSchedule(s.Cold.PerSecond)
	next.permitAt = l.cold.permitAt
	if !l.cold.limits() { // what was sent to it while it was warm counts as well
		next.permitAt = later(next.permitAt, s.grantedAt.Add(coldWindow))
		if p.engine == nil && !s.unused { // no broker has counted it
			next.permitAt = later(next.permitAt, now.Add(coldWindow))
		}
	}
	if s.Cold.PerSecond < coldBrokers { // not even one request is safe
		next.permitAt = until
	}
	l.cold = next
}

// nextPermit returns when this pool may grant the next permit of an endpoint with a limit.
func (p *Pool) nextPermit(l *rateLimit) time.Time {
	if l.cold.limits() {
		return later(l.nextPermit(), p.coldPermitsFrom)
	}
	return l.nextPermit()
}

// RecordCold records that an incarnation of an endpoint states in an answer that it remains cold.
func (p *Pool) RecordCold(id string, incarnation uint64, left time.Duration, now time.Time) {
	s := p.endpoints[id]
	if s == nil || s.Incarnation != incarnation || left <= 0 {
		return
	}
	s.statedUntil = now.Add(min(left, maxReportedCold))
	p.limitColdEndpoint(s, now)
}

// ColdEndpoints returns the sorted IDs of the cold endpoints.
func (p *Pool) ColdEndpoints() []string {
	return p.ids(func(s *endpointState) bool {
		l := p.rateLimits[s.ID]
		return l != nil && l.cold.limits()
	})
}

// SetColdPermits sets whether this broker, as the first one of its group, grants permits of cold
// endpoints. A process that is cut off from the control replicas may take itself for the first
// broker together with any number of others. Default true.
func (b *Broker) SetColdPermits(granted bool) { b.coldPermitsDenied = !granted }

// SetColdAuthority sets since when this process has been the only one that may grant permits of
// cold endpoints of the group, and that it is. Default: from when the broker begins to grant them.
func (b *Broker) SetColdAuthority(since time.Time) {
	b.coldPermitsDenied, b.coldAuthoritySince = false, since
}

// updateColdPermits delays permits of cold endpoints for a window after this broker has begun to
// grant them, because another one may have granted some until now.
func (b *Broker) updateColdPermits(now time.Time) {
	denied := b.pool.noPermits || b.coldPermitsDenied
	if !denied && (b.pool.noColdPermits || b.pool.coldPermitsFrom.IsZero()) {
		since := now
		if !b.coldAuthoritySince.IsZero() {
			since = b.coldAuthoritySince
		}
		b.pool.coldPermitsFrom = since.Add(coldWindow)
	}
	b.pool.noColdPermits = denied
}

// RecordCold records that the endpoint of a granted request states in its answer that it remains
// cold.
func (b *Broker) RecordCold(id SlotRequestID, left time.Duration, now time.Time) {
	if g, ok := b.grants[id]; ok {
		b.pool.RecordCold(g.endpoint, g.incarnation, left, now)
	}
}
