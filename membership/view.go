package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ViewConfig configures a View.
type ViewConfig struct {
	// Expiry is how long the endpoints of a lost source are kept. Default 3 s. A
	// longer time bridges longer losses of all sources, but keeps dead endpoints
	// for longer.
	Expiry time.Duration
	// Retention is how long the last incarnation and sequence of a removed
	// endpoint are kept, so that a source that is behind does not bring it back.
	// Default 1 min.
	Retention time.Duration
}

// View merges the tables of several sources. For each endpoint it keeps the
// newest announcement received from any source. An endpoint is live while at
// least one source lists it, so a source that is partitioned from an endpoint
// does not remove it.
type View[T any] struct {
	cfg     ViewConfig
	sources map[string]*source
	entries map[string]*viewEntry[T]
}

type source struct {
	epoch, version uint64
	lost           bool
	lostAt         time.Time
}

type viewEntry[T any] struct {
	record    Record[T]
	holders   map[string]struct{}
	removedAt time.Time // set while there are no holders
}

// NewView returns an empty view.
func NewView[T any](cfg ViewConfig) *View[T] {
	cfg.Expiry = cmp.Or(cfg.Expiry, DefaultExpiry)
	cfg.Retention = cmp.Or(cfg.Retention, defaultRetention)
	return &View[T]{cfg: cfg, sources: map[string]*source{}, entries: map[string]*viewEntry[T]{}}
}

// Apply processes an update from a source. If a delta does not follow on from the
// version that the view holds of that source, Apply returns false and changes
// nothing, and the caller must request the full table.
func (v *View[T]) Apply(from string, u Update[T], now time.Time) bool {
	s, known := v.sources[from]
	if u.Base != 0 && (!known || s.epoch != u.Epoch || s.version < u.Base) {
		return false
	}
	if u.Base != 0 && u.Version <= s.version {
		return true // duplicate delta
	}
	if u.Base == 0 {
		v.releaseUnlisted(from, u.Updated, now)
	}
	v.sources[from] = &source{epoch: u.Epoch, version: u.Version}
	for _, r := range u.Updated {
		v.addHolder(from, r, now)
	}
	for _, name := range u.Removed {
		v.removeHolder(from, name, now)
	}
	return true
}

// releaseUnlisted releases the endpoints that the source's full table no longer
// lists.
func (v *View[T]) releaseUnlisted(from string, full []Record[T], now time.Time) {
	kept := map[string]bool{}
	for _, r := range full {
		kept[r.Endpoint] = true
	}
	for name := range v.entries {
		if !kept[name] {
			v.removeHolder(from, name, now)
		}
	}
}

func (v *View[T]) addHolder(from string, r Record[T], now time.Time) {
	e, known := v.entries[r.Endpoint]
	if !known {
		e = &viewEntry[T]{holders: map[string]struct{}{}}
		v.entries[r.Endpoint] = e
	}
	if r.Gone && known && e.record.position().after(r.position()) {
		v.removeHolder(from, r.Endpoint, now) // it knows an earlier incarnation only
		return
	}
	// The same announcement may arrive again with an updated report.
	if !known || !e.record.position().after(r.position()) {
		e.record = r
	}
	if e.record.Gone {
		clear(e.holders)
		e.removedAt = now
		return
	}
	e.holders[from] = struct{}{}
}

func (v *View[T]) removeHolder(from, name string, now time.Time) {
	e, ok := v.entries[name]
	if !ok {
		return
	}
	if _, held := e.holders[from]; !held {
		return
	}
	delete(e.holders, from)
	if len(e.holders) == 0 {
		e.removedAt = now
	}
}

// SourceLost records that the session to a source has ended. The endpoints that the
// source lists are kept until the expiry time has passed, or for longer if the
// source returns before that.
func (v *View[T]) SourceLost(from string, now time.Time) {
	if s, ok := v.sources[from]; ok && !s.lost {
		s.lost, s.lostAt = true, now
	}
}

// Expire drops sources that have been lost for the expiry time. It returns, in
// order, the names of the endpoints that no source lists any more.
func (v *View[T]) Expire(now time.Time) []string {
	before := v.liveNames()
	for from, s := range v.sources {
		if s.lost && now.Sub(s.lostAt) >= v.cfg.Expiry {
			v.releaseUnlisted(from, nil, now)
			delete(v.sources, from)
		}
	}
	var expired []string
	for _, name := range before {
		if len(v.entries[name].holders) == 0 {
			expired = append(expired, name)
		}
	}
	for name, e := range v.entries {
		if len(e.holders) == 0 && now.Sub(e.removedAt) >= v.cfg.Retention {
			delete(v.entries, name)
		}
	}
	return expired
}

func (v *View[T]) liveNames() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		if len(v.entries[name].holders) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Get returns the newest announcement of a live endpoint.
func (v *View[T]) Get(endpoint string) (Record[T], bool) {
	e, ok := v.entries[endpoint]
	if !ok || len(e.holders) == 0 {
		return Record[T]{}, false
	}
	return e.record, true
}

// Live returns the records of the live endpoints, including draining ones, in
// order of name.
func (v *View[T]) Live() []Record[T] {
	var live []Record[T]
	for _, name := range v.liveNames() {
		live = append(live, v.entries[name].record)
	}
	return live
}

// All returns, in order of name, the records of the live endpoints and of those
// that stopped and are still retained, which have Gone set.
func (v *View[T]) All() []Record[T] {
	var all []Record[T]
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		if e := v.entries[name]; len(e.holders) > 0 || e.record.Gone {
			all = append(all, e.record)
		}
	}
	return all
}

// SourceVersion returns the epoch and version held of a source, for requesting a
// delta. Both are zero for an unknown source.
func (v *View[T]) SourceVersion(from string) (epoch, version uint64) {
	if s, ok := v.sources[from]; ok {
		return s.epoch, s.version
	}
	return 0, 0
}
