package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against pauses that end early, and against those that outlast what they apply to.
func TestPauses(t *testing.T) {
	endpoint := func(incarnation uint64) []Endpoint { return []Endpoint{{ID: "a", Incarnation: incarnation, Slots: 8}} }
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for _, c := range []struct {
		name   string
		change func(p *Pool)
		when   int
		want   Verdict
	}{
		{"within", func(*Pool) {}, 4, NoEndpoint},
		{"after its end", func(*Pool) {}, 5, Placed},
		{"a shorter one does not end it", func(p *Pool) { p.Pause("a", 1, at(2)) }, 3, NoEndpoint},
		{"a longer one extends it", func(p *Pool) { p.Pause("a", 1, at(9)) }, 8, NoEndpoint},
		{"success does not end it", func(p *Pool) {
			p.Begin("a", Prefill{})
			p.End("a", 1, PrefillState{}, Success, at(1))
		}, 3, NoEndpoint},
		{"another check-in does not end it", func(p *Pool) { p.Update(nil, endpoint(1), at(1)) }, 3, NoEndpoint},
		{"it outlasts an absence from the list", func(p *Pool) {
			p.Update(nil, nil, at(1))
			p.Update(nil, endpoint(1), at(2))
		}, 3, NoEndpoint},
		{"a new incarnation ends it", func(p *Pool) { p.Update(nil, endpoint(2), at(1)) }, 2, Placed},
		{"an earlier incarnation states one", func(p *Pool) {
			p.Update(nil, endpoint(2), at(1))
			p.Pause("a", 1, at(9))
		}, 2, Placed},
		{"a later incarnation states one that is not listed yet", func(p *Pool) { p.Pause("a", 2, at(9)) }, 6, NoEndpoint},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(Config{})
			p.Update(nil, endpoint(1), start)
			p.Pause("a", 1, at(5))
			c.change(p)
			_, verdict := p.Place(Request{}, at(c.when))
			is.Equal(verdict, c.want)
			p.Update(nil, endpoint(9), at(100))
			is.Equal(len(p.pauses), 0) // memory is bounded by what pauses now
		})
	}
}

// Guards against a request that is sent away though an endpoint wants it.
func TestAllPaused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := NewPool(Config{})
	_, all := p.AllPaused(Request{}, now)
	is.True(!all) // there is none
	p.Update(nil, []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c", Draining: true}}, now)
	p.Pause("a", 0, now.Add(5*time.Second))
	_, all = p.AllPaused(Request{}, now)
	is.True(!all)
	until, all := p.AllPaused(Request{Exclude: []string{"b"}}, now)
	is.True(all)
	is.Equal(until, now.Add(5*time.Second))
	p.Pause("b", 0, now.Add(3*time.Second))
	until, all = p.AllPaused(Request{}, now)
	is.True(all)
	is.Equal(until, now.Add(3*time.Second))
	_, all = p.AllPaused(Request{}, until)
	is.True(!all)
}
