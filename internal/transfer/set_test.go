package transfer

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/release"
)

// publishSet publishes a model and the given number of adapters, each of two
// chunks.
func publishSet(t *testing.T, o *fakeOrigin, adapters int) release.WeightsSet {
	t.Helper()
	set := modelSet(o.publish(t, map[string][]byte{"m/1": randomBytes(1, 2*chunkSize)}))
	for i := range adapters {
		name := fmt.Sprintf("a%d", i)
		digest := o.publish(t, map[string][]byte{name + "/1": randomBytes(uint64(i)+2, 2*chunkSize)})
		set.Adapters = append(set.Adapters, release.Adapter{Name: name, Base: "m", Version: "1", Manifest: digest})
	}
	return set
}

// Guards against adapters that are fetched only after the model: each request for
// a model chunk blocks here until a chunk of an adapter was requested.
func TestAdaptersAreFetchedConcurrentlyWithModel(t *testing.T) {
	is := is.New(t)
	origin := newFakeOrigin(t)
	set := publishSet(t, origin, 2)
	adapterAsked := make(chan struct{}, 16)
	origin.setIntercept(func(_ http.ResponseWriter, r *http.Request) bool {
		if strings.Contains(r.URL.Path, "/m/") {
			select {
			case <-adapterAsked:
			case <-r.Context().Done():
			}
			return false
		}
		adapterAsked <- struct{}{}
		return false
	})
	a := newAgent(t, "a", "r", func(c *Config) {
		withOrigin(origin)(c)
		c.ReadTimeout = 20 * time.Second
	})
	dir := fetchAll(t, set, a)[0]
	checkFile(t, dir, "m/1", randomBytes(1, 2*chunkSize))
	checkFile(t, dir, "a1/1", randomBytes(3, 2*chunkSize))
	p := a.Progress()[0]
	is.Equal(p.ChunksHave, 6)
	is.Equal(p.ChunksTotal, 6)
	is.Equal(p.OriginBytes, int64(6*chunkSize))
}

// Guards against more concurrent fetches for a set with many adapters than
// MaxChunkFetches allows, which would cost live traffic bandwidth and memory.
func TestFetchesOfSetAreBounded(t *testing.T) {
	is := is.New(t)
	origin := newFakeOrigin(t)
	set := publishSet(t, origin, 8)
	var running, most atomic.Int32
	origin.setIntercept(func(http.ResponseWriter, *http.Request) bool {
		n := running.Add(1)
		defer running.Add(-1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
		time.Sleep(20 * time.Millisecond)
		return false
	})
	a := newAgent(t, "a", "r", func(c *Config) {
		withOrigin(origin)(c)
		c.MaxManifestFetches, c.MaxChunkFetches = 9, 2
		c.Swarm.UpstreamFetches = 4
	})
	fetchAll(t, set, a)
	is.True(most.Load() <= 2)
	is.True(most.Load() >= 1)
}

// Guards against a set whose transfer continues or is reported complete although
// one of its manifests is invalid: the failure must end the other fetches.
func TestFailedAdapterEndsSet(t *testing.T) {
	is := is.New(t)
	origin := newFakeOrigin(t)
	set := publishSet(t, origin, 1)
	set.Adapters[0].Manifest = origin.publish(t, map[string][]byte{"a0/1.safetensors": randomBytes(9, chunkSize)})
	origin.setIntercept(func(_ http.ResponseWriter, r *http.Request) bool {
		if strings.Contains(r.URL.Path, "/m/") {
			<-r.Context().Done()
			return true
		}
		return false
	})
	a := newAgent(t, "a", "r", func(c *Config) {
		withOrigin(origin)(c)
		c.ReadTimeout = 20 * time.Second
	})
	_, err := a.Fetch(t.Context(), set)
	is.True(err != nil)
	is.Equal(a.Progress()[0].Phase, PhaseFailed)
}
