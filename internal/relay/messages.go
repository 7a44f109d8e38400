package relay

import (
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Entries exchange datagrams. A lost slot request is repeated after some milliseconds,
// and the next report makes up for other lost messages. A TCP retransmission would take
// 200 ms, which is as long as a request may wait for its slot.

// peerMessage is a datagram between two entries.
type peerMessage struct {
	From string `cbor:"1,keyasint"`
	// Service and Group identify the endpoints that the message is about.
	Service      string               `cbor:"2,keyasint"`
	Group        string               `cbor:"3,keyasint,omitempty"`
	SlotRequest  *slotRequestMessage  `cbor:"4,keyasint,omitempty"`
	SlotResponse *slotResponseMessage `cbor:"5,keyasint,omitempty"`
	Events       []eventMessage       `cbor:"6,keyasint,omitempty"`
	HeldSlots    *heldSlotsMessage    `cbor:"7,keyasint,omitempty"`
	Summary      *summaryMessage      `cbor:"8,keyasint,omitempty"`
	// RateLimits lists the limits of endpoints of the group that the sender knows of.
	RateLimits []rateLimitMessage `cbor:"9,keyasint,omitempty"`
	// Crash, Sound and Suspects report requests that may crash endpoints; they are about
	// no group.
	Crash    *crashMessage    `cbor:"10,keyasint,omitempty"`
	Sound    *soundMessage    `cbor:"11,keyasint,omitempty"`
	Suspects *suspectsMessage `cbor:"12,keyasint,omitempty"`
	// Explain asks a broker what it would do with a request for a slot, and Explanation answers.
	Explain     *slotRequestMessage `cbor:"13,keyasint,omitempty"`
	Explanation *explanationMessage `cbor:"14,keyasint,omitempty"`
}

// slotRequestMessage encodes a placement.SlotRequest. Durations are in milliseconds.
type slotRequestMessage struct {
	Sequence         uint64   `cbor:"1,keyasint"`
	PromptTokens     int      `cbor:"2,keyasint,omitempty"`
	Zone             string   `cbor:"3,keyasint,omitempty"`
	MinVersion       uint64   `cbor:"4,keyasint,omitempty"`
	SoftMinVersion   uint64   `cbor:"5,keyasint,omitempty"`
	PreferredVersion uint64   `cbor:"6,keyasint,omitempty"`
	GapObjectiveMs   int64    `cbor:"7,keyasint,omitempty"`
	Late             bool     `cbor:"8,keyasint,omitempty"`
	Exclude          []uint32 `cbor:"9,keyasint,omitempty"` // hashes of endpoint IDs
	MaxWaitMs        int64    `cbor:"11,keyasint,omitempty"`
	TimeLeftMs       int64    `cbor:"12,keyasint,omitempty"`
	Redirected       bool     `cbor:"13,keyasint,omitempty"`
	Resumed          bool     `cbor:"14,keyasint,omitempty"`
	// Bounds state the time left to begin on weights older than a version.
	Bounds       []weightsBoundMessage `cbor:"15,keyasint,omitempty"`
	AnswerTokens int                   `cbor:"16,keyasint,omitempty"`
	Only         uint32                `cbor:"17,keyasint,omitempty"` // hash of an endpoint ID
	Suspects     []uint64              `cbor:"18,keyasint,omitempty"`
	Serialized   bool                  `cbor:"19,keyasint,omitempty"`
	Priority     int                   `cbor:"20,keyasint,omitempty"`
	// Regions is absent for requests that are not bound to regions.
	Regions *regionsMessage `cbor:"21,keyasint,omitempty"`
	// SoftBounds state the time until SoftMinVersion applies to further versions.
	SoftBounds []weightsBoundMessage `cbor:"22,keyasint,omitempty"`
}

// weightsBoundMessage encodes a placement.WeightsBound, with the time relative to the
// sending of the message.
type weightsBoundMessage struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	LeftMs  int64
}

func newWeightsBoundMessages(bounds []placement.WeightsBound, now time.Time) []weightsBoundMessage {
	var list []weightsBoundMessage
	for _, b := range bounds {
		list = append(list, weightsBoundMessage{Version: b.Version, LeftMs: b.By.Sub(now).Milliseconds()})
	}
	return list
}

func weightsBounds(list []weightsBoundMessage, now time.Time) []placement.WeightsBound {
	var bounds []placement.WeightsBound
	for _, b := range list {
		bounds = append(bounds, placement.WeightsBound{Version: b.Version, By: now.Add(fromMs(b.LeftMs))})
	}
	return bounds
}

// slotResponseMessage encodes a placement.SlotResponse.
type slotResponseMessage struct {
	Sequence       uint64            `cbor:"1,keyasint"`
	Verdict        placement.Verdict `cbor:"2,keyasint"`
	Endpoint       string            `cbor:"3,keyasint,omitempty"`
	Incarnation    uint64            `cbor:"4,keyasint,omitempty"`
	Address        string            `cbor:"5,keyasint,omitempty"`
	Zone           string            `cbor:"6,keyasint,omitempty"`
	WeightsVersion uint64            `cbor:"7,keyasint,omitempty"`
	TTFTMs         int64             `cbor:"8,keyasint,omitempty"`
	ModelTTFTMs    int64             `cbor:"9,keyasint,omitempty"`
	Running        int               `cbor:"10,keyasint,omitempty"`
	PrefillTokens  int               `cbor:"11,keyasint,omitempty"`
	Group          string            `cbor:"12,keyasint,omitempty"`
	SlotIntervalUs int64             `cbor:"13,keyasint,omitempty"`
	Ahead          int               `cbor:"14,keyasint,omitempty"`
	Late           bool              `cbor:"15,keyasint,omitempty"`
	RateLimited    bool              `cbor:"16,keyasint,omitempty"`
	WaitedMs       int64             `cbor:"17,keyasint,omitempty"`
}

// eventMessage reports the answer, the first event or the end of an attempt to the broker
// that granted its slot.
type eventMessage struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Ended is true at the end of the attempt, with its result. Otherwise the first
	// event arrived, later than modelled by LateMs plus the mean lag of the sender.
	Ended  bool             `cbor:"2,keyasint,omitempty"`
	Result placement.Result `cbor:"3,keyasint,omitempty"`
	LateMs int64            `cbor:"4,keyasint,omitempty"`
	// Answered is true if the head of the answer arrived, which names RateLimit requests
	// per second, or no limit if it is nil.
	Answered  bool     `cbor:"5,keyasint,omitempty"`
	RateLimit *float64 `cbor:"6,keyasint,omitempty"`
	// ColdMs is how long the endpoint remains cold, as the answer states it.
	ColdMs int64 `cbor:"7,keyasint,omitempty"`
	// Pace is how long work takes at the endpoint, in hundredths of the usual time, as its answer
	// states it. It is sent with the first event.
	Pace int `cbor:"8,keyasint,omitempty"`
}

// heldSlotsMessage lists the slots of a group that an entry holds, with sequences from First to
// Last.
type heldSlotsMessage struct {
	BaseSequence  uint64   `cbor:"1,keyasint,omitempty"` // added to each of Sequences
	Sequences     []uint64 `cbor:"2,keyasint,omitempty"`
	Endpoints     []uint32 `cbor:"3,keyasint,omitempty"` // hashes of endpoint IDs
	PrefillTokens []int32  `cbor:"4,keyasint,omitempty"` // prefillDone after the first event
	First         uint64   `cbor:"5,keyasint,omitempty"`
	Last          uint64   `cbor:"6,keyasint,omitempty"` // zero for no limit
}

// rateLimitMessage encodes a placement.NamedRateLimit, with the time relative to the
// sending of the message.
type rateLimitMessage struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    uint32   // hash of the endpoint ID
	Incarnation uint64
	PerSecond   float64
	AgeMs       int64
}

func newRateLimitMessages(limits []placement.NamedRateLimit, now time.Time) []rateLimitMessage {
	var list []rateLimitMessage
	for _, l := range limits {
		list = append(list, rateLimitMessage{
			Endpoint: endpointHash(l.Endpoint), Incarnation: l.Incarnation, PerSecond: l.PerSecond, AgeMs: now.Sub(l.NamedAt).Milliseconds(),
		})
	}
	return list
}

// namedRateLimit decodes a limit. The result ok is false if the endpoint is unknown here or a
// number is out of range. A limit is never named in the future: no answer would be newer.
func (m rateLimitMessage) namedRateLimit(endpointIDs map[uint32]string, now time.Time) (n placement.NamedRateLimit, ok bool) {
	id, known := endpointIDs[m.Endpoint]
	return placement.NamedRateLimit{
		Endpoint: id, Incarnation: m.Incarnation, PerSecond: m.PerSecond, NamedAt: now.Add(-fromMs(max(0, m.AgeMs))),
	}, known && m.PerSecond >= 0 && m.AgeMs <= maxMs
}

// summaryMessage encodes a placement.Summary and the number of groups.
type summaryMessage struct {
	FreeSlots int `cbor:"1,keyasint,omitempty"`
	Groups    int `cbor:"3,keyasint,omitempty"`
	// Regions states the free slots in regions that are known.
	Regions []regionSlotsMessage `cbor:"4,keyasint,omitempty"`
}

const (
	prefillDone = -1 // in heldSlotsMessage.PrefillTokens
	// unknownEndpoint is the ID of no endpoint. It keeps a slot request for an endpoint
	// that is unknown here from being granted elsewhere.
	unknownEndpoint = "-"
)

const (
	// maxTokens is the largest number of tokens that a caller can state.
	maxTokens = 1 << 31
	// maxMs is 139 years, which do not overflow a duration: weights may be named long ago.
	maxMs = 1 << 42
	// maxQueueMs is far above the time that a request waits for a slot.
	maxQueueMs = 1 << 31
)

// valid reports whether the numbers of a message are in range. An endpoint with less than no
// prefill pending would look idle, and a queued request with a wait of years would stay.
func (m *peerMessage) valid() bool {
	count := func(n int) bool { return n >= 0 && n <= maxTokens }
	ms := func(n int64) bool { return n >= -maxMs && n <= maxMs }
	request := func(r *slotRequestMessage) bool {
		return r == nil || r.Regions.valid() && count(r.PromptTokens) && count(r.AnswerTokens) && r.Priority >= 0 && r.Priority <= routing.MaxRank && ms(r.GapObjectiveMs) && ms(r.MaxWaitMs) && r.MaxWaitMs <= maxQueueMs && ms(r.TimeLeftMs) &&
			!slices.ContainsFunc(slices.Concat(r.Bounds, r.SoftBounds), func(b weightsBoundMessage) bool { return !ms(b.LeftMs) })
	}
	if !request(m.SlotRequest) || !request(m.Explain) {
		return false
	}
	if !m.Summary.valid() {
		return false
	}
	if h := m.HeldSlots; h != nil && slices.ContainsFunc(h.PrefillTokens, func(n int32) bool { return n < 0 && n != prefillDone }) {
		return false
	}
	return !slices.ContainsFunc(m.Events, func(e eventMessage) bool {
		return !ms(e.LateMs) || !ms(e.ColdMs) || e.RateLimit != nil && !(*e.RateLimit >= 0)
	})
}

func (m *slotRequestMessage) slotRequest(from string, endpointIDs map[uint32]string, now time.Time) placement.SlotRequest {
	a := placement.SlotRequest{
		SlotRequestID: placement.SlotRequestID{Entry: from, Sequence: m.Sequence},
		Request: placement.Request{
			PromptTokens: m.PromptTokens, AnswerTokens: m.AnswerTokens, Zone: m.Zone, MinVersion: m.MinVersion, SoftMinVersion: m.SoftMinVersion, PreferredVersion: m.PreferredVersion, GapObjective: fromMs(m.GapObjectiveMs), Late: m.Late, Suspects: m.Suspects, Serialized: m.Serialized, Priority: m.Priority, Regions: m.Regions.regions(),
		},
		MaxWait: fromMs(m.MaxWaitMs), TimeLeft: fromMs(m.TimeLeftMs), Resumed: m.Resumed, Redirected: m.Redirected,
	}
	a.Bounds, a.SoftBounds = weightsBounds(m.Bounds, now), weightsBounds(m.SoftBounds, now)
	for _, hash := range m.Exclude {
		if id, ok := endpointIDs[hash]; ok {
			a.Exclude = append(a.Exclude, id)
		}
	}
	if m.Only != 0 {
		if a.Only = endpointIDs[m.Only]; a.Only == "" {
			a.Only = unknownEndpoint
		}
	}
	return a
}

func newSlotRequestMessage(a placement.SlotRequest, now time.Time) *slotRequestMessage {
	m := &slotRequestMessage{
		Sequence: a.Sequence, PromptTokens: a.PromptTokens, AnswerTokens: a.AnswerTokens, Zone: a.Zone, MinVersion: a.MinVersion, SoftMinVersion: a.SoftMinVersion, PreferredVersion: a.PreferredVersion, GapObjectiveMs: a.GapObjective.Milliseconds(),
		Late: a.Late, MaxWaitMs: a.MaxWait.Milliseconds(), TimeLeftMs: a.TimeLeft.Milliseconds(), Resumed: a.Resumed, Redirected: a.Redirected, Suspects: a.Suspects, Serialized: a.Serialized, Priority: a.Priority, Regions: newRegionsMessage(a.Regions),
	}
	m.Bounds, m.SoftBounds = newWeightsBoundMessages(a.Bounds, now), newWeightsBoundMessages(a.SoftBounds, now)
	for _, id := range a.Exclude {
		m.Exclude = append(m.Exclude, endpointHash(id))
	}
	if a.Only != "" {
		m.Only = endpointHash(a.Only)
	}
	return m
}

func newSlotResponseMessage(a placement.SlotResponse) *slotResponseMessage {
	return &slotResponseMessage{
		Sequence: a.RequestID.Sequence, Verdict: a.Verdict, Endpoint: a.Choice.ID, Incarnation: a.Choice.Incarnation, Address: a.Choice.Address, Zone: a.Choice.Zone,
		WeightsVersion: a.Choice.WeightsVersion, TTFTMs: a.Choice.TTFT.Milliseconds(), ModelTTFTMs: a.Choice.ModelTTFT.Milliseconds(),
		Running: a.Choice.Load.Running, PrefillTokens: a.Choice.Load.PrefillTokens, Group: a.Group, SlotIntervalUs: a.SlotInterval.Microseconds(), Ahead: a.Ahead, Late: a.Late,
		RateLimited: a.Choice.RateLimited, WaitedMs: a.Waited.Milliseconds(),
	}
}

func (m *slotResponseMessage) slotResponse(to string) placement.SlotResponse {
	return placement.SlotResponse{
		RequestID: placement.SlotRequestID{Entry: to, Sequence: m.Sequence}, Verdict: m.Verdict,
		Choice: placement.Choice{
			Endpoint: placement.Endpoint{ID: m.Endpoint, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone, WeightsVersion: m.WeightsVersion},
			TTFT:     fromMs(m.TTFTMs), ModelTTFT: fromMs(m.ModelTTFTMs), Load: placement.Load{Running: m.Running, PrefillTokens: m.PrefillTokens}, RateLimited: m.RateLimited,
		},
		Group: m.Group, SlotInterval: time.Duration(m.SlotIntervalUs) * time.Microsecond, Ahead: m.Ahead, Late: m.Late,
		Waited: fromMs(max(0, min(m.WaitedMs, maxQueueMs))),
	}
}

// newHeldSlotsMessages encodes the slots of a group that an entry holds, sorted by sequence, in
// messages of limited size.
func newHeldSlotsMessages(held []placement.HeldSlot) []*heldSlotsMessage {
	list := []*heldSlotsMessage{{}}
	for _, h := range held {
		m := list[len(list)-1]
		if len(m.Sequences) == maxHeldReported {
			m.Last = h.Sequence - 1
			m = &heldSlotsMessage{First: h.Sequence}
			list = append(list, m)
		}
		if len(m.Sequences) == 0 {
			m.BaseSequence = h.Sequence
		}
		tokens := int32(prefillDone)
		if h.InPrefill {
			tokens = int32(min(h.PrefillTokens, 1<<30))
		}
		m.Sequences = append(m.Sequences, h.Sequence-m.BaseSequence)
		m.Endpoints = append(m.Endpoints, endpointHash(h.Endpoint))
		m.PrefillTokens = append(m.PrefillTokens, tokens)
	}
	return list
}

// heldSlots decodes the slots that an entry holds. Endpoints that are unknown here are
// left out.
func (m *heldSlotsMessage) heldSlots(endpointIDs map[uint32]string) []placement.HeldSlot {
	n := min(len(m.Sequences), len(m.Endpoints), len(m.PrefillTokens))
	list := make([]placement.HeldSlot, 0, n)
	for i := range n {
		id, ok := endpointIDs[m.Endpoints[i]]
		if !ok {
			continue
		}
		h := placement.HeldSlot{Sequence: m.BaseSequence + m.Sequences[i], Endpoint: id, InPrefill: m.PrefillTokens[i] != prefillDone}
		if h.InPrefill {
			h.PrefillTokens = int(m.PrefillTokens[i])
		}
		list = append(list, h)
	}
	return list
}

func fromMs(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
