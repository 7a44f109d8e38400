// Package storage keeps the log, the snapshots and the identity of a replica in
// one data directory.
//
// The directory contains identity.json, the segments of a write-ahead log (WAL)
// in wal/ and snapshots in snap/. Each Save appends one record with its own
// checksum and returns after the record is synced. A record is written only
// after the previous one is synced, so a crash can tear at most the last record
// of the last segment. An invalid record followed by a valid one is therefore
// corruption, and Open returns ErrCorrupt.
//
// Open generates a random storage identity for an empty directory. The identity
// is part of the replica ID, so a replica that loses its disk comes back as a
// different replica.
package storage
