package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultPeriod    = time.Hour
	DefaultMaxLosses = 2
)

// Config configures a List. Zero fields get their defaults.
type Config struct {
	// Period is the length of a quarantine decided here, until control sends
	// its own. Default 1 h. Longer protects endpoints from slow resends and
	// blocks a request that was suspected wrongly for longer.
	Period time.Duration
	// MaxLosses is the number of endpoints that one request may cost. Default 2.
	MaxLosses int
}

// Record is what is known of one fingerprint.
type Record struct {
	Fingerprint string
	// Quarantined is false for a suspect.
	Quarantined bool
	// Until is the end of the suspicion or quarantine.
	Until time.Time
	// Crashed lists the endpoints lost to it.
	Crashed []string
	// Broken lists endpoints whose answer broke off without a confirmed crash.
	// They are avoided and do not count as lost.
	Broken []string
}

// Verdict says how a request may be run.
type Verdict struct {
	Quarantined bool
	Until       time.Time
	// Alone is true for a suspect: one at a time, with no neighbour, and not
	// on the endpoints in Avoid.
	Alone bool
	Avoid []string
}

// List holds suspects and quarantined fingerprints.
type List struct {
	cfg     Config
	control map[string]Record
	own     map[string]Record
	running map[string]bool // suspects in progress
}

// New returns an empty list.
func New(cfg Config) *List {
	cfg.Period = cmp.Or(cfg.Period, DefaultPeriod)
	cfg.MaxLosses = cmp.Or(cfg.MaxLosses, DefaultMaxLosses)
	return &List{cfg: cfg, control: map[string]Record{}, own: map[string]Record{}, running: map[string]bool{}}
}

// SetControl replaces what control has decided. Records of one fingerprint
// from several sources are merged.
func (l *List) SetControl(records []Record) {
	l.control = make(map[string]Record, len(records))
	for _, r := range records {
		l.control[r.Fingerprint] = l.control[r.Fingerprint].merge(r)
	}
}

// merge keeps the stricter of two records: the endpoints lost count together,
// and the later end applies.
func (r Record) merge(other Record) Record {
	merged := Record{
		Fingerprint: other.Fingerprint, Quarantined: r.Quarantined || other.Quarantined,
		Until: r.Until, Crashed: slices.Clone(r.Crashed), Broken: slices.Concat(r.Broken, other.Broken),
	}
	if other.Until.After(merged.Until) {
		merged.Until = other.Until
	}
	for _, endpoint := range other.Crashed {
		if !slices.Contains(merged.Crashed, endpoint) {
			merged.Crashed = append(merged.Crashed, endpoint)
		}
	}
	return merged
}

// Check returns how a request may be run now.
func (l *List) Check(fingerprint string, now time.Time) Verdict {
	record, ok := l.lookup(fingerprint, now)
	if !ok {
		return Verdict{}
	}
	if record.Quarantined {
		return Verdict{Quarantined: true, Until: record.Until}
	}
	return Verdict{Alone: true, Avoid: slices.Concat(record.Crashed, record.Broken), Until: record.Until}
}

// Crashed returns the endpoints lost to a request.
func (l *List) Crashed(fingerprint string, now time.Time) []string {
	record, _ := l.lookup(fingerprint, now)
	return slices.Clone(record.Crashed)
}

// lookup merges what control and this entry know.
func (l *List) lookup(fingerprint string, now time.Time) (merged Record, found bool) {
	for _, source := range []map[string]Record{l.control, l.own} {
		if r, ok := source[fingerprint]; ok && now.Before(r.Until) {
			merged, found = merged.merge(r), true
		}
	}
	merged.Quarantined = merged.Quarantined || len(merged.Crashed) >= l.cfg.MaxLosses
	return merged, found
}

// Lost records that an endpoint crashed while it ran the request, and returns
// the verdict that now applies.
func (l *List) Lost(fingerprint, endpoint string, now time.Time) Verdict {
	r := l.renew(fingerprint, now)
	if !slices.Contains(r.Crashed, endpoint) {
		r.Crashed = append(slices.Clone(r.Crashed), endpoint)
	}
	l.own[fingerprint] = r
	return l.Check(fingerprint, now)
}

// Broke records that an endpoint's answer broke off, which may have been a
// crash, and returns the verdict that now applies. The request is a suspect;
// only confirmed crashes quarantine it.
func (l *List) Broke(fingerprint, endpoint string, now time.Time) Verdict {
	r := l.renew(fingerprint, now)
	if !slices.Contains(r.Broken, endpoint) {
		r.Broken = append(slices.Clone(r.Broken), endpoint)
	}
	l.own[fingerprint] = r
	return l.Check(fingerprint, now)
}

// renew returns this entry's record, extended from now on.
func (l *List) renew(fingerprint string, now time.Time) Record {
	r := l.own[fingerprint]
	if !now.Before(r.Until) {
		r = Record{Fingerprint: fingerprint}
	}
	r.Until = now.Add(l.cfg.Period)
	return r
}

// Begin reserves the single run of a suspect. It returns false while another
// copy runs.
func (l *List) Begin(fingerprint string) bool {
	if l.running[fingerprint] {
		return false
	}
	l.running[fingerprint] = true
	return true
}

// End gives the reservation of Begin back. cleared is true when the request
// finished while running alone.
func (l *List) End(fingerprint string, cleared bool) {
	delete(l.running, fingerprint)
	if cleared {
		delete(l.own, fingerprint)
		delete(l.control, fingerprint)
	}
}

// Expire forgets own records past their end.
func (l *List) Expire(now time.Time) {
	for fingerprint, r := range l.own {
		if !now.Before(r.Until) {
			delete(l.own, fingerprint)
		}
	}
}
