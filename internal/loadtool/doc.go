// Package loadtool is an open-loop load generator that sends requests to
// entries and validates every response.
//
// Quotes are chat completions sent through the OpenAI client library. A
// response presented as complete must be complete, belong to the request and
// come from a single weights set; anything else counts as a violation. Orders
// are calls to a plain service with idempotency keys; the outcomes reported to
// callers are compared with the executions that the service counted.
//
// Latencies are measured from the scheduled send time of a request rather than
// the actual one, which avoids coordinated omission.
package loadtool
