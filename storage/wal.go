package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/raft"
)

// Each record has a header of three little-endian 32-bit integers: magic number,
// payload length, and CRC-32C of length and payload.
const (
	recordMagic         = 0x52484c57
	recordHeaderBytes   = 12
	snapshotMagic       = "RHSNAP01"
	snapshotHeaderBytes = len(snapshotMagic) + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is a record of the WAL. Sequence numbers are consecutive across
// segments. The first record of a segment has Storage and repeats the hard state.
type record struct {
	Sequence  uint64         `cbor:"1,keyasint"`
	HardState raft.HardState `cbor:"2,keyasint"`
	Entries   []raft.Entry   `cbor:"3,keyasint,omitempty"`
	Reset     uint64         `cbor:"4,keyasint,omitempty"` // discard all entries; the next one follows this index
	Storage   string         `cbor:"5,keyasint,omitempty"` // storage identity
	Snapshot  uint64         `cbor:"6,keyasint,omitempty"` // index of a snapshot in use
	LastReset uint64         `cbor:"7,keyasint,omitempty"` // first record of a segment: the last Reset in earlier segments
	// Repairs is set in the first record of a segment that was started because the end of
	// the previous one may not be stored: what that one holds from this sequence number on
	// does not count, whether it is complete or not.
	Repairs bool `cbor:"8,keyasint,omitempty"`
}

var (
	errIncomplete = errors.New("record is incomplete")
	errChecksum   = errors.New("record magic or checksum does not match")
)

// encodeRecord encodes a record with its header.
func encodeRecord(r record) ([]byte, error) {
	payload, err := encMode.Marshal(r)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, recordHeaderBytes, recordHeaderBytes+len(payload))
	binary.LittleEndian.PutUint32(frame, recordMagic)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[8:], recordChecksum(frame[4:8], payload))
	return append(frame, payload...), nil
}

func recordChecksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// decodeRecord decodes the record at the start of data and returns its length
// including the header.
func decodeRecord(data []byte) (record, int, error) {
	var r record
	if len(data) < recordHeaderBytes {
		return r, 0, errIncomplete
	}
	if binary.LittleEndian.Uint32(data) != recordMagic {
		return r, 0, errChecksum
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > maxRecordBytes || length > len(data)-recordHeaderBytes {
		return r, 0, errIncomplete
	}
	payload := data[recordHeaderBytes : recordHeaderBytes+length]
	if recordChecksum(data[4:8], payload) != binary.LittleEndian.Uint32(data[8:]) {
		return r, 0, errChecksum
	}
	if err := decMode.Unmarshal(payload, &r); err != nil {
		return r, 0, fmt.Errorf("record: %w", err)
	}
	return r, recordHeaderBytes + length, nil
}

// containsRecord reports whether data contains a valid record at any offset.
func containsRecord(data []byte) bool {
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

// segment is a file of the WAL.
type segment struct {
	path     string
	first    uint64 // sequence number of its first record
	maxIndex uint64 // highest entry index in it
}

// wal is the write-ahead log, open for appending.
type wal struct {
	dir          string
	storage      string
	segmentBytes int64 // size after which a new segment starts
	files        FileOps
	file         *os.File       // last segment
	size         int64          // of file, without a torn record
	hardState    raft.HardState // of the last record
	lastSequence uint64         // of the last record
	lastReset    uint64         // index of the last Reset
	segments     []segment
	// damaged is set after a failed write or sync, when it is unknown what the last segment
	// holds after size, and nothing may be appended to it any more: a sync that follows a
	// failed one may succeed without writing.
	damaged bool
	// unfinished is set after a failed start of a segment, whose name may be on the disk
	// already: a record that is appended elsewhere would have its sequence number.
	unfinished bool
}

// walContent is the state recovered by replaying the WAL.
type walContent struct {
	hardState raft.HardState
	entries   []raft.Entry
	snapshot  uint64 // highest snapshot index in a record
	lastReset uint64 // index of the last Reset
	tornBytes int64  // size of the torn record at the end
	tail      tail   // of the last segment
}

// tail is the last record of a segment.
type tail struct {
	record    record
	hardState raft.HardState // of the record before it
	count     int            // of records in the segment
	offset    int64          // of the record in its segment
}

// checkContinuity checks that the snapshot is not older than the WAL requires,
// and that no entries are missing between the two.
func (c *walContent) checkContinuity(s raft.Snapshot) error {
	if s.Index < c.snapshot {
		return fmt.Errorf("%w: the log requires a snapshot at index %d, the newest one is at index %d; %s",
			ErrCorrupt, c.snapshot, s.Index, recoveryAdvice)
	}
	if len(c.entries) > 0 && c.entries[0].Index > s.Index+1 {
		return fmt.Errorf("%w: the log starts at index %d, the snapshot ends at index %d; %s",
			ErrCorrupt, c.entries[0].Index, s.Index, recoveryAdvice)
	}
	return nil
}

// continuesFrom reports whether the entries are a continuation of the snapshot.
// They are not if the replica crashed after storing a received snapshot and before
// resetting the WAL.
func (c *walContent) continuesFrom(s raft.Snapshot) bool {
	if s.Index == c.lastReset {
		return true
	}
	for _, e := range c.entries {
		if e.Index == s.Index {
			return e.Term == s.Term
		}
	}
	return false
}

func (c *walContent) apply(r record) error {
	c.hardState = r.HardState
	c.snapshot = max(c.snapshot, r.Snapshot)
	c.lastReset = max(c.lastReset, r.LastReset)
	if r.Reset > 0 {
		c.entries, c.lastReset = nil, r.Reset
	}
	if len(r.Entries) == 0 {
		return nil
	}
	for i := 1; i < len(r.Entries); i++ {
		if r.Entries[i].Index != r.Entries[i-1].Index+1 {
			return fmt.Errorf("entry %d does not follow entry %d", r.Entries[i].Index, r.Entries[i-1].Index)
		}
	}
	first := r.Entries[0].Index
	if len(c.entries) > 0 {
		held := c.entries[0].Index
		switch {
		case first <= held:
			c.entries = nil
		case first-held > uint64(len(c.entries)):
			return fmt.Errorf("entry %d does not follow entry %d", first, c.entries[len(c.entries)-1].Index)
		default:
			c.entries = c.entries[:first-held]
		}
	}
	c.entries = append(c.entries, r.Entries...)
	return nil
}

func openWAL(dir, storage string, limit int64, files FileOps) (*wal, walContent, error) {
	w := &wal{dir: dir, storage: storage, segmentBytes: limit, files: files}
	var c walContent
	names, err := segmentNames(dir)
	if err != nil {
		return nil, c, err
	}
	var data []byte // of the previous segment
	for i, name := range names {
		next, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, c, fmt.Errorf("write-ahead log: %w", err)
		}
		if i > 0 {
			if err := w.readSegment(names[i-1], data, repairedFrom(next), false, &c); err != nil {
				return nil, c, err
			}
		}
		data = next
	}
	if len(names) > 0 {
		if err := w.readSegment(names[len(names)-1], data, 0, true, &c); err != nil {
			return nil, c, err
		}
	}
	w.lastReset, w.hardState = c.lastReset, c.hardState
	if len(w.segments) == 0 {
		return w, c, w.startSegment()
	}
	return w, c, w.rewriteTail(c.tail)
}

// repairedFrom returns the sequence number from which on a segment repairs the one before it, or
// zero if it does not.
func repairedFrom(data []byte) uint64 {
	if r, _, err := decodeRecord(data); err == nil && r.Repairs {
		return r.Sequence
	}
	return 0
}

func segmentNames(dir string) ([]string, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("write-ahead log: %w", err)
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

// readSegment applies the records of a segment, up to the one from which on the next segment
// repairs it, if that is not zero.
func (w *wal) readSegment(name string, data []byte, repaired uint64, last bool, c *walContent) error {
	path := filepath.Join(w.dir, name)
	seg := segment{path: path}
	offset, end := 0, tail{}
	for offset < len(data) {
		r, length, err := decodeRecord(data[offset:])
		if repaired > 0 && (err == nil && r.Sequence >= repaired || err != nil && w.lastSequence+1 == repaired) {
			break
		}
		if err != nil {
			if !last || containsRecord(data[offset+1:]) {
				return w.corruptError(path, offset, err)
			}
			break
		}
		end = tail{r, c.hardState, end.count + 1, int64(offset)}
		if err := w.applyRecord(r, offset == 0, c); err != nil {
			return w.corruptError(path, offset, err)
		}
		if offset == 0 {
			seg.first = r.Sequence
		}
		if n := len(r.Entries); n > 0 {
			seg.maxIndex = max(seg.maxIndex, r.Entries[n-1].Index)
		}
		offset += length
	}
	if last {
		c.tornBytes = int64(len(data) - offset)
	}
	if offset > 0 {
		w.segments, c.tail = append(w.segments, seg), end
		return nil
	}
	// The process ended while it started the segment.
	if err := w.files.Remove(path); err != nil {
		return fmt.Errorf("%w: %w", ErrRetryable, err)
	}
	return nil
}

func (w *wal) applyRecord(r record, first bool, c *walContent) error {
	if w.lastSequence > 0 && r.Sequence != w.lastSequence+1 {
		return fmt.Errorf("record %d does not follow record %d", r.Sequence, w.lastSequence)
	}
	if first && r.Storage != w.storage {
		return fmt.Errorf("segment belongs to storage %q, directory to storage %q", r.Storage, w.storage)
	}
	w.lastSequence = r.Sequence
	return c.apply(r)
}

func (w *wal) corruptError(path string, offset int, err error) error {
	return fmt.Errorf("%w: %s at offset %d: %w; %s", ErrCorrupt, path, offset, err, recoveryAdvice)
}

// rewriteTail continues the log in a new segment that begins with the last record. If a sync of
// that record failed and the process ended, it may be in memory only, and another sync of the
// same file may succeed without writing it. A short segment is replaced as a whole.
func (w *wal) rewriteTail(t tail) error {
	last := w.segments[len(w.segments)-1]
	earlier := w.segments
	header := record{Sequence: t.record.Sequence, HardState: t.hardState, Storage: w.storage, LastReset: w.lastReset, Repairs: true}
	records := []record{header}
	if t.count <= 2 {
		earlier = earlier[:len(earlier)-1]
		records[0].Sequence = last.first
	}
	if t.count == 1 {
		records[0].HardState = t.record.HardState
	} else {
		t.record.Sequence = records[0].Sequence + 1
		records = append(records, t.record)
	}
	if err := w.createSegment(earlier, records...); err != nil {
		return err
	}
	if t.count > 2 {
		w.cut(last.path, t.offset)
	}
	return nil
}

// cut shortens a segment of which the end does not count any more. Earlier versions of this
// package, which know of no repairs, can then read it as well.
func (w *wal) cut(path string, size int64) {
	file, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return // the end is skipped when the log is opened
	}
	_ = w.files.Truncate(file, size)
	_ = file.Close()
}

// startSegment creates a new segment with its first record. If the last one is damaged, the
// new one repairs it. A damaged segment without any other record is replaced, so that a disk
// that keeps failing does not fill up with segments.
func (w *wal) startSegment() error {
	sequence, earlier := w.lastSequence+1, w.segments
	if w.damaged && w.lastSequence == earlier[len(earlier)-1].first {
		sequence, earlier = w.lastSequence, earlier[:len(earlier)-1]
	}
	return w.createSegment(earlier, record{
		Sequence: sequence, HardState: w.hardState, Storage: w.storage, LastReset: w.lastReset, Repairs: w.damaged,
	})
}

// createSegment creates a segment with the given records after the earlier ones, and makes it
// the last one.
func (w *wal) createSegment(earlier []segment, records ...record) error {
	var content []byte
	first, last := records[0], records[len(records)-1]
	for _, r := range records {
		frame, err := encodeRecord(r)
		if err != nil {
			return err
		}
		content = append(content, frame...)
	}
	path := filepath.Join(w.dir, fmt.Sprintf("%020d%s", first.Sequence, segmentSuffix))
	file, err := createAtomic(path, content, w.files)
	if err != nil {
		w.unfinished = true
		return err
	}
	w.close()
	w.damaged, w.unfinished = false, false
	w.lastSequence, w.file, w.size = last.Sequence, file, int64(len(content))
	seg := segment{path: path, first: first.Sequence}
	if n := len(last.Entries); n > 0 {
		seg.maxIndex = last.Entries[n-1].Index
	}
	w.segments = append(earlier, seg)
	return nil
}

// append stores a record. After ErrRetryable it does not count, whatever the disk holds of it,
// once a later call has succeeded.
func (w *wal) append(r record) error {
	if w.damaged || w.unfinished || w.size >= w.segmentBytes {
		if err := w.startSegment(); err != nil {
			return err
		}
	}
	r.Sequence = w.lastSequence + 1
	frame, err := encodeRecord(r)
	if err != nil {
		return err
	}
	_, err = w.files.Write(w.file, frame)
	if err == nil {
		err = w.files.Sync(w.file)
	}
	if err != nil {
		w.damaged = true
		_ = w.files.Truncate(w.file, w.size) // gives the room of a partial record back
		return fmt.Errorf("%w: %w", ErrRetryable, err)
	}
	w.hardState = r.HardState
	w.lastSequence++
	w.size += int64(len(frame))
	if r.Reset > 0 {
		w.lastReset = r.Reset
	}
	if n := len(r.Entries); n > 0 {
		seg := &w.segments[len(w.segments)-1]
		seg.maxIndex = max(seg.maxIndex, r.Entries[n-1].Index)
	}
	return nil
}

// removeBefore removes the oldest segments as long as they hold only entries
// before index. It first starts a new segment if the last one is half full, so
// that a later call can remove it.
func (w *wal) removeBefore(index uint64) {
	if w.size >= w.segmentBytes/2 && w.startSegment() != nil {
		return
	}
	for len(w.segments) > 1 && w.segments[0].maxIndex < index {
		// The directory is synced each time, since a loss of power may otherwise undo some of
		// several removals and leave a gap.
		err := w.files.Remove(w.segments[0].path)
		if err != nil && !errors.Is(err, fs.ErrNotExist) || syncDir(w.dir, w.files) != nil {
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

// encodeSnapshot encodes a snapshot file: magic number, CRC-32C, CBOR payload.
func encodeSnapshot(s raft.Snapshot) ([]byte, error) {
	payload, err := encMode.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	data := make([]byte, snapshotHeaderBytes, snapshotHeaderBytes+len(payload))
	copy(data, snapshotMagic)
	binary.LittleEndian.PutUint32(data[len(snapshotMagic):], crc32.Checksum(payload, castagnoli))
	return append(data, payload...), nil
}

func decodeSnapshot(data []byte) (raft.Snapshot, error) {
	var s raft.Snapshot
	if len(data) < snapshotHeaderBytes || string(data[:len(snapshotMagic)]) != snapshotMagic {
		return s, errIncomplete
	}
	payload := data[snapshotHeaderBytes:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[len(snapshotMagic):]) {
		return s, errChecksum
	}
	if err := decMode.Unmarshal(payload, &s); err != nil {
		return s, err
	}
	if s.Index == 0 || len(s.Membership.Voters) == 0 {
		return s, errors.New("snapshot has no index or no voters")
	}
	return s, nil
}
