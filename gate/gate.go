package gate

import (
	"cmp"
	"slices"
	"time"
)

// Config configures a Gate.
type Config struct {
	// Capacity is the maximum number of running attempts. Default 1.
	Capacity int
	// MaxRecords is the maximum number of finished, refused and fenced attempts
	// that are kept. Default 8192, about 2 MB. With fewer, more lookups return
	// Unknown.
	MaxRecords int
	// MaxEntries is the maximum number of entry instances that are kept. Default
	// 1024. Beyond it, a new entry is refused until another one has been idle for
	// EntryRetention.
	MaxEntries int
	// EntryRetention is the minimum time that an idle entry is kept. Default
	// 24 h. An attempt that is delayed for longer could run again.
	EntryRetention time.Duration
	// DrainDelay is how long new work is still accepted after Drain, while the
	// news reaches the entries. Default 2 s, below the documented limit of 3 s.
	DrainDelay time.Duration
	// ExclusiveWait is how long new work is refused while an attempt that must
	// run exclusively waits for running ones to finish. Default 3 s. A longer wait
	// costs capacity; a shorter one refuses suspects on busy endpoints.
	ExclusiveWait time.Duration
}

const (
	defaultRecords        = 8192
	defaultEntries        = 1024
	defaultEntryRetention = 24 * time.Hour
	defaultDrainNotice    = 2 * time.Second
	defaultExclusiveWait  = 3 * time.Second
)

// Gate is the admission control of one endpoint. It records every attempt that
// it starts, refuses or fences.
type Gate struct {
	cfg       Config
	entries   map[string]*entry
	records   map[ID]*record
	finalized []ID // attempts in a final state, oldest first
	running   int
	// exclusive is the attempt that runs exclusively or waits to.
	exclusive      *ID
	exclusiveUntil time.Time // end of its wait

	draining   bool
	drainStart time.Time
}

// entry is the state of the newest process start of an entry instance. Attempts
// of earlier starts and those with a counter up to droppedUpTo never start.
type entry struct {
	start, droppedUpTo uint64
	lastUsed           time.Time
}

type record struct {
	state        State
	fingerprint  string
	alone        bool
	provedNotRun bool // refused or fenced, and no earlier process start can have run it
}

// New returns a gate with no records.
func New(cfg Config) *Gate {
	cfg.Capacity = cmp.Or(cfg.Capacity, 1)
	cfg.MaxRecords = cmp.Or(cfg.MaxRecords, defaultRecords)
	cfg.MaxEntries = cmp.Or(cfg.MaxEntries, defaultEntries)
	cfg.EntryRetention = cmp.Or(cfg.EntryRetention, defaultEntryRetention)
	cfg.DrainDelay = cmp.Or(cfg.DrainDelay, defaultDrainNotice)
	cfg.ExclusiveWait = cmp.Or(cfg.ExclusiveWait, defaultExclusiveWait)
	return &Gate{cfg: cfg, entries: map[string]*entry{}, records: map[ID]*record{}}
}

// Begin decides whether an attempt starts now. After the verdict Start it counts
// as running until Finish or CancelStart is called. If ProvesNotRun is set in a refusal,
// the attempt has not run and never will.
func (g *Gate) Begin(r Request, c Conditions, now time.Time) Decision {
	if d, ok := g.checkID(r.ID, now); !ok {
		return d
	}
	if reason := g.admit(r, c, now); reason != "" {
		return g.refuse(r.ID, reason)
	}
	if r.Exclusive && g.running > 0 {
		return g.awaitExclusive(r.ID, now)
	}
	g.records[r.ID] = &record{state: Running, fingerprint: r.Fingerprint, alone: r.Exclusive}
	g.running++
	if r.Exclusive {
		g.exclusive = &r.ID
	}
	return Decision{Verdict: Start}
}

func (g *Gate) refuse(id ID, reason Reason) Decision {
	g.finalize(id, record{state: Refused, provedNotRun: true})
	return Decision{Verdict: Refuse, Reason: reason, ProvesNotRun: true}
}

// checkID refuses identifiers that may have been used before. Such a refusal
// does not prove that the earlier use has not run.
func (g *Gate) checkID(id ID, now time.Time) (Decision, bool) {
	if known, ok := g.records[id]; ok {
		if known.state == Fenced {
			return Decision{Verdict: Refuse, Reason: AttemptFenced, ProvesNotRun: known.provedNotRun}, false
		}
		return Decision{Verdict: Refuse, Reason: AlreadySeen}, false
	}
	e, ok := g.entry(id, now)
	switch {
	case !ok:
		return Decision{Verdict: Refuse, Reason: TooManyEntries}, false
	case id.Start < e.start || id.Counter <= e.droppedUpTo:
		return Decision{Verdict: Refuse, Reason: TooOld}, false
	}
	return Decision{}, true
}

// entry returns the state of the attempt's entry, creating it if needed and
// resetting it when the entry has restarted.
func (g *Gate) entry(id ID, now time.Time) (*entry, bool) {
	e, ok := g.entries[id.Entry]
	switch {
	case !ok && len(g.entries) >= g.cfg.MaxEntries && !g.dropIdleEntry(now):
		return nil, false
	case !ok:
		e = &entry{start: id.Start}
		g.entries[id.Entry] = e
	case id.Start > e.start:
		e.start, e.droppedUpTo = id.Start, 0
	}
	e.lastUsed = now
	return e, true
}

func (g *Gate) dropIdleEntry(now time.Time) bool {
	for name, e := range g.entries {
		if now.Sub(e.lastUsed) >= g.cfg.EntryRetention {
			delete(g.entries, name)
			return true
		}
	}
	return false
}

func (g *Gate) admit(r Request, c Conditions, now time.Time) Reason {
	switch {
	case g.refusesNewWork(now):
		return Draining
	case c.Refusal != "":
		return c.Refusal
	case !c.NoSets && (r.Set == "" || !slices.Contains(c.Sets, r.Set)):
		return SetNotLoaded
	case g.heldExclusively(r.ID, now):
		return ExclusiveRunning
	case g.running >= g.cfg.Capacity && !r.Exclusive:
		return AtCapacity
	}
	return ""
}

// heldExclusively reports whether another attempt runs exclusively or waits to.
func (g *Gate) heldExclusively(id ID, now time.Time) bool {
	if g.exclusive == nil || *g.exclusive == id {
		return false
	}
	if _, started := g.records[*g.exclusive]; !started && !now.Before(g.exclusiveUntil) {
		g.exclusive = nil // the waiting attempt was not retried in time
		return false
	}
	return true
}

func (g *Gate) awaitExclusive(id ID, now time.Time) Decision {
	if g.exclusive == nil {
		g.exclusive, g.exclusiveUntil = &id, now.Add(g.cfg.ExclusiveWait)
	}
	if !now.Before(g.exclusiveUntil) {
		return g.refuse(id, ExclusiveBusy)
	}
	return Decision{Verdict: Wait}
}

// Finish records the end of a running attempt: Done when the complete answer was
// forwarded, Failed otherwise.
func (g *Gate) Finish(id ID, complete bool) {
	known, ok := g.records[id]
	if !ok || known.state != Running {
		return
	}
	g.running--
	state := Failed
	if complete {
		state = Done
	}
	g.finalize(id, record{state: state})
}

// CancelStart cancels the start of an attempt of which nothing was sent to the
// endpoint. The attempt is recorded as refused and never starts.
func (g *Gate) CancelStart(id ID) {
	if known, ok := g.records[id]; ok && known.state == Running {
		g.running--
		g.finalize(id, record{state: Refused, provedNotRun: true})
	}
}

// Fence prevents an attempt that has not started from ever starting, and returns
// its state. Fenced proves that the attempt has not run, provided that it was
// sent to this process start of the gate; sameStart states that the caller knows
// this. If it is false, an attempt that has not started is fenced as well but
// reported as Unknown, because an earlier process may have run it.
func (g *Gate) Fence(id ID, sameStart bool, now time.Time) State {
	known, seen := g.records[id]
	if !seen {
		if _, ok := g.checkID(id, now); !ok {
			return Unknown // cannot start any more, but may have run
		}
		g.finalize(id, record{state: Fenced, provedNotRun: sameStart})
		known = g.records[id]
	}
	known.provedNotRun = known.provedNotRun || known.state == Fenced && sameStart
	if known.state == Fenced && !known.provedNotRun {
		return Unknown
	}
	return known.state
}

// CancelWait refuses an attempt whose caller has stopped waiting after the verdict
// Wait.
func (g *Gate) CancelWait(id ID) {
	if _, ok := g.records[id]; !ok {
		g.finalize(id, record{state: Refused, provedNotRun: true})
	}
}

// finalize records the final state of an attempt and drops the oldest records
// beyond the limit.
func (g *Gate) finalize(id ID, final record) {
	g.records[id] = &final
	g.finalized = append(g.finalized, id)
	if g.exclusive != nil && *g.exclusive == id {
		g.exclusive = nil
	}
	for len(g.finalized) > g.cfg.MaxRecords {
		oldest := g.finalized[0]
		g.finalized = g.finalized[1:]
		delete(g.records, oldest)
		if e, ok := g.entries[oldest.Entry]; ok && e.start == oldest.Start {
			e.droppedUpTo = max(e.droppedUpTo, oldest.Counter)
		}
	}
}

// Lookup returns the state of an attempt, or Unknown without a record.
func (g *Gate) Lookup(id ID) State {
	if known, ok := g.records[id]; ok {
		return known.state
	}
	return Unknown
}

// Attempts returns the running attempts.
func (g *Gate) Attempts() []Attempt {
	var attempts []Attempt
	for id, r := range g.records {
		if r.state == Running {
			attempts = append(attempts, Attempt{ID: id, Fingerprint: r.fingerprint, Exclusive: r.alone})
		}
	}
	return attempts
}

// InFlight returns the number of running attempts.
func (g *Gate) InFlight() int { return g.running }

// Capacity returns the maximum number of running attempts.
func (g *Gate) Capacity() int { return g.cfg.Capacity }

// Drain starts draining. New work is refused once Config.DrainDelay has passed;
// running attempts continue.
func (g *Gate) Drain(now time.Time) {
	if !g.draining {
		g.draining, g.drainStart = true, now
	}
}

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool { return g.draining }

// Drained reports whether draining has completed: new work is refused and no
// attempt is running.
func (g *Gate) Drained(now time.Time) bool {
	return g.refusesNewWork(now) && g.running == 0
}

func (g *Gate) refusesNewWork(now time.Time) bool {
	return g.draining && now.Sub(g.drainStart) >= g.cfg.DrainDelay
}
