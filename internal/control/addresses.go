package control

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

const (
	// entryAddressTTL is how long callers may cache the addresses of entries. A
	// longer time costs callers more failed connections after the loss of an
	// entry; a shorter one causes more requests to the replicas.
	entryAddressTTL = time.Second
	// minDecodeInterval is the minimum time between two decodings of the routing
	// document. One with 1,500 routes takes about 25 ms of CPU time, of which a
	// replica has 120 ms per second; entries use a new document as late.
	minDecodeInterval = 500 * time.Millisecond
)

// Addresses returns the addresses of the entries that a caller of a host may
// connect to and how long the caller may cache them. If requests for the host are
// bound to regions, the entries are in the region of the caller, or in a region
// that all these requests allow, while there is a ready one. Entries that are
// draining are named while there is no other.
func (d *Daemon) Addresses(host, zone, region string) ([]string, time.Duration) {
	entries := d.fleet.Entries()
	names, bound := d.hostRegions.allowed(host, d.fleet.view().Routing, time.Now())
	if bound {
		if region == "" {
			region = d.settings.Zones[zone]
		}
		inside := slices.DeleteFunc(slices.Clone(entries), func(p wire.Process) bool {
			r := d.regionOf(p)
			return r == "" || r != region && !slices.Contains(names, r)
		})
		if list := readyAddresses(inside); len(list) > 0 {
			return list, entryAddressTTL
		}
	}
	return readyAddresses(entries), entryAddressTTL
}

// regionOf returns the region of an entry, or "" if it is not known.
func (d *Daemon) regionOf(p wire.Process) string {
	if region, ok := d.settings.Zones[p.Zone]; ok {
		return region
	}
	return p.Region
}

// readyAddresses returns the addresses of the ready entries, and while all of them
// are draining, those of the draining ones.
func readyAddresses(entries []wire.Process) []string {
	var ready, stopping []string
	for _, p := range entries {
		switch {
		case !p.Ready:
		case p.Draining:
			stopping = append(stopping, p.Address)
		default:
			ready = append(ready, p.Address)
		}
	}
	if len(ready) == 0 {
		return stopping
	}
	return ready
}

// hostRegions holds the regions of the hosts in the routing document. A document is
// decoded once, when the first caller asks after it was accepted; meanwhile others
// get answers by the one before.
type hostRegions struct {
	log log.Interface
	// decode decodes the source of a document. If it is nil, no host is bound.
	decode func(source []byte) (*routing.Document, error)

	mu        sync.Mutex // held while a document is decoded
	decodedAt time.Time
	current   atomic.Pointer[decodedRegions]
}

type decodedRegions struct {
	version uint64
	hosts   *routing.HostRegions
}

// allowed returns the regions that all requests for a host allow, see
// routing.HostRegions.
func (h *hostRegions) allowed(host string, document ledger.SetRouting, now time.Time) (names []string, bound bool) {
	if h == nil || h.decode == nil || document.Version == 0 {
		return nil, false
	}
	current := h.current.Load()
	if current == nil {
		h.mu.Lock() // without any document, callers would be directed elsewhere
		current = h.update(document, now)
		h.mu.Unlock()
	} else if current.version != document.Version && h.mu.TryLock() {
		current = h.update(document, now)
		h.mu.Unlock()
	}
	return current.hosts.Allowed(host)
}

// update decodes a document, unless that was done or another one was decoded a
// moment ago. The caller holds mu.
func (h *hostRegions) update(document ledger.SetRouting, now time.Time) *decodedRegions {
	current := h.current.Load()
	if current != nil && (current.version >= document.Version || now.Sub(h.decodedAt) < minDecodeInterval) {
		return current
	}
	h.decodedAt = now
	next := &decodedRegions{version: document.Version}
	source, err := routing.Decompress(document.Document)
	var decoded *routing.Document
	if err == nil {
		decoded, err = h.decode(source)
	}
	switch {
	case err == nil:
		next.hosts = routing.NewHostRegions(decoded)
	case current != nil:
		next.hosts = current.hosts
	default:
		next.hosts = routing.NewHostRegions(&routing.Document{})
	}
	if err != nil { // it was decoded before it was accepted, by a replica of another version
		h.log.WithError(err).WithField("version", document.Version).Error("routing_not_decoded")
	}
	h.current.Store(next)
	return next
}
