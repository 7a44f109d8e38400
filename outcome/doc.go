// Package outcome defines the outcomes of requests and attempts, the reasons given
// for them, and the identifiers of attempts.
package outcome
