package standin

import (
	"container/heap"
	"context"
	"sync"
)

// batch limits the number of requests in a continuous batch. Waiting requests
// are admitted by descending priority, and in order of arrival within one
// priority.
type batch struct {
	mu       sync.Mutex
	capacity int
	running  int
	arrivals uint64
	waiting  waitQueue
}

// waiter is a request that waits for a slot in the batch.
type waiter struct {
	priority int
	arrival  uint64
	admitted chan struct{}
	index    int // position in the heap; -1 after removal
}

func newBatch(capacity int) *batch { return &batch{capacity: max(1, capacity)} }

// acquire waits for a slot in the batch. If it returns nil, the caller must call
// release when the request ends.
func (b *batch) acquire(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.capacity && len(b.waiting) == 0 {
		b.running++
		b.mu.Unlock()
		return nil
	}
	b.arrivals++
	w := &waiter{priority: priority, arrival: b.arrivals, admitted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 { // admitted concurrently with the cancellation
		b.releaseLocked()
	} else {
		heap.Remove(&b.waiting, w.index)
	}
	return ctx.Err()
}

// release frees a slot obtained from acquire.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

// releaseLocked passes the slot to the first waiter, if there is one. The caller
// holds b.mu.
func (b *batch) releaseLocked() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(heap.Pop(&b.waiting).(*waiter).admitted)
}

func (b *batch) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

// waitQueue implements heap.Interface, ordered by descending priority, then by
// arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}
