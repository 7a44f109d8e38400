package transfer

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/network/memnet"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve starts an HTTP server with handler h that is closed when the test ends.
func serve(t *testing.T, n network.Network, h http.Handler) *httptest.Server {
	t.Helper()
	server, err := memnet.StartServer(n, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// fakeOrigin stands in for the origin or a store: it serves manifests and objects.
type fakeOrigin struct {
	*httptest.Server
	network   *memnet.Network // nil for loopback sockets
	mu        sync.Mutex
	manifests map[string][]byte
	objects   map[string][]byte
	requests  map[string]int // key: path, space, Range header
	// intercept, if set, is called for object requests. It returns true if it
	// answered the request.
	intercept func(w http.ResponseWriter, r *http.Request) bool
}

// newFakeOrigin returns an origin on an in-memory network, for tests in virtual
// time. Over sockets, a busy machine can be slow enough to reach the timeouts.
func newFakeOrigin(t *testing.T) *fakeOrigin {
	return startOrigin(t, memnet.New())
}

// newSocketOrigin returns an origin on a loopback socket.
func newSocketOrigin(t *testing.T) *fakeOrigin { return startOrigin(t, nil) }

func startOrigin(t *testing.T, n *memnet.Network) *fakeOrigin {
	o := &fakeOrigin{
		network: n, manifests: map[string][]byte{}, objects: map[string][]byte{}, requests: map[string]int{},
	}
	o.Server = serve(t, o.host("origin"), o)
	return o
}

// host returns the network as seen by the named process, nil for loopback sockets.
func (o *fakeOrigin) host(name string) network.Network {
	if o.network == nil {
		return nil
	}
	return o.network.Host(name)
}

// withOrigin configures an agent to use the origin and its network.
func withOrigin(o *fakeOrigin) func(*Config) {
	return func(c *Config) { c.OriginURL, c.Network = o.URL, o.host(c.Endpoint) }
}

func (o *fakeOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	o.requests[r.URL.Path+" "+r.Header.Get("Range")]++
	intercept := o.intercept
	data, ok := o.manifests[strings.TrimPrefix(r.URL.Path, wire.PathManifests)]
	if name, isObject := strings.CutPrefix(r.URL.Path, wire.PathObjects); isObject {
		data, ok = o.objects[name]
		if intercept != nil {
			o.mu.Unlock()
			if intercept(w, r) {
				return
			}
			o.mu.Lock()
		}
	}
	o.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(data))
}

func (o *fakeOrigin) setIntercept(f func(w http.ResponseWriter, r *http.Request) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.intercept = f
}

// objectRequests returns the number of requests for objects so far.
func (o *fakeOrigin) objectRequests() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for key, count := range o.requests {
		if strings.HasPrefix(key, wire.PathObjects) {
			n += count
		}
	}
	return n
}

// publish adds a version with the given files and returns the digest of its
// manifest.
func (o *fakeOrigin) publish(t *testing.T, files map[string][]byte) release.Digest {
	t.Helper()
	var b manifest.Builder
	for name, data := range files {
		if err := b.Add(name, bytes.NewReader(data)); err != nil {
			t.Fatal(err)
		}
	}
	_, data, digest, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manifests[digest.Hex()] = data
	for name, content := range files {
		o.objects[name] = content
	}
	return digest
}

func randomBytes(seed uint64, n int) []byte {
	data := make([]byte, n)
	r := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	_, _ = r.Read(data)
	return data
}

func modelSet(d release.Digest) release.WeightsSet {
	return release.WeightsSet{Model: release.Model{Name: "m", Version: "1", Manifest: d, Role: "r"}}
}

func testToken(t *testing.T) auth.Token {
	t.Helper()
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte("0123456789abcdef"), 0o600); err != nil {
		t.Fatal(err)
	}
	token, err := auth.ReadToken(path)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// agent is a Transfer with a server for its peers.
type agent struct {
	*Transfer
	server *httptest.Server
	peer   Peer
}

func newAgent(t *testing.T, name, region string, edit func(*Config)) *agent {
	t.Helper()
	cfg := Config{
		CacheDir: t.TempDir(), Endpoint: name, Region: region, Token: testToken(t),
		HaveInterval: 20 * time.Millisecond, ReadTimeout: 300 * time.Millisecond,
		Swarm: swarm.Config{StallTimeout: 500 * time.Millisecond, ReportTimeout: 300 * time.Millisecond},
	}
	if edit != nil {
		edit(&cfg)
	}
	tr, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.Close)
	server := serve(t, cfg.Network, tr.PeerHandler())
	return &agent{tr, server, Peer{
		Endpoint: name, Region: region,
		ChunkAddress: strings.TrimPrefix(server.URL, "http://"),
	}}
}

// connect makes the agents peers of one another.
func connect(agents ...*agent) {
	var peers []Peer
	for _, a := range agents {
		peers = append(peers, a.peer)
	}
	for _, a := range agents {
		a.SetPeers(peers)
	}
}

// fetchAll fetches the set on all agents concurrently and returns its directories.
func fetchAll(t *testing.T, set release.WeightsSet, agents ...*agent) []string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	dirs, errs := make([]string, len(agents)), make([]error, len(agents))
	var wg sync.WaitGroup
	for i, a := range agents {
		wg.Go(func() { dirs[i], errs[i] = a.Fetch(ctx, set) })
	}
	wg.Wait()
	for _, err := range errs {
		is.New(t).NoErr(err)
	}
	return dirs
}

func checkFile(t *testing.T, dir, name string, want []byte) {
	t.Helper()
	got, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil || !bytes.Equal(got, want) {
		t.Fatalf("%s: wrong content (%v)", name, err)
	}
}
