package transfer

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

const copyBufferBytes = 64 << 10

type chunkDigest [sha256.Size]byte

// versionFile is a file of a manifest.
type versionFile struct {
	name string
	size int64
}

// location is a position of a chunk in the files of a version.
type location struct {
	file   int32
	offset int64
}

// chunk describes a distinct chunk of a version. Digests are stored as bytes,
// because their text form takes four times the memory.
type chunk struct {
	digest chunkDigest
	size   int32
	first  location
	copies []location
}

// version is the content of one manifest on disk: its files and which of their
// chunks are held, that is, present and verified.
type version struct {
	digest release.Digest
	cache  cache
	files  []versionFile
	chunks []chunk
	index  map[chunkDigest]int32

	mu       sync.Mutex
	dir      string
	held     swarm.Bitmap
	arrivals []int32 // held chunks in order of arrival, so that reports can send only the new ones

	regionLinks *swarm.RegionLinkLimiter
}

func (t *Transfer) newVersion(digest release.Digest, m manifest.Manifest) *version {
	v := newVersion(t.cache, digest, m)
	v.regionLinks = swarm.NewRegionLinkLimiter(t.cfg.RegionLinks, t.cfg.Region, len(v.chunks))
	return v
}

func newVersion(c cache, digest release.Digest, m manifest.Manifest) *version {
	unique := m.Chunks()
	v := &version{
		digest: digest, cache: c, dir: c.partialDir(digest),
		chunks: make([]chunk, len(unique)), index: make(map[chunkDigest]int32, len(unique)),
		held: swarm.NewBitmap(len(unique)),
	}
	for _, f := range m.Files {
		v.files = append(v.files, versionFile{name: strings.Clone(f.Name), size: f.Size})
	}
	for i, u := range unique {
		e := chunk{digest: chunkDigestOf(u.Digest), size: int32(u.Size)}
		for k, p := range u.Locations {
			at := location{file: int32(p.File), offset: p.Offset}
			if k == 0 {
				e.first = at
			} else {
				e.copies = append(e.copies, at)
			}
		}
		v.chunks[i] = e
		v.index[e.digest] = int32(i)
	}
	return v
}

// chunkDigestOf converts a digest, which must be valid (manifest.ValidDigest).
func chunkDigestOf(d release.Digest) (s chunkDigest) {
	_, _ = hex.Decode(s[:], []byte(d.Hex()))
	return s
}

func (v *version) chunkKeys() []uint64 {
	keys := make([]uint64, len(v.chunks))
	for i := range v.chunks {
		keys[i] = binary.LittleEndian.Uint64(v.chunks[i].digest[:])
	}
	return keys
}

func (v *version) filePath(name string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return filepath.Join(v.dir, filepath.FromSlash(name))
}

func (v *version) locationPath(p location) string { return v.filePath(v.files[p.file].name) }

func (v *version) markHeld(i int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.held.Set(i) {
		v.arrivals = append(v.arrivals, int32(i))
	}
}

func (v *version) holds(i int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.held.Has(i)
}

func (v *version) heldCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.arrivals)
}

func (v *version) complete() bool { return v.heldCount() == len(v.chunks) }

// bitmap returns the held chunks as a bitmap for wire.Have, and their number.
func (v *version) bitmap() (bitmap []byte, count int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]byte, 0, len(v.held)*8)
	for _, w := range v.held {
		out = binary.LittleEndian.AppendUint64(out, w)
	}
	return out[:(len(v.chunks)+7)/8], len(v.arrivals)
}

// arrivedAfter returns the held chunks except the first n to arrive.
func (v *version) arrivedAfter(n int) []uint32 {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []uint32
	for _, i := range v.arrivals[min(n, len(v.arrivals)):] {
		list = append(list, uint32(i))
	}
	return list
}

// allowRegionLink reports whether the region link rule allows sending chunk i to
// the region, and records the transfer. The sender checks too, in case the
// receiver applies the rule wrongly.
func (v *version) allowRegionLink(i int, region string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.regionLinks.Allow(i, region)
}

// undoRegionLink undoes allowRegionLink after a failed transfer.
func (v *version) undoRegionLink(i int, region string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.regionLinks.Undo(i, region)
}

// openChunk opens a reader of a held chunk.
func (v *version) openChunk(i int) (io.ReadCloser, error) {
	c := v.chunks[i]
	return openSection(v.locationPath(c.first), c.first.offset, int64(c.size))
}

// createFiles creates the files of an incomplete version at their full size.
func (v *version) createFiles() error {
	for _, f := range v.files {
		path := v.filePath(f.name)
		if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
			return oops.In("transfer").Wrap(err)
		}
		file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
		if err != nil {
			return oops.In("transfer").Wrap(err)
		}
		if err := errors.Join(file.Truncate(f.size), file.Close()); err != nil {
			return oops.In("transfer").Wrap(err)
		}
	}
	return nil
}

var errCorrupt = errors.New("chunk content does not match its digest")

// writeChunk copies a chunk from r to all its locations and marks it as held if
// its digest matches. It reads no further than the chunk size; a shorter r is an
// error.
func (v *version) writeChunk(i int, r io.Reader) error {
	c := v.chunks[i]
	if err := v.writeLocation(c, c.first, r); err != nil {
		return err
	}
	for _, p := range c.copies {
		section, err := v.openChunk(i)
		if err != nil {
			return oops.In("transfer").Wrap(err)
		}
		err = v.writeLocation(c, p, section)
		_ = section.Close()
		if err != nil {
			return err
		}
	}
	v.markHeld(i)
	return nil
}

func (v *version) writeLocation(c chunk, p location, r io.Reader) error {
	file, err := os.OpenFile(v.locationPath(p), os.O_WRONLY, fileMode)
	if err != nil {
		return oops.In("transfer").Wrap(err)
	}
	hash := sha256.New()
	target := io.MultiWriter(io.NewOffsetWriter(file, p.offset), hash)
	n, err := io.CopyBuffer(target, io.LimitReader(r, int64(c.size)), make([]byte, copyBufferBytes))
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if n != int64(c.size) {
		return io.ErrUnexpectedEOF
	}
	if chunkDigest(hash.Sum(nil)) != c.digest {
		return errCorrupt
	}
	return nil
}

// scanChunks hashes the files in dir and calls found for each chunk that is intact
// at all its locations.
func (v *version) scanChunks(ctx context.Context, dir string, found func(i int)) error {
	for i, c := range v.chunks {
		if ctx.Err() != nil {
			return errors.Join(ErrCancelled, context.Cause(ctx))
		}
		intact := v.isIntact(dir, c, c.first)
		for _, p := range c.copies {
			intact = intact && v.isIntact(dir, c, p)
		}
		if intact {
			found(i)
		}
	}
	return nil
}

func (v *version) isIntact(dir string, c chunk, p location) bool {
	path := filepath.Join(dir, filepath.FromSlash(v.files[p.file].name))
	r, err := openSection(path, p.offset, int64(c.size))
	if err != nil {
		return false
	}
	defer func() { _ = r.Close() }()
	hash := sha256.New()
	n, err := io.CopyBuffer(struct{ io.Writer }{hash}, r, make([]byte, copyBufferBytes))
	return err == nil && n == int64(c.size) && chunkDigest(hash.Sum(nil)) == c.digest
}

// sizesMatch reports whether the files in dir have the sizes in the manifest.
func (v *version) sizesMatch(dir string) bool {
	for _, f := range v.files {
		info, err := os.Stat(filepath.Join(dir, filepath.FromSlash(f.name)))
		if err != nil || info.Size() != f.size {
			return false
		}
	}
	return true
}

// load determines by hashing which chunks are on disk. A finished directory with
// damage is moved to oldDir rather than repaired in place, because an engine may
// have its files open.
func (v *version) load(ctx context.Context) error {
	final, partial := v.cache.versionDir(v.digest), v.cache.partialDir(v.digest)
	if _, err := os.Stat(final); err == nil {
		if err := v.scanChunks(ctx, final, v.markHeld); err != nil {
			return err
		}
		if v.complete() && v.sizesMatch(final) {
			v.setDir(final)
			return nil
		}
		v.reset()
		if err := v.moveToOld(final); err != nil {
			return err
		}
	}
	if err := v.createFiles(); err != nil {
		return err
	}
	return v.scanChunks(ctx, partial, v.markHeld)
}

func (v *version) moveToOld(final string) error {
	old := v.cache.oldDir(v.digest)
	if err := os.RemoveAll(old); err != nil {
		return oops.In("transfer").Wrap(err)
	}
	return oops.In("transfer").Wrap(os.Rename(final, old))
}

func (v *version) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.held)
	v.arrivals = nil
}

func (v *version) setDir(dir string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dir = dir
}

// copyChunksFrom copies missing chunks from the files of another version in dir.
func (v *version) copyChunksFrom(ctx context.Context, other *version, dir string) {
	for i, c := range v.chunks {
		k, ok := other.index[c.digest]
		if !ok || v.holds(i) || ctx.Err() != nil {
			continue
		}
		from := other.chunks[k].first
		path := filepath.Join(dir, filepath.FromSlash(other.files[from.file].name))
		r, err := openSection(path, from.offset, int64(c.size))
		if err != nil {
			continue
		}
		_ = v.writeChunk(i, r) // a damaged chunk stays missing and is fetched instead
		_ = r.Close()
	}
}

// finish checks the headers of safetensors files and renames the directory of a
// complete version to its final name.
func (v *version) finish() error {
	final := v.cache.versionDir(v.digest)
	if v.filePath("") == filepath.Clean(final) {
		return nil
	}
	for _, f := range v.files {
		if strings.HasSuffix(f.name, ".safetensors") {
			if err := v.checkSafetensors(f); err != nil {
				return err
			}
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := os.Rename(v.dir, final); err != nil {
		return oops.In("transfer").Wrap(err)
	}
	v.dir = final
	return oops.In("transfer").Wrap(os.RemoveAll(v.cache.oldDir(v.digest)))
}

func (v *version) checkSafetensors(f versionFile) error {
	file, err := os.Open(v.filePath(f.name))
	if err != nil {
		return oops.In("transfer").Wrap(err)
	}
	defer func() { _ = file.Close() }()
	if err := manifest.CheckSafetensors(file, f.size); err != nil {
		return errors.Join(ErrInvalidSet, oops.In("transfer").With("file", f.name).Wrap(err))
	}
	return nil
}
