package manifest

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"unicode/utf8"
)

const (
	headerPrefixBytes = 8
	// MaxHeaderBytes bounds the memory used to validate one header.
	MaxHeaderBytes = 8 << 20
	metadataKey    = "__metadata__"
)

// Tensor is an entry of a safetensors header: the type and shape of a tensor
// and the offsets at which its data begins and ends.
type Tensor struct {
	DType   string   `json:"dtype"`
	Shape   []int64  `json:"shape"`
	Offsets [2]int64 `json:"data_offsets"`
}

// dtypeBits maps safetensors types to their element size in bits.
var dtypeBits = map[string]int64{
	"BOOL": 8, "U8": 8, "I8": 8, "F8_E5M2": 8, "F8_E4M3": 8, "F8_E8M0": 8,
	"F4": 4, "F6_E2M3": 6, "F6_E3M2": 6,
	"U16": 16, "I16": 16, "F16": 16, "BF16": 16,
	"U32": 32, "I32": 32, "F32": 32,
	"U64": 64, "I64": 64, "F64": 64, "C64": 64,
}

func headerError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalidHeader, fmt.Sprintf(format, args...))
}

// CheckSafetensors reads the header of a safetensors file of size bytes and
// validates that the tensors cover the rest of the file without gaps or
// overlaps.
func CheckSafetensors(r io.Reader, size int64) error {
	var prefix [headerPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return headerError("read length: %v", err)
	}
	length := binary.LittleEndian.Uint64(prefix[:])
	if length > MaxHeaderBytes || int64(length) > size-headerPrefixBytes {
		return headerError("length %d exceeds the limit of %d or the file of %d bytes", length, MaxHeaderBytes, size)
	}
	header := make([]byte, length)
	if _, err := io.ReadFull(r, header); err != nil {
		return headerError("read header: %v", err)
	}
	return checkHeader(header, size-headerPrefixBytes-int64(length))
}

func checkHeader(header []byte, dataBytes int64) error {
	if len(header) == 0 || header[0] != '{' {
		return headerError("not a JSON object")
	}
	if !utf8.Valid(header) {
		return headerError("not valid UTF-8")
	}
	tensors, err := decodeTensors(header)
	if err != nil {
		return err
	}
	slices.SortFunc(tensors, func(a, b Tensor) int {
		return cmp.Or(cmp.Compare(a.Offsets[0], b.Offsets[0]), cmp.Compare(a.Offsets[1], b.Offsets[1]))
	})
	var end int64
	for _, t := range tensors {
		if t.Offsets[0] != end {
			return headerError("tensor starts at offset %d, want %d", t.Offsets[0], end)
		}
		if err := t.check(); err != nil {
			return err
		}
		end = t.Offsets[1]
	}
	if end != dataBytes {
		return headerError("tensors end at offset %d, want %d", end, dataBytes)
	}
	return nil
}

// decodeTensors decodes the header entry by entry to detect duplicate names,
// which decoding into a map would silently overwrite.
func decodeTensors(header []byte) ([]Tensor, error) {
	decoder := json.NewDecoder(bytes.NewReader(header))
	if _, err := decoder.Token(); err != nil {
		return nil, headerError("%v", err)
	}
	var tensors []Tensor
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, headerError("%v", err)
		}
		name, ok := token.(string)
		if !ok || seen[name] {
			return nil, headerError("tensor name %v is a duplicate or not a string", token)
		}
		if strings.ContainsRune(name, utf8.RuneError) {
			// The JSON decoder replaces unpaired surrogates with this rune.
			return nil, headerError("tensor name %q contains U+FFFD, which replaces an unpaired surrogate", name)
		}
		seen[name] = true
		if name == metadataKey {
			var metadata map[string]string
			if err := decoder.Decode(&metadata); err != nil {
				return nil, headerError("metadata: %v", err)
			}
			continue
		}
		var t Tensor
		if err := decoder.Decode(&t); err != nil {
			return nil, headerError("tensor %q: %v", name, err)
		}
		tensors = append(tensors, t)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, headerError("%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, headerError("trailing data after the object")
	}
	return tensors, nil
}

func (t Tensor) check() error {
	bits, ok := dtypeBits[t.DType]
	if !ok {
		return headerError("unknown type %q", t.DType)
	}
	for _, n := range t.Shape {
		if n < 0 || (n > 0 && bits > math.MaxInt64/n) {
			return headerError("invalid shape %v", t.Shape)
		}
		bits *= n
	}
	if bits%8 != 0 || t.Offsets[1]-t.Offsets[0] != bits/8 || t.Offsets[1] < t.Offsets[0] {
		return headerError("shape %v of type %s does not match data offsets %v", t.Shape, t.DType, t.Offsets)
	}
	return nil
}

// EncodeSafetensorsHeader returns the length prefix and header of a safetensors
// file. The header is padded to a multiple of eight bytes; the tensor data
// follows it.
func EncodeSafetensorsHeader(tensors map[string]Tensor) ([]byte, error) {
	body, err := json.Marshal(tensors)
	if err != nil {
		return nil, err
	}
	for len(body)%headerPrefixBytes != 0 {
		body = append(body, ' ')
	}
	out := binary.LittleEndian.AppendUint64(nil, uint64(len(body)))
	return append(out, body...), nil
}
