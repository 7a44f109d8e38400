package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/confirm"
	"github.com/rhubarbhill/rhubarbhill/gate"
	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// Reasons for refusing an attempt, in addition to those of packages gate and
// confirm.
const (
	reasonNoCatalogue    gate.Reason = "no-catalogue"
	reasonNotReady       gate.Reason = "endpoint-not-ready"
	reasonModelWithdrawn gate.Reason = "model-withdrawn"
	reasonUnreachable    gate.Reason = "endpoint-unreachable"
	reasonCallerGone     gate.Reason = "caller-gone"
	reasonInvalid        gate.Reason = "invalid-attempt"
	reasonGateRestarted  gate.Reason = "gate-restarted"
)

// state is the shared state for the agent's decisions. One mutex guards the
// decisions and all their inputs, so that a withdrawal or a lost lease takes
// effect as soon as it is known.
type state struct {
	kind wire.EndpointKind
	role string

	mu    sync.Mutex
	lease *confirm.Lease
	gate  *gate.Gate
	term  uint64

	catalogue    release.Catalogue
	hasCatalogue bool

	engine    engine.Status // last status received
	reachable bool
	health    health

	ended   chan struct{} // closed and replaced when an attempt ends
	changed chan struct{} // holds one signal after a change that should be announced
}

func newState(s Settings, started time.Time) *state {
	return &state{
		kind: s.Kind, role: s.Role,
		lease:   confirm.New(confirm.Config{Grace: s.Grace.Std(), RoundOffset: uint64(started.UnixNano())}),
		gate:    gate.New(gate.Config{Capacity: s.Capacity}),
		health:  newHealth(s),
		ended:   make(chan struct{}),
		changed: make(chan struct{}, 1),
	}
}

// notify requests an announcement.
func (s *state) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// conditions returns the endpoint's state as input for the gate. The caller
// holds mu.
func (s *state) conditions(now time.Time) gate.Conditions {
	c := gate.Conditions{NoSets: s.kind == wire.KindService}
	reason, ok := s.mayServe(now)
	switch {
	case !ok:
		c.Refusal = reason
	case !s.ready():
		c.Refusal = reasonNotReady
	}
	for _, loaded := range s.servable() {
		c.Sets = append(c.Sets, loaded.SetID)
	}
	return c
}

// mayServe reports whether the lease permits serving the current catalogue
// revision, and otherwise the reason. The caller holds mu.
func (s *state) mayServe(now time.Time) (gate.Reason, bool) {
	if !s.hasCatalogue {
		return reasonNoCatalogue, false
	}
	reason, ok := s.lease.Check(s.catalogue.Revision, now)
	return gate.Reason(reason), ok
}

// servable returns the loaded sets whose model is in the catalogue with this
// role. The old version of a changed model stays servable until the engine
// reports the new one. The caller holds mu.
func (s *state) servable() []wire.LoadedSet {
	var sets []wire.LoadedSet
	for _, loaded := range s.engine.Sets {
		if m, ok := s.catalogue.Models[loaded.Model]; ok && m.Role == s.role {
			sets = append(sets, loaded)
		}
	}
	return sets
}

// ready reports whether the backend is reachable and makes progress. The caller
// holds mu.
func (s *state) ready() bool { return s.reachable && !s.health.failed }

// serves reports whether model, the name in a request's body, is in the
// catalogue and does not belong to another set than the pinned one. The caller
// holds mu.
func (s *state) serves(model, setID string) bool {
	set, ok := s.catalogue.Resolve(model)
	if !ok {
		return false
	}
	i := slices.IndexFunc(s.engine.Sets, func(l wire.LoadedSet) bool { return l.SetID == setID })
	return i < 0 || s.engine.Sets[i].Model == set.Model.Name
}

// setCatalogue replaces the catalogue and returns true, unless the new one is
// not newer than the current one.
func (s *state) setCatalogue(c release.Catalogue) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasCatalogue && c.Revision <= s.catalogue.Revision {
		return false
	}
	s.catalogue, s.hasCatalogue = c, true
	return true
}

// revision returns the revision of the current catalogue.
func (s *state) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalogue.Revision
}

// attemptEnded wakes exclusive attempts that wait for running attempts to end.
// The caller holds mu.
func (s *state) attemptEnded() {
	close(s.ended)
	s.ended = make(chan struct{})
}

// finish records the end of an attempt, with or without a complete answer.
func (s *state) finish(id gate.ID, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Finish(id, complete)
	s.health.ended(id)
	s.attemptEnded()
}

// cancelStart records that a started attempt was never sent to the backend or
// never ran there.
func (s *state) cancelStart(id gate.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.CancelStart(id)
	s.health.ended(id)
	s.attemptEnded()
}

// fence prevents an attempt from starting. If cancel is set and the attempt is
// running, fence cancels it.
func (s *state) fence(id gate.ID, sameStart, cancel bool) gate.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.gate.Fence(id, sameStart, time.Now())
	if f, ok := s.health.running[id]; ok && cancel {
		f.cancel(errCancelled)
	}
	return state
}
