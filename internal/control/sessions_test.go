package control

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/controlclient"
	"github.com/rhubarbhill/rhubarbhill/internal/operator"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// client connects to all replicas of a cluster like an agent.
func (c *cluster) client(cfg controlclient.Config) (client *controlclient.Client, stop func()) {
	return c.clientOn("agent", cfg)
}

func (c *cluster) clientOn(host string, cfg controlclient.Config) (client *controlclient.Client, stop func()) {
	cfg.Name, cfg.Token, cfg.Network = host, c.token.Secret(), c.net.Host(host)
	for _, name := range c.names {
		cfg.Replicas = append(cfg.Replicas, c.session[name])
	}
	client = controlclient.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	time.Sleep(time.Second) // sessions open
	return client, func() { cancel(); <-done }
}

// Updates must reach a subscriber at once and in full, and the in-force report
// must not count an endpoint too early.
func TestCataloguePushAndInForceStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, nil)
		type update struct {
			at time.Time
			wire.Catalogue
		}
		updates := make(chan update, 1000)
		client, stop := c.client(controlclient.Config{
			OnCatalogue: func(_ string, u wire.Catalogue) { updates <- update{time.Now(), u} },
		})
		defer stop()
		time.Sleep(announceWindow)
		announce := wire.Announce{Endpoint: "e1", Incarnation: 1, Confirmed: true, Kind: wire.KindEngine, Role: "quote"}
		send := func() {
			announce.Sequence++
			client.Broadcast(announce)
			synctest.Wait()
		}
		send()
		catalogue := release.NewCatalogue()
		for n := 1; n <= 5; n++ {
			limit := 50 * time.Millisecond
			if n <= 3 {
				time.Sleep(minPushInterval)
			} else {
				limit += minPushInterval // part of a burst
			}
			is.Equal(c.submit(n).Status, "accepted")
			accepted := time.Now()
			for catalogue.Revision < uint64(n) {
				u := <-updates
				switch {
				case u.Full != nil && u.Full.Revision > catalogue.Revision:
					catalogue = *u.Full
				case u.Delta != nil && u.Delta.From == catalogue.Revision:
					next, err := u.Delta.Apply(catalogue)
					is.NoErr(err)
					catalogue = next
				}
				if catalogue.Revision == u.Revision {
					is.Equal(catalogue.Digest(), u.Digest)
				}
			}
			is.True(time.Since(accepted) < limit)
			l := c.leader()
			s := l.Status()
			is.Equal(s.InForce, false)
			is.Equal(s.WaitingFor, []string{"e1"})
			announce.Revision, announce.Confirmed = uint64(n), false // acts on it, but has no lease and refuses work
			send()
			is.Equal(l.Status().InForce, false)
			announce.Confirmed = true
			send()
			is.Equal(l.Status().InForce, true)
			is.Equal(l.Status().InForceRevision, uint64(n))
		}
		l := c.leader()
		is.Equal(len(l.Status().Endpoints), 1)
		is.Equal(c.submit(6).Status, "accepted")
		time.Sleep(1900 * time.Millisecond) // the endpoint is silent from here on
		is.Equal(l.Status().InForce, false)
		time.Sleep(200 * time.Millisecond)
		is.Equal(l.Status().InForce, true)
		is.Equal(l.Status().LeaseExpired, []string{"e1"})
		time.Sleep(2 * time.Second)
		is.Equal(len(l.Status().Endpoints), 0)
	})
}

// A claim must not be granted twice through different replicas, a note must not
// be accepted on the session port, and suspects must reach entries.
func TestProposalsOverSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, nil)
		listed := make(chan []wire.QuarantinedRequest, 100)
		client, stop := c.client(controlclient.Config{
			OnCatalogue: func(_ string, u wire.Catalogue) { listed <- u.Quarantined },
		})
		defer stop()
		propose := func(k ledger.Command) ledger.Result {
			// All these commands are idempotent, so one whose reply was lost
			// with the session to the leader can be sent again.
			for {
				r, err := client.Propose(t.Context(), k)
				if !errors.Is(err, controlclient.ErrOutcomeUnknown) {
					is.NoErr(err)
					return r
				}
			}
		}
		is.Equal(propose(ledger.Command{Claim: &ledger.Claim{Organisation: "o", Key: "k", Owner: "a"}}).Status, ledger.StatusAccepted)
		c.leader().kill()
		is.Equal(propose(ledger.Command{Claim: &ledger.Claim{Organisation: "o", Key: "k", Owner: "b"}}).Status, ledger.StatusDuplicate)
		is.Equal(propose(ledger.Command{Complete: &ledger.CompleteClaim{Organisation: "o", Key: "k", Owner: "a", Outcome: "done", Status: 201}}).Status, ledger.StatusCompleted)
		propose(ledger.Command{Crash: &ledger.ReportCrash{Incident: "i", Endpoint: "e", Fingerprints: []string{"f"}}})
		for seen := false; !seen; {
			for _, q := range <-listed {
				seen = seen || q.Fingerprint == "f"
			}
		}
		note := document(t, 1).Note
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := client.Propose(ctx, ledger.Command{Note: &ledger.SubmitNote{Number: 1, Digest: note.Digest(), Canonical: note.Canonical()}})
		is.True(err != nil)
		is.Equal(c.leader().Status().Revision, uint64(0))

		h := c.leader().operatorHandler()
		status, body := call(c, h, http.MethodGet, "/v1/outcomes/o/k", "")
		is.Equal(status, http.StatusOK)
		is.True(strings.Contains(body, `"outcome":"done","status":201`))
		status, _ = call(c, h, http.MethodGet, "/v1/outcomes/o/unknown", "")
		is.Equal(status, http.StatusNotFound)
		status, _ = call(c, c.others(c.leader().name)[0].operatorHandler(), http.MethodGet, "/v1/outcomes/o/k", "")
		is.Equal(status, http.StatusServiceUnavailable)
		_, body = call(c, h, http.MethodGet, "/v1/quarantine", "")
		is.True(strings.Contains(body, `"fingerprint":"f"`))
	})
}

func call(c *cluster, h http.Handler, method, path, body string) (status int, answer string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+c.token.Secret())
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// Operators must be told what was accepted, what is wrong and in which line,
// and be refused without the token.
func TestOperatorAPI(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, nil)
		h := c.leader().operatorHandler()
		for _, step := range []struct {
			path, body string
			status     int
			want       string
		}{
			{"/v1/notes:check", noteText(1), http.StatusOK, `"status":"valid"`},
			{"/v1/notes", noteText(1), http.StatusOK, `"status":"accepted"`},
			{"/v1/notes", noteText(1), http.StatusOK, `"status":"accepted"`},
			{"/v1/notes", strings.Replace(noteText(1), "quote", "other", 1), http.StatusConflict, `accepted with other content`},
			{"/v1/notes", noteText(3), http.StatusConflict, `note number must be 2`},
			{"/v1/notes", "note: 2\nmodel: {}\n", http.StatusBadRequest, `"line":2`},
			{"/v1/notes", "note: 2\nmodels:\n  withdraw: [{name: x}]\n", http.StatusUnprocessableEntity, `"line":3`},
			{"/v1/notes:check", "note: 2\nmodels:\n  withdraw: [{name: x}]\n", http.StatusUnprocessableEntity, `no model \"x\"`},
			{"/v1/notes", strings.Repeat("#", release.MaxNoteBytes+2), http.StatusBadRequest, `"status":"invalid"`},
		} {
			status, body := call(c, h, http.MethodPost, step.path, step.body)
			if status != step.status || !strings.Contains(body, step.want) {
				t.Errorf("%s %q: %d %s", step.path, step.body[:20], status, body)
			}
		}
		var follower operator.NoteAnswer
		code, body := call(c, c.others(c.leader().name)[0].operatorHandler(), http.MethodPost, "/v1/notes", noteText(2))
		is.NoErr(json.Unmarshal([]byte(body), &follower))
		is.Equal(code, http.StatusServiceUnavailable)
		is.Equal(follower.Status, operator.NoteNotRun)
		is.Equal(follower.Leader, c.leader().Status().ID)
		code, body = call(c, h, http.MethodGet, "/v1/rollout", "")
		is.Equal(code, http.StatusOK)
		is.True(strings.Contains(body, `"model":"m"`))
		time.Sleep(announceWindow)
		var status operator.Status
		_, body = call(c, h, http.MethodGet, "/v1/status", "")
		is.NoErr(json.Unmarshal([]byte(body), &status))
		is.Equal(status.Revision, uint64(1))
		is.Equal(status.InForce, true)
		is.Equal(len(status.Voters), 4)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/status", nil))
		is.Equal(w.Code, http.StatusUnauthorized)
	})
}

// Malformed messages must not stop a replica.
func TestMalformedMessagesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, nil)
		s, err := (&transport.Dialer{
			Address: c.session["c1"], Token: c.token.Secret(), Network: c.net.Host("x"),
			Handler: func(context.Context, *transport.Session, wire.Envelope) {},
		}).Connect(t.Context())
		is.NoErr(err)
		for _, m := range []wire.Raft{{Message: []byte("?")}, {Message: []byte{0xa1, 0x01, 0x41, 0x00}}} {
			is.NoErr(s.Send(m))
		}
		var reply wire.ProposeReply
		is.NoErr(s.Request(t.Context(), wire.Propose{Command: []byte("?")}, &reply))
		is.Equal(reply.Status, wire.ProposeNotRun)
		s.Close()
		<-s.Done()
		is.Equal(c.submit(1).Status, "accepted")
	})
}
