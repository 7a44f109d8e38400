package placement

import (
	"cmp"
	"slices"
	"time"
)

// WaitQueue is a queue of requests without a slot, ordered by priority and deadline. It absorbs
// short bursts; callers remove a request whose deadline has passed.
type WaitQueue[T comparable] struct{ requests []queued[T] }

type queued[T comparable] struct {
	priority int
	deadline time.Time
	request  T
}

func (w queued[T]) compare(o queued[T]) int {
	return cmp.Or(cmp.Compare(w.priority, o.priority), w.deadline.Compare(o.deadline))
}

// Len returns the number of queued requests.
func (l *WaitQueue[T]) Len() int { return len(l.requests) }

// Counts returns the number of queued requests by priority, in order of service.
func (l *WaitQueue[T]) Counts() []RankCount {
	var list []RankCount
	for _, w := range l.requests {
		if n := len(list); n > 0 && list[n-1].Rank == w.priority {
			list[n-1].Waiting++
			continue
		}
		list = append(list, RankCount{Class: "any", Rank: w.priority, Waiting: 1})
	}
	return list
}

// Ahead returns the number of queued requests that come before one with the given priority, of
// any deadline.
func (l *WaitQueue[T]) Ahead(priority int) int {
	at, _ := slices.BinarySearchFunc(l.requests, priority+1, func(w queued[T], p int) int { return cmp.Compare(w.priority, p) })
	return at
}

// ServedWithin reports whether a request added now would get a slot within maxWait, if
// one slot becomes free per interval.
func (l *WaitQueue[T]) ServedWithin(priority int, maxWait, interval time.Duration) bool {
	return maxWait > 0 && interval*time.Duration(l.Ahead(priority)+1) <= maxWait
}

// Push adds a request with the given priority and deadline.
func (l *WaitQueue[T]) Push(priority int, deadline time.Time, request T) {
	w := queued[T]{priority, deadline, request}
	at, _ := slices.BinarySearchFunc(l.requests, w, queued[T].compare)
	l.requests = slices.Insert(l.requests, at, w)
}

// Pop removes and returns the first request and its priority.
func (l *WaitQueue[T]) Pop() (request T, priority int, ok bool) {
	if len(l.requests) == 0 {
		return request, 0, false
	}
	first := l.requests[0]
	l.requests = l.requests[1:]
	return first.request, first.priority, true
}

// Remove removes a request, if it is queued.
func (l *WaitQueue[T]) Remove(request T) {
	l.requests = slices.DeleteFunc(l.requests, func(w queued[T]) bool { return w.request == request })
}
