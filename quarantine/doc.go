// Package quarantine tracks requests suspected of crashing endpoints.
//
// A request is known by the fingerprint of its canonical content, whoever
// sends it. A fingerprint that was in flight when an endpoint crashed is
// suspected: it runs alone, one at a time, and never again on an endpoint that
// it was lost on. When two endpoints were lost to it, it is quarantined and
// refused until an end date. A suspect that finishes while running alone is
// cleared.
//
// A List holds what control has decided and, until that arrives, what this
// entry has seen itself. It reads no clock and is not safe for concurrent use.
package quarantine
