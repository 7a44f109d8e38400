// Package placement decides which endpoint a request is sent to, whether it
// waits for one, and when it is refused.
//
// It answers this load: streams with prompts of hundreds to thousands of tokens,
// at up to about twice what the engines can serve, from several entries that
// share the engines and know each other's work only with a delay. An engine
// reads waiting prompts between the steps of all its streams, so a long prompt
// delays its neighbours; what counts is the tokens still to be read and the
// streams in progress, not the number of requests.
//
// A Pool is deterministic apart from its source of random numbers, and reads no
// clock. It is not safe for concurrent use.
package placement
