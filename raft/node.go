package raft

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// Errors of this package.
var (
	// ErrNotLeader means that this node is not the leader and appended nothing.
	// Status().Leader is the leader that it knows, if any.
	ErrNotLeader = errors.New("not the leader")
	// ErrBusy means that nothing was appended: too many proposals are
	// uncommitted, or a new leader has committed no entry of its term yet.
	ErrBusy = errors.New("too many uncommitted entries")
	// ErrConfChangeRefused means that a membership change is invalid or currently
	// not allowed.
	ErrConfChangeRefused = errors.New("membership change refused")
)

// entryOverheadBytes is the estimated encoded size of an entry without its data.
const entryOverheadBytes = 24

// Role is the role of a replica in its current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config configures a Node.
type Config struct {
	// ID identifies this replica and includes the identity of its storage.
	ID string
	// ElectionTicks is the minimum election timeout. The timeout is randomized
	// between one and two times this value. A larger value tolerates longer
	// stalls but takes longer to replace a failed leader. Default 10.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats. A smaller value
	// detects lost messages sooner but costs more traffic. Default 2.
	HeartbeatTicks int
	// MaxAppendBytes limits the size of an append message. Larger messages
	// improve throughput but delay heartbeats on the same link. Default 128 KiB.
	MaxAppendBytes int
	// MaxInflight limits the number of unacknowledged append messages per
	// follower. Default 32.
	MaxInflight int
	// MaxUncommittedBytes limits the total size of uncommitted proposals; above
	// it Propose returns ErrBusy. Default 8 MiB.
	MaxUncommittedBytes int
	// SnapshotChunkBytes is the maximum data size of a snapshot chunk. Default
	// 64 KiB.
	SnapshotChunkBytes int
	// Rand randomizes the election timeout. Default: a randomly seeded source.
	Rand *rand.Rand
}

func (c Config) withDefaults() Config {
	setDefault := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	setDefault(&c.ElectionTicks, 10)
	setDefault(&c.HeartbeatTicks, 2)
	setDefault(&c.MaxAppendBytes, 128<<10)
	setDefault(&c.MaxInflight, 32)
	setDefault(&c.MaxUncommittedBytes, 8<<20)
	setDefault(&c.SnapshotChunkBytes, 64<<10)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

// Node is the Raft state machine of one replica. It is not safe for concurrent
// use.
type Node struct {
	cfg Config

	hardState HardState
	log       memoryLog
	snapshot  Snapshot // latest, sent to followers whose next entry is compacted
	applied   uint64

	// memberships holds the latest committed membership and the uncommitted
	// ones after it, in log order. A leader has at most one uncommitted one.
	memberships []Membership

	role               Role
	leader             string
	elapsed            int // ticks since the last leader message or, on a leader, the last heartbeat
	electionTimeout    int // randomized election timeout in ticks
	ticksSinceLeader   int // ticks since the last message from a leader
	quorumCheckElapsed int // leader: ticks since the last check-quorum
	votes              map[string]bool

	lostReplicas   map[string]bool // replicas with permanently lost storage; see MarkLost
	lostAtCampaign map[string]bool // lostReplicas at the start of the current campaign; see hasQuorumOf

	progress       map[string]*progress
	peers          []string // sorted keys of progress
	uncommitted    int      // bytes of uncommitted commands
	termStartIndex uint64   // leader: index of the first entry of its term
	heartbeatRound uint64   // leader: latest heartbeat round
	reads          []pendingRead
	transferTarget string // leader: target of a leadership transfer in progress

	incomingSnapshot *Snapshot // snapshot being received
	lastSaved        HardState // as returned by the last Ready
	// syncedCommit is the commit index of the last Ready with MustSync.
	syncedCommit       uint64
	receivedSnapshot   *Snapshot // received, for the next Ready
	awaitingAdvance    bool      // Ready was called and Advance was not
	readyLastIndex     uint64    // last index of the entries in that Ready
	messagesBeforeSync []Message // may be sent before the next sync
	messagesAfterSync  []Message // must be sent after the next sync
	readStates         []ReadState
}

// pendingRead is a ReadIndex request that no quorum has confirmed yet.
type pendingRead struct {
	context uint64
	round   uint64
	index   uint64
}

// ReadState answers ReadIndex: a read is linearizable once all entries up to
// Index are applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is the pending work that the caller must do, in the order given in the
// package documentation.
type Ready struct {
	Snapshot           *Snapshot // persist, and restore the application state from it
	Entries            []Entry   // persist; they replace the stored log from their first index on
	HardState          HardState
	MustSync           bool      // if false, only the commit index changed, which a crash may lose
	MessagesBeforeSync []Message // may be sent before the sync
	MessagesAfterSync  []Message // must be sent after the sync
	CommittedEntries   []Entry   // apply, after restoring Snapshot
	ReadStates         []ReadState
}

// Status is a copy of a node's state, for monitoring and membership management.
type Status struct {
	ID, Leader                 string
	Role                       Role
	Term                       uint64
	Commit, Applied, LastIndex uint64
	Membership                 Membership // latest in the log
	CommittedMembership        Membership // latest that is known to be committed
	MembershipPending          bool
	SnapshotIndex, FirstIndex  uint64
	Progress                   map[string]PeerStatus // by replica ID, only on a leader
}

// PeerStatus is the leader's view of another replica.
type PeerStatus struct {
	Match             uint64 // highest index known to be replicated to it
	TicksSinceMessage int    // since the last message from it
}

// NewNode restores a node from the state in its stable storage.
func NewNode(cfg Config, hard HardState, snapshot Snapshot, entries []Entry) (*Node, error) {
	n := &Node{cfg: cfg.withDefaults(), hardState: hard, lastSaved: hard, snapshot: snapshot, lostReplicas: map[string]bool{}}
	n.log.reset(snapshot.Index, snapshot.Term)
	if snapshot.Index > 0 {
		n.memberships = []Membership{snapshot.Membership}
	}
	for _, e := range entries {
		if e.Index <= snapshot.Index {
			continue
		}
		if e.Index != n.log.lastIndex()+1 {
			return nil, fmt.Errorf("%w: entry %d does not follow entry %d", ErrMalformed, e.Index, n.log.lastIndex())
		}
		if err := n.appendEntry(e); err != nil {
			return nil, err
		}
	}
	n.log.stableIndex = n.log.lastIndex()
	n.applied = snapshot.Index
	if last := n.log.lastTerm(); last > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = last, ""
	}
	n.hardState.Commit = min(max(hard.Commit, snapshot.Index), n.log.lastIndex())
	n.syncedCommit = n.hardState.Commit
	n.pruneMemberships()
	n.becomeFollower(n.hardState.Term, "")
	n.ticksSinceLeader = n.cfg.ElectionTicks // no leader is known after a restart
	return n, nil
}

// BootstrapSnapshot returns the initial snapshot of a new cluster. One replica
// is bootstrapped with it; the others start empty and receive it from the
// leader.
func BootstrapSnapshot(voters []string, addresses map[string]string, data []byte) Snapshot {
	sorted := slices.Sorted(slices.Values(voters))
	return Snapshot{Index: 1, Term: 1, Data: data, Membership: Membership{Index: 1, Voters: sorted, Addresses: addresses}}
}

// Bootstrap installs the initial snapshot of a new cluster on an empty node.
func (n *Node) Bootstrap(s Snapshot, term uint64) error {
	if n.log.lastIndex() > 0 || len(n.memberships) > 0 {
		return errors.New("bootstrap: node already has a log or a membership")
	}
	if term > n.hardState.Term {
		n.becomeFollower(term, "")
	}
	n.installSnapshot(s)
	return nil
}

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Leader: n.leader, Role: n.role, Term: n.hardState.Term,
		Commit: n.hardState.Commit, Applied: n.applied, LastIndex: n.log.lastIndex(),
		Membership: n.membership().Clone(), CommittedMembership: n.committedMembership().Clone(),
		MembershipPending: n.membershipPending(), SnapshotIndex: n.snapshot.Index, FirstIndex: n.log.firstIndex,
	}
	if n.role == Leader {
		s.Progress = map[string]PeerStatus{}
		for id, p := range n.progress {
			s.Progress[id] = PeerStatus{Match: p.match, TicksSinceMessage: p.ticksSinceMessage}
		}
	}
	return s
}

// ScanEntriesAfter calls visit for each entry in memory with an index greater than index,
// in order, until visit returns false.
func (n *Node) ScanEntriesAfter(index uint64, visit func(Entry) bool) {
	for i := max(index+1, n.log.firstIndex); i <= n.log.lastIndex(); i++ {
		if !visit(n.log.entries[i-n.log.firstIndex]) {
			return
		}
	}
}

// Role returns the node's role and the leader of its term, if known.
func (n *Node) Role() (role Role, leader string) { return n.role, n.leader }

// Vote returns the replica that this node voted for in the current term.
func (n *Node) Vote() string { return n.hardState.Vote }

func (n *Node) membership() Membership {
	if len(n.memberships) == 0 {
		return Membership{}
	}
	return n.memberships[len(n.memberships)-1]
}

func (n *Node) membershipPending() bool {
	return n.membership().Index > n.hardState.Commit
}

// committedMembership returns the latest membership that is known to be
// committed. A leader appends a membership only after the previous one is
// committed, so the one before a pending membership is committed.
func (n *Node) committedMembership() Membership {
	if n.membershipPending() && len(n.memberships) > 1 {
		return n.memberships[len(n.memberships)-2]
	}
	return n.membership()
}

func (n *Node) pruneMemberships() {
	for len(n.memberships) > 1 && n.memberships[1].Index <= n.hardState.Commit {
		n.memberships = n.memberships[1:]
	}
}

// appendEntry appends an entry to the in-memory log.
func (n *Node) appendEntry(e Entry) error {
	if e.Kind == EntryMembership {
		m, err := decodeMembership(e)
		if err != nil {
			return err
		}
		n.memberships = append(n.memberships, m)
	}
	n.log.entries = append(n.log.entries, e)
	return nil
}

func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	for len(n.memberships) > 0 && n.membership().Index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.ticksSinceLeader++
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.electionTimeout {
		n.elapsed = 0
		if n.canCampaign() {
			n.campaign(PreCandidate, false)
		}
	}
}

func (n *Node) tickLeader() {
	for _, id := range n.peers {
		n.progress[id].ticksSinceMessage++
	}
	n.quorumCheckElapsed++
	if n.quorumCheckElapsed >= n.cfg.ElectionTicks {
		n.quorumCheckElapsed = 0
		n.transferTarget = ""
		if !n.hasQuorum(n.recentlyActive) {
			n.becomeFollower(n.hardState.Term, "")
			return
		}
	}
	if n.elapsed >= n.cfg.HeartbeatTicks {
		n.elapsed = 0
		n.broadcastHeartbeat()
	}
}

func (n *Node) recentlyActive(id string) bool {
	if id == n.cfg.ID {
		return true
	}
	p := n.progress[id]
	return p != nil && p.ticksSinceMessage <= n.cfg.ElectionTicks
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, ""
	}
	if leader != n.leader || n.role != Follower {
		n.incomingSnapshot = nil
	}
	n.role, n.leader = Follower, leader
	n.progress, n.peers, n.votes, n.lostAtCampaign, n.reads, n.transferTarget = nil, nil, nil, nil, nil, ""
	n.uncommitted = 0
	n.resetTimeout()
}

func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// Campaign starts an election at once, with a pre-vote.
func (n *Node) Campaign() {
	if n.role != Leader && n.canCampaign() {
		n.campaign(PreCandidate, false)
	}
}

// canCampaign reports whether this replica may campaign. It may do so even while
// its own removal is pending, because its log can be the only one that is
// up-to-date enough to win.
func (n *Node) canCampaign() bool {
	return n.membership().IsVoter(n.cfg.ID) || n.committedMembership().IsVoter(n.cfg.ID)
}

func (n *Node) campaign(role Role, forced bool) {
	n.role, n.leader, n.incomingSnapshot = role, "", nil
	n.votes = map[string]bool{n.cfg.ID: true}
	n.lostAtCampaign = maps.Clone(n.lostReplicas)
	n.resetTimeout()
	term, kind := n.hardState.Term+1, MsgPreVote
	if role == Candidate {
		n.hardState.Term, n.hardState.Vote = term, n.cfg.ID
		kind = MsgVote
	}
	if n.countVotes() {
		return
	}
	for _, id := range n.electorate() {
		if id != n.cfg.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), LeadershipTransfer: forced})
		}
	}
}

// electorate returns the voters of the latest and of the latest committed
// membership.
func (n *Node) electorate() []string {
	voters := slices.Concat(n.membership().Voters, n.committedMembership().Voters)
	slices.Sort(voters)
	return slices.Compact(voters)
}

// countVotes goes on to the next election phase if the votes form a quorum, and
// reports whether it did. While a membership change is pending, a quorum of the
// previous voters is needed as well: they may have made decisions without the
// change, and after disk losses their quorums need not intersect those of the
// new voters.
func (n *Node) countVotes() bool {
	if !n.hasQuorum(func(id string) bool { return n.votes[id] }) {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
	} else {
		n.becomeLeader()
	}
	return true
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.elapsed, n.quorumCheckElapsed, n.uncommitted = 0, 0, 0
	n.votes, n.reads, n.transferTarget = nil, nil, ""
	n.progress = map[string]*progress{}
	n.updatePeers()
	n.termStartIndex = n.log.lastIndex() + 1
	n.appendAsLeader(EntryEmpty, nil)
	n.broadcastAppend()
}

// Propose appends a command to the log. It fails unless this node is the leader.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferTarget != "" {
		return 0, 0, ErrNotLeader
	}
	if n.uncommitted+len(data) > n.cfg.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	n.uncommitted += len(data)
	n.appendAsLeader(EntryCommand, data) // the next Ready sends it in one batch with others
	return n.log.lastIndex(), n.hardState.Term, nil
}

// ProposeConfChange appends a membership change. It requires that this node is
// the leader, that no other change is pending, and that an entry of the leader's
// own term is committed: otherwise two leaders could commit with quorums that do
// not intersect. It also refuses a change after which the voters with intact
// storage could not form a quorum.
func (n *Node) ProposeConfChange(c ConfChange) (index uint64, err error) {
	switch {
	case n.role != Leader:
		return 0, ErrNotLeader
	case n.membershipPending():
		return 0, fmt.Errorf("%w: another change is pending", ErrConfChangeRefused)
	case n.hardState.Commit < n.termStartIndex:
		return 0, fmt.Errorf("%w: no entry of this term is committed yet", ErrConfChangeRefused)
	}
	next, err := n.membership().apply(c)
	if err != nil {
		return 0, err
	}
	if !n.hasQuorumOf(next.Voters, func(id string) bool { return !n.lostReplicas[id] }) {
		return 0, fmt.Errorf("%w: voters with intact storage would have no quorum", ErrConfChangeRefused)
	}
	next.Index = n.log.lastIndex() + 1
	data, err := encMode.Marshal(next)
	if err != nil {
		return 0, err
	}
	n.appendAsLeader(EntryMembership, data)
	n.updatePeers()
	n.broadcastAppend()
	return next.Index, nil
}

func (n *Node) appendAsLeader(kind EntryKind, data []byte) {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	if err := n.appendEntry(e); err != nil {
		panic(err) // cannot happen: this package encoded the membership
	}
}

// ReadIndex requests a linearizable read. Ready.ReadStates contains the context
// once a quorum has confirmed that this node is still the leader.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.hardState.Commit < n.termStartIndex {
		return fmt.Errorf("%w: no entry of this term is committed yet", ErrBusy)
	}
	n.heartbeatRound++
	n.reads = append(n.reads, pendingRead{context: context, round: n.heartbeatRound, index: n.hardState.Commit})
	n.broadcastHeartbeat()
	n.confirmReads()
	return nil
}

// TransferLeadership transfers leadership to the most up-to-date active voter.
// Until it completes or times out, Propose fails.
func (n *Node) TransferLeadership() {
	if n.role != Leader {
		return
	}
	best, match := "", uint64(0)
	for _, id := range n.membership().Voters {
		if p := n.progress[id]; p != nil && n.recentlyActive(id) && p.match > match {
			best, match = id, p.match
		}
	}
	if best == "" {
		return
	}
	n.transferTarget = best
	n.quorumCheckElapsed = 0
	if match == n.log.lastIndex() {
		n.send(Message{Kind: MsgTimeoutNow, To: best, Term: n.hardState.Term})
	}
}

// MakeSnapshot returns a snapshot with data, the encoded application state at
// index. The caller stores it and then calls Compact.
func (n *Node) MakeSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied {
		return Snapshot{}, fmt.Errorf("snapshot at index %d: log holds %d to %d, applied up to %d",
			index, n.log.firstIndex, n.log.lastIndex(), n.applied)
	}
	m, err := n.membershipAt(index)
	return Snapshot{Index: index, Term: term, Membership: m, Data: data}, err
}

// Compact makes s, which comes from MakeSnapshot and is already stored, the
// node's latest snapshot, and removes the log entries up to it except for the
// last keep ones. It does nothing if the node has the same or a newer snapshot.
func (n *Node) Compact(s Snapshot, keep uint64) {
	if s.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = s
	if s.Index > keep {
		n.log.compact(s.Index - keep)
	}
}

func (n *Node) membershipAt(index uint64) (Membership, error) {
	for _, m := range slices.Backward(n.memberships) {
		if m.Index <= index {
			return m.Clone(), nil
		}
	}
	return Membership{}, fmt.Errorf("membership at index %d is not in memory", index)
}

// HasReady reports whether there is work for Ready to return. It is false between
// Ready and Advance.
func (n *Node) HasReady() bool {
	return !n.awaitingAdvance && (n.receivedSnapshot != nil || n.log.stableIndex < n.log.lastIndex() || n.hardState != n.lastSaved ||
		len(n.messagesBeforeSync)+len(n.messagesAfterSync)+len(n.readStates) > 0 || n.applied < n.hardState.Commit)
}

// Ready returns the pending work. The caller must call Advance once the snapshot,
// the entries and the hard state in it are synced.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.broadcastAppend()
	}
	r := Ready{
		Snapshot: n.receivedSnapshot, HardState: n.hardState, MessagesBeforeSync: n.messagesBeforeSync, MessagesAfterSync: n.messagesAfterSync, ReadStates: n.readStates,
	}
	r.Entries = n.log.slice(n.log.stableIndex+1, n.log.lastIndex(), 1<<62)
	r.CommittedEntries = n.log.slice(max(n.applied+1, n.log.firstIndex), n.hardState.Commit, 1<<62)
	// The commit of a membership must survive a restart: otherwise the restarted
	// replica would need a quorum of the previous voters again, which may be lost
	// permanently.
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 ||
		n.hardState.Term != n.lastSaved.Term || n.hardState.Vote != n.lastSaved.Vote ||
		(n.syncedCommit < n.committedMembership().Index)
	if r.MustSync {
		n.syncedCommit = n.hardState.Commit
	}
	// A single voter becomes leader of a term that is not persisted yet. If it
	// sent entries now and crashed, it could lead the same term again with
	// different entries.
	if n.hardState.Term != n.lastSaved.Term || n.hardState.Vote != n.lastSaved.Vote {
		r.MessagesBeforeSync, r.MessagesAfterSync = nil, slices.Concat(n.messagesBeforeSync, n.messagesAfterSync)
	}
	n.receivedSnapshot, n.messagesBeforeSync, n.messagesAfterSync, n.readStates = nil, nil, nil, nil
	n.lastSaved = n.hardState
	n.readyLastIndex = n.log.lastIndex()
	n.applied = n.hardState.Commit
	n.awaitingAdvance = true
	return r
}

// Advance tells the node that everything in the last Ready is persisted.
func (n *Node) Advance() {
	n.awaitingAdvance = false
	n.log.stableIndex = n.readyLastIndex
	if n.role == Leader {
		n.maybeCommit()
	}
}

// send queues a message. Messages that depend on persisted state, such as votes
// and acknowledgements, wait for the sync. A leader's appends need not wait
// because its own entries count towards a quorum only after Advance.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot, MsgPreVote, MsgPreVoteReply, MsgTimeoutNow:
		n.messagesBeforeSync = append(n.messagesBeforeSync, m)
	default:
		n.messagesAfterSync = append(n.messagesAfterSync, m)
	}
}
