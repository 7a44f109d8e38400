package entry

import (
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

// callerTokens identifies callers. An organisation with its own token is
// identified only by that token, so no other caller can use its share or its
// idempotency keys. All other organisations use the shared token and name
// themselves in a header.
type callerTokens struct {
	shared         auth.Token
	byOrganisation map[string]auth.Token // by organisation
}

// identify checks the token of r and sets the organisation header to the
// organisation that the request is accounted to.
func (c callerTokens) identify(r *http.Request) *apiError {
	named := r.Header.Get(wire.HeaderOrganisation)
	organisation, known := c.organisationOf(r)
	switch {
	case known && named != "" && named != organisation:
		return refusal(http.StatusForbidden, outcome.Unauthorized,
			fmt.Sprintf("the bearer token is that of organisation %q, the request names %q", organisation, named))
	case known:
		r.Header.Set(wire.HeaderOrganisation, organisation)
		return nil
	case !c.shared.Allows(r):
		return refusal(http.StatusUnauthorized, outcome.Unauthorized, "the bearer token is missing or wrong")
	}
	if _, reserved := c.byOrganisation[named]; reserved {
		return refusal(http.StatusForbidden, outcome.Unauthorized,
			fmt.Sprintf("organisation %q has a bearer token of its own", named))
	}
	return nil
}

// organisationOf returns the organisation whose own token r carries. It compares
// with every token, so that the time taken does not reveal which one matched.
func (c callerTokens) organisationOf(r *http.Request) (organisation string, ok bool) {
	for name, token := range c.byOrganisation {
		if token.Allows(r) {
			organisation, ok = name, true
		}
	}
	return organisation, ok
}

func (e *Entry) requireCaller(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := e.callers.identify(r); err != nil {
			e.refuse(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ReadOrganisationTokens reads the tokens of the organisations that have their
// own. A token that is also a shared token, or that of another organisation, is
// an error, because it would not identify the organisation.
func (s *Settings) ReadOrganisationTokens(shared auth.Token) (map[string]auth.Token, error) {
	tokens := map[string]auth.Token{}
	holders := map[string]string{}
	for _, secret := range shared.Secrets() {
		holders[secret] = "all callers"
	}
	for _, name := range slices.Sorted(maps.Keys(s.Organisations)) {
		file := s.Organisations[name].TokenFile
		if file == "" {
			continue
		}
		token, err := auth.ReadToken(file)
		if err != nil {
			return nil, err
		}
		for _, secret := range token.Secrets() {
			if holder, taken := holders[secret]; taken {
				return nil, oops.In("entry").Errorf("organisations.%s.token_file: the token is also that of %s", name, holder)
			}
			holders[secret] = name
		}
		tokens[name] = token
	}
	return tokens, nil
}
