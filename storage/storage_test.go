package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/raft"
)

func entries(from, to, term uint64) []raft.Entry {
	var list []raft.Entry
	for i := from; i <= to; i++ {
		list = append(list, raft.Entry{Index: i, Term: term, Kind: raft.EntryCommand, Data: fmt.Appendf(nil, "entry %d", i)})
	}
	return list
}

func open(t *testing.T, dir string, o Options) (*DataDir, State) {
	t.Helper()
	o.Replica = "r"
	f, state, err := Open(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, state
}

func lastSegment(t *testing.T, dir string) string {
	t.Helper()
	names, err := segmentNames(filepath.Join(dir, walDir))
	if err != nil || len(names) == 0 {
		t.Fatal("no segments", err)
	}
	return filepath.Join(dir, walDir, names[len(names)-1])
}

// Guards against a crash during a write after which the replica does not start,
// or has lost records that were synced before.
func TestTornRecordIsTruncated(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	f, _ := open(t, dir, Options{})
	is.NoErr(f.Save(raft.HardState{Term: 1}, entries(1, 3, 1)))
	f.Close()
	path := lastSegment(t, dir)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	frame, err := encodeRecord(record{Sequence: 3, HardState: raft.HardState{Term: 2}, Entries: entries(4, 4, 2)})
	is.NoErr(err)
	for cut := 1; cut < len(frame); cut++ {
		is.NoErr(os.WriteFile(path, slices.Concat(whole, frame[:cut]), fileMode))
		f, state := open(t, dir, Options{})
		is.Equal(state.TornBytes, int64(cut))
		is.Equal(len(state.Entries), 3)
		is.Equal(state.HardState.Term, uint64(1))
		f.Close()
	}
	// Zeros, where the file was extended but not written, are a torn record too.
	is.NoErr(os.WriteFile(path, slices.Concat(whole, make([]byte, 64)), fileMode))
	f, state := open(t, dir, Options{})
	is.Equal(state.TornBytes, int64(64))
	is.NoErr(f.Save(raft.HardState{Term: 2}, entries(4, 4, 2)))
	f.Close()
	_, state = open(t, dir, Options{})
	is.Equal(len(state.Entries), 4)
}

// Guards against silent loss of acknowledged entries: with a bit flipped in any
// byte before the last record, Open must fail and say what to do.
func TestCorruptionBeforeLastRecordIsRefused(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	f, _ := open(t, dir, Options{})
	for i := uint64(1); i <= 3; i++ {
		is.NoErr(f.Save(raft.HardState{Term: 1}, entries(i, i, 1)))
	}
	f.Close()
	path := lastSegment(t, dir)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	last := strings.LastIndex(string(whole), "WLHR")
	for at := range last {
		damaged := slices.Clone(whole)
		damaged[at] ^= 0x40
		is.NoErr(os.WriteFile(path, damaged, fileMode))
		_, _, err := Open(dir, Options{Replica: "r"})
		if !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "rejoins as a learner") {
			t.Fatalf("bit flipped at %d of %d: %v", at, last, err)
		}
	}
}

// Guards against a replica that starts without the snapshot that precedes its
// log, or with a corrupt one.
func TestCorruptOrMissingSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	f, _ := open(t, dir, Options{})
	is.NoErr(f.Save(raft.HardState{Term: 1}, entries(1, 9, 1)))
	s := raft.Snapshot{Index: 8, Term: 1, Membership: raft.Membership{Voters: []string{"a"}}, Data: []byte("state")}
	is.NoErr(f.SaveSnapshot(s, raft.HardState{Term: 1, Commit: 8}, false, 6))
	f.Close()
	f, state := open(t, dir, Options{})
	is.Equal(state.Snapshot.Index, uint64(8))
	is.Equal(len(state.Entries), 1)
	f.Close()
	names, err := f.snapshotNames()
	is.NoErr(err)
	path := filepath.Join(dir, snapshotDir, names[0])
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data[len(data)-1] ^= 1
	is.NoErr(os.WriteFile(path, data, fileMode))
	_, _, err = Open(dir, Options{Replica: "r"})
	is.True(errors.Is(err, ErrCorrupt))
	is.NoErr(os.Remove(path))
	_, _, err = Open(dir, Options{Replica: "r"})
	is.True(errors.Is(err, ErrCorrupt))
}

// Guards against a replica that votes with the log of another replica or with a
// directory that lost its identity file, and against two processes that use one
// directory.
func TestWrongReplicaAndLockedDirAreRefused(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	f, _ := open(t, dir, Options{})
	_, _, err := Open(dir, Options{Replica: "r"})
	is.True(errors.Is(err, ErrLocked))
	f.Close()
	_, _, err = Open(dir, Options{Replica: "other"})
	is.True(errors.Is(err, ErrWrongReplica))
	is.NoErr(os.Remove(filepath.Join(dir, identityFile)))
	_, _, err = Open(dir, Options{Replica: "r"})
	is.True(errors.Is(err, ErrCorrupt))
	other := t.TempDir()
	g, _ := open(t, other, Options{})
	g.Close()
	is.NoErr(os.Rename(filepath.Join(other, identityFile), filepath.Join(dir, identityFile)))
	_, _, err = Open(dir, Options{Replica: "r"})
	is.True(errors.Is(err, ErrCorrupt)) // segments of another storage
}

// Guards against conflicting log entries that survive a crash between storing a
// received snapshot and resetting the log.
func TestSnapshotWithoutResetDropsOldLog(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	f, _ := open(t, dir, Options{})
	is.NoErr(f.Save(raft.HardState{Term: 1}, entries(1, 9, 1)))
	s := raft.Snapshot{Index: 5, Term: 2, Membership: raft.Membership{Voters: []string{"a"}}}
	data, err := encodeSnapshot(s)
	is.NoErr(err)
	is.NoErr(f.writeFileAtomic(filepath.Join(dir, snapshotDir, fmt.Sprintf("%020d-%020d%s", 5, 2, snapshotSuffix)), data))
	f.Close()
	for range 2 {
		f, state := open(t, dir, Options{})
		is.Equal(state.Snapshot.Index, uint64(5))
		is.Equal(len(state.Entries), 0)
		f.Close()
	}
}

// Guards against a partial record that a full disk leaves before later records, and against
// a directory that stores nothing any more after a failed sync.
func TestFullAndFailingDisk(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	disk := newPowerDisk(rand.New(rand.NewPCG(1, 1)))
	defer disk.close()
	f, _ := open(t, dir, Options{FileOps: disk})
	is.NoErr(f.Save(raft.HardState{Term: 1}, entries(1, 1, 1)))
	disk.failing["partial write"] = true
	for range 3 {
		is.True(errors.Is(f.Save(raft.HardState{Term: 1}, entries(2, 2, 1)), ErrRetryable))
	}
	clear(disk.failing)
	is.NoErr(f.Save(raft.HardState{Term: 1}, entries(2, 2, 1)))
	disk.failing["sync"] = true
	for range 3 {
		is.True(errors.Is(f.Save(raft.HardState{Term: 1}, entries(3, 3, 1)), ErrRetryable))
	}
	clear(disk.failing)
	is.NoErr(f.Save(raft.HardState{Term: 1}, entries(3, 4, 1)))
	f.Close()
	_, state := open(t, dir, Options{})
	is.Equal(len(state.Entries), 4)
}

// Guards against sequences of saves, snapshots and restarts that lose or reorder
// entries. Small segments make the WAL remove segments often.
func TestReopenedDirEqualsWhatWasSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "wal")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		opts := Options{Replica: "r", SegmentBytes: 200, NoSync: true}
		f, _, err := Open(dir, opts)
		if err != nil {
			t.Fatal(err)
		}
		var log []raft.Entry
		var snapshot raft.Snapshot
		var hard raft.HardState
		last := func() uint64 { return snapshot.Index + uint64(len(log)) }
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				from := last() + 1 - uint64(rapid.IntRange(0, min(3, len(log))).Draw(t, "replaced"))
				hard.Term++
				added := entries(from, from+uint64(rapid.IntRange(0, 4).Draw(t, "more")), hard.Term)
				log = append(log[:from-snapshot.Index-1], added...)
				err = f.Save(hard, added)
			case 3:
				if len(log) == 0 {
					continue
				}
				at := rapid.IntRange(1, len(log)).Draw(t, "at")
				e := log[at-1]
				snapshot = raft.Snapshot{Index: e.Index, Term: e.Term, Membership: raft.Membership{Voters: []string{"a"}}}
				log = slices.Clone(log[at:])
				err = f.SaveSnapshot(snapshot, hard, false, e.Index-min(e.Index, 2))
			case 4:
				snapshot = raft.Snapshot{Index: last() + 5, Term: hard.Term, Membership: raft.Membership{Voters: []string{"a"}}}
				log = nil
				err = f.SaveSnapshot(snapshot, hard, true, snapshot.Index)
			case 5:
				f.Close()
				var state State
				f, state, err = Open(dir, opts)
				if err == nil && (fmt.Sprint(state.Entries) != fmt.Sprint(log) || state.HardState != hard || state.Snapshot.Index != snapshot.Index) {
					t.Fatalf("reopened: %v %+v %d, want %v %+v %d", state.Entries, state.HardState, state.Snapshot.Index, log, hard, snapshot.Index)
				}
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		f.Close()
	})
}

// Guards against input that crashes the decoder, and against decoded records that
// cannot be encoded and decoded again.
func FuzzRecord(f *testing.F) {
	frame, err := encodeRecord(record{Sequence: 1, Entries: entries(1, 2, 1), Storage: "s"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add(frame[:len(frame)-1])
	f.Add([]byte("WLHR\xff\xff\xff\xff0000"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, n, err := decodeRecord(data)
		_ = containsRecord(data)
		if err != nil {
			return
		}
		if n > len(data) {
			t.Fatalf("record length %d exceeds input length %d", n, len(data))
		}
		var c walContent
		_ = c.apply(r)
		again, err := encodeRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := decodeRecord(again); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a corrupt snapshot file that crashes the decoder or is accepted
// without an index.
func FuzzSnapshot(f *testing.F) {
	data, err := encodeSnapshot(raft.Snapshot{Index: 1, Term: 1, Membership: raft.Membership{Voters: []string{"a"}}, Data: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:9])
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := decodeSnapshot(data); err == nil && s.Index == 0 {
			t.Fatal("snapshot without index accepted")
		}
	})
}

// Guards against a corrupt identity file that crashes Open or is accepted.
func FuzzIdentity(f *testing.F) {
	f.Add([]byte(`{"replica":"a","storage":"00112233445566778899aabbccddeeff"}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, data []byte) {
		dataDir := &DataDir{opts: Options{Replica: "a"}}
		if dataDir.parseIdentity("identity", data) == nil && dataDir.identity.Replica != "a" {
			t.Fatal("identity of another replica accepted")
		}
	})
}
