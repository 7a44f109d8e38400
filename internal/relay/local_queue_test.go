package relay

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Guards against an urgent request that waits for a free slot at an entry without a broker, only
// because less urgent ones are queued.
func TestUrgentRequestStartsBeforeQueuedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
		d := newDispatcher(1, 100, newSlotCoordinator("entry-1", "near", logger, func(string, peerMessage) {}))
		endpoints := []placement.Endpoint{{ID: "i-0", Incarnation: 1, Address: "i-0", Slots: 2}}
		d.update(routing.Compile(testDocument()), map[string][]placement.Endpoint{"dispatch": endpoints}, 1)
		ctx, cancel := context.WithCancel(t.Context())
		place := func(priority int) (waited time.Duration, refused *refusal) {
			q := &request{ctx: ctx, service: "dispatch", arrived: time.Now(), priority: priority, route: &routing.Route{Objective: 4 * time.Second}}
			_, refused = d.placeLocally(q, placement.Request{Priority: priority})
			return time.Since(q.arrived), refused
		}
		_, refused := place(0)
		is.Equal(refused, nil)
		d.pools["dispatch"].RecordLoad("i-0", 2, 0, time.Now()) // the other slot is used by another entry
		go place(5)
		time.Sleep(400 * time.Millisecond) // the reported load no longer counts
		d.mu.Lock()
		is.Equal(d.pools["dispatch"].queue.Len(), 1)
		d.mu.Unlock()
		waited, refused := place(0)
		is.Equal(refused, nil)
		is.Equal(waited, time.Duration(0))
		cancel()
		synctest.Wait()
	})
}

// localQueue is an entry without a broker in front of one endpoint.
type localQueue struct {
	*dispatcher
	pool *poolState
}

// newLocalQueue returns one with a number of slots, all of which are in use.
func newLocalQueue(slots int) *localQueue {
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	d := newDispatcher(1, 100, newSlotCoordinator("entry-1", "near", logger, func(string, peerMessage) {}))
	endpoints := []placement.Endpoint{{ID: "i-0", Incarnation: 1, Address: "i-0", Slots: slots}}
	d.update(routing.Compile(testDocument()), map[string][]placement.Endpoint{"dispatch": endpoints}, 1)
	for range slots {
		d.pools["dispatch"].Begin("i-0", placement.Prefill{})
	}
	return &localQueue{d, d.pools["dispatch"]}
}

// place places a request and sends the outcome to the channel.
func (l *localQueue) place(ctx context.Context, priority int, refused chan<- *refusal) {
	q := &request{ctx: ctx, service: "dispatch", arrived: time.Now(), priority: priority, route: &routing.Route{Objective: 4 * time.Second}}
	_, r := l.placeLocally(q, placement.Request{Priority: priority})
	refused <- r
}

// releaseSlot ends a request and wakes the next one, which cannot run before mu is unlocked. The
// caller holds mu.
func (l *localQueue) releaseSlot() {
	l.pool.End("i-0", 1, placement.PrefillState{InPrefill: true}, placement.Success, time.Now())
	l.wakeNext(l.pool)
}

// Guards against a new request that takes the slot for which a more urgent one was woken, before
// that one has run.
func TestWokenRequestKeepsItsTurn(t *testing.T) {
	for slots := range 2 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := newLocalQueue(slots + 1)
			ctx, cancel := context.WithCancel(t.Context())
			urgent, other := make(chan *refusal, 1), make(chan *refusal, 1)
			go l.place(ctx, 0, urgent)
			synctest.Wait()
			l.mu.Lock()
			l.releaseSlot()
			go l.place(ctx, 5, other)
			for range 1000 { // both wait for mu
				runtime.Gosched()
			}
			l.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			is.Equal(len(urgent), 1)
			is.Equal(<-urgent, nil)
			is.Equal(len(other), 0)
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against a slot that stays free because the caller of the request that was woken for it
// has left.
func TestTurnOfLeavingCallerIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLocalQueue(2)
		ctx, leave := context.WithCancel(t.Context())
		first, next := make(chan *refusal, 1), make(chan *refusal, 1)
		go l.place(ctx, 0, first)
		synctest.Wait()
		go l.place(t.Context(), 5, next)
		synctest.Wait()
		l.mu.Lock()
		l.releaseSlot()
		leave()
		l.mu.Unlock()
		synctest.Wait()
		is.True(<-first != nil)
		is.Equal(len(next), 1)
		is.Equal(<-next, nil)
	})
}
