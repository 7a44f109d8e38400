package loadtool

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/openai/openai-go/v3/packages/ssestream"

	"github.com/rhubarbhill/rhubarbhill/internal/standin"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// deadlineMargin is the tolerance for answers that arrive after the deadline of
// their request.
const deadlineMargin = 2 * time.Second

// quoteRun is the state of one run of quotes.
type quoteRun struct {
	cfg      Quotes
	book     *addressBook
	recorder *recorder
	checker  *checker
	http     *http.Client

	mu      sync.Mutex
	clients map[string]openai.Client // by address
}

// quote is one chat completion request.
type quote struct {
	organisation string
	model        string
	requestID    string
	content      string
	stream       bool
}

// RunQuotes sends chat completions until the duration or the count is reached.
func RunQuotes(ctx context.Context, cfg Quotes) (Summary, error) {
	if err := cfg.check(); err != nil {
		return Summary{}, err
	}
	client := newHTTPClient(cfg.Network)
	defer client.CloseIdleConnections()
	run := &quoteRun{
		cfg:      cfg,
		book:     newAddressBook(cfg.Config, client),
		recorder: newRecorder("quotes", cfg.Config),
		checker:  newChecker(cfg.Weights),
		http:     client,
		clients:  map[string]openai.Client{},
	}
	newPacer(cfg.Config, run.recorder).run(ctx, func(i int, random *rand.Rand) func(context.Context, time.Time) {
		q := run.newQuote(i, random)
		return func(ctx context.Context, due time.Time) { run.send(ctx, due, q) }
	})
	lookups, failed := run.book.counts()
	run.recorder.update(func(s *Summary) { s.Lookups, s.FailedLookups = lookups, failed })
	return run.recorder.finish(), nil
}

func (r *quoteRun) newQuote(i int, random *rand.Rand) quote {
	q := quote{
		organisation: r.cfg.Organisations.pick(random),
		model:        r.cfg.Models.pick(random),
		requestID:    fmt.Sprintf("%d-%d-%08x", r.cfg.Seed, i, random.Uint32()),
		stream:       random.Float64() < r.cfg.StreamShare,
	}
	marker := ""
	if r.cfg.MarkerEvery > 0 && i%r.cfg.MarkerEvery == r.cfg.MarkerEvery-1 {
		marker = " " + r.cfg.Marker
	}
	own := " request-id=" + q.requestID + marker
	common := "Quote for " + q.organisation + ". "
	common = strings.Repeat(common, max(1, (r.cfg.PromptBytes-len(own))/len(common)))
	q.content = common + own
	return q
}

func (r *quoteRun) client(address string) openai.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.clients[address]
	if !ok {
		c = openai.NewClient(option.WithBaseURL("http://"+address+"/v1/"), option.WithAPIKey(r.cfg.Token.Secret()),
			option.WithHTTPClient(r.http), option.WithMaxRetries(0))
		r.clients[address] = c
	}
	return c
}

// send sends a quote to the highest-ranked address that accepts a connection.
func (r *quoteRun) send(ctx context.Context, due time.Time, q quote) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.cfg.Deadline+deadlineMargin))
	defer cancel()
	final := result{outcomeNotRun, reasonConnect}
	for _, address := range r.book.get(ctx) {
		exchange := &exchange{run: r, quote: q, due: due}
		exchange.perform(ctx, r.client(address))
		if notSent(exchange.err) {
			r.recorder.update(func(s *Summary) { s.Failovers++ })
			continue
		}
		final = exchange.finish(ctx)
		break
	}
	r.recorder.end(q.organisation, q.model, final)
}

// exchange is one request to one entry and its response.
type exchange struct {
	run   *quoteRun
	quote quote
	due   time.Time

	response     *http.Response
	observer     streamObserver
	text         strings.Builder
	finishReason string
	sets         []string
	lastToken    time.Time // arrival of the last token
	tokens       int
	err          error
}

func (x *exchange) perform(ctx context.Context, client openai.Client) {
	params := openai.ChatCompletionNewParams{
		Model:               x.quote.model,
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(x.quote.content)},
		MaxCompletionTokens: openai.Int(int64(x.run.cfg.Tokens)),
	}
	options := []option.RequestOption{
		option.WithHeader(wire.HeaderOrganisation, x.quote.organisation),
		option.WithHeader(wire.HeaderDeadline, strconv.FormatInt(x.run.cfg.Deadline.Milliseconds(), 10)),
		option.WithMiddleware(x.observe),
	}
	if x.quote.stream {
		x.readStream(client.Chat.Completions.NewStreaming(ctx, params, options...))
		return
	}
	answer, err := client.Chat.Completions.New(ctx, params, options...)
	if x.err = err; err != nil {
		return
	}
	x.addSet(fingerprint(answer.RawJSON()))
	if len(answer.Choices) == 1 {
		x.text.WriteString(answer.Choices[0].Message.Content)
		x.finishReason = answer.Choices[0].FinishReason
	}
}

// observe is client middleware that stores the response and copies the body of a
// stream to the observer.
func (x *exchange) observe(request *http.Request, next option.MiddlewareNext) (*http.Response, error) {
	response, err := next(request)
	x.response = response
	if err == nil && x.quote.stream && response.StatusCode == http.StatusOK {
		response.Body = struct {
			io.Reader
			io.Closer
		}{io.TeeReader(response.Body, &x.observer), response.Body}
	}
	return response, err
}

func (x *exchange) readStream(stream *ssestream.Stream[openai.ChatCompletionChunk]) {
	defer func() { _ = stream.Close() }()
	for stream.Next() {
		chunk := stream.Current()
		x.addSet(fingerprint(chunk.RawJSON()))
		if len(chunk.Choices) != 1 {
			continue
		}
		choice := chunk.Choices[0]
		if choice.Delta.Content != "" {
			x.token(choice.Delta.Content)
		}
		if choice.FinishReason != "" {
			x.finishReason = choice.FinishReason
		}
	}
	x.err = stream.Err()
}

func (x *exchange) token(text string) {
	now := time.Now()
	if x.tokens == 0 {
		x.run.recorder.observe(x.run.recorder.first, now.Sub(x.due))
	} else {
		x.run.recorder.observe(x.run.recorder.between, now.Sub(x.lastToken))
	}
	x.tokens++
	x.lastToken = now
	x.text.WriteString(text)
}

// fingerprint returns system_fingerprint, in which engines report the weights
// set. The client library's accessor for it is deprecated.
func fingerprint(raw string) string {
	var fields struct {
		Fingerprint string `json:"system_fingerprint"`
	}
	_ = json.Unmarshal([]byte(raw), &fields) // the client library has already parsed it
	return fields.Fingerprint
}

func (x *exchange) addSet(set string) {
	if set != "" && !slices.Contains(x.sets, set) {
		x.sets = append(x.sets, set)
	}
}

// finish returns the result of the exchange and validates an answer that was
// presented as complete.
func (x *exchange) finish(ctx context.Context) result {
	recorder := x.run.recorder
	if x.err != nil {
		return x.classifyFailure(ctx)
	}
	if x.quote.stream && !x.observer.done {
		return result{outcomeUnknown, reasonCut}
	}
	x.addSet(x.response.Header.Get(wire.HeaderWeightsSet))
	violation, detail := x.run.checker.check(quoteAnswer{
		model: x.quote.model, prompt: standin.UserPrompt(x.quote.content), requestID: x.quote.requestID,
		tokens: x.run.cfg.Tokens, text: x.text.String(), finish: x.finishReason, sets: x.sets,
	})
	if violation != "" {
		recorder.violation(violation, x.quote.requestID+": "+detail)
	}
	if late := time.Since(x.due) - x.run.cfg.Deadline; late > deadlineMargin {
		recorder.violation(violationDeadline, fmt.Sprintf("%s: %s late", x.quote.requestID, late))
	}
	if len(x.sets) == 1 {
		recorder.update(func(s *Summary) { s.Sets[x.sets[0]]++ })
	}
	recorder.observe(recorder.whole, time.Since(x.due))
	return result{outcomeDone, ""}
}

// classifyFailure returns the result of an exchange without a complete answer.
func (x *exchange) classifyFailure(ctx context.Context) result {
	var refused *openai.Error
	if errors.As(x.err, &refused) && refused.Response != nil {
		header := refused.Response.Header
		end := result{header.Get(wire.HeaderOutcome), header.Get(wire.HeaderReason)}
		if end.outcome == "" {
			x.run.recorder.violation(violationOutcome, fmt.Sprintf("%s: status %d", x.quote.requestID, refused.StatusCode))
			return result{outcomeUnknown, reasonTransport}
		}
		if lacksRetryAfter(refused.StatusCode, header) {
			x.run.recorder.violation(violationRetry, x.quote.requestID+": "+end.reason)
		}
		if end.outcome == outcomeNotRun {
			x.run.recorder.observe(x.run.recorder.refusal, time.Since(x.due))
		}
		return end
	}
	var inStream *ssestream.StreamError
	if errors.As(x.err, &inStream) {
		return streamedError(inStream.Event.Data)
	}
	if ctx.Err() != nil {
		return result{outcomeUnknown, reasonCancelled}
	}
	if x.tokens > 0 {
		return result{outcomeUnknown, reasonCut}
	}
	return result{outcomeUnknown, reasonTransport}
}

// streamedError parses the outcome and the reason from an error event of a
// stream.
func streamedError(data []byte) result {
	var event struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &event) != nil || event.Error.Outcome == "" {
		return result{outcomeUnknown, reasonCut}
	}
	return result{event.Error.Outcome, event.Error.Code}
}
