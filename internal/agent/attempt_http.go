package agent

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/gate"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// attemptReply is the response to a request about an attempt.
type attemptReply struct {
	State gate.State `json:"state"`
	// Backend is the state of the backend after the attempt broke.
	Backend string `json:"backend,omitempty"`
	// Incarnation identifies the process start of the agent.
	Incarnation uint64 `json:"incarnation"`
}

// serveAttempt looks up (GET), fences (POST) or fences and cancels (DELETE) an
// attempt.
func (a *Agent) serveAttempt(w http.ResponseWriter, r *http.Request) {
	id, err := parseID(strings.TrimPrefix(r.URL.Path, wire.PathGateAttempts))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	incarnation, err := optionalUint(r.Header.Get(wire.HeaderGateIncarnation))
	if err != nil {
		http.Error(w, wire.HeaderGateIncarnation+" is not a number", http.StatusBadRequest)
		return
	}
	reply := attemptReply{Incarnation: a.incarnation}
	switch r.Method {
	case http.MethodGet:
		a.state.mu.Lock()
		reply.State = a.state.gate.Lookup(id)
		a.state.mu.Unlock()
		reply.Backend = a.crashes.backendState(id)
	case http.MethodPost, http.MethodDelete:
		reply.State = a.state.fence(id, incarnation == a.incarnation, r.Method == http.MethodDelete)
	default:
		http.Error(w, "use GET, POST or DELETE", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
