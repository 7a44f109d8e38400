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
	// ErrNotLeader means that nothing was proposed; ask Status().Leader.
	ErrNotLeader = errors.New("not the leader")
	// ErrBusy means that nothing was proposed since too much is in flight.
	ErrBusy = errors.New("too many uncommitted entries")
	// ErrChangeRefused means that a membership change is not allowed now.
	ErrChangeRefused = errors.New("membership change refused")
)

const entryOverheadBytes = 24

// Role of a replica.
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
	// ID is this replica's identifier, storage identity included.
	ID string
	// ElectionTicks without a leader start an election, after up to as many
	// again, chosen at random. More ticks tolerate longer stalls and take
	// longer to replace a lost leader. Default 10.
	ElectionTicks int
	// HeartbeatTicks between heartbeats. Fewer ticks cost bytes and notice
	// lost messages sooner. Default 2.
	HeartbeatTicks int
	// MaxAppendBytes bounds one append message. Larger messages use a link
	// better and delay heartbeats longer. Default 128 KiB.
	MaxAppendBytes int
	// MaxInflight bounds unacknowledged append messages to one follower.
	// Default 32.
	MaxInflight int
	// MaxUncommittedBytes bounds proposals in flight; beyond it Propose
	// returns ErrBusy. Default 8 MiB.
	MaxUncommittedBytes int
	// SnapshotChunkBytes is the size of one snapshot message. Default 64 KiB.
	SnapshotChunkBytes int
	// Rand draws election time-outs. Default: a random source.
	Rand *rand.Rand
}

func (c Config) withDefaults() Config {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	def(&c.ElectionTicks, 10)
	def(&c.HeartbeatTicks, 2)
	def(&c.MaxAppendBytes, 128<<10)
	def(&c.MaxInflight, 32)
	def(&c.MaxUncommittedBytes, 8<<20)
	def(&c.SnapshotChunkBytes, 64<<10)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	cfg Config

	hard     HardState
	log      memoryLog
	snapshot Snapshot // newest, with data, for followers that are far behind
	applied  uint64

	// memberships in log order: the newest committed one and what follows it,
	// at most one in a leader's own log.
	memberships []Membership

	role     Role
	leader   string
	elapsed  int // ticks since the last leader message or heartbeat round
	timeout  int // ticks until the next election
	quiet    int // ticks since a message from a live leader
	checkAge int // leader: ticks since the last quorum check
	votes    map[string]bool

	abandoned map[string]bool // storage is lost for good; see Abandon
	lost      map[string]bool // those of abandoned that this campaign and its term count without

	progress    map[string]*progress
	peers       []string // keys of progress, in order
	uncommitted int      // bytes
	termStart   uint64
	round       uint64
	reads       []pendingRead
	transferTo  string

	incoming  *Snapshot // snapshot being received
	lastSaved HardState
	// syncedCommit is the commit index of the last Ready that was synced.
	syncedCommit uint64
	newSnap      *Snapshot
	ready        bool // a Ready awaits Advance
	pendingEnd   uint64
	early        []Message
	messages     []Message
	readStates   []ReadState
}

type pendingRead struct {
	context uint64
	round   uint64
	index   uint64
}

// ReadState says that state applied up to Index answers the read linearizably.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is what the owner has to do. See the package comment for the order.
type Ready struct {
	Snapshot  *Snapshot // persist and restore
	Entries   []Entry   // persist; they replace the log from their first index on
	HardState HardState
	MustSync  bool // otherwise only the commit index changed, which may be lost
	Early     []Message
	Messages  []Message
	Committed []Entry // apply, after Snapshot
	Reads     []ReadState
}

// Status describes a node.
type Status struct {
	ID, Leader              string
	Role                    Role
	Term                    uint64
	Commit, Applied, Last   uint64
	Membership              Membership // newest in the log
	Committed               Membership // newest known to be committed
	MembershipPending       bool
	SnapshotIndex, FirstLog uint64
	Progress                map[string]PeerStatus // leader only
}

// PeerStatus is a leader's view of a replica.
type PeerStatus struct {
	Match      uint64
	QuietTicks int // since the last message from it
}

// NewNode returns a node with the state that its storage holds.
func NewNode(cfg Config, hard HardState, snapshot Snapshot, entries []Entry) (*Node, error) {
	n := &Node{cfg: cfg.withDefaults(), hard: hard, lastSaved: hard, snapshot: snapshot, abandoned: map[string]bool{}}
	n.log.reset(snapshot.Index, snapshot.Term)
	if snapshot.Index > 0 {
		n.memberships = []Membership{snapshot.Membership}
	}
	for _, e := range entries {
		if e.Index <= snapshot.Index {
			continue
		}
		if e.Index != n.log.last()+1 {
			return nil, fmt.Errorf("%w: entry %d follows %d", ErrMalformed, e.Index, n.log.last())
		}
		if err := n.appendEntry(e); err != nil {
			return nil, err
		}
	}
	n.log.stable = n.log.last()
	n.applied = snapshot.Index
	if last := n.log.lastTerm(); last > n.hard.Term {
		n.hard.Term, n.hard.Vote = last, ""
	}
	n.hard.Commit = min(max(hard.Commit, snapshot.Index), n.log.last())
	n.syncedCommit = n.hard.Commit
	n.pruneMemberships()
	n.becomeFollower(n.hard.Term, "")
	n.quiet = n.cfg.ElectionTicks // no leader heard of since the start
	return n, nil
}

// BootstrapSnapshot is the initial state of a new cluster. One replica starts
// from it; the others start empty and receive it.
func BootstrapSnapshot(voters []string, addresses map[string]string, data []byte) Snapshot {
	sorted := slices.Sorted(slices.Values(voters))
	return Snapshot{Index: 1, Term: 1, Data: data, Membership: Membership{Index: 1, Voters: sorted, Addresses: addresses}}
}

// Bootstrap installs the initial state of a new cluster in an empty node.
func (n *Node) Bootstrap(s Snapshot, term uint64) error {
	if n.log.last() > 0 || len(n.memberships) > 0 {
		return errors.New("bootstrap: the log is not empty")
	}
	if term > n.hard.Term {
		n.becomeFollower(term, "")
	}
	n.install(s)
	return nil
}

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Leader: n.leader, Role: n.role, Term: n.hard.Term,
		Commit: n.hard.Commit, Applied: n.applied, Last: n.log.last(),
		Membership: n.membership().Clone(), Committed: n.committedMembership().Clone(),
		MembershipPending: n.membershipPending(), SnapshotIndex: n.snapshot.Index, FirstLog: n.log.first,
	}
	if n.role == Leader {
		s.Progress = map[string]PeerStatus{}
		for id, p := range n.progress {
			s.Progress[id] = PeerStatus{Match: p.match, QuietTicks: p.quiet}
		}
	}
	return s
}

// After calls visit for each entry of the log after index, until it returns
// false.
func (n *Node) After(index uint64, visit func(Entry) bool) {
	for i := max(index+1, n.log.first); i <= n.log.last(); i++ {
		if !visit(n.log.entries[i-n.log.first]) {
			return
		}
	}
}

// Role returns the node's role and the leader that it knows.
func (n *Node) Role() (role Role, leader string) { return n.role, n.leader }

// Vote returns the vote of the current term.
func (n *Node) Vote() string { return n.hard.Vote }

func (n *Node) membership() Membership {
	if len(n.memberships) == 0 {
		return Membership{}
	}
	return n.memberships[len(n.memberships)-1]
}

func (n *Node) membershipPending() bool {
	return n.membership().Index > n.hard.Commit
}

// committedMembership is the newest membership known to be committed. A leader
// appends a membership only after the one before it was committed, so the one
// before a pending one is committed.
func (n *Node) committedMembership() Membership {
	if n.membershipPending() && len(n.memberships) > 1 {
		return n.memberships[len(n.memberships)-2]
	}
	return n.membership()
}

func (n *Node) pruneMemberships() {
	for len(n.memberships) > 1 && n.memberships[1].Index <= n.hard.Commit {
		n.memberships = n.memberships[1:]
	}
}

// appendEntry adds an entry to the log in memory.
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

// Tick advances time by one tick.
func (n *Node) Tick() {
	n.quiet++
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout {
		n.elapsed = 0
		if n.mayLead() {
			n.campaign(PreCandidate, false)
		}
	}
}

func (n *Node) tickLeader() {
	for _, id := range n.peers {
		n.progress[id].quiet++
	}
	n.checkAge++
	if n.checkAge >= n.cfg.ElectionTicks {
		n.checkAge = 0
		n.transferTo = ""
		if !n.quorum(n.heardRecently) {
			n.becomeFollower(n.hard.Term, "")
			return
		}
	}
	if n.elapsed >= n.cfg.HeartbeatTicks {
		n.elapsed = 0
		n.broadcastHeartbeat()
	}
}

func (n *Node) heardRecently(id string) bool {
	if id == n.cfg.ID {
		return true
	}
	p := n.progress[id]
	return p != nil && p.quiet <= n.cfg.ElectionTicks
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, ""
	}
	if leader != n.leader || n.role != Follower {
		n.incoming = nil
	}
	n.role, n.leader = Follower, leader
	n.progress, n.peers, n.votes, n.lost, n.reads, n.transferTo = nil, nil, nil, nil, nil, ""
	n.uncommitted = 0
	n.resetTimeout()
}

func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// Campaign starts an election now, after a pre-vote.
func (n *Node) Campaign() {
	if n.role != Leader && n.mayLead() {
		n.campaign(PreCandidate, false)
	}
}

// mayLead reports whether this replica may stand for election. While its own
// removal is pending it may: its log can be the only one that is recent enough.
func (n *Node) mayLead() bool {
	return n.membership().IsVoter(n.cfg.ID) || n.committedMembership().IsVoter(n.cfg.ID)
}

func (n *Node) campaign(role Role, forced bool) {
	n.role, n.leader, n.incoming = role, "", nil
	n.votes = map[string]bool{n.cfg.ID: true}
	n.lost = maps.Clone(n.abandoned)
	n.resetTimeout()
	term, kind := n.hard.Term+1, MsgPreVote
	if role == Candidate {
		n.hard.Term, n.hard.Vote = term, n.cfg.ID
		kind = MsgVote
	}
	if n.countVotes() {
		return
	}
	for _, id := range n.electorate() {
		if id != n.cfg.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Forced: forced})
		}
	}
}

// electorate lists the voters whose votes countVotes needs.
func (n *Node) electorate() []string {
	voters := slices.Concat(n.membership().Voters, n.committedMembership().Voters)
	slices.Sort(voters)
	return slices.Compact(voters)
}

// countVotes proceeds when the election is won and reports whether it did. While
// a membership change is pending, the voters before it must agree as well: they
// may have decided without this change, and after lost disks a quorum of theirs
// need not intersect one of the newest voters.
func (n *Node) countVotes() bool {
	if !n.quorum(func(id string) bool { return n.votes[id] }) {
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
	n.elapsed, n.checkAge, n.uncommitted = 0, 0, 0
	n.votes, n.reads, n.transferTo = nil, nil, ""
	n.progress = map[string]*progress{}
	n.updatePeers()
	n.termStart = n.log.last() + 1
	n.appendOwn(EntryEmpty, nil)
	n.broadcastAppend()
}

// Propose appends a command to the log if this node is the leader.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferTo != "" {
		return 0, 0, ErrNotLeader
	}
	if n.uncommitted+len(data) > n.cfg.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	n.uncommitted += len(data)
	n.appendOwn(EntryCommand, data) // Ready sends it, together with others
	return n.log.last(), n.hard.Term, nil
}

// ProposeConfChange appends a membership change if this node is the leader, no
// other change is pending, and an entry of this leader's term is committed:
// otherwise two leaders could commit with quorums that do not intersect. A
// change is refused if abandoned voters would leave its voters undecided.
func (n *Node) ProposeConfChange(c Change) (index uint64, err error) {
	switch {
	case n.role != Leader:
		return 0, ErrNotLeader
	case n.membershipPending():
		return 0, fmt.Errorf("%w: a change is pending", ErrChangeRefused)
	case n.hard.Commit < n.termStart:
		return 0, fmt.Errorf("%w: no entry of this term is committed yet", ErrChangeRefused)
	}
	next, err := n.membership().apply(c)
	if err != nil {
		return 0, err
	}
	if !n.enough(next.Voters, func(id string) bool { return !n.abandoned[id] }) {
		return 0, fmt.Errorf("%w: too few voters would be left", ErrChangeRefused)
	}
	next.Index = n.log.last() + 1
	data, err := encMode.Marshal(next)
	if err != nil {
		return 0, err
	}
	n.appendOwn(EntryMembership, data)
	n.updatePeers()
	n.broadcastAppend()
	return next.Index, nil
}

func (n *Node) appendOwn(kind EntryKind, data []byte) {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	if err := n.appendEntry(e); err != nil {
		panic(err) // memberships are encoded by this package
	}
}

// ReadIndex asks for a linearizable read. Ready.Reads returns the context once
// a quorum has confirmed that this node still leads.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.hard.Commit < n.termStart {
		return fmt.Errorf("%w: no entry of this term is committed yet", ErrBusy)
	}
	n.round++
	n.reads = append(n.reads, pendingRead{context: context, round: n.round, index: n.hard.Commit})
	n.broadcastHeartbeat()
	n.confirmReads()
	return nil
}

// TransferLeadership asks a caught-up voter to take over.
func (n *Node) TransferLeadership() {
	if n.role != Leader {
		return
	}
	best, match := "", uint64(0)
	for _, id := range n.membership().Voters {
		if p := n.progress[id]; p != nil && n.heardRecently(id) && p.match > match {
			best, match = id, p.match
		}
	}
	if best == "" {
		return
	}
	n.transferTo = best
	n.checkAge = 0
	if match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: best, Term: n.hard.Term})
	}
}

// MakeSnapshot wraps the encoded state applied up to index. Compact adopts it
// once it is stored.
func (n *Node) MakeSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied {
		return Snapshot{}, fmt.Errorf("snapshot at %d: log holds %d to %d, applied %d",
			index, n.log.first, n.log.last(), n.applied)
	}
	m, err := n.membershipAt(index)
	return Snapshot{Index: index, Term: term, Membership: m, Data: data}, err
}

// Compact adopts a snapshot made by MakeSnapshot and drops the entries up to it
// but for the last keep. An older one than the node has is ignored.
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
	return Membership{}, fmt.Errorf("membership at %d is not known", index)
}

// HasReady reports whether Ready has anything to return.
func (n *Node) HasReady() bool {
	return !n.ready && (n.newSnap != nil || n.log.stable < n.log.last() || n.hard != n.lastSaved ||
		len(n.early)+len(n.messages)+len(n.readStates) > 0 || n.applied < n.hard.Commit)
}

// Ready returns the work to do. The owner calls Advance once everything in it
// that has to be persisted is synced.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.broadcastAppend()
	}
	r := Ready{
		Snapshot: n.newSnap, HardState: n.hard, Early: n.early, Messages: n.messages, Reads: n.readStates,
	}
	r.Entries = n.log.slice(n.log.stable+1, n.log.last(), 1<<62)
	r.Committed = n.log.slice(max(n.applied+1, n.log.first), n.hard.Commit, 1<<62)
	// A committed membership is stored as such at once: otherwise a restart
	// would again need the voters before it, which may be gone for good.
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 ||
		n.hard.Term != n.lastSaved.Term || n.hard.Vote != n.lastSaved.Vote ||
		(n.syncedCommit < n.committedMembership().Index)
	if r.MustSync {
		n.syncedCommit = n.hard.Commit
	}
	// A sole voter leads a term that is not stored yet: after a crash it would
	// lead it again, with other entries.
	if n.hard.Term != n.lastSaved.Term || n.hard.Vote != n.lastSaved.Vote {
		r.Early, r.Messages = nil, slices.Concat(n.early, n.messages)
	}
	n.newSnap, n.early, n.messages, n.readStates = nil, nil, nil, nil
	n.lastSaved = n.hard
	n.pendingEnd = n.log.last()
	n.applied = n.hard.Commit
	n.ready = true
	return r
}

// Advance tells the node that the last Ready is persisted.
func (n *Node) Advance() {
	n.ready = false
	n.log.stable = n.pendingEnd
	if n.role == Leader {
		n.maybeCommit()
	}
}

// send queues a message. Those that promise what this replica remembers wait
// for the sync; a leader's own entries count only in Advance.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot, MsgPreVote, MsgPreVoteReply, MsgTimeoutNow:
		n.early = append(n.early, m)
	default:
		n.messages = append(n.messages, m)
	}
}
