package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against a service that miscounts executions, especially around a crash:
// tests would then miss duplicate executions or report false ones.
func TestServiceFaults(t *testing.T) {
	cases := map[string]struct {
		faults     ServiceFaults
		body       string
		answered   bool
		executions int
		exits      int32
	}{
		"none":         {ServiceFaults{}, "x", true, 1, 0},
		"slow":         {ServiceFaults{SlowMs: 50}, "x", true, 1, 0},
		"crash before": {ServiceFaults{Crash: CrashBefore}, "x", false, 0, 1},
		"crash after":  {ServiceFaults{Crash: CrashAfter}, "x", false, 1, 1},
		"other marker": {ServiceFaults{Crash: CrashAfter, CrashMarker: "boom"}, "x", true, 1, 0},
		"marker":       {ServiceFaults{Crash: CrashAfter, CrashMarker: "boom"}, "boom", false, 1, 1},
		"cut":          {ServiceFaults{Cut: true}, "x", false, 1, 0},
		"status":       {ServiceFaults{Status: http.StatusTeapot}, "x", false, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var exits atomic.Int32
			cfg := ServiceConfig{
				Name: "dispatch", Journal: filepath.Join(t.TempDir(), "journal"), Faults: c.faults,
				Exit: func() { exits.Add(1) },
			}
			service, err := NewService(cfg)
			is.NoErr(err)
			server := httptest.NewServer(service.Handler())
			start := time.Now()
			is.Equal(callService(t, server, c.body), c.answered)
			is.True(time.Since(start) >= time.Duration(c.faults.SlowMs)*time.Millisecond)
			server.Close()
			is.NoErr(service.Close())
			is.Equal(exits.Load(), c.exits)

			cfg.Faults = ServiceFaults{}
			restarted, err := NewService(cfg)
			is.NoErr(err)
			server = httptest.NewServer(restarted.Handler())
			is.Equal(restarted.Executions().Keys["key-1"], c.executions)
			is.True(callService(t, server, c.body))
			is.Equal(restarted.Executions(), Executions{c.executions + 1, map[string]int{"key-1": c.executions + 1}})
			server.Close()
			is.NoErr(restarted.Close())
		})
	}
}

// callService reports whether a call got a complete answer.
func callService(t *testing.T, server *httptest.Server, body string) bool {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/orders", strings.NewReader(body))
	is.New(t).NoErr(err)
	request.Header.Set(wire.HeaderIdempotencyKey, "key-1")
	response, err := server.Client().Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var answer ServiceAnswer
	return json.NewDecoder(response.Body).Decode(&answer) == nil && response.StatusCode == http.StatusOK &&
		answer.Key == "key-1" && answer.Path == "/orders"
}

// Guards against misspelled switches that are silently ignored.
func TestFaultsAreStrict(t *testing.T) {
	is := is.New(t)
	_, err := ParseFaults[EngineFaults](`{"stal":true}`)
	is.True(err != nil)
	service, err := NewService(ServiceConfig{})
	is.NoErr(err)
	for body, want := range map[string]int{`{"slw_ms":1}`: http.StatusBadRequest, `{"slow_ms":1}`: http.StatusOK} {
		w := httptest.NewRecorder()
		service.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, PathFaults, strings.NewReader(body)))
		is.Equal(w.Code, want)
	}
}
