package placement

import (
	"slices"
	"time"
)

// WaitQueue is a queue of requests without a slot, earliest deadline first. It absorbs
// short bursts; callers remove a request whose deadline has passed.
type WaitQueue[T comparable] struct{ waiting []waiter[T] }

type waiter[T comparable] struct {
	until time.Time
	who   T
}

// Len returns the number of queued requests.
func (l *WaitQueue[T]) Len() int { return len(l.waiting) }

// ServedWithin reports whether a request added now would get a slot within patience, if one
// slot becomes free per interval.
func (l *WaitQueue[T]) ServedWithin(patience, interval time.Duration) bool {
	return patience > 0 && interval*time.Duration(len(l.waiting)+1) <= patience
}

// Push adds a request with the given deadline.
func (l *WaitQueue[T]) Push(until time.Time, who T) {
	at, _ := slices.BinarySearchFunc(l.waiting, until, func(w waiter[T], t time.Time) int { return w.until.Compare(t) })
	l.waiting = slices.Insert(l.waiting, at, waiter[T]{until, who})
}

// Pop removes and returns the request with the earliest deadline.
func (l *WaitQueue[T]) Pop() (T, bool) {
	if len(l.waiting) == 0 {
		var none T
		return none, false
	}
	first := l.waiting[0]
	l.waiting = l.waiting[1:]
	return first.who, true
}

// Remove removes a request, if it is queued.
func (l *WaitQueue[T]) Remove(who T) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiter[T]) bool { return w.who == who })
}
