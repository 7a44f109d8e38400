package stager

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
)

// errStopped is the error of all calls after the process that makes them was killed.
var errStopped = errors.New("process killed")

// steppedEngine calls a function before each call that reaches the engine, which is between any
// two steps of a load.
type steppedEngine struct {
	*fakeEngine
	steps  int
	before func(step int)
	killed bool
	lost   int // the response of this call is lost; zero for none
	// An order is accepted delay steps after it was sent, and without a response.
	delay   int
	delayed func()
	dueAt   int
}

func (e *steppedEngine) step() error {
	e.steps++
	if e.delayed != nil && e.steps >= e.dueAt {
		e.delayed()
		e.delayed = nil
	}
	e.before(e.steps)
	if e.killed {
		return errStopped
	}
	return nil
}

func (e *steppedEngine) answer(err error) error {
	if e.steps == e.lost {
		return errors.New("no response")
	}
	return err
}

func (e *steppedEngine) Report(ctx context.Context, address string) (protocol.Report, error) {
	if err := e.step(); err != nil {
		return protocol.Report{}, err
	}
	return e.fakeEngine.Report(ctx, address)
}

func (e *steppedEngine) Load(ctx context.Context, address, model string, version, expected uint64) error {
	if err := e.step(); err != nil {
		return err
	}
	if e.loaded == version {
		return nil // in effect already
	}
	if e.delay > 0 && e.delayed == nil {
		e.dueAt = e.steps + e.delay
		e.delayed = func() { _ = e.fakeEngine.Load(ctx, address, model, version, expected) }
		e.delay = 0
		return errors.New("no response")
	}
	return e.answer(e.fakeEngine.Load(ctx, address, model, version, expected))
}

func (e *steppedEngine) Stage(ctx context.Context, address, model string, piece int, data []byte) error {
	if err := e.step(); err != nil {
		return err
	}
	return e.answer(e.fakeEngine.Stage(ctx, address, model, piece, data))
}

func (e *steppedEngine) Staged(ctx context.Context, address, model string, piece int, limit int64) ([]byte, error) {
	if err := e.step(); err != nil {
		return nil, err
	}
	return e.fakeEngine.Staged(ctx, address, model, piece, limit)
}

// stagerOf returns a stager that has copies of both versions, the second of which was named.
func stagerOf(t *testing.T, e *fakeEngine, stepped *steppedEngine) *Daemon {
	d := testDaemon(e)
	d.named = func(string) []fleetclient.NamedVersion {
		return []fleetclient.NamedVersion{{Version: 1}, {Version: 2}}
	}
	for version := range uint64(2) {
		c := newCopy(listOf(version + 1))
		for i := range testPieces {
			is.New(t).NoErr(c.put(i, pieceOf(version+1, i)))
		}
		d.store.add(c)
	}
	d.opts.Engine = stepped
	return d
}

// spoil corrupts a staged piece.
func (e *fakeEngine) spoil(piece int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[piece] = []byte("turned bad")
}

// loadWithFaults brings version 2 to an engine that holds version 1 and checks after each step
// of the stager that it trusts no weights that the engine took from corrupted pieces. A piece
// turns bad before the step spoiltAt; before killedAt, the stager ends and starts again; the
// response of the call lostAt is lost; the engine accepts the first order delay steps late. It
// returns the number of steps.
func loadWithFaults(t *testing.T, spoiltAt, killedAt, lostAt, delay int) (steps int) {
	is := is.New(t)
	e := newFakeEngine()
	e.loaded = 1
	for i := range testPieces {
		e.staged[i] = pieceOf(1, i)
	}
	stepped := &steppedEngine{fakeEngine: e, lost: lostAt, delay: delay}
	stepped.before = func(step int) {
		if step == spoiltAt {
			e.spoil(step % testPieces)
		}
		stepped.killed = stepped.killed || step == killedAt
	}
	d := stagerOf(t, e, stepped)
	for range 12 {
		_, _ = d.reconcile(t.Context(), version2)
		if stepped.killed {
			stepped.killed = false
			d = stagerOf(t, e, stepped)
		}
		report, err := e.Report(t.Context(), "")
		is.NoErr(err)
		if report.Orders > 0 && d.trusts(report) && !allTrue(e.orderedWith) {
			t.Fatalf("version %d is trusted, and was loaded from corrupted pieces (spoilt %d, killed %d, lost %d, delay %d)", e.loaded, spoiltAt, killedAt, lostAt, delay)
		}
		if e.loaded == 2 && d.trusts(report) {
			return stepped.steps
		}
	}
	t.Fatalf("version 2 is not in service (spoilt %d, killed %d, lost %d, delay %d)", spoiltAt, killedAt, lostAt, delay)
	return 0
}

// Guards against answers from corrupted weights after the stager stood still: pieces that were
// verified before the order turn bad before the engine takes them. The piece turns bad between
// any two steps, and the stager is also killed, or a response lost, at any step; orders are also accepted late.
func TestLoadIsVerifiedAfterOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steps := loadWithFaults(t, 0, 0, 0, 0)
		for spoilt := 1; spoilt <= steps; spoilt++ {
			for other := range steps {
				loadWithFaults(t, spoilt, other, 0, 0)
				loadWithFaults(t, spoilt, 0, other, 0)
			}
		}
		for spoilt := 1; spoilt <= 2*steps; spoilt++ {
			for delay := 1; delay <= steps; delay++ {
				loadWithFaults(t, spoilt, 0, 0, delay)
			}
		}
	})
}

// Guards against weights that stay out of service because they cannot be verified and no other
// version is held here: the version before must be fetched.
func TestReplacementIsFetched(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine()
	stepped := &steppedEngine{fakeEngine: e, before: func(int) {}}
	d := stagerOf(t, e, stepped)
	is.NoErr(d.load(t.Context(), version2, d.store.get(2)))
	d.verified = verifiedLoads{} // as after a restart
	d.store.drop(1)
	e.spoil(3)
	_, err := d.reconcile(t.Context(), version2)
	is.True(errors.Is(err, errLoadNotVerified))
	steps := stepped.steps
	_, err = d.reconcile(t.Context(), version2)
	is.NoErr(err)
	is.Equal(stepped.steps, steps+1) // a report, and the pieces are not read again
	is.Equal(d.replacement.Load(), uint64(1))
}

// Guards against weights that are trusted because an earlier order was answered as already in
// effect, and its verification counts for the next order.
func TestOrderInEffectVerifiesNoFurtherOne(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine()
	stepped := &steppedEngine{fakeEngine: e, before: func(int) {}}
	d := stagerOf(t, e, stepped)
	is.NoErr(d.load(t.Context(), version2, d.store.get(2)))
	is.NoErr(d.load(t.Context(), version2, d.store.get(2))) // in effect already
	is.Equal(e.orders, uint64(1))
	_, err := d.observe(t.Context())
	is.NoErr(err)
	e.spoil(3)
	is.NoErr(e.Load(t.Context(), "", "m", 3, 1)) // an order that nobody verified
	report, err := d.observe(t.Context())
	is.NoErr(err)
	is.True(!d.trusts(report))
}
