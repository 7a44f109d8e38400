// Package confirm holds the confirmation lease of an instance on the accepted
// revision.
//
// An instance asks every voter for its revision and counts the answers of the
// newest voter set heard of. When a read quorum confirms one revision, the
// instance may serve that revision or a later accepted one for the lease time,
// counted from when the oldest counted question was sent. Because every read
// quorum intersects every write quorum, no instance serves an older revision
// once the lease time has passed since acceptance.
//
// A Lease reads no clock and is not safe for concurrent use. Times passed to it
// must carry a monotonic reading.
package confirm
