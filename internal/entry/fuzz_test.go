package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

// Guards against stream events that make the entry panic, and against events that
// cannot be parsed after their identifier was replaced on a resume.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: null\n\n"))
	f.Add([]byte("data:\ndata: {}\r\n\r\n: comment\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		events := newEventReader(bytes.NewReader(data))
		for {
			raw, text, err := events.next()
			if err != nil {
				return
			}
			if !bytes.Contains(data, raw) {
				t.Fatalf("event %q is not in the input", raw)
			}
			var chunk chatChunk
			if json.Unmarshal(text, &chunk) != nil {
				continue
			}
			_, _ = chunk.hasToken(), chunk.finished()
			checkRenamed(t, withResponseID(raw, text, "other"))
		}
	})
}

func checkRenamed(t *testing.T, raw []byte) {
	t.Helper()
	_, text, err := newEventReader(bytes.NewReader(raw)).next()
	var chunk chatChunk
	if err != nil || json.Unmarshal(text, &chunk) != nil {
		t.Fatalf("%q is not a valid event: %v", raw, err)
	}
}

// Guards against a request body or headers that make the entry panic.
func FuzzChatBody(f *testing.F) {
	f.Add([]byte(`{"model":"quote-large","messages":[{"role":"user"}],"stream":true}`), "1000", "-1")
	f.Add([]byte("null"), "", "")
	f.Fuzz(func(t *testing.T, body []byte, deadline, priority string) {
		e := &Entry{settings: DefaultSettings()}
		r := httptest.NewRequest(http.MethodPost, pathChat, bytes.NewReader(body))
		r.Header.Set(wire.HeaderDeadline, deadline)
		r.Header.Set(wire.HeaderPriority, priority)
		c, refused := e.newCall(httptest.NewRecorder(), r)
		if refused != nil {
			return
		}
		_ = c.lowPriority()
		_ = quarantine.Fingerprint(pathChat, c.body)
		var chat chatBody
		if json.Unmarshal(c.body, &chat) != nil {
			return
		}
		c.relayedTokens = 3
		if !json.Valid(c.attemptBody()) {
			t.Fatal("the body with resume_from_token is not valid JSON")
		}
	})
}

// Guards against messages from other entries that make the entry panic.
func FuzzEntryMessages(f *testing.F) {
	f.Add([]byte(`{"fingerprint":"f","endpoint":"e","crashed":true}`))
	f.Add([]byte(`{"name":"entry-b","pools":{"m":{}}}`))
	f.Add([]byte(`{"fingerprint":"f","holder":"a.1.1","for_ms":1000}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e := &Entry{suspects: newSuspects(), fleet: newFleet(balancer.Config{}, subsetRule{})}
		w := httptest.NewRecorder()
		e.serveLoss(w, httptest.NewRequest(http.MethodPost, pathLosses, bytes.NewReader(data)))
		if w.Code != http.StatusOK && w.Code != http.StatusBadRequest {
			t.Fatalf("status %d", w.Code)
		}
		w = httptest.NewRecorder()
		e.serveReservation(w, httptest.NewRequest(http.MethodPost, pathReservations, bytes.NewReader(data)))
		if w.Code != http.StatusOK && w.Code != http.StatusBadRequest {
			t.Fatalf("status %d", w.Code)
		}
		var u usage
		_ = json.Unmarshal(data, &u)
	})
}
