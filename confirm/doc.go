// Package confirm implements the read lease under which an instance may serve a
// revision of the catalogue.
//
// An instance asks every voter for its revision and counts the replies of the
// newest voter set that it knows. When a read quorum confirms the same revision,
// the instance may serve that revision or a later accepted one for the lease
// duration, counted from the sending of the oldest request in the quorum. Every
// read quorum intersects every write quorum, so no instance serves an older
// revision once the lease duration has passed since a newer one was accepted.
//
// A Lease does not read the clock and is not safe for concurrent use. Times
// passed to it must carry a monotonic clock reading.
package confirm
