package swarm

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var savedAt = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

func corruptPeer(name string) Source { return Source{Kind: KindPeer, Peer: name} }

// Guards against penalties that are lost or change their duration across a
// restart, and against saved penalties for transient faults.
func TestPenaltiesOutliveRestart(t *testing.T) {
	faults := []Fault{FaultCorrupt, FaultStalled, FaultBusy}
	rapid.Check(t, func(t *rapid.T) {
		p := NewPenalties()
		now := time.Hour
		corrupt := map[string]bool{}
		for range rapid.IntRange(0, 20).Draw(t, "faults") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer")
			fault := rapid.SampledFrom(faults).Draw(t, "fault")
			p.recordFault(now, corruptPeer(name), fault, 0)
			corrupt[name] = corrupt[name] || fault == FaultCorrupt
		}
		p.recordFault(now, Source{Kind: KindStore}, FaultBusy, time.Hour)
		away := time.Duration(rapid.Int64Range(0, int64(30*time.Hour)).Draw(t, "away"))
		restored := NewPenalties()
		if err := restored.Restore(p.Encode(now, savedAt), 0, savedAt.Add(away)); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"a", "b", "c"} {
			want := max(0, p.Until(corruptPeer(name))-now-away)
			if !corrupt[name] {
				want = 0
			}
			if got := restored.Until(corruptPeer(name)); got != want {
				t.Fatalf("%s: avoided for %v, want %v", name, got, want)
			}
		}
		if restored.Until(Source{Kind: KindStore}) != 0 {
			t.Fatal("the store is avoided after the restart")
		}
	})
}

// Guards against a restart that resets the backoff for repeated corruption.
func TestRestoredPenaltyGoesOnDoubling(t *testing.T) {
	is := is.New(t)
	p, restored := NewPenalties(), NewPenalties()
	p.recordFault(0, corruptPeer("a"), FaultCorrupt, 0)
	is.NoErr(restored.Restore(p.Encode(0, savedAt), 0, savedAt))
	restored.recordFault(0, corruptPeer("a"), FaultCorrupt, 0)
	is.Equal(restored.Until(corruptPeer("a")), 20*time.Minute)
}

// Guards against a clock set back that excludes a peer for longer than the
// longest backoff, and against a file of unbounded size.
func TestSavedPenaltiesAreBounded(t *testing.T) {
	is := is.New(t)
	p := NewPenalties()
	for i := range 2 * maxSavedPenalties {
		p.recordFault(time.Duration(i), corruptPeer(fmt.Sprintf("%0*d", maxSavedName, i)), FaultCorrupt, 0)
	}
	data := p.Encode(0, savedAt)
	is.True(len(data) <= MaxSavedBytes)
	restored := NewPenalties()
	is.NoErr(restored.Restore(data, 0, savedAt.AddDate(-1, 0, 0)))
	is.Equal(len(restored.sources), maxSavedPenalties)
	last := corruptPeer(fmt.Sprintf("%0*d", maxSavedName, 2*maxSavedPenalties-1))
	is.Equal(restored.Until(last), 24*time.Hour)
}

// Guards against penalties from a damaged file: every changed or missing byte
// must be detected.
func TestDamagedPenaltiesAreRefused(t *testing.T) {
	p := NewPenalties()
	p.recordFault(0, corruptPeer("a"), FaultCorrupt, 0)
	data := p.Encode(0, savedAt)
	refuse := func(data []byte) {
		t.Helper()
		restored := NewPenalties()
		if err := restored.Restore(data, 0, savedAt); !errors.Is(err, ErrSavedPenalties) || len(restored.sources) > 0 {
			t.Fatalf("%q: %v", data, err)
		}
	}
	for i := range data {
		changed := append([]byte(nil), data...)
		changed[i] ^= 1
		refuse(changed)
		refuse(data[:i])
	}
	for _, body := range []string{``, `{}`, `[{"peer":"","count":1}]`, `[{"peer":"a","count":0}]`, `[{"peer":"a","count":-1}]`} {
		refuse(append(checksum([]byte(body)), body...))
	}
}

// Guards against panics on malformed input, and against restored penalties that
// exceed the longest backoff.
func FuzzRestorePenalties(f *testing.F) {
	p := NewPenalties()
	p.recordFault(0, corruptPeer("a"), FaultCorrupt, 0)
	f.Add(p.Encode(0, savedAt))
	f.Add([]byte(`[{"peer":"a","count":9223372036854775807,"until":"2026-12-04T06:00:00Z"}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		restored := NewPenalties()
		if restored.Restore(data, 0, savedAt) != nil && len(restored.sources) > 0 {
			t.Fatal("damaged data left penalties")
		}
		restored = NewPenalties()
		_ = restored.Restore(append(checksum(data), data...), 0, savedAt)
		for source, e := range restored.sources {
			if e.until > peerBackoff[FaultCorrupt].limit || e.counts[FaultCorrupt] < 1 {
				t.Fatalf("%v: %+v", source, e)
			}
			for range 3 {
				restored.recordFault(0, source, FaultCorrupt, 0)
			}
		}
	})
}
