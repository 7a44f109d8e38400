package ledger

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func setRouting(version uint64, text string) Command {
	return Command{AtMs: int64(version), Routing: &SetRouting{Version: version, Document: []byte(text)}}
}

// Guards against going back to an older routing document, against two documents
// with one version, and against refusing a resent document.
func TestHighestRoutingWins(t *testing.T) {
	is := is.New(t)
	l := New()
	for _, c := range []struct {
		command  Command
		repeated bool
		held     string
	}{
		{setRouting(5, "five"), false, "five"},
		{setRouting(5, "five"), true, "five"},
		{setRouting(5, "other"), true, "five"},
		{setRouting(3, "three"), true, "five"},
		{setRouting(9, "nine"), false, "nine"},
		{setRouting(5, "five"), true, "nine"},
	} {
		r := l.Apply(c.command)
		is.Equal(r.Status, StatusAccepted)
		is.Equal(r.Repeated, c.repeated)
		is.Equal(string(l.Routing().Document), c.held)
	}
	is.Equal(l.Apply(setRouting(0, "x")).Status, StatusRefused)
	is.Equal(l.Apply(setRouting(10, "")).Status, StatusRefused)
}

// Guards against losing a weights version, or the time when it was set, across a
// snapshot: after a restart of all replicas, requests would start on old weights.
func TestNamedWeightsSurviveSnapshots(t *testing.T) {
	is := is.New(t)
	l := New()
	for version := range uint64(6) {
		l.Apply(Command{AtMs: int64(1000 * version), Weights: &SetWeightsVersion{Model: "m", Version: version + 1}})
	}
	is.True(l.Apply(Command{AtMs: 9000, Weights: &SetWeightsVersion{Model: "m", Version: 2}}).Repeated)
	want := []WeightsVersion{{1, 0}, {2, 1000}, {3, 2000}, {4, 3000}, {5, 4000}, {6, 5000}}
	is.Equal(l.Weights()["m"], want)
	l.Apply(setRouting(7, "document"))
	data, err := l.Snapshot()
	is.NoErr(err)
	back, err := Restore(data)
	is.NoErr(err)
	is.Equal(back.Weights()["m"], want)
	is.Equal(back.Routing(), l.Routing())
	again, err := back.Snapshot()
	is.NoErr(err)
	is.Equal(string(again), string(data))
}

// Guards against requests that begin on weights whose successor was forgotten because others followed within seconds.
func TestSuccessorOfWeightsIsNotForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		var set []WeightsVersion
		now := int64(1_000)
		for version := range uint64(rapid.IntRange(1, 200).Draw(t, "versions")) {
			now += int64(rapid.IntRange(0, 3_000).Draw(t, "gap ms"))
			set = append(set, WeightsVersion{version + 2, now})
			l.Apply(Command{AtMs: now, Weights: &SetWeightsVersion{Model: "m", Version: version + 2}})
		}
		supersededAt := func(list []WeightsVersion, version uint64) int64 {
			return list[slices.IndexFunc(list, func(w WeightsVersion) bool { return w.Version > version })].AtMs
		}
		for i, w := range set {
			used := w.Version - 1
			want, got := supersededAt(set, used), supersededAt(l.Weights()["m"], used)
			if got > want || i >= len(set)-50 && got < want {
				t.Fatalf("version %d of %d was superseded at %d ms, the ledger has %d ms", used, len(set)+1, want, got)
			}
		}
	})
}

// Guards against weights in use that count as long superseded at processes that start, because many versions followed within seconds.
func TestWeightsInUseOutliveBursts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		now := int64(1_000)
		set := func(version uint64) {
			l.Apply(Command{AtMs: now, Weights: &SetWeightsVersion{Model: "m", Version: version}})
		}
		older := rapid.IntRange(1, 100).Draw(t, "older versions")
		for version := range uint64(older) {
			set(version + 1)
			now += int64(rapid.IntRange(300_000, 86_400_000).Draw(t, "gap ms"))
		}
		used, first := uint64(older), now
		for i := range uint64(rapid.IntRange(1, 400).Draw(t, "versions")) {
			set(used + i + 1)
			now += int64(rapid.IntRange(0, 20).Draw(t, "gap ms"))
		}
		list := l.Weights()["m"]
		at := slices.IndexFunc(list, func(w WeightsVersion) bool { return w.Version > used })
		if list[at].AtMs != first {
			t.Fatalf("version %d was superseded at %d ms, the ledger has %d ms", used, first, list[at].AtMs)
		}
		if len(list) > 64 {
			t.Fatalf("%d versions are kept", len(list))
		}
	})
}
