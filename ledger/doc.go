// Package ledger is the state machine applied from the replicated log: accepted notes, claims, suspects and quarantine.
package ledger
