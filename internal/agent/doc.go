// Package agent implements the daemon that runs next to each engine or plain
// service. It admits and forwards requests, keeps the engine's weights sets in
// line with the catalogue, and reports the endpoint's state to the control
// replicas.
package agent
