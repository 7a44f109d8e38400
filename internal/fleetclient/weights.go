package fleetclient

import (
	"cmp"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// recordWeights records a named version and reports whether it was not known before. A restarted
// replica reports a shorter age than the others, so the earliest time is kept. The caller holds mu.
func (c *Client) recordWeights(w wire.NamedWeights, since time.Time, replica string) bool {
	held := c.weights[w.Model]
	at, known := slices.BinarySearchFunc(held, w.Version, func(h NamedVersion, v uint64) int { return cmp.Compare(h.Version, v) })
	fields := log.Fields{"model": w.Model, "version": w.Version, "age_ms": w.AgeMs, "replica": replica}
	if known {
		correction := held[at].Since.Sub(since)
		held[at].Since = earlier(held[at].Since, since)
		if correction >= minLoggedCorrection {
			c.cfg.Log.WithFields(fields).WithField("earlier_ms", correction.Milliseconds()).Info("weights_age_corrected")
		}
		return false
	}
	now := time.Now()
	if at < len(held) && len(held) == wire.MaxNamedWeights || at == 0 && len(held) > 0 && now.Sub(held[0].Since) >= wire.WeightsRetention {
		held[at].Since = earlier(held[at].Since, since) // the version was dropped, or would be
		return false
	}
	held = forgetSuperseded(slices.Insert(held, at, NamedVersion{w.Version, since}), now)
	c.weights[w.Model] = held
	c.cfg.Log.WithFields(fields).WithField("oldest", held[0].Version).Info("weights_learned")
	return true
}

// forgetSuperseded drops the oldest of a list of versions once the next one has been named for
// wire.WeightsRetention, and others if there are too many. The next one is then known since the
// dropped one was named, which is when the weights before it were superseded.
func forgetSuperseded(list []NamedVersion, now time.Time) []NamedVersion {
	for len(list) > 1 {
		drop := 0
		switch {
		case now.Sub(list[1].Since) >= wire.WeightsRetention:
		case len(list) > wire.MaxNamedWeights:
			drop = wire.WeightsToDrop(len(list), func(i int) time.Duration { return list[i].Since.Sub(now) })
		default:
			return list
		}
		list[drop+1].Since = earlier(list[drop].Since, list[drop+1].Since)
		list = slices.Delete(list, drop, drop+1)
	}
	return list
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// minLoggedCorrection is the smallest correction of an age that is logged. Messages of different
// replicas differ by less.
const minLoggedCorrection = 100 * time.Millisecond

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
	for _, w := range slices.Backward(c.weights[model]) {
		if now.Sub(w.Since) >= age {
			return w.Version
		}
	}
	return 0
}

// SupersededAt returns when the first version newer than the given one was named for a
// model, or the zero time if there is none.
func (c *Client) SupersededAt(model string, version uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return SupersededAt(c.weights[model], version)
}

// SupersededAt returns when the first version newer than the given one was named, of a list of
// versions with the oldest first, or the zero time if there is none.
func SupersededAt(named []NamedVersion, version uint64) time.Time {
	var first time.Time
	for _, w := range slices.Backward(named) {
		if w.Version <= version {
			break
		}
		// Replicas measure ages on their own, so a newer version may seem to be older.
		if first.IsZero() || w.Since.Before(first) {
			first = w.Since
		}
	}
	return first
}
