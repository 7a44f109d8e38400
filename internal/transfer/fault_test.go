package transfer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

const chunkSize = manifest.ChunkBytes

// interceptChunks makes h answer the chunk requests that peers send to the agent.
func (a *agent) interceptChunks(t *testing.T, h http.HandlerFunc) {
	inner := a.PeerHandler()
	server := serve(t, a.cfg.Network, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, wire.PathChunks) {
			h(w, r)
			return
		}
		inner.ServeHTTP(w, r)
	}))
	a.peer.ChunkAddress = strings.TrimPrefix(server.URL, "http://")
}

// Guards against use of chunks that do not match their digest, and against
// further requests to a peer that sent one.
func TestCorruptPeerIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		data := randomBytes(1, 6*chunkSize)
		set := modelSet(origin.publish(t, map[string][]byte{"m": data}))
		holder, victim := newAgent(t, "holder", "r", withOrigin(origin)), newAgent(t, "victim", "r", withOrigin(origin))
		fetchAll(t, set, holder)
		var asked atomic.Int32
		holder.interceptChunks(t, func(w http.ResponseWriter, _ *http.Request) {
			asked.Add(1)
			_, _ = w.Write(randomBytes(9, chunkSize))
		})
		connect(holder, victim)
		checkFile(t, fetchAll(t, set, victim)[0], "m", data)
		is.True(asked.Load() >= 1)
		is.True(asked.Load() <= 2) // requests in flight when the first corrupt chunk arrived
	})
}

// Guards against a transfer that hangs on a peer that accepts the request but
// sends nothing, or stops in the middle of a chunk.
func TestStalledPeerIsAbandoned(t *testing.T) {
	for name, sent := range map[string]int{"no answer": 0, "within a chunk": 1000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origin := newFakeOrigin(t)
				data := randomBytes(1, 3*chunkSize)
				set := modelSet(origin.publish(t, map[string][]byte{"m": data}))
				holder, victim := newAgent(t, "holder", "r", withOrigin(origin)), newAgent(t, "victim", "r", withOrigin(origin))
				fetchAll(t, set, holder)
				holder.interceptChunks(t, func(w http.ResponseWriter, r *http.Request) {
					if sent > 0 {
						_, _ = w.Write(make([]byte, sent))
						_ = http.NewResponseController(w).Flush()
					}
					<-r.Context().Done()
				})
				connect(holder, victim)
				checkFile(t, fetchAll(t, set, victim)[0], "m", data)
			})
		})
	}
}

// Guards against a transfer that keeps waiting for chunks that a peer reports as
// held but does not have.
func TestPeerWithoutReportedChunksIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origin := newFakeOrigin(t)
		data := randomBytes(1, 3*chunkSize)
		set := modelSet(origin.publish(t, map[string][]byte{"m": data}))
		holder, victim := newAgent(t, "holder", "r", withOrigin(origin)), newAgent(t, "victim", "r", withOrigin(origin))
		fetchAll(t, set, holder)
		holder.interceptChunks(t, http.NotFound)
		connect(holder, victim)
		checkFile(t, fetchAll(t, set, victim)[0], "m", data)
	})
}

// Guards against files assembled from two contents of an object that changes at
// the origin during the transfer.
func TestObjectChangedDuringTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		data, other := randomBytes(1, 6*chunkSize), randomBytes(2, 6*chunkSize)
		set := modelSet(origin.publish(t, map[string][]byte{"m": data}))
		var requests atomic.Int32
		origin.setIntercept(func(w http.ResponseWriter, r *http.Request) bool {
			n := requests.Add(1)
			if n <= 3 || n > 6 {
				return false
			}
			http.ServeContent(w, r, "", time.Time{}, strings.NewReader(string(other)))
			return true
		})
		a := newAgent(t, "a", "r", withOrigin(origin))
		checkFile(t, fetchAll(t, set, a)[0], "m", data)
		is.Equal(requests.Load(), int32(6+3))
	})
}

// Guards against use of corrupt chunks from a store, and against requests to a
// store before its Retry-After has passed.
func TestStoreFaults(t *testing.T) {
	faults := map[string]func(w http.ResponseWriter){
		"corrupt": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusPartialContent)
			_, _ = w.Write(make([]byte, chunkSize))
		},
		"busy": func(w http.ResponseWriter) {
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(http.StatusTooManyRequests)
		},
		"ignores range": func(w http.ResponseWriter) { _, _ = w.Write(make([]byte, 5*chunkSize)) },
	}
	for name, answer := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				origin := newFakeOrigin(t)
				store := startOrigin(t, origin.network)
				data := randomBytes(1, 5*chunkSize)
				set := modelSet(origin.publish(t, map[string][]byte{"m": data}))
				store.setIntercept(func(w http.ResponseWriter, _ *http.Request) bool {
					answer(w)
					return true
				})
				a := newAgent(t, "a", "r", func(c *Config) {
					withOrigin(origin)(c)
					c.StoreURL = store.URL
					c.Swarm.UpstreamFetches = 2
				})
				checkFile(t, fetchAll(t, set, a)[0], "m", data)
				is.Equal(origin.objectRequests(), 5)
				if name == "busy" {
					is.True(store.objectRequests() <= 2) // the two concurrent requests allowed by UpstreamFetches
					is.True(a.penalties.Until(swarm.Source{Kind: swarm.KindStore}) > 50*time.Second)
				}
			})
		})
	}
}

// Guards against a transfer that never ends when the only peer with a chunk fails,
// and against fetching again the chunks that had arrived before.
func TestOnlyHolderFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		data := randomBytes(1, 4*chunkSize)
		set := modelSet(origin.publish(t, map[string][]byte{"m": data}))
		holder, victim := newAgent(t, "holder", "r", withOrigin(origin)), newAgent(t, "victim", "r", withOrigin(origin))
		fetchAll(t, set, holder)
		var served atomic.Int32
		inner := holder.PeerHandler()
		holder.interceptChunks(t, func(w http.ResponseWriter, r *http.Request) {
			if served.Add(1) > 2 {
				panic(http.ErrAbortHandler) // fails after serving two chunks
			}
			inner.ServeHTTP(w, r)
		})
		connect(holder, victim)
		checkFile(t, fetchAll(t, set, victim)[0], "m", data)
		is.Equal(origin.objectRequests(), 4+2)
	})
}

// Guards against a set directory that the engine could load before every chunk is
// verified, and against a transfer that continues after Cancel. Chunks shared with
// the next set must not be fetched again.
func TestCancelAndChangeOfSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		shared := randomBytes(1, 4*chunkSize)
		old := append(append([]byte{}, shared...), randomBytes(2, 4*chunkSize)...)
		next := append(append([]byte{}, shared...), randomBytes(3, 4*chunkSize)...)
		oldSet := modelSet(origin.publish(t, map[string][]byte{"m/1": old}))
		nextSet := modelSet(origin.publish(t, map[string][]byte{"m/2": next}))
		gate := make(chan struct{})
		open := sync.OnceFunc(func() { close(gate) })
		defer open()
		origin.setIntercept(func(_ http.ResponseWriter, r *http.Request) bool {
			var offset int64
			_, _ = fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-", &offset)
			if strings.HasSuffix(r.URL.Path, "m/1") && offset >= 5*chunkSize {
				<-gate
			}
			return false
		})
		a := newAgent(t, "a", "r", withOrigin(origin))
		failed := make(chan error, 1)
		go func() {
			_, err := a.Fetch(t.Context(), oldSet)
			failed <- err
		}()
		waitFor(t, func() bool { return len(a.Progress()) == 1 && a.Progress()[0].ChunksHave >= 2 })
		_, err := os.Stat(filepath.Join(a.cfg.CacheDir, "sets", oldSet.ID()))
		is.True(errors.Is(err, os.ErrNotExist))
		a.Cancel(oldSet.ID())
		is.True(errors.Is(<-failed, ErrCancelled))
		open()

		held := a.version(oldSet.Model.Manifest).heldCount()
		before := origin.objectRequests()
		checkFile(t, fetchAll(t, nextSet, a)[0], "m/2", next)
		sharedHeld := 0
		for i := range 4 {
			if a.version(oldSet.Model.Manifest).holds(i) {
				sharedHeld++
			}
		}
		is.True(held >= 2 && sharedHeld >= 1)
		is.Equal(origin.objectRequests()-before, 8-sharedHeld)
	})
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 5 s")
}

// Guards against fetching chunks again after a restart during a transfer, and
// against using chunks on disk without hashing them.
func TestRestartDuringTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		data := randomBytes(1, 8*chunkSize)
		set := modelSet(origin.publish(t, map[string][]byte{"m": data}))
		var allowed atomic.Int32
		allowed.Store(4)
		origin.setIntercept(func(w http.ResponseWriter, _ *http.Request) bool {
			if allowed.Add(-1) >= 0 {
				return false
			}
			w.WriteHeader(http.StatusInternalServerError)
			return true
		})
		dir := t.TempDir()
		edit := func(c *Config) { withOrigin(origin)(c); c.CacheDir = dir }
		first := newAgent(t, "a", "r", edit)
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error, 1)
		go func() {
			_, err := first.Fetch(ctx, set)
			failed <- err
		}()
		waitFor(t, func() bool { return len(first.Progress()) == 1 && first.Progress()[0].ChunksHave == 4 })
		cancel()
		is.True(<-failed != nil)

		// Damage one chunk on disk while the agent is down.
		v := first.version(set.Model.Manifest)
		damaged := v.arrivals[0]
		file, err := os.OpenFile(v.locationPath(v.chunks[damaged].first), os.O_WRONLY, 0)
		is.NoErr(err)
		_, err = file.WriteAt([]byte("damage"), v.chunks[damaged].first.offset+77)
		is.NoErr(errors.Join(err, file.Close()))

		allowed.Store(1000)
		before := origin.objectRequests()
		second := newAgent(t, "a", "r", edit)
		_, err = second.Verify(t.Context(), set)
		is.True(errors.Is(err, ErrNotCached))
		checkFile(t, fetchAll(t, set, second)[0], "m", data)
		is.Equal(origin.objectRequests()-before, 5)
	})
}

// Guards against a complete set that is fetched again after a restart between
// verification and assembly, and against a set that is reported complete without
// hashing although it was damaged on disk.
func TestRestartAfterVerification(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		data, adapter := randomBytes(1, 3*chunkSize), randomBytes(2, 100)
		set := modelSet(origin.publish(t, map[string][]byte{"m": data}))
		set.Adapters = []release.Adapter{{Name: "x", Base: "m", Version: "1", Manifest: origin.publish(t, map[string][]byte{"x": adapter})}}
		dir := t.TempDir()
		edit := func(c *Config) { withOrigin(origin)(c); c.CacheDir = dir }
		fetchAll(t, set, newAgent(t, "a", "r", edit))
		requests := origin.objectRequests()
		is.NoErr(os.RemoveAll(filepath.Join(dir, "sets", set.ID())))

		second := newAgent(t, "a", "r", edit)
		setDir, err := second.Verify(t.Context(), set)
		is.NoErr(err)
		checkFile(t, setDir, "m", data)
		checkFile(t, setDir, "x", adapter)
		is.Equal(origin.objectRequests(), requests)

		// The damaged file must not change while an engine has it open.
		is.NoErr(os.WriteFile(filepath.Join(setDir, "m"), randomBytes(3, 3*chunkSize), 0o600))
		open, err := os.Open(filepath.Join(setDir, "m"))
		is.NoErr(err)
		defer func() { _ = open.Close() }()
		third := newAgent(t, "a", "r", edit)
		_, err = third.Verify(t.Context(), set)
		is.True(errors.Is(err, ErrNotCached))
		checkFile(t, fetchAll(t, set, third)[0], "m", data)
		head := make([]byte, 8)
		_, err = open.ReadAt(head, 0)
		is.NoErr(err)
		is.Equal(head, randomBytes(3, 8))
	})
}

// Guards against hashing that continues after the context is cancelled.
func TestCancelEndsHashing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		set := modelSet(origin.publish(t, map[string][]byte{"m": randomBytes(1, chunkSize)}))
		a := newAgent(t, "a", "r", withOrigin(origin))
		fetchAll(t, set, a)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.True(errors.Is(a.version(set.Model.Manifest).load(ctx), ErrCancelled))
	})
}

// Guards against removal of files in use and against leftover files.
func TestPrune(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		one := modelSet(origin.publish(t, map[string][]byte{"m/1": randomBytes(1, 10)}))
		two := modelSet(origin.publish(t, map[string][]byte{"m/2": randomBytes(2, 10)}))
		dir := t.TempDir()
		edit := func(c *Config) { withOrigin(origin)(c); c.CacheDir = dir }
		a := newAgent(t, "a", "r", edit)
		fetchAll(t, one, a)
		fetchAll(t, two, a)
		b := newAgent(t, "a", "r", edit) // after a restart, with neither set in memory
		is.NoErr(b.Prune([]string{two.ID()}))
		for _, sub := range []string{"sets", "index", "versions", "manifests"} {
			entries, err := os.ReadDir(filepath.Join(dir, sub))
			is.NoErr(err)
			is.Equal(len(entries), 1)
		}
		_, err := b.Verify(t.Context(), two)
		is.NoErr(err)
	})
}

// Guards against assembling safetensors files with an invalid header.
func TestInvalidSafetensorsIsNotAssembled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		set := modelSet(origin.publish(t, map[string][]byte{"m.safetensors": randomBytes(1, 100)}))
		a := newAgent(t, "a", "r", withOrigin(origin))
		_, err := a.Fetch(t.Context(), set)
		is.True(errors.Is(err, ErrInvalidSet))
		is.Equal(a.Progress()[0].Phase, PhaseFailed)
	})
}

// chunkStatus requests a chunk from the agent and returns the HTTP status.
func chunkStatus(t *testing.T, a *agent, digest release.Digest, region, token string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, a.server.URL+wire.PathChunks+digest.Hex(), nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set(headerRegion, region)
	response, err := a.client.http.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a server that relies on the requesting side to follow the region
// link rule, and against serving callers without the process token.
func TestChunkServerRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		data := randomBytes(1, 100)
		set := modelSet(origin.publish(t, map[string][]byte{"m": data}))
		digest := release.DigestOf(data)
		secret := testToken(t).Secret()
		never := newAgent(t, "a", "r", withOrigin(origin))
		once := newAgent(t, "b", "r", func(c *Config) { withOrigin(origin)(c); c.RegionLinks = swarm.RegionLinksOnce })
		fetchAll(t, set, never)
		fetchAll(t, set, once)
		is.Equal(chunkStatus(t, never, digest, "r", secret), http.StatusOK)
		is.Equal(chunkStatus(t, never, digest, "r", "wrong"), http.StatusUnauthorized)
		is.Equal(chunkStatus(t, never, digest, "other", secret), http.StatusForbidden)
		is.Equal(chunkStatus(t, once, digest, "other", secret), http.StatusOK)
		is.Equal(chunkStatus(t, once, digest, "other", secret), http.StatusForbidden)
		is.Equal(chunkStatus(t, once, digest, "third", secret), http.StatusOK)
		is.Equal(chunkStatus(t, once, release.DigestOf(nil), "r", secret), http.StatusNotFound)
	})
}

// Guards against transfers that ignore DownloadRate or SetPressure.
func TestRateLimits(t *testing.T) {
	for name, limit := range map[string]func(*Config){
		"download": func(c *Config) { c.DownloadRate = 8 * chunkSize },
		"pressure": func(c *Config) { c.MinimumRate = 8 * chunkSize },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origin := newFakeOrigin(t)
				set := modelSet(origin.publish(t, map[string][]byte{"m": randomBytes(1, 2*chunkSize)}))
				a := newAgent(t, "slow", "r", func(c *Config) { withOrigin(origin)(c); limit(c) })
				if name == "pressure" {
					a.client.received[swarm.KindOrigin].Add(1)
					time.Sleep(300 * time.Millisecond)
					a.SetPressure(1)
				}
				started := time.Now()
				fetchAll(t, set, a)
				is.New(t).True(time.Since(started) > 200*time.Millisecond)
			})
		})
	}
}

// Guards against memory use that exceeds the limit of the agent for large weights.
// It uses the largest valid manifest: 64 Ki chunks, which describe 256 GiB.
func TestMemoryIsBounded(t *testing.T) {
	const agentLimit = 64 << 20
	is := is.New(t)
	base := heapBytes()
	file := manifest.File{Name: "m", Size: manifest.MaxChunks * chunkSize}
	for i := range manifest.MaxChunks {
		digest := release.DigestOf([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
		file.Chunks = append(file.Chunks, manifest.Chunk{Digest: digest, Size: chunkSize})
	}
	v := newVersion(cache{}, "sha256:x", manifest.Manifest{Files: []manifest.File{file}})
	file = manifest.File{}
	var nodes []swarm.Node
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		nodes = append(nodes, swarm.Node{ID: id, Region: "r"})
	}
	s := swarm.New(0, swarm.Config{Self: nodes[0]}, v.chunkKeys(), swarm.NewPenalties())
	s.SetNodes(0, nodes)
	for i := range v.chunks {
		v.markHeld(i)
	}
	used := heapBytes() - base
	buffers := uint64(copyBufferBytes * (maxUploads + 16))
	t.Logf("version and scheduler state %d KiB, copy buffers %d KiB", used>>10, buffers>>10)
	// The garbage collector lets the heap grow to twice the live data.
	is.True(2*used+buffers < agentLimit)
	runtime.KeepAlive(s)
	runtime.KeepAlive(v)
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against buffering whole chunks or files in memory during a transfer.
func TestTransferBuffersNoWholeChunk(t *testing.T) {
	is := is.New(t)
	origin := newSocketOrigin(t)
	set := modelSet(origin.publish(t, map[string][]byte{"m": randomBytes(1, 32*chunkSize)}))
	a := newAgent(t, "a", "r", func(c *Config) {
		c.OriginURL, c.DownloadRate, c.Swarm.UpstreamFetches = origin.URL, 64*chunkSize, 8
		// Over sockets, a busy machine can be slow without a fault.
		c.ReadTimeout = 10 * time.Second
	})
	base := heapBytes()
	var peak atomic.Uint64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 4 {
			time.Sleep(100 * time.Millisecond)
			if h := heapBytes(); h > base {
				peak.Store(max(peak.Load(), h-base))
			}
		}
	}()
	fetchAll(t, set, a)
	<-done
	t.Logf("live heap grew by %d KiB while 128 MiB were copied", peak.Load()>>10)
	is.True(peak.Load() < 2*chunkSize)
}
