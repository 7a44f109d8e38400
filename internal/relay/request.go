package relay

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/quarantine"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// defaultBodyBytes limits request bodies if the routing document states no limit.
const defaultBodyBytes = 4 << 20

// memoryRetryAfter is the retry delay if the memory budget for callers is used up. Bodies that do
// not arrive are then given up after 250 ms, and others take about as long as a request.
const memoryRetryAfter = time.Second

// request is a request of a caller and its state in the relay.
type request struct {
	ctx      context.Context
	call     protocol.Call
	method   string
	target   string // path and query, byte for byte
	host     string
	header   http.Header
	body     []byte
	arrived  time.Time
	deadline time.Time // for the final answer

	route        *routing.Route
	service      string
	organisation string
	priority     int               // rank, see routing.Rank
	regions      placement.Regions // allowed by the table
	table        *routing.Table

	tried   []string      // endpoints that the request was sent to
	sends   int           // attempts that may have run
	notRun  int           // attempts that certainly did not run
	spent   time.Duration // time that the caller spent on earlier attempts
	late    bool          // can no longer meet its latency objective
	resumed bool          // resumes its stream: events were already passed on
	sought  bool          // copy of a request for which another endpoint is sought, see search
	parts   []quarantine.PartID
	sendState
	record record
	// answerBytes are taken from the budget for answers that were buffered.
	answerBytes int64
}

// sendState is the state of a request at the endpoint that was selected for it.
type sendState struct {
	slot      uint64    // sequence number of the slot granted by a broker; zero for none
	unsent    bool      // was not sent to the endpoint
	silent    bool      // the endpoint was silent at the end
	inPrefill bool      // no first event from the endpoint yet
	placedAt  time.Time // when the endpoint was selected
	proven    bool      // the endpoint did not crash when the request began
	// weights is a pointer because a send changes it while the request may be copied for a send
	// elsewhere, which has its own.
	weights *weightsRecord
}

// record holds the values that are logged at the end of a request.
type record struct {
	endpoint      string
	incarnation   uint64
	predictedTTFT time.Duration
	load          placement.Load
	firstEvent    time.Duration
	lastEvent     time.Time
	maxEventGap   time.Duration // longest time between two events
	events        int           // number passed on
	queueWait     time.Duration
	broker        string
	slotRequests  int           // number of messages to brokers
	slotInterval  time.Duration // predicted time between two free slots, for a request refused a slot
	ahead         int           // requests queued ahead, for a request refused a slot
	retries       []string      // reasons for retries
	withdrawn     int           // retries withdrawn from the retry budget
	budgetRefused bool          // a retry was refused because the retry budget was used up
	notRepeated   Reason        // why a request that may have run was not sent again
	quarantined   string        // part for which the request was refused
	coldFor       time.Duration // for which the last endpoint remains cold, as its answer stated
	rateLimit     *float64      // requests per second that the last endpoint accepts; nil if it named none
}

// admit reads and checks a request. The refusal is nil if the request may be placed.
func (h *handler) admit(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	q := &request{
		ctx: r.Context(), call: h.protocol.Call(r.Header), method: r.Method, target: r.RequestURI, host: r.Host,
		header: r.Header, arrived: time.Now(),
	}
	if refused := h.findRoute(q, h.guard.ready); refused != nil {
		return q, refused
	}
	if bodyLengthUnknown(r) {
		w.Header().Set("Connection", "close") // the body would be read as the next request
		return q, &refusal{status: http.StatusBadRequest, reason: BadBody}
	}
	if refused := q.readBody(w, r); refused != nil {
		return q, refused
	}
	q.spent = h.dispatcher.timeSpent(q)
	q.setService(q.route.Pick(hashFraction(q.call.ID)))
	return q, nil
}

// bodyLengthUnknown reports whether a request of HTTP/1.0 lacks the length of its body, which such
// requests must state. net/http takes a chunked one for empty and drops its Transfer-Encoding.
func bodyLengthUnknown(r *http.Request) bool {
	return !r.ProtoAtLeast(1, 1) && hasBody(r.Method) && r.Header["Content-Length"] == nil
}

// hasBody reports whether requests of a method have a body, which may be empty.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// findRoute finds the route of a request by its head, and checks whether the caller may use it.
// The ready function reports whether the entry knows the quarantined parts.
func (h *handler) findRoute(q *request, ready func(time.Time) bool) *refusal {
	q.deadline = q.arrived.Add(q.call.Timeout)
	table := h.fleet.Table()
	if table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: NoRouting, retryAfter: h.start.retryAfter(q.arrived)}
	}
	if !ready(q.arrived) {
		return &refusal{status: http.StatusServiceUnavailable, reason: Starting, retryAfter: h.start.retryAfter(q.arrived)}
	}
	q.table = table
	path, _, _ := strings.Cut(q.target, "?")
	if q.route = table.Route(q.host, path); q.route == nil {
		return &refusal{status: http.StatusNotFound, reason: NoRoute}
	}
	q.setDeadline()
	if refused := q.authorize(); refused != nil {
		return refused
	}
	q.regions = h.regionsIn(table, q.route, q.call.Key)
	return nil
}

// setService sets the target service of a request, and what depends on it.
func (q *request) setService(service string) {
	q.service = service
	q.parts = partIDs(q)
	q.late = q.route.Objective > 0 && q.spent >= q.route.Objective
}

// setDeadline sets the deadline to the earlier of the caller's and the route's timeout.
func (q *request) setDeadline() {
	limit := q.route.Timeout
	if q.call.Timeout > 0 {
		limit = min(limit, q.call.Timeout)
	}
	q.deadline = q.arrived.Add(limit)
}

// authorize sets the organisation of the API key. It refuses an unknown key unless the
// route allows anonymous callers or the routing document has no keys.
func (q *request) authorize() *refusal {
	organisation := q.table.Organisation(q.call.Key)
	q.priority = q.route.Rank(organisation)
	if organisation != nil {
		q.organisation = organisation.Name
		return nil
	}
	if q.table.HasKeys() && !q.route.Anonymous {
		return &refusal{status: http.StatusUnauthorized, reason: UnknownKey}
	}
	return nil
}

// readBody reads the body up to the limit of the routing document.
func (q *request) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	limit := q.table.Document.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := network.ReadBody(w, r, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: BodyTooLarge}
	case errors.Is(err, network.ErrMemoryBudget):
		return &refusal{status: http.StatusServiceUnavailable, reason: MemoryBudget, retryAfter: memoryRetryAfter}
	case errors.Is(err, network.ErrBodyTooSlow):
		return &refusal{status: http.StatusRequestTimeout, reason: BodyTooSlow}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: BadBody}
	}
	q.body = body
	return nil
}

// hashFraction hashes a request ID to [0, 1), so that each target of a route gets a
// share of the requests in proportion to its weight.
func hashFraction(id string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // never fails
	// Hashes of short inputs differ in the low bits; mix them into the high bits.
	mixed := hash.Sum64() * 0x9e3779b97f4a7c15
	const bits = 53
	return float64(mixed>>(64-bits)) / (1 << bits)
}

// sharedParts returns the parts of the prompt that other requests may have as well: all but
// the last.
func (q *request) sharedParts() []string {
	return q.call.PromptParts[:max(0, len(q.call.PromptParts)-1)]
}

// quarantineRefusal refuses a request until its quarantine expires.
func (q *request) quarantineRefusal(v quarantine.PartVerdict) *refusal {
	q.record.quarantined = formatPart(v.Part)
	return quarantineRefusal(v)
}

func quarantineRefusal(v quarantine.PartVerdict) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: Quarantined, retryAfter: time.Until(v.Until)}
}

// timeLeft returns the time until the deadline of the final answer.
func (q *request) timeLeft() time.Duration { return time.Until(q.deadline) }

// silence returns the time since the last event that was passed on, or since the current
// endpoint was selected if that was later.
func (q *request) silence(now time.Time) time.Duration {
	if q.record.lastEvent.After(q.placedAt) {
		return now.Sub(q.record.lastEvent)
	}
	return now.Sub(q.placedAt)
}

// placementRequest converts the request for package placement.
func (q *request) placementRequest(zone string, minVersion, softVersion, preferred uint64) placement.Request {
	return placement.Request{
		PromptTokens: q.call.PromptTokens, AnswerTokens: q.call.LengthHint, Zone: zone, MinVersion: minVersion, SoftMinVersion: softVersion, PreferredVersion: preferred, GapObjective: q.route.GapObjective, Late: q.late, Exclude: q.tried, Priority: q.priority,
	}
}
