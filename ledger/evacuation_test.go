package ledger

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func evacuate(zone string, evacuated bool, known uint64, at int64) Command {
	return Command{AtMs: at, Evacuation: &SetEvacuation{Zone: zone, Evacuated: evacuated, KnownRevision: known}}
}

// Guards against a late order that undoes a newer one, against refusing a resent order, and
// against an order for one zone that is refused because of another zone.
func TestEvacuationOrders(t *testing.T) {
	is := is.New(t)
	l := New()
	for i, c := range []struct {
		zone      string
		evacuated bool
		known     uint64
		status    Status
		repeated  bool
		revision  uint64
		held      []string
	}{
		{"a", false, 0, StatusAccepted, true, 0, nil}, // was never evacuated
		{"a", true, 0, StatusAccepted, false, 1, []string{"a"}},
		{"a", true, 0, StatusAccepted, true, 1, []string{"a"}},
		{"a", true, 1, StatusAccepted, true, 1, []string{"a"}},
		{"a", false, 0, StatusConflict, false, 1, []string{"a"}}, // received before the start was known
		{"b", true, 0, StatusAccepted, false, 2, []string{"a", "b"}},
		{"a", false, 1, StatusAccepted, false, 3, []string{"b"}},
		{"a", false, 1, StatusAccepted, true, 3, []string{"b"}},
		{"a", true, 2, StatusConflict, false, 3, []string{"b"}}, // late resend of the start
		{"a", true, 3, StatusAccepted, false, 4, []string{"a", "b"}},
		{"b", false, 2, StatusAccepted, false, 5, []string{"a"}},
	} {
		r := l.Apply(evacuate(c.zone, c.evacuated, c.known, int64(1000+i)))
		is.Equal(r.Status, c.status)     // status
		is.Equal(r.Repeated, c.repeated) // repeated
		is.Equal(l.Evacuations().Revision, c.revision)
		is.Equal(l.Evacuations().Evacuated(), c.held)
	}
	is.Equal(l.Evacuations().Zones["a"].AtMs, int64(1009))
	is.Equal(l.Apply(evacuate("", true, 9, 2000)).Status, StatusRefused)
	is.Equal(restored(t, l).Evacuations(), l.Evacuations())
}

// Guards against a snapshot without evacuations, as earlier versions write them, that does not
// load, and against commands with two operations.
func TestEvacuationEncoding(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Apply(setRouting(7, "document"))
	data, err := l.Snapshot()
	is.NoErr(err)
	var fields map[int]any
	is.NoErr(snapshotDecMode.Unmarshal(data, &fields))
	_, present := fields[12]
	is.True(!present) // the same bytes as earlier versions write
	back, err := Restore(data)
	is.NoErr(err)
	is.Equal(back.Evacuations(), Evacuations{})

	encoded, err := Encode(evacuate("a", true, 3, 1))
	is.NoErr(err)
	c, err := Decode(encoded)
	is.NoErr(err)
	is.Equal(*c.Evacuation, SetEvacuation{Zone: "a", Evacuated: true, KnownRevision: 3})
	two := setRouting(1, "x")
	two.Evacuation = c.Evacuation
	encoded, err = Encode(two)
	is.NoErr(err)
	_, err = Decode(encoded)
	is.True(err != nil)
}

// Guards against a set that differs from the orders in force after any sequence of orders, late
// and repeated ones, and snapshots, and against values that change after they were returned.
func TestEvacuationsInDrawnOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := New()
		want := map[string]bool{}
		changed := map[string]uint64{} // revision of the latest change, by zone
		var revision uint64
		var sent []SetEvacuation
		for i := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			if rapid.IntRange(0, 5).Draw(rt, "snapshot") == 0 {
				data, err := l.Snapshot()
				if err != nil {
					rt.Fatal(err)
				}
				if l, err = Restore(data); err != nil {
					rt.Fatal(err)
				}
			}
			order := SetEvacuation{
				Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(rt, "zone")), Evacuated: rapid.Bool().Draw(rt, "start"), KnownRevision: revision,
			}
			if len(sent) > 0 && rapid.Bool().Draw(rt, "resend") {
				order = rapid.SampledFrom(sent).Draw(rt, "order")
			}
			sent = append(sent, order)
			before, kept := l.Evacuations(), l.Evacuations().Evacuated()
			r := l.Apply(Command{AtMs: int64(i), Evacuation: &order})
			if !slices.Equal(before.Evacuated(), kept) {
				rt.Fatal("a returned value was modified")
			}
			switch {
			case want[order.Zone] == order.Evacuated:
				if r.Status != StatusAccepted || !r.Repeated {
					rt.Fatalf("order in force is not acknowledged: %+v", r)
				}
			case changed[order.Zone] > order.KnownRevision:
				if r.Status != StatusConflict {
					rt.Fatalf("late order is not rejected: %+v", r)
				}
			default:
				if r.Status != StatusAccepted || r.Repeated {
					rt.Fatalf("new order is not accepted: %+v", r)
				}
				revision++
				want[order.Zone], changed[order.Zone] = order.Evacuated, revision
			}
			e := l.Evacuations()
			if e.Revision != revision {
				rt.Fatalf("revision %d instead of %d", e.Revision, revision)
			}
			for zone, evacuated := range want {
				if slices.Contains(e.Evacuated(), zone) != evacuated {
					rt.Fatalf("zone %s: evacuated %v instead of %v", zone, !evacuated, evacuated)
				}
			}
		}
	})
}
