// Package standin holds small stand-ins for the outside systems that the
// daemons meet: model engines, plain services, the weight store and the
// origin. Each serves the interface of docs/design.md, section 16, and has
// fault switches that are set at start and over HTTP at PathFaults.
package standin
