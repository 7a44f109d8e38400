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

const minTokenBytes = 16

// hidden stands for a token wherever it is formatted.
const hidden = "[token]"

// Token is a bearer token. Its text never reaches logs through formatting.
type Token struct{ secret string }

// NewToken returns a token of the given text, for programs that embed daemons.
func NewToken(secret string) Token { return Token{secret: secret} }

// String hides the secret.
func (Token) String() string { return hidden }

// Format hides the secret from every verb, %#v included.
func (Token) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, hidden) }

// MarshalText hides the secret from JSON and YAML.
func (Token) MarshalText() ([]byte, error) { return []byte(hidden), nil }

// Secret returns the token's text, for an Authorization header.
func (t Token) Secret() string { return t.secret }

// ReadToken reads a token from a file.
func ReadToken(path string) (Token, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Token{}, oops.In("auth").Wrap(err)
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minTokenBytes {
		return Token{}, oops.In("auth").Errorf("%s: token is shorter than %d bytes", path, minTokenBytes)
	}
	return Token{secret: secret}, nil
}

// Allows reports whether r carries the token. The empty token allows nothing.
func (t Token) Allows(r *http.Request) bool {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || t.secret == "" {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(given), []byte(t.secret)) == 1
}

// Require wraps next and answers 401 without the token.
func (t Token) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !t.Allows(r) {
			http.Error(w, "token missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
