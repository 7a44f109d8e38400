package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const safetensorsSuffix = ".safetensors"

// shardName matches the shard number and the shard count in a file name.
var shardName = regexp.MustCompile(`-(\d{5})-of-(\d{5})\.safetensors$`)

func checkSafetensors(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return oops.In("standin").Wrap(err)
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return oops.In("standin").Wrap(err)
	}
	return oops.In("standin").Wrapf(manifest.CheckSafetensors(f, info.Size()), "%s", path)
}

// loadFiles validates the files of a weights set in dir and returns the weights
// digest of each part (base model or adapter), keyed by "name/version".
func loadFiles(dir string) (map[string]WeightsDigest, error) {
	parts := map[string][]string{}
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		rel, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		part := filepath.ToSlash(filepath.Dir(rel))
		parts[part] = append(parts[part], path)
		return nil
	})
	if err != nil {
		return nil, oops.In("standin").Wrap(err)
	}
	digests := map[string]WeightsDigest{}
	for part, paths := range parts {
		slices.Sort(paths)
		if digests[part], err = loadPart(paths); err != nil {
			return nil, err
		}
	}
	return digests, nil
}

// loadPart validates the files of one model or adapter version and returns its
// weights digest.
func loadPart(paths []string) (WeightsDigest, error) {
	if err := checkShards(paths); err != nil {
		return "", err
	}
	var chunks []release.Digest
	for _, path := range paths {
		if strings.HasSuffix(path, safetensorsSuffix) {
			if err := checkSafetensors(path); err != nil {
				return "", err
			}
		}
		found, err := chunkDigests(path)
		if err != nil {
			return "", err
		}
		for _, c := range found {
			chunks = append(chunks, c.Digest)
		}
	}
	return DigestOfChunks(chunks), nil
}

// checkShards returns an error if a numbered shard is missing or if the names
// disagree on the number of shards.
func checkShards(paths []string) error {
	seen, want := 0, 0
	for _, path := range paths {
		m := shardName.FindStringSubmatch(path)
		if m == nil {
			continue
		}
		total, err := strconv.Atoi(m[2])
		if err != nil || (want != 0 && total != want) {
			return oops.In("standin").Errorf("%s: shard counts differ", path)
		}
		seen, want = seen+1, total
	}
	if seen != want {
		return oops.In("standin").Errorf("%d of %d shards present", seen, want)
	}
	return nil
}

// chunkDigests reads a file and returns the digests and sizes of its chunks.
func chunkDigests(path string) ([]manifest.Chunk, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, oops.In("standin").Wrap(err)
	}
	defer func() { _ = f.Close() }()
	var chunks []manifest.Chunk
	for {
		h := sha256.New()
		n, err := io.CopyN(h, f, manifest.ChunkBytes)
		if n > 0 {
			digest := release.Digest("sha256:" + hex.EncodeToString(h.Sum(nil)))
			chunks = append(chunks, manifest.Chunk{Digest: digest, Size: n})
		}
		if err == io.EOF {
			return chunks, nil
		}
		if err != nil {
			return nil, oops.In("standin").Wrap(err)
		}
	}
}
