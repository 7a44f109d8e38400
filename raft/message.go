package raft

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed is wrapped by every decoding error.
var ErrMalformed = errors.New("malformed raft data")

// EntryKind says how to interpret Entry.Data.
type EntryKind uint8

// Entry kinds. The values are stored on disk and must not be reused.
const (
	EntryCommand    EntryKind = 1 // application command
	EntryEmpty      EntryKind = 2 // no-op at the start of a leader's term
	EntryMembership EntryKind = 3 // encoded Membership
)

// Entry is an entry of the replicated log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Membership is the cluster configuration that takes effect at log index Index.
type Membership struct {
	Index     uint64            `cbor:"1,keyasint"`
	Voters    []string          `cbor:"2,keyasint"`
	Learners  []string          `cbor:"3,keyasint,omitempty"`
	Addresses map[string]string `cbor:"4,keyasint,omitempty"` // by replica ID, for voters and learners
}

// Clone returns a deep copy.
func (m Membership) Clone() Membership {
	return Membership{
		Index: m.Index, Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners),
		Addresses: maps.Clone(m.Addresses),
	}
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id string) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner, which receives the log but has no
// vote.
func (m Membership) IsLearner(id string) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a voter or a learner.
func (m Membership) Contains(id string) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Replicas returns the IDs of all voters and learners.
func (m Membership) Replicas() []string { return slices.Concat(m.Voters, m.Learners) }

// ConfChangeKind is the type of a membership change.
type ConfChangeKind uint8

// Membership changes. Each of them adds, promotes or removes a single replica.
const (
	AddLearner     ConfChangeKind = iota + 1
	PromoteLearner                // makes a learner a voter
	RemoveReplica
)

// String implements fmt.Stringer.
func (k ConfChangeKind) String() string {
	switch k {
	case AddLearner:
		return "add-learner"
	case PromoteLearner:
		return "promote"
	case RemoveReplica:
		return "remove"
	}
	return "unknown"
}

// ConfChange is a membership change that affects a single replica.
type ConfChange struct {
	Kind    ConfChangeKind
	ID      string
	Address string // only for AddLearner
}

// apply returns the membership that results from c.
func (m Membership) apply(c ConfChange) (Membership, error) {
	next := m.Clone()
	without := func(ids []string) []string {
		return slices.DeleteFunc(ids, func(id string) bool { return id == c.ID })
	}
	switch {
	case c.ID == "":
		return m, fmt.Errorf("%w: replica ID is empty", ErrConfChangeRefused)
	case c.Kind == AddLearner && !m.Contains(c.ID):
		next.Learners = append(next.Learners, c.ID)
		if next.Addresses == nil {
			next.Addresses = map[string]string{}
		}
		next.Addresses[c.ID] = c.Address
	case c.Kind == PromoteLearner && m.IsLearner(c.ID):
		next.Learners = without(next.Learners)
		next.Voters = append(next.Voters, c.ID)
	case c.Kind == RemoveReplica && m.Contains(c.ID):
		next.Learners = without(next.Learners)
		next.Voters = without(next.Voters)
		delete(next.Addresses, c.ID)
		if len(next.Voters) == 0 {
			return m, fmt.Errorf("%w: the last voter cannot be removed", ErrConfChangeRefused)
		}
	default:
		return m, fmt.Errorf("%w: cannot apply %s (%d) to replica %q", ErrConfChangeRefused, c.Kind, c.Kind, c.ID)
	}
	slices.Sort(next.Voters)
	slices.Sort(next.Learners)
	return next, nil
}

// MessageKind is the type of a message.
type MessageKind uint8

// Message kinds. The values are part of the wire protocol and must not be reused.
const (
	MsgPreVote        MessageKind = 1
	MsgPreVoteReply   MessageKind = 2
	MsgVote           MessageKind = 3
	MsgVoteReply      MessageKind = 4
	MsgAppend         MessageKind = 5
	MsgAppendReply    MessageKind = 6
	MsgHeartbeat      MessageKind = 7
	MsgHeartbeatReply MessageKind = 8
	MsgSnapshot       MessageKind = 9
	MsgSnapshotReply  MessageKind = 10
	MsgTimeoutNow     MessageKind = 11
)

// Message is a message between two replicas. The meaning of Index and LogTerm
// depends on Kind:
//
//   - MsgPreVote, MsgVote: index and term of the candidate's last entry.
//   - MsgAppend: index and term of the entry before Entries.
//   - MsgAppendReply: Index is the last matching index or, with Reject, the
//     rejected one.
//   - MsgPreVoteReply, MsgVoteReply: Commit and LogTerm are index and term of an
//     entry that the sender knows to be committed.
//   - MsgSnapshotReply: Index is that of the snapshot, Hint the number of bytes
//     received so far, and Commit is set once the snapshot is complete or not
//     needed.
type Message struct {
	Kind               MessageKind    `cbor:"1,keyasint"`
	From               string         `cbor:"2,keyasint"`
	To                 string         `cbor:"3,keyasint"`
	Term               uint64         `cbor:"4,keyasint"`
	Index              uint64         `cbor:"5,keyasint,omitempty"`
	LogTerm            uint64         `cbor:"6,keyasint,omitempty"`
	Commit             uint64         `cbor:"7,keyasint,omitempty"`
	Entries            []Entry        `cbor:"8,keyasint,omitempty"`
	Reject             bool           `cbor:"9,keyasint,omitempty"`
	Hint               uint64         `cbor:"10,keyasint,omitempty"` // rejected append: highest index that can match
	HeartbeatRound     uint64         `cbor:"11,keyasint,omitempty"` // confirms ReadIndex requests up to this round
	Snapshot           *SnapshotChunk `cbor:"12,keyasint,omitempty"`
	LeadershipTransfer bool           `cbor:"13,keyasint,omitempty"` // vote request after a leadership transfer: granted even if a leader is active
}

// SnapshotChunk is a part of a snapshot. Chunks are sent in the order of Offset.
type SnapshotChunk struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Offset     uint64     `cbor:"4,keyasint"`
	Total      uint64     `cbor:"5,keyasint"`
	Data       []byte     `cbor:"6,keyasint"`
}

// Snapshot is the application state that replaces the log up to and including
// Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// HardState is the state that a replica persists besides its log.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   string `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint"`
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 17, MaxMapPairs: 1024}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var encMode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// EncodeMessage encodes m as CBOR.
func EncodeMessage(m Message) ([]byte, error) { return encMode.Marshal(m) }

// DecodeMessage decodes and validates a message.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := decMode.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return m, m.validate()
}

// validate rejects messages that no correct replica sends, so that Step needs no
// bounds checks.
func (m Message) validate() error {
	if m.Kind < MsgPreVote || m.Kind > MsgTimeoutNow || m.From == "" || m.To == "" || m.Term == 0 {
		return fmt.Errorf("%w: message of kind %d from %q to %q in term %d", ErrMalformed, m.Kind, m.From, m.To, m.Term)
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term == 0 || e.Term > m.Term {
			return fmt.Errorf("%w: append after index %d in term %d has entry %d of term %d at position %d", ErrMalformed, m.Index, m.Term, e.Index, e.Term, i)
		}
		if e.Kind < EntryCommand || e.Kind > EntryMembership {
			return fmt.Errorf("%w: entry %d has unknown kind %d", ErrMalformed, e.Index, e.Kind)
		}
		if e.Kind == EntryMembership {
			if _, err := decodeMembership(e); err != nil {
				return err
			}
		}
	}
	if (m.Kind == MsgSnapshot) != (m.Snapshot != nil) {
		return fmt.Errorf("%w: message of kind %d with snapshot chunk: %t", ErrMalformed, m.Kind, m.Snapshot != nil)
	}
	if c := m.Snapshot; c != nil {
		if c.Index == 0 || c.Term == 0 || c.Term > m.Term || len(c.Membership.Voters) == 0 ||
			c.Offset > c.Total || uint64(len(c.Data)) > c.Total-c.Offset {
			return fmt.Errorf("%w: snapshot chunk at index %d, term %d with %d voters, bytes %d+%d of %d", ErrMalformed, c.Index, c.Term,
				len(c.Membership.Voters), c.Offset, len(c.Data), c.Total)
		}
	}
	return nil
}

func decodeMembership(e Entry) (Membership, error) {
	var m Membership
	if err := decMode.Unmarshal(e.Data, &m); err != nil {
		return m, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(m.Voters) == 0 {
		return m, fmt.Errorf("%w: membership has no voters", ErrMalformed)
	}
	m.Index = e.Index
	return m, nil
}
