package transfer

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// Guards against reports of held chunks that crash the agent or name chunks that
// the version does not have.
func FuzzHave(f *testing.F) {
	for _, m := range []wire.Have{{Bitmap: []byte{0xff, 0xff}}, {Added: []uint32{0, 1 << 31}}, {Endpoint: "peer"}} {
		data, err := wire.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var have wire.Have
		if wire.Unmarshal(data, &have) != nil {
			return
		}
		v := &version{chunks: make([]chunk, 9)}
		self := swarm.Node{ID: "self", Region: "r"}
		j := newJob(&Transfer{started: time.Now()}, v, nil)
		j.scheduler = swarm.New(0, swarm.Config{Self: self}, v.chunkKeys(), swarm.NewPenalties())
		j.scheduler.SetNodes(0, []swarm.Node{self, {ID: "peer", Region: "r"}})
		j.applyReport(peerReport{peer: "peer", reset: have.Added == nil, bitmap: have.Bitmap, added: have.Added})
		j.scheduler.Next(0)
	})
}

// Guards against a damaged index file that crashes the agent or is accepted as the
// index of another set.
func FuzzIndex(f *testing.F) {
	f.Add([]byte(`{"model":{"name":"m","version":"1"},"adapters":[]}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := cache{root: t.TempDir()}
		id := release.WeightsSet{}.ID()
		if err := os.MkdirAll(filepath.Dir(c.indexPath(id)), dirMode); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(c.indexPath(id), data, fileMode); err != nil {
			t.Fatal(err)
		}
		if set, ok := c.readIndex(id); ok && set.ID() != id {
			t.Fatalf("readIndex returned set %s for identifier %s", set.ID(), id)
		}
	})
}
