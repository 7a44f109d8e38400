package relay

import (
	"context"
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
