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

// bearer matches a token in the text of a header.
var bearer = regexp.MustCompile(`(?i)\bbearer\s+[^\s"',;]+`)

// Setup directs logs to standard error as JSON lines and adds the fields that
// every line of this process carries. The text of the given tokens and of any
// bearer header is redacted.
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
	secrets []string // pairs for a strings.Replacer
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

// value redacts text. Numbers and truth values cannot hold a secret; anything
// else is logged as text.
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
