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
	At          time.Time
	// Others lists the other parts of the requests with the part that the endpoint ran.
	Others []PartID
}

// CrashReport reports that an endpoint crashed while it ran a request that had not been
// proven sound: the request, or another one that began at the same moment, is the cause.
type CrashReport struct {
	Endpoint    string
	Incarnation uint64
	At          time.Time
	Parts       []PartID
}

// PartRecord holds the crashes of requests with one part since the last sound one.
type PartRecord struct {
	Part        PartID
	Quarantined bool    // set by Records
	Crashes     []Crash // oldest first
	// Until is when the suspicion or quarantine expires.
	Until time.Time
}

// PartConfig configures a PartList. Zero fields get their defaults.
type PartConfig struct {
	// Duration is how long a suspicion or quarantine lasts after the latest crash.
	// Default 1 h. After it, a quarantined part may crash one more endpoint before it is
	// quarantined again.
	Duration time.Duration
	// MaxCrashes is the number of endpoints that requests with a part may crash before the
	// part is quarantined. Default 3: a request that is sent again after the crash of its
	// endpoint may meet a second, unrelated crash.
	MaxCrashes int
	// MaxRecords limits the records. Beyond it, those with the fewest and oldest crashes
	// are dropped. Default 1024, about 0.5 MB.
	MaxRecords int
	// MaxSound limits the parts whose latest sound request is remembered. Default 8192,
	// about 0.5 MB.
	MaxSound int
}

// Defaults of PartConfig.
const (
	DefaultMaxPartCrashes = 3
	DefaultMaxRecords     = 1024
	DefaultMaxSound       = 8192
)

// soundMemory is how long a sound request protects its parts from being suspects. Parts
// that many requests share are in the prompts of most crashes.
const soundMemory = 5 * time.Second

// PartVerdict states whether and how a request may run.
type PartVerdict struct {
	// Quarantined is true if the request has a quarantined part, which is Part.
	Quarantined bool
	Part        PartID
	Until       time.Time
	// Suspects lists the parts of the request that may crash endpoints. No two requests
	// with the same suspect should begin at the same time.
	Suspects []PartID
}

// PartList finds the parts of requests that crash every endpoint that runs them, among
// parts that sound requests have as well. A crash makes all parts of the requests that
// may have caused it suspect. A request that runs soundly afterwards clears its parts. A
// part that is in the requests of several crashes, with no sound request since the
// first of them, is quarantined.
//
// If several parts are in the requests of the same crashes, for example because a caller
// always sends them together, a request is refused only if it has all of them. A request
// with some of them runs as a suspect, and its end tells which part it is.
//
// Every entry keeps a list and exchanges reports of crashes and sound requests with the
// others. Reports may be lost, repeated and reordered. A PartList does not read the clock
// and is not safe for concurrent use.
type PartList struct {
	cfg     PartConfig
	records map[PartID]PartRecord
	sound   map[PartID]time.Time // when the latest sound request began
}

// NewPartList returns an empty list.
func NewPartList(cfg PartConfig) *PartList {
	cfg.Duration = cmp.Or(cfg.Duration, DefaultDuration)
	cfg.MaxCrashes = cmp.Or(cfg.MaxCrashes, DefaultMaxPartCrashes)
	cfg.MaxRecords = cmp.Or(cfg.MaxRecords, DefaultMaxRecords)
	cfg.MaxSound = cmp.Or(cfg.MaxSound, DefaultMaxSound)
	return &PartList{cfg: cfg, records: map[PartID]PartRecord{}, sound: map[PartID]time.Time{}}
}

// RecordCrash records a crash and returns the parts that are quarantined because of it.
func (l *PartList) RecordCrash(r CrashReport, now time.Time) (quarantined []PartID) {
	for _, part := range r.Parts {
		others := slices.DeleteFunc(slices.Clone(r.Parts), func(p PartID) bool { return p == part })
		c := Crash{Endpoint: r.Endpoint, Incarnation: r.Incarnation, At: r.At, Others: others}
		if l.Merge(PartRecord{Part: part, Crashes: []Crash{c}}, now) {
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}

// Merge adds the crashes of a record from another list. It reports whether the part is
// quarantined because of them.
func (l *PartList) Merge(r PartRecord, now time.Time) (quarantined bool) {
	record := l.current(r.Part, now)
	before := l.full(record)
	for _, c := range r.Crashes {
		if !c.At.After(l.sound[r.Part]) {
			continue // a request with the part has run soundly since
		}
		record.add(c, l.cfg.MaxCrashes)
		record.Until = later(record.Until, c.At.Add(l.cfg.Duration))
	}
	if len(record.Crashes) == 0 || !now.Before(record.Until) {
		return false
	}
	l.records[r.Part] = record
	l.limitRecords()
	return !before && l.full(record)
}

// add adds a crash, or what another request of a known crash says about it. Of more than
// limit crashes, it keeps the latest.
func (r *PartRecord) add(c Crash, limit int) {
	crashes := slices.Clone(r.Crashes)
	same := func(o Crash) bool { return o.Endpoint == c.Endpoint && o.Incarnation == c.Incarnation }
	if i := slices.IndexFunc(crashes, same); i >= 0 {
		c.Others = union(crashes[i].Others, c.Others)
		if crashes[i].At.Before(c.At) {
			c.At = crashes[i].At
		}
		crashes[i] = c
	} else {
		crashes = append(crashes, c)
	}
	slices.SortStableFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	r.Crashes = crashes[max(0, len(crashes)-limit):]
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

// full reports whether requests with the part of a record have crashed as many endpoints
// as they may.
func (l *PartList) full(r PartRecord) bool { return len(r.Crashes) >= l.cfg.MaxCrashes }

// current returns the record of a part, or a new one. An expired quarantine becomes a
// suspicion that a single crash turns into a quarantine again.
func (l *PartList) current(part PartID, now time.Time) PartRecord {
	r, ok := l.records[part]
	if !ok || now.Before(r.Until) {
		r.Part = part
		return r
	}
	if !l.full(r) {
		return PartRecord{Part: part}
	}
	r.Crashes = r.Crashes[1:]
	r.Until = r.Until.Add(l.cfg.Duration)
	if !now.Before(r.Until) {
		return PartRecord{Part: part}
	}
	return r
}

// RecordSound records that a request with the given parts began at a time and did not
// crash its endpoint, which refutes all earlier crashes. It returns the parts whose
// records changed.
func (l *PartList) RecordSound(parts []PartID, began time.Time) (changed []PartID) {
	for _, part := range parts {
		l.sound[part] = later(l.sound[part], began)
		r, ok := l.records[part]
		if !ok || !r.Crashes[0].At.Before(began) {
			continue
		}
		changed = append(changed, part)
		r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), func(c Crash) bool { return c.At.Before(began) })
		l.records[part] = r
		if len(r.Crashes) == 0 {
			delete(l.records, part)
		}
	}
	for part := range l.sound { // any others, the order of a map is random
		if len(l.sound) <= l.cfg.MaxSound {
			break
		}
		if !slices.Contains(parts, part) {
			delete(l.sound, part)
		}
	}
	return changed
}

// Check returns whether and how a request with the given parts may run now.
func (l *PartList) Check(parts []PartID, now time.Time) PartVerdict {
	if len(l.records) == 0 {
		return PartVerdict{}
	}
	var v PartVerdict
	for _, part := range parts {
		if _, ok := l.records[part]; !ok {
			continue
		}
		r := l.current(part, now)
		if len(r.Crashes) == 0 {
			continue
		}
		if l.full(r) && !slices.ContainsFunc(l.companions(r, now), func(p PartID) bool { return !slices.Contains(parts, p) }) {
			return PartVerdict{Quarantined: true, Part: part, Until: r.Until}
		}
		if now.Sub(l.sound[part]) > soundMemory {
			v.Suspects = append(v.Suspects, part)
		}
	}
	return v
}

// companions returns the other parts that are in the requests of all crashes of a record
// and could have caused all of them.
func (l *PartList) companions(r PartRecord, now time.Time) []PartID {
	return slices.DeleteFunc(slices.Clone(r.Crashes[0].Others), func(part PartID) bool {
		if !l.full(l.current(part, now)) {
			return true
		}
		return slices.ContainsFunc(r.Crashes[1:], func(c Crash) bool { return !slices.Contains(c.Others, part) })
	})
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
			r.Quarantined = l.full(r)
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b PartRecord) int { return a.compare(b) })
	return list
}

// compare orders records by the number of their crashes and the time of the latest one,
// descending.
func (r PartRecord) compare(o PartRecord) int {
	return cmp.Or(
		cmp.Compare(len(o.Crashes), len(r.Crashes)),
		o.Crashes[len(o.Crashes)-1].At.Compare(r.Crashes[len(r.Crashes)-1].At),
		cmp.Compare(r.Part, o.Part),
	)
}

// Expire drops expired records.
func (l *PartList) Expire(now time.Time) {
	maps.DeleteFunc(l.records, func(part PartID, _ PartRecord) bool { return len(l.current(part, now).Crashes) == 0 })
}

func (l *PartList) limitRecords() {
	if len(l.records) <= l.cfg.MaxRecords {
		return
	}
	list := slices.SortedFunc(maps.Values(l.records), func(a, b PartRecord) int { return a.compare(b) })
	for _, r := range list[l.cfg.MaxRecords:] {
		delete(l.records, r.Part)
	}
}
