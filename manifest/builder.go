package manifest

import (
	"errors"
	"io"

	"github.com/rhubarbhill/rhubarbhill/release"
)

// Builder creates a manifest from the files of a version. The zero value is
// ready to use.
type Builder struct {
	manifest Manifest
}

// Add splits the content of r into chunks and adds it as a file.
func (b *Builder) Add(name string, r io.Reader) error {
	file := File{Name: name, Chunks: []Chunk{}}
	buffer := make([]byte, ChunkBytes)
	for {
		n, err := io.ReadFull(r, buffer)
		if n > 0 {
			file.Chunks = append(file.Chunks, Chunk{Digest: release.DigestOf(buffer[:n]), Size: int64(n)})
			file.Size += int64(n)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	b.manifest.Files = append(b.manifest.Files, file)
	return nil
}

// Build returns the manifest, its encoding and the digest of the encoding.
func (b *Builder) Build() (Manifest, []byte, release.Digest, error) {
	data, digest, err := Encode(b.manifest)
	return b.manifest, data, digest, err
}
