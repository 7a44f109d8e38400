package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTokens = 6

// writeTestWeights writes a version of model quote and returns the objects
// directory and the weights digest.
func writeTestWeights(t *testing.T, dir, version string, seed uint64) (objects string, digest WeightsDigest) {
	t.Helper()
	is := is.New(t)
	id, err := WriteWeights(WeightsSpec{Dir: dir, Name: "quote", Version: version, Shards: 2, Size: 64 << 10, Seed: seed, ChangedEvery: 1})
	is.NoErr(err)
	digest, err = DigestOfManifestFile(filepath.Join(dir, manifestsDir, id.Hex()))
	is.NoErr(err)
	return filepath.Join(dir, objectsDir), digest
}

// testEngine is an engine that serves version 1 of model quote.
type testEngine struct {
	*httptest.Server
	engine  *Engine
	objects string
	digest  WeightsDigest
}

func startEngine(t *testing.T, change func(*EngineConfig)) *testEngine {
	t.Helper()
	cfg := DefaultEngineConfig()
	cfg.FirstToken, cfg.PerToken, cfg.DefaultTokens = time.Millisecond, time.Millisecond, testTokens
	if change != nil {
		change(&cfg)
	}
	e := &testEngine{engine: NewEngine(cfg)}
	e.objects, e.digest = writeTestWeights(t, t.TempDir(), "1", 1)
	e.Server = httptest.NewServer(e.engine.Handler())
	t.Cleanup(e.Close)
	is.New(t).Equal(e.order(t, 1, "load", "1", e.objects), http.StatusOK)
	return e
}

func (e *testEngine) do(ctx context.Context, t *testing.T, method, path string, body any) (*http.Response, error) {
	t.Helper()
	data, err := json.Marshal(body)
	is.New(t).NoErr(err)
	request, err := http.NewRequestWithContext(ctx, method, e.URL+path, strings.NewReader(string(data)))
	is.New(t).NoErr(err)
	return e.Client().Do(request)
}

func (e *testEngine) order(t *testing.T, fence uint64, action, version, dir string) int {
	t.Helper()
	response, err := e.do(t.Context(), t, http.MethodPost, "/engine/orders", Order{fence, action, OrderSet{
		SetID: "set-" + version, Model: "quote", Version: version, Dir: dir,
	}})
	is.New(t).NoErr(err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// chat returns the text, the set ids in order of appearance, and whether the
// answer was complete.
func (e *testEngine) chat(ctx context.Context, t *testing.T, stream bool, prompt string, resume int) (text string, sets []string, whole bool) {
	t.Helper()
	response, err := e.do(ctx, t, http.MethodPost, "/v1/chat/completions", map[string]any{
		"model": "quote", "stream": stream, "resume_from_token": resume,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return "", nil, false
	}
	defer func() { _ = response.Body.Close() }()
	add := func(answer chatAnswer) {
		if len(sets) == 0 || sets[len(sets)-1] != answer.Fingerprint {
			sets = append(sets, answer.Fingerprint)
		}
	}
	if !stream {
		var answer chatAnswer
		if json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Choices) == 0 {
			return "", nil, false
		}
		add(answer)
		return answer.Choices[0].Message.Content, sets, true
	}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if data == "[DONE]" {
			return text, sets, true
		}
		var answer chatAnswer
		if ok && json.Unmarshal([]byte(data), &answer) == nil && len(answer.Choices) > 0 {
			add(answer)
			text += answer.Choices[0].Delta.Content
		}
	}
	return text, sets, false
}

// Guards against fault switches that have no effect or another one than
// documented: tests of the daemons would then pass without testing the fault.
func TestEngineFaults(t *testing.T) {
	whole := func(is *is.I, e *testEngine, stream bool) {
		text, sets, ok := e.chat(t.Context(), t, stream, "request-id=a", 0)
		is.True(ok)
		is.Equal(sets, []string{"set-1"})
		is.Equal(text, Text(e.digest, UserPrompt("request-id=a"), testTokens))
		is.Equal(RequestID(text), "a")
	}
	cases := map[string]struct {
		faults EngineFaults
		check  func(is *is.I, e *testEngine, stream bool)
	}{
		"none": {EngineFaults{}, whole},
		"slow": {EngineFaults{SlowFactor: 10}, func(is *is.I, e *testEngine, stream bool) {
			start := time.Now()
			whole(is, e, stream)
			is.True(time.Since(start) >= 10*testTokens*time.Millisecond)
		}},
		"cut": {EngineFaults{CutAfterTokens: 2}, func(is *is.I, e *testEngine, stream bool) {
			text, _, ok := e.chat(t.Context(), t, stream, "request-id=a", 0)
			is.True(!ok)
			is.True(!stream || text == Text(e.digest, UserPrompt("request-id=a"), 2))
		}},
		"claimed set": {EngineFaults{WrongSet: WrongSetClaimed}, func(is *is.I, e *testEngine, stream bool) {
			_, sets, _ := e.chat(t.Context(), t, stream, "a", 0)
			is.Equal(sets, []string{wrongSetID})
		}},
		"set changes": {EngineFaults{WrongSet: WrongSetMidway}, func(is *is.I, e *testEngine, stream bool) {
			text, sets, ok := e.chat(t.Context(), t, stream, "a", 0)
			is.True(ok)
			is.Equal(sets[len(sets)-1], wrongSetID)
			is.True(text != Text(e.digest, UserPrompt("a"), testTokens))
		}},
		"stall": {EngineFaults{Stall: true}, func(is *is.I, e *testEngine, stream bool) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, _, ok := e.chat(ctx, t, stream, "a", 0)
			is.True(!ok)
			health, err := e.do(t.Context(), t, http.MethodGet, "/health", nil)
			is.NoErr(err)
			is.NoErr(health.Body.Close())
			is.Equal(health.StatusCode, http.StatusOK)
			_, err = e.do(t.Context(), t, http.MethodDelete, PathFaults, nil)
			is.NoErr(err)
			whole(is, e, stream)
		}},
		"unhealthy": {EngineFaults{Unhealthy: true}, func(is *is.I, e *testEngine, stream bool) {
			health, err := e.do(t.Context(), t, http.MethodGet, "/health", nil)
			is.NoErr(err)
			is.NoErr(health.Body.Close())
			is.Equal(health.StatusCode, http.StatusServiceUnavailable)
			whole(is, e, stream)
		}},
	}
	for name, c := range cases {
		for _, stream := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				e := startEngine(t, nil)
				response, err := e.do(t.Context(), t, http.MethodPost, PathFaults, c.faults)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(response.StatusCode, http.StatusOK)
				c.check(is, e, stream)
			})
		}
	}
}

// Guards against a crash fault that does not end the process, or that is
// triggered by prompts without the marker.
func TestEngineCrashMarker(t *testing.T) {
	is := is.New(t)
	var exits atomic.Int32
	e := startEngine(t, func(c *EngineConfig) {
		c.Exit = func() { exits.Add(1) }
		c.Faults.CrashMarker = "boom"
	})
	_, _, ok := e.chat(t.Context(), t, true, "fine", 0)
	is.True(ok)
	_, _, ok = e.chat(t.Context(), t, true, "boom", 0)
	is.True(!ok)
	is.Equal(exits.Load(), int32(1))
}

// Guards against an engine that accepts an old fencing token with CheckFence, or
// rejects it without.
func TestEngineFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		is := is.New(t)
		e := startEngine(t, func(c *EngineConfig) { c.CheckFence = checks })
		is.Equal(e.order(t, 5, "unload", "1", ""), http.StatusOK)
		status := e.order(t, 4, "load", "1", e.objects)
		is.Equal(status == http.StatusConflict, checks)
		response, err := e.do(t.Context(), t, http.MethodGet, "/engine/sets", nil)
		is.NoErr(err)
		var report SetsReport
		is.NoErr(json.NewDecoder(response.Body).Decode(&report))
		is.NoErr(response.Body.Close())
		is.Equal(report.Fence, uint64(5))
		is.Equal(len(report.Sets) == 1, !checks)
	}
}

// Guards against an engine that loads incomplete or corrupt files, which would
// hide an agent that orders a load before its files are complete.
func TestEngineRefusesBadFiles(t *testing.T) {
	first := filepath.Join("quote", "1", "model-00001-of-00002.safetensors")
	cases := map[string]func(path string) error{
		"missing shard": os.Remove,
		"truncated":     func(path string) error { return os.Truncate(path, 1000) },
		"corrupt header": func(path string) error {
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			data[8] = 0xff // the brace that opens the header
			return os.WriteFile(path, data, 0o600)
		},
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startEngine(t, nil)
			is.Equal(e.order(t, 1, "unload", "1", ""), http.StatusOK)
			is.NoErr(damage(filepath.Join(e.objects, first)))
			is.Equal(e.order(t, 1, "load", "1", e.objects), http.StatusUnprocessableEntity)
		})
	}
}

// Guards against a load that changes the weights of an answer in progress, and
// against versions that give the same answers.
func TestEngineSwitchesAtomically(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, func(c *EngineConfig) { c.PerToken = 30 * time.Millisecond })
	objects, second := writeTestWeights(t, t.TempDir(), "2", 2)
	prompt := strings.Repeat("a", 2*cacheBlockBytes)
	type answer struct {
		text string
		sets []string
	}
	old := make(chan answer)
	go func() {
		text, sets, _ := e.chat(t.Context(), t, true, prompt, 0)
		old <- answer{text, sets}
	}()
	for len(e.engine.cache.since(0, time.Now())) == 0 { // the request selects its weights before it caches its prompt
		time.Sleep(time.Millisecond)
	}
	is.Equal(e.order(t, 1, "load", "2", objects), http.StatusOK)
	text, sets, ok := e.chat(t.Context(), t, true, "a", 0)
	is.True(ok)
	is.Equal(sets, []string{"set-2"})
	is.Equal(text, Text(second, UserPrompt("a"), testTokens))
	before := <-old
	is.Equal(before.sets, []string{"set-1"})
	is.Equal(before.text, Text(e.digest, UserPrompt(prompt), testTokens))
}

// Guards against a resumed stream that repeats or skips a token.
func TestEngineResume(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, nil)
	text, _, ok := e.chat(t.Context(), t, true, "a", 4)
	is.True(ok)
	full := Text(e.digest, UserPrompt("a"), testTokens)
	is.Equal(text, strings.TrimPrefix(full, Text(e.digest, UserPrompt("a"), 4)))
}

// Guards against batch slots that leak when a waiting request is cancelled, and
// against requests admitted before others of higher priority.
func TestBatch(t *testing.T) {
	is := is.New(t)
	b := newBatch(1)
	is.NoErr(b.acquire(t.Context(), 0))
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(b.acquire(cancelled, 9) != nil)
	order := make(chan int, 2)
	for i, priority := range []int{1, 5} {
		go func() {
			if b.acquire(t.Context(), priority) == nil {
				order <- priority
				b.release()
			}
		}()
		for waiting := 0; waiting <= i; _, waiting = b.load() {
			time.Sleep(time.Millisecond)
		}
	}
	b.release()
	is.Equal([]int{<-order, <-order}, []int{5, 1})
	for running := 1; running > 0; running, _ = b.load() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against delays that do not grow with load, and against load reports
// that ignore ReportLag.
func TestEngineLoad(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, func(c *EngineConfig) { c.ReportLag = time.Hour })
	report := func() (r LoadReport) {
		response, err := e.do(t.Context(), t, http.MethodGet, "/engine/load", nil)
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		is.NoErr(json.NewDecoder(response.Body).Decode(&r))
		return r
	}
	is.Equal(report().Running, 0)
	is.Equal(e.engine.delay(time.Second), time.Second)
	for range e.engine.cfg.Capacity {
		is.NoErr(e.engine.batch.acquire(t.Context(), 0))
	}
	is.Equal(e.engine.delay(time.Second), 2*time.Second)
	is.Equal(report().Running, 0) // still the cached report, because ReportLag is one hour
}

// Guards against cache events that ignore the lag or the drop setting, and
// against a prefix cache that never hits or hits for other weights.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	c := newPrefixCache(4, 3)
	now := time.Unix(1000, 0)
	prompt := strings.Repeat("x", 3*cacheBlockBytes)
	is.Equal(c.use("set-1", prompt, now), 0.0)
	is.Equal(c.use("set-1", prompt, now), 1.0)
	is.Equal(c.use("set-2", prompt, now), 0.0) // other weights; evicts two blocks
	events := c.since(0, now)
	is.Equal(len(events), 6) // 8 events, of which the third and sixth are lost
	is.Equal(events[2].Sequence, uint64(4))
	is.Equal(len(c.since(0, now.Add(-time.Second))), 0)
}

// Guards against weights that differ between runs with the same spec, and against
// versions that share too few or too many chunks.
func TestWriteWeights(t *testing.T) {
	is := is.New(t)
	spec := WeightsSpec{Dir: t.TempDir(), Name: "quote", Version: "1", Shards: 2, Size: 6 * manifest.ChunkBytes, Seed: 7, ChangedEvery: 4}
	first, err := WriteWeights(spec)
	is.NoErr(err)
	again, err := WriteWeights(spec)
	is.NoErr(err)
	is.Equal(first, again)
	spec.Version, spec.ChangedSeed = "2", 8
	second, err := WriteWeights(spec)
	is.NoErr(err)
	chunks := func(id release.Digest) map[release.Digest]bool {
		data, err := os.ReadFile(filepath.Join(spec.Dir, manifestsDir, id.Hex()))
		is.NoErr(err)
		m, err := manifest.Decode(data, id)
		is.NoErr(err)
		found := map[release.Digest]bool{}
		for _, c := range m.Chunks() {
			found[c.Digest] = true
		}
		return found
	}
	old, shared := chunks(first), 0
	for digest := range chunks(second) {
		if old[digest] {
			shared++
		}
	}
	is.Equal(len(old), 8)
	is.Equal(shared, 6)
}
