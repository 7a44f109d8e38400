package agenttest

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// EndMarker is the event that ends a complete stream.
const EndMarker = "data: [DONE]\n\n"

// Engine is a fake engine. Hooks inject faults. While it serves, modify its
// fields only through Change.
type Engine struct {
	Sets            []wire.LoadedSet
	FencingToken    uint64
	Started         int64
	EnforcesFencing bool // refuses stale fencing tokens
	// OnOrder, when set, runs before an order is carried out. If it returns a
	// status other than 0, the order is not carried out and the status is sent.
	OnOrder func(o engine.Order) (status int)
	// OnChat, when set, answers chat requests other than probes.
	OnChat func(w http.ResponseWriter, r *http.Request, setID string)
	// OnProbe, when set, runs before a probe, a request for one token, is
	// answered.
	OnProbe func(r *http.Request)
	// ReportDelay delays each status response.
	ReportDelay time.Duration

	mu     sync.Mutex
	orders []engine.Order
	chats  int
	probes int
}

// ServeHTTP implements the engine's HTTP interface.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/engine/sets":
		e.mu.Lock()
		delay := e.ReportDelay
		e.mu.Unlock()
		time.Sleep(delay)
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(engine.Status{FencingToken: e.FencingToken, Sets: e.Sets, Started: e.Started})
	case "/engine/orders":
		var o engine.Order
		_ = json.NewDecoder(r.Body).Decode(&o)
		w.WriteHeader(e.execute(o))
	case engine.PathChat:
		e.serveChat(w, r)
	}
}

func (e *Engine) execute(o engine.Order) int {
	e.mu.Lock()
	e.orders = append(e.orders, o)
	hook := e.OnOrder
	e.mu.Unlock()
	if hook != nil {
		if status := hook(o); status != 0 {
			return status
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.EnforcesFencing && o.FencingToken < e.FencingToken {
		return http.StatusConflict
	}
	e.FencingToken = max(e.FencingToken, o.FencingToken)
	e.Sets = slices.DeleteFunc(e.Sets, func(l wire.LoadedSet) bool { return l.Model == o.Set.Model })
	if o.Action == engine.ActionLoad {
		e.Sets = append(e.Sets, wire.LoadedSet{Model: o.Set.Model, Version: o.Set.Version, SetID: o.Set.SetID})
	}
	return http.StatusOK
}

// Change modifies the fields while the engine serves.
func (e *Engine) Change(f func(e *Engine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

// ReceivedOrders returns the orders received so far.
func (e *Engine) ReceivedOrders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// RequestCounts returns the numbers of chat requests and of probes so far.
func (e *Engine) RequestCounts() (chats, probes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.chats, e.probes
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var request struct {
		Model     string `json:"model"`
		MaxTokens int    `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &request)
	e.mu.Lock()
	i := slices.IndexFunc(e.Sets, func(l wire.LoadedSet) bool { return l.Model == request.Model })
	if i < 0 {
		e.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	setID, hook, probe := e.Sets[i].SetID, e.OnChat, e.OnProbe
	isProbe := request.MaxTokens == 1
	if isProbe {
		e.probes++
	} else {
		e.chats++
	}
	e.mu.Unlock()
	if isProbe {
		if probe != nil {
			probe(r)
		}
		_, _ = io.WriteString(w, "{}")
		return
	}
	if hook != nil {
		hook(w, r, setID)
		return
	}
	WriteTokens(w, setID, 0, 3)
	_, _ = io.WriteString(w, EndMarker)
}

// WriteTokens streams the tokens from (inclusive) to (exclusive) of an answer.
func WriteTokens(w http.ResponseWriter, setID string, from, to int) {
	w.Header().Set(engine.HeaderWeightsSet, setID)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < to; i++ {
		WriteToken(w, "answer", setID, i)
	}
}

// WriteToken streams one token of the answer with the given ID.
func WriteToken(w http.ResponseWriter, id, setID string, token int) {
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"system_fingerprint\":%q,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, setID, token)
	_ = http.NewResponseController(w).Flush()
}
