package routing

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxDocumentBytes limits the size of a document after decompression.
const maxDocumentBytes = 16 << 20

// Compress compresses the source of a document with DEFLATE. Replicas and entries
// exchange the source on each change; compression reduces it to less than a fifth.
func Compress(source []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(source); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decompress reverses Compress.
func Decompress(compressed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: decompress: %w", ErrInvalid, err)
	case len(data) > maxDocumentBytes:
		return nil, fmt.Errorf("%w: longer than %d bytes after decompression", ErrInvalid, maxDocumentBytes)
	}
	return data, nil
}
