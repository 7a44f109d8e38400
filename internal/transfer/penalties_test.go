package transfer

import (
	"net/http"
	"os"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests, after a restart, to a peer that had sent corrupt chunks,
// and against a damaged penalties file that keeps the agent from starting or from
// using its peers.
func TestCorruptPeerIsAvoidedAfterRestart(t *testing.T) {
	for name, damage := range map[string]bool{"file intact": false, "file damaged": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			origin := newFakeOrigin(t)
			first := modelSet(origin.publish(t, map[string][]byte{"m/1": randomBytes(1, 6*chunkSize)}))
			data := randomBytes(2, 6*chunkSize)
			second := modelSet(origin.publish(t, map[string][]byte{"m/2": data}))
			holder := newAgent(t, "holder", "r", withOrigin(origin))
			fetchAll(t, first, holder)
			fetchAll(t, second, holder)
			var asked atomic.Int32
			holder.interceptChunks(t, func(w http.ResponseWriter, _ *http.Request) {
				asked.Add(1)
				_, _ = w.Write(randomBytes(9, chunkSize))
			})
			victim := newAgent(t, "victim", "r", withOrigin(origin))
			connect(holder, victim)
			fetchAll(t, first, victim)
			is.True(asked.Load() >= 1)

			if damage {
				is.NoErr(os.WriteFile(victim.cache.penaltiesPath(), []byte("damaged"), fileMode))
			}
			restarted := newAgent(t, "victim", "r", func(c *Config) {
				withOrigin(origin)(c)
				c.CacheDir = victim.cfg.CacheDir
			})
			connect(holder, restarted)
			asked.Store(0)
			checkFile(t, fetchAll(t, second, restarted)[0], "m/2", data)
			is.Equal(asked.Load() > 0, damage)
			is.NoErr(restarted.Prune(nil))
			_, err := os.Stat(restarted.cache.penaltiesPath())
			is.NoErr(err) // Prune must keep the penalties
		})
	}
}
