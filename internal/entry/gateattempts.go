package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// States of an attempt at its gate.
const (
	stateUnknown = "unknown"
	stateRefused = "refused"
	stateFenced  = "fenced"
)

// attemptState asks a gate for the state of an attempt; with POST it also
// fences an attempt that has not started.
func (e *Entry) attemptState(ctx context.Context, method string, gate gateAddress, id string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, method, gate.url(wire.PathGateAttempts+id), nil)
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+e.processToken.Secret())
	gate.setHeader(request.Header)
	response, err := e.client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return "", errors.New("status " + response.Status)
	}
	var answer struct {
		State string `json:"state"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.State, err
}
