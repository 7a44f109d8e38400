package transfer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// Peer is an agent on another instance whose endpoint serves the same models.
type Peer struct {
	Endpoint, Region, Zone string
	ChunkAddress           string // IP and port
}

// Transfer fetches weights sets into the cache directory and serves their chunks to
// peers. Its methods are safe for concurrent use.
type Transfer struct {
	cfg           Config
	cache         cache
	client        *client
	uploadLimiter *rate.Limiter
	uploadSlots   chan struct{}
	subscriptions chan struct{}
	fetchSlots    chan struct{} // slots for chunks
	started       time.Time

	rateMu                               sync.Mutex
	downloadController, uploadController *swarm.RateController
	sentBytes                            atomic.Int64
	// messageBytes counts the messages of sessions that this instance opened to
	// receive reports of held chunks.
	messageBytes transport.ByteCounts

	penaltiesMu sync.Mutex
	penalties   *swarm.Penalties

	mu           sync.Mutex
	peers        map[string]Peer
	peersChanged chan struct{}
	versions     map[release.Digest]*version
	locks        map[release.Digest]*manifestLock
	running      map[string]*activeFetch
	progress     map[string]*progress
}

// activeFetch is a call of Fetch in progress.
type activeFetch struct {
	cancel context.CancelCauseFunc
	set    release.WeightsSet
}

// manifestLock allows one transfer or verification of a manifest at a time. Unlike
// a mutex, it can be waited for with a context.
type manifestLock struct {
	sem chan struct{}
}

// New creates a Transfer and the layout of its cache directory, and restores saved
// penalties. It starts no goroutines.
func New(cfg Config) (*Transfer, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	c, err := openCache(cfg.CacheDir)
	if err != nil {
		return nil, err
	}
	t := &Transfer{
		cfg: cfg, cache: c,
		client: &client{
			cfg: cfg, http: &http.Client{Transport: network.HTTPTransport(cfg.Network)},
			limiter: rate.NewLimiter(rate.Limit(cfg.DownloadRate), rateBurst),
		},
		uploadLimiter:      rate.NewLimiter(rate.Limit(cfg.UploadRate), rateBurst),
		uploadSlots:        make(chan struct{}, maxUploads),
		subscriptions:      make(chan struct{}, maxSubscriptions),
		fetchSlots:         make(chan struct{}, cfg.MaxChunkFetches),
		started:            time.Now(),
		downloadController: swarm.NewRateController(cfg.DownloadRate, cfg.MinimumRate),
		uploadController:   swarm.NewRateController(cfg.UploadRate, cfg.MinimumRate),
		penalties:          swarm.NewPenalties(),
		peers:              map[string]Peer{},
		peersChanged:       make(chan struct{}),
		versions:           map[release.Digest]*version{},
		locks:              map[release.Digest]*manifestLock{},
		running:            map[string]*activeFetch{},
		progress:           map[string]*progress{},
	}
	t.restorePenalties()
	return t, nil
}

// Close closes idle connections. It does not stop running fetches, which end with
// their contexts.
func (t *Transfer) Close() { t.client.http.CloseIdleConnections() }

// now returns the time since New, on which schedulers and rate controllers run.
func (t *Transfer) now() time.Duration { return time.Since(t.started) }

// SetPeers replaces the list of live agents that transfer the same sets. Entries
// for the instance itself or without an address are ignored.
func (t *Transfer) SetPeers(peers []Peer) {
	next := make(map[string]Peer, len(peers))
	for _, p := range peers {
		if p.Endpoint != t.cfg.Endpoint && p.ChunkAddress != "" {
			next[p.Endpoint] = p
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if maps.Equal(next, t.peers) {
		return
	}
	t.peers = next
	close(t.peersChanged)
	t.peersChanged = make(chan struct{})
}

// nodes returns the live peers and a channel that is closed when they change.
func (t *Transfer) nodes() ([]swarm.Node, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]swarm.Node, 0, len(t.peers))
	for _, p := range t.peers {
		list = append(list, swarm.Node{ID: p.Endpoint, Region: p.Region, Zone: p.Zone})
	}
	return list, t.peersChanged
}

func (t *Transfer) address(peer string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[peer].ChunkAddress
}

func (t *Transfer) version(d release.Digest) *version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versions[d]
}

// Progress returns the progress of each set that Fetch or Verify was called for,
// sorted by identifier, until Prune or Cancel removes the set.
func (t *Transfer) Progress() []wire.RolloutProgress {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []wire.RolloutProgress
	for _, id := range slices.Sorted(maps.Keys(t.progress)) {
		list = append(list, t.progress[id].snapshot())
	}
	return list
}

// Fetch downloads a set and returns its directory once every chunk of the model
// and adapters is verified and the files are assembled. It retries failed sources
// until ctx ends or the set is cancelled.
func (t *Transfer) Fetch(ctx context.Context, set release.WeightsSet) (string, error) {
	id := set.ID()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p, err := t.beginFetch(id, &activeFetch{cancel: cancel, set: set})
	if err != nil {
		return "", err
	}
	dir, err := t.fetchSet(ctx, set, p)
	t.endFetch(id)
	if err != nil {
		p.setPhase(PhaseFailed, err.Error())
		return "", err
	}
	p.setPhase(PhaseVerified, "")
	return dir, nil
}

func (t *Transfer) beginFetch(id string, r *activeFetch) (*progress, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[id] != nil {
		return nil, oops.In("transfer").With("set", id).Errorf("set is already being fetched")
	}
	t.running[id] = r
	p := newProgress(id)
	t.progress[id] = p
	return p, nil
}

func (t *Transfer) endFetch(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
}

// Cancel aborts the transfer of a set. Verified chunks stay on disk until Prune.
func (t *Transfer) Cancel(setID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.running[setID]; r != nil {
		r.cancel(ErrCancelled)
	}
	delete(t.progress, setID)
}

func (t *Transfer) fetchSet(ctx context.Context, set release.WeightsSet, p *progress) (string, error) {
	digests := setManifests(set)
	manifests := make([]manifest.Manifest, 0, len(digests))
	var names []string
	chunks := 0
	for _, d := range digests {
		m, err := t.obtainManifest(ctx, d)
		if err != nil {
			return "", err
		}
		for _, f := range m.Files {
			names = append(names, f.Name)
		}
		chunks += len(m.Chunks())
		manifests = append(manifests, m)
	}
	if err := manifest.CheckNames(names); err != nil {
		return "", errors.Join(ErrInvalidSet, err)
	}
	p.setChunksTotal(chunks)
	p.setPhase(PhaseFetching, "")
	versions, err := t.fetchVersions(ctx, digests, manifests, p)
	if err != nil {
		return "", err
	}
	if err := t.cache.writeIndex(set); err != nil {
		return "", err
	}
	return t.cache.assemble(set.ID(), versions)
}

// fetchVersions fetches the chunks of several manifests concurrently, starting
// them in the given order. Small manifests spend most of their time waiting for
// reports of peers, so fetching one after another would be slow.
func (t *Transfer) fetchVersions(ctx context.Context, digests []release.Digest, manifests []manifest.Manifest, p *progress) ([]*version, error) {
	versions := make([]*version, len(digests))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(t.cfg.MaxManifestFetches)
	for i, d := range digests {
		group.Go(func() error {
			part := &manifestProgress{set: p}
			v, err := t.fetchVersion(ctx, d, manifests[i], part)
			if err != nil {
				return err
			}
			manifests[i] = manifest.Manifest{} // release the memory
			part.setChunksHave(len(v.chunks))
			versions[i] = v
			return nil
		})
	}
	return versions, group.Wait()
}

func (t *Transfer) lockManifest(ctx context.Context, d release.Digest) (unlock func(), err error) {
	t.mu.Lock()
	l := t.locks[d]
	if l == nil {
		l = &manifestLock{sem: make(chan struct{}, 1)}
		t.locks[d] = l
	}
	t.mu.Unlock()
	select {
	case l.sem <- struct{}{}:
		return func() { <-l.sem }, nil
	case <-ctx.Done():
		return nil, errors.Join(ErrCancelled, context.Cause(ctx))
	}
}

func (t *Transfer) fetchVersion(ctx context.Context, d release.Digest, m manifest.Manifest, p *manifestProgress) (*version, error) {
	unlock, err := t.lockManifest(ctx, d)
	if err != nil {
		return nil, err
	}
	defer unlock()
	v := t.version(d)
	if v == nil {
		v = t.newVersion(d, m)
		if err := v.load(ctx); err != nil {
			return nil, err
		}
		t.setVersion(v)
	}
	if v.complete() {
		return v, v.finish()
	}
	t.reuseLocal(ctx, v)
	if err := newJob(t, v, p).run(ctx); err != nil {
		return nil, err
	}
	return v, v.finish()
}

func (t *Transfer) setVersion(v *version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions[v.digest] = v
}

// reuseLocal copies chunks that other versions in the cache already contain.
func (t *Transfer) reuseLocal(ctx context.Context, v *version) {
	for _, d := range t.cache.cachedManifests() {
		other := t.version(d)
		if other == nil {
			m, err := t.cache.readManifest(d)
			if err != nil {
				continue
			}
			other = newVersion(t.cache, d, m)
		}
		for _, dir := range []string{t.cache.versionDir(d), t.cache.partialDir(d), t.cache.oldDir(d)} {
			if dir != v.filePath("") {
				v.copyChunksFrom(ctx, other, dir)
			}
		}
	}
}

const (
	minManifestRetryDelay = 200 * time.Millisecond
	manifestTimeout       = 10 * time.Second
	// manifestPeers limits how many peers are asked for a manifest before the store
	// and the origin.
	manifestPeers = 3
)

// obtainManifest returns a manifest from the cache, or downloads it from peers,
// store or origin, with retries until ctx ends.
func (t *Transfer) obtainManifest(ctx context.Context, d release.Digest) (manifest.Manifest, error) {
	if !manifest.ValidDigest(d) {
		return manifest.Manifest{}, errors.Join(ErrInvalidSet, fmt.Errorf("invalid manifest digest %q", d))
	}
	if m, err := t.cache.readManifest(d); err == nil {
		return m, nil
	}
	for wait := minManifestRetryDelay; ; wait = min(2*wait, manifestTimeout) {
		m, err := t.downloadManifest(ctx, d)
		if err == nil || errors.Is(err, manifest.ErrInvalid) {
			return m, err
		}
		t.cfg.Log.WithField("manifest", string(d)).WithError(err).Warn("manifest_fetch_failed")
		sleep(ctx, wait)
		if ctx.Err() != nil {
			return manifest.Manifest{}, errors.Join(ErrCancelled, context.Cause(ctx), err)
		}
	}
}

func (t *Transfer) downloadManifest(ctx context.Context, d release.Digest) (manifest.Manifest, error) {
	err := errors.New("no source for the manifest: no peer in the region, store or origin")
	for _, open := range t.manifestRequests(d) {
		rctx, cancel := context.WithTimeout(ctx, manifestTimeout)
		var data []byte
		request, requestErr := open(rctx)
		if requestErr == nil {
			data, requestErr = t.client.fetchManifest(request)
		}
		cancel()
		if requestErr != nil {
			err = requestErr
			continue
		}
		m, decodeErr := manifest.Decode(data, d)
		if decodeErr != nil {
			err = decodeErr
			continue
		}
		return m, writeFile(t.cache.manifestPath(d), data)
	}
	return manifest.Manifest{}, err
}

type requestFunc func(ctx context.Context) (*http.Request, error)

// manifestRequests returns the requests for a manifest in the order in which to
// try them: peers of the own region, store, origin.
func (t *Transfer) manifestRequests(d release.Digest) []requestFunc {
	var list []requestFunc
	nodes, _ := t.nodes()
	for _, n := range nodes {
		if n.Region == t.cfg.Region && len(list) < manifestPeers {
			list = append(list, func(ctx context.Context) (*http.Request, error) {
				return t.client.peerRequest(ctx, t.address(n.ID), wire.PathManifests+d.Hex())
			})
		}
	}
	for _, base := range []string{t.cfg.StoreURL, t.cfg.OriginURL} {
		if base != "" {
			list = append(list, func(ctx context.Context) (*http.Request, error) {
				return http.NewRequestWithContext(ctx, http.MethodGet, base+wire.PathManifests+d.Hex(), nil)
			})
		}
	}
	return list
}

// Verify hashes the chunks of a set on disk, for use after a restart, and returns
// its directory. It uses no network and returns ErrNotCached if anything is
// missing or damaged.
func (t *Transfer) Verify(ctx context.Context, set release.WeightsSet) (string, error) {
	id := set.ID()
	var versions []*version
	chunks := 0
	for _, d := range setManifests(set) {
		v, err := t.verifyVersion(ctx, d)
		if err != nil {
			return "", err
		}
		versions = append(versions, v)
		chunks += len(v.chunks)
	}
	dir, err := t.cache.assemble(id, versions)
	if err != nil {
		return "", err
	}
	p := newProgress(id)
	p.setChunksTotal(chunks)
	(&manifestProgress{set: p}).setChunksHave(chunks)
	p.setPhase(PhaseVerified, "")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progress[id] = p
	return dir, nil
}

func (t *Transfer) verifyVersion(ctx context.Context, d release.Digest) (*version, error) {
	m, err := t.cache.readManifest(d)
	if err != nil {
		return nil, errors.Join(ErrNotCached, err)
	}
	unlock, err := t.lockManifest(ctx, d)
	if err != nil {
		return nil, err
	}
	defer unlock()
	v := t.newVersion(d, m)
	if err := v.load(ctx); err != nil {
		return nil, err
	}
	t.setVersion(v)
	if !v.complete() {
		return nil, ErrNotCached
	}
	return v, v.finish()
}

// Prune removes sets that are not in keep from the cache, with the versions that
// no other set uses. Sets being transferred are kept.
func (t *Transfer) Prune(keep []string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy := map[release.Digest]bool{}
	keep = slices.Clone(keep)
	for id, r := range t.running {
		keep = append(keep, id)
		for _, d := range setManifests(r.set) {
			busy[d] = true
		}
	}
	if err := t.cache.prune(keep, busy); err != nil {
		return oops.In("transfer").Wrap(err)
	}
	t.dropPruned(keep, busy)
	return nil
}

func (t *Transfer) dropPruned(keep []string, busy map[release.Digest]bool) {
	for d := range t.versions {
		if _, err := t.cache.readManifest(d); err != nil && !busy[d] {
			delete(t.versions, d)
		}
	}
	for id := range t.progress {
		if !slices.Contains(keep, id) {
			delete(t.progress, id)
		}
	}
}

// SetPressure reduces the transfer rates when quote latency rises and raises them
// again when it falls. It should be called about once a second. The pressure is 0
// while latency is within its bound and grows to 1 as latency exceeds it.
func (t *Transfer) SetPressure(pressure float64) {
	t.rateMu.Lock()
	defer t.rateMu.Unlock()
	now := t.now()
	t.client.limiter.SetLimit(rate.Limit(t.downloadController.Adjust(now, pressure, t.client.receivedBytes())))
	t.uploadLimiter.SetLimit(rate.Limit(t.uploadController.Adjust(now, pressure, t.sentBytes.Load())))
}
