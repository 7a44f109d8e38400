package standin

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const maxServiceBody = 8 << 20

// Values of ServiceFaults.Crash.
const (
	CrashBefore = "before" // before the call is executed and recorded
	CrashAfter  = "after"  // after the call is recorded, before the answer
)

// ServiceFaults are the fault switches of a plain service.
type ServiceFaults struct {
	// SlowMs delays the execution of every call.
	SlowMs int `json:"slow_ms,omitempty"`
	// Crash is CrashBefore, CrashAfter or empty. CrashMarker limits it to requests
	// whose body contains the marker.
	Crash       string `json:"crash,omitempty"`
	CrashMarker string `json:"crash_marker,omitempty"`
	// Cut closes the connection after half of the answer has been sent.
	Cut bool `json:"cut,omitempty"`
	// Status, if not 0, is returned for every call, and the call is not executed.
	Status int `json:"status,omitempty"`
}

// ServiceConfig configures a plain service.
type ServiceConfig struct {
	Name string
	// Journal is a file that preserves executions across restarts. If it is
	// empty, they are kept in memory only.
	Journal string
	// Exit is called on a crash fault to end the process. If it is nil or
	// returns, only the connection is aborted.
	Exit   func()
	Faults ServiceFaults
}

// Executions is the response body of GET /executions.
type Executions struct {
	Total int            `json:"total"`
	Keys  map[string]int `json:"executions"` // by idempotency key
}

// ServiceAnswer is the response body of a call.
type ServiceAnswer struct {
	Service    string `json:"service"`
	Path       string `json:"path"`
	Key        string `json:"key,omitempty"`
	Execution  int    `json:"execution"` // 1 for the first execution with this key
	BodySHA256 string `json:"body_sha256"`
}

// Service is a test double of a plain service. It counts the executions of each
// idempotency key.
type Service struct {
	cfg      ServiceConfig
	switches *FaultSwitches[ServiceFaults]

	mu         sync.Mutex
	journal    *os.File
	executions Executions
}

// NewService returns a service and restores the executions from its journal.
func NewService(cfg ServiceConfig) (*Service, error) {
	s := &Service{cfg: cfg, switches: NewFaultSwitches(cfg.Faults), executions: Executions{Keys: map[string]int{}}}
	if cfg.Journal == "" {
		return s, nil
	}
	f, err := os.OpenFile(cfg.Journal, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, oops.In("standin").Wrap(err)
	}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		s.record(lines.Text())
	}
	s.journal = f
	return s, nil
}

// Close closes the journal.
func (s *Service) Close() error {
	if s.journal == nil {
		return nil
	}
	return oops.In("standin").Wrap(s.journal.Close())
}

// Handler serves the fault switches, /health and /executions, and treats a
// request for any other path as a call.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle(PathFaults, s.switches)
	router.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/executions", s.serveExecutions).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.serveCall)
	return router
}

// Executions returns a copy of the executions.
func (s *Service) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make(map[string]int, len(s.executions.Keys))
	for k, n := range s.executions.Keys {
		keys[k] = n
	}
	return Executions{Total: s.executions.Total, Keys: keys}
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Executions())
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServiceBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.switches.Get()
	if faults.Status != 0 {
		http.Error(w, "fault switch", faults.Status)
		return
	}
	crash := faults.Crash
	if !bytes.Contains(body, []byte(faults.CrashMarker)) {
		crash = ""
	}
	// An accepted call runs to completion even if the client disconnects, so the
	// delay ignores the request context.
	time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
	if crash == CrashBefore {
		s.exit()
	}
	key := r.Header.Get(wire.HeaderIdempotencyKey)
	execution, err := s.execute(key)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if crash == CrashAfter {
		s.exit()
	}
	sum := sha256.Sum256(body)
	answer := ServiceAnswer{s.cfg.Name, r.URL.Path, key, execution, hex.EncodeToString(sum[:])}
	if faults.Cut {
		writeTruncated(w, answer)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// exit ends the process. If Exit is nil or returns, it aborts the connection.
func (s *Service) exit() {
	if s.cfg.Exit != nil {
		s.cfg.Exit()
	}
	panic(http.ErrAbortHandler)
}

// execute appends the call to the journal and returns the number of executions
// of its key.
func (s *Service) execute(key string) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.journal != nil {
		line := strings.ReplaceAll(key, "\n", " ") + "\n"
		if _, err := s.journal.WriteString(line); err != nil {
			return 0, oops.In("standin").Wrap(err)
		}
	}
	return s.record(key), nil
}

// record counts an execution. The caller holds s.mu or has exclusive access.
func (s *Service) record(key string) int {
	s.executions.Total++
	if key == "" {
		return 1
	}
	s.executions.Keys[key]++
	return s.executions.Keys[key]
}

// writeTruncated sends the first half of an answer and aborts the connection.
func writeTruncated(w http.ResponseWriter, answer any) {
	data, err := json.Marshal(answer)
	if err == nil {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}
