package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const secret = "0123456789abcdef-secret"

// Guards against tokens in log lines: in the message, in fields of any type, and in
// headers.
func TestRedaction(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	file := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(file, []byte("sent-secret-of-two\naccepted-secret-of-two\n"), 0o600))
	two, err := auth.ReadToken(file)
	is.NoErr(err)
	logger, err := setup(&out, "rhubarb-test", "instance-1", "debug", []auth.Token{auth.NewToken(secret), two, {}})
	is.NoErr(err)
	logger.WithField("old", "accepted-secret-of-two").Error("sent-secret-of-two")
	header := http.Header{"Authorization": {"Bearer of-another-process"}}
	logger.WithError(errors.New("refused: " + secret)).WithFields(log.Fields{
		"header": header, "list": []string{"x", secret}, "token": auth.NewToken("of-another-process"),
		"pointer": &header, "raw": []byte("x"), "count": 3, "text": "authorization: bearer of-another-process, kept",
	}).Warn("event_" + secret)
	is.True(!strings.Contains(out.String(), secret))
	is.True(!strings.Contains(out.String(), "of-another-process"))
	is.True(!strings.Contains(out.String(), "of-two"))
	is.True(strings.Contains(out.String(), "kept"))
	is.True(strings.Contains(out.String(), `"count":3`))
}

// Guards against lines that are not JSON or lack the fields program and instance.
func TestCommonFields(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, err := setup(&out, "rhubarb-test", "instance-1", "info", nil)
	is.NoErr(err)
	logger.Debug("too_detailed")
	logger.Info("first\nline")
	logger.WithField("a", 1).Error("second")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	for _, text := range lines {
		var line struct {
			Fields  map[string]any
			Level   string
			Message string
		}
		is.NoErr(json.Unmarshal([]byte(text), &line))
		is.Equal(line.Fields["program"], "rhubarb-test")
		is.Equal(line.Fields["instance"], "instance-1")
		is.True(line.Message != "" && line.Level != "")
	}
	_, err = Setup("rhubarb-test", "instance-1", "loud")
	is.True(err != nil)
}
