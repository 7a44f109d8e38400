package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

// Error types of the OpenAI API.
const (
	typeInvalid   = "invalid_request_error"
	typeAuth      = "authentication_error"
	typeRateLimit = "rate_limit_error"
	typeServer    = "server_error"
)

// apiError is the error response that ends a request without a complete result.
type apiError struct {
	status     int
	outcome    outcome.Outcome
	reason     outcome.Reason
	message    string
	retryAfter time.Duration
}

func refusal(status int, reason outcome.Reason, message string) *apiError {
	return &apiError{status: status, outcome: outcome.NotRun, reason: reason, message: message}
}

func (a *apiError) Error() string { return string(a.reason) + ": " + a.message }

func (a *apiError) withRetryAfter(after time.Duration) *apiError {
	a.retryAfter = after
	return a
}

// errorBody is an error in the OpenAI format, with the outcome added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Param   *string         `json:"param"`
	Code    string          `json:"code"`
	Outcome outcome.Outcome `json:"outcome"`
}

func (a *apiError) body() errorBody {
	return errorBody{errorDetail{
		Message: a.message, Type: a.errorType(), Code: a.code(), Outcome: a.outcome,
	}}
}

// code returns the OpenAI error code where that API defines one, else the reason.
func (a *apiError) code() string {
	if a.reason == outcome.UnknownModel {
		return "model_not_found"
	}
	return string(a.reason)
}

func (a *apiError) errorType() string {
	switch {
	case a.status == http.StatusUnauthorized:
		return typeAuth
	case a.status == http.StatusTooManyRequests:
		return typeRateLimit
	case a.status >= http.StatusInternalServerError:
		return typeServer
	default:
		return typeInvalid
	}
}

// setRetryAfter sets Retry-After, rounded up to at least one whole second.
func setRetryAfter(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(after.Seconds())))))
	}
}

// write sends the error as the response.
func (a *apiError) write(w http.ResponseWriter, attempt string) {
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(a.outcome))
	h.Set(wire.HeaderReason, string(a.reason))
	if attempt != "" {
		h.Set(wire.HeaderAttempt, attempt)
	}
	setRetryAfter(h, a.retryAfter)
	writeJSON(w, a.status, a.body())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
