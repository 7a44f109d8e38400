// Package membership keeps the table of endpoints learned from announcements.
//
// A Table is fed by the endpoints themselves: late and duplicate announcements
// are ignored, silent endpoints expire, and every change gets a version, so
// that a follower receives only what changed. A View follows several tables at
// once and keeps an endpoint for as long as one of them holds it.
//
// Both are deterministic and read no clock. They are not safe for concurrent
// use. The content of an announcement is a type parameter, which keeps the
// package independent of any message format.
package membership
