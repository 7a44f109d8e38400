// Package tracker coordinates the peer-to-peer distribution of a version of weights:
// it assigns to each instance the pieces to fetch and the sources to fetch them from,
// while pieces still arrive from the origin.
//
// One version must reach every instance of a region within seconds, over links that
// carry about one copy in two seconds, while the origin serves little more than one
// copy in all and may fail at any moment. Instances that plan independently cannot know
// which sources are idle, slow or gone. A tracker knows what each instance of its
// region holds and uploads; instances request work as soon as they can start another
// fetch.
//
// Each region has a tracker. Trackers exchange the state of their regions, so that a
// piece is fetched from the origin once and enters each other region once. All state is
// soft: a request carries everything that a new tracker needs to know about an
// instance.
//
// A Tracker does no I/O, reads no clock and is not safe for concurrent use.
package tracker
