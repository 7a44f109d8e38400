package entry

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

// States in the response to GET /v1/outcomes/{key}.
const (
	keyDone       = "done"
	keyUnknown    = "unknown"
	keyRunning    = "running"
	keyExpired    = "expired"
	keyNotClaimed = "not-claimed"
)

// outcomeResponse reports the state of the call with an idempotency key. The state
// "not-claimed" does not prove that the call did not run: its claim may not have
// been committed yet.
type outcomeResponse struct {
	Key     string `json:"key"`
	State   string `json:"state"`
	Attempt string `json:"attempt,omitempty"`
	// Status is the HTTP status of the recorded response.
	Status int `json:"status,omitempty"`
}

func (e *Entry) serveOutcome(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	ctx, cancel := context.WithTimeout(r.Context(), claimTimeout)
	defer cancel()
	result, err := e.control.Propose(ctx, ledger.Command{Lookup: &ledger.LookupClaim{Organisation: claimOrganisation(r.Header), Key: key}})
	if err != nil {
		e.refuse(w, claimsUnavailable("claims cannot be read now"))
		return
	}
	response := outcomeResponse{Key: key, Attempt: result.Owner}
	status := http.StatusOK
	switch {
	case result.Status == ledger.StatusCompleted && result.Complete != nil:
		response.State, response.Status = keyUnknown, result.Complete.Status
		if outcome.Outcome(result.Complete.Outcome) == outcome.Done {
			response.State = keyDone
		}
	case result.Status == ledger.StatusDuplicate && e.attemptRunning(ctx, result.Owner):
		response.State = keyRunning
	case result.Status == ledger.StatusDuplicate:
		response.State = keyUnknown
	case result.Status == ledger.StatusExpired:
		response.State, status = keyExpired, http.StatusGone
	default:
		response.State, status = keyNotClaimed, http.StatusNotFound
	}
	if response.State == keyDone || response.State == keyUnknown {
		w.Header().Set(wire.HeaderOutcome, response.State)
		w.Header().Set(wire.HeaderAttempt, response.Attempt)
	}
	writeJSON(w, status, response)
}
