package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// Type identifies the kind of a message.
type Type uint8

// Message types. Values are part of the protocol and never reused.
const (
	TypeError          Type = 1
	TypeAnnounce       Type = 2
	TypeConfirmRequest Type = 3
	TypeConfirmReply   Type = 4
	TypeCatalogue      Type = 5
	TypeMembers        Type = 6
	TypeRaft           Type = 7
	TypePropose        Type = 8
	TypeProposeReply   Type = 9
	TypeHaveRequest    Type = 10
	TypeHave           Type = 11
	TypeSubscribe      Type = 12
	TypeAnnounceReply  Type = 13
	TypeFollowLoads    Type = 14
	TypeLoads          Type = 15
	TypeKeepAlive      Type = 16
	TypeProcess        Type = 17
	TypeFleet          Type = 18
	TypeServers        Type = 19
	TypeRoutingRequest Type = 20
	TypeRouting        Type = 21
	TypeShare          Type = 22
	TypeShareAck       Type = 23
	TypeWeightsRequest Type = 24
	TypeWeights        Type = 25

	// TypeCount is one more than the highest type.
	TypeCount = 26
)

var typeNames = [TypeCount]string{
	TypeError: "error", TypeAnnounce: "announce", TypeConfirmRequest: "confirm_request",
	TypeConfirmReply: "confirm_reply", TypeCatalogue: "catalogue", TypeMembers: "members", TypeRaft: "raft",
	TypePropose: "propose", TypeProposeReply: "propose_reply", TypeHaveRequest: "have_request", TypeHave: "have",
	TypeSubscribe: "subscribe", TypeAnnounceReply: "announce_reply", TypeFollowLoads: "follow_loads", TypeLoads: "loads", TypeKeepAlive: "keep_alive",
	TypeProcess: "process", TypeFleet: "fleet", TypeServers: "servers", TypeRoutingRequest: "routing_request", TypeRouting: "routing", TypeShare: "share", TypeShareAck: "share_ack",
	TypeWeightsRequest: "weights_request", TypeWeights: "weights",
}

// String returns the name of the message type, or "unknown".
func (t Type) String() string {
	if int(t) < len(typeNames) {
		return typeNames[t]
	}
	return "unknown"
}

// Limits on decoded input. A frame above MaxFrameBytes closes the session.
const (
	MaxFrameBytes    = 8 << 20
	maxNestedLevels  = 16
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 16
)

// Message is a value that can be the body of an Envelope.
type Message interface {
	MessageType() Type
}

// Envelope frames one message. ID is non-zero in a request; ReplyTo is the ID of
// the request that a reply answers.
type Envelope struct {
	Type    Type            `cbor:"1,keyasint"`
	ID      uint64          `cbor:"2,keyasint,omitempty"`
	ReplyTo uint64          `cbor:"3,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// Error is the reply to a request that the receiver could not handle.
type Error struct {
	Code   string `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
}

// MessageType implements Message.
func (Error) MessageType() Type { return TypeError }

// Error implements the error interface.
func (e Error) Error() string { return e.Code + ": " + e.Detail }

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes v as canonical CBOR: equal values give equal bytes.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, oops.In("wire").Wrap(err)
}

// Unmarshal decodes data into v. It fails if data exceeds the limits on nesting,
// array elements and map pairs, or repeats a map key.
func Unmarshal(data []byte, v any) error {
	return oops.In("wire").Wrap(decMode.Unmarshal(data, v))
}

// Encode returns the frame of msg: an encoded Envelope with the given ID and
// ReplyTo.
func Encode(msg Message, id, replyTo uint64) ([]byte, error) {
	body, err := Marshal(msg)
	if err != nil {
		return nil, err
	}
	return Marshal(Envelope{Type: msg.MessageType(), ID: id, ReplyTo: replyTo, Body: body})
}

// Decode decodes the Envelope of one frame. Its body stays encoded: see Into.
func Decode(frame []byte) (Envelope, error) {
	var env Envelope
	err := Unmarshal(frame, &env)
	return env, err
}

// Into decodes the envelope's body into out.
func (e Envelope) Into(out any) error {
	return Unmarshal(e.Body, out)
}
