package agent

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// invalidHeads are the first bytes of answers whose status is outside 100 to 599.
var invalidHeads = map[string]string{
	"000":       "HTTP/1.1 000 Odd\r\n",
	"099":       "HTTP/1.1 099 Odd\r\n",
	"600":       "HTTP/1.1 600 Odd\r\n",
	"999":       "HTTP/1.1 999 Odd\r\n",
	"+12":       "HTTP/1.1 +12 Odd\r\n",
	"abc":       "HTTP/1.1 abc Odd\r\n",
	"after 100": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\n",
}

// writeInvalid answers with a head and a body that would be a whole answer of the set.
func writeInvalid(w http.ResponseWriter, head, set string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	body := fmt.Sprintf(`{"system_fingerprint":%q}`, set)
	_, _ = fmt.Fprintf(conn, "%s%s: %s\r\nContent-Length: %d\r\n\r\n%s", head, engine.HeaderWeightsSet, set, len(body), body)
}

// Guards against an engine or service whose answer has a status outside 100 to 599: it must not
// reach the entry, end the handler before the attempt is recorded as failed, or count as done.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, service := range []bool{false, true} {
		for name, head := range invalidHeads {
			t.Run(fmt.Sprintf("%s, service %v", name, service), func(t *testing.T) {
				set := setID("1")
				prepare := func(r *harness) {
					if !service {
						r.engine.OnChat = func(w http.ResponseWriter, _ *http.Request, set string) { writeInvalid(w, head, set) }
						return
					}
					r.settings.Kind, r.settings.Role, r.settings.Service = wire.KindService, "", "dispatch"
					r.settings.Backend = "http://10.0.1.3:80"
					set = ""
					r.serve(engineHost, "10.0.1.3:80", http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
						_, _ = io.Copy(io.Discard, request.Body)
						writeInvalid(w, head, "")
					}))
				}
				runHarness(t, prepare, func(r *harness) {
					is := is.New(r.t)
					for range r.settings.Capacity + 1 { // each gives its place back
						for _, send := range []func(id, set string) answer{r.sendUnstreamed, func(id, set string) answer { return r.sendID(id, set) }} {
							id := r.nextID()
							a := send(id, set)
							is.NoErr(a.err)
							is.Equal(a.status, http.StatusBadGateway)
							is.Equal(a.reason, "backend-broken")
							is.True(a.outcome != "not-run" && a.outcome != "done")
							is.Equal(r.attemptState(http.MethodGet, id, 0), "failed")
						}
					}
				})
			})
		}
	}
}
