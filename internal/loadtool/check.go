package loadtool

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/rhubarbhill/rhubarbhill/internal/standin"
)

// Violations of the guarantees given to callers.
const (
	violationPartial      = "partial-answer-as-whole"
	violationOtherRequest = "answer-of-another-request"
	violationMixed        = "more-than-one-weights-set"
	violationText         = "text-does-not-match-weights"
	violationSet          = "weights-do-not-match-set"
	violationDuplicate    = "executed-more-than-once"
	violationNotRun       = "reported-not-run-but-ran"
	violationDone         = "reported-done-but-did-not-run"
	violationOutcome      = "answer-without-outcome"
	violationDeadline     = "answer-after-deadline"
	violationLookup       = "outcome-lookup-differs"
	violationRetry        = "refusal-without-retry-after"
)

// lacksRetryAfter reports whether a 429 or 503 response has no Retry-After
// header.
func lacksRetryAfter(status int, header http.Header) bool {
	return (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) &&
		header.Get("Retry-After") == ""
}

// quoteAnswer is a response that was presented as complete.
type quoteAnswer struct {
	model     string
	prompt    string // as the engine receives it
	requestID string
	tokens    int // requested length
	text      string
	finish    string
	sets      []string // distinct set ids, from the header and every chunk
}

// checker validates complete answers against each other and against the weights
// allowed for each model. It is safe for concurrent use.
type checker struct {
	allowed map[string][]standin.WeightsDigest

	mu   sync.Mutex
	seen map[string]standin.WeightsDigest // by model and set id
}

func newChecker(allowed map[string][]standin.WeightsDigest) *checker {
	return &checker{allowed: allowed, seen: map[string]standin.WeightsDigest{}}
}

// check returns the name of the violation and a description of it, or "" when
// the answer is valid.
func (c *checker) check(a quoteAnswer) (violation, detail string) {
	weights, ok := standin.WeightsOfText(a.text)
	switch {
	case a.finish != "stop" || len(strings.Fields(a.text)) != a.tokens:
		return violationPartial, fmt.Sprintf("finish %q, %d of %d tokens", a.finish, len(strings.Fields(a.text)), a.tokens)
	case !ok:
		return violationText, "no weights in the first token"
	case len(a.sets) != 1:
		return violationMixed, fmt.Sprintf("sets %q", a.sets)
	case standin.RequestID(a.text) != a.requestID:
		return violationOtherRequest, fmt.Sprintf("request %s got the answer of %s", a.requestID, standin.RequestID(a.text))
	case a.text != standin.Text(weights, a.prompt, a.tokens):
		return violationText, "tokens are not those of weights " + string(weights)
	}
	return c.checkSet(a.model, a.sets[0], weights)
}

// checkSet checks that a set id always stands for the same weights and that the
// model may have these weights.
func (c *checker) checkSet(model, set string, weights standin.WeightsDigest) (violation, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := model + " " + set
	first, known := c.seen[key]
	if !known {
		c.seen[key] = weights
	}
	if known && first != weights {
		return violationSet, fmt.Sprintf("model and set %s had weights %s and %s", key, first, weights)
	}
	if allowed := c.allowed[model]; len(allowed) > 0 && !slices.Contains(allowed, weights) {
		return violationSet, fmt.Sprintf("model %s has no version with weights %s", model, weights)
	}
	return "", ""
}
