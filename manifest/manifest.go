package manifest

import "github.com/rhubarbhill/rhubarbhill/release"

// ChunkBytes is the size of every chunk of a file except the last.
const ChunkBytes = 4 << 20

// Manifest lists the files of one version. The digest of its JSON encoding, as
// served by the origin, identifies the version.
type Manifest struct {
	Files []File `json:"files"`
}

// File is an object at the origin and the chunks that it consists of.
type File struct {
	Name   string  `json:"name"`
	Size   int64   `json:"size"`
	Chunks []Chunk `json:"chunks"`
}

// Chunk is the unit of transfer. It is verified against its digest.
type Chunk struct {
	Digest release.Digest `json:"digest"`
	Size   int64          `json:"size"`
}
