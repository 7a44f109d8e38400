package engine

import (
	"bytes"
	"io"
	"net/http"
	"testing"
)

type fixedResponse []byte

func (a fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(a))}, nil
}

// Guards against a malformed engine status that crashes the agent or is partly
// used.
func FuzzSets(f *testing.F) {
	f.Add([]byte(`{"fence":1,"sets":[{"model":"m","version":"1","set_id":"s"}],"started":5}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &Client{base: "http://engine", http: &http.Client{Transport: fixedResponse(data)}}
		status, err := c.Status(t.Context())
		if err != nil && len(status.Sets) > 0 {
			t.Fatal("sets returned from a status that cannot be decoded")
		}
	})
}
