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

// headerRegion tells a chunk server the region of the instance that asks.
const headerRegion = "Rhubarb-Region"

const (
	// rateBurst is the most that passes a rate limit at once.
	rateBurst = 256 << 10
	// maxRetryAfter bounds the pause that a source can ask for.
	maxRetryAfter = 5 * time.Minute
)

// fetchError is a failed fetch with its reason.
type fetchError struct {
	fault      swarm.Fault
	retryAfter time.Duration
	cause      error
}

func (e *fetchError) Error() string { return fmt.Sprintf("%s: %v", e.fault, e.cause) }
func (e *fetchError) Unwrap() error { return e.cause }

// client fetches from peers, store and origin over HTTP.
type client struct {
	cfg     Config
	http    *http.Client
	limiter *rate.Limiter
	// received counts bytes by kind of source, verified or not.
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

// chunkRequest addresses a chunk at a source. address is the peer's.
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

// fetch gets one chunk and stores it. The error is a *fetchError unless ctx
// has ended.
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

// rateLimitedReader applies the rate limit and ends a fetch that receives nothing.
type rateLimitedReader struct {
	ctx      context.Context
	r        io.Reader
	limiter  *rate.Limiter
	readTimer *time.Timer
	timeout  time.Duration
	count    *atomic.Int64
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

// fetchManifest gets a manifest's bytes from one base URL or peer request.
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
	// Room for the whole content at once: growing step by step leaves several
	// times its size as garbage.
	data.Grow(int(min(max(response.ContentLength, 0), manifest.MaxBytes)) + bytes.MinRead)
	_, err = data.ReadFrom(io.LimitReader(response.Body, manifest.MaxBytes+1))
	return data.Bytes(), err
}
