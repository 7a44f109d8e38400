package relay

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// defaultBodyBytes bounds request bodies where the routing document does not.
const defaultBodyBytes = 4 << 20

// request is a caller's request with what was decided about it.
type request struct {
	ctx      context.Context
	call     protocol.Call
	method   string
	target   string // path and query as the caller sent them
	host     string
	header   http.Header
	body     []byte
	arrived  time.Time
	deadline time.Time // of the final answer

	route        *routing.Route
	service      string
	organisation string
	table        *routing.Table

	tried     []string      // endpoints that were sent the request
	sends     int           // that may have run
	notRun    int           // sends that provably did not run
	spent     time.Duration // by the caller on earlier attempts
	late      bool          // cannot be on time any more
	resumed   bool          // events of its stream were passed on
	slot      uint64        // number of the place that a broker granted; zero for none
	inPrefill bool          // counts as waiting for its first event at the endpoint
	placedAt  time.Time     // when its endpoint was chosen
	beginBy   time.Time     // when it must have begun on the endpoint's weights; zero for any time
	sendBy    time.Time     // when it must have been sent there; zero for any time
	record    record
}

// record is what the log says of a request at its end.
type record struct {
	endpoint      string
	incarnation   uint64
	predictedTTFT time.Duration
	load          placement.Load
	firstEvent    time.Duration
	lastEvent     time.Time
	maxEventGap   time.Duration // longest between two events
	events        int           // passed on
	queueWait     time.Duration
	broker        string
	slotRequests  int           // messages to brokers
	slotInterval  time.Duration // predicted between two free slots, and the requests
	ahead         int           // ahead, for one that was refused a slot
	retries       []string      // reasons
}

// admit reads and checks a request. A nil refusal means that it may be placed.
func (h *handler) admit(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	q := &request{
		ctx: r.Context(), call: h.protocol.Call(r.Header), method: r.Method, target: r.RequestURI, host: r.Host,
		header: r.Header, arrived: time.Now(),
	}
	q.deadline = q.arrived.Add(q.call.Patience)
	table := h.fleet.Table()
	if table == nil {
		return q, &refusal{status: http.StatusServiceUnavailable, reason: NoRouting, retryAfter: noRoutingRetryAfter}
	}
	q.table = table
	path, _, _ := strings.Cut(q.target, "?")
	if q.route = table.Route(q.host, path); q.route == nil {
		return q, &refusal{status: http.StatusNotFound, reason: NoRoute}
	}
	q.setDeadline()
	if refused := q.authorize(); refused != nil {
		return q, refused
	}
	if refused := q.readBody(w, r); refused != nil {
		return q, refused
	}
	q.service = q.route.Pick(hashFraction(q.call.ID))
	q.spent = h.dispatch.timeSpent(q)
	q.late = q.route.Objective > 0 && q.spent >= q.route.Objective
	return q, nil
}

// setDeadline takes the earlier of the caller's patience and the route's time-out.
func (q *request) setDeadline() {
	limit := q.route.Timeout
	if q.call.Patience > 0 {
		limit = min(limit, q.call.Patience)
	}
	q.deadline = q.arrived.Add(limit)
}

func (q *request) authorize() *refusal {
	organisation := q.table.Organisation(q.call.Key)
	if organisation != nil {
		q.organisation = organisation.Name
		return nil
	}
	if q.table.HasKeys() && !q.route.Anonymous {
		return &refusal{status: http.StatusUnauthorized, reason: UnknownKey}
	}
	return nil
}

func (q *request) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	limit := q.table.Document.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: BodyTooLarge}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: BadBody}
	}
	q.body = body
	return nil
}

// hashFraction maps a request to [0, 1), so that the parts of a split are as large as
// their weights.
func hashFraction(id string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // never fails
	// Short inputs differ in the low bits: mix them into the high ones.
	mixed := hash.Sum64() * 0x9e3779b97f4a7c15
	const bits = 53
	return float64(mixed>>(64-bits)) / (1 << bits)
}

// timeLeft is the time until the final answer is due.
func (q *request) timeLeft() time.Duration { return time.Until(q.deadline) }

// readDeadline is when a read must end: silence from now on, the last moment at
// which the request may begin on older weights, or the request's end.
func (q *request) readDeadline(readTimeout time.Duration) time.Time {
	end := q.deadline
	if at := time.Now().Add(readTimeout); readTimeout > 0 && at.Before(end) {
		end = at
	}
	if q.inPrefill && !q.beginBy.IsZero() && q.beginBy.Before(end) {
		end = q.beginBy
	}
	return end
}

// readTimeoutResult says why a request is sent once more whose endpoint sent nothing in time,
// and what that says of the endpoint.
func (q *request) readTimeoutResult() (Reason, placement.Result) {
	if q.inPrefill && !q.beginBy.IsZero() && !time.Now().Before(q.beginBy) {
		return RetryOldWeights, placement.Neutral
	}
	return RetryTimedOut, placement.TimedOut
}

// placementRequest is the request as the pools see it.
func (q *request) placementRequest(zone string, minVersion, softVersion, preferred uint64) placement.Request {
	return placement.Request{
		PromptTokens: q.call.PromptTokens, AnswerTokens: q.call.LengthHint, Zone: zone, MinVersion: minVersion, SoftMinVersion: softVersion, PreferredVersion: preferred, GapObjective: q.route.GapObjective, Late: q.late, Exclude: q.tried,
	}
}
