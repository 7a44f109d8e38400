package confirm

import (
	"cmp"
	"slices"
	"time"
)

// DefaultDuration is the lease time that a confirmation grants.
const DefaultDuration = 2 * time.Second

// Config configures a Lease.
type Config struct {
	// Duration is how long a confirmation lasts, from the sending of the
	// question. Default 2 s. Longer bridges longer losses of the voters and
	// delays the moment at which an accepted note is in force everywhere.
	Duration time.Duration
	// Grace extends serving without confirmation. Default 0 s. Anything above
	// lets an instance that is cut off serve a withdrawn model for that long.
	Grace time.Duration
	// FirstMark is the first mark used. It must be above every mark of earlier
	// starts, so that answers to those are not counted.
	FirstMark uint64
}

// Reply is a voter's answer to a question.
type Reply struct {
	Mark    uint64 // of the question
	Replica string
	// Revision is the voter's committed revision.
	Revision uint64
	// Unresolved is true while the voter holds a newer note that is not known
	// to be committed. Such a voter confirms nothing.
	Unresolved bool
	// Voters is the newest voter set in the voter's log, at index VoterIndex.
	Voters     []string
	VoterIndex uint64
}

// Reason says why an instance may not serve.
type Reason string

// Reasons of a refusal by the lease.
const (
	NeverConfirmed Reason = "never-confirmed" // nothing confirmed since the start
	LeaseExpired   Reason = "lease-expired"
	Behind         Reason = "behind" // a later revision is confirmed than the one acted on
)

// Lease is the confirmation state of one instance since its start.
type Lease struct {
	cfg      Config
	nextMark uint64
	sent     map[uint64]time.Time
	answers  map[string]answer // last answer of each replica

	voters     []string
	voterIndex uint64

	revision uint64
	start    time.Time // of the lease; zero before the first confirmation
}

type answer struct {
	mark       uint64
	sent       time.Time
	revision   uint64
	unresolved bool
	voterIndex uint64
}

// New returns a lease that has not been confirmed.
func New(cfg Config) *Lease {
	cfg.Duration = cmp.Or(cfg.Duration, DefaultDuration)
	return &Lease{cfg: cfg, nextMark: cfg.FirstMark + 1, sent: map[uint64]time.Time{}, answers: map[string]answer{}}
}

// Ask returns the mark of a new round of questions. Call it before the first
// question of the round is sent: the lease counts from now.
func (l *Lease) Ask(now time.Time) uint64 {
	for mark, sent := range l.sent {
		if now.Sub(sent) >= l.cfg.Duration {
			delete(l.sent, mark) // an answer could no longer grant a lease
		}
	}
	mark := l.nextMark
	l.nextMark++
	l.sent[mark] = now
	return mark
}

// Receive counts an answer. Answers to unknown or expired questions, repeated
// ones and those overtaken by a later answer of the same replica are ignored.
func (l *Lease) Receive(r Reply) {
	sent, known := l.sent[r.Mark]
	if !known || r.Mark <= l.answers[r.Replica].mark {
		return
	}
	l.learnVoters(r)
	l.answers[r.Replica] = answer{mark: r.Mark, sent: sent, revision: r.Revision, unresolved: r.Unresolved, voterIndex: r.VoterIndex}
	l.confirm()
}

// learnVoters adopts the newest voter set and forgets answers of replicas
// outside it.
func (l *Lease) learnVoters(r Reply) {
	if r.VoterIndex <= l.voterIndex && l.voters != nil {
		return
	}
	l.voters, l.voterIndex = slices.Clone(r.Voters), r.VoterIndex
	for replica := range l.answers {
		if !slices.Contains(l.voters, replica) {
			delete(l.answers, replica)
		}
	}
}

// ReadQuorum is the number of voters that intersects every write quorum, a
// majority, of n voters.
func ReadQuorum(n int) int {
	writeQuorum := n/2 + 1
	return n - writeQuorum + 1
}

// confirm extends the lease where a read quorum agrees on a revision.
func (l *Lease) confirm() {
	if len(l.voters) == 0 {
		return
	}
	times := map[uint64][]time.Time{}
	for _, replica := range l.voters {
		// A voter that answered under an earlier voter set may lack a note that
		// was accepted under it: only answers under the newest set intersect
		// every write quorum.
		if a, ok := l.answers[replica]; ok && !a.unresolved && a.voterIndex == l.voterIndex {
			times[a.revision] = append(times[a.revision], a.sent)
		}
	}
	quorum := ReadQuorum(len(l.voters))
	for revision, sent := range times {
		if len(sent) < quorum || revision < l.revision {
			continue
		}
		slices.SortFunc(sent, time.Time.Compare)
		// The quorum with the latest questions; its oldest one counts.
		l.extend(revision, sent[len(sent)-quorum])
	}
}

func (l *Lease) extend(revision uint64, start time.Time) {
	l.revision = max(l.revision, revision)
	if start.After(l.start) {
		l.start = start
	}
}

// Revision is the highest confirmed revision.
func (l *Lease) Revision() uint64 { return l.revision }

// Voters is the newest voter set heard of and its log index.
func (l *Lease) Voters() ([]string, uint64) { return slices.Clone(l.voters), l.voterIndex }

// Until is when serving ends without another confirmation, grace included. It
// is the zero time before the first confirmation.
func (l *Lease) Until() time.Time {
	if l.start.IsZero() {
		return time.Time{}
	}
	return l.start.Add(l.cfg.Duration + l.cfg.Grace)
}

// Held reports whether the lease itself, without grace, is held.
func (l *Lease) Held(now time.Time) bool {
	return !l.start.IsZero() && now.Before(l.start.Add(l.cfg.Duration))
}

// Check tells whether an instance that acts on the given revision may serve
// now. The reason is empty when it may.
func (l *Lease) Check(acted uint64, now time.Time) (Reason, bool) {
	switch {
	case l.start.IsZero():
		return NeverConfirmed, false
	case !now.Before(l.Until()):
		return LeaseExpired, false
	case acted < l.revision:
		return Behind, false
	}
	return "", true
}
