package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
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

const (
	safetensorsSuffix    = ".safetensors"
	headerLengthBytes    = 8
	maxSafetensorsHeader = 100 << 20
	metadataKey          = "__metadata__"
)

type tensor struct {
	DType   string   `json:"dtype"`
	Shape   []int64  `json:"shape"`
	Offsets [2]int64 `json:"data_offsets"`
}

var dtypeBytes = map[string]int64{
	"BOOL": 1, "U8": 1, "I8": 1, "F8_E4M3": 1, "F8_E5M2": 1,
	"I16": 2, "U16": 2, "F16": 2, "BF16": 2,
	"I32": 4, "U32": 4, "F32": 4,
	"I64": 8, "U64": 8, "F64": 8,
}

// shardName matches the part of a shard's name that numbers it.
var shardName = regexp.MustCompile(`-(\d{5})-of-(\d{5})\.safetensors$`)

// checkSafetensors checks that the file at path has a valid header whose
// tensors cover its data without gap or overlap.
func checkSafetensors(path string) error {
	problem := oops.In("standin").With("file", path)
	f, err := os.Open(path)
	if err != nil {
		return problem.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return problem.Wrap(err)
	}
	var lengthBytes [headerLengthBytes]byte
	if _, err := io.ReadFull(f, lengthBytes[:]); err != nil {
		return problem.Errorf("%s: no header length", path)
	}
	length := binary.LittleEndian.Uint64(lengthBytes[:])
	if length > maxSafetensorsHeader || int64(length) > info.Size()-headerLengthBytes {
		return problem.Errorf("%s: header of %d bytes does not fit the file", path, length)
	}
	header := make([]byte, length)
	if _, err := io.ReadFull(f, header); err != nil {
		return problem.Wrapf(err, "%s", path)
	}
	if err := checkHeader(header, info.Size()-headerLengthBytes-int64(length)); err != nil {
		return problem.Wrapf(err, "%s", path)
	}
	return nil
}

func checkHeader(header []byte, dataBytes int64) error {
	var entries map[string]json.RawMessage
	if err := json.Unmarshal(header, &entries); err != nil {
		return oops.Wrapf(err, "header is not JSON")
	}
	delete(entries, metadataKey)
	tensors := make([]tensor, 0, len(entries))
	for name, raw := range entries {
		var t tensor
		if err := json.Unmarshal(raw, &t); err != nil {
			return oops.Wrapf(err, "tensor %s", name)
		}
		size, ok := dtypeBytes[t.DType]
		for _, n := range t.Shape {
			size *= n
		}
		if !ok || t.Offsets[1]-t.Offsets[0] != size {
			return oops.Errorf("tensor %s: offsets do not fit type and shape", name)
		}
		tensors = append(tensors, t)
	}
	slices.SortFunc(tensors, func(a, b tensor) int { return int(a.Offsets[0] - b.Offsets[0]) })
	var end int64
	for _, t := range tensors {
		if t.Offsets[0] != end {
			return oops.Errorf("gap or overlap at data offset %d", end)
		}
		end = t.Offsets[1]
	}
	if end != dataBytes {
		return oops.Errorf("header describes %d data bytes, file has %d", end, dataBytes)
	}
	return nil
}

// loadFiles checks the files of a weights set below dir and returns the
// weights digest of each part, keyed by "name/version".
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

// checkShards checks that no numbered shard is missing.
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

// chunkDigests reads the file at path and returns its chunks.
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
