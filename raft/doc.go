// Package raft is the replicated log as a pure state machine.
//
// A Node reads no clock, socket or file. Its owner calls Tick at a fixed
// interval, passes it messages with Step, and handles what Ready returns in
// this order: send Ready.Early, persist the snapshot, the entries and the hard
// state, sync, call Advance, send Ready.Messages, apply Ready.Committed.
//
// Replicas are named by identifiers that include the identity of their
// storage. A replica whose disk was lost returns under a new identifier, so
// its empty log never counts as the vote of the voter it replaces.
package raft
