// Package membership maintains tables of live endpoints from their
// announcements.
//
// A Table receives the announcements of the endpoints. It ignores late and
// duplicate ones, expires endpoints that stop announcing, and assigns a version
// to every change, so that followers can be sent deltas. A View merges the
// tables of several sources and keeps an endpoint while at least one of them
// lists it.
//
// Both are deterministic, do not read the clock, and are not safe for concurrent
// use. The content of an announcement is a type parameter, which keeps the
// package independent of any message format.
package membership
