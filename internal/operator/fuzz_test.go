package operator

import (
	"encoding/json"
	"io"
	"testing"
)

// Guards against answers from a control replica of another version that make
// rhubarbctl panic.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(`{"revision":1,"catalogue":{"models":{"m":{"name":"m"}},"adapters":null},"endpoints":[{"endpoint":"e"}]}`))
	f.Add([]byte(`{"sets":[{"set_id":"s","endpoints":[{}]}],"requests":[{"until":-1}]}`))
	f.Add([]byte(`{"status":"refused","problems":[{}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var (
			status     Status
			endpoints  Endpoints
			quarantine Quarantine
			outcome    Outcome
			rollout    Rollout
			note       NoteAnswer
		)
		for _, out := range []any{&status, &endpoints, &quarantine, &outcome, &rollout, &note} {
			_ = json.Unmarshal(data, out)
		}
		statusTable(io.Discard, status)
		endpointsTable(io.Discard, endpoints)
		quarantineTable(io.Discard, quarantine)
		outcomeTable(io.Discard, outcome)
		rolloutTable(io.Discard, rollout)
		_ = (&session{cli: &CLI{}, out: io.Discard}).printNote(note, nil)
	})
}
