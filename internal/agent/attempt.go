package agent

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbhill/rhubarbhill/gate"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

// attempt is an attempt that an entry sent to the gate.
type attempt struct {
	id          string // text of the attempt header
	request     gate.Request
	incarnation uint64 // of the agent that the entry addresses; zero if not given
	deadline    time.Duration
	priority    string
	resumeFrom  string
	body        []byte
	model       string // engines: model name in the body
	stream      bool   // engines: the answer is streamed
}

var errNotObject = errors.New("body is not a JSON object")

// parseAttempt reads an attempt from the headers and the body of a request. It
// returns an attempt with its id also on errors.
func parseAttempt(w http.ResponseWriter, r *http.Request, maxBody int64) (*attempt, error) {
	a := &attempt{
		id: r.Header.Get(wire.HeaderAttempt), priority: r.Header.Get(wire.HeaderPriority),
		resumeFrom: r.Header.Get(wire.HeaderResumeFrom),
	}
	id, err := parseID(a.id)
	if err != nil {
		return a, err
	}
	a.request = gate.Request{
		ID: id, Set: r.Header.Get(wire.HeaderWeightsSet),
		Fingerprint: r.Header.Get(wire.HeaderFingerprint), Exclusive: r.Header.Get(wire.HeaderAlone) == "true",
	}
	if a.incarnation, err = optionalUint(r.Header.Get(wire.HeaderGateIncarnation)); err != nil {
		return a, err
	}
	milliseconds, err := optionalUint(r.Header.Get(wire.HeaderDeadline))
	if err != nil {
		return a, err
	}
	a.deadline = time.Duration(milliseconds) * time.Millisecond
	a.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	return a, err
}

func optionalUint(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 63)
}

func parseID(text string) (gate.ID, error) {
	id, err := outcome.ParseAttemptID(text)
	return gate.ID{Entry: id.Entry, Start: id.Start, Counter: id.Counter}, err
}

// prepareChat reads the model from the body and, for a resumed stream, adds the
// index of the first token to the body.
func (a *attempt) prepareChat() error {
	var request struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(a.body, &request); err != nil {
		return err
	}
	a.model, a.stream = request.Model, request.Stream
	if a.resumeFrom == "" {
		return nil
	}
	if _, err := strconv.ParseUint(a.resumeFrom, 10, 31); err != nil {
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(a.body, &fields); err != nil {
		return err
	}
	if fields == nil { // "null" is decoded without an error
		return errNotObject
	}
	fields["resume_from_token"] = json.RawMessage(a.resumeFrom)
	body, err := json.Marshal(fields)
	a.body = body
	return err
}
