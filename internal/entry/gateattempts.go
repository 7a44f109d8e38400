package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Attempt states reported by gates.
const (
	stateUnknown = "unknown"
	stateRefused = "refused"
	stateFenced  = "fenced"
)

// gateAttemptResponse is a gate's response to a query about an attempt.
type gateAttemptResponse struct {
	State   string `json:"state"`
	Backend string `json:"backend"`
}

// attemptState queries a gate for the state of an attempt. With POST, the gate
// also fences an attempt that has not started.
func (e *Entry) attemptState(ctx context.Context, method string, gate gateAddress, id string) (string, error) {
	response, err := e.queryGate(ctx, method, gate, id)
	return response.State, err
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
		return answer, errors.New("gate returned " + response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}

// endpointCrashed reports whether the endpoint crashed during an attempt whose
// response was cut short. The gate reports whether its backend is still the same
// process. A gate that is unreachable, restarted or does not respond in time
// counts as crashed.
func (e *Entry) endpointCrashed(c *call, f *attemptFailure) bool {
	ctx, cancel := context.WithTimeout(c.ctx, crashCheckTimeout)
	defer cancel()
	for {
		response, err := e.queryGate(ctx, http.MethodGet, f.gate, f.id)
		switch {
		case err != nil || response.State == stateUnknown || response.Backend == wire.BackendCrashed:
			return true
		case response.Backend != wire.BackendPending:
			return false
		}
		select {
		case <-ctx.Done():
			return true
		case <-time.After(crashCheckInterval):
		}
	}
}
