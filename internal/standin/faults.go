package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/samber/oops"
)

// PathFaults shows (GET), changes (POST, only the fields given) and resets
// (DELETE) the fault switches of a stand-in.
const PathFaults = "/standin/faults"

const maxFaultsBytes = 64 << 10

// FaultSwitches holds the fault switches F of a stand-in. It is safe for
// concurrent use.
type FaultSwitches[F any] struct {
	mu      sync.Mutex
	current F
	changed chan struct{}
}

// NewFaultSwitches returns switches with the given initial value.
func NewFaultSwitches[F any](start F) *FaultSwitches[F] {
	return &FaultSwitches[F]{current: start, changed: make(chan struct{})}
}

// ParseFaults decodes fault switches from JSON and rejects unknown fields. Empty
// text means no faults.
func ParseFaults[F any](text string) (F, error) {
	var f F
	if text == "" {
		return f, nil
	}
	err := decodeStrict([]byte(text), &f)
	return f, err
}

// Get returns the current switches.
func (s *FaultSwitches[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Changed returns the current switches and a channel that is closed at the next
// update.
func (s *FaultSwitches[F]) Changed() (F, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.changed
}

// Update applies change to the switches and closes the channel returned by
// Changed.
func (s *FaultSwitches[F]) Update(change func(*F)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.current)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves PathFaults.
func (s *FaultSwitches[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodDelete:
		s.Update(func(f *F) { *f = *new(F) })
	case http.MethodPost:
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
		if err == nil {
			s.Update(func(f *F) {
				changed := *f
				if err = decodeStrict(body, &changed); err == nil {
					*f = changed
				}
			})
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	default:
		http.Error(w, "use GET, POST or DELETE", http.StatusMethodNotAllowed)
		return
	}
	writeJSON(w, http.StatusOK, s.Get())
}

// decodeStrict decodes JSON and rejects unknown fields, so that a misspelled
// switch is an error.
func decodeStrict(data []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return oops.In("standin").Wrap(decoder.Decode(out))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
