package placement

import (
	"slices"
	"time"
)

// A pause is a time in which an endpoint wants no requests from this process, stated in a
// refusal. It applies to the incarnation that stated it, and outlasts a time in which the
// endpoint is not listed. Neither a later answer nor a check-in ends it early.
type pause struct {
	incarnation uint64
	until       time.Time
}

// Pause keeps an endpoint from being selected until a time, up to the given incarnation. It does
// not shorten an earlier pause.
func (p *Pool) Pause(id string, incarnation uint64, until time.Time) {
	held := p.pauses[id]
	if held.incarnation > incarnation {
		return
	}
	if held.incarnation < incarnation {
		held = pause{incarnation: incarnation}
	}
	held.until = later(held.until, until)
	p.pauses[id] = held
}

// Paused reports whether an incarnation of an endpoint wants no requests now.
func (p *Pool) Paused(id string, incarnation uint64, now time.Time) bool {
	held, ok := p.pauses[id]
	return ok && incarnation <= held.incarnation && now.Before(held.until)
}

// PausedEndpoints returns the sorted IDs of the endpoints that want no requests now.
func (p *Pool) PausedEndpoints(now time.Time) []string {
	var list []string
	for id := range p.pauses { // few, while there may be hundreds of endpoints
		if s := p.endpoints[id]; s != nil && p.Paused(id, s.Incarnation, now) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// AllPaused reports whether every endpoint that could serve a request, apart from its load and
// health, wants no requests now, and when the first pause ends.
func (p *Pool) AllPaused(r Request, now time.Time) (until time.Time, all bool) {
	for _, s := range p.endpoints {
		if !p.eligible(s, r) {
			continue
		}
		if !p.Paused(s.ID, s.Incarnation, now) {
			return time.Time{}, false
		}
		if end := p.pauses[s.ID].until; !all || end.Before(until) {
			until, all = end, true
		}
	}
	return until, all
}

// forgetPauses drops the pauses that are over and those of earlier incarnations.
func (p *Pool) forgetPauses(now time.Time) {
	for id, held := range p.pauses {
		s := p.endpoints[id]
		if !now.Before(held.until) || s != nil && s.Incarnation > held.incarnation {
			delete(p.pauses, id)
		}
	}
}
