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

// Moments at which a service crashes.
const (
	CrashBefore = "before" // before the effect
	CrashAfter  = "after"  // after the effect, before the answer
)

// ServiceFaults are the fault switches of a plain service.
type ServiceFaults struct {
	SlowMs int `json:"slow_ms,omitempty"`
	// Crash is CrashBefore or CrashAfter; CrashMarker limits it to requests
	// whose body contains the text.
	Crash       string `json:"crash,omitempty"`
	CrashMarker string `json:"crash_marker,omitempty"`
	// Cut closes the connection after half of the answer.
	Cut bool `json:"cut,omitempty"`
	// Status answers with this status and has no effect.
	Status int `json:"status,omitempty"`
}

// ServiceConfig configures a plain service.
type ServiceConfig struct {
	Name string
	// Journal is a file that keeps executions over a restart; empty keeps them
	// in memory only.
	Journal string
	// Exit ends the process on a crash fault.
	Exit   func()
	Faults ServiceFaults
}

// Executions is what GET /executions answers.
type Executions struct {
	Total int            `json:"total"`
	Keys  map[string]int `json:"executions"` // by idempotency key
}

// ServiceAnswer is the body of an answer.
type ServiceAnswer struct {
	Service    string `json:"service"`
	Path       string `json:"path"`
	Key        string `json:"key,omitempty"`
	Execution  int    `json:"execution"` // 1 for the first one of the key
	BodySHA256 string `json:"body_sha256"`
}

// Service is a plain service whose effects are counted.
type Service struct {
	cfg      ServiceConfig
	switches *Switches[ServiceFaults]

	mu         sync.Mutex
	journal    *os.File
	executions Executions
}

// NewService returns a service that knows the executions in its journal.
func NewService(cfg ServiceConfig) (*Service, error) {
	s := &Service{cfg: cfg, switches: NewSwitches(cfg.Faults), executions: Executions{Keys: map[string]int{}}}
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

// Handler serves calls on every path but the stand-in's own.
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
	// An accepted call runs to its end even when the caller goes away.
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
		cutAnswer(w, answer)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// exit ends the process, or the connection when Exit returns.
func (s *Service) exit() {
	if s.cfg.Exit != nil {
		s.cfg.Exit()
	}
	panic(http.ErrAbortHandler)
}

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

func (s *Service) record(key string) int {
	s.executions.Total++
	if key == "" {
		return 1
	}
	s.executions.Keys[key]++
	return s.executions.Keys[key]
}

// cutAnswer sends half of an answer and closes the connection.
func cutAnswer(w http.ResponseWriter, answer any) {
	data, err := json.Marshal(answer)
	if err == nil {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}
