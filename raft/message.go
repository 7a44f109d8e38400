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

// EntryKind tells what an entry's data is.
type EntryKind uint8

// Kinds of entry. Values are stored on disk and never reused.
const (
	EntryCommand    EntryKind = 1 // data belongs to the owner
	EntryEmpty      EntryKind = 2 // first entry of a leader's term
	EntryMembership EntryKind = 3 // data is a Membership
)

// Entry is one element of the log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Membership is the set of replicas from log position Index on.
type Membership struct {
	Index     uint64            `cbor:"1,keyasint"`
	Voters    []string          `cbor:"2,keyasint"`
	Learners  []string          `cbor:"3,keyasint,omitempty"`
	Addresses map[string]string `cbor:"4,keyasint,omitempty"` // of voters and learners
}

// Clone returns an independent copy.
func (m Membership) Clone() Membership {
	return Membership{
		Index: m.Index, Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners),
		Addresses: maps.Clone(m.Addresses),
	}
}

// IsVoter reports whether id votes.
func (m Membership) IsVoter(id string) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id receives the log without voting.
func (m Membership) IsLearner(id string) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a voter or learner.
func (m Membership) Contains(id string) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Replicas lists voters and learners.
func (m Membership) Replicas() []string { return slices.Concat(m.Voters, m.Learners) }

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of change. Each concerns one replica.
const (
	AddLearner ChangeKind = iota + 1
	Promote               // learner to voter
	Remove
)

// String implements fmt.Stringer.
func (k ChangeKind) String() string {
	switch k {
	case AddLearner:
		return "add-learner"
	case Promote:
		return "promote"
	case Remove:
		return "remove"
	}
	return "unknown"
}

// Change is a membership change of one replica.
type Change struct {
	Kind    ChangeKind
	ID      string
	Address string // for AddLearner
}

// apply returns the membership after the change.
func (m Membership) apply(c Change) (Membership, error) {
	next := m.Clone()
	without := func(ids []string) []string {
		return slices.DeleteFunc(ids, func(id string) bool { return id == c.ID })
	}
	switch {
	case c.ID == "":
		return m, fmt.Errorf("%w: no replica named", ErrChangeRefused)
	case c.Kind == AddLearner && !m.Contains(c.ID):
		next.Learners = append(next.Learners, c.ID)
		if next.Addresses == nil {
			next.Addresses = map[string]string{}
		}
		next.Addresses[c.ID] = c.Address
	case c.Kind == Promote && m.IsLearner(c.ID):
		next.Learners = without(next.Learners)
		next.Voters = append(next.Voters, c.ID)
	case c.Kind == Remove && m.Contains(c.ID):
		next.Learners = without(next.Learners)
		next.Voters = without(next.Voters)
		delete(next.Addresses, c.ID)
		if len(next.Voters) == 0 {
			return m, fmt.Errorf("%w: the last voter stays", ErrChangeRefused)
		}
	default:
		return m, fmt.Errorf("%w: change %d does not fit replica %s", ErrChangeRefused, c.Kind, c.ID)
	}
	slices.Sort(next.Voters)
	slices.Sort(next.Learners)
	return next, nil
}

// MessageKind tells messages apart.
type MessageKind uint8

// Kinds of message. Values are part of the protocol and never reused.
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

// Message passes between replicas. The meaning of Index and LogTerm depends on
// Kind: for votes the last entry, for appends the entry before Entries, for
// replies the last matching or, with Reject, the refused position. Replies to
// votes carry a committed entry in Commit and LogTerm.
type Message struct {
	Kind     MessageKind    `cbor:"1,keyasint"`
	From     string         `cbor:"2,keyasint"`
	To       string         `cbor:"3,keyasint"`
	Term     uint64         `cbor:"4,keyasint"`
	Index    uint64         `cbor:"5,keyasint,omitempty"`
	LogTerm  uint64         `cbor:"6,keyasint,omitempty"`
	Commit   uint64         `cbor:"7,keyasint,omitempty"`
	Entries  []Entry        `cbor:"8,keyasint,omitempty"`
	Reject   bool           `cbor:"9,keyasint,omitempty"`
	Hint     uint64         `cbor:"10,keyasint,omitempty"` // with Reject: where to try next
	Round    uint64         `cbor:"11,keyasint,omitempty"` // heartbeat round, for read index
	Snapshot *SnapshotChunk `cbor:"12,keyasint,omitempty"`
	Forced   bool           `cbor:"13,keyasint,omitempty"` // vote asked for by the leader itself
}

// SnapshotChunk is a piece of a snapshot, sent in order.
type SnapshotChunk struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Offset     uint64     `cbor:"4,keyasint"`
	Total      uint64     `cbor:"5,keyasint"`
	Data       []byte     `cbor:"6,keyasint"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// HardState is what a replica must remember besides its log.
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

// EncodeMessage encodes m.
func EncodeMessage(m Message) ([]byte, error) { return encMode.Marshal(m) }

// DecodeMessage decodes and checks a message.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := decMode.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return m, m.check()
}

// check refuses messages that no correct replica sends, so that Step needs no
// bounds checks of its own.
func (m Message) check() error {
	if m.Kind < MsgPreVote || m.Kind > MsgTimeoutNow || m.From == "" || m.To == "" || m.Term == 0 {
		return fmt.Errorf("%w: kind %d from %q to %q term %d", ErrMalformed, m.Kind, m.From, m.To, m.Term)
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term == 0 || e.Term > m.Term {
			return fmt.Errorf("%w: entry %d does not follow %d", ErrMalformed, e.Index, m.Index)
		}
		if e.Kind < EntryCommand || e.Kind > EntryMembership {
			return fmt.Errorf("%w: entry %d has kind %d", ErrMalformed, e.Index, e.Kind)
		}
		if e.Kind == EntryMembership {
			if _, err := decodeMembership(e); err != nil {
				return err
			}
		}
	}
	if (m.Kind == MsgSnapshot) != (m.Snapshot != nil) {
		return fmt.Errorf("%w: snapshot message without chunk", ErrMalformed)
	}
	if c := m.Snapshot; c != nil {
		if c.Index == 0 || c.Term == 0 || c.Term > m.Term || len(c.Membership.Voters) == 0 ||
			c.Offset > c.Total || uint64(len(c.Data)) > c.Total-c.Offset {
			return fmt.Errorf("%w: snapshot chunk out of bounds", ErrMalformed)
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
		return m, fmt.Errorf("%w: membership without voters", ErrMalformed)
	}
	m.Index = e.Index
	return m, nil
}
