package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/explain"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

const (
	// explainTimeout is how long an entry waits for the explanation of a broker before it asks
	// again, and explainTries how often it asks. A person waits for the answer, so both are longer
	// than for a request for a slot.
	explainTimeout = 150 * time.Millisecond
	explainTries   = 3
	// maxExplained limits the endpoints in an explanation, and maxExplanationBytes its size in a
	// message: datagram.Conn rejects messages of more than 16 KB.
	maxExplained        = 40
	maxExplanationBytes = 12 << 10
	// maxQueryBytes limits the description of a request.
	maxQueryBytes = 64 << 10
	// maxPermitsExplained limits the endpoints whose permits are explained for one request.
	maxPermitsExplained = 4
)

// explanationMessage answers an Explain message with the same sequence number.
type explanationMessage struct {
	Sequence  uint64            `cbor:"1,keyasint"`
	Placement explain.Placement `cbor:"2,keyasint"`
}

// explanationWaiters holds the calls that wait for the explanation of a broker, by sequence
// number. The numbers are their own: those of requests for slots select groups.
type explanationWaiters struct {
	last    uint64
	waiting map[uint64]chan explain.Placement
}

func (w *explanationWaiters) add() (uint64, chan explain.Placement) {
	if w.waiting == nil {
		w.waiting = map[uint64]chan explain.Placement{}
	}
	w.last++
	answers := make(chan explain.Placement, 1)
	w.waiting[w.last] = answers
	return w.last, answers
}

// receiveExplanation answers the question of another entry, or passes on the answer to one of this
// entry.
func (s *slotCoordinator) receiveExplanation(m peerMessage, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Explanation != nil {
		select {
		case s.explanations.waiting[m.Explanation.Sequence] <- m.Explanation.Placement:
		default: // a repeated answer, or nobody waits any more
		}
		return
	}
	if b := s.brokers[groupKey{m.Service, m.Group}]; b != nil {
		p := s.brokerPlacement(b, m.Explain.slotRequest(m.From, s.endpointIDs, now), s.decodeRateLimits(m, now), now)
		limitSize(&p)
		s.send(m.From, peerMessage{Service: m.Service, Group: m.Group, Explanation: &explanationMessage{Sequence: m.Explain.Sequence, Placement: p}})
	}
}

// brokerPlacement explains what a broker of this entry would do with a request for a slot. The
// caller holds mu.
func (s *slotCoordinator) brokerPlacement(b *placement.Broker, a placement.SlotRequest, limits []placement.NamedRateLimit, now time.Time) explain.Placement {
	e := b.Explain(a, limits, now)
	p := explain.Placement{
		Verdict: e.Verdict.String(), Endpoint: e.Choice.ID, Group: e.Group, Hold: e.Hold.String(), Late: e.Late,
		SlotIntervalMs: toMs(e.SlotInterval), Ahead: e.Ahead, MaxWaitMs: e.MaxWait.Milliseconds(),
		Entries: e.Entries, OldestReportMs: e.OldestReport.Milliseconds(), ListAgeMs: now.Sub(s.updatedAt).Milliseconds(),
	}
	p.Queue = queuedRanks(e.Queue)
	setEndpoints(&p, e.Endpoints, now)
	return p
}

func queuedRanks(counts []placement.RankCount) []explain.QueuedRank {
	var list []explain.QueuedRank
	for _, c := range counts {
		list = append(list, explain.QueuedRank{Class: c.Class, Rank: c.Rank, Waiting: c.Waiting})
	}
	return list
}

// setEndpoints sets the endpoints of an explanation, up to maxExplained.
func setEndpoints(p *explain.Placement, list []placement.EndpointExplanation, now time.Time) {
	p.Endpoints = []explain.Endpoint{}
	p.Omitted = max(0, len(list)-maxExplained)
	for _, e := range list[:len(list)-p.Omitted] {
		x := explain.Endpoint{
			ID: e.ID, Zone: e.Zone, Region: e.Region, Version: e.WeightsVersion, Running: e.Load.Running, Slots: e.Slots, UsableSlots: e.Usable,
			Pending: e.InPrefill, PrefillTokens: e.Load.PrefillTokens, FirstEventMs: e.TTFT.Milliseconds(), LagMs: e.Lag.Milliseconds(), Pace: e.Pace,
			ZonePenaltyMs: e.ZonePenalty.Milliseconds(), VersionPenaltyMs: e.VersionPenalty.Milliseconds(), SuspectPenaltyMs: e.SuspectPenalty.Milliseconds(),
			NotUsable: e.Obstacle.String(),
		}
		if !e.Until.IsZero() {
			x.EndsInMs = max(0, e.Until.Sub(now).Milliseconds())
		}
		p.Endpoints = append(p.Endpoints, x)
	}
}

// limitSize leaves out endpoints until the explanation fits into a message.
func limitSize(p *explain.Placement) {
	for len(p.Endpoints) > 0 {
		data, err := wire.Marshal(p)
		if err == nil && len(data) <= maxExplanationBytes {
			return
		}
		half := len(p.Endpoints) / 2
		p.Omitted += len(p.Endpoints) - half
		p.Endpoints = p.Endpoints[:half]
	}
}

// explain asks the brokers what they would do with a request for a slot, in the order in which
// requestSlot asks them, and returns what they answer. The last answer decides. A broker that does
// not answer is not suspended.
func (s *slotCoordinator) explain(ctx context.Context, service, zone string, a placement.SlotRequest) []explain.View {
	var views []explain.View
	s.mu.Lock()
	group, found := s.firstGroup(service, zone, a.Request, s.sequence+1)
	s.mu.Unlock()
	if !found {
		return nil
	}
	var silent []string
	for range maxBrokersTried {
		s.mu.Lock()
		broker := s.selectBroker(group, time.Now(), silent...)
		s.mu.Unlock()
		v := explain.View{By: explain.ByBroker, Name: broker, Group: group.Name, Permit: a.Only}
		asked := time.Now()
		p, ok := s.explainAt(ctx, broker, groupKey{service, group.Name}, a)
		if v.AgeMs = time.Since(asked).Milliseconds(); ok {
			v.Answered, v.Placement = true, &p
		}
		views = append(views, v)
		if !ok {
			silent = append(silent, broker)
			continue
		}
		if p.Verdict != placement.Redirected.String() {
			break
		}
		s.mu.Lock()
		other, known := s.findGroup(service, p.Group)
		s.mu.Unlock()
		a.Redirected = true
		if known {
			group = other
		}
	}
	return views
}

// explainAt asks one broker. The result ok is false if it does not answer.
func (s *slotCoordinator) explainAt(ctx context.Context, broker string, key groupKey, a placement.SlotRequest) (p explain.Placement, ok bool) {
	s.mu.Lock()
	var limits []placement.NamedRateLimit
	if a.Only != "" { // as in requestFrom
		limits = s.groupRateLimits(key)
	}
	if broker == s.self {
		defer s.mu.Unlock()
		if b := s.brokers[key]; b != nil {
			return s.brokerPlacement(b, a, limits, time.Now()), true
		}
		return p, false
	}
	sequence, answers := s.explanations.add()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.explanations.waiting, sequence)
		s.mu.Unlock()
	}()
	a.Sequence = sequence
	for range explainTries {
		now := time.Now()
		s.send(broker, peerMessage{Service: key.service, Group: key.group, Explain: newSlotRequestMessage(a, now), RateLimits: newRateLimitMessages(limits, now)})
		timer := time.NewTimer(explainTimeout)
		select {
		case p = <-answers:
			timer.Stop()
			return p, true
		case <-ctx.Done():
			timer.Stop()
			return p, false
		case <-timer.C:
		}
	}
	return p, false
}

// explainRequest handles POST /explain/request. It runs the decisions of a request of a caller up to
// the point at which they would change state.
func (d *Daemon) explainRequest(w http.ResponseWriter, r *http.Request) {
	var query explain.Query
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&query)
	if err == nil {
		err = checkQuery(query)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := d.handler.explain(r.Context(), query)
	answer.Entry = d.settings.Instance
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // fails only if the client disconnected
}

func checkQuery(q explain.Query) error {
	var p settings.Problems
	p.Required("host", q.Host)
	if !strings.HasPrefix(q.Path, "/") {
		p.Add("path", "must begin with a slash, got %q", q.Path)
	}
	for name, n := range map[string]int{"prompt_tokens": q.PromptTokens, "length_hint": q.LengthHint} {
		if n < 0 || n > maxTokens {
			p.Add(name, "must be from 0 to %d, got %d", maxTokens, n)
		}
	}
	if q.DeadlineMs < 0 || q.DeadlineMs > maxQueueMs {
		p.Add("deadline_ms", "must be from 0 to %d, got %d", maxQueueMs, q.DeadlineMs)
	}
	return p.Err()
}

// explain tells what would become of a request now. It sends nothing to endpoints, and changes no
// state of this entry or of brokers.
func (h *handler) explain(ctx context.Context, query explain.Query) explain.Request {
	now := time.Now()
	q := &request{
		ctx: ctx, method: query.Method, target: query.Path, host: query.Host, arrived: now,
		call: protocol.Call{
			ID: query.ID, Key: query.Key, Timeout: fromMs(query.DeadlineMs), Model: query.Model, PromptParts: query.Parts,
			PromptTokens: query.PromptTokens, LengthHint: query.LengthHint,
		},
	}
	refused := h.findRoute(q, h.guard.wouldBeReady)
	if refused == nil {
		refused = h.refuseLate(q)
	}
	answer := explain.Request{At: now, Model: query.Model, Refusal: explainedRefusal(refused, false)}
	if q.table != nil {
		answer.Routing = q.table.Document.Version
	}
	if q.route != nil {
		regions := h.allowedRegions(q)
		answer.Route, answer.Kind, answer.Organisation, answer.Rank, answer.Level = q.route.Name, kindName(q.route.Kind), q.organisation, q.priority, q.table.Level(q.priority)
		answer.RegionsBound, answer.Regions = regions.Bound, regions.Names
		answer.RequiredVersion, answer.SoonRequiredVersion = h.requiredVersion(q, h.weightsBound), h.requiredVersion(q, h.softWeightsBound)
	}
	if refused != nil {
		return answer
	}
	for service, share := range targets(q.route, query.ID) {
		one := *q
		one.setService(service)
		t := h.explainTarget(&one)
		t.Service, t.Share = service, share
		answer.Targets = append(answer.Targets, t)
	}
	return answer
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func kindName(k routing.Kind) string {
	switch k {
	case routing.Safe:
		return "safe"
	case routing.Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// targets yields the services to which a request of a route may go with their shares: the one that
// its ID selects, or all if it has none.
func targets(route *routing.Route, id string) func(yield func(string, float64) bool) {
	return func(yield func(string, float64) bool) {
		total := 0
		for _, t := range route.Targets {
			total += t.Weight
		}
		picked := ""
		if id != "" {
			picked = route.Pick(hashFraction(id))
		}
		for _, t := range route.Targets {
			if picked == "" || t.Service == picked {
				if !yield(t.Service, float64(t.Weight)/float64(max(1, total))) || picked != "" {
					return
				}
			}
		}
	}
}

// explainTarget tells what would become of a request at its service. It follows handler.place and
// dispatcher.place.
func (h *handler) explainTarget(q *request) explain.Target {
	now := time.Now()
	suspicion := h.guard.check(q, now)
	t := explain.Target{MaxWaitMs: max(0, q.maxWait(now)).Milliseconds(), Suspects: formatParts(suspicion.Suspects)}
	if suspicion.Quarantined {
		t.Quarantined = formatPart(suspicion.Part)
		return refusedTarget(t, quarantineRefusal(suspicion), false)
	}
	return h.dispatcher.explain(q, h.placementRequest(q, 0, suspicion), t)
}

// view returns the pool of a service, or one without endpoints if there is none. The caller holds
// mu.
func (d *dispatcher) view(service string) *poolState {
	if p := d.pools[service]; p != nil {
		return p
	}
	return d.newPool()
}

// explain tells what place would do.
func (d *dispatcher) explain(q *request, r placement.Request, t explain.Target) explain.Target {
	now := time.Now()
	d.mu.Lock()
	p := d.view(q.service)
	refused := p.regionRefusal(r, now)
	if refused == nil {
		refused = p.evacuationRefusal(r, now)
	}
	var left time.Duration
	if refused == nil {
		left, refused = p.pauseLeft(r, q.maxWait(now), now)
	}
	a := p.slotRequest(q, r, now)
	if refused != nil || left > 0 {
		own := d.localPlacement(p, r, localDecision{verdict: p.RefusalVerdict(r, placement.NoEndpoint)}, q.maxWait(now), now)
		d.mu.Unlock()
		t.Views = append(t.Views, d.ownView(own))
		if refused != nil {
			return refusedTarget(t, refused, true)
		}
		t.Outcome, t.Why, t.WaitMs = explain.Queued, "all endpoints want no requests", left.Milliseconds()
		return t
	}
	d.mu.Unlock()
	if d.slots.brokered(q.service) {
		views := d.slots.explain(q.ctx, q.service, r.Zone, a)
		t.Views = append(t.Views, views...)
		if n := len(views); n > 0 && views[n-1].Answered && views[n-1].Placement.Verdict != placement.Redirected.String() {
			d.nameExclusions(q, r, views)
			return d.brokerOutcome(q, r, t, *views[n-1].Placement)
		}
		if r.Serialized {
			return refusedTarget(t, suspectRefusal(), false)
		}
		d.mu.Lock()
		r.Exclude = slices.Concat(r.Exclude, d.view(q.service).RateLimited())
		d.mu.Unlock()
	}
	return d.explainLocally(q, r, t)
}

// nameExclusions replaces the reason why endpoints are excluded by what this entry knows against
// them.
func (d *dispatcher) nameExclusions(q *request, r placement.Request, views []explain.View) {
	now := time.Now()
	d.mu.Lock()
	own := map[string]placement.EndpointExplanation{}
	for _, e := range d.view(q.service).Explain(r, now) {
		own[e.ID] = e
	}
	d.mu.Unlock()
	for _, v := range views {
		if v.Placement == nil {
			continue
		}
		for i := range v.Placement.Endpoints {
			e := &v.Placement.Endpoints[i]
			switch o := own[e.ID]; {
			case e.NotUsable != placement.ObstacleExcluded.String():
			case slices.Contains(r.Exclude, e.ID):
				e.NotUsable = "already-tried"
			case o.Obstacle != placement.ObstacleNone:
				e.NotUsable = o.Obstacle.String()
				if !o.Until.IsZero() {
					e.EndsInMs = max(0, o.Until.Sub(now).Milliseconds())
				}
			}
		}
	}
}

// brokerOutcome sets the outcome by the answer of a broker.
func (d *dispatcher) brokerOutcome(q *request, r placement.Request, t explain.Target, p explain.Placement) explain.Target {
	response := placement.SlotResponse{Verdict: parseVerdict(p.Verdict), SlotInterval: time.Duration(p.SlotIntervalMs * float64(time.Millisecond)), Ahead: p.Ahead}
	t.MaxWaitMs = max(t.MaxWaitMs, p.MaxWaitMs)
	switch response.Verdict {
	case placement.Placed:
		t.Outcome, t.Endpoint = explain.Placed, p.Endpoint
		return t
	case placement.Queued:
		t.Outcome, t.Why = explain.Queued, "no endpoint can take it now"
		switch p.Hold {
		case placement.HoldQueue.String():
			t.Why = "queued requests come before it"
		case placement.HoldSuspect.String():
			t.Why = "another request that may crash endpoints has not begun yet"
		}
		t.WaitMs = (response.SlotInterval * time.Duration(response.Ahead+1)).Milliseconds()
		return t
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return refusedTarget(t, d.view(q.service).brokerRefusal(r, response, time.Now()), true)
}

// parseVerdict returns the verdict with a name. A name that is not known, of a newer version, counts
// as Full.
func parseVerdict(name string) placement.Verdict {
	for v := placement.Placed; v <= placement.NoAllowedRegion; v++ {
		if v.String() == name {
			return v
		}
	}
	return placement.Full
}

// explainLocally tells what placeLocally would do. An endpoint whose permit would be refused is left
// out, as placeLocally does by DeferPermits.
func (d *dispatcher) explainLocally(q *request, r placement.Request, t explain.Target) explain.Target {
	for permits := 0; ; permits++ {
		now := time.Now()
		d.mu.Lock()
		p := d.view(q.service)
		maxWait := q.maxWait(now)
		decided := p.decide(r, false, maxWait, p.Preview, now)
		own := d.localPlacement(p, r, decided, maxWait, now)
		interval, ahead := p.NextSlot(r, now), p.queue.Ahead(r.Priority)
		d.mu.Unlock()
		t.Views = append(t.Views, d.ownView(own))
		switch decided.step {
		case stepSend:
			t.Outcome, t.Endpoint = explain.Placed, decided.choice.ID
			return t
		case stepRefuse:
			if permits > 0 && decided.verdict == placement.NoEndpoint {
				decided.refused.reason = RateLimited
			}
			return refusedTarget(t, decided.refused, true)
		case stepQueue:
			t.Outcome, t.Why, t.WaitMs = explain.Queued, "no endpoint can take it now", (interval * time.Duration(ahead+1)).Milliseconds()
			if decided.verdict == placement.Placed {
				t.Why = "queued requests come before it"
			}
			return t
		}
		views := d.slots.explain(q.ctx, q.service, decided.choice.Zone, permitRequest(r, decided.choice))
		t.Views = append(t.Views, views...)
		if n := len(views); n > 0 && views[n-1].Answered && views[n-1].Placement.Verdict == placement.Placed.String() {
			t.Outcome, t.Endpoint = explain.Placed, decided.choice.ID
			return t
		}
		if permits == maxPermitsExplained || q.ctx.Err() != nil {
			return refusedTarget(t, placementRefusal(placement.RateLimited, retryAfter(placement.SlotResponse{SlotInterval: interval, Ahead: ahead})), true)
		}
		r.Exclude = append(slices.Clone(r.Exclude), decided.choice.ID)
	}
}

// localPlacement explains a decision by this entry. The caller holds mu.
func (d *dispatcher) localPlacement(p *poolState, r placement.Request, decided localDecision, maxWait time.Duration, now time.Time) explain.Placement {
	x := explain.Placement{
		Verdict: decided.verdict.String(), Late: r.Late, JitterMs: localJitterMs, MaxWaitMs: max(0, maxWait).Milliseconds(),
		SlotIntervalMs: toMs(p.NextSlot(r, now)), Ahead: p.queue.Ahead(r.Priority),
	}
	if decided.verdict == placement.Placed {
		x.Endpoint = decided.choice.ID
		if decided.step == stepQueue {
			x.Hold = placement.HoldQueue.String()
		}
	}
	x.Queue = queuedRanks(p.queue.Counts())
	setEndpoints(&x, p.Explain(r, now), now)
	return x
}

// ownView returns the view of this entry with a decision. The caller does not hold mu.
func (d *dispatcher) ownView(p explain.Placement) explain.View {
	d.slots.mu.Lock()
	defer d.slots.mu.Unlock()
	p.ListAgeMs = time.Since(d.slots.updatedAt).Milliseconds()
	return explain.View{By: explain.ByEntry, Name: d.slots.self, Answered: true, Placement: &p}
}

func refusedTarget(t explain.Target, r *refusal, spread bool) explain.Target {
	t.Outcome, t.Refusal = explain.Refused, explainedRefusal(r, spread)
	return t
}

// explainedRefusal describes a refusal, to which jitter is added if spread is true.
func explainedRefusal(r *refusal, spread bool) *explain.Refusal {
	if r == nil {
		return nil
	}
	x := &explain.Refusal{Status: r.status, Reason: string(r.reason), RetryAfterMs: r.retryAfter.Milliseconds()}
	if spread {
		x.JitterMs = retryAfterJitter.Milliseconds()
	}
	return x
}
