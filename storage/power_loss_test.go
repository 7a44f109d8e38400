package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/rhubarbhill/rhubarbhill/raft"
)

var errNoSpace = errors.New("no space left on device")

// powerDisk fails drawn operations, and knows what a loss of power leaves of each file. After a
// failed sync of a file, later syncs of it succeed without writing, as on Linux.
type powerDisk struct {
	OSFiles
	rng     *rand.Rand
	failing map[string]bool   // operations that fail now, by name
	synced  map[uint64][]byte // content as last synced, by inode
	broken  map[uint64]bool   // inodes with a failed sync
	names   map[string]uint64 // synced names of files, with their inodes
	removed []*os.File        // open, so that their inodes are not used again
}

func newPowerDisk(rng *rand.Rand) *powerDisk {
	return &powerDisk{rng: rng, failing: map[string]bool{}, synced: map[uint64][]byte{}, broken: map[uint64]bool{}, names: map[string]uint64{}}
}

func inode(info fs.FileInfo) uint64 { return info.Sys().(*syscall.Stat_t).Ino }

func (d *powerDisk) fails(operation string) bool { return d.failing[operation] }

func (d *powerDisk) Create(path string) (*os.File, error) {
	if d.fails("create") {
		return nil, errNoSpace
	}
	f, err := d.OSFiles.Create(path)
	if err == nil {
		info, statErr := f.Stat()
		if statErr != nil {
			return nil, statErr
		}
		delete(d.broken, inode(info)) // the inode of a removed file may be used again
		d.synced[inode(info)] = nil
	}
	return f, err
}

func (d *powerDisk) Write(f *os.File, data []byte) (int, error) {
	switch {
	case d.fails("write"):
		return 0, errNoSpace
	case d.fails("partial write"):
		n, _ := f.Write(data[:d.rng.IntN(len(data)+1)])
		return n, errNoSpace
	}
	return f.Write(data)
}

func (d *powerDisk) Sync(f *os.File) error {
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.IsDir() {
		return d.syncNames(f.Name())
	}
	if d.fails("sync") {
		d.broken[inode(info)] = true
		return errNoSpace
	}
	if d.broken[inode(info)] {
		return nil
	}
	content := make([]byte, info.Size())
	_, err = f.ReadAt(content, 0)
	d.synced[inode(info)] = content
	return err
}

func (d *powerDisk) syncNames(dir string) error {
	if d.fails("directory sync") {
		return errNoSpace
	}
	for name := range d.names {
		if filepath.Dir(name) == dir {
			delete(d.names, name)
		}
	}
	files, err := os.ReadDir(dir)
	for _, file := range files {
		if info, err := file.Info(); err == nil && !file.IsDir() {
			d.names[filepath.Join(dir, file.Name())] = inode(info)
		}
	}
	return err
}

func (d *powerDisk) Truncate(f *os.File, size int64) error {
	if d.fails("truncate") {
		return errNoSpace
	}
	return f.Truncate(size)
}

func (d *powerDisk) Rename(from, to string) error {
	if d.fails("rename") {
		return errNoSpace
	}
	return os.Rename(from, to)
}

func (d *powerDisk) Remove(path string) error {
	if d.fails("remove") {
		return errNoSpace
	}
	// Keeps the inode from being used again: a loss of power may bring its content back.
	if file, err := os.Open(path); err == nil {
		d.removed = append(d.removed, file)
	}
	return os.Remove(path)
}

func (d *powerDisk) close() {
	for _, file := range d.removed {
		_ = file.Close()
	}
}

// losePower leaves of each file what was synced, and perhaps a part of what was written since.
// Each name that was created, replaced or removed since its directory was synced is kept as it
// is or as it was.
func (d *powerDisk) losePower(t *testing.T, dirs ...string) {
	for _, dir := range dirs {
		after := map[string][]byte{}
		for name, node := range d.names {
			if filepath.Dir(name) == dir {
				after[name] = d.synced[node]
			}
		}
		files, err := os.ReadDir(dir)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			name := filepath.Join(dir, file.Name())
			info, err := file.Info()
			if err != nil || file.IsDir() {
				continue
			}
			if node, named := d.names[name]; (!named || node != inode(info)) && d.rng.IntN(2) == 0 {
				continue // its name is as it was
			}
			after[name] = d.afterPowerLoss(t, name, inode(info))
		}
		for name := range d.names { // names that were removed since stay away in half of the cases
			if _, err := os.Stat(name); filepath.Dir(name) == dir && errors.Is(err, fs.ErrNotExist) && d.rng.IntN(2) == 0 {
				delete(after, name)
			}
		}
		d.rewrite(t, dir, after)
	}
}

func (d *powerDisk) afterPowerLoss(t *testing.T, name string, node uint64) []byte {
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	synced := d.synced[node]
	if len(content) <= len(synced) || d.rng.IntN(2) == 0 {
		return synced
	}
	return slices.Concat(synced, content[len(synced):len(synced)+d.rng.IntN(len(content)-len(synced)+1)])
}

func (d *powerDisk) rewrite(t *testing.T, dir string, after map[string][]byte) {
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if !file.IsDir() && file.Name() != lockFile {
			_ = d.Remove(filepath.Join(dir, file.Name()))
		}
	}
	for name := range d.names {
		if filepath.Dir(name) == dir {
			delete(d.names, name)
		}
	}
	for name, content := range after {
		if filepath.Base(name) == lockFile {
			continue
		}
		if err := os.WriteFile(name, content, fileMode); err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(name)
		if err != nil {
			t.Fatal(err)
		}
		d.names[name], d.synced[inode(info)] = inode(info), content
		delete(d.broken, inode(info))
	}
}

// storedLog is what a data directory may hold.
type storedLog struct {
	hard     raft.HardState
	entries  []raft.Entry
	snapshot uint64
}

func (l storedLog) last() uint64 { return l.snapshot + uint64(len(l.entries)) }

func (l storedLog) equals(s State) bool {
	return l.hard == s.HardState && l.snapshot == s.Snapshot.Index && fmt.Sprint(l.entries) == fmt.Sprint(s.Entries)
}

func (l storedLog) save(hard raft.HardState, added []raft.Entry) storedLog {
	kept := l.entries[:min(len(l.entries), int(added[0].Index-l.snapshot-1))]
	return storedLog{hard, slices.Concat(kept, added), l.snapshot}
}

// withSnapshot returns the log after a snapshot at one of its entries.
func (l storedLog) withSnapshot(e raft.Entry) storedLog {
	i := slices.IndexFunc(l.entries, func(held raft.Entry) bool { return held.Index == e.Index && held.Term == e.Term })
	if i < 0 {
		return l
	}
	return storedLog{l.hard, l.entries[i+1:], e.Index}
}

// failingDir is a data directory on a disk whose operations fail now and then.
type failingDir struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	disk   *powerDisk
	dir    string
	data   *DataDir
	stored storedLog
	// committed is the highest index of a snapshot, before which no entry is replaced.
	committed  uint64
	saveFailed bool // the last call
	// leftSnapshots are snapshots that failed and whose file may exist all the same.
	leftSnapshots []raft.Entry
	// possible lists what may be found when the directory is opened: each call that failed
	// since the last one that succeeded may or may not have left its effect.
	possible []storedLog
	events   []string
}

func (f *failingDir) options() Options {
	return Options{Replica: "r", FileOps: f.disk, SegmentBytes: 300}
}

func (f *failingDir) subdirectories() []string {
	return []string{f.dir, filepath.Join(f.dir, walDir), filepath.Join(f.dir, snapshotDir)}
}

func (f *failingDir) fatal(format string, args ...any) {
	f.t.Helper()
	f.t.Fatalf("seed %d: %s\n%s", f.seed, fmt.Sprintf(format, args...), strings.Join(f.events, "\n"))
}

func (f *failingDir) require(err error) {
	f.t.Helper()
	if err != nil {
		f.fatal("%v", err)
	}
}

func newFailingDir(t *testing.T, seed uint64) *failingDir {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := &failingDir{t: t, seed: seed, rng: rng, disk: newPowerDisk(rng), dir: t.TempDir(), possible: make([]storedLog, 1)}
	var err error
	f.data, _, err = Open(f.dir, f.options())
	f.require(err)
	return f
}

// record records the result of a call with its effect on the log.
func (f *failingDir) record(err error, effect func(storedLog) storedLog) {
	switch {
	case err == nil:
		f.stored = effect(f.stored)
		f.possible = []storedLog{f.stored}
		for _, e := range f.leftSnapshots {
			f.possible = append(f.possible, f.stored.withSnapshot(e))
		}
	case !errors.Is(err, ErrRetryable):
		f.fatal("%v", err)
	default:
		for _, l := range f.possible {
			f.possible = append(f.possible, effect(l))
		}
	}
}

func (f *failingDir) save() {
	first := max(f.committed, f.stored.last()-uint64(f.rng.IntN(min(3, len(f.stored.entries))+1))) + 1
	hard := raft.HardState{Term: f.stored.hard.Term + 1 + uint64(len(f.events))}
	added := entries(first, first+uint64(f.rng.IntN(4)), hard.Term)
	err := f.data.Save(hard, added)
	f.saveFailed = err != nil
	f.events = append(f.events, fmt.Sprintf("save %d to %d in term %d: %v", first, added[len(added)-1].Index, hard.Term, err))
	f.record(err, func(l storedLog) storedLog { return l.save(hard, added) })
}

func (f *failingDir) saveSnapshot() {
	candidates := slices.DeleteFunc(slices.Clone(f.stored.entries), func(e raft.Entry) bool { return e.Index < f.committed })
	if len(candidates) == 0 || f.saveFailed { // a replica repeats a failed call first
		return
	}
	e := candidates[f.rng.IntN(len(candidates))]
	f.committed = e.Index
	err := f.data.SaveSnapshot(raft.Snapshot{Index: e.Index, Term: e.Term, Membership: raft.Membership{Voters: []string{"r"}}}, f.stored.hard, false, e.Index)
	f.events = append(f.events, fmt.Sprintf("snapshot at %d: %v", e.Index, err))
	f.leftSnapshots = append(f.leftSnapshots, e)
	if err == nil {
		f.leftSnapshots = nil
	}
	f.record(err, func(l storedLog) storedLog { return l.withSnapshot(e) })
}

// reopen ends the process or loses the power, and opens the directory on a sound disk.
func (f *failingDir) reopen() {
	clear(f.disk.failing)
	f.data.Close()
	powerLost := f.rng.IntN(2) == 0
	if powerLost {
		f.disk.losePower(f.t, f.subdirectories()...)
	}
	f.events = append(f.events, fmt.Sprintf("reopened, power lost: %v", powerLost))
	var state State
	var err error
	f.data, state, err = Open(f.dir, f.options())
	f.require(err)
	i := slices.IndexFunc(f.possible, func(l storedLog) bool { return l.equals(state) })
	if i < 0 {
		f.fatal("found %+v, snapshot %d, %v; want one of %+v", state.HardState, state.Snapshot.Index, state.Entries, f.possible)
	}
	f.stored = f.possible[i]
	f.possible, f.leftSnapshots, f.saveFailed = []storedLog{f.stored}, nil, false
}

// Guards against losing what was stored, or storing nothing any more, after operations of a
// disk failed for a while: it was full, or a sync reported what a write had put off.
func TestFailingDisksLoseNothing(t *testing.T) {
	operations := []string{"create", "write", "partial write", "sync", "directory sync", "truncate", "rename", "remove"}
	for seed := range uint64(100) {
		f := newFailingDir(t, seed)
		for range 60 {
			if f.rng.IntN(4) == 0 {
				clear(f.disk.failing)
				for range f.rng.IntN(4) {
					f.disk.failing[operations[f.rng.IntN(len(operations))]] = true
				}
				f.events = append(f.events, fmt.Sprintf("failing: %v", f.disk.failing))
			}
			switch kind := f.rng.IntN(8); {
			case kind == 0:
				f.saveSnapshot()
			case kind == 1 || len(f.possible) > 256:
				f.reopen()
			default:
				f.save()
			}
		}
		clear(f.disk.failing)
		f.save()
		if f.saveFailed {
			f.fatal("nothing is stored after the disk has recovered")
		}
		f.saveSnapshot()
		for _, dir := range f.subdirectories() {
			if left, _ := filepath.Glob(filepath.Join(dir, "*"+tmpSuffix)); len(left) > 0 {
				f.fatal("temporary files are left: %v", left)
			}
		}
		f.data.Close()
		f.disk.close()
	}
}
