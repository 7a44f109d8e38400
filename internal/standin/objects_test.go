package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/manifest"
)

const testObject = "quote/1/model-00001-of-00001.safetensors"

// startObjects serves one object of two chunks and returns its content.
func startObjects(t *testing.T, cfg ObjectsConfig) (*httptest.Server, *Objects, []byte) {
	t.Helper()
	is := is.New(t)
	cfg.Dir = t.TempDir()
	_, err := WriteWeights(WeightsSpec{Dir: cfg.Dir, Name: "quote", Version: "1", Shards: 1, Size: manifest.ChunkBytes + 1<<20, ChangedEvery: 1})
	is.NoErr(err)
	content, err := os.ReadFile(filepath.Join(cfg.Dir, objectsDir, filepath.FromSlash(testObject)))
	is.NoErr(err)
	objects := NewObjects(cfg)
	server := httptest.NewServer(objects.Handler())
	t.Cleanup(server.Close)
	return server, objects, content
}

func fetch(ctx context.Context, t *testing.T, server *httptest.Server, span string) (int, []byte, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+wire.PathObjects+testObject, nil)
	is.New(t).NoErr(err)
	if span != "" {
		request.Header.Set("Range", "bytes="+span)
	}
	response, err := server.Client().Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// Guards against content faults that change no bytes or the wrong ones, and
// against counters that miss bytes.
func TestObjectContentFaults(t *testing.T) {
	is := is.New(t)
	server, objects, content := startObjects(t, ObjectsConfig{})
	status, body, err := fetch(t.Context(), t, server, "100-299")
	is.NoErr(err)
	is.Equal(status, http.StatusPartialContent)
	is.Equal(body, content[100:300])
	is.Equal(objects.Counters().Objects[testObject], int64(200))

	objects.switches.Update(func(f *ObjectFaults) { f.CorruptObject, f.CorruptChunk, f.CorruptTimes = "*", 0, 1 })
	_, body, err = fetch(t.Context(), t, server, "")
	is.NoErr(err)
	is.True(!bytes.Equal(body[:manifest.ChunkBytes], content[:manifest.ChunkBytes]))
	is.Equal(body[manifest.ChunkBytes:], content[manifest.ChunkBytes:])
	_, body, err = fetch(t.Context(), t, server, "")
	is.NoErr(err)
	is.Equal(body, content) // CorruptTimes is 1

	objects.switches.Update(func(f *ObjectFaults) {
		*f = ObjectFaults{ChangeObject: testObject, ChangeAfterBytes: objects.Counters().Bytes + manifest.ChunkBytes}
	})
	_, body, err = fetch(t.Context(), t, server, "")
	is.NoErr(err)
	is.Equal(body[:manifest.ChunkBytes], content[:manifest.ChunkBytes])
	is.True(!bytes.Equal(body[manifest.ChunkBytes:], content[manifest.ChunkBytes:]))
	_, body, err = fetch(t.Context(), t, server, "0-99")
	is.NoErr(err)
	is.True(!bytes.Equal(body, content[:100])) // the change is permanent
}

// Guards against a stall that lets a body through, or that does not end when the
// switch is cleared.
func TestObjectStall(t *testing.T) {
	is := is.New(t)
	server, objects, content := startObjects(t, ObjectsConfig{Faults: ObjectFaults{Stall: true}})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err := fetch(ctx, t, server, "")
	is.True(err != nil)
	time.AfterFunc(20*time.Millisecond, func() { objects.switches.Update(func(f *ObjectFaults) { f.Stall = false }) })
	_, body, err := fetch(t.Context(), t, server, "0-99")
	is.NoErr(err)
	is.Equal(body, content[:100])
}

// Guards against rate limits without effect, and against 429 responses without
// Retry-After.
func TestObjectLimits(t *testing.T) {
	is := is.New(t)
	server, _, _ := startObjects(t, ObjectsConfig{LinkBytesPerSecond: 1 << 20})
	start := time.Now()
	_, body, err := fetch(t.Context(), t, server, "0-262143")
	is.NoErr(err)
	is.Equal(len(body), 256<<10)
	is.True(time.Since(start) > 200*time.Millisecond) // 224 KiB beyond the burst at 1 MiB/s

	server, objects, _ := startObjects(t, ObjectsConfig{RequestsPerSecond: 0.5, Burst: 1})
	status, _, err := fetch(t.Context(), t, server, "0-9")
	is.NoErr(err)
	is.Equal(status, http.StatusPartialContent)
	response, err := server.Client().Get(server.URL + wire.PathObjects + testObject)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusTooManyRequests)
	is.Equal(response.Header.Get("Retry-After"), "2")
	is.Equal(objects.Counters().Limited, int64(1))

	objects.requests = nil
	objects.switches.Update(func(f *ObjectFaults) { f.Status = http.StatusServiceUnavailable })
	status, _, err = fetch(t.Context(), t, server, "")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
}
