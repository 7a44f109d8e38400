package entry

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against a caller that uses the share or the idempotency keys of an
// organisation with its own token, by naming it or with another token.
func TestCallersAreIdentified(t *testing.T) {
	const shared, own, second = "shared-token-of-all", "token-of-the-large-one", "token-of-another-one"
	callers := callerTokens{
		shared:         auth.NewToken(shared),
		byOrganisation: map[string]auth.Token{"large": auth.NewToken(own), "other": auth.NewToken(second)},
	}
	for name, c := range map[string]struct {
		token, named string
		status       int // 0 if the request is accepted
		counted      string
	}{
		"own token":                     {own, "", 0, "large"},
		"own token, named":              {own, "large", 0, "large"},
		"own token, other name":         {own, "other", http.StatusForbidden, ""},
		"own token, name without token": {own, "small", http.StatusForbidden, ""},
		"shared token":                  {shared, "small", 0, "small"},
		"shared token, no name":         {shared, "", 0, ""},
		"shared token, reserved name":   {shared, "large", http.StatusForbidden, ""},
		"wrong token":                   {own + "x", "large", http.StatusUnauthorized, ""},
		"no token":                      {"", "small", http.StatusUnauthorized, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(http.MethodGet, "/v1/models", nil)
			r.Header.Set("Authorization", "Bearer "+c.token)
			if c.named != "" {
				r.Header.Set(wire.HeaderOrganisation, c.named)
			}
			err := callers.identify(r)
			if c.status != 0 {
				is.Equal(err.status, c.status)
				return
			}
			is.True(err == nil)
			is.Equal(r.Header.Get(wire.HeaderOrganisation), c.counted)
		})
	}
}

// Guards against a token shared by two organisations, or by an organisation and
// all callers.
func TestOrganisationTokensDiffer(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file := func(name, secret string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(secret), 0o600))
		return path
	}
	one, two := file("one", "token-number-one-of-two"), file("two", "token-number-two-of-two")
	shared, err := auth.ReadToken(file("shared", "token-of-all-callers"))
	is.NoErr(err)
	s := Settings{Organisations: map[string]OrganisationSettings{"a": {TokenFile: one}, "b": {TokenFile: two}, "c": {}}}
	tokens, err := s.ReadOrganisationTokens(shared)
	is.NoErr(err)
	is.Equal(len(tokens), 2)
	for _, file := range []string{one, filepath.Join(dir, "shared"), filepath.Join(dir, "missing")} {
		s.Organisations["b"] = OrganisationSettings{TokenFile: file}
		_, err = s.ReadOrganisationTokens(shared)
		is.True(err != nil)
	}
}
