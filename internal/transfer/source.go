package transfer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// headerRegion carries the region of the requesting instance.
const headerRegion = "Rhubarb-Region"

const (
	// rateBurst is the burst size of the rate limiters in bytes.
	rateBurst = 256 << 10
	// maxRetryAfter caps the Retry-After that a source can ask for.
	maxRetryAfter = 5 * time.Minute
)

// fetchError describes a failed fetch in the terms of the scheduler.
type fetchError struct {
	fault      swarm.Fault
	retryAfter time.Duration
	cause      error
}

func (e *fetchError) Error() string { return fmt.Sprintf("%s: %v", e.fault, e.cause) }
func (e *fetchError) Unwrap() error { return e.cause }

// client fetches chunks and manifests from peers, store and origin over HTTP.
type client struct {
	cfg     Config
	http    *http.Client
	limiter *rate.Limiter
	// received counts chunk bytes by kind of source, including those that later
	// fail verification.
	received [swarm.KindOrigin + 1]atomic.Int64
}

func (c *client) receivedBytes() int64 {
	var sum int64
	for i := range c.received {
		sum += c.received[i].Load()
	}
	return sum
}

func escapePath(name string) string {
	parts := strings.Split(name, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}

// chunkRequest returns the request for a chunk from a source. The address is used
// for peers only.
func (c *client) chunkRequest(ctx context.Context, v *version, f swarm.Fetch, address string) (*http.Request, error) {
	e := v.chunks[f.Chunk]
	switch f.Source.Kind {
	case swarm.KindPeer:
		return c.peerRequest(ctx, address, fmt.Sprintf("%s%x", wire.PathChunks, e.digest))
	case swarm.KindStore:
		return c.rangeRequest(ctx, c.cfg.StoreURL, v, e)
	default:
		return c.rangeRequest(ctx, c.cfg.OriginURL, v, e)
	}
}

func (c *client) peerRequest(ctx context.Context, address, path string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.cfg.Token.Secret())
	request.Header.Set(headerRegion, c.cfg.Region)
	return request, nil
}

func (c *client) rangeRequest(ctx context.Context, base string, v *version, e chunk) (*http.Request, error) {
	target := base + wire.PathObjects + escapePath(v.files[e.first.file].name)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", e.first.offset, e.first.offset+int64(e.size)-1))
	return request, nil
}

// fetch downloads one chunk and writes it to disk. Errors are of type
// *fetchError.
func (c *client) fetch(ctx context.Context, v *version, f swarm.Fetch, address string) error {
	fctx, cancel := context.WithTimeout(ctx, c.cfg.ChunkTimeout)
	defer cancel()
	request, err := c.chunkRequest(fctx, v, f, address)
	if err != nil {
		return &fetchError{fault: swarm.FaultUnavailable, cause: err}
	}
	readTimer := time.AfterFunc(c.cfg.ReadTimeout, cancel)
	defer readTimer.Stop()
	response, err := c.http.Do(request)
	if err != nil {
		return classify(fctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := checkStatus(response, f.Source.Kind); err != nil {
		return err
	}
	body := &rateLimitedReader{
		ctx: fctx, r: response.Body, limiter: c.limiter,
		readTimer: readTimer, timeout: c.cfg.ReadTimeout, count: &c.received[f.Source.Kind],
	}
	return classify(fctx, v.writeChunk(f.Chunk, body))
}

// classify wraps an error in a fetchError. If ctx has ended, which the read
// and chunk timeouts cause, the source counts as stalled.
func classify(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errCorrupt):
		return &fetchError{fault: swarm.FaultCorrupt, cause: err}
	case ctx.Err() != nil:
		return &fetchError{fault: swarm.FaultStalled, cause: err}
	default:
		return &fetchError{fault: swarm.FaultUnavailable, cause: err}
	}
}

// checkStatus maps an unexpected response status to a fetchError. Peers answer
// with 200, and range requests to store and origin with 206.
func checkStatus(response *http.Response, kind swarm.SourceKind) error {
	want := http.StatusPartialContent
	if kind == swarm.KindPeer {
		want = http.StatusOK
	}
	cause := fmt.Errorf("status %s", response.Status)
	switch response.StatusCode {
	case want:
		return nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &fetchError{fault: swarm.FaultBusy, retryAfter: retryAfter(response), cause: cause}
	case http.StatusForbidden:
		return &fetchError{fault: swarm.FaultRefused, cause: cause}
	case http.StatusNotFound, http.StatusRequestedRangeNotSatisfiable:
		return &fetchError{fault: swarm.FaultMissing, cause: cause}
	default:
		return &fetchError{fault: swarm.FaultUnavailable, cause: cause}
	}
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(min(seconds, int(maxRetryAfter/time.Second)))*time.Second, maxRetryAfter)
}

// rateLimitedReader limits the rate of reads, counts the bytes read, and cancels
// the fetch if one read takes longer than timeout.
type rateLimitedReader struct {
	ctx       context.Context
	r         io.Reader
	limiter   *rate.Limiter
	readTimer *time.Timer
	timeout   time.Duration
	count     *atomic.Int64
}

func (p *rateLimitedReader) Read(b []byte) (int, error) {
	p.readTimer.Reset(p.timeout)
	n, err := p.r.Read(b[:min(len(b), rateBurst)])
	p.readTimer.Stop()
	if n > 0 {
		p.count.Add(int64(n))
		if waitErr := p.limiter.WaitN(p.ctx, n); waitErr != nil {
			return n, waitErr
		}
	}
	return n, err
}

// fetchManifest sends the request and returns the encoded manifest, not yet
// verified.
func (c *client) fetchManifest(request *http.Request) ([]byte, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", response.Status)
	}
	var data bytes.Buffer
	// Allocate for the whole content at once: growing the buffer step by step
	// leaves several times its size as garbage.
	data.Grow(int(min(max(response.ContentLength, 0), manifest.MaxBytes)) + bytes.MinRead)
	_, err = data.ReadFrom(io.LimitReader(response.Body, manifest.MaxBytes+1))
	return data.Bytes(), err
}
