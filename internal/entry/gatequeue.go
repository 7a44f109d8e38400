package entry

import (
	"slices"
	"sync"
)

// gateQueue orders admitted calls that found every gate of their pool full.
// Entries know each other's usage late and can admit more calls together than
// there are slots. Without an order, a call admitted later took each slot that
// came free, and the first ones were refused after the whole queue wait.
type gateQueue struct {
	mu    sync.Mutex
	pools map[string][]*gateWaiter
}

type gateWaiter struct {
	call *call
	wake chan struct{}
}

func newGateQueue() *gateQueue { return &gateQueue{pools: map[string][]*gateWaiter{}} }

// queueable reports whether a call takes part in the order. One that is pinned to
// a weights set or has to avoid endpoints could hold back calls with a choice.
func (c *call) queueable() bool { return c.weightsSet == "" && len(c.avoid) == 0 && !c.exclusive }

// mayStart reports whether no other call of the pool has waited longer.
func (q *gateQueue) mayStart(c *call) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	line := q.pools[c.pool]
	return !c.queueable() || len(line) == 0 || line[0].call == c
}

// join puts a call at the end of the line, unless it stands there already, and
// returns the channel that tells when to try again.
func (q *gateQueue) join(c *call) <-chan struct{} {
	if !c.queueable() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	line := q.pools[c.pool]
	if i := queueIndex(line, c); i >= 0 {
		return line[i].wake
	}
	w := &gateWaiter{call: c, wake: make(chan struct{}, 1)}
	q.pools[c.pool] = append(line, w)
	return w.wake
}

func queueIndex(line []*gateWaiter, c *call) int {
	return slices.IndexFunc(line, func(w *gateWaiter) bool { return w.call == c })
}

// leave takes a call out of the line, after its start or its final answer.
func (q *gateQueue) leave(c *call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	line := q.pools[c.pool]
	i := queueIndex(line, c)
	if i < 0 {
		return
	}
	if line = slices.Delete(line, i, i+1); len(line) == 0 {
		delete(q.pools, c.pool)
		return
	}
	q.pools[c.pool] = line
	signalWaiter(line[0])
}

// wakeFirst lets the first call of each line try again, after an attempt ended.
func (q *gateQueue) wakeFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, line := range q.pools {
		signalWaiter(line[0])
	}
}

func signalWaiter(w *gateWaiter) {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
