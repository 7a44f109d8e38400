package confirm

import (
	"cmp"
	"slices"
	"time"
)

// DefaultDuration is the default of Config.Duration.
const DefaultDuration = 2 * time.Second

// Config configures a Lease.
type Config struct {
	// Duration is the length of the lease, counted from the sending of the
	// request. Default 2 s. A longer lease bridges longer outages of the voters,
	// but it takes longer until an accepted note is in force everywhere.
	Duration time.Duration
	// Grace is how long an instance keeps serving after its lease has expired.
	// Default 0 s. A partitioned instance may serve a withdrawn model for that
	// much longer.
	Grace time.Duration
	// RoundOffset is the number before that of the first round. It must not be
	// below any round number of earlier process starts, so that late replies to
	// those are not counted.
	RoundOffset uint64
}

// Reply is a voter's reply to a confirmation request.
type Reply struct {
	Round   uint64 // round of the request
	Replica string
	// Revision is the voter's committed revision.
	Revision uint64
	// Unresolved is true while the voter's log holds a newer note that is not
	// known to be committed. Such a reply confirms no revision.
	Unresolved bool
	// Voters is the newest voter set in the voter's log, and VoterIndex the log
	// index of that set.
	Voters     []string
	VoterIndex uint64
}

// Reason is the reason why an instance may not serve.
type Reason string

// Reasons returned by Lease.Check.
const (
	NeverConfirmed Reason = "never-confirmed" // no revision confirmed since the process start
	LeaseExpired   Reason = "lease-expired"
	Behind         Reason = "behind" // a later revision is confirmed than the one in use
)

// Lease is the read lease of one instance since its process start.
type Lease struct {
	cfg       Config
	nextRound uint64
	rounds    map[uint64]time.Time // by round
	replies   map[string]lastReply // last reply of each replica

	voters     []string
	voterIndex uint64

	revision uint64
	start    time.Time // start of the lease; zero before the first confirmation
}

type lastReply struct {
	round      uint64
	sent       time.Time
	revision   uint64
	unresolved bool
	voterIndex uint64
}

// New returns a lease without a confirmed revision.
func New(cfg Config) *Lease {
	cfg.Duration = cmp.Or(cfg.Duration, DefaultDuration)
	return &Lease{cfg: cfg, nextRound: cfg.RoundOffset + 1, rounds: map[uint64]time.Time{}, replies: map[string]lastReply{}}
}

// StartRound starts a round of confirmation requests and returns its number. Call it
// before the first request of the round is sent, because the lease counts from
// now.
func (l *Lease) StartRound(now time.Time) uint64 {
	for round, sent := range l.rounds {
		if now.Sub(sent) >= l.cfg.Duration {
			delete(l.rounds, round) // a reply can no longer extend the lease
		}
	}
	round := l.nextRound
	l.nextRound++
	l.rounds[round] = now
	return round
}

// Receive counts a reply. It ignores replies to unknown or expired rounds,
// duplicates, and replies to an earlier round than the replica's last one.
func (l *Lease) Receive(r Reply) {
	sent, known := l.rounds[r.Round]
	if !known || r.Round <= l.replies[r.Replica].round {
		return
	}
	l.updateVoters(r)
	l.replies[r.Replica] = lastReply{round: r.Round, sent: sent, revision: r.Revision, unresolved: r.Unresolved, voterIndex: r.VoterIndex}
	l.confirm()
}

// updateVoters adopts the newest voter set and discards the replies of replicas
// outside it.
func (l *Lease) updateVoters(r Reply) {
	if r.VoterIndex <= l.voterIndex && l.voters != nil {
		return
	}
	l.voters, l.voterIndex = slices.Clone(r.Voters), r.VoterIndex
	for replica := range l.replies {
		if !slices.Contains(l.voters, replica) {
			delete(l.replies, replica)
		}
	}
}

// ReadQuorum returns the smallest number of n voters that intersects every write
// quorum, where a write quorum is a majority.
func ReadQuorum(n int) int {
	writeQuorum := n/2 + 1
	return n - writeQuorum + 1
}

// confirm extends the lease if a read quorum agrees on a revision.
func (l *Lease) confirm() {
	if len(l.voters) == 0 {
		return
	}
	times := map[uint64][]time.Time{}
	for _, replica := range l.voters {
		// A voter that replied under an earlier voter set may lack a note that was
		// accepted under that set. Only replies under the newest set intersect every
		// write quorum.
		if a, ok := l.replies[replica]; ok && !a.unresolved && a.voterIndex == l.voterIndex {
			times[a.revision] = append(times[a.revision], a.sent)
		}
	}
	quorum := ReadQuorum(len(l.voters))
	for revision, sent := range times {
		if len(sent) < quorum || revision < l.revision {
			continue
		}
		slices.SortFunc(sent, time.Time.Compare)
		// Take the quorum of the latest requests; the oldest of them starts the lease.
		l.extend(revision, sent[len(sent)-quorum])
	}
}

func (l *Lease) extend(revision uint64, start time.Time) {
	l.revision = max(l.revision, revision)
	if start.After(l.start) {
		l.start = start
	}
}

// Revision returns the highest confirmed revision.
func (l *Lease) Revision() uint64 { return l.revision }

// Voters returns the newest known voter set and its log index.
func (l *Lease) Voters() ([]string, uint64) { return slices.Clone(l.voters), l.voterIndex }

// ServeUntil returns when serving ends without another confirmation, including the
// grace period. It is the zero time before the first confirmation.
func (l *Lease) ServeUntil() time.Time {
	if l.start.IsZero() {
		return time.Time{}
	}
	return l.start.Add(l.cfg.Duration + l.cfg.Grace)
}

// Held reports whether the lease is held, not counting the grace period.
func (l *Lease) Held(now time.Time) bool {
	return !l.start.IsZero() && now.Before(l.start.Add(l.cfg.Duration))
}

// Check reports whether an instance that uses the given revision may serve now,
// with a reason if it may not.
func (l *Lease) Check(revision uint64, now time.Time) (Reason, bool) {
	switch {
	case l.start.IsZero():
		return NeverConfirmed, false
	case !now.Before(l.ServeUntil()):
		return LeaseExpired, false
	case revision < l.revision:
		return Behind, false
	}
	return "", true
}
