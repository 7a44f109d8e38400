package membership

import "time"

// DefaultExpiry is the time without a new announcement after which an endpoint
// is taken out: three announcement intervals of one second.
const DefaultExpiry = 3 * time.Second

// Record is one announcement of an endpoint.
type Record[T any] struct {
	Endpoint string
	// Incarnation increases with each start of the endpoint's process.
	Incarnation uint64
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64
	// Draining is true once the endpoint takes no new work.
	Draining bool
	// Gone is true in the last announcement of a stopped endpoint.
	Gone bool
	// Report is the rest of the announcement.
	Report T
}

// position orders the announcements of one endpoint.
type position struct {
	incarnation, sequence uint64
}

func (r Record[T]) position() position {
	return position{r.Incarnation, r.Sequence}
}

func (p position) after(q position) bool {
	if p.incarnation != q.incarnation {
		return p.incarnation > q.incarnation
	}
	return p.sequence > q.sequence
}

// Update carries a table, whole (Base 0) or changed since version Base.
// Versions count within one Epoch of the sending table. A stopped endpoint is
// an Updated record with Gone set; an expired one is in Removed.
type Update[T any] struct {
	Epoch   uint64
	Version uint64
	Base    uint64
	Updated []Record[T]
	Removed []string
}
