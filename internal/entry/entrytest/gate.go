// Package entrytest provides fake gates and a fake control replica that an entry
// can connect to over the network, for tests and measurements.
package entrytest

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Fault is a fault that a gate injects into one attempt.
type Fault struct {
	// Step at which the fault is injected, for kinds that depend on it: one of the
	// Step constants.
	Step string
	Kind string
	// Token is the index of the token before which a StepToken fault is injected.
	Token int
}

// Steps of an attempt at the gate.
const (
	StepReceived = "received" // before the attempt counts as started
	StepStarted  = "started"  // before the answer's header
	StepHeader   = "header"   // after the header, before the first token
	StepToken    = "token"    // before token Fault.Token
	StepLast     = "last"     // after the last token, before the end marker
)

// Kinds of fault.
const (
	Kill          = "kill"         // the connection closes, and the backend of a started attempt has crashed
	Stall         = "stall"        // nothing further is sent
	EndEarly      = "end-early"    // the response ends cleanly but is incomplete
	EngineError   = "engine-error" // status 500
	Refuse        = "refuse"       // status 503, not run
	SetMissing    = "set-missing"  // status 409, not run
	GateRestarted = "restarted"    // status 409 from a gate that restarted after its announcement
	WrongAttempt  = "crossed"      // the response has the identifier of another attempt
	WrongSet      = "wrong-set"    // the response comes from another weights set
	RepeatToken   = "repeat"       // a token is sent twice
	SkipToken     = "skip"         // a token is omitted
	ErrorEvent    = "error-event"  // an error event, then a clean end of the stream
	DuplicateEnd  = "duplicate"    // the last token and the end marker are sent again after the end
)

// Gate is a fake gate together with its engine or service.
type Gate struct {
	ID, Zone, Model, Set string
	Service              string
	Capacity             int
	FirstToken, PerToken time.Duration
	Tokens               int
	ReportLag            time.Duration
	// Fault, when set, is called once per attempt and returns the fault to inject.
	Fault func(r *http.Request, body string) Fault

	// Network, when set, replaces the operating system's network.
	Network network.Network

	server *httptest.Server

	mu         sync.Mutex
	inFlight   int
	reported   int
	reportedAt time.Time
	sequence   uint64
	states     map[string]string
	crashed    map[string]bool // attempts during which the endpoint crashes
	executed   map[string]int
	started    int
	completed  int
	peak       int
	exclusive  int
	probes     int
	generated  int
	killed     int
	stopped    chan struct{}
}

// Start starts the server on a free port.
func (g *Gate) Start() *Gate {
	g.states, g.crashed, g.executed = map[string]string{}, map[string]bool{}, map[string]int{}
	g.stopped = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc(wire.PathGateForward+"/", g.forward)
	mux.HandleFunc(wire.PathGateAttempts, g.attempts)
	g.server = startServer(g.Network, mux)
	return g
}

// Close stops the gate and closes its connections. It may be called repeatedly.
func (g *Gate) Close() {
	g.mu.Lock()
	select {
	case <-g.stopped:
		g.mu.Unlock()
		return
	default:
		close(g.stopped)
	}
	g.mu.Unlock()
	g.server.CloseClientConnections()
	g.server.Close()
}

// Announce returns the gate's announcement. Its load is updated at most once per
// ReportLag.
func (g *Gate) Announce() wire.Announce {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := time.Now(); now.Sub(g.reportedAt) >= g.ReportLag {
		g.reported, g.reportedAt = g.inFlight, now
		g.sequence++
	}
	a := wire.Announce{
		Endpoint: g.ID, Incarnation: 1, Sequence: g.sequence, Kind: wire.KindEngine, Zone: g.Zone, Region: "r1",
		GateAddress: g.Address(), InFlight: g.reported, Capacity: g.Capacity, Ready: true, Confirmed: true,
	}
	if g.Service != "" {
		a.Kind, a.Service = wire.KindService, g.Service
	} else {
		a.Sets = []wire.LoadedSet{{Model: g.Model, Version: "1", SetID: g.Set}}
	}
	return a
}

// Address returns the gate's IP and port.
func (g *Gate) Address() string { return strings.TrimPrefix(g.server.URL, "http://") }

// Executions returns how often the service ran a call with an idempotency key.
func (g *Gate) Executions(key string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.executed[key]
}

// AttemptCounts returns the number of attempts started, how many of them ran
// exclusively, the highest number in flight, and how many were probes.
func (g *Gate) AttemptCounts() (started, alone, peak, probes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started, g.exclusive, g.peak, g.probes
}

// GeneratedTokens returns the number of tokens streamed so far, without probes.
func (g *Gate) GeneratedTokens() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.generated
}

// AttemptState returns the state of an attempt, empty if the gate does not know it.
func (g *Gate) AttemptState(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.states[id]
}

func (g *Gate) attempts(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, wire.PathGateAttempts)
	g.mu.Lock()
	state, known := g.states[id]
	if !known {
		state = "unknown"
		if r.Method == http.MethodPost {
			state = "fenced"
			g.states[id] = state
		}
	}
	crashed := g.crashed[id]
	g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	answer := map[string]string{"state": state}
	if crashed {
		answer["backend"] = wire.BackendCrashed
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// admit starts an attempt and returns 0, or the HTTP status of a refusal.
func (g *Gate) admit(id string, exclusive bool, fault Fault) (status int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.states[id] != "":
		return http.StatusServiceUnavailable
	case fault.Kind == SetMissing:
		g.states[id] = "refused"
		return http.StatusConflict
	case fault.Kind == Refuse, g.inFlight >= g.Capacity, exclusive && g.inFlight > 0:
		g.states[id] = "refused"
		return http.StatusServiceUnavailable
	}
	g.states[id], g.crashed[id] = "running", fault.Kind == Kill
	g.inFlight++
	g.started++
	if exclusive {
		g.exclusive++
	}
	g.peak = max(g.peak, g.inFlight)
	return 0
}

func (g *Gate) endAttempt(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.states[id] == "running" {
		g.states[id] = "failed"
	}
}

func (g *Gate) completeAttempt(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.states[id] = "done"
	g.completed++
}

func (g *Gate) forward(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	var fault Fault
	if g.Fault != nil {
		fault = g.Fault(r, string(data))
	}
	id := r.Header.Get(wire.HeaderAttempt)
	w.Header().Set(wire.HeaderAttempt, id)
	if fault.Step == StepReceived && fault.Kind != Refuse && fault.Kind != SetMissing {
		g.injectFault(w, r, fault)
	}
	if fault.Kind == GateRestarted {
		g.refuseRestarted(w, id)
		return
	}
	if status := g.admit(id, r.Header.Get(wire.HeaderAlone) != "", fault); status != 0 {
		w.Header().Set(wire.HeaderOutcome, "not-run")
		w.Header().Set(wire.HeaderReason, "at-capacity")
		w.WriteHeader(status)
		return
	}
	defer g.endAttempt(id)
	if g.Service != "" {
		g.serveService(w, r, id, fault)
		return
	}
	g.serveChat(w, r, id, data, fault)
}

// refuseRestarted responds like a gate that restarted after its announcement: it
// has not run the attempt and does not know what its predecessor ran.
func (g *Gate) refuseRestarted(w http.ResponseWriter, id string) {
	g.mu.Lock()
	g.states[id] = "unknown"
	g.mu.Unlock()
	w.Header().Set(wire.HeaderOutcome, "unknown")
	w.Header().Set(wire.HeaderReason, "gate-restarted")
	w.WriteHeader(http.StatusConflict)
}

// KilledAttempts returns the number of attempts into which Kill was injected.
func (g *Gate) KilledAttempts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed
}

// injectFault aborts the response, after waiting for the client or Close on a stall.
func (g *Gate) injectFault(w http.ResponseWriter, r *http.Request, fault Fault) {
	if fault.Kind == Kill {
		g.mu.Lock()
		g.killed++
		g.mu.Unlock()
	}
	if fault.Kind == Stall {
		if fault.Step != StepReceived && fault.Step != StepStarted {
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-r.Context().Done():
		case <-g.stopped:
		}
	}
	panic(http.ErrAbortHandler)
}

func (g *Gate) serveService(w http.ResponseWriter, r *http.Request, id string, fault Fault) {
	time.Sleep(g.FirstToken)
	g.mu.Lock()
	key := r.Header.Get(wire.HeaderIdempotencyKey)
	g.executed[key]++
	n := g.executed[key]
	g.mu.Unlock()
	if fault.Step == StepStarted {
		g.injectFault(w, r, fault)
	}
	answer := fmt.Sprintf(`{"key":%q,"execution":%d,"endpoint":%q,"path":%q}`, key, n, g.ID, r.URL.RequestURI())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if fault.Step == StepLast {
		w.Header().Set(wire.HeaderOutcome, "done")
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		g.injectFault(w, r, fault)
	}
	w.Header().Set(wire.HeaderOutcome, "done")
	g.completeAttempt(id)
	_, _ = io.WriteString(w, answer)
}

type chatRequest struct {
	Stream     bool `json:"stream"`
	MaxTokens  int  `json:"max_tokens"`
	ResumeFrom int  `json:"resume_from_token"`
}

func (g *Gate) serveChat(w http.ResponseWriter, r *http.Request, id string, data []byte, fault Fault) {
	var request chatRequest
	if err := json.Unmarshal(data, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tokens := g.Tokens
	if request.MaxTokens > 0 {
		tokens = min(tokens, request.MaxTokens)
	}
	if request.MaxTokens == 1 {
		g.mu.Lock()
		g.probes++
		g.mu.Unlock()
	}
	set := g.Set
	switch fault.Kind {
	case WrongAttempt:
		w.Header().Set(wire.HeaderAttempt, "other.1.1")
	case EngineError:
		w.Header().Set(wire.HeaderOutcome, "unknown")
		http.Error(w, "engine failed", http.StatusInternalServerError)
		return
	case WrongSet:
		if fault.Step == StepHeader {
			set = "sha256:other"
		}
	}
	if fault.Step == StepStarted {
		g.injectFault(w, r, fault)
	}
	if !g.sleep(r, g.FirstToken) {
		return
	}
	w.Header().Set(wire.HeaderWeightsSet, set)
	if !request.Stream {
		g.writeBuffered(w, r, id, tokens, fault)
		return
	}
	g.writeStream(w, r, id, request.ResumeFrom, tokens, fault)
}

func (g *Gate) sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	case <-g.stopped:
		return false
	}
}

func (g *Gate) writeBuffered(w http.ResponseWriter, r *http.Request, id string, tokens int, fault Fault) {
	if !g.sleep(r, time.Duration(tokens)*g.PerToken) {
		return
	}
	set, text := g.Set, AnswerText(tokens)
	if fault.Kind == WrongSet {
		set, text = "sha256:other", "x"
		if fault.Step == StepHeader {
			set = "" // only the header has the wrong set
		}
	}
	answer := fmt.Sprintf(`{"object":"chat.completion","system_fingerprint":%q,"choices":[{"message":{"content":%q},"finish_reason":"stop"}]}`,
		set, text)
	w.Header().Set("Content-Type", "application/json")
	if (fault.Step == StepToken || fault.Step == StepLast) && fault.Kind != WrongSet {
		w.Header().Set(wire.HeaderOutcome, "done")
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		if fault.Kind != EndEarly {
			_ = http.NewResponseController(w).Flush()
			g.injectFault(w, r, fault)
		}
		return
	}
	w.Header().Set(wire.HeaderOutcome, "done")
	g.completeAttempt(id)
	_, _ = io.WriteString(w, answer)
}

// AnswerText returns the complete text of an answer of n tokens.
func AnswerText(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "t%d ", i)
	}
	return text.String()
}

func (g *Gate) writeStream(w http.ResponseWriter, r *http.Request, id string, from, tokens int, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	event := func(i int, set string) {
		word := "t"
		if set != g.Set {
			word = "x" // other weights generate other text
		}
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"chat-%s\",\"system_fingerprint\":%q,\"choices\":[{\"delta\":{\"content\":\"%s%d \"},\"finish_reason\":null}],\"token_index\":%d}\n\n", id, set, word, i, i)
		_ = flush()
	}
	set := g.Set
	if fault.Step == StepHeader {
		if fault.Kind != WrongSet {
			_ = flush()
			g.injectFault(w, r, fault)
		}
		set = "" // only the header has the wrong set
	}
	for i := from; i < tokens; i++ {
		if i > from && !g.sleep(r, g.PerToken) {
			return
		}
		if i == fault.Token && fault.Kind == SkipToken {
			continue
		}
		if i == fault.Token && fault.Kind == RepeatToken {
			event(i-1, set)
		}
		if fault.Step == StepToken && i >= fault.Token && fault.Kind != SkipToken && fault.Kind != RepeatToken {
			if g.tokenFault(w, r, fault, i, event) {
				return
			}
		}
		event(i, set)
		if tokens > 1 {
			g.mu.Lock()
			g.generated++
			g.mu.Unlock()
		}
	}
	if fault.Step == StepLast {
		if fault.Kind == EndEarly {
			return
		}
		if fault.Kind != DuplicateEnd {
			g.injectFault(w, r, fault)
		}
	}
	g.completeAttempt(id)
	_, _ = fmt.Fprintf(w, "data: {\"id\":\"chat-%s\",\"system_fingerprint\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", id, g.Set)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	if fault.Kind == DuplicateEnd {
		event(tokens-1, g.Set)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

// tokenFault injects a fault in the middle of a stream and reports whether the
// stream has ended.
func (g *Gate) tokenFault(w http.ResponseWriter, r *http.Request, fault Fault, i int, event func(int, string)) bool {
	switch fault.Kind {
	case EndEarly:
		return true
	case WrongSet:
		event(i, "sha256:other")
		return true
	case ErrorEvent:
		_, _ = io.WriteString(w, "data: {\"error\":{\"message\":\"engine failed\"}}\n\n")
		return true
	case Kill:
		_, _ = io.WriteString(w, "data: {\"system_finger") // a truncated event
		_ = http.NewResponseController(w).Flush()
	}
	g.injectFault(w, r, fault)
	return true
}
