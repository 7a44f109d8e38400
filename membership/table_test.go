package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/membership"
)

type record = membership.Record[int]

var start = time.Unix(1_000, 0)

func Example() {
	table := membership.New(membership.Config[string]{Epoch: 1})
	table.Apply(membership.Record[string]{Endpoint: "a", Incarnation: 1, Sequence: 1, Report: "idle"}, start)

	view := membership.NewView[string](membership.ViewConfig{})
	view.Apply("hub", table.Since(view.SourceVersion("hub")), start)
	fmt.Println(view.Live()[0].Report)

	fmt.Println(table.Expire(start.Add(3 * time.Second)))
	view.Apply("hub", table.Since(view.SourceVersion("hub")), start)
	fmt.Println(len(view.Live()))
	// Output:
	// idle
	// [a]
	// 0
}

// Guards against a late announcement that restores the state of a stopped or
// restarted process, or keeps an endpoint alive.
func TestLateAnnouncementsAreIgnored(t *testing.T) {
	is := is.New(t)
	table := membership.New(membership.Config[int]{Epoch: 1})
	is.True(table.Apply(record{Endpoint: "a", Incarnation: 2, Sequence: 5, Report: 1}, start))
	for _, late := range []record{{Incarnation: 2, Sequence: 5}, {Incarnation: 2, Sequence: 4}, {Incarnation: 1, Sequence: 9}} {
		late.Endpoint = "a"
		is.True(!table.Apply(late, start.Add(2*time.Second)))
	}
	is.Equal(table.Expire(start.Add(3*time.Second)), []string{"a"})
	is.True(!table.Apply(record{Endpoint: "a", Incarnation: 2, Sequence: 5}, start.Add(4*time.Second)))
	is.Equal(len(table.Live()), 0)
}

// Guards against removing an endpoint that only one of its sources lost, and
// against restoring a stopped endpoint that a source behind the others lists.
func TestViewKeepsWhatOneSourceHoldsUntilGone(t *testing.T) {
	is := is.New(t)
	view := membership.NewView[int](membership.ViewConfig{})
	held := membership.Update[int]{Epoch: 1, Version: 1, Updated: []record{{Endpoint: "a", Incarnation: 1, Sequence: 1}}}
	is.True(view.Apply("x", held, start))
	is.True(view.Apply("y", held, start))
	is.True(view.Apply("x", membership.Update[int]{Epoch: 1, Version: 2, Base: 1, Removed: []string{"a"}}, start))
	is.Equal(len(view.Live()), 1)
	gone := record{Endpoint: "a", Incarnation: 1, Sequence: 2, Gone: true}
	is.True(view.Apply("y", membership.Update[int]{Epoch: 1, Version: 2, Base: 1, Updated: []record{gone}}, start))
	is.True(view.Apply("z", held, start)) // a source that is behind
	is.Equal(len(view.Live()), 0)
	is.True(!view.Apply("z", membership.Update[int]{Epoch: 1, Version: 9, Base: 8}, start)) // base is unknown
}

// Guards against a lost source that keeps dead endpoints indefinitely, or whose
// short interruption removes live ones.
func TestLostSourceExpires(t *testing.T) {
	is := is.New(t)
	view := membership.NewView[int](membership.ViewConfig{})
	view.Apply("x", membership.Update[int]{Epoch: 1, Version: 1, Updated: []record{{Endpoint: "a", Incarnation: 1, Sequence: 1}}}, start)
	view.SourceLost("x", start)
	is.Equal(len(view.Expire(start.Add(2900*time.Millisecond))), 0)
	is.Equal(view.Expire(start.Add(3*time.Second)), []string{"a"})
}

// Guards against deltas after which a follower's table differs from the sender's,
// under random orders of announcements, losses and expiries.
func TestDeltasReproduceTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// With a short retention, removed endpoints are dropped and followers get the
		// full table.
		forgets := rapid.Bool().Draw(t, "forgets")
		retention := map[bool]time.Duration{false: time.Hour, true: time.Second}[forgets]
		table := membership.New(membership.Config[int]{
			Epoch: 7, Retention: retention,
			Significant: func(a, b record) bool { return a.Report != b.Report },
		})
		view := membership.NewView[int](membership.ViewConfig{Retention: time.Second})
		newest := map[string][2]uint64{}
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				r := record{
					Endpoint:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint"),
					Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
					Sequence:    rapid.Uint64Range(1, 8).Draw(t, "sequence"),
					Gone:        rapid.IntRange(0, 4).Draw(t, "gone") == 0,
					Report:      rapid.IntRange(0, 2).Draw(t, "report"),
				}
				last := newest[r.Endpoint]
				isNew := r.Incarnation > last[0] || r.Incarnation == last[0] && r.Sequence > last[1]
				if forgets && !isNew {
					return // a late announcement past the retention counts as new
				}
				applied := table.Apply(r, now)
				if isNew != applied {
					t.Fatalf("Apply(%+v) = %v, want %v", r, applied, isNew)
				}
				if applied {
					newest[r.Endpoint] = [2]uint64{r.Incarnation, r.Sequence}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				table.Expire(now)
			},
			"follow": func(t *rapid.T) {
				if !view.Apply("hub", table.Since(view.SourceVersion("hub")), now) {
					t.Fatal("the view refused an update for its own version")
				}
				a, b := table.Live(), view.Live()
				if len(a) != len(b) {
					t.Fatalf("table %v, view %v", a, b)
				}
				for i := range a {
					if a[i].Endpoint != b[i].Endpoint || a[i].Report != b[i].Report || a[i].Incarnation != b[i].Incarnation {
						t.Fatalf("table %v, view %v", a, b)
					}
				}
			},
		})
	})
}

// Guards against a follower that was away while an endpoint stopped and keeps using it: in a
// full table an endpoint that is only missing may be one that has not announced itself yet.
func TestFullTableHasStoppedEndpoints(t *testing.T) {
	is := is.New(t)
	table := membership.New(membership.Config[int]{Epoch: 1})
	table.Apply(record{Endpoint: "a", Incarnation: 1, Sequence: 1}, start)
	table.Apply(record{Endpoint: "b", Incarnation: 1, Sequence: 1}, start)
	gone := record{Endpoint: "a", Incarnation: 1, Sequence: 2, Gone: true}
	table.Apply(gone, start)
	u := table.Since(0, 0)
	is.Equal(u.Base, uint64(0))
	is.Equal(u.Updated, []record{gone, {Endpoint: "b", Incarnation: 1, Sequence: 1}})
	view := membership.NewView[int](membership.ViewConfig{})
	is.True(view.Apply("x", membership.Update[int]{Epoch: 9, Version: 1, Updated: []record{{Endpoint: "a", Incarnation: 1, Sequence: 1}}}, start))
	is.True(view.Apply("y", u, start)) // a source that knows of the stop
	is.Equal(len(view.Live()), 1)
}

// Guards against a stop that followers never learn of, because the endpoint had expired before
// it was announced.
func TestStopOfExpiredEndpointIsAChange(t *testing.T) {
	is := is.New(t)
	table := membership.New(membership.Config[int]{Epoch: 1, Significant: func(a, b record) bool { return a.Report != b.Report }})
	table.Apply(record{Endpoint: "a", Incarnation: 1, Sequence: 1}, start)
	is.Equal(table.Expire(start.Add(3*time.Second)), []string{"a"})
	before := table.Version()
	gone := record{Endpoint: "a", Incarnation: 1, Sequence: 2, Gone: true}
	table.Apply(gone, start.Add(4*time.Second))
	is.Equal(table.Since(1, before).Updated, []record{gone})
}

// Guards against a source that knows only that an earlier incarnation stopped, and then counts
// as one that lists the present one, which keeps it after all others have dropped it.
func TestStopOfEarlierIncarnationHoldsNothing(t *testing.T) {
	is := is.New(t)
	view := membership.NewView[int](membership.ViewConfig{})
	view.Apply("x", membership.Update[int]{Epoch: 1, Version: 1, Updated: []record{{Endpoint: "a", Incarnation: 2, Sequence: 1}}}, start)
	view.Apply("y", membership.Update[int]{Epoch: 1, Version: 1, Updated: []record{{Endpoint: "a", Incarnation: 1, Sequence: 9, Gone: true}}}, start)
	is.Equal(len(view.Live()), 1)
	view.Apply("x", membership.Update[int]{Epoch: 1, Version: 2, Base: 1, Removed: []string{"a"}}, start)
	is.Equal(len(view.Live()), 0)
}
