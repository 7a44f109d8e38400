package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// Guards against taking the status of a partitioned replica, or of one without
// state, for the current one.
func TestGetPrefersCurrentReplica(t *testing.T) {
	is := is.New(t)
	replica := func(current, body string, status int) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderCurrent, current)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	stale := replica("false", `{"revision":1}`, http.StatusOK)
	empty := replica("", `{}`, http.StatusServiceUnavailable)
	leader := replica("true", `{"revision":2}`, http.StatusOK)
	client := &Client{Replicas: []string{empty, stale, leader}, Token: auth.NewToken("t"), AttemptTimeout: time.Second, HTTP: http.DefaultClient}

	var status Status
	document, err := client.Get(t.Context(), PathStatus, nil, &status)
	is.NoErr(err)
	is.True(document.Current)
	is.Equal(status.Revision, uint64(2))

	client.Replicas = client.Replicas[:2]
	document, err = client.Get(t.Context(), PathStatus, nil, &status)
	is.NoErr(err)
	is.True(!document.Current)
	is.Equal(status.Revision, uint64(1))
}

// Guards against a paused replica that is asked first and costs every call a timeout.
func TestFailedReplicaIsTriedLast(t *testing.T) {
	is := is.New(t)
	asked := 0
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked++
		<-r.Context().Done()
	}))
	t.Cleanup(hanging.Close)
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) }))
	t.Cleanup(live.Close)
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	client := &Client{
		Replicas: []string{address(hanging), address(live)}, Token: auth.NewToken("t"),
		AttemptTimeout: 100 * time.Millisecond, HTTP: http.DefaultClient,
	}
	for range 3 {
		var status Status
		_, err := client.Get(t.Context(), PathStatus, nil, &status)
		is.NoErr(err)
	}
	is.Equal(asked, 1)
}

// Guards against a status that counts endpoints of another role, or ones that
// still serve the previous version, as live.
func TestStatusCountsLiveReplicas(t *testing.T) {
	is := is.New(t)
	catalogue := release.NewCatalogue()
	catalogue.Models["quote"] = release.Model{Name: "quote", Version: "2", Role: "quote"}
	set, _ := catalogue.WeightsSet("quote")
	endpoint := func(role, setID string) Endpoint {
		return Endpoint{Kind: wire.KindEngine, Role: role, Sets: []wire.LoadedSet{{Model: "quote", SetID: setID}}}
	}
	status := Status{Catalogue: &catalogue, Endpoints: []Endpoint{
		endpoint("quote", set.ID()), endpoint("quote", "older"), endpoint("other", set.ID()), {Kind: wire.KindService},
	}}
	live, total := status.Live("quote")
	is.Equal(live, 1)
	is.Equal(total, 2)
}
