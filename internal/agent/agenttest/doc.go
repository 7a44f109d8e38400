// Package agenttest provides fakes of the systems that an agent talks to:
// control replicas and an engine. They serve the real network protocols, for
// tests and measurements.
package agenttest
