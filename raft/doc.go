// Package raft implements the Raft consensus algorithm as a state machine
// without I/O.
//
// A Node reads no clock, socket or file. The caller calls Tick at a fixed
// interval, passes received messages to Step, and processes each Ready in this
// order:
//
//  1. Send Ready.MessagesBeforeSync.
//  2. Write the snapshot, the entries and the hard state to stable storage and
//     sync it.
//  3. Call Advance.
//  4. Send Ready.MessagesAfterSync.
//  5. Apply Ready.CommittedEntries to the application's state machine.
//
// Replica IDs include the identity of the replica's storage. A replica that
// loses its disk comes back under a new ID, so its empty log is never counted
// as a vote of the voter that it replaces.
package raft
