package auth

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const secret = "0123456789abcdef-secret"

// Guards against a handler that admits a request without the exact token.
func TestRequire(t *testing.T) {
	cases := map[string]struct {
		token  Token
		header string
		want   int
	}{
		"right":             {NewToken(secret), "Bearer " + secret, http.StatusOK},
		"wrong":             {NewToken(secret), "Bearer " + secret[1:], http.StatusUnauthorized},
		"longer":            {NewToken(secret), "Bearer " + secret + "x", http.StatusUnauthorized},
		"missing":           {NewToken(secret), "", http.StatusUnauthorized},
		"other scheme":      {NewToken(secret), "Basic " + secret, http.StatusUnauthorized},
		"no token is set":   {Token{}, "Bearer ", http.StatusUnauthorized},
		"no token, nothing": {Token{}, "", http.StatusUnauthorized},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			if c.header != "" {
				r.Header.Set("Authorization", c.header)
			}
			w := httptest.NewRecorder()
			c.token.Require(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})).ServeHTTP(w, r)
			is.Equal(w.Code, c.want)
			is.True(!strings.Contains(w.Body.String(), secret))
		})
	}
}

// Guards against a token whose text appears in formatted or marshalled output.
func TestTokenIsNeverPrinted(t *testing.T) {
	is := is.New(t)
	token := NewToken(secret)
	holder := struct{ Token Token }{token}
	encoded, err := json.Marshal(holder)
	is.NoErr(err)
	texts := []string{string(encoded)}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		texts = append(texts, fmt.Sprintf(verb, token), fmt.Sprintf(verb, &token), fmt.Sprintf(verb, holder))
	}
	for _, text := range texts {
		is.True(!strings.Contains(text, secret))
		is.True(!strings.Contains(text, fmt.Sprintf("%x", secret)))
	}
}

// Guards against accepting a token file that is missing, has a token too short to be
// safe, or has too many lines.
func TestReadToken(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	files := map[string]string{
		"good": secret + "\n", "short": "abc", "empty": " \n",
		"short-second": secret + "\nabc\n", "three": strings.Repeat(secret+"\n", 3),
	}
	for name, content := range files {
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
	}
	token, err := ReadToken(filepath.Join(dir, "good"))
	is.NoErr(err)
	is.Equal(token.Secret(), secret)
	for _, name := range []string{"short", "empty", "missing", "short-second", "three"} {
		_, err := ReadToken(filepath.Join(dir, name))
		is.True(err != nil && strings.Contains(err.Error(), name))
	}
}

// Guards against a token rotation during which processes reject each other: at
// each step, processes with the previous and the next file accept each other.
func TestTokenRotation(t *testing.T) {
	is := is.New(t)
	const next = "fedcba9876543210-secret"
	steps := []string{secret, secret + "\n" + next, next + "\n" + secret + "\n", next}
	var tokens []Token
	for i, content := range steps {
		path := filepath.Join(t.TempDir(), fmt.Sprint(i))
		is.NoErr(os.WriteFile(path, []byte(content), 0o600))
		token, err := ReadToken(path)
		is.NoErr(err)
		tokens = append(tokens, token)
	}
	allows := func(server, client Token) bool {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set("Authorization", "Bearer "+client.Secret())
		return server.Allows(r)
	}
	for i := 1; i < len(tokens); i++ {
		is.True(allows(tokens[i-1], tokens[i]))
		is.True(allows(tokens[i], tokens[i-1]))
	}
	is.True(!allows(tokens[3], tokens[0]))
	is.Equal(len(tokens[1].Secrets()), 2)
}
