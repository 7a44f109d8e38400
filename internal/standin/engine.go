package standin

import (
	"encoding/json"
	"net/http"
	"path"
	"sort"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Headers of the engine interface.
const (
	HeaderEngineSet      = "X-Engine-Weights-Set"
	HeaderEnginePriority = "X-Priority"
)

// Values of EngineFaults.WrongSet.
const (
	WrongSetClaimed = "claimed"    // every answer names a set that does not exist
	WrongSetMidway  = "mid-answer" // set id and text change halfway through an answer
)

const wrongSetID = "sha256:0000000000000000000000000000000000000000000000000000000000000000"

// EngineFaults are the fault switches of an engine.
type EngineFaults struct {
	// Stall suspends all token generation while GET /health still returns 200.
	Stall bool `json:"stall,omitempty"`
	// CrashMarker, if not empty, ends the process when a prompt contains it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// CutAfterTokens closes the connection after this many tokens of an answer;
	// 0 disables the fault.
	CutAfterTokens int `json:"cut_after_tokens,omitempty"`
	// WrongSet is WrongSetClaimed, WrongSetMidway or empty.
	WrongSet string `json:"wrong_set,omitempty"`
	// SlowFactor multiplies the generation delays; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// OrderDelayMs delays the processing of each order, including its fence check.
	OrderDelayMs int `json:"order_delay_ms,omitempty"`
	// Unhealthy makes GET /health return 503 while generation continues.
	Unhealthy bool `json:"unhealthy,omitempty"`
}

// EngineConfig configures an Engine.
type EngineConfig struct {
	// Capacity is the maximum number of requests in the batch; further requests
	// wait.
	Capacity int
	// FirstToken and PerToken are the delays of an idle engine, before the first
	// token and before each later one. Both grow linearly with the batch size, up
	// to 1+LoadSlope times the idle delay when the batch is full.
	FirstToken time.Duration
	PerToken   time.Duration
	LoadSlope  float64
	// PrefillPerKiB is added to FirstToken for each KiB of uncached prompt.
	PrefillPerKiB time.Duration
	// DefaultTokens is the answer length if the request sets no limit.
	DefaultTokens int
	// CheckFence rejects orders whose fencing token is below the highest one seen.
	CheckFence bool
	// LoadDelay is added to the time needed to read the files of a set.
	LoadDelay time.Duration
	// ReportLag is the maximum age of a load report; until then, the cached report
	// is returned.
	ReportLag time.Duration
	// CacheBlocks is the capacity of the prefix cache. Its events are delayed by
	// CacheEventLag, and every CacheEventDropNth event is dropped (0 drops none).
	CacheBlocks       int
	CacheEventLag     time.Duration
	CacheEventDropNth uint64
	// Exit is called on a crash fault to end the process. If it is nil or
	// returns, only the connection is aborted.
	Exit   func()
	Faults EngineFaults
}

// DefaultEngineConfig returns the configuration of a small engine.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Capacity:      8,
		FirstToken:    120 * time.Millisecond,
		PerToken:      20 * time.Millisecond,
		LoadSlope:     1,
		PrefillPerKiB: 10 * time.Millisecond,
		DefaultTokens: 32,
		ReportLag:     500 * time.Millisecond,
		CacheBlocks:   1024,
		CacheEventLag: 500 * time.Millisecond,
	}
}

// loadedSet is a weights set that the engine has loaded. It is immutable.
type loadedSet struct {
	report   wire.LoadedSet
	base     WeightsDigest
	adapters map[string]WeightsDigest
}

// SetsReport is the response body of GET /engine/sets.
type SetsReport struct {
	Fence   uint64           `json:"fence"`
	Sets    []wire.LoadedSet `json:"sets"`
	Started int64            `json:"started"` // Unix milliseconds
}

// LoadReport is the response body of GET /engine/load.
type LoadReport struct {
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	Capacity       int   `json:"capacity"`
	ReportedUnixMs int64 `json:"reported_unix_ms"`
}

// Order is the body of POST /engine/orders.
type Order struct {
	Fence  uint64   `json:"fence"`
	Action string   `json:"action"` // "load" or "unload"
	Set    OrderSet `json:"set"`
}

// OrderSet is the weights set to load or unload. Dir is the directory that
// contains its files under their object names.
type OrderSet struct {
	SetID    string         `json:"set_id"`
	Model    string         `json:"model"`
	Version  string         `json:"version"`
	Adapters []OrderAdapter `json:"adapters"`
	Dir      string         `json:"dir"`
}

// OrderAdapter names an adapter and its version in an OrderSet.
type OrderAdapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Engine is a test double of a model engine.
type Engine struct {
	cfg      EngineConfig
	switches *FaultSwitches[EngineFaults]
	batch    *batch
	cache    *prefixCache
	started  time.Time

	loadMu sync.Mutex // held while an order runs, so that orders run one at a time

	mu     sync.Mutex
	fence  uint64
	sets   map[string]loadedSet // by model
	report LoadReport
}

// NewEngine returns an engine with no weights loaded.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg:      cfg,
		switches: NewFaultSwitches(cfg.Faults),
		batch:    newBatch(cfg.Capacity),
		cache:    newPrefixCache(cfg.CacheBlocks, cfg.CacheEventDropNth),
		started:  time.Now(),
		sets:     map[string]loadedSet{},
	}
}

// Handler serves the engine interface and the fault switches.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle(PathFaults, e.switches)
	router.HandleFunc("/v1/chat/completions", e.serveChat).Methods(http.MethodPost)
	router.HandleFunc("/health", e.serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/engine/load", e.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/engine/sets", e.serveSets).Methods(http.MethodGet)
	router.HandleFunc("/engine/orders", e.serveOrder).Methods(http.MethodPost)
	router.HandleFunc("/engine/cache-events", e.serveCacheEvents).Methods(http.MethodGet)
	return router
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if e.switches.Get().Unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveLoad returns a load report that is up to ReportLag old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	if now.UnixMilli()-e.report.ReportedUnixMs >= e.cfg.ReportLag.Milliseconds() {
		running, waiting := e.batch.load()
		e.report = LoadReport{running, waiting, e.cfg.Capacity, now.UnixMilli()}
	}
	report := e.report
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveSets(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := SetsReport{Fence: e.fence, Sets: []wire.LoadedSet{}, Started: e.started.UnixMilli()}
	for _, s := range e.sets {
		report.Sets = append(report.Sets, s.report)
	}
	e.mu.Unlock()
	sort.Slice(report.Sets, func(i, j int) bool { return report.Sets[i].Model < report.Sets[j].Model })
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !sleep(r.Context(), time.Duration(e.switches.Get().OrderDelayMs)*time.Millisecond) {
		return
	}
	e.loadMu.Lock()
	defer e.loadMu.Unlock()
	if highest, ok := e.raiseFence(order.Fence); !ok {
		writeJSON(w, http.StatusConflict, map[string]uint64{"fence": highest})
		return
	}
	var err error
	switch order.Action {
	case "load":
		err = e.load(order.Set)
	case "unload":
		e.unload(order.Set)
	default:
		http.Error(w, "unknown action "+order.Action, http.StatusBadRequest)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"set_id": order.Set.SetID})
}

// raiseFence records a fencing token. It returns the highest token seen and
// whether an order with the given token may run.
func (e *Engine) raiseFence(fence uint64) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFence && fence < e.fence {
		return e.fence, false
	}
	e.fence = max(e.fence, fence)
	return e.fence, true
}

// load reads the files of a set and switches new requests for its model and
// adapters to it.
func (e *Engine) load(set OrderSet) error {
	e.mu.Lock()
	held, ok := e.sets[set.Model]
	e.mu.Unlock()
	if ok && held.report.SetID == set.SetID {
		return nil
	}
	digests, err := loadFiles(set.Dir)
	if err != nil {
		return err
	}
	loaded := loadedSet{
		report:   wire.LoadedSet{Model: set.Model, Version: set.Version, SetID: set.SetID},
		adapters: map[string]WeightsDigest{},
	}
	if loaded.base, ok = digests[path.Join(set.Model, set.Version)]; !ok {
		return oops.In("standin").Errorf("no files of %s version %s", set.Model, set.Version)
	}
	for _, a := range set.Adapters {
		digest, ok := digests[path.Join(a.Name, a.Version)]
		if !ok {
			return oops.In("standin").Errorf("no files of adapter %s version %s", a.Name, a.Version)
		}
		loaded.adapters[a.Name] = loaded.base.WithAdapter(digest)
	}
	time.Sleep(e.cfg.LoadDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sets[set.Model] = loaded
	return nil
}

// unload removes the set of a model. An empty set id matches any set.
func (e *Engine) unload(set OrderSet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.sets[set.Model]; ok && (set.SetID == "" || held.report.SetID == set.SetID) {
		delete(e.sets, set.Model)
	}
}

// find returns the set and the weights digest that serve a base model or an
// adapter.
func (e *Engine) find(name string) (loadedSet, WeightsDigest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if set, ok := e.sets[name]; ok {
		return set, set.base, true
	}
	for _, set := range e.sets {
		if digest, ok := set.adapters[name]; ok {
			return set, digest, true
		}
	}
	return loadedSet{}, "", false
}

// serveCacheEvents streams the cache events as JSON lines until the client
// disconnects.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	var last uint64
	for {
		events := e.cache.since(last, time.Now().Add(-e.cfg.CacheEventLag))
		for _, event := range events {
			last = event.Sequence
			if encoder.Encode(event) != nil {
				return
			}
		}
		if flusher.Flush() != nil || !sleep(r.Context(), max(e.cfg.CacheEventLag, cacheEventPollInterval)) {
			return
		}
	}
}

const cacheEventPollInterval = 50 * time.Millisecond
