package auth

import (
	"crypto/subtle"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/samber/oops"
)

const (
	minTokenBytes = 16
	// maxTokens limits the secrets in a token file: the new and the old one during
	// a rotation.
	maxTokens = 2
)

// placeholder replaces the text of a token wherever it is formatted.
const placeholder = "[token]"

// Token is a bearer token. Formatting or marshalling it never reveals its text.
type Token struct {
	secret string
	// alsoAccepted holds further accepted secrets during a token rotation.
	alsoAccepted []string
}

// NewToken returns a token with the given text, for programs that embed daemons.
func NewToken(secret string) Token { return Token{secret: secret} }

// String hides the secret.
func (Token) String() string { return placeholder }

// Format hides the secret from every verb, %#v included.
func (Token) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, placeholder) }

// MarshalText hides the secret from JSON and YAML.
func (Token) MarshalText() ([]byte, error) { return []byte(placeholder), nil }

// Secret returns the token's text, for an Authorization header.
func (t Token) Secret() string { return t.secret }

// Secrets returns all accepted texts. The first is the one to send.
func (t Token) Secrets() []string { return append([]string{t.secret}, t.alsoAccepted...) }

// ReadToken reads a token from a file. The first line is sent and accepted; a
// second line is only accepted, so that a token can be rotated without processes
// rejecting each other in the meantime.
func ReadToken(path string) (Token, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Token{}, oops.In("auth").Wrap(err)
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	if len(lines) > maxTokens {
		return Token{}, oops.In("auth").Errorf("%s: more than %d lines", path, maxTokens)
	}
	for i, line := range lines {
		lines[i] = strings.TrimSpace(line)
		if len(lines[i]) < minTokenBytes {
			return Token{}, oops.In("auth").Errorf("%s: line %d: token is shorter than %d bytes", path, i+1, minTokenBytes)
		}
	}
	return Token{secret: lines[0], alsoAccepted: lines[1:]}, nil
}

// Allows reports whether r carries an accepted token. The zero Token allows no
// request.
func (t Token) Allows(r *http.Request) bool {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || t.secret == "" {
		return false
	}
	equal := 0
	for _, secret := range t.Secrets() {
		equal |= subtle.ConstantTimeCompare([]byte(given), []byte(secret))
	}
	return equal == 1
}

// Require wraps next and answers requests without the token with status 401.
func (t Token) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !t.Allows(r) {
			http.Error(w, "token missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
