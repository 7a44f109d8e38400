package transfer

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// Guards against more than one copy per region from the origin when instances can
// share chunks, and against files that differ from the published ones.
func TestOneOriginCopyPerRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		big, small := randomBytes(1, 5*manifest.ChunkBytes+100), randomBytes(2, 10)
		digest := origin.publish(t, map[string][]byte{"m/1/big.bin": big, "m/1/small file.json": small, "m/1/empty": {}})
		var agents []*agent
		for _, place := range []string{"a1", "a2", "a3", "b1", "b2"} {
			agents = append(agents, newAgent(t, place, place[:1], withOrigin(origin)))
		}
		connect(agents...)
		for _, dir := range fetchAll(t, modelSet(digest), agents...) {
			checkFile(t, dir, "m/1/big.bin", big)
			checkFile(t, dir, "m/1/small file.json", small)
			checkFile(t, dir, "m/1/empty", nil)
		}
		is.Equal(origin.objectRequests(), 2*7) // 7 chunks, 2 regions
		for _, a := range agents {
			p := a.Progress()
			is.Equal(len(p), 1)
			is.Equal(p[0].ChunksHave, 7)
			is.Equal(p[0].Phase, PhaseVerified)
		}
	})
}

// Guards against more than one copy from the origin when chunks may cross each
// region link once.
func TestOneOriginCopyWithRegionLinksOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		origin := newFakeOrigin(t)
		digest := origin.publish(t, map[string][]byte{"m/1/big.bin": randomBytes(1, 6*manifest.ChunkBytes)})
		var agents []*agent
		for _, place := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
			agents = append(agents, newAgent(t, place, place[:1], func(c *Config) {
				withOrigin(origin)(c)
				c.RegionLinks = swarm.RegionLinksOnce
				c.Objective = swarm.ObjectiveOriginBytes
			}))
		}
		connect(agents...)
		fetchAll(t, modelSet(digest), agents...)
		is.Equal(origin.objectRequests(), 6)
	})
}
