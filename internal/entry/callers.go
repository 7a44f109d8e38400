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

// callerTokens tells callers apart. An organisation with a token of its own is
// known by that token only, so that no other caller can use its share or its
// idempotency keys. The others share a token and name themselves.
type callerTokens struct {
	shared auth.Token
	byOrganisation    map[string]auth.Token // by organisation
}

// identify checks the token of r and sets its organisation header to the
// organisation that the request counts for.
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

// organisationOf compares with every token, so that the time taken tells nothing.
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
// own. A token that the callers share, or that another organisation has, is an
// error: it would not tell whose request it is.
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
