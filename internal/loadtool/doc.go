// Package loadtool sends open-loop load to entries, as callers do, and checks
// every answer.
//
// Quotes are chat completions sent through the OpenAI client library. An
// answer is whole, the caller's own, and of one weights set, or it counts as a
// violation. Orders are calls of a plain service with idempotency keys; what
// callers were told is compared with the executions that the service counted.
//
// Latencies are measured from the time at which a request was due, so that a
// slow system does not slow down its own measurement.
package loadtool
