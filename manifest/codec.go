package manifest

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path"
	"slices"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/release"
)

// Limits on manifests. They bound the memory that an agent uses to decode one:
// with twice as many chunks, decoding took more than 64 MB. A manifest with
// MaxChunks describes 256 GiB.
const (
	MaxBytes     = 8 << 20
	MaxFiles     = 4096
	MaxChunks    = 1 << 16
	MaxNameBytes = 255
)

// Sentinel errors for invalid input.
var (
	ErrInvalid        = errors.New("invalid manifest")
	ErrDigestMismatch = errors.New("manifest digest mismatch")
	ErrInvalidHeader  = errors.New("invalid safetensors header")
)

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Encode validates a manifest and returns its JSON encoding and the digest of
// the encoding.
func Encode(m Manifest) ([]byte, release.Digest, error) {
	if err := m.Check(); err != nil {
		return nil, "", err
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, "", err
	}
	if len(data) > MaxBytes {
		return nil, "", invalid("%d bytes exceed the limit of %d", len(data), MaxBytes)
	}
	return data, release.DigestOf(data), nil
}

// Decode verifies that data has the digest want, and parses and validates the
// manifest.
func Decode(data []byte, want release.Digest) (Manifest, error) {
	if len(data) > MaxBytes {
		return Manifest{}, invalid("%d bytes exceed the limit of %d", len(data), MaxBytes)
	}
	if got := release.DigestOf(data); got != want {
		return Manifest{}, fmt.Errorf("%w: got %s, want %s", ErrDigestMismatch, got, want)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var m Manifest
	if err := decoder.Decode(&m); err != nil {
		return Manifest{}, invalid("%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Manifest{}, invalid("trailing data after the manifest")
	}
	return m, m.Check()
}

// Check validates file names, chunk sizes, digests and limits, and returns the
// first violation.
func (m Manifest) Check() error {
	if len(m.Files) == 0 || len(m.Files) > MaxFiles {
		return invalid("%d files, want 1 to %d", len(m.Files), MaxFiles)
	}
	names := make([]string, 0, len(m.Files))
	chunks := 0
	for _, f := range m.Files {
		if err := CheckName(f.Name); err != nil {
			return err
		}
		if err := f.check(); err != nil {
			return err
		}
		names = append(names, f.Name)
		chunks += len(f.Chunks)
	}
	if chunks > MaxChunks {
		return invalid("%d chunks exceed the limit of %d", chunks, MaxChunks)
	}
	return CheckNames(names)
}

// CheckName accepts clean relative paths only, so that a file cannot be written
// outside its directory.
func CheckName(name string) error {
	if name == "" || len(name) > MaxNameBytes || path.Clean(name) != name || path.IsAbs(name) ||
		name == "." || name == ".." || strings.HasPrefix(name, "../") || strings.ContainsAny(name, "\\\x00") {
		return invalid("file name %q is not a clean relative path of at most %d bytes", name, MaxNameBytes)
	}
	return nil
}

// CheckNames rejects duplicate names and names that are also a parent directory
// of another file.
func CheckNames(names []string) error {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if seen[name] {
			return invalid("duplicate file name %q", name)
		}
		seen[name] = true
	}
	for _, name := range names {
		for dir := path.Dir(name); dir != "."; dir = path.Dir(dir) {
			if seen[dir] {
				return invalid("%q is both a file and a directory", dir)
			}
		}
	}
	return nil
}

func (f File) check() error {
	if f.Size < 0 {
		return invalid("file %q has negative size %d", f.Name, f.Size)
	}
	rest := f.Size
	for i, c := range f.Chunks {
		if !ValidDigest(c.Digest) {
			return invalid("chunk %d of %q has malformed digest %q", i, f.Name, c.Digest)
		}
		if c.Size != min(rest, ChunkBytes) || c.Size == 0 {
			return invalid("chunk %d of %q has invalid size %d", i, f.Name, c.Size)
		}
		rest -= c.Size
	}
	if rest != 0 {
		return invalid("chunks of %q do not cover its last %d bytes", f.Name, rest)
	}
	return nil
}

const digestHexBytes = 64

// ValidDigest reports whether d is "sha256:" followed by 64 lower-case hex
// digits.
func ValidDigest(d release.Digest) bool {
	text, ok := strings.CutPrefix(string(d), "sha256:")
	if !ok || len(text) != digestHexBytes || strings.ToLower(text) != text {
		return false
	}
	_, err := hex.DecodeString(text)
	return err == nil
}

// Size returns the total size of the files in bytes.
func (m Manifest) Size() int64 {
	var n int64
	for _, f := range m.Files {
		n += f.Size
	}
	return n
}

// ChunkLocation is the position of a chunk in a file.
type ChunkLocation struct {
	File   int // index into Manifest.Files
	Offset int64
}

// UniqueChunk is a distinct chunk and all places where it occurs.
type UniqueChunk struct {
	Chunk
	Locations []ChunkLocation
}

// Chunks returns the distinct chunks in order of first occurrence. The index
// of a chunk in this list identifies it in bitmaps.
func (m Manifest) Chunks() []UniqueChunk {
	var list []UniqueChunk
	index := map[release.Digest]int{}
	for fileIndex, f := range m.Files {
		var offset int64
		for _, c := range f.Chunks {
			i, ok := index[c.Digest]
			if !ok {
				i = len(list)
				index[c.Digest] = i
				list = append(list, UniqueChunk{Chunk: c})
			}
			list[i].Locations = append(list[i].Locations, ChunkLocation{File: fileIndex, Offset: offset})
			offset += c.Size
		}
	}
	return slices.Clip(list)
}
