// Package storage keeps a replica's log, snapshots and identity in one data
// folder.
//
// The folder holds identity.json, the segments of a write-ahead log under wal/
// and snapshots under snap/. Each Save is one record with its own checksum and
// is synced before Save returns. A record is written only after the one before
// it was synced, so at most the last record of the last segment can be torn by
// a crash: a bad record that is followed by a good one is damage, and Open
// refuses the folder.
//
// A folder without an identity gets a new random one. The identity is part of
// the replica's identifier, so a replica that lost its disk comes back as
// another replica.
package storage
