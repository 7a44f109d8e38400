package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// States of an attempt at its gate.
const (
	stateUnknown = "unknown"
	stateRefused = "refused"
	stateFenced  = "fenced"
)

// gateAttemptResponse is what a gate tells of an attempt.
type gateAttemptResponse struct {
	State   string `json:"state"`
	Backend string `json:"backend"`
}

// attemptState asks a gate for the state of an attempt; with POST it also
// fences an attempt that has not started.
func (e *Entry) attemptState(ctx context.Context, method string, gate gateAddress, id string) (string, error) {
	answer, err := e.queryGate(ctx, method, gate, id)
	return answer.State, err
}

func (e *Entry) queryGate(ctx context.Context, method string, gate gateAddress, id string) (gateAttemptResponse, error) {
	var answer gateAttemptResponse
	request, err := http.NewRequestWithContext(ctx, method, gate.url(wire.PathGateAttempts+id), nil)
	if err != nil {
		return answer, err
	}
	request.Header.Set("Authorization", "Bearer "+e.processToken.Secret())
	gate.setHeader(request.Header)
	response, err := e.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, errors.New("status " + response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}

// endpointCrashed reports whether the endpoint was lost under an attempt whose
// answer broke off. The gate says whether its backend is still the same
// process; a gate that is gone, restarted, or silent counts as lost.
func (e *Entry) endpointCrashed(c *call, f *attemptFailure) bool {
	ctx, cancel := context.WithTimeout(c.ctx, crashCheckTimeout)
	defer cancel()
	for {
		answer, err := e.queryGate(ctx, http.MethodGet, f.gate, f.id)
		switch {
		case err != nil || answer.State == stateUnknown || answer.Backend == wire.BackendCrashed:
			return true
		case answer.Backend != wire.BackendPending:
			return false
		}
		select {
		case <-ctx.Done():
			return true
		case <-time.After(crashCheckInterval):
		}
	}
}
