package membership

import "time"

// DefaultExpiry is the time without a new announcement after which an endpoint
// is removed: three announcement intervals of one second.
const DefaultExpiry = 3 * time.Second

// Record is an announcement of an endpoint.
type Record[T any] struct {
	Endpoint string
	// Incarnation increases with each start of the endpoint's process.
	Incarnation uint64
	// Sequence increases with each announcement within an incarnation.
	Sequence uint64
	// Draining is true when the endpoint accepts no new work.
	Draining bool
	// Gone is true in the last announcement of an endpoint, sent when it stops.
	Gone bool
	// Report is the content of the announcement.
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

// Update is a full table if Base is 0, and otherwise a delta since version Base.
// Versions are comparable within one Epoch of the sending table. An endpoint that
// stopped is an Updated record with Gone set; one that expired is in Removed.
type Update[T any] struct {
	Epoch   uint64
	Version uint64
	Base    uint64
	Updated []Record[T]
	Removed []string
}
