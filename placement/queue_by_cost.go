package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// requestQueue holds the requests of all entries that wait for a slot, in order of service. It
// answers the load of more requests than the endpoints can serve on time: what waits longest, and
// is refused first, is what costs callers least.
type requestQueue struct{ waiting []queuedRequest }

type queuedRequest struct {
	SlotRequest
	deadline time.Time
}

// urgency is the part of the queue's order that does not depend on the time.
type urgency struct {
	class int // of service, see class
	rank  int // priority of the request
}

// Classes of service, in order.
const (
	classResumed = iota // callers of an interrupted stream lose what they have already got
	classOnTime
	// classLate holds requests that can no longer meet their objective. Their answers are worth
	// little to callers, so they use only the slots that the others leave, whatever their
	// priority.
	classLate
)

func (a SlotRequest) urgency() urgency {
	u := urgency{class: classOnTime, rank: a.Priority}
	switch {
	case a.Resumed:
		u.class = classResumed
	case a.Late:
		u.class = classLate
	}
	return u
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.class, o.class), cmp.Compare(u.rank, o.rank))
}

// compareQueued orders the queue by class of service, priority and deadline.
func compareQueued(a, b queuedRequest) int {
	return cmp.Or(a.urgency().compare(b.urgency()), a.deadline.Compare(b.deadline))
}

func (q *requestQueue) len() int { return len(q.waiting) }

// position returns the number of queued requests that come before w.
func (q *requestQueue) position(w queuedRequest) int {
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(held, target queuedRequest) int {
		if compareQueued(held, target) <= 0 {
			return -1 // equal requests keep their order of arrival
		}
		return 1
	})
	return at
}

func (q *requestQueue) insert(w queuedRequest) {
	q.waiting = slices.Insert(q.waiting, q.position(w), w)
}

func (q *requestQueue) remove(match func(queuedRequest) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, match)
}

// ahead returns the number of queued requests that come before w and could use its slot.
func (q *requestQueue) ahead(w queuedRequest) int { return competing(q.waiting[:q.position(w)], w) }

// competing returns the number of requests that could use a slot that another one could use.
func competing(list []queuedRequest, w queuedRequest) int {
	n := len(list)
	if w.Regions.Bound {
		for _, held := range list {
			if held.Regions.Disjoint(w.Regions) {
				n--
			}
		}
	}
	return n
}

// precedes reports whether a queued request that could start at an endpoint comes before a new one
// that could start there now. The others do not: they would keep the endpoint idle.
func (q *requestQueue) precedes(a SlotRequest, couldStart func(Request) bool) bool {
	for _, w := range q.waiting {
		if w.urgency().compare(a.urgency()) > 0 {
			return false
		}
		if couldStart(w.Request) {
			return true
		}
	}
	return false
}

// removeUnservable removes and returns the requests that are less urgent than a new one and
// that, behind it, get no slot within their wait if one becomes free for them per interval. The
// numbers of requests ahead of them are returned as well.
func (q *requestQueue) removeUnservable(a SlotRequest, interval func(queuedRequest) time.Duration, now time.Time) (removed []queuedRequest, ahead []int) {
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if !w.Late && w.Priority > a.Priority && w.urgency().compare(a.urgency()) > 0 && !w.Regions.Disjoint(a.Regions) {
			if before := competing(kept, w); now.Add(interval(w) * time.Duration(before+1)).After(w.deadline) {
				removed, ahead = append(removed, w), append(ahead, before)
				continue
			}
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return removed, ahead
}

// usableKey identifies requests that may use the same endpoints, apart from load and bounds.
type usableKey struct {
	minVersion, softMinVersion uint64
	regions, exclude, only     string
}

func (r Request) usableKey() usableKey {
	return usableKey{r.MinVersion, r.SoftMinVersion, r.Regions.key(), strings.Join(r.Exclude, "\x00"), r.Only}
}

// failedTries counts the queued requests that could not be placed in one pass over the queue, by
// the endpoints that they may use and by their regions: they must not keep others from free slots
// elsewhere.
type failedTries struct {
	byUse     map[usableKey]int
	byRegions map[string]int
}

func newFailedTries() failedTries { return failedTries{map[usableKey]int{}, map[string]int{}} }

func (f failedTries) exhausted(k usableKey) bool {
	return f.byUse[k] >= maxFailedTries || f.byRegions[k.regions] >= maxFailedTriesByRegions
}

func (f failedTries) record(k usableKey) {
	f.byUse[k]++
	f.byRegions[k.regions]++
}
