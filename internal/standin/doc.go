// Package standin holds small stand-ins for the outside systems that the
// daemons meet: model engines, plain services, the weight store and the
// origin. Each serves the interface of docs/design.md, section 16, and has
// fault switches that are set at start and over HTTP at PathFaults:
//
//	curl -X POST 127.0.0.1:8000/standin/faults -d '{"stall":true}'
//	curl -X DELETE 127.0.0.1:8000/standin/faults
//
// The text of an answer follows from the content of the loaded weights and the
// prompt, see Token. A reader can therefore tell an answer that is partial,
// belongs to another request, or comes from mixed weights.
package standin
