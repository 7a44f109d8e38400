package placement

import (
	"slices"
	"time"
)

// WaitQueue is a queue of requests without a slot, earliest deadline first. It absorbs
// short bursts; callers remove a request whose deadline has passed.
type WaitQueue[T comparable] struct{ requests []queued[T] }

type queued[T comparable] struct {
	deadline time.Time
	request  T
}

// Len returns the number of queued requests.
func (l *WaitQueue[T]) Len() int { return len(l.requests) }

// ServedWithin reports whether a request added now would get a slot within maxWait, if
// one slot becomes free per interval.
func (l *WaitQueue[T]) ServedWithin(maxWait, interval time.Duration) bool {
	return maxWait > 0 && interval*time.Duration(len(l.requests)+1) <= maxWait
}

// Push adds a request with the given deadline.
func (l *WaitQueue[T]) Push(deadline time.Time, request T) {
	at, _ := slices.BinarySearchFunc(l.requests, deadline, func(w queued[T], t time.Time) int { return w.deadline.Compare(t) })
	l.requests = slices.Insert(l.requests, at, queued[T]{deadline, request})
}

// Pop removes and returns the request with the earliest deadline.
func (l *WaitQueue[T]) Pop() (T, bool) {
	if len(l.requests) == 0 {
		var zero T
		return zero, false
	}
	first := l.requests[0]
	l.requests = l.requests[1:]
	return first.request, true
}

// Remove removes a request, if it is queued.
func (l *WaitQueue[T]) Remove(request T) {
	l.requests = slices.DeleteFunc(l.requests, func(w queued[T]) bool { return w.request == request })
}
