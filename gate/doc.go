// Package gate decides whether an endpoint may start an attempt and records the
// outcome of the attempt.
//
// An attempt identifier starts at most once, and never after it was refused or
// fenced. The number of records is bounded: once a record is dropped, every
// attempt of the same entry with the same or a lower counter is refused, so that
// the rule holds without a record of each attempt.
//
// A Gate does not read the clock and is not safe for concurrent use.
package gate
