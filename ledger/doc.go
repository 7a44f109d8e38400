// Package ledger is the state machine applied from the replicated log:
// accepted notes, claims of non-idempotent calls, suspects and quarantine.
//
// Apply is deterministic: its only clock is Command.AtMs, which never runs
// backwards in the ledger. Every replica that applied the same commands holds
// the same state and gave the same results.
//
// Memory is bounded. The digest of every accepted note is kept, 32 bytes each.
// A claim is kept for RetentionMs; after that an 8-byte hash of its key stays,
// so that the key is refused and never run again. Beyond maxExpiredHashes the
// oldest hashes move into a fixed filter. A collision there refuses a key that
// was never used, and never admits one that was.
package ledger
