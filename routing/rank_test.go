package routing_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Guards against an organisation without a priority whose requests come before those of all
// organisations with one, whatever the priorities of the routes.
func TestRank(t *testing.T) {
	is := is.New(t)
	route := func(p int) *routing.Route { return &routing.Route{Priority: p} }
	stated := func(p int) *routing.Organisation {
		return &routing.Organisation{Priority: p, Prioritized: true}
	}
	none := &routing.Organisation{}
	is.True(route(5).Rank(none) > route(0).Rank(stated(1)))
	is.Equal(route(5).Rank(nil), route(5).Rank(none))
	is.True(route(5).Rank(stated(0)) < route(0).Rank(stated(1))) // that of the organisation takes precedence
	is.True(route(1).Rank(stated(1)) > route(0).Rank(stated(1))) // the route orders its requests
	is.True(route(2).Rank(none) < route(3).Rank(none))           // the route alone
	is.Equal(route(1000).Rank(stated(1000)), routing.MaxRank)    // out of range
	is.Equal(route(-1).Rank(stated(-1)), 0)                      // out of range
	table := routing.Compile(&routing.Document{Organisations: []routing.Organisation{{Name: "one", Prioritized: true}}})
	for rank := range routing.MaxRank {
		is.True(table.Level(rank) <= table.Level(rank+1)) // engines use the same order
	}
	is.Equal(table.Level(routing.MaxRank), 9)
	routes := routing.Compile(&routing.Document{Organisations: []routing.Organisation{{Name: "one"}}})
	for priority := range 10 { // without priorities of organisations, engines get that of the route
		is.Equal(routes.Level((&routing.Route{Priority: priority}).Rank(nil)), priority)
	}
}

// Guards against engines that are told priorities although all requests have the same one, and
// against leaving them out although some differ.
func TestRanked(t *testing.T) {
	is := is.New(t)
	one, two := routing.Route{Name: "one"}, routing.Route{Name: "two", Priority: 1}
	stated := func(p int) routing.Organisation { return routing.Organisation{Priority: p, Prioritized: true} }
	ranked := func(routes []routing.Route, organisations ...routing.Organisation) bool {
		return routing.Compile(&routing.Document{Routes: routes, Organisations: organisations}).Ranked()
	}
	is.True(!ranked([]routing.Route{one}))
	is.True(!ranked([]routing.Route{one}, stated(2), stated(2)))
	is.True(ranked([]routing.Route{one, two}))
	is.True(ranked([]routing.Route{one}, stated(1), stated(2)))
	is.True(ranked([]routing.Route{two}, stated(0), routing.Organisation{}))
	anonymous := one
	anonymous.Anonymous = true
	is.True(ranked([]routing.Route{anonymous}, stated(2)))
}
