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

// Guards against reports of an engine that crash the agent.
func FuzzSets(f *testing.F) {
	f.Add([]byte(`{"fence":1,"sets":[{"model":"m","version":"1","set_id":"s"}],"started":5}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &Client{base: "http://engine", http: &http.Client{Transport: fixedResponse(data)}}
		sets, err := c.Status(t.Context())
		if err != nil && len(sets.Sets) > 0 {
			t.Fatal("sets of a report that cannot be read")
		}
	})
}
