package routing_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/routing"
)

func valid() *routing.Document {
	return &routing.Document{
		Version: 3,
		Routes: []routing.Route{
			{
				Name: "all", Host: "Quotes.example", Prefix: "/", Kind: routing.Safe, Timeout: time.Second,
				Targets: []routing.Target{{Service: "dispatch", Weight: 1}},
			},
			{
				Name: "plan", Host: "quotes.example", Prefix: "/plan/", Kind: routing.Stream, Timeout: time.Second,
				Targets: []routing.Target{{Service: "quote", Weight: 90}, {Service: "dispatch", Weight: 10}},
			},
		},
		Services:      []routing.Service{{Name: "dispatch"}, {Name: "quote"}},
		Organisations: []routing.Organisation{{Name: "one", Keys: []string{"a", "b"}}, {Name: "two", Keys: []string{"c"}}},
	}
}

// Guards against accepting inconsistent documents, and against errors that do not name
// the problem.
func TestValidate(t *testing.T) {
	is := is.New(t)
	is.NoErr(valid().Validate())
	for _, c := range []struct {
		name   string
		change func(*routing.Document)
		names  string
	}{
		{"no version", func(d *routing.Document) { d.Version = 0 }, "version"},
		{"unknown service", func(d *routing.Document) { d.Routes[0].Targets[0].Service = "x" }, `"x"`},
		{"no target", func(d *routing.Document) { d.Routes[0].Targets = nil }, `"all"`},
		{"weights of 0", func(d *routing.Document) { d.Routes[0].Targets[0].Weight = 0 }, "weights"},
		{"negative weight", func(d *routing.Document) { d.Routes[1].Targets[0].Weight = -1 }, "negative"},
		{"no time-out", func(d *routing.Document) { d.Routes[1].Timeout = 0 }, `"plan"`},
		{"prefix without slash", func(d *routing.Document) { d.Routes[1].Prefix = "/plan" }, "slash"},
		{"same place", func(d *routing.Document) { d.Routes[1].Prefix = "/" }, "same host"},
		{"shared key", func(d *routing.Document) { d.Organisations[1].Keys = []string{"a"} }, "share"},
		{"service without name", func(d *routing.Document) { d.Services[0].Name = "" }, "no name"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := valid()
			c.change(d)
			err := d.Validate()
			is.True(errors.Is(err, routing.ErrInvalid))
			is.True(strings.Contains(err.Error(), c.names))
		})
	}
}

// Guards against selecting a route other than the one with the longest prefix, for any
// order of the routes, port, and case of the host.
func TestLongestPrefix(t *testing.T) {
	is := is.New(t)
	table := routing.Compile(valid())
	is.Equal(table.Route("quotes.example", "/plan/7").Name, "plan")
	is.Equal(table.Route("QUOTES.example:8080", "/plan/").Name, "plan")
	is.Equal(table.Route("quotes.example", "/plan").Name, "all")
	is.Equal(table.Route("quotes.example", "/plan%2f7").Name, "all")
	is.Equal(table.Route("other.example", "/plan/7"), nil)
	is.Equal(table.Organisation("b").Name, "one")
	is.Equal(table.Organisation(""), nil)
}

// Guards against traffic splits that differ from the weights, and against sending
// requests to a target of weight 0.
func TestPickFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := routing.Route{}
		weights := rapid.SliceOfN(rapid.IntRange(0, 50), 1, 5).Draw(t, "weights")
		total := 0
		for i, w := range weights {
			r.Targets = append(r.Targets, routing.Target{Service: fmt.Sprint(i), Weight: w})
			total += w
		}
		if total == 0 {
			return
		}
		counts := map[string]int{}
		for i := range total {
			counts[r.Pick((float64(i)+0.5)/float64(total))]++
		}
		for i, w := range weights {
			if counts[fmt.Sprint(i)] != w {
				t.Fatalf("target %d got %d of %d requests, want its weight %d", i, counts[fmt.Sprint(i)], total, w)
			}
		}
	})
}

// Guards against documents that change when they are compressed for the replicated log.
func TestPack(t *testing.T) {
	is := is.New(t)
	source := bytes.Repeat([]byte(`{"name":"r-2xp4zhp"},`), 2000)
	packed, err := routing.Compress(source)
	is.NoErr(err)
	is.True(len(packed) < len(source)/5)
	back, err := routing.Decompress(packed)
	is.NoErr(err)
	is.True(bytes.Equal(back, source))
	_, err = routing.Decompress(packed[:len(packed)/2])
	is.True(errors.Is(err, routing.ErrInvalid))
}
