package storage

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/fxamacker/cbor/v2"

	"github.com/rhubarbhill/rhubarbhill/raft"
)

// Errors of this package.
var (
	// ErrCorrupt means that synced data is missing or no longer readable.
	ErrCorrupt = errors.New("data directory is corrupt")
	// ErrWrongReplica means that the directory belongs to another replica.
	ErrWrongReplica = errors.New("data directory belongs to another replica")
	// ErrLocked means that another process uses the directory.
	ErrLocked = errors.New("data directory is locked by another process")
	// ErrRetryable means that nothing is known to be stored. The caller may retry with the
	// same arguments, for example once the disk has free space. Until a call succeeds, what
	// the failed one wrote may be found when the directory is opened again.
	ErrRetryable = errors.New("disk full or not writable")
)

const (
	identityFile        = "identity.json"
	lockFile            = "lock"
	walDir              = "wal"
	snapshotDir         = "snap"
	segmentSuffix       = ".wal"
	snapshotSuffix      = ".snap"
	tmpSuffix           = ".tmp"
	identityBytes       = 8
	fileMode            = 0o600
	dirMode             = 0o700
	snapshotsKept       = 2
	defaultSegmentBytes = 16 << 20
	recoveryAdvice      = "restore the directory from a copy, or move it away and restart: the replica then rejoins as a learner"
	maxRecordBytes      = 1 << 30
	maxIdentityFile     = 4096
)

// Options configures Open.
type Options struct {
	// Replica is the configured name of the replica.
	Replica string
	// SegmentBytes is the size after which the WAL starts a new segment. Smaller
	// segments free disk space sooner but need more files. Default 16 MiB.
	SegmentBytes int64
	// NoSync disables syncing. It is only for measurements: a crash loses data.
	NoSync bool
	// FileOps replaces the operations that change files, for fault injection in tests.
	FileOps FileOps
}

// FileOps are the file operations in which tests inject disk faults.
type FileOps interface {
	// Create creates a file that must not exist.
	Create(path string) (*os.File, error)
	Write(f *os.File, data []byte) (int, error)
	// Sync syncs a file or a directory.
	Sync(f *os.File) error
	Truncate(f *os.File, size int64) error
	Rename(from, to string) error
	Remove(path string) error
}

// OSFiles are the operations of the operating system.
type OSFiles struct{}

// Create implements FileOps.
func (OSFiles) Create(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode)
}

// Write implements FileOps.
func (OSFiles) Write(f *os.File, data []byte) (int, error) { return f.Write(data) }

// Sync implements FileOps.
func (OSFiles) Sync(f *os.File) error { return f.Sync() }

// Truncate implements FileOps.
func (OSFiles) Truncate(f *os.File, size int64) error { return f.Truncate(size) }

// Rename implements FileOps.
func (OSFiles) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileOps.
func (OSFiles) Remove(path string) error { return os.Remove(path) }

type noSync struct{ OSFiles }

func (noSync) Sync(*os.File) error { return nil }

// Identity identifies a replica and its storage.
type Identity struct {
	Replica string `json:"replica"`
	Storage string `json:"storage"`
}

// ID returns the replica ID that the raft package uses.
func (i Identity) ID() string { return i.Replica + "." + i.Storage }

// State is the content of a data directory.
type State struct {
	Identity  Identity
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry // after the snapshot
	// TornBytes is the size of the torn record that Open removed from the end of
	// the WAL.
	TornBytes int64
}

// Empty reports whether there are no snapshot and no log entries.
func (s State) Empty() bool { return s.Snapshot.Index == 0 && len(s.Entries) == 0 }

// DataDir is an open data directory.
type DataDir struct {
	dir      string
	opts     Options
	files    FileOps
	identity Identity
	lock     *os.File
	wal      *wal
}

// Open locks and reads a data directory. It creates the directory if it does not
// exist.
func Open(dir string, opts Options) (*DataDir, State, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = defaultSegmentBytes
	}
	f := &DataDir{dir: dir, opts: opts, files: opts.FileOps}
	switch {
	case opts.NoSync:
		f.files = noSync{}
	case f.files == nil:
		f.files = OSFiles{}
	}
	if err := f.createAndLock(); err != nil {
		return nil, State{}, err
	}
	state, err := f.load()
	if err != nil {
		f.Close()
		return nil, State{}, err
	}
	return f, state, nil
}

func (f *DataDir) createAndLock() error {
	for _, sub := range []string{"", walDir, snapshotDir} {
		if err := os.MkdirAll(filepath.Join(f.dir, sub), dirMode); err != nil {
			return fmt.Errorf("data directory: %w", err)
		}
	}
	lock, err := os.OpenFile(filepath.Join(f.dir, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("data directory: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return fmt.Errorf("%w: %s", ErrLocked, f.dir)
	}
	f.lock = lock
	return nil
}

func (f *DataDir) load() (State, error) {
	var state State
	if err := f.loadIdentity(); err != nil {
		return state, err
	}
	state.Identity = f.identity
	f.removeTemporary(walDir, nil)
	f.removeTemporary(snapshotDir, nil)
	// A snapshot may have been renamed before a sync of its directory failed.
	if err := syncDir(filepath.Join(f.dir, snapshotDir), f.files); err != nil {
		return state, fmt.Errorf("%w: %w", ErrRetryable, err)
	}
	snapshot, err := f.loadSnapshot()
	if err != nil {
		return state, err
	}
	state.Snapshot = snapshot
	w, content, err := openWAL(filepath.Join(f.dir, walDir), f.identity.Storage, f.opts.SegmentBytes, f.files)
	if err != nil {
		return state, err
	}
	f.wal = w
	state.HardState, state.TornBytes = content.hardState, content.tornBytes
	if err := content.checkContinuity(snapshot); err != nil {
		return state, err
	}
	if !content.continuesFrom(snapshot) {
		return state, f.wal.append(record{HardState: state.HardState, Reset: snapshot.Index, Snapshot: snapshot.Index})
	}
	for _, e := range content.entries {
		if e.Index > snapshot.Index {
			state.Entries = append(state.Entries, e)
		}
	}
	return state, nil
}

// loadIdentity reads the identity. It creates one if there are no WAL segments
// and no snapshots.
func (f *DataDir) loadIdentity() error {
	path := filepath.Join(f.dir, identityFile)
	data, err := os.ReadFile(path)
	if err == nil {
		return f.parseIdentity(path, data)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("identity: %w", err)
	}
	for _, sub := range []string{walDir, snapshotDir} {
		names, err := os.ReadDir(filepath.Join(f.dir, sub))
		if err != nil {
			return fmt.Errorf("data directory: %w", err)
		}
		if len(names) > 0 {
			return fmt.Errorf("%w: %s is missing but %s is not empty; %s", ErrCorrupt, identityFile, sub, recoveryAdvice)
		}
	}
	id := make([]byte, identityBytes)
	if _, err := rand.Read(id); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	f.identity = Identity{Replica: f.opts.Replica, Storage: hex.EncodeToString(id)}
	data, err = json.Marshal(f.identity)
	if err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	return f.writeFileAtomic(path, data)
}

func (f *DataDir) parseIdentity(path string, data []byte) error {
	if len(data) > maxIdentityFile || json.Unmarshal(data, &f.identity) != nil || len(f.identity.Storage) != 2*identityBytes {
		return fmt.Errorf("%w: %s is not readable; %s", ErrCorrupt, path, recoveryAdvice)
	}
	if f.identity.Replica != f.opts.Replica {
		return fmt.Errorf("%w: it belongs to replica %q, this is %q; correct data_dir or replica, or move the directory away: the replica then joins as a learner",
			ErrWrongReplica, f.identity.Replica, f.opts.Replica)
	}
	return nil
}

// writeFileAtomic writes a file atomically: after a crash it is complete or has
// its previous content, if any. After ErrRetryable, the new content may have replaced the
// previous one.
func (f *DataDir) writeFileAtomic(path string, data []byte) error {
	file, err := createAtomic(path, data, f.files)
	if err != nil {
		return err
	}
	_ = file.Close() // the content is synced
	return nil
}

// createAtomic is like writeFileAtomic and returns the file, open at its end.
func createAtomic(path string, data []byte, files FileOps) (*os.File, error) {
	tmp := path + tmpSuffix
	// Once a sync of a file has failed, a later one may succeed without writing, so an
	// earlier temporary file is never used again.
	if err := files.Remove(tmp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%w: %w", ErrRetryable, err)
	}
	file, err := files.Create(tmp)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRetryable, err)
	}
	_, err = files.Write(file, data)
	if err == nil {
		err = files.Sync(file)
	}
	if err == nil {
		err = files.Rename(tmp, path)
	}
	if err == nil {
		err = syncDir(filepath.Dir(path), files)
	}
	if err != nil {
		_ = file.Close()
		_ = files.Remove(tmp) // gives its room back; the next attempt removes it otherwise
		return nil, fmt.Errorf("%w: %w", ErrRetryable, err)
	}
	return file, nil
}

func syncDir(dir string, files FileOps) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(files.Sync(d), d.Close())
}

// Save stores the hard state and entries as one record and returns after syncing
// it. The entries replace the stored log from their first index on. After
// ErrRetryable the call may be repeated; any other error is permanent.
//
// There is no variant without a sync: after a crash, several unsynced records
// could not be distinguished from corruption.
func (f *DataDir) Save(hard raft.HardState, entries []raft.Entry) error {
	return f.wal.append(record{HardState: hard, Entries: entries})
}

// WriteSnapshot writes a snapshot file. Unlike all other methods it may run
// concurrently with another one, so that a large snapshot does not block Save.
func (f *DataDir) WriteSnapshot(s raft.Snapshot) error {
	data, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%020d-%020d%s", s.Index, s.Term, snapshotSuffix)
	return f.writeFileAtomic(filepath.Join(f.dir, snapshotDir, name), data)
}

// ActivateSnapshot records in the WAL that a snapshot from WriteSnapshot is in use,
// and removes old snapshots and WAL segments that hold only entries before
// keepFrom. With reset the snapshot replaces the whole stored log, as is needed
// for a snapshot received from the leader.
func (f *DataDir) ActivateSnapshot(index uint64, hard raft.HardState, reset bool, keepFrom uint64) error {
	if err := f.wal.append(record{HardState: hard, Reset: resetIndex(reset, index), Snapshot: index}); err != nil {
		return err
	}
	f.removeObsolete(keepFrom)
	return nil
}

// SaveSnapshot calls WriteSnapshot and ActivateSnapshot.
func (f *DataDir) SaveSnapshot(s raft.Snapshot, hard raft.HardState, reset bool, keepFrom uint64) error {
	if err := f.WriteSnapshot(s); err != nil {
		return err
	}
	return f.ActivateSnapshot(s.Index, hard, reset, keepFrom)
}

func resetIndex(reset bool, index uint64) uint64 {
	if reset {
		return index
	}
	return 0
}

// removeObsolete removes obsolete snapshots and WAL segments. Errors are ignored,
// because the next call removes the remaining files.
func (f *DataDir) removeObsolete(keepFrom uint64) {
	names, err := f.snapshotNames()
	if err == nil {
		for _, name := range names[min(snapshotsKept, len(names)):] {
			_ = f.files.Remove(filepath.Join(f.dir, snapshotDir, name))
		}
		f.removeTemporary(snapshotDir, names)
	}
	f.wal.removeBefore(keepFrom)
}

// removeTemporary removes the temporary files that failed writes have left in a directory. If
// complete names the complete files, newest first, those for later ones may still be written.
func (f *DataDir) removeTemporary(sub string, complete []string) {
	files, err := os.ReadDir(filepath.Join(f.dir, sub))
	if err != nil {
		return // the next call removes them
	}
	for _, file := range files {
		name, temporary := strings.CutSuffix(file.Name(), tmpSuffix)
		if temporary && (len(complete) == 0 || name <= complete[0]) {
			_ = f.files.Remove(filepath.Join(f.dir, sub, file.Name()))
		}
	}
}

// snapshotNames returns the file names of complete snapshots, newest first.
func (f *DataDir) snapshotNames() ([]string, error) {
	files, err := os.ReadDir(filepath.Join(f.dir, snapshotDir))
	if err != nil {
		return nil, fmt.Errorf("snapshots: %w", err)
	}
	var names []string
	for _, file := range files {
		if strings.HasSuffix(file.Name(), snapshotSuffix) {
			names = append(names, file.Name())
		}
	}
	slices.Sort(names)
	slices.Reverse(names)
	return names, nil
}

// loadSnapshot reads the newest snapshot. If that is corrupt it does not fall
// back to an older one, because the WAL may no longer hold the entries between
// them.
func (f *DataDir) loadSnapshot() (raft.Snapshot, error) {
	names, err := f.snapshotNames()
	if err != nil || len(names) == 0 {
		return raft.Snapshot{}, err
	}
	path := filepath.Join(f.dir, snapshotDir, names[0])
	data, err := os.ReadFile(path)
	if err != nil {
		return raft.Snapshot{}, fmt.Errorf("snapshot: %w", err)
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return s, fmt.Errorf("%w: %s: %w; %s", ErrCorrupt, path, err, recoveryAdvice)
	}
	index, _ := strconv.ParseUint(strings.SplitN(names[0], "-", 2)[0], 10, 64)
	if index != s.Index {
		return s, fmt.Errorf("%w: %s holds a snapshot at index %d; %s", ErrCorrupt, path, s.Index, recoveryAdvice)
	}
	return s, nil
}

// Size returns the total size of the files in bytes.
func (f *DataDir) Size() int64 {
	var total int64
	_ = filepath.WalkDir(f.dir, func(_ string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			if info, err := d.Info(); err == nil {
				total += info.Size()
			}
		}
		return nil
	})
	return total
}

// Close closes the files and releases the lock.
func (f *DataDir) Close() {
	if f.wal != nil {
		f.wal.close()
	}
	_ = f.lock.Close()
}

var encMode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 24, MaxMapPairs: 1024}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()
