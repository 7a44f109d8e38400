package standin

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/manifest"
)

const (
	linkPieceBytes = 32 << 10
	corruptMask    = 0x5a
)

// ObjectFaults are the fault switches of the store and the origin.
type ObjectFaults struct {
	// CorruptObject names an object, or "*" for all of them. The chunk with index
	// CorruptChunk is served with one wrong byte, CorruptTimes times in total; 0
	// means every time.
	CorruptObject string `json:"corrupt_object,omitempty"`
	CorruptChunk  int64  `json:"corrupt_chunk,omitempty"`
	CorruptTimes  int    `json:"corrupt_times,omitempty"`
	// ChangeObject names an object whose content changes permanently once
	// ChangeAfterBytes bytes of it have been served.
	ChangeObject     string `json:"change_object,omitempty"`
	ChangeAfterBytes int64  `json:"change_after_bytes,omitempty"`
	// Stall blocks every response body until the switch is cleared.
	Stall bool `json:"stall,omitempty"`
	// Status, if not 0, is returned for every object and manifest request, for
	// example 503.
	Status int `json:"status,omitempty"`
}

// ObjectsConfig configures a weight store or an origin.
type ObjectsConfig struct {
	// Dir contains the directories objects and manifests.
	Dir string
	// LinkBytesPerSecond limits the total rate of all response bodies; 0 means no
	// limit.
	LinkBytesPerSecond int64
	// RequestsPerSecond limits requests for objects and manifests, with bursts of
	// up to Burst. Requests above the limit get status 429; 0 means no limit.
	RequestsPerSecond float64
	Burst             int
	Faults            ObjectFaults
}

// Counters is the response body of GET /counters. Byte counts cover the response
// bodies sent.
type Counters struct {
	Requests int64            `json:"requests"`
	Bytes    int64            `json:"bytes"`
	Limited  int64            `json:"limited"` // requests answered with status 429
	Objects  map[string]int64 `json:"objects"` // body bytes by object or manifest name
}

// Objects is a test double of the weight store or the origin.
type Objects struct {
	cfg      ObjectsConfig
	switches *FaultSwitches[ObjectFaults]
	link     *rate.Limiter
	requests *rate.Limiter

	mu        sync.Mutex
	counters  Counters
	corrupted int
}

// NewObjects returns a weight store or an origin that serves the files in
// cfg.Dir.
func NewObjects(cfg ObjectsConfig) *Objects {
	o := &Objects{cfg: cfg, switches: NewFaultSwitches(cfg.Faults), counters: Counters{Objects: map[string]int64{}}}
	if cfg.LinkBytesPerSecond > 0 {
		o.link = rate.NewLimiter(rate.Limit(cfg.LinkBytesPerSecond), linkPieceBytes)
	}
	if cfg.RequestsPerSecond > 0 {
		o.requests = rate.NewLimiter(rate.Limit(cfg.RequestsPerSecond), max(1, cfg.Burst))
	}
	return o
}

// Handler serves manifests, objects, the counters and the fault switches.
func (o *Objects) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle(PathFaults, o.switches)
	router.HandleFunc("/counters", o.serveCounters).Methods(http.MethodGet)
	router.PathPrefix(wire.PathManifests).Methods(http.MethodGet, http.MethodHead).Handler(o.files(manifestsDir, wire.PathManifests))
	router.PathPrefix(wire.PathObjects).Methods(http.MethodGet, http.MethodHead).Handler(o.files(objectsDir, wire.PathObjects))
	return router
}

// Counters returns a copy of the counters.
func (o *Objects) Counters() Counters {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counters
	c.Objects = make(map[string]int64, len(o.counters.Objects))
	for name, n := range o.counters.Objects {
		c.Objects[name] = n
	}
	return c
}

func (o *Objects) serveCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.Counters())
}

// files serves the files of a directory below cfg.Dir under a URL prefix.
func (o *Objects) files(folder, prefix string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := strings.TrimPrefix(r.URL.Path, prefix)
		if !filepath.IsLocal(filepath.FromSlash(name)) {
			http.Error(w, "bad name", http.StatusBadRequest)
			return
		}
		if !o.admit(w) {
			return
		}
		f, err := os.Open(filepath.Join(o.cfg.Dir, folder, filepath.FromSlash(name)))
		if err != nil {
			http.NotFound(w, r)
			return
		}
		defer func() { _ = f.Close() }()
		content := &objectReader{file: f, objects: o, name: name}
		w.Header().Set("Content-Type", "application/octet-stream")
		http.ServeContent(&objectWriter{ResponseWriter: w, ctx: r.Context(), objects: o, name: name},
			r, "", time.Time{}, content)
	})
}

// admit counts the request. If the rate limit or the Status fault rejects it,
// admit writes the response and returns false.
func (o *Objects) admit(w http.ResponseWriter) bool {
	limited := o.requests != nil && !o.requests.Allow()
	o.mu.Lock()
	o.counters.Requests++
	if limited {
		o.counters.Limited++
	}
	o.mu.Unlock()
	if limited {
		wait := max(1, int(1/o.cfg.RequestsPerSecond))
		w.Header().Set("Retry-After", strconv.Itoa(wait))
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	if status := o.switches.Get().Status; status != 0 {
		http.Error(w, "fault switch", status)
		return false
	}
	return true
}

func (o *Objects) count(name string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Bytes += int64(n)
	o.counters.Objects[name] += int64(n)
}

// served returns the number of body bytes sent for an object.
func (o *Objects) served(name string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counters.Objects[name]
}

// useCorruption reports whether one more read is to be corrupted, and counts it.
// A limit of 0 means every read.
func (o *Objects) useCorruption(times int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if times > 0 && o.corrupted >= times {
		return false
	}
	o.corrupted++
	return true
}

// objectReader reads a file and applies the faults CorruptObject and
// ChangeObject.
type objectReader struct {
	file    *os.File
	objects *Objects
	name    string
	offset  int64
}

// Seek implements io.Seeker.
func (r *objectReader) Seek(offset int64, whence int) (int64, error) {
	n, err := r.file.Seek(offset, whence)
	r.offset = n
	return n, err
}

// Read implements io.Reader.
func (r *objectReader) Read(p []byte) (int, error) {
	n, err := r.file.Read(p)
	faults := r.objects.switches.Get()
	if faults.ChangeObject == r.name && r.objects.served(r.name) >= faults.ChangeAfterBytes {
		for i := range p[:n] {
			p[i] ^= corruptMask
		}
	}
	if faults.CorruptObject == r.name || faults.CorruptObject == "*" {
		// Corrupt the last byte of the chunk, which never lies in the file header.
		at := min((faults.CorruptChunk+1)*manifest.ChunkBytes, r.size()) - 1 - r.offset
		if at >= 0 && at < int64(n) && r.objects.useCorruption(faults.CorruptTimes) {
			p[at] ^= corruptMask
		}
	}
	r.offset += int64(n)
	return n, err
}

func (r *objectReader) size() int64 {
	info, err := r.file.Stat()
	if err != nil {
		return 0
	}
	return info.Size()
}

// objectWriter limits a response body to the link rate, counts its bytes, and
// blocks while the Stall fault is set. It hides the ReadFrom method of the
// wrapped writer, through which a copy would bypass Write.
type objectWriter struct {
	http.ResponseWriter
	ctx     context.Context
	objects *Objects
	name    string
}

// Write implements io.Writer.
func (w *objectWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		piece := p[:min(len(p), linkPieceBytes)]
		if err := w.wait(len(piece)); err != nil {
			return written, err
		}
		n, err := w.ResponseWriter.Write(piece)
		w.objects.count(w.name, n)
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// wait blocks while the Stall fault is set, then until the link rate allows n
// bytes.
func (w *objectWriter) wait(n int) error {
	for {
		faults, changed := w.objects.switches.Changed()
		if !faults.Stall {
			break
		}
		select {
		case <-changed:
		case <-w.ctx.Done():
			return w.ctx.Err()
		}
	}
	if w.objects.link == nil {
		return nil
	}
	return w.objects.link.WaitN(w.ctx, n)
}

var (
	_ io.ReadSeeker = (*objectReader)(nil)
	_ io.Writer     = (*objectWriter)(nil)
)
