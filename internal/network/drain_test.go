package network

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startDrainServer starts a DrainServer and returns its address.
func startDrainServer(t *testing.T, handler http.HandlerFunc) (*DrainServer, string) {
	t.Helper()
	servers, err := OpenServers(nil, ServerConfig{Address: "127.0.0.1:0", Handler: handler})
	if err != nil {
		t.Fatal(err)
	}
	s := servers[0].Drainable()
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return s, s.listener.Addr().String()
}

// Guards against a connection that is kept after a body that is too long: the rest of
// the body would have to be read, however long it is.
func TestDrainServerClosesAfterLongBody(t *testing.T) {
	is := is.New(t)
	_, address := startDrainServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 10))
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for length, want := range map[int]int{10: http.StatusOK, 11: http.StatusRequestEntityTooLarge} {
		response, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", length)))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, want)
		is.Equal(response.Close, want != http.StatusOK)
	}
}
