package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

func fleet(entries, endpoints int) ([]placement.Entry, []placement.Endpoint) {
	zones := []string{"a", "b", "c"}
	var es []placement.Entry
	for i := range entries {
		es = append(es, placement.Entry{Name: fmt.Sprint("entry-", i), Zone: zones[i%3]})
	}
	var list []placement.Endpoint
	for i := range endpoints {
		e := endpoint(fmt.Sprint("engine-", i))
		e.Zone = zones[(i/2)%3]
		list = append(list, e)
	}
	return es, list
}

// Guards against endpoints without a home, with two, or an entry with far more
// than its share, at the sizes of the users' fleets.
func TestEveryEndpointHasOneHome(t *testing.T) {
	for _, size := range [][2]int{{1, 12}, {4, 12}, {4, 20}, {14, 45}, {14, 76}, {16, 88}, {5, 3}} {
		entries, endpoints := fleet(size[0], size[1])
		homes := map[string]string{}
		for _, e := range entries {
			mine := placement.Homes(e.Name, entries, endpoints)
			if most := (size[1] + size[0] - 1) / size[0]; len(mine) > most {
				t.Errorf("%d entries, %d endpoints: %s is home to %d, want at most %d", size[0], size[1], e.Name, len(mine), most)
			}
			for id := range mine {
				if homes[id] != "" {
					t.Errorf("%s has two homes", id)
				}
				homes[id] = e.Name
			}
		}
		if len(homes) != size[1] {
			t.Errorf("%d entries: %d of %d endpoints have a home", size[0], len(homes), size[1])
		}
	}
}

// Guards against an entry that stops and moves the homes of most endpoints, whose
// work their new homes do not know exactly.
func TestOneEntryMovesFewHomes(t *testing.T) {
	entries, endpoints := fleet(14, 76)
	moved := 0
	for _, e := range entries[1:] {
		after := placement.Homes(e.Name, entries[1:], endpoints)
		for id := range placement.Homes(e.Name, entries, endpoints) {
			if !after[id] {
				moved++
			}
		}
	}
	const share = 0.25 // of all endpoints, besides those whose home has stopped
	if float64(moved) > share*float64(len(endpoints)) {
		t.Errorf("%d of %d endpoints moved", moved, len(endpoints))
	}
}

// Guards against a request that goes to another entry's engine while this
// entry's own can serve it as soon, and against leaving idle engines unused.
func TestHomeFirst(t *testing.T) {
	is := is.New(t)
	home, shared := endpoint("home"), endpoint("shared")
	home.Home = true
	p := placement.NewPool(placement.Config{})
	p.Update(engine, []placement.Endpoint{home, shared}, 2, start)
	choice, verdict := p.Place(placement.Request{Prompt: 900, Zone: "a"}, start.Add(time.Second))
	is.Equal(verdict, placement.Placed)
	is.Equal(choice.ID, "home")
	p.Begin("home", 4000)
	choice, verdict = p.Place(placement.Request{Prompt: 900, Zone: "a"}, start.Add(time.Second))
	is.Equal(verdict, placement.Placed)
	is.Equal(choice.ID, "shared")
}

// Guards against prompts that keep the streams of an engine silent for longer than
// their callers allow: 400 ms is about 6,300 tokens and a pass.
func TestPromptsThatWaitBoundThePause(t *testing.T) {
	is := is.New(t)
	p := pool(endpoint("a"))
	r := placement.Request{Prompt: 3000, Zone: "a", Gap: 400 * time.Millisecond}
	for range 2 {
		_, verdict := p.Place(r, start)
		is.Equal(verdict, placement.Placed)
		p.Begin("a", r.Prompt)
	}
	_, verdict := p.Place(r, start)
	is.Equal(verdict, placement.Full)
	p.FirstEvent("a", r.Prompt)
	p.FirstEvent("a", r.Prompt)
	_, verdict = p.Place(r, start)
	is.Equal(verdict, placement.Placed)
}
