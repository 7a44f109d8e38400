package loadtool

import (
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMaxMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits    = 3
	maxExamples        = 20
)

// Latency holds the count and the percentiles of a histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// RequestCounts holds the number of sent and completed requests of one
// organisation or model.
type RequestCounts struct {
	Sent int `json:"sent"`
	Done int `json:"done"`
}

// Summary holds the counts, violations and latencies of a run.
type Summary struct {
	Mode          string    `json:"mode"`
	Started       time.Time `json:"started"`
	Seconds       float64   `json:"seconds"` // from the start to the end of the run
	Seed          uint64    `json:"seed"`
	Rate          float64   `json:"rate"`
	Due           int       `json:"due"`
	Sent          int       `json:"sent"`
	Skipped       int       `json:"skipped"` // due while MaxInFlight requests were in flight
	DonePerSecond float64   `json:"done_per_second"`

	Outcomes      map[string]int            `json:"outcomes"`
	Reasons       map[string]int            `json:"reasons"` // "outcome/reason"
	Violations    map[string]int            `json:"violations"`
	Examples      []string                  `json:"violation_examples,omitempty"`
	Organisations map[string]*RequestCounts `json:"organisations"`
	Models        map[string]*RequestCounts `json:"models,omitempty"`
	Sets          map[string]int            `json:"weights_sets,omitempty"` // complete answers by set

	FirstToken    Latency `json:"first_token"`
	BetweenTokens Latency `json:"between_tokens"`
	Whole         Latency `json:"whole_answer"`
	Refusal       Latency `json:"refusal"` // until a "not run" response

	Lookups       int `json:"address_lookups"`
	FailedLookups int `json:"lookups_failed"` // failed lookups of addresses and outcomes
	Failovers     int `json:"failovers"`      // attempts for which no connection could be opened
	Resent        int `json:"resent,omitempty"`
	Executions    int `json:"executions,omitempty"`
}

// OK reports whether the run had no violations and at least the share minDone of
// the due requests, including skipped ones, was done.
func (s Summary) OK(minDone float64) bool {
	return len(s.Violations) == 0 && float64(s.Outcomes[outcomeDone]) >= minDone*float64(s.Due)
}

// recorder collects the data of a Summary. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	summary Summary
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	whole   *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

func newRecorder(mode string, cfg Config) *recorder {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMaxMicros, histogramDigits) }
	return &recorder{
		first: newHistogram(), between: newHistogram(), whole: newHistogram(), refusal: newHistogram(),
		summary: Summary{
			Mode: mode, Started: time.Now(), Seed: cfg.Seed, Rate: cfg.Rate,
			Outcomes: map[string]int{}, Reasons: map[string]int{}, Violations: map[string]int{},
			Organisations: map[string]*RequestCounts{}, Models: map[string]*RequestCounts{}, Sets: map[string]int{},
		},
	}
}

// update calls change while holding the lock.
func (r *recorder) update(change func(*Summary)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.summary)
}

func (r *recorder) observe(h *hdrhistogram.Histogram, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMaxMicros))
}

// end records the result of a request.
func (r *recorder) end(organisation, model string, result result) {
	r.update(func(s *Summary) {
		s.Outcomes[result.outcome]++
		if result.reason != "" {
			s.Reasons[result.outcome+"/"+result.reason]++
		}
		for name, parts := range map[string]map[string]*RequestCounts{organisation: s.Organisations, model: s.Models} {
			if name == "" {
				continue
			}
			if parts[name] == nil {
				parts[name] = &RequestCounts{}
			}
			parts[name].Sent++
			if result.outcome == outcomeDone {
				parts[name].Done++
			}
		}
	})
}

func (r *recorder) violation(name, detail string) {
	r.update(func(s *Summary) {
		s.Violations[name]++
		if len(s.Examples) < maxExamples {
			s.Examples = append(s.Examples, name+": "+detail)
		}
	})
}

func (r *recorder) finish() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summary
	s.Seconds = time.Since(s.Started).Seconds()
	s.DonePerSecond = float64(s.Outcomes[outcomeDone]) / s.Seconds
	s.FirstToken, s.BetweenTokens = latencyOf(r.first), latencyOf(r.between)
	s.Whole, s.Refusal = latencyOf(r.whole), latencyOf(r.refusal)
	return s
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
	}
	return Latency{Count: h.TotalCount(), P50: ms(50), P90: ms(90), P95: ms(95), P99: ms(99), Max: ms(100)}
}
