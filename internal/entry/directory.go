package entry

import (
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/membership"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// directory holds the catalogue and the endpoint table that control replicas
// send.
type directory struct {
	mu        sync.Mutex
	known     bool // a catalogue has arrived
	catalogue release.Catalogue
	view      *membership.View[wire.Announce]
	connected map[string]bool // by replica, once it has sent its table
}

func newDirectory() *directory {
	return &directory{
		catalogue: release.NewCatalogue(),
		view:      membership.NewView[wire.Announce](membership.ViewConfig{}),
		connected: map[string]bool{},
	}
}

// revision returns the catalogue revision held.
func (d *directory) revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.catalogue.Revision
}

// current returns the catalogue; ok is false before the first one.
func (d *directory) current() (release.Catalogue, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.catalogue, d.known
}

// applyCatalogue takes in an update. It returns false when a delta does not
// fit, so that the full state must be asked for. An older revision is ignored:
// replicas may lag behind each other.
func (d *directory) applyCatalogue(c wire.Catalogue) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Full != nil {
		if !d.known || c.Full.Revision >= d.catalogue.Revision {
			d.catalogue, d.known = c.Full.Clone(), true
		}
		return true
	}
	if d.known && c.Revision <= d.catalogue.Revision {
		return true
	}
	if !d.known || c.Delta == nil || c.Base != d.catalogue.Revision {
		return false
	}
	next := applyDelta(d.catalogue, *c.Delta)
	if next.Digest() != c.Digest {
		return false
	}
	d.catalogue, d.known = next, true
	return true
}

func applyDelta(c release.Catalogue, delta release.Delta) release.Catalogue {
	next := c.Clone()
	next.Revision = delta.To
	for _, name := range delta.RemoveModels {
		delete(next.Models, name)
	}
	for _, name := range delta.RemoveAdapters {
		delete(next.Adapters, name)
	}
	for _, m := range delta.Models {
		next.Models[m.Name] = m
	}
	for _, a := range delta.Adapters {
		next.Adapters[a.Name] = a
	}
	return next
}

// applyMembers takes in one replica's table. It returns false when the update
// does not fit the version held.
func (d *directory) applyMembers(replica string, m wire.Members, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.view.Apply(replica, m.Update(), now) {
		return false
	}
	d.connected[replica] = true
	d.markLost(now)
	return true
}

// replicaLost records that the session to a replica ended.
func (d *directory) replicaLost(replica string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connected[replica] {
		d.connected[replica] = false
		d.markLost(now)
	}
}

// markLost lets the tables of lost replicas expire, but only while another
// replica is connected: losing all of control does not empty the table.
func (d *directory) markLost(now time.Time) {
	for _, connected := range d.connected {
		if connected {
			for replica, connected := range d.connected {
				if !connected {
					d.view.SourceLost(replica, now)
				}
			}
			return
		}
	}
}

// expire drops what lost replicas alone still list. It returns whether an
// endpoint went.
func (d *directory) expire(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.view.Expire(now)) > 0
}

// endpoints returns the newest report on each endpoint that has not left.
func (d *directory) endpoints() map[string]wire.Announce {
	d.mu.Lock()
	defer d.mu.Unlock()
	table := map[string]wire.Announce{}
	for _, r := range d.view.Live() {
		table[r.Endpoint] = r.Report
	}
	return table
}
