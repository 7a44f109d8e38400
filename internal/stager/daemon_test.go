package stager

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
)

const (
	testPieces = 8
	testLayers = 4
)

func pieceOf(version uint64, i int) []byte {
	return fmt.Appendf(nil, "piece %d of version %d", i, version)
}

func listOf(version uint64) protocol.PieceList {
	list := protocol.PieceList{Model: "m", Version: version}
	for i := range testPieces {
		sum := sha256.Sum256(pieceOf(version, i))
		list.Digests = append(list.Digests, hex.EncodeToString(sum[:]))
	}
	return list
}

// fakeEngine is an engine with a staging area, and the origin.
type fakeEngine struct {
	mu     sync.Mutex
	staged map[int][]byte
	loaded uint64
	layers int // of the loaded version
	orders uint64
	// loading is true while requests on given up weights are in progress.
	loading bool
	// orderedWith tells for each piece whether it was staged correctly when the last load was
	// ordered.
	orderedWith []bool
	expected    uint64
	// corruptOrigin changes the data that the origin sends. corruptStaged may change the
	// staged pieces after a write.
	corruptOrigin func(piece int, data []byte) []byte
	corruptStaged func(piece int)
	list          func(version uint64) protocol.PieceList
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		staged: map[int][]byte{}, layers: testLayers, list: listOf,
		corruptOrigin: func(_ int, data []byte) []byte { return data }, corruptStaged: func(int) {},
	}
}

func (e *fakeEngine) Report(context.Context, string) (protocol.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := protocol.Report{Layers: map[string][]protocol.ServedLayers{}, Orders: e.orders, Started: 1, Loading: e.loading}
	if e.loaded > 0 {
		r.Layers["m"] = []protocol.ServedLayers{{From: 0, To: e.layers, Version: e.loaded}}
	}
	return r, nil
}

func (e *fakeEngine) Unload(_ context.Context, _, _ string, version, expected uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if expected != e.orders || version != e.loaded || e.loading {
		return errors.New("the order does not fit the state")
	}
	e.orders++
	e.layers = 1
	return nil
}

func (e *fakeEngine) Load(_ context.Context, _, _ string, version, expected uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expected = expected
	if expected != e.orders || e.loading {
		return errors.New("another order came first")
	}
	e.orders++
	e.loaded, e.layers = version, testLayers
	e.orderedWith = nil
	for i := range testPieces {
		e.orderedWith = append(e.orderedWith, string(e.staged[i]) == string(pieceOf(version, i)))
	}
	return nil
}

func (e *fakeEngine) Stage(_ context.Context, _, _ string, piece int, data []byte) error {
	e.mu.Lock()
	e.staged[piece] = append([]byte{}, data...)
	e.mu.Unlock()
	e.corruptStaged(piece)
	return nil
}

func (e *fakeEngine) Staged(_ context.Context, _, _ string, piece int, _ int64) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.staged[piece]
	if !ok {
		return nil, errors.New("404")
	}
	return data, nil
}

func (e *fakeEngine) Pieces(_ context.Context, _, _ string, version uint64) (protocol.PieceList, error) {
	return e.list(version), nil
}

func (e *fakeEngine) Piece(_ context.Context, _, _ string, version uint64, piece int, _ int64) ([]byte, error) {
	return e.corruptOrigin(piece, pieceOf(version, piece)), nil
}

func testDaemon(e *fakeEngine) *Daemon {
	s := DefaultSettings()
	s.Instance, s.Service, s.Region, s.Engine, s.PeerListen = "side-1", "quote", "r", "127.0.0.1:1", "127.0.0.1:2"
	return New(s, Options{Token: auth.NewToken("a-token-of-processes"), Engine: e}, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
}

var version2 = target{model: "m", version: 2, layers: testLayers, pieces: testPieces, origin: "origin:1"}

// fetchAndLoad fetches a version and loads it, without a connection to the fleet.
func fetchAndLoad(ctx context.Context, d *Daemon, t target) error {
	c, err := d.fetch(ctx, t)
	if err != nil {
		return err
	}
	return d.load(ctx, t, c)
}

func allTrue(list []bool) bool {
	for _, ok := range list {
		if !ok {
			return false
		}
	}
	return len(list) == testPieces
}

// Guards against loading corrupted pieces: a piece that does not match its digest must be
// fetched again, and staged pieces must be verified.
func TestOnlyVerifiedPiecesAreLoaded(t *testing.T) {
	for name, setup := range map[string]func(e *fakeEngine){
		"no corruption": func(*fakeEngine) {},
		"origin sends a wrong piece three times": func(e *fakeEngine) {
			wrong := 0
			e.corruptOrigin = func(piece int, data []byte) []byte {
				if piece == 3 && wrong < 3 {
					wrong++
					return []byte("other bytes")
				}
				return data
			}
		},
		"older pieces are staged": func(e *fakeEngine) {
			for i := range testPieces {
				e.staged[i] = pieceOf(1, i)
			}
		},
		"one piece is staged already, another is corrupted": func(e *fakeEngine) {
			e.staged[0], e.staged[1] = pieceOf(2, 0), []byte("bad")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newFakeEngine()
			setup(e)
			is.NoErr(fetchAndLoad(t.Context(), testDaemon(e), version2))
			is.Equal(e.loaded, uint64(2))
			is.True(allTrue(e.orderedWith))
		})
	}
}

// Guards against ordering a load after a staged piece was corrupted: the load must fail, and
// the next attempt must stage the piece again.
func TestNoLoadAfterStagedPieceIsCorrupted(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine()
	bad := true
	e.corruptStaged = func(piece int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if piece == 5 && bad {
			e.staged[5] = []byte("turned bad")
			bad = false
		}
	}
	d := testDaemon(e)
	is.True(errors.Is(fetchAndLoad(t.Context(), d, version2), errDigest))
	is.Equal(e.orders, uint64(0))
	is.NoErr(fetchAndLoad(t.Context(), d, version2))
	is.True(allTrue(e.orderedWith))
}

// Guards against retrying forever with a wrong list from the origin that no piece matches: the
// list must be fetched again.
func TestWrongListIsFetchedAgain(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine()
	calls := 0
	e.list = func(version uint64) protocol.PieceList {
		calls++
		if calls == 1 {
			list := listOf(9)
			list.Version = version
			return list
		}
		return listOf(version)
	}
	d := testDaemon(e)
	is.True(errors.Is(fetchAndLoad(t.Context(), d, version2), errListMismatch))
	is.Equal(e.orders, uint64(0))
	is.NoErr(fetchAndLoad(t.Context(), d, version2))
	is.True(allTrue(e.orderedWith))
}

// Guards against accepting a list of another model, version or size, or with malformed digests.
func TestCheckList(t *testing.T) {
	for name, change := range map[string]func(l *protocol.PieceList){
		"other model":   func(l *protocol.PieceList) { l.Model = "x" },
		"other version": func(l *protocol.PieceList) { l.Version = 3 },
		"too short":     func(l *protocol.PieceList) { l.Digests = l.Digests[1:] },
		"no digest":     func(l *protocol.PieceList) { l.Digests[2] = "zz" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := listOf(2)
			is.NoErr(checkList(list, version2))
			change(&list)
			is.True(errors.Is(checkList(list, version2), errMalformedList))
		})
	}
}

// Guards against a fetch that continues after its version was replaced.
func TestFetchEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine()
	e.corruptOrigin = func(int, []byte) []byte { return nil }
	d := testDaemon(e)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := d.fetch(ctx, version2)
	is.True(err != nil)
}

// silentEngine takes calls for the staging area and never answers them.
type silentEngine struct{ *fakeEngine }

func (e silentEngine) Staged(ctx context.Context, _, _ string, _ int, _ int64) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (e silentEngine) Stage(ctx context.Context, _, _ string, _ int, _ []byte) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a stager that waits for ever for an engine that takes a call and never
// answers: neither a fetch nor a load may stand still.
func TestSilentEngineStopsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newFakeEngine()
		d := testDaemon(e)
		d.opts.Engine = silentEngine{e}
		began := time.Now()
		c := newCopy(listOf(2))
		is.NoErr(d.adoptStaged(t.Context(), version2, c))
		for i := range testPieces {
			is.NoErr(c.put(i, pieceOf(2, i)))
		}
		is.True(errors.Is(d.load(t.Context(), version2, c), context.DeadlineExceeded))
		is.True(time.Since(began) <= 3*engineTimeout)
	})
}
