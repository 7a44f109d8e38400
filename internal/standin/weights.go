package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// Subdirectories of the directory that the store and the origin serve.
const (
	objectsDir   = "objects"
	manifestsDir = "manifests"
)

const (
	tensorColumns = 1024
	bf16Bytes     = 2
	dirMode       = 0o755
)

// WeightsSpec describes a version of a model or adapter to generate.
type WeightsSpec struct {
	Dir     string // directory that the store and the origin serve
	Name    string // model or adapter
	Version string
	Shards  int
	Size    int64 // total tensor data of all shards in bytes, rounded down to whole rows
	Seed    uint64
	// ChangedSeed, if not 0, replaces Seed for every ChangedEvery-th chunk. The
	// other chunks are shared with a version generated from Seed alone.
	ChangedSeed  uint64
	ChangedEvery int // 1 or more; 8 changes one chunk in eight
}

// WriteWeights writes the files and the manifest of a version and returns the
// digest of the manifest. The content depends only on the spec.
func WriteWeights(spec WeightsSpec) (release.Digest, error) {
	if spec.Shards < 1 || spec.Size < int64(spec.Shards)*tensorColumns*bf16Bytes || spec.ChangedEvery < 1 {
		return "", oops.In("standin").Errorf("weights need a shard, %d bytes per shard, and changed-every of at least 1",
			tensorColumns*bf16Bytes)
	}
	var m manifest.Manifest
	chunkIndex := 0
	for shard := range spec.Shards {
		name := fmt.Sprintf("%s/%s/model-%05d-of-%05d%s", spec.Name, spec.Version, shard+1, spec.Shards, safetensorsSuffix)
		path := filepath.Join(spec.Dir, objectsDir, filepath.FromSlash(name))
		if err := writeShard(path, spec, shard, chunkIndex); err != nil {
			return "", err
		}
		chunks, err := chunkDigests(path)
		if err != nil {
			return "", err
		}
		chunkIndex += len(chunks)
		file := manifest.File{Name: name, Chunks: chunks}
		for _, c := range chunks {
			file.Size += c.Size
		}
		m.Files = append(m.Files, file)
	}
	return writeManifest(spec.Dir, m)
}

func writeManifest(dir string, m manifest.Manifest) (release.Digest, error) {
	data, digest, err := manifest.Encode(m)
	if err != nil {
		return "", oops.In("standin").Wrap(err)
	}
	path := filepath.Join(dir, manifestsDir, digest.Hex())
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return "", oops.In("standin").Wrap(err)
	}
	return digest, oops.In("standin").Wrap(os.WriteFile(path, data, 0o644))
}

func writeShard(path string, spec WeightsSpec, shard, firstChunk int) (err error) {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return oops.In("standin").Wrap(err)
	}
	f, err := os.Create(path)
	if err != nil {
		return oops.In("standin").Wrap(err)
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = oops.In("standin").Wrap(closeErr)
		}
	}()
	header, dataBytes, err := shardHeader(shard, spec.Size/int64(spec.Shards))
	if err != nil {
		return err
	}
	out := bufio.NewWriterSize(f, 1<<20)
	if _, err := out.Write(header); err != nil {
		return oops.In("standin").Wrap(err)
	}
	// Generate the data chunk by chunk, with chunk boundaries counted from the
	// start of the file (header included), so that versions share whole chunks.
	end := int64(len(header)) + dataBytes
	for offset := int64(len(header)); offset < end; {
		chunk := offset / manifest.ChunkBytes
		n := min((chunk+1)*manifest.ChunkBytes, end) - offset
		if _, err := io.CopyN(out, chunkContent(spec, firstChunk+int(chunk)), n); err != nil {
			return oops.In("standin").Wrap(err)
		}
		offset += n
	}
	return oops.In("standin").Wrap(out.Flush())
}

// chunkContent returns the pseudorandom data of one chunk.
func chunkContent(spec WeightsSpec, index int) io.Reader {
	seed := spec.Seed
	if spec.ChangedSeed != 0 && index%spec.ChangedEvery == 0 {
		seed = spec.ChangedSeed
	}
	var key [32]byte
	binary.LittleEndian.PutUint64(key[0:], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(index))
	return rand.NewChaCha8(key)
}

// shardHeader returns a safetensors header with two tensors, and the length of
// the data that follows it.
func shardHeader(shard int, size int64) ([]byte, int64, error) {
	rows := size / (tensorColumns * bf16Bytes)
	first := (rows + 1) / 2
	split, end := first*tensorColumns*bf16Bytes, rows*tensorColumns*bf16Bytes
	header, err := manifest.EncodeSafetensorsHeader(map[string]manifest.Tensor{
		fmt.Sprintf("model.layers.%d.attention.weight", shard): bf16(first, 0, split),
		fmt.Sprintf("model.layers.%d.mlp.weight", shard):       bf16(rows-first, split, end),
	})
	return header, end, oops.In("standin").Wrap(err)
}

func bf16(rows, from, to int64) manifest.Tensor {
	return manifest.Tensor{DType: "BF16", Shape: []int64{rows, tensorColumns}, Offsets: [2]int64{from, to}}
}
