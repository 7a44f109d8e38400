package placement

import (
	"slices"
	"time"
)

// Line holds requests that wait for a slot, those that can wait the least first.
// It answers short bursts: what does not get a slot within its time leaves.
type Line[T comparable] struct{ waiting []waiter[T] }

type waiter[T comparable] struct {
	until time.Time
	who   T
}

// Len is the number of requests that wait.
func (l *Line[T]) Len() int { return len(l.waiting) }

// Worth reports whether a request that can wait so long gets a slot in time, when
// one becomes free each interval.
func (l *Line[T]) Worth(patience, interval time.Duration) bool {
	return patience > 0 && interval*time.Duration(len(l.waiting)+1) <= patience
}

// Join adds a request that waits until the given time.
func (l *Line[T]) Join(until time.Time, who T) {
	at, _ := slices.BinarySearchFunc(l.waiting, until, func(w waiter[T], t time.Time) int { return w.until.Compare(t) })
	l.waiting = slices.Insert(l.waiting, at, waiter[T]{until, who})
}

// First takes the first request out of the line.
func (l *Line[T]) First() (T, bool) {
	if len(l.waiting) == 0 {
		var none T
		return none, false
	}
	first := l.waiting[0]
	l.waiting = l.waiting[1:]
	return first.who, true
}

// Leave takes a request out of the line.
func (l *Line[T]) Leave(who T) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiter[T]) bool { return w.who == who })
}
