package transfer

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// maxUploads bounds concurrent chunk uploads; each holds one copy buffer.
const maxUploads = 32

// PeerHandler serves chunks, manifests and reports of held chunks to other
// agents. Every request needs the process token.
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
	var wanted sum
	raw, err := hex.DecodeString(mux.Vars(r)["digest"])
	if err != nil || len(raw) != len(wanted) {
		http.Error(w, "not a digest", http.StatusBadRequest)
		return
	}
	wanted = sum(raw)
	if t.cfg.RegionLinks == swarm.RegionLinksNever && r.Header.Get(headerRegion) != t.cfg.Region {
		http.Error(w, "chunks do not cross region links", http.StatusForbidden)
		return
	}
	select {
	case t.uploads <- struct{}{}:
		defer func() { <-t.uploads }()
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
	t.sendChunk(w, r, v, i)
}

// findChunk looks for a held chunk in all versions.
func (t *Transfer) findChunk(wanted sum) (*version, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.versions {
		if i, ok := v.index[wanted]; ok && v.holds(int(i)) {
			return v, int(i)
		}
	}
	return nil, 0
}

func (t *Transfer) sendChunk(w http.ResponseWriter, r *http.Request, v *version, i int) {
	section, err := v.open(i)
	if err != nil {
		http.Error(w, "chunk not readable", http.StatusNotFound)
		return
	}
	defer func() { _ = section.Close() }()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(int(v.chunks[i].size)))
	target := &pacedWriter{ctx: r.Context(), w: w, limiter: t.uploadLimiter}
	// An error leaves the answer short, which the receiver notices.
	_, _ = io.CopyBuffer(target, struct{ io.Reader }{section}, make([]byte, copyBufferBytes))
}

type pacedWriter struct {
	ctx     context.Context
	w       io.Writer
	limiter *rate.Limiter
}

func (p *pacedWriter) Write(b []byte) (int, error) {
	if err := p.limiter.WaitN(p.ctx, len(b)); err != nil {
		return 0, err
	}
	return p.w.Write(b)
}

// handleMessage answers a HaveRequest. A manifest that is not known here gives
// an empty bitmap.
func (t *Transfer) handleMessage(_ context.Context, s *transport.Session, env wire.Envelope) {
	var request wire.HaveRequest
	if env.Type != wire.TypeHaveRequest || env.Into(&request) != nil {
		_ = s.Reply(env, wire.Error{Code: "bad-request"})
		return
	}
	reply := wire.Have{Manifest: request.Manifest, Endpoint: t.cfg.Endpoint}
	if v := t.version(request.Manifest); v != nil {
		reply.Bitmap = v.bitmap()
	}
	_ = s.Reply(env, reply)
}
