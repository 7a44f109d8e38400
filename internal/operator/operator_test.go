package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testToken = "operator-token-of-the-test"
	testNote  = `note: 1
models:
  add:
    - name: quote
      version: "1"
      manifest: sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
      replicas: {role: quote}
`
	unreachable = "127.0.0.1:1"
)

// fakeReplica gives one fixed answer and records the request bodies.
type fakeReplica struct {
	*httptest.Server
	mu     sync.Mutex
	bodies []string
}

func (f *fakeReplica) received() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.bodies)
}

// abortConnection is a status that makes a fakeReplica close the connection after it
// has read the request, so that its answer is lost.
const abortConnection = -1

func startReplica(t *testing.T, status int, answer any) *fakeReplica {
	t.Helper()
	f := &fakeReplica{}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.bodies = append(f.bodies, string(body))
		f.mu.Unlock()
		if r.Header.Get("Authorization") != "Bearer "+testToken {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		if status == abortConnection {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeReplica) address() string { return f.Listener.Addr().String() }

// runCtl runs rhubarbctl with short timeouts.
func runCtl(t *testing.T, token string, replicas []string, args ...string) (code int, out, errOut string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "token")
	is.New(t).NoErr(os.WriteFile(path, []byte(token), 0o600))
	args = append([]string{"--token-file", path, "--timeout", "600ms", "--attempt", "300ms"}, args...)
	if len(replicas) > 0 {
		args = append(args, "--control", strings.Join(replicas, ","))
	}
	var stdout, stderr bytes.Buffer
	code = Main(context.Background(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func writeNote(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "note.yaml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against misleading exit codes, above all "refused" or "unreachable" for a
// note that may have been accepted.
func TestApplyExitCodes(t *testing.T) {
	accepted := NoteAnswer{Status: NoteAccepted, Number: 1}
	type replica struct {
		status int
		answer any
	}
	cases := map[string]struct {
		replicas []replica
		down     bool // one more replica refuses connections, asked first
		note     string
		token    string
		want     int
	}{
		"accepted":               {replicas: []replica{{200, accepted}}, want: ExitOK},
		"accepted elsewhere":     {replicas: []replica{{200, accepted}}, down: true, want: ExitOK},
		"lost, then accepted":    {replicas: []replica{{abortConnection, nil}, {200, accepted}}, want: ExitOK},
		"not run, then taken":    {replicas: []replica{{503, NoteAnswer{Status: NoteNotRun}}, {200, accepted}}, want: ExitOK},
		"unknown, then taken":    {replicas: []replica{{504, NoteAnswer{Status: NoteUnknown}}, {200, accepted}}, want: ExitOK},
		"refused":                {replicas: []replica{{409, NoteAnswer{Status: NoteRefused, Number: 4, Reason: "expected number 4"}}}, want: ExitRefused},
		"conflict":               {replicas: []replica{{409, NoteAnswer{Status: NoteConflict, Number: 1}}}, want: ExitRefused},
		"lost, then conflict":    {replicas: []replica{{abortConnection, nil}, {409, NoteAnswer{Status: NoteConflict}}}, want: ExitRefused},
		"unknown":                {replicas: []replica{{504, NoteAnswer{Status: NoteUnknown}}}, want: ExitUnknown},
		"lost":                   {replicas: []replica{{abortConnection, nil}}, want: ExitUnknown},
		"lost, others down":      {replicas: []replica{{abortConnection, nil}}, down: true, want: ExitUnknown},
		"error without status":   {replicas: []replica{{500, "oops"}}, want: ExitUnknown},
		"success without state":  {replicas: []replica{{200, "oops"}}, want: ExitUnknown},
		"invalid for replica":    {replicas: []replica{{422, NoteAnswer{Status: NoteInvalid}}}, want: ExitBadInput},
		"invalid":                {replicas: []replica{{200, accepted}}, note: "note: 1\nmodles: {}\n", want: ExitBadInput},
		"wrong token":            {replicas: []replica{{200, accepted}}, token: "another-token-altogether", want: ExitBadInput},
		"short token":            {replicas: []replica{{200, accepted}}, token: "tiny-7", want: ExitBadInput},
		"lost, then no operator": {replicas: []replica{{abortConnection, nil}, {405, nil}}, want: ExitUnknown},
		"lost, then invalid":     {replicas: []replica{{abortConnection, nil}, {422, NoteAnswer{Status: NoteInvalid}}}, want: ExitUnknown},
		"no operator port":       {replicas: []replica{{405, nil}}, want: ExitBadInput},
		"no replica named":       {want: ExitBadInput},
		"no leader":              {replicas: []replica{{503, NoteAnswer{Status: NoteNotRun}}}, want: ExitUnreachable},
		"all down":               {down: true, want: ExitUnreachable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var addresses []string
			if c.down {
				addresses = append(addresses, unreachable)
			}
			for _, r := range c.replicas {
				addresses = append(addresses, startReplica(t, r.status, r.answer).address())
			}
			note, token := testNote, testToken
			if c.note != "" {
				note = c.note
			}
			if c.token != "" {
				token = c.token
			}
			code, out, errOut := runCtl(t, token, addresses, "apply", writeNote(t, note))
			t.Log(out, errOut)
			is.Equal(code, c.want)
			is.True(!strings.Contains(out+errOut, token)) // tokens are never printed
		})
	}
}

// Guards against bad input that is reported as a refusal of the note or as
// unreachable control replicas, and against errors that do not name the flag.
func TestBadInput(t *testing.T) {
	note := writeNote(t, testNote)
	rejecting := startReplica(t, 422, NoteAnswer{Status: NoteInvalid, Problems: []release.Problem{{Field: "note", Detail: "number must be 2"}}})
	page := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(page.Close)
	noKey := startReplica(t, 404, Outcome{Organisation: "o", Key: "k"})
	cases := map[string]struct {
		replica string
		args    []string
		code    int
		want    string
	}{
		"zero timeout":       {rejecting.address(), []string{"status", "--timeout", "0s"}, ExitBadInput, "--timeout: must be above 0s"},
		"zero attempt":       {rejecting.address(), []string{"status", "--attempt", "0s"}, ExitBadInput, "--attempt: must be above 0s"},
		"zero poll":          {rejecting.address(), []string{"apply", "--poll", "0s", note}, ExitBadInput, "--poll: must be above 0s"},
		"zero wait":          {rejecting.address(), []string{"apply", "--wait-timeout", "0s", note}, ExitBadInput, "--wait-timeout: must be above 0s"},
		"zero watch":         {rejecting.address(), []string{"rollout", "watch", "--poll", "0s"}, ExitBadInput, "--poll: must be above 0s"},
		"note does not fit":  {rejecting.address(), []string{"note", "check", note}, ExitRefused, "does not fit the catalogue"},
		"another port":       {page.Listener.Addr().String(), []string{"status"}, ExitBadInput, "not the operator port"},
		"apply another port": {page.Listener.Addr().String(), []string{"apply", note}, ExitBadInput, "not the operator port"},
		"unknown key":        {noKey.address(), []string{"outcome", "k", "--organisation", "o"}, ExitRefused, "no such key"},
		"empty key":          {noKey.address(), []string{"outcome", "", "--organisation", "o"}, ExitBadInput, "key: is required"},
		"unclean key":        {noKey.address(), []string{"outcome", "a/../b", "--organisation", "o"}, ExitBadInput, "key: "},
		"two slashes":        {noKey.address(), []string{"outcome", "a/b", "--organisation", "o/p"}, ExitBadInput, "--organisation: "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, out, errOut := runCtl(t, testToken, []string{c.replica}, c.args...)
			t.Log(out, errOut)
			is.Equal(code, c.code)
			is.True(strings.Contains(errOut, c.want))
		})
	}
}

// Guards against an error about a file with an empty name instead of the missing flag.
func TestNoTokenFile(t *testing.T) {
	var out, errOut bytes.Buffer
	code := Main(t.Context(), []string{"status", "--control", unreachable}, &out, &errOut)
	is.New(t).Equal(code, ExitBadInput)
	is.New(t).True(strings.Contains(errOut.String(), "--token-file: is required"))
}

// Guards against a key with a slash whose first segment is taken as the organisation.
func TestKeyWithSlash(t *testing.T) {
	is := is.New(t)
	for key, want := range map[string]string{"a/b": "/v1/outcomes/o/a%2Fb", "k 1": "/v1/outcomes/k%201?organisation=o"} {
		asked := make(chan string, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- r.RequestURI
			_, _ = w.Write([]byte("{}"))
		}))
		code, _, _ := runCtl(t, testToken, []string{server.Listener.Addr().String()}, "outcome", key, "--organisation", "o")
		server.Close()
		is.Equal(code, ExitOK)
		is.Equal(<-asked, want)
	}
}

// Guards against --version not printing the version.
func TestVersion(t *testing.T) {
	code, out, _ := runCtl(t, testToken, nil, "--version")
	is.New(t).Equal(code, ExitOK)
	is.New(t).True(strings.HasPrefix(out, "rhubarbctl "))
}

// Guards against a resend that changes the note, or that continues after a final
// answer.
func TestApplyResendsTheSameNote(t *testing.T) {
	is := is.New(t)
	lost := startReplica(t, abortConnection, nil)
	taken := startReplica(t, 200, NoteAnswer{Status: NoteAccepted, Number: 1})
	code, _, _ := runCtl(t, testToken, []string{lost.address(), taken.address()}, "apply", writeNote(t, testNote))
	is.Equal(code, ExitOK)
	is.Equal(lost.received(), []string{testNote})
	is.Equal(taken.received(), []string{testNote})
}

// Guards against reporting "in force" too early, and against a timed-out wait that
// hides that the note was accepted.
func TestApplyWait(t *testing.T) {
	for inForce, want := range map[uint64]int{1: ExitOK, 0: ExitNotInForce} {
		is := is.New(t)
		replica := startReplica(t, 200, map[string]any{"status": NoteAccepted, "number": 1, "in_force_revision": inForce})
		code, out, _ := runCtl(t, testToken, []string{replica.address()},
			"apply", "--wait", "--wait-timeout", "200ms", "--poll", "20ms", writeNote(t, testNote))
		is.Equal(code, want)
		is.True(strings.Contains(out, NoteAccepted))
		is.Equal(strings.Contains(out, "in force"), want == ExitOK)
	}
}

// Guards against commands that fail, print nothing, or print tables although JSON
// was requested.
func TestViews(t *testing.T) {
	catalogue := release.NewCatalogue()
	catalogue.Models["quote"] = release.Model{Name: "quote", Version: "0", Role: "quote"}
	catalogue.Models["old"] = release.Model{Name: "old", Version: "3", Role: "quote"}
	change := strings.NewReplacer("add:", "change:").Replace(testNote)
	cases := map[string]struct {
		args   []string
		answer any
		want   []string
	}{
		"status": {[]string{"status"}, Status{Replica: "control-0", Revision: 7, Catalogue: &catalogue}, []string{"control-0", "role quote"}},
		"endpoints": {
			[]string{"endpoints"},
			Endpoints{[]Endpoint{EndpointOf(wire.Announce{Endpoint: "engine-0", Draining: true})}},
			[]string{"engine-0", "draining"},
		},
		"quarantine": {
			[]string{"quarantine"},
			Quarantine{[]wire.QuarantinedRequest{{Fingerprint: "f1", Quarantined: true, Until: 1000}}},
			[]string{"f1", "quarantined", "1970-01-01T00:00:01Z"},
		},
		"outcome": {[]string{"outcome", "--organisation", "o", "key/1"}, Outcome{Key: "key/1", Outcome: "done"}, []string{"key/1", "done"}},
		"rollout": {
			[]string{"rollout", "watch"},
			Rollout{Revision: 7, InForce: true, Sets: []RolloutSet{{Model: "quote", Live: 1, Total: 1}}},
			[]string{"1 of 1 live"},
		},
		"check": {[]string{"note", "check", writeNote(t, testNote)}, NoteAnswer{Status: NoteValid}, []string{"valid"}},
		"diff":  {[]string{"note", "diff", writeNote(t, change)}, Status{Catalogue: &catalogue}, []string{"change", "0 role=quote", "1 role=quote"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			replica := startReplica(t, 200, c.answer)
			code, out, errOut := runCtl(t, testToken, []string{unreachable, replica.address()}, c.args...)
			t.Log(out, errOut)
			is.Equal(code, ExitOK)
			for _, want := range c.want {
				is.True(strings.Contains(out, want))
			}
			code, out, _ = runCtl(t, testToken, []string{replica.address()}, append(slices.Clone(c.args), "--json")...)
			is.Equal(code, ExitOK)
			is.True(json.Valid([]byte(out)))
			if name == "rollout" {
				c.args = append(c.args, "--once") // otherwise it retries until a replica is reachable
			}
			code, _, _ = runCtl(t, testToken, []string{unreachable}, c.args...)
			is.Equal(code, ExitUnreachable)
		})
	}
}

// Guards against orders to evacuate that are wrong on the wire, and against exit codes that do not
// tell whether to give an order again.
func TestEvacuate(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		answer any
		args   []string
		code   int
		body   string
	}{
		"start":        {http.StatusOK, NoteAnswer{Status: NoteAccepted}, []string{"evacuate", "eu 1a"}, ExitOK, `{"zone":"eu 1a","evacuate":true}`},
		"finish":       {http.StatusOK, NoteAnswer{Status: NoteAccepted}, []string{"evacuate", "--finish", "za"}, ExitOK, `{"zone":"za","evacuate":false}`},
		"unknown zone": {http.StatusUnprocessableEntity, NoteAnswer{Status: NoteRefused}, []string{"evacuate", "za"}, ExitRefused, ""},
		"late":         {http.StatusServiceUnavailable, NoteAnswer{Status: NoteNotRun}, []string{"evacuate", "za"}, ExitUnreachable, ""},
		"unknown":      {http.StatusGatewayTimeout, NoteAnswer{Status: NoteUnknown}, []string{"evacuate", "za"}, ExitUnknown, ""},
		"lost answer":  {abortConnection, nil, []string{"evacuate", "za"}, ExitUnknown, ""},
		"no zone":      {http.StatusOK, nil, []string{"evacuate", ""}, ExitBadInput, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			replica := startReplica(t, c.status, c.answer)
			code, _, errOut := runCtl(t, testToken, []string{replica.address()}, c.args...)
			is.Equal(code, c.code)
			if c.body != "" {
				is.Equal(errOut, "")
				is.Equal(replica.received(), []string{c.body})
			}
		})
	}
}

// Guards against a status that does not show evacuated zones.
func TestStatusShowsEvacuatedZones(t *testing.T) {
	is := is.New(t)
	replica := startReplica(t, http.StatusOK, Status{Replica: "c1", Evacuated: []ZoneEvacuation{{Zone: "za", Since: time.Unix(1000, 0).UTC(), AgeMs: 90_000}}})
	code, out, _ := runCtl(t, testToken, []string{replica.address()}, "status")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "za since 1970-01-01T00:16:40Z (1m30s)"))
}
