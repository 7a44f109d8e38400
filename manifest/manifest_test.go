package manifest

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/release"
)

func build(t testing.TB, files map[string][]byte) (Manifest, []byte, release.Digest) {
	t.Helper()
	var b Builder
	for name, data := range files {
		if err := b.Add(name, bytes.NewReader(data)); err != nil {
			t.Fatal(err)
		}
	}
	m, data, digest, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	return m, data, digest
}

// Guards against encodings that decode to a different manifest.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	m, data, digest := build(t, map[string][]byte{"m/1/a": make([]byte, 2*ChunkBytes+5), "m/1/empty": nil})
	decoded, err := Decode(data, digest)
	is.NoErr(err)
	is.Equal(decoded, m)
	is.Equal(m.Size(), int64(2*ChunkBytes+5))
	unique := m.Chunks()
	is.Equal(len(unique), 2) // two identical chunks of zeros, and the remainder
	is.Equal(len(unique[0].Locations), 2)
}

// Guards against manifests whose files would be written outside their
// directory, contain bytes that no digest covers, or exhaust memory.
func TestDecodeRefuses(t *testing.T) {
	digest := "sha256:" + strings.Repeat("ab", 32)
	one := func(name, rest string) string { return fmt.Sprintf(`{"files":[{"name":%q,%s}]}`, name, rest) }
	good := fmt.Sprintf(`"size":3,"chunks":[{"digest":%q,"size":3}]`, digest)
	cases := map[string]string{
		"no files":         `{"files":[]}`,
		"unknown field":    `{"files":[],"extra":1}`,
		"trailing data":    one("a", good) + `{}`,
		"parent folder":    one("../a", good),
		"inner parent":     one("a/../../b", good),
		"absolute":         one("/a", good),
		"backslash":        one(`a\b`, good),
		"empty name":       one("", good),
		"long name":        one(strings.Repeat("a", MaxNameBytes+1), good),
		"uncovered bytes":  one("a", strings.Replace(good, `"size":3`, `"size":4`, 1)),
		"negative size":    one("a", `"size":-1,"chunks":[]`),
		"empty chunk":      one("a", fmt.Sprintf(`"size":0,"chunks":[{"digest":%q,"size":0}]`, digest)),
		"short chunk":      one("a", fmt.Sprintf(`"size":3,"chunks":[{"digest":%q,"size":1},{"digest":%q,"size":2}]`, digest, digest)),
		"upper-case":       one("a", strings.ReplaceAll(good, "ab", "AB")),
		"bad digest":       one("a", strings.ReplaceAll(good, "ab", "zz")),
		"name twice":       fmt.Sprintf(`{"files":[{"name":"a",%s},{"name":"a",%s}]}`, good, good),
		"file and folder":  fmt.Sprintf(`{"files":[{"name":"a",%s},{"name":"a/b",%s}]}`, good, good),
		"too many files":   `{"files":[` + strings.Repeat(`{"name":"a"},`, MaxFiles) + `{"name":"a"}]}`,
		"above size limit": strings.Repeat(" ", MaxBytes+1),
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(data), release.DigestOf([]byte(data)))
			is.New(t).True(errors.Is(err, ErrInvalid))
		})
	}
	_, err := Decode([]byte(one("a", good)), release.Digest(digest))
	is.New(t).True(errors.Is(err, ErrDigestMismatch))
}

// Guards against panics, and against accepted manifests that do not survive a
// round trip.
func FuzzDecode(f *testing.F) {
	_, data, _ := build(f, map[string][]byte{"m/a": []byte("x"), "b": nil})
	f.Add(data)
	f.Add([]byte(`{"files":[{"name":"a","size":9223372036854775807,"chunks":[]}]}`))
	f.Add([]byte(`{"files":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data, release.DigestOf(data))
		if err != nil {
			return
		}
		encoded, digest, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(encoded, digest); err != nil {
			t.Fatal(err)
		}
	})
}

func safetensors(t testing.TB, tensors map[string]Tensor, dataBytes int) []byte {
	t.Helper()
	header, err := EncodeSafetensorsHeader(tensors)
	if err != nil {
		t.Fatal(err)
	}
	return append(header, make([]byte, dataBytes)...)
}

func check(data []byte) error { return CheckSafetensors(bytes.NewReader(data), int64(len(data))) }

// Guards against headers whose tensors overlap, leave gaps, extend past the end
// of the file or have offsets that do not match their shape.
func TestSafetensorsHeader(t *testing.T) {
	is := is.New(t)
	a := Tensor{DType: "F16", Shape: []int64{2, 3}, Offsets: [2]int64{0, 12}}
	scalar := Tensor{DType: "F32", Shape: []int64{}, Offsets: [2]int64{12, 16}}
	good := safetensors(t, map[string]Tensor{"a": a, "b": scalar}, 16)
	is.NoErr(check(good))
	bad := map[string]Tensor{
		"gap":           {DType: "U8", Shape: []int64{4}, Offsets: [2]int64{14, 18}},
		"overlap":       {DType: "U8", Shape: []int64{4}, Offsets: [2]int64{10, 14}},
		"wrong shape":   {DType: "U8", Shape: []int64{5}, Offsets: [2]int64{12, 16}},
		"unknown type":  {DType: "X8", Shape: []int64{4}, Offsets: [2]int64{12, 16}},
		"huge shape":    {DType: "U8", Shape: []int64{1 << 62, 1 << 62}, Offsets: [2]int64{12, 16}},
		"negative":      {DType: "U8", Shape: []int64{-4}, Offsets: [2]int64{12, 16}},
		"beyond end":    {DType: "U8", Shape: []int64{5}, Offsets: [2]int64{12, 17}},
		"short of end":  {DType: "U8", Shape: []int64{3}, Offsets: [2]int64{12, 15}},
		"reversed pair": {DType: "U8", Shape: []int64{}, Offsets: [2]int64{12, 11}},
	}
	for name, b := range bad {
		t.Run(name, func(t *testing.T) {
			err := check(safetensors(t, map[string]Tensor{"a": a, "b": b}, 16))
			is := is.New(t)
			is.True(errors.Is(err, ErrInvalidHeader))
		})
	}
	is.True(errors.Is(check(good[:20]), ErrInvalidHeader)) // truncated
	is.True(errors.Is(check(nil), ErrInvalidHeader))
	repeated := `{"a":{"dtype":"U8","shape":[1],"data_offsets":[0,1]},"a":{"dtype":"U8","shape":[1],"data_offsets":[0,1]}}`
	is.True(errors.Is(check(append([]byte{byte(len(repeated)), 0, 0, 0, 0, 0, 0, 0}, repeated+"x"...)), ErrInvalidHeader))
	is.True(errors.Is(check([]byte{0, 0, 0, 0, 0, 0, 0, 0x80, '{', '}'}), ErrInvalidHeader)) // length above any limit
}

// Guards against panics and unbounded memory use on malformed headers.
func FuzzCheckSafetensors(f *testing.F) {
	f.Add(safetensors(f, map[string]Tensor{"a": {DType: "F16", Shape: []int64{2}, Offsets: [2]int64{0, 4}}}, 4))
	f.Add([]byte{2, 0, 0, 0, 0, 0, 0, 0, '{', '}'})
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(_ *testing.T, data []byte) { _ = check(data) })
}
