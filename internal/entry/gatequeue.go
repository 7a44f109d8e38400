package entry

import (
	"slices"
	"sync"
)

// gateQueue is a FIFO queue per pool of admitted calls that found every gate of
// the pool full. Entries learn each other's usage with a delay and can together
// admit more calls than there are slots. Without the queue, calls admitted later
// took the slots that became free, and the earliest ones were refused after the
// whole queue wait.
type gateQueue struct {
	mu    sync.Mutex
	pools map[string][]*gateWaiter
}

type gateWaiter struct {
	call *call
	wake chan struct{}
}

func newGateQueue() *gateQueue { return &gateQueue{pools: map[string][]*gateWaiter{}} }

// queueable reports whether a call joins the queue. A call that is pinned to a
// weights set or must avoid endpoints could block others that can run elsewhere.
func (c *call) queueable() bool { return c.weightsSet == "" && len(c.avoid) == 0 && !c.exclusive }

// mayStart reports whether a call may try to start: it is first in the queue of
// its pool, the queue is empty, or the call does not queue.
func (q *gateQueue) mayStart(c *call) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.pools[c.pool]
	return !c.queueable() || len(queue) == 0 || queue[0].call == c
}

// join appends a call to the queue, unless it is already queued, and returns the
// channel that signals when to try again. It returns nil for calls that do not
// queue.
func (q *gateQueue) join(c *call) <-chan struct{} {
	if !c.queueable() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.pools[c.pool]
	if i := queueIndex(queue, c); i >= 0 {
		return queue[i].wake
	}
	w := &gateWaiter{call: c, wake: make(chan struct{}, 1)}
	q.pools[c.pool] = append(queue, w)
	return w.wake
}

func queueIndex(queue []*gateWaiter, c *call) int {
	return slices.IndexFunc(queue, func(w *gateWaiter) bool { return w.call == c })
}

// leave removes a call from the queue, after its start or its final error.
func (q *gateQueue) leave(c *call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.pools[c.pool]
	i := queueIndex(queue, c)
	if i < 0 {
		return
	}
	if queue = slices.Delete(queue, i, i+1); len(queue) == 0 {
		delete(q.pools, c.pool)
		return
	}
	q.pools[c.pool] = queue
	signalWaiter(queue[0])
}

// wakeFirst signals the first call of each queue after an attempt ended.
func (q *gateQueue) wakeFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, queue := range q.pools {
		signalWaiter(queue[0])
	}
}

func signalWaiter(w *gateWaiter) {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
