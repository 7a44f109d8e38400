// Package quarantine tracks requests suspected of crashing endpoints.
//
// A List judges whole requests. A request is identified by a fingerprint of its
// canonical content, which does not depend on the caller. Every fingerprint that is in
// flight when an endpoint crashes becomes a suspect: it runs exclusively, one copy at a
// time, and not on an endpoint that crashed while running it. After crashes on two
// endpoints it is quarantined and refused until the quarantine expires. A suspect that
// completes an exclusive run is cleared. A List combines the records of the control
// replicas with what this entry has observed itself, which bridges the time until
// control has decided.
//
// A PartList also finds the part that different requests have in common if each of them
// crashes its endpoint, for example a part of their prompts, and tells it from the parts
// that sound requests have as well. It needs no control replica: the entries exchange
// their reports.
//
// Neither reads the clock, and neither is safe for concurrent use.
package quarantine
