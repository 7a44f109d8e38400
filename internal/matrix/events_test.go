package matrix

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
)

// step is a point on one of the four paths at which a fault can be injected.
type step string

// Steps in order, grouped by path: note, weights, request and stop.
const (
	stepReceived     step = "received"
	stepProposed     step = "proposed"
	stepSynced       step = "synced"
	stepCommitted    step = "committed"
	stepApplied      step = "applied"
	stepAcknowledged step = "acknowledged"

	stepManifest    step = "manifest"
	stepChunk       step = "chunk"
	stepVerified    step = "verified"
	stepLoadOrdered step = "load ordered"
	stepLoaded      step = "loaded"

	stepAdmitted   step = "admitted"
	stepClaimed    step = "claimed"
	stepDispatched step = "dispatched"
	stepStarted    step = "started"
	stepFirstToken step = "first token"
	stepLastToken  step = "last token"
	stepAnswered   step = "answered"

	stepAnnounced step = "announced"
	stepDrained   step = "drained"
	stepGone      step = "gone"
)

// rule injects a fault the first time that a step is reached after the system was
// armed. The function fault is passed the name of the process that reached the step.
type rule struct {
	step  step
	fault func(s *system, at string)
	fired bool
}

// reached runs the rules of a step. It is called by the goroutine that reaches the
// step, before other processes can observe the effect of the step.
func (s *system) reached(at step, process string) {
	s.mu.Lock()
	var due []*rule
	if s.armed {
		for _, r := range s.rules {
			if r.step == at && !r.fired {
				r.fired = true
				due = append(due, r)
			}
		}
	}
	s.mu.Unlock()
	for _, r := range due {
		r.fault(s, process)
	}
}

// arm enables the rules.
func (s *system) arm() {
	s.mu.Lock()
	s.armed = true
	s.mu.Unlock()
}

// eventHandler records the log events of a process and maps them to steps.
type eventHandler struct {
	system  *system
	process string
}

var stepOfEvent = map[string]step{
	"note_proposed":      stepProposed,
	"note_synced":        stepSynced,
	"note_committed":     stepCommitted,
	"note_accepted":      stepApplied,
	"catalogue_in_force": stepAcknowledged,
	"weights_verified":   stepVerified,
	"order_done":         stepLoaded,
	"claim_granted":      stepClaimed,
	"draining":           stepAnnounced,
	"drained":            stepDrained,
}

// stepOf returns the step that a log event indicates. The event "stopped" is a step
// only for entries, because control replicas log it as well.
func stepOf(process, message string) (step, bool) {
	if message == "stopped" && strings.HasPrefix(process, "entry-") {
		return stepGone, true
	}
	at, ok := stepOfEvent[message]
	return at, ok
}

// HandleLog implements log.Handler.
func (h eventHandler) HandleLog(e *log.Entry) error {
	h.system.recordEvent(h.process, e.Message, e.Fields)
	if at, ok := stepOf(h.process, e.Message); ok {
		h.system.reached(at, h.process)
	}
	return nil
}

// event is a recorded log event.
type event struct {
	at      time.Time
	process string
	message string
	fields  log.Fields
}

func (s *system) recordEvent(process, message string, fields log.Fields) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event{time.Now(), process, message, fields})
}

// logEvents logs the recorded events with the time since the first one.
func (s *system) logEvents(t *testing.T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.events {
		t.Logf("%8.3f %-13s %s %v", e.at.Sub(s.events[0].at).Seconds(), e.process, e.message, e.fields)
	}
}

// stepOfWrite maps text that one process sends to another to steps.
var stepOfWrite = []struct {
	from, to, text string
	step           step
}{
	{"operator", "control-", "POST /v1/notes HTTP", stepReceived},
	{"agent-", "origin", "GET /manifests/", stepManifest},
	{"agent-", "origin", "GET /objects/", stepChunk},
	{"agent-", "engine-", "POST /engine/orders", stepLoadOrdered},
	{"caller", "entry-", "POST /", stepAdmitted},
	{"entry-", "agent-", " /gate/", stepDispatched},
	{"engine-", "agent-", `"delta":{"`, stepFirstToken},
	{"engine-", "agent-", "[DONE]", stepLastToken},
	{"entry-", "caller", "[DONE]", stepAnswered},
}

// observeWrite records the requests sent to engines and reports the steps of a write.
func (s *system) observeWrite(from, to string, data []byte) {
	if strings.HasPrefix(to, "engine-") && bytes.Contains(data, []byte("POST /v1/chat/completions")) {
		s.mu.Lock()
		s.engineRequests = append(s.engineRequests, engineRequest{time.Now(), to, string(data)})
		s.mu.Unlock()
	}
	for _, w := range stepOfWrite {
		if strings.HasPrefix(from, w.from) && strings.HasPrefix(to, w.to) && bytes.Contains(data, []byte(w.text)) {
			s.reached(w.step, from)
		}
	}
}
