package control

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/raft"
)

// A frame of another replica, be it a hello or a Raft message, must not crash a
// replica.
func FuzzPeerFrame(f *testing.F) {
	message, err := raft.EncodeMessage(raft.Message{Kind: raft.MsgVote, From: "b", To: "a", Term: 1})
	if err != nil {
		f.Fatal(err)
	}
	for _, frame := range []peerFrame{{Raft: message}, {Hello: &hello{ID: "1", Name: "b", Address: "10.0.0.1:1"}}} {
		data, err := wire.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var frame peerFrame
		if wire.Unmarshal(data, &frame) != nil {
			return
		}
		if frame.Hello != nil {
			p := &peers{byName: map[string]peer{}, byID: map[string]string{}, dialers: map[string]*dialer{}}
			p.RecordHello(*frame.Hello, time.Unix(0, 0))
		}
		_, _ = raft.DecodeMessage(frame.Raft)
	})
}

// A request body of the operator API must not crash a replica. It must either
// be a note or get an error response.
func FuzzOperatorNote(f *testing.F) {
	f.Add([]byte("note: 1\nmodels:\n  add:\n    - name: m\n      version: \"1\"\n"))
	f.Add([]byte("note: 1.5\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		w := httptest.NewRecorder()
		_, ok := readNote(w, httptest.NewRequest(http.MethodPost, "/v1/notes", bytes.NewReader(data)))
		if ok != (w.Body.Len() == 0) {
			t.Fatalf("note read: %v, answer %q", ok, w.Body)
		}
		if !ok && w.Code != http.StatusBadRequest {
			t.Fatalf("status %d", w.Code)
		}
	})
}
