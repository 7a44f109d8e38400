package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultDuration   = time.Hour
	DefaultMaxCrashes = 2
)

// Config configures a List. Zero fields get their defaults.
type Config struct {
	// Duration is how long a suspicion or quarantine decided by this entry lasts,
	// unless control sends its own. Default 1 h. A longer time protects endpoints
	// from slow resends, but also blocks wrongly suspected requests for longer.
	Duration time.Duration
	// MaxCrashes is the number of endpoints that a request may crash before it is
	// quarantined. Default 2.
	MaxCrashes int
}

// Record holds the crash history of a fingerprint.
type Record struct {
	Fingerprint string
	// Quarantined tells a quarantined fingerprint from a mere suspect.
	Quarantined bool
	// Until is when the suspicion or quarantine expires.
	Until time.Time
	// CrashedEndpoints lists the endpoints that crashed while running the request.
	CrashedEndpoints []string
	// InterruptedEndpoints lists endpoints whose answer was cut short without a confirmed
	// crash. They are avoided but do not count towards the quarantine.
	InterruptedEndpoints []string
}

// Verdict states whether and how a request may run.
type Verdict struct {
	Quarantined bool
	Until       time.Time
	// Exclusive is true for a suspect: one copy at a time, on an endpoint that runs
	// nothing else meanwhile and is not listed in Avoid.
	Exclusive bool
	Avoid     []string
}

// List holds the suspected and quarantined fingerprints known to an entry.
type List struct {
	cfg     Config
	control map[string]Record
	local   map[string]Record // observed by this entry
	running map[string]bool   // suspects in progress
}

// New returns an empty list.
func New(cfg Config) *List {
	cfg.Duration = cmp.Or(cfg.Duration, DefaultDuration)
	cfg.MaxCrashes = cmp.Or(cfg.MaxCrashes, DefaultMaxCrashes)
	return &List{cfg: cfg, control: map[string]Record{}, local: map[string]Record{}, running: map[string]bool{}}
}

// SetControlRecords replaces the records received from control. Records that several
// replicas hold for one fingerprint are merged.
func (l *List) SetControlRecords(records []Record) {
	l.control = make(map[string]Record, len(records))
	for _, r := range records {
		l.control[r.Fingerprint] = l.control[r.Fingerprint].merge(r)
	}
}

// merge combines two records into the stricter result: the union of the crashed
// endpoints and the later expiry.
func (r Record) merge(other Record) Record {
	merged := Record{
		Fingerprint: other.Fingerprint, Quarantined: r.Quarantined || other.Quarantined,
		Until: r.Until, CrashedEndpoints: slices.Clone(r.CrashedEndpoints), InterruptedEndpoints: slices.Concat(r.InterruptedEndpoints, other.InterruptedEndpoints),
	}
	if other.Until.After(merged.Until) {
		merged.Until = other.Until
	}
	for _, endpoint := range other.CrashedEndpoints {
		if !slices.Contains(merged.CrashedEndpoints, endpoint) {
			merged.CrashedEndpoints = append(merged.CrashedEndpoints, endpoint)
		}
	}
	return merged
}

// Check returns whether and how a request may run now.
func (l *List) Check(fingerprint string, now time.Time) Verdict {
	record, ok := l.lookup(fingerprint, now)
	if !ok {
		return Verdict{}
	}
	if record.Quarantined {
		return Verdict{Quarantined: true, Until: record.Until}
	}
	return Verdict{Exclusive: true, Avoid: slices.Concat(record.CrashedEndpoints, record.InterruptedEndpoints), Until: record.Until}
}

// CrashedEndpoints returns the endpoints that crashed while running a request.
func (l *List) CrashedEndpoints(fingerprint string, now time.Time) []string {
	record, _ := l.lookup(fingerprint, now)
	return slices.Clone(record.CrashedEndpoints)
}

// lookup merges the unexpired records of control and of this entry.
func (l *List) lookup(fingerprint string, now time.Time) (merged Record, found bool) {
	for _, source := range []map[string]Record{l.control, l.local} {
		if r, ok := source[fingerprint]; ok && now.Before(r.Until) {
			merged, found = merged.merge(r), true
		}
	}
	merged.Quarantined = merged.Quarantined || len(merged.CrashedEndpoints) >= l.cfg.MaxCrashes
	return merged, found
}

// RecordCrash records that an endpoint crashed while running the request and returns
// the resulting verdict.
func (l *List) RecordCrash(fingerprint, endpoint string, now time.Time) Verdict {
	r := l.renew(fingerprint, now)
	if !slices.Contains(r.CrashedEndpoints, endpoint) {
		r.CrashedEndpoints = append(slices.Clone(r.CrashedEndpoints), endpoint)
	}
	l.local[fingerprint] = r
	return l.Check(fingerprint, now)
}

// RecordInterruption records that an endpoint's answer was cut short, possibly by a crash,
// and returns the resulting verdict. The request becomes a suspect; only
// confirmed crashes quarantine it.
func (l *List) RecordInterruption(fingerprint, endpoint string, now time.Time) Verdict {
	r := l.renew(fingerprint, now)
	if !slices.Contains(r.InterruptedEndpoints, endpoint) {
		r.InterruptedEndpoints = append(slices.Clone(r.InterruptedEndpoints), endpoint)
	}
	l.local[fingerprint] = r
	return l.Check(fingerprint, now)
}

// renew returns this entry's record, or a new one, with its expiry extended.
func (l *List) renew(fingerprint string, now time.Time) Record {
	r := l.local[fingerprint]
	if !now.Before(r.Until) {
		r = Record{Fingerprint: fingerprint}
	}
	r.Until = now.Add(l.cfg.Duration)
	return r
}

// TryAcquire reserves the exclusive run of a suspect. It returns false while another
// copy of the request runs.
func (l *List) TryAcquire(fingerprint string) bool {
	if l.running[fingerprint] {
		return false
	}
	l.running[fingerprint] = true
	return true
}

// Release releases the reservation made by TryAcquire. If cleared is true, because the
// request completed an exclusive run, its records are deleted.
func (l *List) Release(fingerprint string, cleared bool) {
	delete(l.running, fingerprint)
	if cleared {
		delete(l.local, fingerprint)
		delete(l.control, fingerprint)
	}
}

// Expire deletes this entry's expired records.
func (l *List) Expire(now time.Time) {
	for fingerprint, r := range l.local {
		if !now.Before(r.Until) {
			delete(l.local, fingerprint)
		}
	}
}
