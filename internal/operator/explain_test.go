package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/explain"
)

// explainingAdmin is an admin port with fixed answers. It records the queries.
type explainingAdmin struct {
	address string
	status  int
	request explain.Request
	queries []explain.Query
}

func startAdmin(t *testing.T) *explainingAdmin {
	t.Helper()
	a := &explainingAdmin{status: http.StatusOK}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+explain.PathRequest, func(w http.ResponseWriter, r *http.Request) {
		var q explain.Query
		_ = json.NewDecoder(r.Body).Decode(&q) // shown by the test if it fails
		a.queries = append(a.queries, q)
		if a.status != http.StatusOK {
			http.Error(w, "path: must begin with a slash", a.status)
			return
		}
		_ = json.NewEncoder(w).Encode(a.request)
	})
	mux.HandleFunc("GET "+explain.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(explain.Load{
			Stager: "side-1", Engine: "127.0.0.1:9", Model: "m", Step: "wait", Why: "version 8 is complete and waits for its turn", Loaded: 7, Next: 8, DueInMs: 1200, Turn: 0.25,
			Versions: []explain.Version{{Version: 7, Named: true}, {Version: 8, Named: true, NamedAgeMs: 400, Pieces: 8, Total: 8, Complete: true, CompleteAgeMs: 90}},
		})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	a.address = server.Listener.Addr().String()
	return a
}

func runExplain(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = Main(t.Context(), append([]string{"explain"}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against exit codes that do not tell the outcome, and against a split whose better target
// hides the worse one.
func TestExplainExitCodes(t *testing.T) {
	target := func(outcome string) explain.Target {
		t := explain.Target{Service: "s", Share: 0.5, Outcome: outcome}
		if outcome == explain.Refused {
			t.Refusal = &explain.Refusal{Status: 503, Reason: "no-slot", RetryAfterMs: 964, JitterMs: 1000}
		}
		return t
	}
	for name, c := range map[string]struct {
		targets []explain.Target
		refusal *explain.Refusal
		want    int
	}{
		"placed":              {targets: []explain.Target{target(explain.Placed)}, want: ExitOK},
		"queued":              {targets: []explain.Target{target(explain.Queued)}, want: ExitWouldWait},
		"refused":             {targets: []explain.Target{target(explain.Refused)}, want: ExitWouldRefuse},
		"split":               {targets: []explain.Target{target(explain.Placed), target(explain.Queued)}, want: ExitWouldWait},
		"split, refused once": {targets: []explain.Target{target(explain.Refused), target(explain.Queued)}, want: ExitWouldRefuse},
		"no route":            {refusal: &explain.Refusal{Status: 404, Reason: "no-route"}, want: ExitWouldRefuse},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := startAdmin(t)
			a.request = explain.Request{Entry: "e", Targets: c.targets, Refusal: c.refusal}
			code, _, errOut := runExplain(t, "request", "--entry", a.address, "--host", "h", "--path", "/x")
			is.Equal(code, c.want)
			is.Equal(errOut == "", code == ExitOK)
			code, out, _ := runExplain(t, "request", "--entry", a.address, "--host", "h", "--path", "/x", "--json")
			is.Equal(code, c.want)
			var answer explain.Request
			is.NoErr(json.Unmarshal([]byte(out), &answer))
		})
	}
}

// Guards against a wrong flag that is not named, a process that is not reached and looks like a
// refusal, and flags that are lost on the way.
func TestExplainInput(t *testing.T) {
	is := is.New(t)
	a := startAdmin(t)
	for flag, args := range map[string][]string{
		"--entry":         {"request", "--entry", "front:1", "--host", "h", "--path", "/x"},
		"--host":          {"request", "--entry", a.address, "--path", "/x"},
		"--path":          {"request", "--entry", a.address, "--host", "h", "--path", "x"},
		"--prompt-tokens": {"request", "--entry", a.address, "--host", "h", "--path", "/x", "--prompt-tokens=-1"},
		"--length-hint":   {"request", "--entry", a.address, "--host", "h", "--path", "/x", "--length-hint=-1"},
		"--deadline":      {"request", "--entry", a.address, "--host", "h", "--path", "/x", "--deadline", "soon"},
		"--stager":        {"load", "--stager", "x"},
	} {
		code, _, errOut := runExplain(t, args...)
		is.Equal(code, ExitBadInput)
		is.True(strings.Contains(errOut, flag))
	}
	is.Equal(len(a.queries), 0)
	code, _, _ := runExplain(t, "request", "--entry", unreachable, "--host", "h", "--path", "/x")
	is.Equal(code, ExitUnreachable)
	code, _, _ = runExplain(t, "load", "--stager", unreachable)
	is.Equal(code, ExitUnreachable)

	code, out, _ := runExplain(t, "request", "--entry", a.address, "--host", "h", "--path", "/x", "--key", "secret-key", "--deadline", "6s", "--parts", "p1,p2",
		"--prompt-tokens", "900", "--length-hint", "70", "--model", "m", "--id", "i")
	is.Equal(code, ExitOK)
	is.True(!strings.Contains(out, "secret-key"))
	is.Equal(a.queries[0], explain.Query{
		Host: "h", Path: "/x", Method: "POST", Key: "secret-key", ID: "i", Model: "m", PromptTokens: 900, LengthHint: 70, DeadlineMs: 6000, Parts: []string{"p1", "p2"},
	})
	a.status = http.StatusBadRequest
	code, _, errOut := runExplain(t, "request", "--entry", a.address, "--host", "h", "--path", "/x")
	is.Equal(code, ExitBadInput)
	is.True(strings.Contains(errOut, "path: must begin"))
}

// Guards against tables without the reasons, and without whose knowledge they show.
func TestExplainTables(t *testing.T) {
	is := is.New(t)
	a := startAdmin(t)
	a.request = explain.Request{
		Entry: "front-1", At: time.Unix(1000, 0), Routing: 4, Route: "r", Kind: "stream", RegionsBound: true, Regions: []string{"eu"}, RequiredVersion: 7,
		Targets: []explain.Target{{
			Service: "s", Share: 1, Outcome: explain.Queued, Why: "queued requests come before it", WaitMs: 80, MaxWaitMs: 150,
			Views: []explain.View{
				{By: explain.ByBroker, Name: "front-2", AgeMs: 450},
				{By: explain.ByBroker, Name: "front-3", Answered: true, AgeMs: 6, Placement: &explain.Placement{
					Verdict: "queued", Hold: "queue-first", Ahead: 2, Queue: []explain.QueuedRank{{Class: "on-time", Rank: 10, Waiting: 2}}, Entries: 3, OldestReportMs: 240, Omitted: 5,
					Endpoints: []explain.Endpoint{{ID: "e1", Zone: "a", Running: 4, Slots: 4, UsableSlots: 4, Pace: 1, ZonePenaltyMs: 50, NotUsable: "cold", EndsInMs: 300}},
				}},
			},
		}},
	}
	code, out, _ := runExplain(t, "request", "--entry", a.address, "--host", "h", "--path", "/x")
	is.Equal(code, ExitWouldWait)
	for _, part := range []string{
		"only eu", "version 7 required", "front-2 did not answer", "front-3: queued, queue-first", "2 ahead; on-time rank 10: 2", "zone 50 ms", "cold, for 300 ms", "and 5 more", "reports of 3 entries",
	} {
		if !strings.Contains(out, part) {
			t.Errorf("%q is missing in\n%s", part, out)
		}
	}
	code, out, _ = runExplain(t, "load", "--stager", a.address)
	is.Equal(code, ExitOK)
	for _, part := range []string{"8, due in 1200 ms, turn 0.25", "waits for its turn", "8/8", "90 ms ago"} {
		if !strings.Contains(out, part) {
			t.Errorf("%q is missing in\n%s", part, out)
		}
	}
}
