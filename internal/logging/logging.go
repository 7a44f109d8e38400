package logging

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
)

const redacted = "[redacted]"

// bearer matches a bearer token in the text of an Authorization header.
var bearer = regexp.MustCompile(`(?i)\bbearer\s+[^\s"',;]+`)

// Setup directs logs to standard error as JSON lines and adds the fields program
// and instance to every line. The given tokens and any bearer token in a header
// are redacted.
func Setup(program, instance, level string, tokens ...auth.Token) (*log.Entry, error) {
	return setup(os.Stderr, program, instance, level, tokens)
}

func setup(out io.Writer, program, instance, level string, tokens []auth.Token) (*log.Entry, error) {
	return setupHandler(json.New(out), program, instance, level, tokens)
}

func setupHandler(next log.Handler, program, instance, level string, tokens []auth.Token) (*log.Entry, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	handler := &redactor{next: next}
	for _, token := range tokens {
		for _, secret := range token.Secrets() {
			if secret != "" {
				handler.secrets = append(handler.secrets, secret, redacted)
			}
		}
	}
	logger := &log.Logger{Handler: handler, Level: parsed}
	return logger.WithFields(log.Fields{"program": program, "instance": instance}), nil
}

// redactor replaces secrets in messages and fields.
type redactor struct {
	next    log.Handler
	secrets []string // arguments of strings.NewReplacer: old, new pairs
}

// HandleLog implements log.Handler.
func (r *redactor) HandleLog(e *log.Entry) error {
	clean := *e
	clean.Message = r.text(e.Message)
	clean.Fields = make(log.Fields, len(e.Fields))
	for name, value := range e.Fields {
		clean.Fields[name] = r.value(value)
	}
	return r.next.HandleLog(&clean)
}

// value redacts a field value. Numbers and booleans cannot contain a secret; any
// other type is formatted as text first.
func (r *redactor) value(v any) any {
	switch v := v.(type) {
	case nil, bool, int, int8, int16, int32, int64, uint, uint8, uint16, uint32, uint64, float32, float64:
		return v
	case []string:
		clean := make([]string, len(v))
		for i, text := range v {
			clean[i] = r.text(text)
		}
		return clean
	default:
		return r.text(fmt.Sprint(v))
	}
}

func (r *redactor) text(s string) string {
	return bearer.ReplaceAllString(strings.NewReplacer(r.secrets...).Replace(s), redacted)
}
