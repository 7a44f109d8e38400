package routing_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Guards against serving a request in a region that only one of its two lists allows, and against
// taking lists without a common region for no restriction.
func TestAllowedRegions(t *testing.T) {
	for name, c := range map[string]struct {
		route, organisation []string
		want                []string
		bound               bool
	}{
		"none":               {nil, nil, nil, false},
		"empty lists":        {[]string{}, []string{}, []string{}, false},
		"route":              {[]string{"r1"}, nil, []string{"r1"}, true},
		"organisation":       {nil, []string{"r2"}, []string{"r2"}, true},
		"both":               {[]string{"r1", "r2", "r3"}, []string{"r3", "r2"}, []string{"r2", "r3"}, true},
		"empty intersection": {[]string{"r1"}, []string{"r2"}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route := &routing.Route{Regions: c.route}
			names, bound := route.AllowedRegions(&routing.Organisation{Regions: c.organisation})
			is.Equal(names, c.want)
			is.Equal(bound, c.bound)
			if len(c.organisation) == 0 {
				names, bound = route.AllowedRegions(nil) // an anonymous caller
				is.Equal(names, c.want)
				is.Equal(bound, c.bound)
			}
		})
	}
}

// Guards against a list that looks set but names nothing. Regions that no deployment has are
// valid, since the document does not know them.
func TestValidateRegions(t *testing.T) {
	is := is.New(t)
	d := valid()
	d.Routes[0].Regions, d.Organisations = []string{"unknown"}, []routing.Organisation{{Name: "one", Regions: []string{"unknown"}}}
	is.NoErr(d.Validate())
	d.Routes[0].Regions = []string{"r1", ""}
	is.True(errors.Is(d.Validate(), routing.ErrInvalid))
	d.Routes[0].Regions = nil
	d.Organisations[0].Regions = []string{""}
	is.True(errors.Is(d.Validate(), routing.ErrInvalid))
}

// Guards against directing callers to a region that one of the routes of the host, or one of the
// organisations that may call it, does not allow.
func TestHostRegions(t *testing.T) {
	is := is.New(t)
	d := &routing.Document{Routes: []routing.Route{
		{Host: "A.example", Prefix: "/1/", Regions: []string{"r1", "r2"}},
		{Host: "a.example", Prefix: "/2/", Regions: []string{"r2", "r3"}},
		{Host: "a.example", Prefix: "/3/"},
		{Host: "b.example", Prefix: "/"},
		{Host: "c.example", Prefix: "/1/", Regions: []string{"r1"}},
		{Host: "c.example", Prefix: "/2/", Regions: []string{"r2"}},
	}}
	allowed := func(host string) ([]string, bool) { return routing.NewHostRegions(d).Allowed(host) }
	names, bound := allowed("a.EXAMPLE:8443")
	is.True(bound)
	is.Equal(names, []string{"r2"})
	names, bound = allowed("c.example")
	is.True(bound)
	is.Equal(len(names), 0)
	_, bound = allowed("b.example")
	is.True(!bound)
	d.Organisations = []routing.Organisation{{Name: "free"}, {Name: "one", Regions: []string{"r1", "r2"}}, {Name: "two", Regions: []string{"r2", "r1"}}}
	names, bound = allowed("b.example")
	is.True(bound)
	is.Equal(names, []string{"r1", "r2"})
	names, bound = allowed("a.example")
	is.True(bound)
	is.Equal(names, []string{"r2"})
}
