package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// PartID identifies something that requests have in common: a part of their prompts, or
// the whole request if it is sent again.
type PartID uint64

// NewPartID returns the ID of the part of the given kind with the given content. It is
// taken from a SHA-256 digest, so that no caller can construct a part with the ID of
// another.
func NewPartID(kind string, content ...[]byte) PartID {
	h := sha256.New()
	h.Write([]byte(kind))
	var length [8]byte
	for _, c := range content {
		binary.BigEndian.PutUint64(length[:], uint64(len(c)))
		h.Write(length[:])
		h.Write(c)
	}
	return PartID(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Crash is the crash of an endpoint while it ran a request with a suspected part.
type Crash struct {
	Endpoint    string
	Incarnation uint64
	// Source identifies who sent the request, for example its organisation.
	Source string
	// PlacedAt is when the request was sent to the endpoint, and At when the crash was
	// observed.
	PlacedAt, At time.Time
	// Parts lists all parts of the requests with the part that the endpoint ran, sorted.
	Parts []PartID
}

// CrashReport reports that an endpoint crashed while it ran a request that had not been
// proven sound: the request, or another one that began at the same moment, is the cause.
type CrashReport struct {
	Endpoint     string
	Incarnation  uint64
	Source       string
	PlacedAt, At time.Time
	Parts        []PartID
}

// PartRecord holds the crashes of requests with one part since the last sound one.
type PartRecord struct {
	Part    PartID
	Crashes []Crash // oldest first
	// Renewals counts the quarantines after which a new crash was observed.
	Renewals int
	// Quarantined and Until are set by Records: whether the part is quarantined or only
	// suspect, and when that expires.
	Quarantined bool
	Until       time.Time
}

// PartConfig configures a PartList. Zero fields get their defaults.
type PartConfig struct {
	// Duration is how long the first quarantine of a part lasts after the latest crash.
	// After it, requests with the part may crash one more endpoint, and the next
	// quarantine lasts twice as long. A longer time costs fewer endpoints, but refuses
	// the requests of a wrongly quarantined part for longer. Default 10 min.
	Duration time.Duration
	// MaxDuration limits the duration of a quarantine. Default 6 h.
	MaxDuration time.Duration
	// SuspicionDuration is how long a single crash makes the parts of its requests
	// suspect. Default 2 min; Duration applies from the second one on.
	SuspicionDuration time.Duration
	// MaxCrashes is the number of independent crashes after which a part is quarantined:
	// each request was sent after the crash before. Endpoints that fail together, for
	// example because they lose power, count as one. Default 3: a request that is sent
	// again after the crash of its endpoint may meet a second, unrelated crash.
	MaxCrashes int
	// MaxRecords limits the records. Beyond it, those with the fewest and oldest crashes
	// are dropped. Default 1024.
	MaxRecords int
	// MaxSound limits the parts whose latest sound request is remembered. Default 16384,
	// about 1 MB.
	MaxSound int
}

// Defaults of PartConfig.
const (
	DefaultPartDuration      = 10 * time.Minute
	DefaultMaxPartDuration   = 6 * time.Hour
	DefaultSuspicionDuration = 2 * time.Minute
	DefaultMaxPartCrashes    = 3
	DefaultMaxRecords        = 1024
	DefaultMaxSound          = 16384
)

const (
	// soundMemory is how long a sound request protects its parts from being suspects.
	// Parts that many requests share are in the prompts of most crashes.
	soundMemory = 5 * time.Second
	// maxKeptCrashes limits the crashes in a record. Endpoints that crash together count
	// as one, so there may be more than MaxCrashes.
	maxKeptCrashes = 12
	// recordsKept is the share of MaxRecords that is kept when there are more.
	recordsKept = 0.9
)

// PartVerdict states whether and how a request may run.
type PartVerdict struct {
	// Quarantined is true if the request has a quarantined part, which is Part.
	Quarantined bool
	Part        PartID
	Until       time.Time
	// Suspects lists the parts of the request that may crash endpoints. No two requests
	// with the same suspect should begin at the same time.
	Suspects []PartID
	// Repeated is true if a suspect was in several independent crashes. After a single one,
	// nearly all suspects are sound.
	Repeated bool
}

// PartList finds the parts of requests that crash every endpoint that runs them, among
// parts that sound requests have as well. A crash makes all parts of the requests that
// may have caused it suspect. A request that runs soundly afterwards clears its parts. A
// part that is in the requests of several independent crashes, with no sound request
// since the first of them, is quarantined.
//
// If several parts are in the requests of the same crashes, for example because a caller
// always sends them together, a request is refused only if it has all of them. A request
// with some of them runs as a suspect, and its end tells which part it is. If all crashes
// come from one source, only requests of that source are refused: nobody can get the
// requests of others refused by sending their parts in a request that crashes endpoints
// for another reason.
//
// Every entry keeps a list and exchanges reports of crashes and sound requests with the
// others. Reports may be lost, repeated and reordered. A PartList does not read the clock
// and is not safe for concurrent use.
type PartList struct {
	cfg     PartConfig
	records map[PartID]PartRecord
	cuts    uint64 // how often records were dropped because there were too many
	// sound and olderSound hold when the latest sound request began, by part. olderSound
	// is dropped when sound is full or its parts are no longer protected.
	sound, olderSound map[PartID]time.Time
	soundSince        time.Time // when sound was last emptied
	// refuted holds when the latest sound request began, for parts that had a record, so
	// that an entry that has missed it cannot bring the record back.
	refuted map[PartID]time.Time
}

// NewPartList returns an empty list.
func NewPartList(cfg PartConfig) *PartList {
	cfg.Duration = cmp.Or(cfg.Duration, DefaultPartDuration)
	cfg.MaxDuration = cmp.Or(cfg.MaxDuration, DefaultMaxPartDuration)
	cfg.SuspicionDuration = cmp.Or(cfg.SuspicionDuration, DefaultSuspicionDuration)
	cfg.MaxCrashes = cmp.Or(cfg.MaxCrashes, DefaultMaxPartCrashes)
	cfg.MaxRecords = cmp.Or(cfg.MaxRecords, DefaultMaxRecords)
	cfg.MaxSound = cmp.Or(cfg.MaxSound, DefaultMaxSound)
	return &PartList{
		cfg: cfg, records: map[PartID]PartRecord{}, sound: map[PartID]time.Time{}, olderSound: map[PartID]time.Time{},
		refuted: map[PartID]time.Time{},
	}
}

// RecordCrash records a crash and returns the parts that are quarantined because of it.
func (l *PartList) RecordCrash(r CrashReport, now time.Time) (quarantined []PartID) {
	parts := union(r.Parts, nil)
	for _, part := range parts {
		c := Crash{Endpoint: r.Endpoint, Incarnation: r.Incarnation, Source: r.Source, PlacedAt: r.PlacedAt, At: r.At, Parts: parts}
		if changed, _ := l.Merge(PartRecord{Part: part, Crashes: []Crash{c}}, now); changed {
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}

// Merge adds the crashes of a record from another list. It reports whether the part is
// quarantined because of them. If a sound request has refuted some of them, it returns
// when that began, otherwise the zero time; the other list has missed that request.
func (l *PartList) Merge(r PartRecord, now time.Time) (quarantined bool, refutedAt time.Time) {
	record := l.current(r.Part, now)
	before := l.quarantined(record, now)
	soundAt := l.soundAt(r.Part)
	accepted := false
	for _, c := range r.Crashes {
		if !c.At.After(soundAt) {
			refutedAt = soundAt
			continue
		}
		if l.full(record) && !c.At.Before(l.quarantinedUntil(record)) {
			record.Renewals++
		}
		record.add(c)
		accepted = true
	}
	if !accepted {
		return false, refutedAt
	}
	record.Renewals = max(record.Renewals, r.Renewals)
	if l.expired(record, now) {
		return false, refutedAt
	}
	l.records[r.Part] = record
	l.limitRecords()
	return !before && l.quarantined(record, now), refutedAt
}

// add adds a crash, or what another request of a known crash says about it.
func (r *PartRecord) add(c Crash) {
	crashes := slices.Clone(r.Crashes)
	same := func(o Crash) bool { return o.Endpoint == c.Endpoint && o.Incarnation == c.Incarnation }
	if i := slices.IndexFunc(crashes, same); i >= 0 {
		known := crashes[i]
		if !slices.Equal(known.Parts, c.Parts) {
			c.Parts = union(known.Parts, c.Parts)
		}
		if known.At.Before(c.At) {
			c.PlacedAt, c.At, c.Source = known.PlacedAt, known.At, known.Source
		}
		crashes[i] = c
	} else {
		crashes = append(crashes, c)
	}
	slices.SortStableFunc(crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	if len(crashes) > maxKeptCrashes {
		crashes = dropDependent(crashes)
	}
	r.Crashes = crashes
}

// dropDependent drops the latest crash that is not independent of those before it, or the
// oldest crash if all are.
func dropDependent(crashes []Crash) []Crash {
	drop := 0
	var last time.Time
	for i, c := range crashes {
		if i > 0 && c.PlacedAt.Before(last) {
			drop = i
			continue
		}
		last = c.At
	}
	return slices.Delete(crashes, drop, drop+1)
}

func union(a, b []PartID) []PartID {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// independent counts the crashes whose request was sent after the crash counted before.
func independent(crashes []Crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || !c.PlacedAt.Before(last) {
			n++
			last = c.At
		}
	}
	return n
}

// full reports whether requests with the part of a record have crashed as many endpoints
// as they may.
func (l *PartList) full(r PartRecord) bool { return independent(r.Crashes) >= l.cfg.MaxCrashes }

func (l *PartList) quarantined(r PartRecord, now time.Time) bool {
	return l.full(r) && now.Before(l.quarantinedUntil(r))
}

// quarantinedUntil returns when the quarantine of a full record expires.
func (l *PartList) quarantinedUntil(r PartRecord) time.Time {
	return r.Crashes[len(r.Crashes)-1].At.Add(l.quarantineTime(r))
}

func (l *PartList) quarantineTime(r PartRecord) time.Duration {
	const maxShift = 16 // avoids an overflow
	return min(l.cfg.MaxDuration, l.cfg.Duration<<min(r.Renewals, maxShift))
}

// until returns when the suspicion of a record expires. After a quarantine, the part stays
// suspect for as long again, and a single crash quarantines it again.
func (l *PartList) until(r PartRecord) time.Time {
	last := r.Crashes[len(r.Crashes)-1].At
	switch {
	case l.full(r):
		return last.Add(2 * l.quarantineTime(r))
	case independent(r.Crashes) > 1:
		return last.Add(l.cfg.Duration)
	}
	return last.Add(l.cfg.SuspicionDuration)
}

func (l *PartList) expired(r PartRecord, now time.Time) bool {
	return len(r.Crashes) == 0 || !now.Before(l.until(r))
}

// current returns the record of a part, or a new one.
func (l *PartList) current(part PartID, now time.Time) PartRecord {
	if r, ok := l.records[part]; ok && !l.expired(r, now) {
		return r
	}
	return PartRecord{Part: part}
}

// soundAt returns when the latest remembered sound request with a part began.
func (l *PartList) soundAt(part PartID) time.Time {
	return later(l.refuted[part], later(l.sound[part], l.olderSound[part]))
}

// RecordSound records that a request with the given parts began at a time and did not
// crash its endpoint, which refutes all earlier crashes. It returns the parts whose
// records changed.
func (l *PartList) RecordSound(parts []PartID, began time.Time) (changed []PartID) {
	if len(l.sound) >= l.cfg.MaxSound/2 || began.Sub(l.soundSince) > soundMemory {
		l.sound, l.olderSound, l.soundSince = map[PartID]time.Time{}, l.sound, began
	}
	for _, part := range parts {
		l.sound[part] = later(l.sound[part], began)
		r, ok := l.records[part]
		if !ok || r.Crashes[0].At.After(began) {
			continue
		}
		changed = append(changed, part)
		l.refuted[part] = later(l.refuted[part], began)
		r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), func(c Crash) bool { return !c.At.After(began) })
		r.Renewals = 0
		l.records[part] = r
		if len(r.Crashes) == 0 {
			delete(l.records, part)
		}
	}
	return changed
}

// Check returns whether and how a request of a source with the given parts may run now.
func (l *PartList) Check(parts []PartID, source string, now time.Time) PartVerdict {
	if len(l.records) == 0 {
		return PartVerdict{}
	}
	var v PartVerdict
	sorted := union(parts, nil)
	for _, part := range parts {
		r, ok := l.records[part]
		if !ok || l.expired(r, now) {
			continue
		}
		if l.quarantined(r, now) && r.appliesTo(source) && l.hasCompanions(r, sorted, now) {
			return PartVerdict{Quarantined: true, Part: part, Until: l.quarantinedUntil(r)}
		}
		if now.Sub(l.soundAt(part)) > soundMemory {
			v.Suspects = append(v.Suspects, part)
			v.Repeated = v.Repeated || independent(r.Crashes) > 1
		}
	}
	return v
}

// hasCompanions reports whether sorted parts contain all companions of a record.
func (l *PartList) hasCompanions(r PartRecord, parts []PartID, now time.Time) bool {
	return !slices.ContainsFunc(r.CommonParts(), func(part PartID) bool {
		_, found := slices.BinarySearch(parts, part)
		return !found && l.full(l.current(part, now))
	})
}

// appliesTo reports whether the crashes of a record speak against the requests of a
// source: some of them come from it, or they come from several.
func (r PartRecord) appliesTo(source string) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Source == source || c.Source != r.Crashes[0].Source })
}

// companions returns the other parts that are in the requests of all crashes of a record
// and could have caused all of them.
func (l *PartList) companions(r PartRecord, now time.Time) []PartID {
	return slices.DeleteFunc(r.CommonParts(), func(part PartID) bool {
		return part == r.Part || !l.full(l.current(part, now))
	})
}

// CommonParts returns the parts that the requests of all crashes have in common.
func (r PartRecord) CommonParts() []PartID {
	return slices.DeleteFunc(slices.Clone(r.Crashes[0].Parts), func(part PartID) bool {
		return slices.ContainsFunc(r.Crashes[1:], func(c Crash) bool {
			_, found := slices.BinarySearch(c.Parts, part)
			return !found
		})
	})
}

// Group returns a part and those that are refused only together with it. They are to be
// cleared together, since the crashes of one speak against the others as well.
func (l *PartList) Group(part PartID, now time.Time) []PartID {
	group := []PartID{part}
	if r := l.current(part, now); len(r.Crashes) > 0 {
		group = append(group, l.companions(r, now)...)
	}
	return group
}

// Counts returns the number of quarantined parts and of those only suspect.
func (l *PartList) Counts(now time.Time) (quarantined, suspect int) {
	for _, r := range l.Records(now) {
		if r.Quarantined {
			quarantined++
		} else {
			suspect++
		}
	}
	return quarantined, suspect
}

// Records returns the records that have not expired, those with the most and then the
// latest crashes first.
func (l *PartList) Records(now time.Time) []PartRecord {
	var list []PartRecord
	for part := range l.records {
		if r := l.current(part, now); len(r.Crashes) > 0 {
			r.Quarantined, r.Until = l.quarantined(r, now), l.until(r)
			if r.Quarantined {
				r.Until = l.quarantinedUntil(r)
			}
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b PartRecord) int { return a.compare(b) })
	return list
}

// compare orders records by the number of their crashes and the time of the latest one,
// descending.
func (r PartRecord) compare(o PartRecord) int {
	return cmp.Or(r.compareCrashes(o), cmp.Compare(r.Part, o.Part))
}

func (r PartRecord) compareCrashes(o PartRecord) int {
	return cmp.Or(
		cmp.Compare(independent(o.Crashes), independent(r.Crashes)),
		o.Crashes[len(o.Crashes)-1].At.Compare(r.Crashes[len(r.Crashes)-1].At),
	)
}

// Expire drops expired records, and refutations that no record can contradict any more.
func (l *PartList) Expire(now time.Time) {
	maps.DeleteFunc(l.records, func(_ PartID, r PartRecord) bool { return l.expired(r, now) })
	maps.DeleteFunc(l.refuted, func(_ PartID, at time.Time) bool { return now.Sub(at) > 2*l.cfg.MaxDuration })
	for part := range l.refuted {
		if len(l.refuted) <= l.cfg.MaxSound {
			break
		}
		delete(l.refuted, part)
	}
}

func (l *PartList) limitRecords() {
	if len(l.records) <= l.cfg.MaxRecords {
		return
	}
	// Among equals, others are dropped each time: the parts of one crash are equals, and a part that
	// was dropped after every crash would never be quarantined.
	l.cuts++
	order := l.cuts * 0x9e3779b97f4a7c15
	list := slices.SortedFunc(maps.Values(l.records), func(a, b PartRecord) int {
		return cmp.Or(a.compareCrashes(b), cmp.Compare(uint64(a.Part)^order, uint64(b.Part)^order))
	})
	for _, r := range list[int(recordsKept*float64(l.cfg.MaxRecords)):] {
		delete(l.records, r.Part)
	}
}
