package stager

import (
	"github.com/rhubarbhill/rhubarbhill/swarm"
	"github.com/rhubarbhill/rhubarbhill/tracker"
)

// peerMessage is a datagram between two stagers. Exactly one of Request, Reply and Region is
// set.
type peerMessage struct {
	// From is the address of the sender, at which others fetch pieces from it.
	From    string          `cbor:"1,keyasint"`
	Service string          `cbor:"2,keyasint"`
	Version uint64          `cbor:"3,keyasint"`
	Pieces  int             `cbor:"4,keyasint"`
	Request *requestMessage `cbor:"5,keyasint,omitempty"`
	Reply   *replyMessage   `cbor:"6,keyasint,omitempty"`
	Region  *regionMessage  `cbor:"7,keyasint,omitempty"`
}

// fetchMessage is the wire format of tracker.Fetch.
type fetchMessage struct {
	_     struct{} `cbor:",toarray"`
	Piece int
	From  string
}

// requestMessage is the wire format of tracker.Request.
type requestMessage struct {
	Have      []uint64       `cbor:"1,keyasint"`
	Fetching  []fetchMessage `cbor:"2,keyasint,omitempty"`
	Failed    []fetchMessage `cbor:"3,keyasint,omitempty"`
	FreeSlots int            `cbor:"4,keyasint,omitempty"`
	LastReply uint64         `cbor:"5,keyasint,omitempty"`
}

// replyMessage is the wire format of tracker.Reply.
type replyMessage struct {
	Number  uint64         `cbor:"1,keyasint"`
	Fetches []fetchMessage `cbor:"2,keyasint,omitempty"`
}

// regionMessage is the wire format of tracker.RegionState.
type regionMessage struct {
	Region             string           `cbor:"1,keyasint"`
	Have               []uint64         `cbor:"2,keyasint"`
	FetchingFromOrigin []uint64         `cbor:"3,keyasint"`
	Holders            map[int][]string `cbor:"4,keyasint,omitempty"`
	FetchesBySource    map[string]int   `cbor:"5,keyasint,omitempty"`
}

func fetchMessages(list []tracker.Fetch) []fetchMessage {
	var messages []fetchMessage
	for _, f := range list {
		messages = append(messages, fetchMessage{Piece: f.Piece, From: f.From})
	}
	return messages
}

// fetches decodes a list of fetches and drops pieces that the version does not have.
func fetches(messages []fetchMessage, pieces int) []tracker.Fetch {
	var list []tracker.Fetch
	for _, m := range messages {
		if m.Piece >= 0 && m.Piece < pieces {
			list = append(list, tracker.Fetch{Piece: m.Piece, From: m.From})
		}
	}
	return list
}

func (m *requestMessage) request(from string, pieces int) tracker.Request {
	return tracker.Request{
		Address: from, Have: bitmapOf(m.Have, pieces), Fetching: fetches(m.Fetching, pieces), Failed: fetches(m.Failed, pieces), FreeSlots: max(0, min(m.FreeSlots, parallelFetches)), LastReply: m.LastReply,
	}
}

// bitmapOf returns a bitmap of the given size from the words that another process sent,
// which may have any length.
func bitmapOf(words []uint64, pieces int) swarm.Bitmap {
	b := swarm.NewBitmap(pieces)
	copy(b, words)
	return b
}

func (m *regionMessage) state(pieces int) tracker.RegionState {
	s := tracker.RegionState{Have: bitmapOf(m.Have, pieces), FetchingFromOrigin: bitmapOf(m.FetchingFromOrigin, pieces), Holders: map[int][]string{}, FetchesBySource: m.FetchesBySource}
	for piece, holders := range m.Holders {
		if piece >= 0 && piece < pieces {
			s.Holders[piece] = holders
		}
	}
	return s
}
