// Package ledger implements the state machine of the replicated log: accepted
// notes, claims of non-idempotent calls, suspected and quarantined requests, and
// the current routing document and weights versions.
//
// Apply is deterministic. Its only clock is Command.AtMs, and the ledger's time
// never goes backwards. Replicas that have applied the same commands hold the
// same state and have returned the same results.
//
// Memory is bounded. Of every accepted note the 32-byte digest is kept. A claim is
// kept for ClaimRetentionMs, and after that an 8-byte hash of its key, so that the key
// is refused and its call never runs again. Beyond maxExpiredHashes, the oldest
// hashes move into a Bloom filter of fixed size. A false positive refuses a key
// that was never used; a used key is never admitted.
package ledger
