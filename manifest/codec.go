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

// Limits on decoded manifests. They bound the memory of an agent: a manifest
// at the limit describes 256 GiB. Twice as many chunks took more than 64 MB
// while a manifest was decoded.
const (
	MaxBytes     = 8 << 20
	MaxFiles     = 4096
	MaxChunks    = 1 << 16
	MaxNameBytes = 255
)

// Errors of this package. Errors returned wrap one of them.
var (
	ErrInvalid = errors.New("invalid manifest")
	ErrDigest  = errors.New("manifest digest mismatch")
	ErrHeader  = errors.New("invalid safetensors header")
)

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Encode returns the manifest's bytes and their digest.
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

// Decode parses and checks a manifest whose digest must be want.
func Decode(data []byte, want release.Digest) (Manifest, error) {
	if len(data) > MaxBytes {
		return Manifest{}, invalid("%d bytes exceed the limit of %d", len(data), MaxBytes)
	}
	if got := release.DigestOf(data); got != want {
		return Manifest{}, fmt.Errorf("%w: got %s, want %s", ErrDigest, got, want)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var m Manifest
	if err := decoder.Decode(&m); err != nil {
		return Manifest{}, invalid("%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Manifest{}, invalid("data after the manifest")
	}
	return m, m.Check()
}

// Check reports the first violation of the manifest's rules.
func (m Manifest) Check() error {
	if len(m.Files) == 0 || len(m.Files) > MaxFiles {
		return invalid("%d files", len(m.Files))
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

// CheckName accepts clean relative paths only, so that a file cannot be placed
// outside its folder.
func CheckName(name string) error {
	if name == "" || len(name) > MaxNameBytes || path.Clean(name) != name || path.IsAbs(name) ||
		name == "." || name == ".." || strings.HasPrefix(name, "../") || strings.ContainsAny(name, "\\\x00") {
		return invalid("file name %q", name)
	}
	return nil
}

// CheckNames refuses equal names and a file whose name is also a folder of
// another file.
func CheckNames(names []string) error {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if seen[name] {
			return invalid("file %q occurs twice", name)
		}
		seen[name] = true
	}
	for _, name := range names {
		for dir := path.Dir(name); dir != "."; dir = path.Dir(dir) {
			if seen[dir] {
				return invalid("%q is a file and a folder", dir)
			}
		}
	}
	return nil
}

func (f File) check() error {
	if f.Size < 0 {
		return invalid("file %q has size %d", f.Name, f.Size)
	}
	rest := f.Size
	for i, c := range f.Chunks {
		if !ValidDigest(c.Digest) {
			return invalid("chunk %d of %q has digest %q", i, f.Name, c.Digest)
		}
		if c.Size != min(rest, ChunkBytes) || c.Size == 0 {
			return invalid("chunk %d of %q has %d bytes", i, f.Name, c.Size)
		}
		rest -= c.Size
	}
	if rest != 0 {
		return invalid("chunks of %q leave %d bytes uncovered", f.Name, rest)
	}
	return nil
}

const digestHexBytes = 64

// ValidDigest reports whether d has the canonical form, in lower case.
func ValidDigest(d release.Digest) bool {
	text, ok := strings.CutPrefix(string(d), "sha256:")
	if !ok || len(text) != digestHexBytes || strings.ToLower(text) != text {
		return false
	}
	_, err := hex.DecodeString(text)
	return err == nil
}

// Size is the total size of the files.
func (m Manifest) Size() int64 {
	var n int64
	for _, f := range m.Files {
		n += f.Size
	}
	return n
}

// Place is one occurrence of a chunk in a file.
type Place struct {
	File   int // index into Manifest.Files
	Offset int64
}

// UniqueChunk is a distinct chunk and everywhere it occurs.
type UniqueChunk struct {
	Chunk
	Places []Place
}

// Chunks lists distinct chunks in order of first occurrence. The index of a
// chunk in this list is its number in bitmaps.
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
			list[i].Places = append(list[i].Places, Place{File: fileIndex, Offset: offset})
			offset += c.Size
		}
	}
	return slices.Clip(list)
}
