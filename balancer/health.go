package balancer

import "time"

// EjectStalled ejects endpoints that have streams in flight but make no progress. It
// returns the endpoints ejected by this call; their streams should be retried on
// other endpoints.
func (b *Balancer) EjectStalled(now time.Time) []string {
	var ejected []string
	for _, id := range b.sortedIDs {
		s := b.endpoints[id]
		if !s.ejected && s.stalled(now, b.cfg.StallAfter) && b.eject(s, now) {
			ejected = append(ejected, id)
		}
	}
	return ejected
}

// stalled reports whether no attempt on the endpoint has progressed for the
// given time although a stream has been in flight that long.
func (s *endpointState) stalled(now time.Time, after time.Duration) bool {
	if now.Sub(s.lastProgress) < after {
		return false
	}
	for _, a := range s.attempts {
		if a.stream && now.Sub(a.started) >= after {
			return true
		}
	}
	return false
}

// Stalled reports whether an attempt should be retried on another endpoint.
// Before the attempt's first token, that is when the whole endpoint makes no
// progress; after it, when the attempt's own tokens have stopped.
func (b *Balancer) Stalled(id, attemptID string, now time.Time) bool {
	s := b.endpoints[id]
	if s == nil {
		return false
	}
	a := s.attempts[attemptID]
	if a == nil || !a.stream {
		return false
	}
	if a.progress.After(a.started) {
		return now.Sub(a.progress) >= b.cfg.StallAfter
	}
	return s.stalled(now, b.cfg.StallAfter) && now.Sub(a.started) >= b.cfg.StallAfter
}

// Ejected reports whether an endpoint is excluded from selection as unhealthy.
func (b *Balancer) Ejected(id string) bool {
	s := b.endpoints[id]
	return s != nil && s.ejected
}

// DueProbes returns the endpoints that are due for a generation probe and starts
// their next probe interval.
func (b *Balancer) DueProbes(now time.Time) []string {
	var due []string
	for _, id := range b.sortedIDs {
		s := b.endpoints[id]
		if !s.Probeable || !s.Ready || len(s.Serves) == 0 || now.Sub(s.lastProbe) < b.cfg.ProbeInterval {
			continue
		}
		if now.Sub(s.lastProgress) >= b.cfg.ProbeInterval || s.ejected || s.degraded {
			s.lastProbe = now
			due = append(due, id)
		}
	}
	return due
}

// Probed records the result of a probe. Refused is ignored: a gate without free
// slots is no evidence about its engine.
func (b *Balancer) Probed(id string, result Result, now time.Time) {
	s := b.endpoints[id]
	if s == nil {
		return
	}
	switch result {
	case Completed:
		s.lastProgress = now
		s.failures = 0
		s.degraded = false
		if s.ejected && !now.Before(s.ejectedUntil) {
			b.restore(s, now)
		}
	case Unreachable:
		b.ejectUnreachable(s, now)
	case Failed:
		b.eject(s, now)
	}
}

// RestoreExpired puts endpoints that cannot be probed back into selection once their
// ejection time is over. Others return with a successful probe.
func (b *Balancer) RestoreExpired(now time.Time) {
	for _, s := range b.endpoints {
		if s.ejected && !s.Probeable && !now.Before(s.ejectedUntil) {
			b.restore(s, now)
		}
	}
}

func (b *Balancer) restore(s *endpointState, now time.Time) {
	s.ejected, s.unreachable, s.degraded = false, false, false
	s.failures = 0
	s.restoredAt = now
	s.lastProgress = now
}

// ejectUnreachable ejects an endpoint regardless of Config.MaxEjectedShare: one
// that refuses connections cannot serve requests, however few others are left.
func (b *Balancer) ejectUnreachable(s *endpointState, now time.Time) {
	if !s.ejected {
		s.ejections++
	}
	s.ejected, s.unreachable = true, true
	s.ejectedUntil = now.Add(b.cfg.ProbeInterval)
}

// eject excludes an endpoint from selection, unless one of its pools already has
// as many ejected endpoints as allowed. It reports whether the endpoint is newly
// ejected.
func (b *Balancer) eject(s *endpointState, now time.Time) bool {
	if s.ejected {
		s.ejectedUntil = later(s.ejectedUntil, now.Add(b.cfg.ProbeInterval))
		return false
	}
	for pool := range s.Serves {
		if !b.mayEject(pool) {
			s.degraded = true
			return false
		}
	}
	length := b.cfg.BaseEjectionTime << min(s.ejections, 16)
	s.ejections++
	s.ejected = true
	s.ejectedUntil = now.Add(min(length, b.cfg.MaxEjectionTime))
	return true
}

// mayEject reports whether one more endpoint of the pool may be ejected.
// Unreachable endpoints do not count, because that evidence is certain.
func (b *Balancer) mayEject(pool string) bool {
	total, ejected := 0, 0
	for _, s := range b.endpoints {
		if _, serves := s.Serves[pool]; !serves {
			continue
		}
		total++
		if s.ejected && !s.unreachable {
			ejected++
		}
	}
	return float64(ejected+1) <= b.cfg.MaxEjectedShare*float64(total)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
