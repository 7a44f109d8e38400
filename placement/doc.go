// Package placement selects an endpoint for each request, queues requests while no
// slot is free, and refuses those that cannot be served in time.
//
// It is designed for token streams with prompts of hundreds to thousands of tokens, at
// up to about twice the capacity of the engines, from many entries that share the
// engines. A Broker places the requests of all entries on one group of endpoints and
// counts the slots in use, and the requests to endpoints that limit their rate for all
// entries together; it keeps its load model in a Pool. An entry whose brokers do
// not respond falls back to a Pool of its own, which counts only the requests of this
// entry.
//
// An engine prefills new prompts between the decode steps of all its streams, so a
// long prompt delays the other streams. The load model therefore counts the tokens still
// to be prefilled and the streams in progress, not the number of requests.
//
// Both types are deterministic apart from their random source and never read the
// clock: callers pass the current time. They are not safe for concurrent use.
package placement
