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
	// ErrDiskFailed means that a sync failed, or that a partial write could not be
	// removed. What the disk holds is unknown until the directory is opened
	// again.
	ErrDiskFailed = errors.New("disk failed")
	// ErrRetryable means that nothing was stored. The caller may retry with the same
	// arguments, for example once the disk has free space.
	ErrRetryable = errors.New("disk full or not writable")
)

const (
	identityFile        = "identity.json"
	lockFile            = "lock"
	walDir              = "wal"
	snapshotDir         = "snap"
	segmentSuffix       = ".wal"
	snapshotSuffix      = ".snap"
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
	// FileOps replaces the write and sync operations, for fault injection in tests.
	FileOps FileOps
}

// FileOps are the file operations in which tests inject disk faults.
type FileOps interface {
	Write(f *os.File, data []byte) (int, error)
	Sync(f *os.File) error
}

type osFiles struct{}

func (osFiles) Write(f *os.File, data []byte) (int, error) { return f.Write(data) }
func (osFiles) Sync(f *os.File) error                      { return f.Sync() }

type noSync struct{ osFiles }

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
	dir           string
	opts          Options
	files         FileOps
	identity      Identity
	lock          *os.File
	wal           *wal
	failed        error
	lastHardState raft.HardState
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
		f.files = osFiles{}
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
	f.lastHardState = state.HardState
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
// its previous content, if any.
func (f *DataDir) writeFileAtomic(path string, data []byte) error {
	tmp, err := os.OpenFile(path+".tmp", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRetryable, err)
	}
	_, err = f.files.Write(tmp, data)
	if err == nil {
		err = f.files.Sync(tmp)
	}
	err = errors.Join(err, tmp.Close())
	if err == nil {
		err = os.Rename(path+".tmp", path)
	}
	if err == nil {
		err = f.syncDir(filepath.Dir(path))
	}
	if err != nil {
		_ = os.Remove(path + ".tmp")
		return fmt.Errorf("%w: %w", ErrRetryable, err)
	}
	return nil
}

func (f *DataDir) syncDir(dir string) error { return syncDir(dir, f.files) }

func syncDir(dir string, files FileOps) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(files.Sync(d), d.Close())
}

// Save stores the hard state and entries as one record and returns after syncing
// it. The entries replace the stored log from their first index on. After
// ErrRetryable nothing is stored and the call may be repeated; any other error is
// permanent.
//
// There is no variant without a sync: after a crash, several unsynced records
// could not be distinguished from corruption.
func (f *DataDir) Save(hard raft.HardState, entries []raft.Entry) error {
	if f.failed != nil {
		return f.failed
	}
	err := f.wal.append(record{HardState: hard, Entries: entries})
	if err == nil {
		f.lastHardState = hard
	} else if errors.Is(err, ErrDiskFailed) {
		f.failed = err
	}
	return err
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
	if f.failed != nil {
		return f.failed
	}
	if err := f.wal.append(record{HardState: hard, Reset: resetIndex(reset, index), Snapshot: index}); err != nil {
		if errors.Is(err, ErrDiskFailed) {
			f.failed = err
		}
		return err
	}
	f.lastHardState = hard
	f.removeObsolete(keepFrom)
	return nil
}

// SaveSnapshot calls WriteSnapshot and ActivateSnapshot.
func (f *DataDir) SaveSnapshot(s raft.Snapshot, hard raft.HardState, reset bool, keepFrom uint64) error {
	if f.failed != nil {
		return f.failed
	}
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
			_ = os.Remove(filepath.Join(f.dir, snapshotDir, name))
		}
	}
	f.wal.removeBefore(keepFrom, f.lastHardState)
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
