package agent

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rhubarbhill/rhubarbhill/gate"
	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const fuzzMaxBody = 4 << 10

// Guards against headers or a body of an attempt that crash the agent, and
// against a body that exceeds the limit.
func FuzzAttempt(f *testing.F) {
	f.Add("entry-1.2.3", "7", "1000", "3", []byte(`{"model":"m","stream":true}`))
	f.Add("entry-1.2.3", "", "", "3", []byte("null"))
	f.Add("", "-1", "99999999999999999999", "x", bytes.Repeat([]byte("["), fuzzMaxBody))
	f.Fuzz(func(t *testing.T, id, incarnation, deadline, resume string, body []byte) {
		r := httptest.NewRequest(http.MethodPost, wire.PathGateForward, bytes.NewReader(body))
		for name, value := range map[string]string{
			wire.HeaderAttempt: id, wire.HeaderGateIncarnation: incarnation,
			wire.HeaderDeadline: deadline, wire.HeaderResumeFrom: resume,
		} {
			r.Header.Set(name, value)
		}
		a, err := parseAttempt(httptest.NewRecorder(), r, fuzzMaxBody)
		if err != nil {
			return
		}
		if a.deadline < 0 || len(a.body) > fuzzMaxBody {
			t.Fatalf("deadline %v, body of %d bytes", a.deadline, len(a.body))
		}
		if a.prepareChat() == nil && !json.Valid(a.body) {
			t.Fatalf("body became %q", a.body)
		}
	})
}

// Guards against events of an engine that crash the agent, are modified in
// transit, or are forwarded in part.
func FuzzRelay(f *testing.F) {
	event := `data: {"id":"a","model":"m","system_fingerprint":"s","choices":[]}` + "\n\n"
	f.Add([]byte(event + event + "data: [DONE]\n\n"))
	f.Add([]byte("data: null\n\ndata: [DONE]\r\n\r\n"))
	f.Add([]byte(": comment\n\n" + event[:20]))
	f.Fuzz(func(t *testing.T, data []byte) {
		w := httptest.NewRecorder()
		s := &stream{
			agent: &Agent{state: newState(Settings{Capacity: 1}, time.Unix(0, 0))}, w: w,
			attempt: &attempt{request: gate.Request{Set: "s"}, model: "m"},
			header:  http.Header{engine.HeaderWeightsSet: {"s"}},
		}
		err := s.relay(bytes.NewReader(data))
		passed := w.Body.Bytes()
		if !bytes.HasPrefix(data, passed) {
			t.Fatalf("forwarded %q, which is not a prefix of the input", passed)
		}
		if whole := bytes.Contains(passed, []byte(endMarker)); err == nil && !whole {
			t.Fatalf("no error without an end marker: %q", passed)
		}
	})
}
