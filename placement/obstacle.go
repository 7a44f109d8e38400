package placement

import (
	"slices"
	"time"
)

// Obstacle is why an endpoint cannot take a request now.
type Obstacle uint8

// Obstacles, in the order in which they are checked. Those up to ObstacleBeginsTooLate make the
// endpoint unsuitable for the request whatever its load, those up to ObstacleOutlastsLoad are
// due to its load.
const (
	ObstacleNone Obstacle = iota
	// ObstacleLeaving means that the endpoint has announced that it stops.
	ObstacleLeaving
	// ObstacleDraining means that the endpoint takes no requests now, since it drains, loads
	// weights, or holds weights that nobody has verified.
	ObstacleDraining
	// ObstacleEvacuated means that the zone is evacuated.
	ObstacleEvacuated
	// ObstacleNoWeights means that the engine holds no complete version of the weights.
	ObstacleNoWeights
	// ObstacleOldWeights means that the weights are older than the required version.
	ObstacleOldWeights
	ObstacleRegionNotAllowed
	// ObstacleExcluded means that the request was already sent to the endpoint, or that the entry
	// knows a reason against it that the broker may not know.
	ObstacleExcluded
	// ObstacleNotNamed means that the request is for another endpoint only.
	ObstacleNotNamed
	// ObstacleUntimely means that older weights are about to be excluded, and that the endpoint has
	// no recent first event that arrived as predicted, or an overdue one since.
	ObstacleUntimely
	// ObstaclePaused means that the endpoint has stated that it wants no requests.
	ObstaclePaused
	// ObstacleEjected means that the endpoint is ejected for failures.
	ObstacleEjected
	// ObstacleRefused means that the endpoint has just refused a request.
	ObstacleRefused
	// ObstacleProbation means that the endpoint gets one request at a time after an ejection.
	ObstacleProbation
	// ObstacleBeginsTooLate means that the request is not predicted to begin before the weights of
	// the endpoint are excluded.
	ObstacleBeginsTooLate
	// ObstacleFull means that no slot is left that the request may use.
	ObstacleFull
	// ObstaclePrefillLimit means that the requests of this pool without a first event have reached
	// their limit.
	ObstaclePrefillLimit
	// ObstacleInterruptsStreams means that the prefill would interrupt running streams for too long.
	ObstacleInterruptsStreams
	// ObstacleDelaysPending means that pending requests would miss their objective.
	ObstacleDelaysPending
	// ObstacleOutlastsLoad means that the answer would end after the endpoint drains for a load.
	ObstacleOutlastsLoad
	// ObstacleRateLimited means that a request now would exceed the rate that the endpoint accepts.
	ObstacleRateLimited
	// ObstacleCold means that the endpoint is cold and the next permit for it is not due yet.
	ObstacleCold
	// ObstacleNotPrimary means that the endpoint has a rate limit or is cold, and that this broker
	// may grant no permits, since it is not the first one of its group.
	ObstacleNotPrimary
	// ObstacleIsolated means that the endpoint is cold, and that this broker may grant no permits,
	// since it is cut off from the control replicas.
	ObstacleIsolated
	// ObstacleSuspectBegins means that another request that may crash its endpoint has not begun
	// there yet.
	ObstacleSuspectBegins
)

// String returns the name of the obstacle in explanations.
func (o Obstacle) String() string {
	names := [...]string{
		"", "leaving", "draining", "evacuated", "no-weights", "old-weights", "region-not-allowed", "excluded", "not-named", "old-weights-soon", "paused", "ejected",
		"refused-recently", "probation", "begins-too-late", "full", "prefill-limit", "interrupts-streams", "delays-pending", "outlasts-load",
		"rate-limited", "cold", "not-first-broker", "isolated", "suspect-begins",
	}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// verdict returns the verdict for a request whose only endpoint has the obstacle.
func (o Obstacle) verdict() Verdict {
	switch {
	case o == ObstacleNone:
		return Placed
	case o <= ObstacleBeginsTooLate:
		return NoEndpoint
	case o <= ObstacleOutlastsLoad || o == ObstacleSuspectBegins:
		return Full
	}
	return RateLimited
}

// obstacle returns why an endpoint cannot take a request now. It takes the request by reference
// because it is called for each endpoint and request.
func (p *Pool) obstacle(s *endpointState, r *Request, now time.Time) Obstacle {
	if o := p.unsuitable(s, r, now); o != ObstacleNone {
		return o
	}
	load := p.load(s, now)
	switch {
	case !p.beginsInTime(s, load, r, now):
		return ObstacleBeginsTooLate
	case load.Running >= p.usableSlots(s, r):
		return ObstacleFull
	case len(s.inPrefill) >= p.maxInPrefill(s):
		return ObstaclePrefillLimit
	case p.interruptsStreams(load, r):
		return ObstacleInterruptsStreams
	case p.delaysPending(s, load, r, now):
		return ObstacleDelaysPending
	case p.endsAfterDrain(s, load, r, now):
		return ObstacleOutlastsLoad
	case p.rateLimited(s, now):
		return p.permitObstacle(p.rateLimits[s.ID], now)
	}
	return ObstacleNone
}

// permitObstacle returns why an endpoint with a limit gets no request now.
func (p *Pool) permitObstacle(l *rateLimit, now time.Time) Obstacle {
	switch {
	case p.noPermits:
		return ObstacleNotPrimary
	case l.cold.limits() && p.noColdPermits:
		return ObstacleIsolated
	case l.cold.limits() && (now.Before(p.coldPermitsFrom) || now.Before(l.cold.permitAt)):
		return ObstacleCold
	}
	return ObstacleRateLimited
}

// unsuitable returns why an endpoint may not serve a request, regardless of its load.
func (p *Pool) unsuitable(s *endpointState, r *Request, now time.Time) Obstacle {
	if o := p.ineligible(s, r); o != ObstacleNone {
		return o
	}
	switch {
	case s.WeightsVersion < r.softMinVersion(now) && !s.timely(now):
		return ObstacleUntimely
	case p.Paused(s.ID, s.Incarnation, now):
		return ObstaclePaused
	}
	return s.health.obstacle(s.placed.Running, now)
}

// softMinVersion returns SoftMinVersion as it applies now.
func (r *Request) softMinVersion(now time.Time) uint64 {
	version := r.SoftMinVersion
	for _, b := range r.SoftBounds {
		if !now.Before(b.By) {
			version = max(version, b.Version)
		}
	}
	return version
}

// ineligible returns why an endpoint could not serve a request, regardless of its load, health and
// pauses.
func (p *Pool) ineligible(s *endpointState, r *Request) Obstacle {
	switch {
	case s.Draining && s.Leaving:
		return ObstacleLeaving
	case s.Draining:
		return ObstacleDraining
	case s.Evacuated:
		return ObstacleEvacuated
	case p.engine != nil && s.WeightsVersion == 0:
		return ObstacleNoWeights
	case s.WeightsVersion < r.MinVersion:
		return ObstacleOldWeights
	case !r.Regions.Allow(s.Region):
		return ObstacleRegionNotAllowed
	case slices.Contains(r.Exclude, s.ID):
		return ObstacleExcluded
	case r.Only != "" && r.Only != s.ID:
		return ObstacleNotNamed
	}
	return ObstacleNone
}

// prediction is the predicted time to the first event of a request at an endpoint, and what is
// added to it to rank the endpoints.
type prediction struct {
	modelMs, lagMs               float64
	zoneMs, suspectMs, versionMs float64 // penalties
}

func (t prediction) scoreMs() float64 {
	return t.modelMs + t.lagMs + t.zoneMs + t.suspectMs + t.versionMs
}

// predict ranks an endpoint for a request. A lower score is better.
func (p *Pool) predict(s *endpointState, r *Request, now time.Time) prediction {
	load := p.load(s, now)
	t := prediction{modelMs: p.ttftMs(load, r.PromptTokens), lagMs: s.lag.ms(now)}
	if s.Zone != r.Zone {
		t.zoneMs = p.cfg.CrossZoneMs
	}
	if len(r.Suspects) > 0 {
		t.suspectMs = suspectRunningMs * float64(load.Running)
	}
	if r.PreferredVersion != 0 && s.WeightsVersion != r.PreferredVersion {
		t.versionMs = otherVersionPenaltyMs
	}
	return t
}
