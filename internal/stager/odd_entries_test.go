package stager

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against odd datagrams of other writers that end a stager or keep a transfer from its
// end.
func TestOddDatagramsLeaveTransfersWhole(t *testing.T) {
	const most, least = 1<<63 - 1, -1 << 63
	for name, m := range map[string]peerMessage{
		"pieces below 0":  {Pieces: least, Request: &requestMessage{FreeSlots: 6}},
		"too many pieces": {Pieces: most, Request: &requestMessage{FreeSlots: 6}},
		"other pieces":    {Pieces: 1, Request: &requestMessage{Have: []uint64{^uint64(0)}, FreeSlots: most}},
		"most pieces":     {Pieces: maxPieces, Region: &regionMessage{Region: "south", Have: []uint64{^uint64(0)}}},
		"slots below 0":   {Pieces: testPieces, Request: &requestMessage{FreeSlots: least, LastReply: ^uint64(0)}},
		"huge slots":      {Pieces: testPieces, Request: &requestMessage{FreeSlots: most, Have: make([]uint64, 1<<10)}},
		"piece out of range": {Pieces: testPieces, Request: &requestMessage{
			Fetching: []fetchMessage{{Piece: least}, {Piece: testPieces, From: "x"}, {Piece: most}}, Failed: []fetchMessage{{Piece: -1, From: "x"}},
		}},
		"holders out of range": {Pieces: testPieces, Region: &regionMessage{
			Region: "south", Have: []uint64{0}, Holders: map[int][]string{least: {"x"}, most: {"x"}, 3: nil}, FetchesBySource: map[string]int{"x": least, "side-0:80": least},
		}},
		"empty region":         {Pieces: testPieces, Region: &regionMessage{Have: nil, FetchingFromOrigin: []uint64{^uint64(0), 1, 2}}},
		"reply out of range":   {Pieces: maxPieces, Reply: &replyMessage{Number: ^uint64(0), Fetches: []fetchMessage{{Piece: maxPieces - 1}, {Piece: -1}}}},
		"nothing set":          {Pieces: testPieces},
		"highest version":      {Version: ^uint64(0), Pieces: testPieces, Request: &requestMessage{FreeSlots: 6}},
		"address of no one":    {Pieces: testPieces, Request: &requestMessage{Have: []uint64{^uint64(0)}}},
		"origin fetches of it": {Pieces: testPieces, Region: &regionMessage{Region: "south", Have: []uint64{0}, FetchingFromOrigin: []uint64{0}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newStagers(t, 6)
				if m.Version == 0 {
					m.Version = version2.version
				}
				m.Service, m.From = "quote", "10.0.0.99:65535"
				var odd sync.WaitGroup
				odd.Go(func() {
					for range 3 {
						time.Sleep(30 * time.Millisecond) // during the transfer
						for _, d := range s.list {
							d.receive(m)
						}
					}
				})
				began := time.Now()
				s.fetch()
				is.True(time.Since(began) < 3*time.Second)
				odd.Wait()
				time.Sleep(time.Second) // the last datagrams arrive
			})
		})
	}
}

// Guards against a datagram with another number of pieces that replaces the tracker of a
// version by an empty one: the pieces in progress were fetched from the origin again.
func TestOddPieceCountKeepsTracker(t *testing.T) {
	is := is.New(t)
	d := testDaemon(newFakeEngine())
	d.store.add(newCopy(listOf(2)))
	request := func(from string, pieces int) {
		d.receive(peerMessage{From: from, Service: "quote", Version: 2, Pieces: pieces, Request: &requestMessage{Have: []uint64{1}, FreeSlots: 1 << 40}})
	}
	request("10.0.0.1:1", testPieces)
	known, _ := d.tracking[2].InstanceCounts()
	is.Equal(known, 1)
	for _, pieces := range []int{1, testPieces - 1, testPieces + 1, maxPieces} {
		request("10.0.0.99:1", pieces)
		is.Equal(d.tracking[2].pieces, testPieces)
		known, _ = d.tracking[2].InstanceCounts()
		is.Equal(known, 1)
	}
}

// Guards against a stager that is assigned more fetches than one ever starts, which no other
// stager then gets.
func TestFreeSlotsOfRequestAreBounded(t *testing.T) {
	is := is.New(t)
	for stated, want := range map[int]int{-1 << 63: 0, -1: 0, 0: 0, 1: 1, parallelFetches: parallelFetches, 1<<63 - 1: parallelFetches} {
		m := requestMessage{FreeSlots: stated}
		is.Equal(m.request("10.0.0.1:1", testPieces).FreeSlots, want)
	}
}
