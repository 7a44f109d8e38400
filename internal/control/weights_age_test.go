package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against requests that begin on superseded weights after the bound, because the message that named the next version was held back.
func TestAgeOfWeightsIncludesDelayOfMessage(t *testing.T) {
	for _, fault := range []string{"partition", "pause"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := startFiveReplicas(t)
				is.NoErr(c.daemons["v1"].NameWeights(t.Context(), "m", 2))
				client, stop := c.startFollower("entry", wire.RoleEntry, "v1", "v2", "v3")
				defer stop()
				c.eventually("first version known", func() bool { return client.NewestWeights("m") == 2 })
				time.Sleep(10 * time.Second)
				if fault == "partition" {
					c.net.SetIsolated("entry", c.names, true)
				} else {
					c.net.Freeze("entry")
				}
				is.NoErr(c.daemons["v1"].NameWeights(t.Context(), "m", 3))
				named := time.Now()
				time.Sleep(1800 * time.Millisecond) // the sessions stay open
				c.net.SetIsolated("entry", c.names, false)
				c.net.Thaw("entry")
				c.eventually("second version known", func() bool { return client.NewestWeights("m") == 3 })
				time.Sleep(time.Second)
				if late := client.SupersededAt("m", 2).Sub(named); late > 50*time.Millisecond {
					t.Fatalf("version 2 counts as superseded %v after it was", late)
				}
			})
		})
	}
}
