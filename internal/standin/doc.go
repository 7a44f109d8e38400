// Package standin implements small test doubles for the external systems that
// the daemons talk to: model engines, plain services, the weight store and the
// origin. Each serves the interface described in docs/design.md, section 16,
// and has fault switches that are set at startup and over HTTP at PathFaults:
//
//	curl -X POST 127.0.0.1:8000/standin/faults -d '{"stall":true}'
//	curl -X DELETE 127.0.0.1:8000/standin/faults
//
// The text of an answer is a deterministic function of the content of the
// loaded weights and the prompt (see Token). A client can therefore detect an
// answer that is truncated, belongs to another request, or comes from mixed
// weights.
package standin
