package metrics

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against reasons that are not exported until they first occur.
func TestReasonsStartAtZero(t *testing.T) {
	is := is.New(t)
	registry := NewRegistry()
	reasons := NewReasonCounter(registry, "test", "refusals_total", "Refusals.", []string{"over-share", "deadline"})
	reasons.Inc("deadline")
	reasons.Inc("new")
	w := httptest.NewRecorder()
	AdminHandler(registry, func() error { return nil }).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`rhubarb_test_refusals_total{reason="over-share"} 0`,
		`rhubarb_test_refusals_total{reason="deadline"} 1`,
		`rhubarb_test_refusals_total{reason="new"} 1`,
	} {
		is.True(strings.Contains(w.Body.String(), line))
	}
}

// Guards against a daemon that reports ready while it does not serve.
func TestReadiness(t *testing.T) {
	is := is.New(t)
	var notReady error
	handler := AdminHandler(NewRegistry(), func() error { return notReady })
	status := func(path string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	is.Equal(status("/readyz"), http.StatusNoContent)
	notReady = errors.New("no lease")
	is.Equal(status("/readyz"), http.StatusServiceUnavailable)
	is.Equal(status("/livez"), http.StatusNoContent)
}

// Guards against a change of the format of prometheus.Desc.String, on which
// docs/metrics.md depends.
func TestDescribe(t *testing.T) {
	is := is.New(t)
	described := Describe(
		prometheus.NewCounterVec(prometheus.CounterOpts{Name: "b", Help: `Says "x".`}, []string{"k", "l"}),
		prometheus.NewGauge(prometheus.GaugeOpts{Name: "a", Help: "Plain."}),
		prometheus.NewGauge(prometheus.GaugeOpts{Name: "c", ConstLabels: prometheus.Labels{"way": "in"}}),
		prometheus.NewGauge(prometheus.GaugeOpts{Name: "c", ConstLabels: prometheus.Labels{"way": "out"}}),
	)
	is.Equal(len(described), 3)
	is.Equal(described[0], Description{Name: "a", Help: "Plain."})
	is.Equal(described[1].Labels, []string{"k", "l"})
	is.Equal(described[2].Labels, []string{"way"})
	is.True(strings.Contains(MarkdownTable(described), "| `a` |  | Plain. |\n"))
}
