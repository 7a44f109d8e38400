package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/raft"
)

// A record is framed by a header: magic, length, checksum of length and
// payload, each four bytes, little endian.
const (
	recordMagic       = 0x52484c57
	headerBytes       = 12
	snapshotMagic     = "RHSNAP01"
	snapshotHeadBytes = len(snapshotMagic) + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one unit of the log. Sequence numbers run through all segments.
// The first record of a segment carries Storage and the hard state.
type record struct {
	Sequence uint64         `cbor:"1,keyasint"`
	Hard     raft.HardState `cbor:"2,keyasint"`
	Entries  []raft.Entry   `cbor:"3,keyasint,omitempty"`
	Reset    uint64         `cbor:"4,keyasint,omitempty"` // the log restarts after this index
	Storage  string         `cbor:"5,keyasint,omitempty"`
	Snapshot uint64         `cbor:"6,keyasint,omitempty"` // a snapshot at this index is synced
	Base     uint64         `cbor:"7,keyasint,omitempty"` // first record: the last Reset before it
}

var (
	errShort    = errors.New("record is incomplete")
	errChecksum = errors.New("record does not match its checksum")
)

// encodeRecord frames a record.
func encodeRecord(r record) ([]byte, error) {
	payload, err := encMode.Marshal(r)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(frame, recordMagic)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[8:], recordChecksum(frame[4:8], payload))
	return append(frame, payload...), nil
}

func recordChecksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// decodeRecord reads the first record of data and returns its length.
func decodeRecord(data []byte) (record, int, error) {
	var r record
	if len(data) < headerBytes {
		return r, 0, errShort
	}
	if binary.LittleEndian.Uint32(data) != recordMagic {
		return r, 0, errChecksum
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > maxRecordBytes || length > len(data)-headerBytes {
		return r, 0, errShort
	}
	payload := data[headerBytes : headerBytes+length]
	if recordChecksum(data[4:8], payload) != binary.LittleEndian.Uint32(data[8:]) {
		return r, 0, errChecksum
	}
	if err := decMode.Unmarshal(payload, &r); err != nil {
		return r, 0, fmt.Errorf("record: %w", err)
	}
	return r, headerBytes + length, nil
}

// holdsRecord reports whether a valid record starts anywhere in data.
func holdsRecord(data []byte) bool {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], recordMagic)
	for {
		i := bytes.Index(data, magic[:])
		if i < 0 {
			return false
		}
		if _, _, err := decodeRecord(data[i:]); err == nil {
			return true
		}
		data = data[i+1:]
	}
}

// segment is one file of the log.
type segment struct {
	path     string
	first    uint64 // sequence of its first record
	maxIndex uint64 // highest entry index in it
}

type wal struct {
	dir      string
	storage  string
	limit    int64
	files    FileOps
	file     *os.File
	size     int64
	sequence uint64
	base     uint64 // index of the last Reset
	segments []segment
}

// content is what the log's records add up to.
type content struct {
	hard     raft.HardState
	entries  []raft.Entry
	snapshot uint64 // newest snapshot that the log refers to
	base     uint64 // entries start after this index
	torn     int64
}

// fits checks that log and snapshot together have no gap.
func (c *content) fits(s raft.Snapshot) error {
	if s.Index < c.snapshot {
		return fmt.Errorf("%w: the log refers to a snapshot at %d, the newest one is at %d; %s",
			ErrDamaged, c.snapshot, s.Index, recoveryAdvice)
	}
	if len(c.entries) > 0 && c.entries[0].Index > s.Index+1 {
		return fmt.Errorf("%w: the log starts at %d, the snapshot ends at %d; %s",
			ErrDamaged, c.entries[0].Index, s.Index, recoveryAdvice)
	}
	return nil
}

// continues reports whether the log's entries follow the snapshot. They do not
// when a crash came between storing a received snapshot and resetting the log.
func (c *content) continues(s raft.Snapshot) bool {
	if s.Index == c.base {
		return true
	}
	for _, e := range c.entries {
		if e.Index == s.Index {
			return e.Term == s.Term
		}
	}
	return false
}

func (c *content) apply(r record) error {
	c.hard = r.Hard
	c.snapshot = max(c.snapshot, r.Snapshot)
	c.base = max(c.base, r.Base)
	if r.Reset > 0 {
		c.entries, c.base = nil, r.Reset
	}
	if len(r.Entries) == 0 {
		return nil
	}
	for i := 1; i < len(r.Entries); i++ {
		if r.Entries[i].Index != r.Entries[i-1].Index+1 {
			return fmt.Errorf("entry %d follows %d", r.Entries[i].Index, r.Entries[i-1].Index)
		}
	}
	first := r.Entries[0].Index
	if len(c.entries) > 0 {
		held := c.entries[0].Index
		switch {
		case first <= held:
			c.entries = nil
		case first-held > uint64(len(c.entries)):
			return fmt.Errorf("entry %d follows %d", first, c.entries[len(c.entries)-1].Index)
		default:
			c.entries = c.entries[:first-held]
		}
	}
	c.entries = append(c.entries, r.Entries...)
	return nil
}

func openWAL(dir, storage string, limit int64, files FileOps) (*wal, content, error) {
	w := &wal{dir: dir, storage: storage, limit: limit, files: files}
	var c content
	names, err := segmentNames(dir)
	if err != nil {
		return nil, c, err
	}
	for i, name := range names {
		if err := w.readSegment(filepath.Join(dir, name), i == len(names)-1, &c); err != nil {
			w.close()
			return nil, c, err
		}
	}
	w.base = c.base
	if w.file == nil {
		return w, c, w.startSegment(c.hard)
	}
	return w, c, nil
}

func segmentNames(dir string) ([]string, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	var names []string
	for _, f := range files {
		if strings.HasSuffix(f.Name(), segmentSuffix) {
			names = append(names, f.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (w *wal) readSegment(path string, last bool, c *content) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	seg := segment{path: path}
	offset := 0
	for offset < len(data) {
		r, length, err := decodeRecord(data[offset:])
		if err != nil {
			if !last || holdsRecord(data[offset+1:]) {
				return w.damaged(path, offset, err)
			}
			break
		}
		if err := w.accept(r, offset == 0, c); err != nil {
			return w.damaged(path, offset, err)
		}
		if offset == 0 {
			seg.first = r.Sequence
		}
		if n := len(r.Entries); n > 0 {
			seg.maxIndex = max(seg.maxIndex, r.Entries[n-1].Index)
		}
		offset += length
	}
	if offset > 0 {
		w.segments = append(w.segments, seg)
	}
	if !last {
		return nil
	}
	c.torn = int64(len(data) - offset)
	return w.reopen(path, int64(offset))
}

func (w *wal) accept(r record, first bool, c *content) error {
	if w.sequence > 0 && r.Sequence != w.sequence+1 {
		return fmt.Errorf("record %d follows %d", r.Sequence, w.sequence)
	}
	if first && r.Storage != w.storage {
		return fmt.Errorf("segment of storage %q, folder is %q", r.Storage, w.storage)
	}
	w.sequence = r.Sequence
	return c.apply(r)
}

func (w *wal) damaged(path string, offset int, err error) error {
	return fmt.Errorf("%w: %s at offset %d: %w; %s", ErrDamaged, path, offset, err, recoveryAdvice)
}

// reopen cuts off a torn record and opens the last segment for writing. A
// segment without a whole record is removed.
func (w *wal) reopen(path string, size int64) error {
	if size == 0 {
		if err := os.Remove(path); err != nil {
			return fmt.Errorf("log: %w", err)
		}
		return nil
	}
	file, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	w.file, w.size = file, size
	if err := w.cut(); err != nil {
		return err
	}
	return w.files.Sync(file)
}

// cut removes what follows the last whole record.
func (w *wal) cut() error {
	if err := w.file.Truncate(w.size); err != nil {
		return err
	}
	_, err := w.file.Seek(w.size, 0)
	return err
}

// startSegment begins a new file whose first record repeats the hard state.
func (w *wal) startSegment(hard raft.HardState) error {
	frame, err := encodeRecord(record{Sequence: w.sequence + 1, Hard: hard, Storage: w.storage, Base: w.base})
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, fmt.Sprintf("%020d%s", w.sequence+1, segmentSuffix))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRetry, err)
	}
	_, err = w.files.Write(file, frame)
	if err == nil {
		err = w.files.Sync(file)
	}
	if err == nil {
		err = syncFolder(w.dir, w.files)
	}
	if err != nil {
		_ = file.Close()
		_ = os.Remove(path)
		return fmt.Errorf("%w: %w", ErrRetry, err)
	}
	if w.file != nil {
		_ = w.file.Close()
	}
	w.sequence++
	w.file, w.size = file, int64(len(frame))
	w.segments = append(w.segments, segment{path: path, first: w.sequence})
	return nil
}

func (w *wal) append(r record) error {
	if w.size >= w.limit {
		if err := w.startSegment(r.Hard); err != nil {
			return err
		}
	}
	r.Sequence = w.sequence + 1
	frame, err := encodeRecord(r)
	if err != nil {
		return err
	}
	if _, err := w.files.Write(w.file, frame); err != nil {
		if cutErr := w.cut(); cutErr != nil {
			return fmt.Errorf("%w: %w", ErrFailed, errors.Join(err, cutErr))
		}
		return fmt.Errorf("%w: %w", ErrRetry, err)
	}
	// After a failed sync the kernel may have dropped the written pages, so
	// that a second sync would succeed without them.
	if err := w.files.Sync(w.file); err != nil {
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	w.sequence++
	w.size += int64(len(frame))
	if r.Reset > 0 {
		w.base = r.Reset
	}
	if n := len(r.Entries); n > 0 {
		seg := &w.segments[len(w.segments)-1]
		seg.maxIndex = max(seg.maxIndex, r.Entries[n-1].Index)
	}
	return nil
}

// removeBefore removes the oldest segments that hold only entries below index.
func (w *wal) removeBefore(index uint64, hard raft.HardState) {
	if w.size >= w.limit/2 && w.startSegment(hard) != nil {
		return
	}
	for len(w.segments) > 1 && w.segments[0].maxIndex < index {
		if os.Remove(w.segments[0].path) != nil {
			return
		}
		w.segments = w.segments[1:]
	}
}

func (w *wal) close() {
	if w.file != nil {
		_ = w.file.Close()
	}
}

// encodeSnapshot frames a snapshot as magic, checksum, CBOR.
func encodeSnapshot(s raft.Snapshot) ([]byte, error) {
	payload, err := encMode.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	data := make([]byte, snapshotHeadBytes, snapshotHeadBytes+len(payload))
	copy(data, snapshotMagic)
	binary.LittleEndian.PutUint32(data[len(snapshotMagic):], crc32.Checksum(payload, castagnoli))
	return append(data, payload...), nil
}

func decodeSnapshot(data []byte) (raft.Snapshot, error) {
	var s raft.Snapshot
	if len(data) < snapshotHeadBytes || string(data[:len(snapshotMagic)]) != snapshotMagic {
		return s, errShort
	}
	payload := data[snapshotHeadBytes:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[len(snapshotMagic):]) {
		return s, errChecksum
	}
	if err := decMode.Unmarshal(payload, &s); err != nil {
		return s, err
	}
	if s.Index == 0 || len(s.Membership.Voters) == 0 {
		return s, errors.New("snapshot without index or voters")
	}
	return s, nil
}
