package relay

import (
	"cmp"
	"context"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

const (
	// slotRequestTimeout is how long an entry waits for the response of a broker before
	// it repeats the slot request. The slowest round trip between two regions takes
	// about 6 ms, and a process that parses a large routing document responds about 20
	// ms later.
	slotRequestTimeout = 40 * time.Millisecond
	// triesPerBroker is the number of slot requests without a response after which an
	// entry asks the next broker.
	triesPerBroker = 3
	// maxBrokersTried limits the brokers that are asked for one request. After them,
	// the entry places the request from its local state.
	maxBrokersTried = 2
	// queuedRepeatInterval is how long an entry waits for the grant of a queued request
	// before it repeats the slot request, in case the grant was lost or the broker has
	// stopped.
	queuedRepeatInterval = 100 * time.Millisecond
	// brokerSuspension is how long a broker that did not respond is not asked.
	brokerSuspension = time.Second
	// eventFlushInterval is how long first events and ends are batched into one
	// message. A longer interval leaves slots unused; a slot is in use for about 1.5 s.
	eventFlushInterval = 10 * time.Millisecond
	// idleInterval is the interval of periodic work while nothing is pending.
	idleInterval = 100 * time.Millisecond
	// reportInterval is the interval between two reports of all slots that an entry
	// holds.
	reportInterval = 250 * time.Millisecond
	// summaryInterval is the interval between two summaries to other groups.
	summaryInterval = 100 * time.Millisecond
	// rateLimitInterval is the interval at which entries report the rate limits that they
	// know of, and at which brokers tell all entries which endpoints of plain services
	// have one.
	rateLimitInterval = time.Second
	// maxReportTargets is the number of brokers of each group that get reports and
	// summaries: the active one, and the next one, which takes over from it.
	maxReportTargets = 2
	// maxCandidates is the number of highest-ranked entries of a group that keep a
	// broker ready.
	maxCandidates = 4
	// brokerLinger is how long an entry that stops, or is no longer a candidate of a
	// group, continues to respond to entries that do not know it yet.
	brokerLinger = 3 * time.Second
	// maxExcluded limits the ejected endpoints listed in a slot request.
	maxExcluded = 16
	// maxPausedExcluded limits the endpoints in a slot request that want no requests from this
	// entry. If the broker grants a slot of another one, it is returned unused.
	maxPausedExcluded = 128
	// maxEvacuatedExcluded limits the evacuated endpoints in a slot request, like
	// maxPausedExcluded: the broker may not know of the evacuation, and a request that is returned
	// unused more than maxNotSent times is refused.
	maxEvacuatedExcluded = 128
	// maxHeldReported limits a message of a report to about 6 KB.
	maxHeldReported = 512
)

// groupKey identifies the endpoints of a service that one broker is responsible for.
type groupKey struct{ service, group string }

// slotCoordinator requests slots of engines from brokers, and runs the brokers of the
// groups in which this entry is a candidate. It adds time, messages and waiting to
// package placement.
type slotCoordinator struct {
	self string
	zone string
	log  log.Interface
	// send sends a message to another entry. Messages may be lost.
	send func(to string, m peerMessage)

	mu       sync.Mutex
	limits   rateLimitStore // its methods are called while mu is held
	entries  []string       // names of all entries
	services map[string]*serviceGroups
	brokers  map[groupKey]*placement.Broker
	// lastCandidate is when this entry was last a candidate of a group.
	lastCandidate  map[groupKey]time.Time
	endpointIDs    map[uint32]string // by hash
	suspendedUntil map[string]time.Time
	activeBroker   map[groupKey]string // broker that slot requests go to
	sequence       uint64
	waiters        map[uint64]chan placement.SlotResponse
	held           map[uint64]heldSlot
	explanations   explanationWaiters
	updatedAt      time.Time // of the endpoints
	pendingEvents  map[groupKey][]eventMessage
	coldAuthority  coldAuthority
	meanLagMs      float64 // moving average of the lag of first events at this entry, see excessLag
	wake           chan struct{}
}

// rateLimitStore holds the rate limits of endpoints that this entry knows of.
type rateLimitStore interface {
	rateLimits(service string) []placement.NamedRateLimit
	addRateLimit(service string, n placement.NamedRateLimit)
}

// noRateLimits is the rateLimitStore until another one is set.
type noRateLimits struct{}

func (noRateLimits) rateLimits(string) []placement.NamedRateLimit  { return nil }
func (noRateLimits) addRateLimit(string, placement.NamedRateLimit) {}

// serviceGroups is the division of the endpoints of a service into groups.
type serviceGroups struct {
	// engines is true if brokers place all requests of the service. For plain services
	// they only count the requests to endpoints with a rate limit.
	engines     bool
	groups      []placement.Group
	groupOfZone map[string]string
	// regions are those in which the groups have endpoints that are not evacuated, by group.
	regions map[string]map[string]bool
}

// heldSlot is a slot that a broker granted to this entry.
type heldSlot struct {
	key           groupKey
	endpoint      string
	prefillTokens int
	inPrefill     bool
	rateLimited   bool // the endpoint had a rate limit when the slot was granted
	pace          int  // as in eventMessage
}

func newSlotCoordinator(self, zone string, logger log.Interface, send func(string, peerMessage)) *slotCoordinator {
	return &slotCoordinator{
		self: self, zone: zone, log: logger, send: send, limits: noRateLimits{},
		services: map[string]*serviceGroups{}, brokers: map[groupKey]*placement.Broker{}, lastCandidate: map[groupKey]time.Time{},
		endpointIDs: map[uint32]string{}, suspendedUntil: map[string]time.Time{}, activeBroker: map[groupKey]string{},
		// Higher than any sequence number of an earlier process of this entry.
		sequence: uint64(time.Now().UnixNano()),
		waiters:  map[uint64]chan placement.SlotResponse{}, held: map[uint64]heldSlot{}, pendingEvents: map[groupKey][]eventMessage{},
		wake: make(chan struct{}, 1),
	}
}

func (s *slotCoordinator) setRateLimitStore(store rateLimitStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = store
}

func endpointHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// brokered reports whether brokers place the requests of a service.
func (s *slotCoordinator) brokered(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.services[service]
	return g != nil && g.engines
}

// update replaces the known entries and endpoints.
func (s *slotCoordinator) update(table *routing.Table, endpoints map[string][]placement.Endpoint, entries []placement.Entry, now time.Time) {
	s.mu.Lock()
	endpointIDs := map[uint32]string{}
	services := map[string]*serviceGroups{}
	groupOfEndpoint := map[string]string{}
	for service, list := range endpoints {
		description := table.Service(service)
		if description == nil {
			continue
		}
		g := &serviceGroups{engines: description.Engine != nil, regions: map[string]map[string]bool{}}
		g.groups, g.groupOfZone = placement.Groups(entries, len(list), zonesOf(list))
		services[service] = g
		byGroup := map[string][]placement.Endpoint{}
		for _, e := range list {
			endpointIDs[endpointHash(e.ID)] = e.ID
			groupOfEndpoint[e.ID] = g.groupOfZone[e.Zone]
			if !e.Evacuated {
				g.addRegion(g.groupOfZone[e.Zone], e.Region)
			}
			byGroup[g.groupOfZone[e.Zone]] = append(byGroup[g.groupOfZone[e.Zone]], e)
		}
		for _, group := range g.groups {
			key := groupKey{service, group.Name}
			if rank := slices.Index(group.Brokers, s.self); rank >= 0 && rank < maxCandidates {
				s.lastCandidate[key] = now
				if s.brokers[key] == nil {
					s.brokers[key] = placement.NewBroker(placement.Config{})
				}
			}
			if b := s.brokers[key]; b != nil {
				b.SetPrimary(group.Brokers[0] == s.self)
				s.setColdAuthority(b, group.Name)
				b.Update(description.Engine, byGroup[group.Name], now)
			}
		}
	}
	for key := range s.brokers {
		if now.Sub(s.lastCandidate[key]) > brokerLinger {
			delete(s.brokers, key)
			delete(s.lastCandidate, key)
		}
	}
	s.endpointIDs, s.services, s.entries, s.updatedAt = endpointIDs, services, s.entries[:0], now
	for _, e := range entries {
		s.entries = append(s.entries, e.Name)
	}
	moved := s.moveHeld(groupOfEndpoint)
	s.updateActiveBrokers(now)
	for key := range moved {
		s.sendReport(key, []string{s.activeBroker[key]}, nil)
	}
	out := s.takeResponses()
	s.mu.Unlock()
	s.deliver(out)
}

// moveHeld assigns the held slots to the groups that their endpoints belong to now, and
// returns the groups that have got some. The broker of a group counts only the slots that are
// reported to it. The caller holds mu.
func (s *slotCoordinator) moveHeld(groupOfEndpoint map[string]string) map[groupKey]bool {
	moved := map[groupKey]bool{}
	for sequence, h := range s.held {
		group, listed := groupOfEndpoint[h.endpoint]
		if !listed || group == h.key.group {
			continue
		}
		h.key.group = group
		s.held[sequence] = h
		moved[h.key] = true
	}
	return moved
}

func zonesOf(list []placement.Endpoint) []string {
	seen := map[string]bool{}
	var zones []string
	for _, e := range list {
		if !seen[e.Zone] {
			seen[e.Zone] = true
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// updateActiveBrokers determines the active broker of each group, logs changes and
// reports the held slots to a new one. The caller holds mu.
func (s *slotCoordinator) updateActiveBrokers(now time.Time) {
	for service, g := range s.services {
		for _, group := range g.groups {
			key := groupKey{service, group.Name}
			broker := s.selectBroker(group, now)
			if previous := s.activeBroker[key]; previous != broker {
				s.activeBroker[key] = broker
				s.log.WithFields(log.Fields{"service": service, "group": group.Name, "broker": broker, "before": previous}).Info("broker_changed")
				s.sendReport(key, []string{broker}, s.groupRateLimits(key))
			}
		}
	}
}

// selectBroker returns the highest-ranked entry of a group that is neither suspended nor
// listed as silent. The caller holds mu.
func (s *slotCoordinator) selectBroker(group placement.Group, now time.Time, silent ...string) string {
	for _, name := range group.Brokers {
		if !now.Before(s.suspendedUntil[name]) && !slices.Contains(silent, name) {
			return name
		}
	}
	if len(group.Brokers) == 0 {
		return ""
	}
	return group.Brokers[0]
}

// findGroup returns a group of a service by name. The caller holds mu.
func (s *slotCoordinator) findGroup(service, name string) (placement.Group, bool) {
	if g := s.services[service]; g != nil {
		for _, group := range g.groups {
			if group.Name == name {
				return group, true
			}
		}
	}
	return placement.Group{}, false
}

// groupOfZone returns the group of a service that is responsible for a zone. The caller
// holds mu.
func (s *slotCoordinator) groupOfZone(service, zone string) (placement.Group, bool) {
	g := s.services[service]
	if g == nil || len(g.groups) == 0 {
		return placement.Group{}, false
	}
	name, ok := g.groupOfZone[zone]
	if !ok {
		name = zone
	}
	if group, ok := s.findGroup(service, name); ok {
		return group, true
	}
	return g.groups[0], true
}

// slotResult is the result of a slot request.
type slotResult struct {
	choice   placement.Choice
	sequence uint64
	key      groupKey
	broker   string
	requests int
	// requestedAt is when the slot was requested first.
	requestedAt time.Time
	// response is the final response of the broker.
	response placement.SlotResponse
}

// requestSlot requests a slot from one broker of a zone's group after the other until one
// responds. The result ok is false if none does.
func (s *slotCoordinator) requestSlot(ctx context.Context, service, zone string, a placement.SlotRequest) (p slotResult, ok bool) {
	s.mu.Lock()
	s.sequence++
	a.SlotRequestID = placement.SlotRequestID{Entry: s.self, Sequence: s.sequence}
	responses := make(chan placement.SlotResponse, 4) // room for repeated responses
	s.waiters[a.Sequence] = responses
	group, found := s.firstGroup(service, zone, a.Request, s.sequence)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiters, a.Sequence)
		s.mu.Unlock()
	}()
	if !found {
		return p, false
	}
	p.sequence, p.requestedAt = a.Sequence, time.Now()
	for range maxBrokersTried {
		s.mu.Lock()
		p.broker = s.selectBroker(group, time.Now())
		s.mu.Unlock()
		p.key = groupKey{service, group.Name}
		next, responded := s.requestFrom(ctx, &p, a, responses)
		if responded && next == "" || ctx.Err() != nil {
			return p, responded
		}
		if !responded {
			s.suspendBroker(p.broker)
			continue
		}
		// Redirected: another group has free slots.
		s.mu.Lock()
		other, known := s.findGroup(service, next)
		s.mu.Unlock()
		a.Redirected = true
		if known {
			group = other
		}
	}
	return p, false
}

// requestFrom requests a slot from one broker. The result next is the group to ask next
// after a redirect.
func (s *slotCoordinator) requestFrom(ctx context.Context, p *slotResult, a placement.SlotRequest, responses chan placement.SlotResponse) (next string, responded bool) {
	var limits []placement.NamedRateLimit
	if a.Only != "" { // the broker may not know of the limit yet
		s.mu.Lock()
		limits = s.groupRateLimits(p.key)
		s.mu.Unlock()
	}
	for tries := 0; tries < triesPerBroker; tries++ {
		p.requests++
		now := time.Now()
		s.sendToBroker(p.broker, p.key, func(b *placement.Broker, now time.Time) {
			s.addRateLimits(b, p.key, s.self, limits, now)
			b.RequestSlot(a, now)
		}, peerMessage{SlotRequest: newSlotRequestMessage(a, now), RateLimits: newRateLimitMessages(limits, now)})
		wait := slotRequestTimeout
		for {
			timer := time.NewTimer(wait)
			select {
			case response := <-responses:
				timer.Stop()
				if response.Verdict == placement.Queued {
					tries, wait = 0, queuedRepeatInterval
					continue
				}
				p.response = response
				if response.Verdict == placement.Redirected {
					return response.Group, true
				}
				if response.Verdict == placement.Placed {
					p.choice = response.Choice
					p.choice.PermitUntil = p.permitUntil()
					s.recordHeld(p, a.PromptTokens)
				}
				return "", true
			case <-ctx.Done():
				timer.Stop()
				s.reportEvent(p.key, eventMessage{Sequence: a.Sequence, Ended: true, Result: placement.Neutral})
				return "", false
			case <-timer.C:
			}
			break
		}
	}
	return "", false
}

// suspendBroker stops asking a broker that did not respond for a while.
func (s *slotCoordinator) suspendBroker(broker string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.suspendedUntil[broker]) {
		s.log.WithFields(log.Fields{"broker": broker, "for_ms": brokerSuspension.Milliseconds()}).Warn("broker_silent")
	}
	s.suspendedUntil[broker] = now.Add(brokerSuspension)
	s.updateActiveBrokers(now)
}

// recordHeld records a granted slot.
func (s *slotCoordinator) recordHeld(p *slotResult, prompt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[p.sequence] = heldSlot{key: p.key, endpoint: p.choice.ID, prefillTokens: prompt, inPrefill: true, rateLimited: p.choice.RateLimited}
}

// firstEvent reports the first event of an attempt to the broker. The lag is by how
// much it arrived later than modelled.
func (s *slotCoordinator) firstEvent(sequence uint64, lag time.Duration) {
	s.mu.Lock()
	h, ok := s.held[sequence]
	if !ok {
		s.mu.Unlock()
		return
	}
	h.inPrefill, h.prefillTokens = false, 0
	s.held[sequence] = h
	excess := s.excessLag(lag)
	s.mu.Unlock()
	s.reportEvent(h.key, eventMessage{Sequence: sequence, LateMs: excess.Milliseconds(), Pace: h.pace})
}

// recordAnswer reports to the broker the request rate that the endpoint of a slot names in
// its answer, nil for none, and for how long it remains cold. An answer without a rate
// matters only if the broker knows of a limit.
func (s *slotCoordinator) recordAnswer(sequence uint64, perSecond *float64, coldFor time.Duration) {
	s.mu.Lock()
	h, ok := s.held[sequence]
	s.mu.Unlock()
	if ok && (perSecond != nil || h.rateLimited || coldFor > 0) {
		s.reportEvent(h.key, eventMessage{Sequence: sequence, Answered: true, RateLimit: perSecond, ColdMs: coldFor.Milliseconds()})
	}
}

// addRateLimits tells a broker of limits that an entry knows of. The caller holds mu.
func (s *slotCoordinator) addRateLimits(b *placement.Broker, key groupKey, entry string, limits []placement.NamedRateLimit, now time.Time) {
	for _, l := range limits {
		if b.AddRateLimit(l, now) {
			logRateLimit(s.log, l.Endpoint, l.Rate(), log.Fields{"service": key.service, "group": key.group, "entry": entry})
		}
	}
}

// excessLag returns by how much the lag of a first event exceeds the mean lag at this
// entry. A lag that all endpoints share is caused by a slow link or CPU of this entry,
// not by an endpoint. The caller holds mu.
func (s *slotCoordinator) excessLag(lag time.Duration) time.Duration {
	lagMs := max(0, float64(lag)/float64(time.Millisecond))
	meanMs := s.meanLagMs
	s.meanLagMs += lagWeight * (lagMs - s.meanLagMs)
	return time.Duration((lagMs - meanMs) * float64(time.Millisecond))
}

// lagWeight is the weight of the newest first event in the mean lag. About the last 30
// first events count, which is two seconds of requests.
const lagWeight = 0.03

// end releases the slot of an attempt and reports the result to the broker.
func (s *slotCoordinator) end(sequence uint64, result placement.Result) {
	s.mu.Lock()
	h, ok := s.held[sequence]
	delete(s.held, sequence)
	s.mu.Unlock()
	if ok {
		s.reportEvent(h.key, eventMessage{Sequence: sequence, Ended: true, Result: result})
	}
}

// reportEvent reports an event to the broker of a group: at once if this entry is the
// broker, and otherwise with the next message.
func (s *slotCoordinator) reportEvent(key groupKey, e eventMessage) {
	s.mu.Lock()
	if b := s.brokers[key]; b != nil && s.activeBroker[key] == s.self {
		s.applyEvents(b, s.self, key, []eventMessage{e}, time.Now())
		out := s.takeResponses()
		s.mu.Unlock()
		s.deliver(out)
		return
	}
	s.pendingEvents[key] = append(s.pendingEvents[key], e)
	s.mu.Unlock()
	signal(s.wake)
}

// signal wakes a loop that waits on a channel of capacity 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// applyEvents applies events from an entry to a broker. The caller holds mu.
func (s *slotCoordinator) applyEvents(b *placement.Broker, entry string, key groupKey, events []eventMessage, now time.Time) {
	for _, e := range events {
		id := placement.SlotRequestID{Entry: entry, Sequence: e.Sequence}
		if e.Answered {
			b.RecordCold(id, fromMs(e.ColdMs), now)
			if endpoint, changed := b.RecordRateLimit(id, e.RateLimit, now); changed {
				logRateLimit(s.log, endpoint, e.RateLimit, log.Fields{"service": key.service, "group": key.group, "entry": entry})
			}
			continue
		}
		if !e.Ended {
			b.RecordPace(id, decodePace(e.Pace), now)
			b.FirstEvent(id, fromMs(e.LateMs), now)
			continue
		}
		if endpoint, ejected := b.End(id, e.Result, now); ejected > 0 {
			s.log.WithFields(log.Fields{
				"service": key.service, "group": key.group, "entry": entry, "endpoint": endpoint, "ejected_ms": ejected.Milliseconds(), "result": e.Result.String(),
			}).Info("endpoint_ejected")
		}
	}
}

// sendToBroker sends a message to a broker, together with the pending events of the
// group, or calls local if the broker runs in this process.
func (s *slotCoordinator) sendToBroker(name string, key groupKey, local func(*placement.Broker, time.Time), m peerMessage) {
	if name != s.self {
		m.Service, m.Group = key.service, key.group
		s.mu.Lock()
		m.Events = s.pendingEvents[key]
		delete(s.pendingEvents, key)
		s.mu.Unlock()
		s.send(name, m)
		return
	}
	s.mu.Lock()
	b := s.brokers[key]
	if b != nil {
		local(b, time.Now())
	}
	out := s.takeResponses()
	s.mu.Unlock()
	s.deliver(out)
}

// outgoingResponse is a response of a local broker that is to be delivered.
type outgoingResponse struct {
	key      groupKey
	response placement.SlotResponse
}

// takeResponses returns the new responses of the local brokers. The caller holds mu.
func (s *slotCoordinator) takeResponses() []outgoingResponse {
	var out []outgoingResponse
	for key, b := range s.brokers {
		for _, a := range b.TakeResponses() {
			out = append(out, outgoingResponse{key, a})
		}
	}
	return out
}

// deliver delivers responses to their entries. The caller must not hold mu.
func (s *slotCoordinator) deliver(out []outgoingResponse) {
	for _, o := range out {
		if o.response.RequestID.Entry != s.self {
			s.send(o.response.RequestID.Entry, peerMessage{Service: o.key.service, Group: o.key.group, SlotResponse: newSlotResponseMessage(o.response)})
			continue
		}
		s.handleResponse(o.key, o.response)
	}
}

// handleResponse passes a response to the request that waits for it. It releases a
// granted slot for which no request waits any more.
func (s *slotCoordinator) handleResponse(key groupKey, a placement.SlotResponse) {
	s.mu.Lock()
	responses, ok := s.waiters[a.RequestID.Sequence]
	_, holds := s.held[a.RequestID.Sequence]
	s.mu.Unlock()
	if ok {
		select {
		case responses <- a:
			return
		default: // the channel holds enough responses
		}
	}
	if a.Verdict == placement.Placed && !holds && !ok {
		s.reportEvent(key, eventMessage{Sequence: a.RequestID.Sequence, Ended: true, Result: placement.Neutral})
	}
}

// receive handles a message from another entry. It ignores one with a number out of range.
func (s *slotCoordinator) receive(m peerMessage) {
	if !m.valid() {
		return
	}
	now := time.Now()
	key := groupKey{m.Service, m.Group}
	if m.Explain != nil || m.Explanation != nil {
		s.receiveExplanation(m, now)
		return
	}
	if m.SlotResponse != nil {
		s.handleResponse(key, m.SlotResponse.slotResponse(s.self))
		return
	}
	s.mu.Lock()
	if m.Summary != nil {
		for k, b := range s.brokers {
			if k.service == m.Service && k.group != m.Group {
				b.RecordSummary(m.Group, placement.Summary{FreeSlots: m.Summary.FreeSlots, FreeByRegion: m.Summary.freeByRegion()}, m.Summary.Groups, now)
			}
		}
	}
	limits := s.decodeRateLimits(m, now)
	if g := s.services[m.Service]; g != nil && !g.engines {
		for _, n := range limits {
			s.limits.addRateLimit(m.Service, n)
		}
	}
	if b := s.brokers[key]; b != nil {
		s.applyEvents(b, m.From, key, m.Events, now)
		s.addRateLimits(b, key, m.From, limits, now)
		if m.HeldSlots != nil {
			b.ReconcileRange(m.From, m.HeldSlots.heldSlots(s.endpointIDs), m.HeldSlots.First, cmp.Or(m.HeldSlots.Last, math.MaxUint64), now)
		}
		if m.SlotRequest != nil {
			b.RequestSlot(m.SlotRequest.slotRequest(m.From, s.endpointIDs, now), now)
		}
	}
	out := s.takeResponses()
	s.mu.Unlock()
	s.deliver(out)
}

// decodeRateLimits returns the limits in a message of endpoints that are known here. The caller
// holds mu.
func (s *slotCoordinator) decodeRateLimits(m peerMessage, now time.Time) []placement.NamedRateLimit {
	var limits []placement.NamedRateLimit
	for _, l := range m.RateLimits {
		if n, ok := l.namedRateLimit(s.endpointIDs, now); ok {
			limits = append(limits, n)
		}
	}
	return limits
}

// sendReport reports the slots of a group that this entry holds, and rate limits, to
// brokers. The caller holds mu.
func (s *slotCoordinator) sendReport(key groupKey, to []string, limits []placement.NamedRateLimit) {
	var held []placement.HeldSlot
	for sequence, h := range s.held {
		if h.key == key {
			held = append(held, placement.HeldSlot{Sequence: sequence, Endpoint: h.endpoint, PrefillTokens: h.prefillTokens, InPrefill: h.inPrefill})
		}
	}
	slices.SortFunc(held, func(a, b placement.HeldSlot) int { return cmp.Compare(a.Sequence, b.Sequence) })
	messages := newHeldSlotsMessages(held)
	now := time.Now()
	for _, name := range to {
		switch {
		case name == s.self:
			if b := s.brokers[key]; b != nil {
				s.addRateLimits(b, key, s.self, limits, now)
				b.Reconcile(s.self, held, now)
			}
		case name != "":
			for i, m := range messages {
				p := peerMessage{Service: key.service, Group: key.group, HeldSlots: m}
				if i == 0 {
					p.RateLimits = newRateLimitMessages(limits, now)
				}
				s.send(name, p)
			}
		}
	}
}

// groupRateLimits returns the limits that endpoints of a group have named to this entry.
// The caller holds mu.
func (s *slotCoordinator) groupRateLimits(key groupKey) []placement.NamedRateLimit {
	return slices.DeleteFunc(s.limits.rateLimits(key.service), func(l placement.NamedRateLimit) bool {
		group, ok := s.groupOfZone(key.service, l.Zone)
		return !ok || group.Name != key.group
	})
}

// sendReports reports the held slots of each group to its first brokers. The brokers of
// engines in this entry's own group get a report even if no slot is held, so that they
// know that the entry is alive. Known rate limits are reported if withLimits is true.
func (s *slotCoordinator) sendReports(now time.Time, withLimits bool) {
	s.mu.Lock()
	active := map[groupKey]bool{}
	for _, h := range s.held {
		active[h.key] = true
	}
	for service, g := range s.services {
		own, _ := s.groupOfZone(service, s.zone)
		for _, group := range g.groups {
			key := groupKey{service, group.Name}
			if active[key] || g.engines && group.Name == own.Name {
				var limits []placement.NamedRateLimit
				if withLimits {
					limits = s.groupRateLimits(key)
				}
				s.sendReport(key, s.reportTargets(group, now), limits)
			}
		}
	}
	out := s.takeResponses()
	s.mu.Unlock()
	s.deliver(out)
}

// reportTargets returns the active broker of a group and the next ones. The caller
// holds mu.
func (s *slotCoordinator) reportTargets(group placement.Group, now time.Time) []string {
	targets := []string{s.selectBroker(group, now)}
	for _, name := range group.Brokers {
		if len(targets) == maxReportTargets {
			break
		}
		if name != targets[0] {
			targets = append(targets, name)
		}
	}
	return targets
}

// sendSummaries sends summaries of the groups whose active broker is this entry to the
// brokers of the other groups.
func (s *slotCoordinator) sendSummaries(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, g := range s.services {
		if len(g.groups) < 2 || !g.engines {
			continue
		}
		for _, group := range g.groups {
			key := groupKey{service, group.Name}
			b := s.brokers[key]
			if b == nil || s.selectBroker(group, now) != s.self {
				continue
			}
			summary := b.Summary(now)
			m := peerMessage{Service: service, Group: group.Name, Summary: &summaryMessage{
				FreeSlots: summary.FreeSlots, Groups: len(g.groups), Regions: newRegionSlotsMessages(summary.FreeByRegion),
			}}
			for _, other := range g.groups {
				if other.Name == group.Name {
					continue
				}
				for _, name := range s.reportTargets(other, now) {
					if name != s.self {
						s.send(name, m)
					}
				}
			}
		}
	}
}

// sendRateLimits tells all entries which endpoints of plain services have a rate limit,
// for the groups whose active broker is this entry. Requests to engines need no such
// message, because the broker places all of them.
func (s *slotCoordinator) sendRateLimits(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, b := range s.brokers {
		group, ok := s.findGroup(key.service, key.group)
		if !ok || s.services[key.service].engines || s.selectBroker(group, now) != s.self {
			continue
		}
		limits := newRateLimitMessages(b.RateLimits(), now)
		if len(limits) == 0 {
			continue
		}
		for _, name := range s.entries {
			if name != s.self {
				s.send(name, peerMessage{Service: key.service, Group: key.group, RateLimits: limits})
			}
		}
	}
}

// flushEvents sends the pending events.
func (s *slotCoordinator) flushEvents(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, events := range s.pendingEvents {
		group, ok := s.findGroup(key.service, key.group)
		if !ok {
			delete(s.pendingEvents, key)
			continue
		}
		broker := s.selectBroker(group, now)
		if broker == s.self {
			if b := s.brokers[key]; b != nil {
				s.applyEvents(b, s.self, key, events, now)
			}
		} else {
			s.send(broker, peerMessage{Service: key.service, Group: key.group, Events: events})
		}
		delete(s.pendingEvents, key)
	}
}

// tick expires waits and suspensions.
func (s *slotCoordinator) tick(now time.Time) {
	s.mu.Lock()
	for _, b := range s.brokers {
		b.Tick(now)
	}
	for name, until := range s.suspendedUntil {
		if now.After(until) {
			delete(s.suspendedUntil, name)
		}
	}
	s.updateActiveBrokers(now)
	out := s.takeResponses()
	s.mu.Unlock()
	s.deliver(out)
}

// hasPending reports whether events wait to be sent or requests are queued.
func (s *slotCoordinator) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingEvents) > 0 {
		return true
	}
	for _, b := range s.brokers {
		if waiting, _ := b.Counts(); waiting > 0 {
			return true
		}
	}
	return false
}

// run does the periodic work until ctx ends.
func (s *slotCoordinator) run(ctx context.Context) {
	var reported, summarized, limitsSent time.Time
	for {
		wait := idleInterval
		if s.hasPending() {
			wait = eventFlushInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.wake:
			timer.Stop()
			if !sleep(ctx, eventFlushInterval) {
				return
			}
		case <-timer.C:
		}
		now := time.Now()
		s.flushEvents(now)
		s.tick(now)
		if now.Sub(reported) >= reportInterval {
			reported = now
			withLimits := now.Sub(limitsSent) >= rateLimitInterval
			s.sendReports(now, withLimits)
			if withLimits {
				limitsSent = now
				s.sendRateLimits(now)
			}
		}
		if now.Sub(summarized) >= summaryInterval {
			summarized = now
			s.sendSummaries(now)
		}
	}
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
