package loadtool

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/standin"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testCount  = 20
	testTokens = 6
	chatPath   = "/v1/chat/completions"
)

func testConfig(entries ...string) Config {
	return Config{
		Entries: entries, Token: auth.NewToken("caller-token-of-the-test"), Rate: 500, Duration: 5 * time.Second,
		Count: testCount, MaxInFlight: 100, Deadline: time.Second, Drain: 5 * time.Second,
		Organisations: Mix{{"small", 1}, {"large", 9}}, Seed: 3,
	}
}

// loadedEngine returns an engine that serves the model quote as set-1, and the
// digest of its weights.
func loadedEngine(t *testing.T, seed uint64) (http.Handler, standin.WeightsDigest) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	id, err := standin.WriteWeights(standin.WeightsSpec{Dir: dir, Name: "quote", Version: "1", Shards: 1, Size: 16 << 10, Seed: seed, ChangedEvery: 1})
	is.NoErr(err)
	digest, err := standin.DigestOfManifestFile(filepath.Join(dir, "manifests", id.Hex()))
	is.NoErr(err)
	cfg := standin.DefaultEngineConfig()
	cfg.FirstToken, cfg.PerToken, cfg.Capacity = time.Millisecond, time.Millisecond, testCount
	engine := standin.NewEngine(cfg).Handler()
	order, err := json.Marshal(standin.Order{Action: "load", Set: standin.OrderSet{
		SetID: "set-1", Model: "quote", Version: "1", Dir: filepath.Join(dir, "objects"),
	}})
	is.NoErr(err)
	is.Equal(post(engine, "/engine/orders", string(order)), http.StatusOK)
	return engine, digest
}

func post(handler http.Handler, path, body string) int {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w.Code
}

// startEntry starts a server that answers address lookups itself and passes
// other requests to handler. The first address it lists refuses connections.
func startEntry(t *testing.T, handler http.Handler) string {
	t.Helper()
	router := mux.NewRouter()
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	router.HandleFunc("/v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"addresses":[{"address":"127.0.0.1:1"},{"address":"` + address + `"}],"ttl_seconds":60}`))
	})
	router.PathPrefix("/").Handler(handler)
	return address
}

// refuse returns a handler that refuses every request with the given outcome and
// reason.
func refuse(outcome, reason string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if outcome != "" {
			w.Header().Set(wire.HeaderOutcome, outcome)
			w.Header().Set(wire.HeaderReason, reason)
		}
		if reason != "no-retry-after" {
			w.Header().Set("Retry-After", "1")
		}
		http.Error(w, `{"error":{"message":"m","code":"`+reason+`"}}`, http.StatusServiceUnavailable)
	})
}

// rewrite replaces from with to in request bodies before they reach the engine.
func rewrite(engine http.Handler, from, to string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body map[string]any
		_ = json.NewDecoder(r.Body).Decode(&body)
		text, _ := json.Marshal(body)
		changed := strings.NewReader(strings.Replace(string(text), from, to, 1))
		engine.ServeHTTP(w, httptest.NewRequestWithContext(r.Context(), r.Method, chatPath, changed))
	})
}

// appendTo appends text to every response that the engine aborts.
func appendTo(engine http.Handler, text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if recover() != nil {
				_, _ = w.Write([]byte(text))
			}
		}()
		engine.ServeHTTP(w, r)
	})
}

// Guards against violations that the load tool accepts as valid answers, and
// against correct refusals that it reports as violations.
func TestQuotes(t *testing.T) {
	faulty := func(faults string) func(*testing.T) (http.Handler, standin.WeightsDigest) {
		return func(t *testing.T) (http.Handler, standin.WeightsDigest) {
			engine, digest := loadedEngine(t, 1)
			is.New(t).Equal(post(engine, standin.PathFaults, faults), http.StatusOK)
			return engine, digest
		}
	}
	plain := func(wrap func(http.Handler) http.Handler) func(*testing.T) (http.Handler, standin.WeightsDigest) {
		return func(t *testing.T) (http.Handler, standin.WeightsDigest) {
			engine, digest := loadedEngine(t, 1)
			return wrap(engine), digest
		}
	}
	cases := map[string]struct {
		entry     func(t *testing.T) (http.Handler, standin.WeightsDigest)
		unary     bool
		end       string // outcome, or outcome/reason
		violation string
	}{
		"whole streams": {entry: faulty("{}"), end: "done"},
		"whole":         {entry: faulty("{}"), unary: true, end: "done"},
		"cut stream":    {entry: faulty(`{"cut_after_tokens":2}`), end: "unknown/" + reasonCut},
		"cut":           {entry: faulty(`{"cut_after_tokens":2}`), unary: true, end: "unknown/" + reasonTransport},
		"cut stream passed off as whole": {entry: func(t *testing.T) (http.Handler, standin.WeightsDigest) {
			engine, digest := faulty(`{"cut_after_tokens":2}`)(t)
			return appendTo(engine, "data: [DONE]\n\n"), digest
		}, end: "done", violation: violationPartial},
		"stream ends without marker": {entry: func(t *testing.T) (http.Handler, standin.WeightsDigest) {
			engine, digest := faulty(`{"cut_after_tokens":2}`)(t)
			return appendTo(engine, "\n"), digest
		}, end: "unknown/" + reasonCut},
		"error in stream": {entry: func(t *testing.T) (http.Handler, standin.WeightsDigest) {
			engine, digest := faulty(`{"cut_after_tokens":2}`)(t)
			return appendTo(engine, `data: {"error":{"code":"stalled","outcome":"unknown"}}`+"\n\n"), digest
		}, end: "unknown/stalled"},
		"set changes":   {entry: faulty(`{"wrong_set":"mid-answer"}`), end: "done", violation: violationMixed},
		"other answers": {entry: plain(func(e http.Handler) http.Handler { return rewrite(e, "request-id=", "request-id=x") }), end: "done", violation: violationOtherRequest},
		"other prompt":  {entry: plain(func(e http.Handler) http.Handler { return rewrite(e, "Quote for", "Poem for") }), end: "done", violation: violationText},
		"unknown weights": {entry: func(t *testing.T) (http.Handler, standin.WeightsDigest) {
			engine, _ := loadedEngine(t, 1)
			return engine, "another-digest00"
		}, end: "done", violation: violationSet},
		"one set, two weights": {entry: func(t *testing.T) (http.Handler, standin.WeightsDigest) {
			first, _ := loadedEngine(t, 1)
			second, _ := loadedEngine(t, 2)
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if rand.N(2) == 0 {
					first.ServeHTTP(w, r)
					return
				}
				second.ServeHTTP(w, r)
			}), ""
		}, end: "done", violation: violationSet},
		"refused": {entry: plain(func(http.Handler) http.Handler { return refuse("not-run", "over-share") }), end: "not-run/over-share"},
		"refused without Retry-After": {
			entry: plain(func(http.Handler) http.Handler { return refuse("not-run", "no-retry-after") }),
			end:   "not-run/no-retry-after", violation: violationRetry,
		},
		"without outcome": {entry: plain(func(http.Handler) http.Handler { return refuse("", "") }), end: "unknown/" + reasonTransport, violation: violationOutcome},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			handler, digest := c.entry(t)
			quotes := Quotes{
				Config: testConfig("127.0.0.1:1", startEntry(t, handler)), Models: Mix{{"quote", 1}},
				Tokens: testTokens, PromptBytes: 300, StreamShare: 1, Weights: map[string][]standin.WeightsDigest{},
			}
			if c.unary {
				quotes.StreamShare = 0
			}
			if digest != "" {
				quotes.Weights["quote"] = []standin.WeightsDigest{digest}
			}
			s, err := RunQuotes(t.Context(), quotes)
			is.NoErr(err)
			t.Logf("%+v", s)
			is.Equal(s.Sent, testCount)
			is.Equal(s.Failovers, testCount) // the first address refuses connections
			is.Equal(s.Lookups, 2)           // the addresses are cached for their TTL
			outcome, _, hasReason := strings.Cut(c.end, "/")
			is.Equal(s.Outcomes, map[string]int{outcome: testCount})
			if hasReason {
				is.Equal(s.Reasons, map[string]int{c.end: testCount})
			}
			is.Equal(s.OK(0), c.violation == "")
			is.True(c.violation == "" || s.Violations[c.violation] > 0 && len(s.Violations) == 1)
			if name == "whole streams" {
				is.Equal(s.FirstToken.Count, int64(testCount))
				is.Equal(s.BetweenTokens.Count, int64(testCount*(testTokens-1)))
				is.Equal(s.Sets, map[string]int{"set-1": testCount})
				sent, done := 0, 0
				for _, part := range s.Organisations {
					sent, done = sent+part.Sent, done+part.Done
				}
				is.Equal([]int{sent, done}, []int{testCount, testCount})
			}
		})
	}
}

// serviceEntry returns a handler that responds to orders with answer, which can
// run them on service. again tells whether the key was seen before.
func serviceEntry(service *standin.Service, answer func(run func(w http.ResponseWriter), w http.ResponseWriter, again bool)) http.Handler {
	seen := make(chan map[string]bool, 1)
	seen <- map[string]bool{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		keys := <-seen
		key := r.Header.Get(wire.HeaderIdempotencyKey)
		again := keys[key]
		keys[key] = true
		seen <- keys
		answer(func(w http.ResponseWriter) { service.Handler().ServeHTTP(w, r) }, w, again)
	})
}

// Guards against duplicate executions and wrong outcomes that the load tool does
// not detect.
func TestOrders(t *testing.T) {
	type run = func(w http.ResponseWriter)
	done := func(r run, w http.ResponseWriter) {
		w.Header().Set(wire.HeaderOutcome, "done")
		r(w)
	}
	cases := map[string]struct {
		answer    func(r run, w http.ResponseWriter, again bool)
		outcome   string
		violation string
		lookup    string // state that the entry reports for every key
	}{
		"outcome lookup agrees":  {answer: func(r run, w http.ResponseWriter, _ bool) { done(r, w) }, outcome: "done", lookup: "done"},
		"outcome lookup differs": {answer: func(r run, w http.ResponseWriter, _ bool) { done(r, w) }, outcome: "done", lookup: "not-claimed", violation: violationLookup},
		"honest":                 {func(r run, w http.ResponseWriter, _ bool) { done(r, w) }, "done", "", ""},
		"twice": {func(r run, w http.ResponseWriter, _ bool) {
			r(httptest.NewRecorder())
			done(r, w)
		}, "done", violationDuplicate, ""},
		"not run, but ran": {func(r run, w http.ResponseWriter, _ bool) {
			r(httptest.NewRecorder())
			refuse("not-run", "no-endpoint").ServeHTTP(w, nil)
		}, "not-run", violationNotRun, ""},
		"done, but did not run": {func(_ run, w http.ResponseWriter, _ bool) {
			w.Header().Set(wire.HeaderOutcome, "done")
		}, "done", violationDone, ""},
		"unknown, then first result": {func(r run, w http.ResponseWriter, again bool) {
			if again {
				done(r, w)
				return
			}
			refuse("unknown", "owner-lost").ServeHTTP(w, nil)
		}, "done", "", ""},
		"lost after the effect": {func(r run, w http.ResponseWriter, again bool) {
			if !again {
				r(httptest.NewRecorder())
			}
			panic(http.ErrAbortHandler)
		}, "unknown", "", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service, err := standin.NewService(standin.ServiceConfig{Name: "dispatch"})
			is.NoErr(err)
			executions := httptest.NewServer(service.Handler())
			defer executions.Close()
			entry := mux.NewRouter()
			entry.HandleFunc("/v1/outcomes/{key}", func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(`{"state":"` + c.lookup + `"}`))
			})
			entry.PathPrefix("/").Handler(serviceEntry(service, c.answer))
			s, err := RunOrders(t.Context(), Orders{
				Config: testConfig(startEntry(t, entry)), Lookups: testCount,
				Service: "dispatch", Path: "/orders", Resends: 1, Executions: []string{executions.URL + "/executions"},
			})
			is.NoErr(err)
			t.Logf("%+v", s)
			is.Equal(s.Outcomes, map[string]int{c.outcome: testCount})
			is.Equal(s.OK(0), c.violation == "")
			is.True(c.violation == "" || s.Violations[c.violation] == testCount)
		})
	}
}

// Guards against a run that never ends, and against a request rate that drops
// when the system under test is slow.
func TestBounds(t *testing.T) {
	is := is.New(t)
	hanging := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body is read
		<-r.Context().Done()
	})
	cfg := testConfig(startEntry(t, hanging))
	cfg.Count, cfg.MaxInFlight, cfg.Duration, cfg.Drain = 1_000_000, 5, 200*time.Millisecond, 50*time.Millisecond
	begun := time.Now()
	s, err := RunQuotes(t.Context(), Quotes{Config: cfg, Models: Mix{{"quote", 1}}, Tokens: 2, StreamShare: 1})
	is.NoErr(err)
	is.True(time.Since(begun) < 3*time.Second)
	is.Equal(s.Sent, 5)
	is.True(s.Due > 50 && s.Due == s.Sent+s.Skipped) // 500 a second for 200 ms
	is.Equal(s.Reasons, map[string]int{"unknown/" + reasonCancelled: 5})
	is.True(!s.OK(0.5))

	cfg.Entries = []string{"localhost:80"}
	_, err = RunQuotes(context.Background(), Quotes{Config: cfg})
	is.True(err != nil)
	for _, field := range []string{"localhost:80", "models", "tokens"} {
		is.True(strings.Contains(err.Error(), field))
	}
	_, err = RunOrders(context.Background(), Orders{Config: cfg})
	is.True(err != nil && strings.Contains(err.Error(), "service") && strings.Contains(err.Error(), "executions"))
}

func TestParseMix(t *testing.T) {
	is := is.New(t)
	mix, err := ParseMix("a=3, b")
	is.NoErr(err)
	is.Equal(mix, Mix{{"a", 3}, {"b", 1}})
	for _, bad := range []string{"", "a=", "a=x", "a=0", "a=-1", "a=NaN", "=1"} {
		_, err := ParseMix(bad)
		is.True(err != nil)
	}
	counts, random := map[string]int{}, rand.New(rand.NewPCG(1, 1))
	for range 4000 {
		counts[mix.pick(random)]++
	}
	is.True(counts["a"] > 2800 && counts["a"] < 3200)
}

// Guards against an end marker that is missed or wrongly detected depending on
// how the stream is split into writes.
func FuzzStreamObserver(f *testing.F) {
	for _, seed := range []string{
		"data: a\n\ndata: [DONE]\n\n", "data:[DONE]\r\n\r\n", "data: [DONE]", "data: [DONE]\n", ": c\n\nevent: x\rdata: a\rdata: b\r\r",
		"data: x[DONE]\n\n", "data: [DONE]\ndata: y\n\n", "\n\n\r\n", "data\n\n",
	} {
		f.Add([]byte(seed), uint8(3))
	}
	f.Fuzz(func(t *testing.T, stream []byte, piece uint8) {
		var whole, split streamObserver
		_, _ = whole.Write(stream)
		step := int(piece%16) + 1
		for rest := stream; len(rest) > 0; {
			n, _ := split.Write(rest[:min(step, len(rest))])
			rest = rest[n:]
		}
		if whole.done != split.done || whole.events != split.events {
			t.Fatalf("pieces of %d change the result for %q", step, stream)
		}
		if whole.done != containsMarker(stream) {
			t.Fatalf("end marker: got %v for %q", whole.done, stream)
		}
	})
}

// containsMarker is an independent parser of the event stream format.
func containsMarker(stream []byte) bool {
	text := strings.ReplaceAll(strings.ReplaceAll(string(stream), "\r\n", "\n"), "\r", "\n")
	lines := strings.Split(text, "\n")
	var data []string
	for _, line := range lines[:len(lines)-1] { // the last one is incomplete
		if line == "" {
			if reflect.DeepEqual(data, []string{doneMarker}) {
				return true
			}
			data = nil
			continue
		}
		if name, value, _ := strings.Cut(line, ":"); name == "data" {
			data = append(data, strings.TrimPrefix(value, " "))
		}
	}
	return false
}
