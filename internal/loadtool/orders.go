package loadtool

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/standin"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	maxOrderBytes = 1 << 20
	resendPause   = 300 * time.Millisecond
	// stateNotClaimed is the state that an entry reports for a key that was never
	// claimed.
	stateNotClaimed = "not-claimed"
)

// orderRun is the state of one run of orders.
type orderRun struct {
	cfg      Orders
	book     *addressBook
	recorder *recorder
	http     *http.Client

	mu       sync.Mutex
	reported map[string]*reportedOutcomes // by key
}

// reportedOutcomes counts the outcomes reported to callers for one key.
type reportedOutcomes struct {
	organisation          string
	done, notRun, unknown int
}

// RunOrders sends orders until the duration or the count is reached and compares
// the outcomes reported to callers with the executions.
func RunOrders(ctx context.Context, cfg Orders) (Summary, error) {
	if err := cfg.check(); err != nil {
		return Summary{}, err
	}
	client := newHTTPClient(cfg.Network)
	defer client.CloseIdleConnections()
	run := &orderRun{
		cfg:      cfg,
		book:     newAddressBook(cfg.Config, client),
		recorder: newRecorder("services", cfg.Config),
		http:     client,
		reported: map[string]*reportedOutcomes{},
	}
	newPacer(cfg.Config, run.recorder).run(ctx, func(i int, random *rand.Rand) func(context.Context, time.Time) {
		organisation := cfg.Organisations.pick(random)
		key := fmt.Sprintf("order-%d-%d-%08x", cfg.Seed, i, random.Uint32())
		copies := 1
		if random.Float64() < cfg.Duplicates {
			copies = 2
		}
		return func(ctx context.Context, due time.Time) { run.sendOrder(ctx, due, organisation, key, copies) }
	})
	sleepUntil(ctx, time.Now().Add(cfg.Settle))
	if err := run.checkExecutions(ctx); err != nil {
		return Summary{}, err
	}
	lookups, failed := run.book.counts()
	run.recorder.update(func(s *Summary) { s.Lookups, s.FailedLookups = lookups, failed+s.FailedLookups })
	return run.recorder.finish(), nil
}

// sendOrder sends the given number of concurrent copies of an order. It records
// the result of a copy that is done, or otherwise that of the first copy.
func (r *orderRun) sendOrder(ctx context.Context, due time.Time, organisation, key string, copies int) {
	results := make([]result, copies)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = r.sendUntilKnown(ctx, due, organisation, key) })
	}
	wg.Wait()
	best := results[0]
	for _, other := range results[1:] {
		if other.outcome == outcomeDone {
			best = other
		}
	}
	r.recorder.end(organisation, "", best)
}

// sendUntilKnown sends an order and resends it, up to the limit, while its outcome
// is unknown.
func (r *orderRun) sendUntilKnown(ctx context.Context, due time.Time, organisation, key string) result {
	for resend := 0; ; resend++ {
		begun := time.Now()
		if resend == 0 {
			begun = due
		}
		end := r.sendOnce(ctx, organisation, key)
		r.recordOutcome(organisation, key, end.outcome)
		switch end.outcome {
		case outcomeDone:
			r.recorder.observe(r.recorder.whole, time.Since(begun))
		case outcomeNotRun:
			r.recorder.observe(r.recorder.refusal, time.Since(begun))
		}
		if end.outcome != outcomeUnknown || resend >= r.cfg.Resends ||
			!sleepUntil(ctx, time.Now().Add(resendPause)) {
			return end
		}
		r.recorder.update(func(s *Summary) { s.Resent++ })
	}
}

// sendOnce sends an order to the highest-ranked address that accepts a connection.
func (r *orderRun) sendOnce(ctx context.Context, organisation, key string) result {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Deadline+deadlineMargin)
	defer cancel()
	for _, address := range r.book.get(ctx) {
		response, body, err := r.post(ctx, address, organisation, key)
		if notSent(err) {
			r.recorder.update(func(s *Summary) { s.Failovers++ })
			continue
		}
		if err != nil {
			return result{outcomeUnknown, reasonTransport}
		}
		return r.classify(response, body, key)
	}
	return result{outcomeNotRun, reasonConnect}
}

func (r *orderRun) post(ctx context.Context, address, organisation, key string) (*http.Response, []byte, error) {
	target := "http://" + address + "/services/" + r.cfg.Service + r.cfg.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(`{"order":"`+key+`"}`))
	if err != nil {
		return nil, nil, oops.In("loadtool").Wrap(err)
	}
	// net/http retries a request with an Idempotency-Key on its own when the
	// connection is lost. Without GetBody it cannot, so every resend is counted.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+r.cfg.Token.Secret())
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.HeaderOrganisation, organisation)
	request.Header.Set(wire.HeaderIdempotencyKey, key)
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(r.cfg.Deadline.Milliseconds(), 10))
	response, err := r.http.Do(request)
	if err != nil {
		return nil, nil, oops.In("loadtool").Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxOrderBytes))
	return response, body, oops.In("loadtool").Wrap(err)
}

func (r *orderRun) classify(response *http.Response, body []byte, key string) result {
	end := result{response.Header.Get(wire.HeaderOutcome), response.Header.Get(wire.HeaderReason)}
	if end.outcome == "" {
		r.recorder.violation(violationOutcome, fmt.Sprintf("%s: status %d", key, response.StatusCode))
		return result{outcomeUnknown, reasonTransport}
	}
	if lacksRetryAfter(response.StatusCode, response.Header) {
		r.recorder.violation(violationRetry, key+": "+end.reason)
	}
	if end.outcome != outcomeDone || response.StatusCode != http.StatusOK || len(body) == 0 {
		return end
	}
	var answer standin.ServiceAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		r.recorder.violation(violationPartial, key+": "+err.Error())
	} else if answer.Key != key {
		r.recorder.violation(violationOtherRequest, fmt.Sprintf("key %s got the answer of %q", key, answer.Key))
	}
	return end
}

func (r *orderRun) recordOutcome(organisation, key, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.reported[key]
	if t == nil {
		t = &reportedOutcomes{organisation: organisation}
		r.reported[key] = t
	}
	switch outcome {
	case outcomeDone:
		t.done++
	case outcomeNotRun:
		t.notRun++
	default:
		t.unknown++
	}
}

// checkExecutions reads the executions and records a violation for every key
// whose reported outcomes contradict them.
func (r *orderRun) checkExecutions(ctx context.Context) error {
	counts := map[string]int{}
	for _, target := range r.cfg.Executions {
		executions, err := r.executions(ctx, target)
		if err != nil {
			return err
		}
		for key, n := range executions.Keys {
			counts[key] += n
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	total, lookups := 0, 0
	for key, reported := range r.reported {
		total += counts[key]
		if lookups < r.cfg.Lookups {
			lookups++
			r.lookUp(ctx, key, *reported, counts[key])
		}
		if violation := reported.violation(counts[key]); violation != "" {
			r.recorder.violation(violation, fmt.Sprintf("%s: %d executions, told %+v", key, counts[key], *reported))
		}
	}
	r.recorder.update(func(s *Summary) { s.Executions = total })
	return nil
}

// violation checks the outcomes reported to callers against the number of
// executions of the key. An order counts as reported not run only if every
// response said so.
func (t reportedOutcomes) violation(executions int) string {
	switch {
	case executions > 1:
		return violationDuplicate
	case executions == 1 && t.done == 0 && t.unknown == 0:
		return violationNotRun
	case executions == 0 && t.done > 0:
		return violationDone
	}
	return ""
}

// lookUp queries the entries for the outcome of a key and checks it against the
// executions. It counts a failed lookup when no entry returns a state.
func (r *orderRun) lookUp(ctx context.Context, key string, reported reportedOutcomes, executions int) {
	state := ""
	for _, address := range r.book.get(ctx) {
		var err error
		if state, err = r.askOutcome(ctx, address, reported.organisation, key); err == nil && state != "" {
			break
		}
	}
	switch {
	case state == "":
		r.recorder.update(func(s *Summary) { s.FailedLookups++ })
	case state == outcomeDone && executions == 0, state == stateNotClaimed && executions > 0,
		reported.done > 0 && state != outcomeDone:
		r.recorder.violation(violationLookup, fmt.Sprintf("%s: state %s, %d executions, told %+v", key, state, executions, reported))
	}
}

// askOutcome returns the state that an entry reports for a key, or "" when the
// response has none.
func (r *orderRun) askOutcome(ctx context.Context, address, organisation, key string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/outcomes/"+key, nil)
	if err != nil {
		return "", oops.In("loadtool").Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+r.cfg.Token.Secret())
	request.Header.Set(wire.HeaderOrganisation, organisation)
	response, err := r.http.Do(request)
	if err != nil {
		return "", oops.In("loadtool").Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		State string `json:"state"`
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxLookupBytes)).Decode(&answer)
	return answer.State, oops.In("loadtool").Wrap(err)
}

func (r *orderRun) executions(ctx context.Context, target string) (standin.Executions, error) {
	var executions standin.Executions
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return executions, oops.In("loadtool").Wrap(err)
	}
	response, err := r.http.Do(request)
	if err != nil {
		return executions, oops.In("loadtool").Wrapf(err, "executions")
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(&executions)
	return executions, oops.In("loadtool").Wrapf(err, "executions at %s", target)
}
