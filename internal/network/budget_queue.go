package network

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Budget counts the bytes that a process holds for callers, before they are allocated, and decides
// which bodies get them and which give way. It does no I/O and reads no clock. A nil Budget has no
// limit.
//
// Bodies wait in a queue: complete ones first, which need their bytes to be joined, then the others
// in the order in which they began. Nobody overtakes in it, except that the first steps of bodies
// have a share of their own, see largeBodyShare. A body that has to wait waits once, for all that it
// still needs, so that bytes which become free complete bodies one after another.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// leaving is the part of used that bodies hold which were ended and have not returned it yet.
	leaving  int64
	begun    int64              // bodies so far
	bodies   map[*heldBody]bool // being read, or waiting
	queue    []*heldBody        // in the order in which they get bytes
	reviewed time.Time          // when bodies were last ended
}

// bodyState is what the budget knows of a body.
type bodyState struct {
	number   int64 // order in which bodies began
	bytes    int64 // taken
	complete bool
	leaving  bool // it was ended
	// progress is when the last byte arrived, or earlier if bytes arrive at less than
	// sustainedBodyRate.
	progress time.Time
	length   int64 // announced, or -1
	unused   int64 // taken, but nothing was allocated for it yet
	need     int64 // bytes that it waits for; 0 while it does not
	wanted   int64 // bytes that it uses once it goes on; 0 while it does not wait
	since    time.Time
	waited   time.Duration // for the budget, without the current wait
	changed  chan struct{} // signals a decision
}

// decision is what becomes of a body that waits.
type decision int

const (
	undecided decision = iota
	granted
	refused
)

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, bodies: map[*heldBody]bool{}}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Take takes n bytes and reports whether there were as many.
func (b *Budget) Take(n int64) bool { return b.take(n, largeBodyShare) }

// Release returns n bytes.
func (b *Budget) Release(n int64) { b.release(n) }

// take takes n bytes and reports whether there were as many within a share of the budget.
func (b *Budget) take(n int64, share float64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > int64(share*float64(b.limit)) {
		return false
	}
	b.used += n
	return true
}

// charge takes n bytes, also beyond the limit, so that bodies get less.
func (b *Budget) charge(n int64) { b.release(-n) }

// release returns n bytes.
func (b *Budget) release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.grant()
}

// giveBack returns n of the bytes of a body. The mutex must be held.
func (b *Budget) giveBack(h *heldBody, n int64) {
	h.bytes -= n
	b.used -= n
	if h.leaving {
		b.leaving -= n
	}
	b.grant()
}

// enter adds a body that is being read from now on.
func (b *Budget) enter(h *heldBody, length int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begun++
	h.number, h.length, h.progress = b.begun, length, now
	b.bodies[h] = true
}

// complete records that a body has arrived completely. It may wait anew.
func (b *Budget) complete(h *heldBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.complete, h.waited = true, 0
}

// joined returns what a body holds beyond the n bytes of its joined copy.
func (b *Budget) joined(h *heldBody, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.unused = 0
	b.giveBack(h, h.bytes-n)
}

// leave removes a body that is no longer read and does not wait.
func (b *Budget) leave(h *heldBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.bodies, h)
}

// advance records that n bytes of a body have arrived.
func (b *Budget) advance(h *heldBody, n int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progress = h.progress.Add(time.Duration(n) * time.Second / sustainedBodyRate)
	if h.progress.After(now) {
		h.progress = now
	}
}

// ask enters a body into the queue for n bytes, unless it has as many that are unused.
func (b *Budget) ask(h *heldBody, n int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{}, 1)
	}
	h.since, h.wanted = now, n
	if h.unused >= n {
		return
	}
	h.need = n - h.unused
	at, _ := slices.BinarySearchFunc(b.queue, h, compareBodies)
	b.queue = slices.Insert(b.queue, at, h)
	b.grant()
	if h.need > 0 && h.bytes > 0 && !h.complete {
		h.need = max(h.need, min(h.remaining()-h.unused, b.limitFor(h)-h.bytes))
	}
}

// remaining returns how many bytes a body needs beyond those that are used, to be read and joined.
// Without a length, it is taken to be as much again as was read.
func (h *heldBody) remaining() int64 {
	held := h.bytes - h.unused
	if h.length < 0 {
		more := max(held, bodyStep)
		return more + held + more
	}
	steps := (max(0, h.length-firstBodyStep) + bodyStep - 1) / bodyStep * bodyStep
	return firstBodyStep + steps + h.length - held
}

// compareBodies orders the queue.
func compareBodies(x, y *heldBody) int {
	switch {
	case x.complete != y.complete && x.complete:
		return -1
	case x.complete != y.complete:
		return 1
	case x.number < y.number:
		return -1
	case x.number > y.number:
		return 1
	}
	return 0
}

// withdraw takes a body out of the queue that waits no longer.
func (b *Budget) withdraw(h *heldBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.wanted = 0
	if h.need > 0 {
		h.need = 0
		b.queue = slices.DeleteFunc(b.queue, func(other *heldBody) bool { return other == h })
		b.grant() // those behind it
	}
}

// limitFor returns up to which use a body gets bytes.
func (b *Budget) limitFor(h *heldBody) int64 {
	if h.bytes == 0 {
		return b.limit
	}
	return int64(largeBodyShare * float64(b.limit))
}

// grant gives bytes to the bodies at the head of the queue. The mutex must be held.
func (b *Budget) grant() {
	if len(b.queue) == 0 {
		return
	}
	blocked := map[int64]bool{} // limits at which a body waits
	b.queue = slices.DeleteFunc(b.queue, func(h *heldBody) bool {
		if h.leaving {
			return false // it withdraws
		}
		limit := b.limitFor(h)
		if blocked[limit] || b.used+h.need > limit {
			blocked[limit] = true
			return false
		}
		b.used += h.need
		h.bytes += h.need
		h.unused += h.need
		h.need = 0
		h.signal()
		return true
	})
}

func (h *heldBody) signal() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// review returns what has become of a body that waits, and the bodies that are to be stopped.
func (b *Budget) review(h *heldBody, now time.Time) (decision, []*heldBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.leaving {
		return refused, nil
	}
	if h.need == 0 {
		h.unused, h.wanted = h.unused-h.wanted, 0
		h.waited += now.Sub(h.since)
		h.progress = now // it waited for the budget and not for its caller
		if b.used > b.limit/2 {
			return granted, b.endStalled(now, shortStallTimeout, h, b.used)
		}
		return granted, nil
	}
	if b.hasWaited(h, now) || h.complete && h.bytes+h.need > b.limitFor(h) {
		return refused, nil
	}
	if now.Sub(b.reviewed) < budgetPoll {
		return undecided, nil
	}
	b.reviewed = now
	return undecided, b.makeRoom(now)
}

// hasWaited reports whether a body has waited for as long as it may: budgetWait, and up to as long
// again near the head of the queue, the nearer the longer. Those before it get bytes or are refused
// meanwhile, so it is not refused just before its turn.
func (b *Budget) hasWaited(h *heldBody, now time.Time) bool {
	over := h.waiting(now) - budgetWait
	if over < 0 {
		return false
	}
	near := nearHead * (1 - float64(over)/float64(budgetWait))
	return float64(slices.Index(b.queue, h)) >= near
}

// waiting returns how long a body has waited in all.
func (h *heldBody) waiting(now time.Time) time.Duration { return h.waited + now.Sub(h.since) }

// makeRoom ends bodies for those at the head of the queue.
func (b *Budget) makeRoom(now time.Time) []*heldBody {
	var ended []*heldBody
	seen := map[int64]bool{}
	for _, head := range slices.Clone(b.queue) {
		limit := b.limitFor(head)
		if seen[limit] || head.leaving || head.need == 0 {
			continue
		}
		seen[limit] = true
		missing := func() int64 { return b.used - b.leaving + head.need - limit }
		b.revoke(now, head, missing())
		ended = append(ended, b.endStalled(now, evictTimeout, head, missing())...)
		if missing() > 0 && now.Sub(head.since) >= giveWayTimeout {
			b.endWaiting(now, head, missing())
		}
	}
	return ended
}

// revoke takes unused bytes back from bodies without progress, until it has the missing ones.
func (b *Budget) revoke(now time.Time, except *heldBody, missing int64) {
	for h := range b.bodies {
		if missing <= 0 {
			break
		}
		if h != except && h.wanted == 0 && h.unused > 0 && !h.leaving && now.Sub(h.progress) > revokeTimeout {
			missing -= h.unused
			h.bytes -= h.unused
			b.used -= h.unused
			h.unused = 0
		}
	}
	b.grant()
}

// endStalled ends bodies that have made no progress for a time, those with the least progress
// first, until they hold the missing bytes.
func (b *Budget) endStalled(now time.Time, timeout time.Duration, except *heldBody, missing int64) []*heldBody {
	var stalled []*heldBody
	for h := range b.bodies {
		if h != except && h.wanted == 0 && !h.complete && !h.leaving && now.Sub(h.progress) > timeout {
			stalled = append(stalled, h)
		}
	}
	slices.SortFunc(stalled, func(x, y *heldBody) int { return x.progress.Compare(y.progress) })
	for i, h := range stalled {
		if missing <= 0 {
			return stalled[:i]
		}
		missing -= h.bytes
		b.end(h)
	}
	return stalled
}

// endWaiting ends bodies that wait, those that have waited for longest first, if they hold the
// missing bytes and those that are being read do not, or take long. None of them could go on
// otherwise, and the longest wait ends first anyway.
func (b *Budget) endWaiting(now time.Time, head *heldBody, missing int64) {
	reading := int64(0)
	for h := range b.bodies {
		if h.wanted == 0 && !h.complete && !h.leaving {
			reading += h.bytes
		}
	}
	if reading >= missing && now.Sub(head.since) < budgetWait {
		return
	}
	var chosen, waiting []*heldBody
	for _, h := range b.queue {
		if h != head && h.bytes > firstBodyStep && !h.leaving && h.waiting(now) >= giveWayTimeout {
			waiting = append(waiting, h)
		}
	}
	slices.SortStableFunc(waiting, func(x, y *heldBody) int { return cmp.Compare(y.waiting(now), x.waiting(now)) })
	for _, h := range waiting {
		if missing > 0 && (head.bytes == 0 || compareBodies(head, h) < 0) {
			chosen = append(chosen, h)
			missing -= h.bytes
		}
	}
	if missing > 0 {
		return // they would give way for nothing
	}
	for _, h := range chosen {
		b.end(h)
		h.signal()
	}
}

// end marks a body as ended. The mutex must be held.
func (b *Budget) end(h *heldBody) {
	h.leaving = true
	b.leaving += h.bytes
}
