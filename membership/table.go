package membership

import (
	"cmp"
	"slices"
	"time"
)

// Config configures a Table.
type Config[T any] struct {
	// Epoch tells this table from those of other processes and of earlier starts.
	// It must differ between starts.
	Epoch uint64
	// Expiry is the time without a new announcement after which an endpoint is
	// removed. Default 3 s. A shorter time removes dead endpoints sooner, but also
	// live ones that stall briefly.
	Expiry time.Duration
	// Retention is how long a removed endpoint is kept, to ignore its late
	// announcements and to send deltas to followers that are behind. Default
	// 1 min. A longer time costs memory for each endpoint that was replaced.
	Retention time.Duration
	// Significant reports whether a new record must be sent to followers. Other
	// announcements keep the endpoint alive without a new version. By default
	// every announcement is significant, which costs the most bandwidth.
	Significant func(previous, next Record[T]) bool
}

const defaultRetention = time.Minute

// Table holds the last announcement of each endpoint.
type Table[T any] struct {
	cfg     Config[T]
	version uint64
	// oldestBase is the oldest version from which a delta can be built.
	oldestBase uint64
	entries    map[string]*entry[T]
}

type entry[T any] struct {
	record   Record[T]
	lastSeen time.Time
	version  uint64 // of the last significant change
	removed  bool   // expired or stopped
}

// New returns an empty table.
func New[T any](cfg Config[T]) *Table[T] {
	cfg.Expiry = cmp.Or(cfg.Expiry, DefaultExpiry)
	cfg.Retention = cmp.Or(cfg.Retention, defaultRetention)
	return &Table[T]{cfg: cfg, entries: map[string]*entry[T]{}}
}

// Apply processes an announcement and reports whether it was new. A late or
// duplicate one is ignored and does not keep the endpoint alive.
func (t *Table[T]) Apply(r Record[T], now time.Time) bool {
	e, known := t.entries[r.Endpoint]
	if known && !r.position().after(e.record.position()) {
		return false
	}
	if !known {
		e = &entry[T]{removed: true}
		t.entries[r.Endpoint] = e
	}
	changed := t.changed(e, r)
	e.record, e.lastSeen, e.removed = r, now, r.Gone
	if changed {
		t.version++
		e.version = t.version
	}
	return true
}

// UpdateReport changes the report of a live endpoint between two announcements, when
// newer information arrives another way. It reports whether the change is
// significant.
func (t *Table[T]) UpdateReport(endpoint string, change func(T) T) bool {
	e, ok := t.entries[endpoint]
	if !ok || e.removed {
		return false
	}
	next := e.record
	next.Report = change(next.Report)
	changed := t.changed(e, next)
	e.record = next
	if changed {
		t.version++
		e.version = t.version
	}
	return changed
}

func (t *Table[T]) changed(e *entry[T], next Record[T]) bool {
	previous := e.record
	// An endpoint that expired and then stops is removed before and after, but only a stop
	// tells followers that it will not return.
	if e.removed != next.Gone || previous.Gone != next.Gone || previous.Incarnation != next.Incarnation || previous.Draining != next.Draining {
		return true
	}
	return t.cfg.Significant == nil || t.cfg.Significant(previous, next)
}

// Expire removes the endpoints whose last announcement is older than the expiry
// time and returns their names in order. It also drops removed endpoints whose
// retention has passed.
func (t *Table[T]) Expire(now time.Time) []string {
	var expired []string
	for name, e := range t.entries {
		silent := now.Sub(e.lastSeen)
		switch {
		case e.removed && silent >= t.cfg.Expiry+t.cfg.Retention:
			t.oldestBase = max(t.oldestBase, e.version)
			delete(t.entries, name)
		case !e.removed && silent >= t.cfg.Expiry:
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		t.version++
		t.entries[name].removed = true
		t.entries[name].version = t.version
	}
	return expired
}

// Get returns the last announcement of a live endpoint.
func (t *Table[T]) Get(endpoint string) (Record[T], bool) {
	e, ok := t.entries[endpoint]
	if !ok || e.removed {
		return Record[T]{}, false
	}
	return e.record, true
}

// ChangedAt returns the version of the last significant change of an endpoint, also of one that
// was removed and is still retained, or zero for an unknown endpoint.
func (t *Table[T]) ChangedAt(endpoint string) uint64 {
	if e, ok := t.entries[endpoint]; ok {
		return e.version
	}
	return 0
}

// LastSeen returns when the last announcement of a live endpoint arrived.
func (t *Table[T]) LastSeen(endpoint string) (time.Time, bool) {
	e, ok := t.entries[endpoint]
	if !ok || e.removed {
		return time.Time{}, false
	}
	return e.lastSeen, true
}

// Live returns the records of the live endpoints, including draining ones, in
// order of name.
func (t *Table[T]) Live() []Record[T] {
	var live []Record[T]
	for _, e := range t.entries {
		if !e.removed {
			live = append(live, e.record)
		}
	}
	sortRecords(live)
	return live
}

// All returns, in order of name, the records of the live endpoints and of those
// that stopped and are still retained, which have Gone set.
func (t *Table[T]) All() []Record[T] {
	var all []Record[T]
	for _, e := range t.entries {
		if !e.removed || e.record.Gone {
			all = append(all, e.record)
		}
	}
	sortRecords(all)
	return all
}

// Replace sets the content of the table to the given records, some of which may
// have Gone set. It is meant for a table that mirrors other tables, and on which
// Expire is not called.
func (t *Table[T]) Replace(records []Record[T], now time.Time) {
	kept := map[string]bool{}
	for _, r := range records {
		kept[r.Endpoint] = true
		e, known := t.entries[r.Endpoint]
		if !known {
			e = &entry[T]{removed: true}
			t.entries[r.Endpoint] = e
		}
		changed := t.changed(e, r)
		e.record, e.lastSeen, e.removed = r, now, r.Gone
		if changed {
			t.version++
			e.version = t.version
		}
	}
	for name, e := range t.entries {
		switch {
		case kept[name] || e.removed && now.Sub(e.lastSeen) < t.cfg.Retention:
		case e.removed:
			t.oldestBase = max(t.oldestBase, e.version)
			delete(t.entries, name)
		default:
			t.version++
			e.removed, e.lastSeen, e.version = true, now, t.version
		}
	}
}

// Version returns the version of the last significant change.
func (t *Table[T]) Version() uint64 { return t.version }

// Since returns the delta since the given version of the given epoch, or the
// full table if no delta can be built. The full table includes the endpoints that
// stopped recently: a follower that was away must learn that they stopped, since one
// that is only missing may not have announced itself to this process yet.
func (t *Table[T]) Since(epoch, version uint64) Update[T] {
	u := Update[T]{Epoch: t.cfg.Epoch, Version: t.version}
	if epoch != t.cfg.Epoch || version == 0 || version < t.oldestBase || version > t.version {
		u.Updated = t.All()
		return u
	}
	u.Base = version
	for name, e := range t.entries {
		switch {
		case e.version <= version:
		case e.removed && !e.record.Gone:
			u.Removed = append(u.Removed, name)
		default:
			u.Updated = append(u.Updated, e.record)
		}
	}
	sortRecords(u.Updated)
	slices.Sort(u.Removed)
	return u
}

func sortRecords[T any](records []Record[T]) {
	slices.SortFunc(records, func(a, b Record[T]) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
}
