package fleetclient

import (
	"cmp"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// recordWeights records a named version. A restarted replica reports a shorter age than
// the others, so the earliest time is kept. The caller holds mu.
func (c *Client) recordWeights(w wire.NamedWeights, since time.Time, replica string) {
	held := c.weights[w.Model]
	at, known := slices.BinarySearchFunc(held, w.Version, func(h NamedVersion, v uint64) int { return cmp.Compare(h.Version, v) })
	fields := log.Fields{"model": w.Model, "version": w.Version, "age_ms": w.AgeMs, "replica": replica}
	if known {
		if earlier := held[at].Since.Sub(since); earlier > 0 {
			held[at].Since = since
			if earlier >= minLoggedCorrection {
				c.cfg.Log.WithFields(fields).WithField("earlier_ms", earlier.Milliseconds()).Info("weights_age_corrected")
			}
		}
		return
	}
	if at == len(held) {
		held = append(held[max(0, at-maxNamedVersions):], NamedVersion{w.Version, since})
		c.weights[w.Model] = held
		c.cfg.Log.WithFields(fields).WithField("oldest", held[0].Version).Info("weights_learned")
	}
}

// minLoggedCorrection is the smallest correction of an age that is logged. Messages of different
// replicas differ by less.
const minLoggedCorrection = 100 * time.Millisecond

// maxNamedVersions limits the earlier named versions that are kept per model.
const maxNamedVersions = 8

// NewestWeights returns the newest named version of a model's weights, or zero if none
// has been named.
func (c *Client) NewestWeights(model string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.weights[model]
	if len(held) == 0 {
		return 0
	}
	return held[len(held)-1].Version
}

// NamedWeights returns the named versions of a model that are kept, oldest first.
func (c *Client) NamedWeights(model string) []NamedVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.weights[model])
}

// RequiredWeights returns the newest version that was named at least age ago, or zero if
// there is none.
func (c *Client) RequiredWeights(model string, age time.Duration) uint64 {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var required uint64
	for _, w := range c.weights[model] {
		if now.Sub(w.Since) >= age {
			required = w.Version
		}
	}
	return required
}

// SupersededAt returns when the first version newer than the given one was named for a
// model, or the zero time if there is none.
func (c *Client) SupersededAt(model string, version uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.weights[model] {
		if w.Version > version {
			return w.Since
		}
	}
	return time.Time{}
}
