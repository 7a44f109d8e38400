package entry

import (
	"sync"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// directory holds the catalogue and the endpoint table that control replicas
// send. Of several replicas' reports on an endpoint the newest wins.
type directory struct {
	mu        sync.Mutex
	known     bool // a catalogue has arrived
	catalogue release.Catalogue
	replicas  map[string]*replicaView
}

type replicaView struct {
	epoch, version uint64
	members        map[string]wire.Announce
	lost           bool
}

func newDirectory() *directory {
	return &directory{catalogue: release.NewCatalogue(), replicas: map[string]*replicaView{}}
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
	if c.Delta == nil || c.Base != d.catalogue.Revision {
		return c.Delta == nil
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
func (d *directory) applyMembers(replica string, m wire.Members) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := d.replicas[replica]
	if m.Base == 0 {
		view = &replicaView{members: map[string]wire.Announce{}}
		d.replicas[replica] = view
	} else if view == nil || view.epoch != m.Epoch || view.version != m.Base {
		return false
	}
	view.epoch, view.version, view.lost = m.Epoch, m.Version, false
	for _, a := range m.Updated {
		view.members[a.Endpoint] = a
	}
	for _, name := range m.Removed {
		delete(view.members, name)
	}
	return true
}

// replicaLost marks a replica's reports as old. They count only while no
// replica is connected, so that losing control does not empty the table.
func (d *directory) replicaLost(replica string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if view := d.replicas[replica]; view != nil {
		view.lost = true
	}
}

// endpoints returns the newest report on each endpoint that has not left.
func (d *directory) endpoints() map[string]wire.Announce {
	d.mu.Lock()
	defer d.mu.Unlock()
	anyConnected := false
	for _, view := range d.replicas {
		anyConnected = anyConnected || !view.lost
	}
	merged := map[string]wire.Announce{}
	for _, view := range d.replicas {
		if view.lost && anyConnected {
			continue
		}
		for name, a := range view.members {
			if old, ok := merged[name]; !ok || newer(a, old) {
				merged[name] = a
			}
		}
	}
	for name, a := range merged {
		if a.Gone {
			delete(merged, name)
		}
	}
	return merged
}

func newer(a, b wire.Announce) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}
