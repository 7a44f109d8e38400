package manifest

import "github.com/rhubarbhill/rhubarbhill/release"

// ChunkBytes is the size of every chunk but the last of a file.
const ChunkBytes = 4 << 20

// Manifest lists the files of one version. Its JSON encoding, as served by the
// origin, is hashed to give its identity.
type Manifest struct {
	Files []File `json:"files"`
}

// File is one object at the origin.
type File struct {
	Name   string  `json:"name"`
	Size   int64   `json:"size"`
	Chunks []Chunk `json:"chunks"`
}

// Chunk is a verified unit of transfer.
type Chunk struct {
	Digest release.Digest `json:"digest"`
	Size   int64          `json:"size"`
}
