package wire

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/membership"
	"github.com/rhubarbhill/rhubarbhill/release"
)

func sampleMessages() []Message {
	catalogue := release.NewCatalogue()
	catalogue.Models["quote"] = release.Model{Name: "quote", Version: "1", Role: "quote"}
	return []Message{
		Announce{Endpoint: "e1", Incarnation: 1, Sequence: 2, Kind: KindEngine, Sets: []LoadedSet{{Model: "quote"}}},
		ConfirmRequest{Mark: 7},
		ConfirmReply{Mark: 7, Revision: 3, Voters: []string{"a", "b"}, Addresses: map[string]string{"a": "127.0.0.1:1"}},
		Catalogue{Revision: 1, Full: &catalogue},
		Members{Epoch: 1, Version: 2, Updated: []Announce{{Endpoint: "e1"}}},
		KeepAlive{Base: 1, Sequence: 2, InFlight: 3},
		FollowLoads{Endpoints: []string{"e1"}},
		Loads{Changed: []Load{{Endpoint: "e1", Incarnation: 1, Sequence: 2, InFlight: 3}}, Check: true, Silent: []string{"e2"}},
		Propose{Command: []byte{1}},
		Error{Code: "bad", Detail: "detail"},
	}
}

// A frame must keep the message type and the IDs, and equal messages must encode to
// equal bytes: processes compare digests of encoded data.
func TestEncodeRoundTrip(t *testing.T) {
	for _, msg := range sampleMessages() {
		is := is.New(t)
		frame, err := Encode(msg, 5, 9)
		is.NoErr(err)
		env, err := Decode(frame)
		is.NoErr(err)
		is.Equal(env.Type, msg.MessageType())
		is.Equal(env.ID, uint64(5))
		is.Equal(env.ReplyTo, uint64(9))
		again, err := Encode(msg, 5, 9)
		is.NoErr(err)
		is.True(bytes.Equal(frame, again))
	}
}

// A malformed frame from a faulty peer must not crash the decoder or make it
// allocate without bound, nor crash the code that applies the decoded message.
func FuzzDecode(f *testing.F) {
	for _, msg := range sampleMessages() {
		frame, err := Encode(msg, 1, 0)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, frame []byte) {
		env, err := Decode(frame)
		if err != nil {
			return
		}
		for _, out := range []any{
			&Error{}, &Announce{}, &KeepAlive{}, &AnnounceReply{}, &ConfirmRequest{}, &ConfirmReply{}, &Catalogue{}, &Members{},
			&Raft{}, &Propose{}, &ProposeReply{}, &HaveRequest{}, &Have{}, &Subscribe{}, &FollowLoads{}, &Loads{},
			&FollowLoads{}, &Loads{}, &KeepAlive{},
		} {
			_ = env.Into(out)
		}
		var c Catalogue
		if env.Into(&c) == nil && c.Delta != nil {
			base := release.Catalogue{Revision: c.Delta.From}
			_, _ = c.Delta.Apply(base)
		}
		var m Members
		if env.Into(&m) == nil {
			view := membership.NewView[Announce](membership.ViewConfig{})
			view.Apply("a", m.Update(), time.Unix(0, 0))
		}
	})
}
