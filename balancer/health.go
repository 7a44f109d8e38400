package balancer

import "time"

// Check ejects endpoints that hold work without progress. It returns the
// endpoints ejected by this call; their streams should move elsewhere.
func (b *Balancer) Check(now time.Time) []string {
	var ejected []string
	for _, id := range b.order {
		s := b.endpoints[id]
		if !s.ejected && s.stalled(now, b.cfg.StallAfter) && b.eject(s, now) {
			ejected = append(ejected, id)
		}
	}
	return ejected
}

// stalled reports whether streams are in flight and none of the endpoint's
// work has progressed for the given time.
func (s *state) stalled(now time.Time, after time.Duration) bool {
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

// Stalled reports whether an attempt should move: its endpoint makes no
// progress at all, or it is past its first token and its own tokens stopped.
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

// Ejected reports whether an endpoint is out of selection for its health.
func (b *Balancer) Ejected(id string) bool {
	s := b.endpoints[id]
	return s != nil && s.ejected
}

// Probes returns the endpoints that are due for a generation probe and marks
// them as probed.
func (b *Balancer) Probes(now time.Time) []string {
	var due []string
	for _, id := range b.order {
		s := b.endpoints[id]
		if !s.Probe || !s.Ready || len(s.Serves) == 0 || now.Sub(s.lastProbe) < b.cfg.ProbeInterval {
			continue
		}
		if now.Sub(s.lastProgress) >= b.cfg.ProbeInterval || s.ejected || s.doubted {
			s.lastProbe = now
			due = append(due, id)
		}
	}
	return due
}

// Probed records the result of a probe. Refused is neutral: a full gate says
// nothing about its engine.
func (b *Balancer) Probed(id string, result Result, now time.Time) {
	s := b.endpoints[id]
	if s == nil {
		return
	}
	switch result {
	case Completed:
		s.lastProgress = now
		s.failures = 0
		s.doubted = false
		if s.ejected && !now.Before(s.ejectedUntil) {
			b.restore(s, now)
		}
	case Unreachable:
		b.ejectUnreachable(s, now)
	case Failed:
		b.eject(s, now)
	}
}

// Tick returns endpoints that cannot be probed once their ejection is over.
func (b *Balancer) Tick(now time.Time) {
	for _, s := range b.endpoints {
		if s.ejected && !s.Probe && !now.Before(s.ejectedUntil) {
			b.restore(s, now)
		}
	}
}

func (b *Balancer) restore(s *state, now time.Time) {
	s.ejected, s.unreachable, s.doubted = false, false, false
	s.failures = 0
	s.returned = now
	s.lastProgress = now
}

// ejectUnreachable needs no cap: an endpoint that refuses connections serves
// nobody, however few are left.
func (b *Balancer) ejectUnreachable(s *state, now time.Time) {
	if !s.ejected {
		s.ejections++
	}
	s.ejected, s.unreachable = true, true
	s.ejectedUntil = now.Add(b.cfg.ProbeInterval)
}

// eject removes an endpoint from selection unless the cap of one of its pools
// is reached. It returns whether the endpoint is newly ejected.
func (b *Balancer) eject(s *state, now time.Time) bool {
	if s.ejected {
		s.ejectedUntil = later(s.ejectedUntil, now.Add(b.cfg.ProbeInterval))
		return false
	}
	for pool := range s.Serves {
		if !b.mayEject(pool) {
			s.doubted = true
			return false
		}
	}
	length := b.cfg.EjectFor << min(s.ejections, 16)
	s.ejections++
	s.ejected = true
	s.ejectedUntil = now.Add(min(length, b.cfg.EjectMax))
	return true
}

// mayEject reports whether one more endpoint of the pool may be ejected on
// evidence that could be wrong.
func (b *Balancer) mayEject(pool string) bool {
	total, out := 0, 0
	for _, s := range b.endpoints {
		if _, serves := s.Serves[pool]; !serves {
			continue
		}
		total++
		if s.ejected && !s.unreachable {
			out++
		}
	}
	return float64(out+1) <= b.cfg.EjectedShare*float64(total)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
