// Package gate decides whether an endpoint may start an attempt and records
// what became of it.
//
// An attempt identifier starts at most once, and one that was refused or fenced
// never starts. Records are bounded in number: when one is dropped, every
// attempt of the same entry up to its counter is refused from then on, so the
// rule holds without remembering each attempt.
//
// A Gate reads no clock and is not safe for concurrent use.
package gate
