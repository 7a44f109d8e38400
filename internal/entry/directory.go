package entry

import (
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/membership"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// directory holds the catalogue and the endpoint table received from the control
// replicas.
type directory struct {
	mu        sync.Mutex
	known     bool // a catalogue has arrived
	catalogue release.Catalogue
	view      *membership.View[wire.Announce]
	connected map[string]bool // by replica; an entry is added with its first table
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

// applyCatalogue applies an update. It returns false when a delta does not apply
// to the revision held, and the full state must be requested. An older revision
// is ignored, because replicas may lag behind each other.
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

// applyMembers applies an update of one replica's table. It returns false when
// the update does not apply to the version held.
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

// markLost starts the expiry of the tables of lost replicas, but only while
// another replica is connected, so that losing all replicas does not empty the
// endpoint table.
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

// expire removes endpoints listed only by lost replicas whose expiry has passed.
// It reports whether any endpoint was removed.
func (d *directory) expire(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.view.Expire(now)) > 0
}

// endpoints returns the newest announcement of each live endpoint.
func (d *directory) endpoints() map[string]wire.Announce {
	d.mu.Lock()
	defer d.mu.Unlock()
	table := map[string]wire.Announce{}
	for _, r := range d.view.Live() {
		table[r.Endpoint] = r.Report
	}
	return table
}
