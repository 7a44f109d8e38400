package fleetclient

import (
	"slices"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// evacuations is the set of evacuated zones with the highest revision that any replica sent.
type evacuations struct {
	// known is true once a replica with a leader has sent a set. A replica without one may
	// have restarted, and may not have applied the newest orders yet.
	known    bool
	revision uint64
	zones    []string
}

// recordEvacuations records the set of a message, unless the held one is newer. The caller
// holds mu.
func (c *Client) recordEvacuations(m wire.Fleet, replica string) {
	known := c.evacuations.known || !m.Leaderless
	newer := m.EvacuationRevision > c.evacuations.revision
	if newer {
		c.evacuations.revision = m.EvacuationRevision
		c.evacuations.zones = slices.Sorted(slices.Values(m.Evacuated))
	}
	if newer || known != c.evacuations.known {
		c.cfg.Log.WithFields(log.Fields{
			"zones": c.evacuations.zones, "revision": c.evacuations.revision, "replica": replica, "known": known,
		}).Info("evacuations_learned")
	}
	c.evacuations.known = known
}

// Evacuated returns the evacuated zones, sorted.
func (c *Client) Evacuated() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.evacuations.zones)
}

// EvacuationsKnown reports whether a replica with a leader has sent the set of evacuated zones
// since this process started.
func (c *Client) EvacuationsKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuations.known
}

// IsEvacuated reports whether the endpoints of a zone must get no requests: it is evacuated, or
// it is not known yet whether it is.
func (c *Client) IsEvacuated(zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.evacuations.known || slices.Contains(c.evacuations.zones, zone)
}
