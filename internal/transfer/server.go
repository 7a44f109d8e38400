package transfer

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	// maxUploads limits concurrent chunk uploads. Each allocates a copy buffer.
	maxUploads = 32
	// maxSubscriptions limits concurrent subscriptions to reports of held chunks.
	maxSubscriptions = 256
)

// PeerHandler returns the handler that serves chunks, manifests and reports of
// held chunks to other agents. Every request must carry the process token.
func (t *Transfer) PeerHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(wire.PathChunks+"{digest}", t.serveChunk).Methods(http.MethodGet)
	router.HandleFunc(wire.PathManifests+"{digest}", t.serveManifest).Methods(http.MethodGet)
	router.Handle(wire.PathSession, &transport.Server{Handler: t.handleMessage, Authorize: t.cfg.Token.Allows})
	return t.cfg.Token.Require(router)
}

func (t *Transfer) serveManifest(w http.ResponseWriter, r *http.Request) {
	digest := release.Digest("sha256:" + mux.Vars(r)["digest"])
	if !manifest.ValidDigest(digest) {
		http.Error(w, "not a digest", http.StatusBadRequest)
		return
	}
	http.ServeFile(w, r, t.cache.manifestPath(digest))
}

func (t *Transfer) serveChunk(w http.ResponseWriter, r *http.Request) {
	var wanted chunkDigest
	raw, err := hex.DecodeString(mux.Vars(r)["digest"])
	if err != nil || len(raw) != len(wanted) {
		http.Error(w, "not a digest", http.StatusBadRequest)
		return
	}
	wanted = chunkDigest(raw)
	select {
	case t.uploadSlots <- struct{}{}:
		defer func() { <-t.uploadSlots }()
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many uploads", http.StatusServiceUnavailable)
		return
	}
	v, i := t.findChunk(wanted)
	if v == nil {
		http.Error(w, "chunk not held", http.StatusNotFound)
		return
	}
	region := r.Header.Get(headerRegion)
	if !v.allowRegionLink(i, region) {
		http.Error(w, "chunk does not cross the region link, or not again", http.StatusForbidden)
		return
	}
	if err := t.sendChunk(w, r, v, i); err != nil {
		v.undoRegionLink(i, region)
	}
}

// findChunk searches all versions for a held chunk with the given digest. It
// returns the version and the index of the chunk, or nil.
func (t *Transfer) findChunk(wanted chunkDigest) (*version, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.versions {
		if i, ok := v.index[wanted]; ok && v.holds(int(i)) {
			return v, int(i)
		}
	}
	return nil, 0
}

// sendChunk writes a chunk as the response body. After an error the body is shorter
// than its Content-Length, so the receiver detects the failure.
func (t *Transfer) sendChunk(w http.ResponseWriter, r *http.Request, v *version, i int) error {
	section, err := v.openChunk(i)
	if err != nil {
		http.Error(w, "chunk not readable", http.StatusNotFound)
		return err
	}
	defer func() { _ = section.Close() }()
	size := int64(v.chunks[i].size)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	target := &rateLimitedWriter{ctx: r.Context(), w: w, limiter: t.uploadLimiter, count: &t.sentBytes}
	n, err := io.CopyBuffer(target, struct{ io.Reader }{section}, make([]byte, copyBufferBytes))
	if err == nil && n != size {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// rateLimitedWriter limits the rate of writes and counts the bytes written.
type rateLimitedWriter struct {
	ctx     context.Context
	w       io.Writer
	limiter *rate.Limiter
	count   *atomic.Int64
}

func (p *rateLimitedWriter) Write(b []byte) (int, error) {
	if err := p.limiter.WaitN(p.ctx, len(b)); err != nil {
		return 0, err
	}
	n, err := p.w.Write(b)
	p.count.Add(int64(n))
	return n, err
}

// handleMessage answers a HaveRequest with the bitmap of held chunks and starts
// the subscription that it asks for. The bitmap is empty for an unknown manifest.
func (t *Transfer) handleMessage(ctx context.Context, s *transport.Session, env wire.Envelope) {
	var request wire.HaveRequest
	if env.Type != wire.TypeHaveRequest || env.Into(&request) != nil {
		_ = s.Reply(env, wire.Error{Code: "bad-request"})
		return
	}
	reply := wire.Have{Manifest: request.Manifest, Endpoint: t.cfg.Endpoint}
	subscription := haveSubscription{t: t, request: request, version: t.version(request.Manifest)}
	if subscription.version != nil {
		reply.Bitmap, subscription.sent = subscription.version.bitmap()
	}
	if s.Reply(env, reply) != nil || request.Subscription == 0 {
		return
	}
	select {
	case t.subscriptions <- struct{}{}:
		go func() {
			defer func() { <-t.subscriptions }()
			subscription.run(ctx, s)
		}()
	default:
		s.Close()
	}
}

// haveSubscription reports newly held chunks of one manifest to one subscriber.
type haveSubscription struct {
	t       *Transfer
	request wire.HaveRequest
	version *version
	sent    int // number of chunks of version already reported
}

func (f *haveSubscription) run(ctx context.Context, s *transport.Session) {
	ticker := time.NewTicker(f.t.cfg.HaveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Done():
			return
		case <-ticker.C:
		}
		if change, ok := f.nextChange(); ok && s.Send(change) != nil {
			// The subscriber reconnects and receives the whole bitmap.
			s.Close()
			return
		}
	}
}

// nextChange returns what changed since the last report, and false if nothing
// did. After the version was replaced, the report carries its whole bitmap.
func (f *haveSubscription) nextChange() (wire.Have, bool) {
	change := wire.Have{Subscription: f.request.Subscription}
	if v := f.t.version(f.request.Manifest); v != f.version {
		f.version, f.sent = v, 0
		if v != nil {
			change.Bitmap, f.sent = v.bitmap()
		}
		return change, true
	}
	if f.version == nil {
		return change, false
	}
	change.Added = f.version.arrivedAfter(f.sent)
	f.sent += len(change.Added)
	return change, len(change.Added) > 0
}
