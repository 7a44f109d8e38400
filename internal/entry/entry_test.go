package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/entry/entrytest"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// Guards against chat responses that are not relayed from gate to caller, streaming
// and non-streaming.
func TestChatPassesThrough(t *testing.T) { synctest.Test(t, testChatPassesThrough) }

func testChatPassesThrough(t *testing.T) {
	c := newCluster(t, engineGate("g1"))
	e := c.addEntry()
	for _, model := range []string{testModel, "council"} {
		body := strings.Replace(chatText(true, "hello"), testModel, model, 1)
		a := e.do(http.MethodPost, pathChat, body)
		c.is.Equal(a.status, http.StatusOK)
		c.is.Equal(a.text, entrytest.AnswerText(6))
		c.is.True(a.done)
		c.is.Equal(a.outcome(), "done")
		c.is.Equal(a.header.Get("Rhubarb-Weights-Set"), testSet)
	}
	plain := e.chat(false, "hello")
	c.is.Equal(plain.status, http.StatusOK)
	c.is.Equal(plain.outcome(), "done")
	c.is.True(strings.Contains(plain.body, entrytest.AnswerText(6)))
}

// Guards against wrong status, reason or error code for malformed requests.
func TestRefusalsAreClear(t *testing.T) { synctest.Test(t, testRefusalsAreClear) }

func testRefusalsAreClear(t *testing.T) {
	c := newCluster(t, engineGate("g1"))
	e := c.addEntry(func(s *Settings) { s.MaxBody = 1000 })
	for _, test := range []struct {
		body, reason, code string
		status             int
	}{
		{"", "empty-body", "empty-body", 400},
		{"{", "invalid-body", "invalid-body", 400},
		{`{"messages":[]}`, "missing-model", "missing-model", 400},
		{`{"model":"nobody"}`, "unknown-model", "model_not_found", 404},
		{strings.Repeat(" ", 1001), "body-too-large", "body-too-large", 413},
	} {
		a := e.do(http.MethodPost, pathChat, test.body)
		c.is.Equal(a.status, test.status)
		c.is.Equal(a.outcome(), "not-run")
		c.is.Equal(a.reason(), test.reason)
		var body errorBody
		c.is.NoErr(json.Unmarshal([]byte(a.body), &body))
		c.is.Equal(body.Error.Code, test.code)
		c.is.Equal(body.Error.Type, "invalid_request_error")
	}
	c.is.Equal(e.do(http.MethodGet, "/v1/models", "", "Authorization", "Bearer wrong").status, http.StatusUnauthorized)
	models := e.do(http.MethodGet, "/v1/models", "")
	c.is.True(strings.Contains(models.body, testModel) && strings.Contains(models.body, "council"))
}

// Guards against service calls that are sent to another path, or responses without
// an outcome header.
func TestServicePassesThrough(t *testing.T) { synctest.Test(t, testServicePassesThrough) }

func testServicePassesThrough(t *testing.T) {
	c := newCluster(t, serviceGate("s1"))
	e := c.addEntry()
	a := e.do(http.MethodGet, "/services/orders/list%2Fall?day=1", "", "Rhubarb-Idempotent", "true")
	c.is.Equal(a.status, http.StatusOK)
	c.is.Equal(a.outcome(), "done")
	c.is.True(strings.Contains(a.body, `/gate/list%2Fall?day=1`))
	c.is.Equal(e.do(http.MethodGet, "/services/none/x", "").reason(), "unknown-service")
}

// Guards against invalid settings that are not reported when they are loaded.
func TestSettingsCheck(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	err := settings.Decode([]byte("instance: a\nlisten: nowhere:80\nejected_share: 2\naddress_ttl: 10s\n"), &s)
	is.True(err != nil)
	for _, field := range []string{"zone", "listen", "controls", "ejected_share", "caller_token_file"} {
		is.True(strings.Contains(err.Error(), field))
	}
	err = settings.Decode([]byte("instance: a\nlissten: x\n"), &s)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "lissten"))
}
